/// Checks that http_parser does not make of a response's head.
#include "marjorambay/transport/response_head_check.h"

#include <cctype>

namespace marjorambay {

namespace {

/// Of "HTTP/1.1 200 ", which a reason may follow.
constexpr std::size_t StatusOffset = 9;
constexpr std::size_t StatusDigits = 3;
constexpr std::size_t CheckedBytes = StatusOffset + StatusDigits + 1;

bool isDigit(char C) {
  return std::isdigit(static_cast<unsigned char>(C)) != 0;
}

/// Whether a status line, of which \p Line is the start, has a status from 100
/// to 599 (RFC 9110, 15).
bool hasValidStatus(std::string_view Line) {
  if (Line.size() < StatusOffset + StatusDigits ||
      Line[StatusOffset - 1] != ' ')
    return false;
  const std::string_view Status = Line.substr(StatusOffset, StatusDigits);
  return Status[0] >= '1' && Status[0] <= '5' && isDigit(Status[1]) &&
         isDigit(Status[2]) &&
         (Line.size() < CheckedBytes || Line[CheckedBytes - 1] == ' ');
}

} // namespace

bool isLineByte(char C) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  const auto Byte = static_cast<unsigned char>(C);
  return C == '\t' || (Byte >= FirstPrintable && Byte != Delete);
}

ResponseHeadCheck ResponseHeadCheck::ofTrailers() {
  ResponseHeadCheck Check;
  Check.StatusLineComplete = true;
  return Check;
}

bool ResponseHeadCheck::feed(std::string_view &Bytes) {
  while (!Complete && !Bytes.empty()) {
    const char C = Bytes.front();
    if (!(C == '\n' ? endLine() : addByte(C)))
      return false;
    Bytes.remove_prefix(1);
  }
  return true;
}

bool ResponseHeadCheck::addByte(char C) {
  const bool IsReturn = C == '\r';
  if (AfterReturn || (!IsReturn && !isLineByte(C)))
    return false;
  AfterReturn = IsReturn;
  if (IsReturn)
    return true;
  if (LineEmpty)
    Folded = StatusLineComplete && (C == ' ' || C == '\t');
  if (Folded && C == ':')
    return false;
  LineEmpty = false;
  if (!StatusLineComplete && StatusLine.size() < CheckedBytes)
    StatusLine += C;
  return true;
}

bool ResponseHeadCheck::endLine() {
  AfterReturn = false;
  if (LineEmpty) { // or a blank line before the response
    Complete = StatusLineComplete;
    return true;
  }
  LineEmpty = true;
  const bool IsStatusLine = !StatusLineComplete;
  StatusLineComplete = true;
  return !IsStatusLine || hasValidStatus(StatusLine);
}

} // namespace marjorambay
