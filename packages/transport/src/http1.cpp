/// HTTP/1.1 on http_parser.
#include "marjorambay/transport/http1.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace marjorambay {

namespace {

constexpr auto HopByHop = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
     "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"});

/// Characters of a line break within a value would start a header of their own
/// when it is sent on.
void dropLineBreaks(std::string &Value) {
  std::erase_if(Value, [](char C) { return C == '\r' || C == '\n'; });
}

/// The parser takes blanks within names; another reader would see "Length : 5"
/// as a length.
bool isToken(std::string_view Name) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), [&](unsigned char C) {
           return std::isalnum(C) != 0 ||
                  Marks.find(static_cast<char>(C)) != std::string_view::npos;
         });
}

} // namespace

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

bool isHopByHop(std::string_view Name) {
  return std::any_of(
      HopByHop.begin(), HopByHop.end(),
      [&](std::string_view Each) { return equalsIgnoringCase(Each, Name); });
}

std::string_view HttpHead::header(std::string_view Name) const {
  for (const HttpHeader &Each : Headers)
    if (equalsIgnoringCase(Each.Name, Name))
      return Each.Value;
  return {};
}

Http1Parser::Http1Parser(HttpRole Role, std::size_t MaxHeaderBytes)
    : Role(Role), MaxHeaderBytes(MaxHeaderBytes) {
  restart();
}

void Http1Parser::restart() {
  http_parser_init(&Parser,
                   Role == HttpRole::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
  Head = HttpHead{};
  HeaderBytes = 0;
  Started = HeadComplete = Done = NoBody = InValue = Overflow = Trailers =
      false;
}

const http_parser_settings &Http1Parser::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings Made;
    http_parser_settings_init(&Made);
    Made.on_message_begin = &Http1Parser::onBegin;
    Made.on_url = &Http1Parser::onUrl;
    Made.on_header_field = &Http1Parser::onField;
    Made.on_header_value = &Http1Parser::onValue;
    Made.on_headers_complete = &Http1Parser::onHeaders;
    Made.on_body = &Http1Parser::onBody;
    Made.on_message_complete = &Http1Parser::onComplete;
    return Made;
  }();
  return Table;
}

ParseOutcome Http1Parser::feed(std::string_view &Bytes) {
  if (Done)
    return ParseOutcome::Complete;
  const std::size_t Taken =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (Done) { // the pause in onComplete() leaves the next message alone
    Bytes.remove_prefix(std::min(Taken, Bytes.size()));
    return ParseOutcome::Complete;
  }
  const auto Failure = HTTP_PARSER_ERRNO(&Parser);
  if (Overflow || Failure == HPE_HEADER_OVERFLOW)
    return ParseOutcome::TooLarge;
  if (Failure != HPE_OK || Parser.upgrade)
    return ParseOutcome::Invalid;
  Bytes.remove_prefix(Taken);
  return ParseOutcome::More;
}

ParseOutcome Http1Parser::feedEnd() {
  if (Done)
    return ParseOutcome::Complete;
  http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  return Done ? ParseOutcome::Complete : ParseOutcome::Invalid;
}

bool Http1Parser::countHeader(std::size_t Size) {
  HeaderBytes += Size;
  Overflow = Overflow || HeaderBytes > MaxHeaderBytes;
  return !Overflow;
}

int Http1Parser::onBegin(http_parser *Parser) {
  static_cast<Http1Parser *>(Parser->data)->Started = true;
  return 0;
}

int Http1Parser::onUrl(http_parser *Parser, const char *At, std::size_t Size) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  Self.Head.RequestTarget.append(At, Size);
  return Self.countHeader(Size) ? 0 : 1;
}

int Http1Parser::onField(http_parser *Parser, const char *At,
                         std::size_t Size) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  if (Self.HeadComplete) { // of a chunked body; not sent on
    Self.Trailers = true;
    return Self.countHeader(Size) ? 0 : 1;
  }
  if (Self.Head.Headers.empty() || Self.InValue)
    Self.Head.Headers.emplace_back();
  Self.InValue = false;
  Self.Head.Headers.back().Name.append(At, Size);
  return Self.countHeader(Size + 4) ? 0 : 1; // with ": " and the line's end
}

int Http1Parser::onValue(http_parser *Parser, const char *At,
                         std::size_t Size) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  if (Self.Trailers)
    return Self.countHeader(Size) ? 0 : 1;
  Self.InValue = true;
  if (!Self.Head.Headers.empty())
    Self.Head.Headers.back().Value.append(At, Size);
  return Self.countHeader(Size) ? 0 : 1;
}

/// A message with two lengths, or a length and chunks, ends in another place
/// for another reader.
bool Http1Parser::framedTwice() const {
  std::size_t Lengths = 0;
  std::size_t Codings = 0;
  for (const HttpHeader &Each : Head.Headers) {
    if (equalsIgnoringCase(Each.Name, "content-length"))
      ++Lengths;
    if (equalsIgnoringCase(Each.Name, "transfer-encoding")) {
      ++Codings;
      if (!equalsIgnoringCase(Each.Value, "chunked"))
        return true;
    }
  }
  return Lengths + Codings > 1;
}

int Http1Parser::onHeaders(http_parser *Parser) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  for (HttpHeader &Each : Self.Head.Headers) {
    dropLineBreaks(Each.Value);
    if (!isToken(Each.Name))
      return -1;
  }
  if (Self.framedTwice())
    return -1;
  Self.HeadComplete = true;
  if (Self.Role == HttpRole::Requests)
    Self.Head.Method =
        http_method_str(static_cast<http_method>(Parser->method));
  Self.Head.Status = Parser->status_code;
  Self.Head.Chunked = (Parser->flags & F_CHUNKED) != 0;
  Self.Head.Framed = Self.Head.Chunked ||
                     !Self.Head.header("content-length").empty() ||
                     Self.NoBody || Self.Head.Status == 204 ||
                     Self.Head.Status == 304 || Self.Role == HttpRole::Requests;
  Self.Head.KeepAlive = http_should_keep_alive(Parser) != 0 && Self.Head.Framed;
  if (Self.OnHead)
    Self.OnHead(Self.Head);
  return Self.NoBody ? 1 : 0;
}

int Http1Parser::onBody(http_parser *Parser, const char *At, std::size_t Size) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  if (Self.OnBody)
    Self.OnBody({At, Size});
  return 0;
}

int Http1Parser::onComplete(http_parser *Parser) {
  static_cast<Http1Parser *>(Parser->data)->Done = true;
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace marjorambay
