/// Scanning of server-sent events.
#include "marjorambay/protocol/sse_scanner.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Maximum bytes buffered of a line that spans pieces; the rest is dropped.
constexpr std::size_t MaxBufferedLine = 65536;

/// Returns whether the line's JSON has a usage object that is not null.
bool hasUsage(std::string_view Data) {
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
      const std::size_t Room = MaxBufferedLine - Partial.size();
      Overlong = Overlong || Head.size() > Room;
      Partial.append(Head.substr(0, Room));
    }
    if (End == std::string_view::npos)
      return;
    processLine(Partial.empty() ? Head : std::string_view(Partial));
    Partial.clear();
    Overlong = false;
    Piece.remove_prefix(End + 1);
  }
}

void SseScanner::processLine(std::string_view Line) {
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
  if (!Overlong && hasUsage(Line))
    UsageJson = Line;
}

} // namespace marjorambay
