/// Checks that http_parser does not make of a response's head.
#ifndef MARJORAMBAY_TRANSPORT_RESPONSE_HEAD_CHECK_H
#define MARJORAMBAY_TRANSPORT_RESPONSE_HEAD_CHECK_H

#include <string>
#include <string_view>

namespace marjorambay {

/// Whether a head may have \p C within a line (RFC 9110, 5.5).
bool isLineByte(char C);

/// Follows the head of one response beside http_parser, which accepts any
/// status up to 999, ignores leading zeros, takes a carriage return with any
/// byte after it for the end of a line, and appends a line that begins with a
/// blank to the header before it (folding; RFC 9112, 5.2, allows a gateway to
/// do so). A folded line with a colon is rejected, as it may be a header whose
/// name begins with a blank.
class ResponseHeadCheck {
public:
  /// Returns a check of trailers, which have no status line.
  static ResponseHeadCheck ofTrailers();

  /// Removes the bytes of the head from the front of \p Bytes. Returns false as
  /// soon as the head is malformed.
  bool feed(std::string_view &Bytes);

private:
  bool addByte(char C);
  bool endLine();

  std::string StatusLine{}; ///< its first bytes
  bool StatusLineComplete = false;
  bool LineEmpty = true; ///< the line that is being read
  bool Folded = false;   ///< it continues the header before it
  bool AfterReturn = false;
  bool Complete = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_RESPONSE_HEAD_CHECK_H
