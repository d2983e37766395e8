/// The scanner of server-sent events.
#include "marjorambay/protocol/sse_scanner.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Longest part of a line that is kept across pieces.
constexpr std::size_t MaxKeptLine = 65536;

/// Whether the line's JSON has a usage object; null does not count.
bool tellsUsage(std::string_view Data) {
  constexpr std::string_view Name = "\"usage\"";
  for (std::size_t At = Data.find(Name); At != std::string_view::npos;
       At = Data.find(Name, At + 1)) {
    std::size_t Next = Data.find_first_not_of(" \t", At + Name.size());
    if (Next == std::string_view::npos || Data[Next] != ':')
      continue;
    Next = Data.find_first_not_of(" \t", Next + 1);
    if (Next != std::string_view::npos && Data[Next] == '{')
      return true;
  }
  return false;
}

} // namespace

void SseScanner::scan(std::string_view Piece) {
  while (!Piece.empty()) {
    const std::size_t End = Piece.find('\n');
    const std::string_view Head = Piece.substr(0, End);
    if (End == std::string_view::npos || !Partial.empty()) {
      const std::size_t Room = MaxKeptLine - Partial.size();
      Overlong = Overlong || Head.size() > Room;
      Partial.append(Head.substr(0, Room));
    }
    if (End == std::string_view::npos)
      return;
    line(Partial.empty() ? Head : std::string_view(Partial));
    Partial.clear();
    Overlong = false;
    Piece.remove_prefix(End + 1);
  }
}

void SseScanner::line(std::string_view Line) {
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  constexpr std::string_view Field = "data:";
  if (Line.substr(0, Field.size()) != Field)
    return;
  Line.remove_prefix(Field.size());
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  if (Line == "[DONE]") {
    Done = true;
    return;
  }
  const bool NoChoices = Line.find("\"choices\":[]") != std::string_view::npos;
  if (!NoChoices)
    ++TextEvents;
  if (!Overlong && tellsUsage(Line))
    UsageJson = Line;
}

} // namespace marjorambay
