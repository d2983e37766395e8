/// Detection of event boundaries and event ids of server-sent events.
#include "marjorambay/protocol/sse_splitter.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace marjorambay {

namespace {

/// Returns the length of the first event in \p Bytes including its terminating
/// blank line, or npos. Searches from \p From on.
std::size_t eventLength(std::string_view Bytes, std::size_t From) {
  for (std::size_t At = Bytes.find('\n', From); At != std::string_view::npos;
       At = Bytes.find('\n', At + 1)) {
    if (At + 1 < Bytes.size() && Bytes[At + 1] == '\n')
      return At + 2;
    if (At + 2 < Bytes.size() && Bytes[At + 1] == '\r' && Bytes[At + 2] == '\n')
      return At + 3;
  }
  return std::string_view::npos;
}

/// Returns the value of the event's id field, or nullopt.
std::optional<std::string_view> idOfEvent(std::string_view Event) {
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.starts_with("id:")) {
      Line.remove_prefix(3);
      if (!Line.empty() && Line.front() == ' ')
        Line.remove_prefix(1);
      return Line;
    }
    if (End == std::string_view::npos)
      break;
    Event.remove_prefix(End + 1);
  }
  return std::nullopt;
}

/// Whether the block has a field, and not only comments.
bool hasField(std::string_view Block) {
  while (!Block.empty()) {
    const char First = Block.front();
    if (First != ':' && First != '\r' && First != '\n')
      return true;
    const std::size_t End = Block.find('\n');
    if (End == std::string_view::npos)
      break;
    Block.remove_prefix(End + 1);
  }
  return false;
}

} // namespace

SseSplitter::Verdict SseSplitter::judge(std::string_view Event) {
  if (!hasField(Event))
    return Verdict::Forward; // a comment
  const auto Id = idOfEvent(Event);
  std::uint64_t Number = 0;
  const bool IsNumber =
      Id && std::from_chars(Id->data(), Id->data() + Id->size(), Number).ec ==
                std::errc();
  const bool Continues = Resumed && !LastId.empty();
  if (Continues && AllNumbered && !IsNumber)
    return Verdict::Stop;
  if (Continues && IsNumber && Number <= LastNumber) {
    Repeated = std::max(Repeated, Number);
    return Verdict::Drop;
  }
  Continued = Continued || Resumed;
  AllNumbered = AllNumbered && IsNumber;
  if (Id)
    LastId = std::string(*Id);
  LastNumber = IsNumber ? Number : LastNumber;
  return Verdict::Forward;
}

std::string_view SseSplitter::feed(std::string_view Bytes) {
  Complete.clear();
  if (Overlong || Foreign)
    return Complete;
  // A boundary is up to three bytes long and may span two pieces.
  const std::size_t SearchFrom = Partial.size() < 3 ? 0 : Partial.size() - 3;
  Partial.append(Bytes);
  std::string_view Remaining = Partial;
  std::size_t Length = eventLength(Remaining, SearchFrom);
  while (Length <= MaxEventBytes) {
    Completed += hasField(Remaining.substr(0, Length)) ? 1 : 0;
    const Verdict Next = judge(Remaining.substr(0, Length));
    if (Next == Verdict::Stop) {
      Foreign = true;
      return Complete;
    }
    if (Next == Verdict::Forward) {
      Complete.append(Remaining.substr(0, Length));
      ++Events;
    }
    Remaining.remove_prefix(Length);
    Length = eventLength(Remaining, 0);
  }
  if (Remaining.size() != Partial.size())
    Partial = std::string(Remaining);
  Overlong = Partial.size() > MaxEventBytes;
  return Complete;
}

void SseSplitter::resume() {
  Partial.clear();
  Overlong = false;
  Foreign = false;
  Continued = false;
  Repeated = 0;
  Resumed = true;
}

} // namespace marjorambay
