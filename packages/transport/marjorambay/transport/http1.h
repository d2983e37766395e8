/// HTTP/1.1 messages, parsed piece by piece with http_parser.
///
/// evhttp hides what forwarding must see: whether an answer without a length
/// ended in order or by a reset, bytes after an answer, an answer before its
/// request has left. Hence the parser alone, on sockets of our own.
#ifndef MARJORAMBAY_TRANSPORT_HTTP1_H
#define MARJORAMBAY_TRANSPORT_HTTP1_H

#include "marjorambay/transport/http_server.h"

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace marjorambay {

/// Start line and headers of a message.
struct HttpHead {
  std::string Method{};        ///< of a request
  std::string RequestTarget{}; ///< of a request, as sent
  int Status = 0;              ///< of an answer
  HttpHeaders Headers{};
  bool KeepAlive = false; ///< the connection may serve another message
  bool Framed = false;    ///< has a length or chunks; else ends with the bytes
  bool Chunked = false;

  /// Value of the first header called \p Name, any case; empty when absent.
  std::string_view header(std::string_view Name) const;
};

/// Compares ASCII text without regard to case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Whether a header concerns one connection only.
bool isHopByHop(std::string_view Name);

/// What feeding bytes came to.
enum class ParseOutcome : std::uint8_t {
  More,     ///< all bytes were taken; the message goes on
  Complete, ///< the message has ended; bytes may be left
  TooLarge, ///< headers beyond the limit
  Invalid,  ///< not HTTP/1.x, or framed in two ways
};

enum class HttpRole : std::uint8_t { Requests, Answers };

/// Reads one message after another.
class Http1Parser {
public:
  explicit Http1Parser(HttpRole Role, std::size_t MaxHeaderBytes = 64 << 10);
  Http1Parser(const Http1Parser &) = delete;
  Http1Parser &operator=(const Http1Parser &) = delete;

  /// Start line and headers are whole; body bytes may follow.
  sigc::slot<void(const HttpHead &)> OnHead{};
  sigc::slot<void(std::string_view)> OnBody{};

  /// Takes bytes from the front of \p Bytes, up to the end of a message.
  ParseOutcome feed(std::string_view &Bytes);
  /// The connection has ended in order; ends a message without a length.
  ParseOutcome feedEnd();
  /// Makes ready for the next message.
  void restart();
  /// The answer that comes belongs to a HEAD request: it has no body.
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
  bool countHeader(std::size_t Size);
  bool framedTwice() const;

  HttpRole Role;
  std::size_t MaxHeaderBytes;
  http_parser Parser{};
  HttpHead Head{};
  std::size_t HeaderBytes = 0;
  bool Started = false;
  bool HeadComplete = false;
  bool Done = false;
  bool NoBody = false;
  bool InValue = false; ///< the last header has begun its value
  bool Overflow = false;
  bool Trailers = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP1_H
