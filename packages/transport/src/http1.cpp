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

/// Removes line breaks from a header value; when forwarded, they would start
/// another header.
void removeLineBreaks(std::string &Value) {
  std::erase_if(Value, [](char C) { return C == '\r' || C == '\n'; });
}

/// Whether a header name is valid. The parser accepts blanks in names, but
/// another recipient might read "Content-Length : 5" as a length.
bool isToken(std::string_view Name) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), [&](unsigned char C) {
           return std::isalnum(C) != 0 ||
                  Symbols.find(static_cast<char>(C)) != std::string_view::npos;
         });
}

/// Whether responses of this status end with their head, whatever length or
/// transfer coding it has (RFC 9112, 6.3). http_parser reads a body of theirs.
bool neverHasBody(int Status) {
  return Status / 100 == 1 || Status == HTTP_STATUS_NO_CONTENT ||
         Status == HTTP_STATUS_NOT_MODIFIED;
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
      [&](std::string_view Entry) { return equalsIgnoringCase(Entry, Name); });
}

bool isValidHeader(const HttpHeader &Header) {
  using namespace std::string_view_literals;
  return isToken(Header.Name) &&
         Header.Value.find_first_of("\r\n\0"sv) == std::string::npos;
}

std::string_view HttpHead::header(std::string_view Name) const {
  for (const HttpHeader &Header : Headers)
    if (equalsIgnoringCase(Header.Name, Name))
      return Header.Value;
  return {};
}

Http1Parser::Http1Parser(HttpMessageType Type, std::size_t MaxHeaderBytes)
    : Type(Type), MaxHeaderBytes(MaxHeaderBytes) {
  reset();
}

void Http1Parser::reset() {
  http_parser_init(&Parser, Type == HttpMessageType::Request ? HTTP_REQUEST
                                                             : HTTP_RESPONSE);
  Parser.data = this;
  HeadCheck = {};
  Chunks = {};
  Head = HttpHead{};
  HeaderBytes = 0;
  Started = HeadComplete = MessageComplete = NoBody = InValue =
      HeadersTooLarge = InTrailers = false;
}

const http_parser_settings &Http1Parser::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_message_begin = &Http1Parser::onBegin;
    Settings.on_url = &Http1Parser::onUrl;
    Settings.on_header_field = &Http1Parser::onField;
    Settings.on_header_value = &Http1Parser::onValue;
    Settings.on_headers_complete = &Http1Parser::onHeaders;
    Settings.on_body = &Http1Parser::onBody;
    Settings.on_message_complete = &Http1Parser::onComplete;
    return Settings;
  }();
  return Table;
}

ParseOutcome Http1Parser::feed(std::string_view &Bytes) {
  if (MessageComplete)
    return ParseOutcome::Complete;
  if (Type == HttpMessageType::Response && !HeadComplete) {
    const ParseOutcome Outcome = feedHead(Bytes);
    if (Outcome != ParseOutcome::Incomplete || Bytes.empty())
      return Outcome;
  }
  const bool ChecksChunks =
      Type == HttpMessageType::Response && Head.Framing == BodyFraming::Chunked;
  if (ChecksChunks && !Chunks.feed(Bytes))
    return ParseOutcome::Invalid;
  return parse(Bytes);
}

/// Consumes the bytes of a response's head; the framing that it states decides
/// how the rest is checked.
ParseOutcome Http1Parser::feedHead(std::string_view &Bytes) {
  std::string_view Rest = Bytes;
  if (!HeadCheck.feed(Rest))
    return ParseOutcome::Invalid;
  std::string_view HeadBytes = Bytes.substr(0, Bytes.size() - Rest.size());
  if (HeadBytes.empty()) // the head has ended for the check alone
    return ParseOutcome::Invalid;
  const ParseOutcome Outcome = parse(HeadBytes);
  Bytes = Rest;
  return Outcome;
}

ParseOutcome Http1Parser::parse(std::string_view &Bytes) {
  const std::size_t Consumed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (MessageComplete) { // onComplete() pauses before the next message
    Bytes.remove_prefix(std::min(Consumed, Bytes.size()));
    return ParseOutcome::Complete;
  }
  const auto Failure = HTTP_PARSER_ERRNO(&Parser);
  if (HeadersTooLarge || Failure == HPE_HEADER_OVERFLOW)
    return ParseOutcome::TooLarge;
  if (Failure != HPE_OK || Parser.upgrade)
    return ParseOutcome::Invalid;
  Bytes.remove_prefix(Consumed);
  return ParseOutcome::Incomplete;
}

ParseOutcome Http1Parser::feedEof() {
  if (MessageComplete)
    return ParseOutcome::Complete;
  http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  return MessageComplete ? ParseOutcome::Complete : ParseOutcome::Invalid;
}

bool Http1Parser::addHeaderBytes(std::size_t Size) {
  HeaderBytes += Size;
  HeadersTooLarge = HeadersTooLarge || HeaderBytes > MaxHeaderBytes;
  return !HeadersTooLarge;
}

int Http1Parser::onBegin(http_parser *Parser) {
  static_cast<Http1Parser *>(Parser->data)->Started = true;
  return 0;
}

int Http1Parser::onUrl(http_parser *Parser, const char *At, std::size_t Size) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  Self.Head.RequestTarget.append(At, Size);
  return Self.addHeaderBytes(Size) ? 0 : 1;
}

int Http1Parser::onField(http_parser *Parser, const char *At,
                         std::size_t Size) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  if (Self.HeadComplete) { // trailer of a chunked body; not forwarded
    Self.InTrailers = true;
    return Self.addHeaderBytes(Size) ? 0 : 1;
  }
  if (Self.Head.Headers.empty() || Self.InValue)
    Self.Head.Headers.emplace_back();
  Self.InValue = false;
  Self.Head.Headers.back().Name.append(At, Size);
  return Self.addHeaderBytes(Size + 4) ? 0 : 1; // 4 for ": " and the line break
}

int Http1Parser::onValue(http_parser *Parser, const char *At,
                         std::size_t Size) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  if (Self.InTrailers)
    return Self.addHeaderBytes(Size) ? 0 : 1;
  Self.InValue = true;
  if (!Self.Head.Headers.empty())
    Self.Head.Headers.back().Value.append(At, Size);
  return Self.addHeaderBytes(Size) ? 0 : 1;
}

/// Whether the message has two lengths, a length and chunks, or an unknown
/// transfer coding. Recipients would disagree on where it ends, which allows
/// request smuggling.
bool Http1Parser::hasAmbiguousFraming() const {
  std::size_t Lengths = 0;
  std::size_t Encodings = 0;
  for (const HttpHeader &Header : Head.Headers) {
    if (equalsIgnoringCase(Header.Name, "content-length"))
      ++Lengths;
    if (equalsIgnoringCase(Header.Name, "transfer-encoding")) {
      ++Encodings;
      if (!equalsIgnoringCase(Header.Value, "chunked"))
        return true;
    }
  }
  return Lengths + Encodings > 1;
}

BodyFraming Http1Parser::framing() const {
  if (NoBody)
    return BodyFraming::Length;
  if ((Parser.flags & F_CHUNKED) != 0)
    return BodyFraming::Chunked;
  const bool HasLength = !Head.header("content-length").empty() ||
                         Type == HttpMessageType::Request;
  return HasLength ? BodyFraming::Length : BodyFraming::UntilClose;
}

int Http1Parser::onHeaders(http_parser *Parser) {
  auto &Self = *static_cast<Http1Parser *>(Parser->data);
  for (HttpHeader &Header : Self.Head.Headers) {
    removeLineBreaks(Header.Value);
    if (!isToken(Header.Name))
      return -1;
  }
  if (Self.hasAmbiguousFraming())
    return -1;
  Self.HeadComplete = true;
  if (Self.Type == HttpMessageType::Request)
    Self.Head.Method =
        http_method_str(static_cast<http_method>(Parser->method));
  Self.Head.Status = Parser->status_code;
  if (Self.Head.Status == HTTP_STATUS_SWITCHING_PROTOCOLS)
    return -1; // no request asks for another protocol
  Self.NoBody = Self.NoBody || neverHasBody(Self.Head.Status);
  Self.Head.Framing = Self.framing();
  Self.Head.Http10 = Parser->http_major < 1 ||
                     (Parser->http_major == 1 && Parser->http_minor == 0);
  Self.Head.KeepAlive = http_should_keep_alive(Parser) != 0 &&
                        Self.Head.Framing != BodyFraming::UntilClose;
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
  static_cast<Http1Parser *>(Parser->data)->MessageComplete = true;
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace marjorambay
