/// Incremental parser for HTTP/1.1 messages, based on http_parser.
///
/// Forwarding uses this parser on plain sockets instead of evhttp, because
/// evhttp hides whether a response without a length ended by an orderly close
/// or a reset, whether bytes follow a response, and whether a response arrived
/// before its request was fully sent.
#ifndef MARJORAMBAY_TRANSPORT_HTTP1_H
#define MARJORAMBAY_TRANSPORT_HTTP1_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/transport/chunk_check.h"
#include "marjorambay/transport/http_server.h"
#include "marjorambay/transport/response_head_check.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace marjorambay {

/// How the recipient of a message knows where its body ends.
enum class BodyFraming : std::uint8_t {
  Length,     ///< by its length; also messages that have no body
  Chunked,    ///< by a last chunk
  UntilClose, ///< by the end of the connection
};
template <>
inline constexpr std::array NamesOf<BodyFraming> =
    std::to_array<std::string_view>({"length", "chunked", "until_close"});
static_assert(NamesOf<BodyFraming>.size() == 3);

/// Start line and headers of a message.
struct HttpHead {
  std::string Method{};        ///< requests only
  std::string RequestTarget{}; ///< requests only; as sent
  int Status = 0;              ///< responses only
  HttpHeaders Headers{};
  bool KeepAlive = false; ///< the connection may serve another message
  BodyFraming Framing = BodyFraming::Length;
  bool Http10 = false; ///< the sender speaks HTTP/1.0, so without chunks

  /// Value of the first header named \p Name, ignoring case; empty if absent.
  std::string_view header(std::string_view Name) const;
};

/// Compares ASCII text, ignoring case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Whether a header is hop-by-hop, that is, applies to one connection only.
bool isHopByHop(std::string_view Name);

/// Whether a header can be written into a head: its name is a token, and its
/// value has no line break.
bool isValidHeader(const HttpHeader &Header);

/// Result of feeding bytes to the parser.
enum class ParseOutcome : std::uint8_t {
  Incomplete, ///< all bytes were consumed; the message is not complete
  Complete,   ///< the message is complete; bytes may be left over
  TooLarge,   ///< the headers exceed the limit
  Invalid,    ///< not HTTP/1.x, malformed, or ambiguous framing
};

enum class HttpMessageType : std::uint8_t { Request, Response };

/// Parses consecutive messages of one connection.
class Http1Parser {
public:
  explicit Http1Parser(HttpMessageType Type,
                       std::size_t MaxHeaderBytes = 64 << 10);
  Http1Parser(const Http1Parser &) = delete;
  Http1Parser &operator=(const Http1Parser &) = delete;

  /// Called when start line and headers are complete; body bytes may follow.
  sigc::slot<void(const HttpHead &)> OnHead{};
  sigc::slot<void(std::string_view)> OnBody{};

  /// Consumes bytes from the front of \p Bytes, up to the end of a message.
  ParseOutcome feed(std::string_view &Bytes);
  /// Reports the orderly end of the connection, which completes a message
  /// without a length.
  ParseOutcome feedEof();
  /// Resets the state for the next message.
  void reset();
  /// Declares that the next response answers a HEAD request and has no body.
  void expectNoBody() { NoBody = true; }

  const HttpHead &head() const { return Head; }
  bool started() const { return Started; }
  bool headComplete() const { return HeadComplete; }

private:
  static int onBegin(http_parser *Parser);
  static int onUrl(http_parser *Parser, const char *At, std::size_t Size);
  static int onField(http_parser *Parser, const char *At, std::size_t Size);
  static int onValue(http_parser *Parser, const char *At, std::size_t Size);
  static int onHeaders(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, std::size_t Size);
  static int onComplete(http_parser *Parser);
  static const http_parser_settings &callbacks();
  ParseOutcome feedHead(std::string_view &Bytes);
  ParseOutcome parse(std::string_view &Bytes);
  bool addHeaderBytes(std::size_t Size);
  bool hasAmbiguousFraming() const;
  BodyFraming framing() const;

  HttpMessageType Type;
  std::size_t MaxHeaderBytes;
  http_parser Parser{};
  ResponseHeadCheck HeadCheck{}; ///< responses only
  ChunkCheck Chunks{};           ///< responses only
  HttpHead Head{};
  std::size_t HeaderBytes = 0;
  bool Started = false;
  bool HeadComplete = false;
  bool MessageComplete = false;
  bool NoBody = false;
  bool InValue = false; ///< part of the last header's value has arrived
  bool HeadersTooLarge = false;
  bool InTrailers = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP1_H
