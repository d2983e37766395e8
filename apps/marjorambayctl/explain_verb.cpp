/// The verb that shows the history of one request from the log lines of all
/// hosts.
#include "verbs.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>

namespace marjorambay {

namespace {

/// Events that describe the state in which a host made its decisions. The last
/// event of each kind before a line of the request is shown with that line.
constexpr auto ContextEvents = std::to_array<std::string_view>(
    {"config_in_force", "pool_load", "arbiter_changed", "platform_source",
     "zone_evacuated", "zone_evacuation_ended", "store_lost",
     "memory_pressure_started", "memory_pressure_ended"});

/// Events that describe the state of one target. The last one before a line of
/// the request that names the target is shown with that line.
constexpr auto TargetEvents = std::to_array<std::string_view>(
    {"target_ramp_started", "target_ramp_ended"});

struct LogEntry {
  double Time = 0; ///< Unix seconds
  std::string Event{};
  std::string Text{};
};

/// Value of \p Key in a line of key=value pairs; empty if absent.
std::string_view valueIn(std::string_view Line, std::string_view Key) {
  const std::string Prefix = " " + std::string(Key) + "=";
  const std::size_t At = Line.find(Prefix);
  if (At == std::string_view::npos)
    return {};
  const std::size_t Begin = At + Prefix.size();
  return Line.substr(Begin, Line.find(' ', Begin) - Begin);
}

std::optional<LogEntry> readEntry(const std::string &Line) {
  // A log collector may have added a host name before the line.
  const std::size_t At = Line.find("t=");
  if (At == std::string::npos || Line.find("event=") == std::string::npos)
    return std::nullopt;
  LogEntry Entry;
  Entry.Time = std::strtod(Line.c_str() + At + 2, nullptr);
  Entry.Event = valueIn(Line, "event");
  Entry.Text = Line;
  return Entry;
}

std::vector<LogEntry> readEntries(std::istream &In) {
  std::vector<LogEntry> Entries;
  std::string Line;
  while (std::getline(In, Line))
    if (auto Entry = readEntry(Line))
      Entries.push_back(std::move(*Entry));
  std::stable_sort(
      Entries.begin(), Entries.end(),
      [](const LogEntry &A, const LogEntry &B) { return A.Time < B.Time; });
  return Entries;
}

std::string ageText(double Seconds) {
  return std::to_string(static_cast<long>(Seconds * 1000)) + " ms before";
}

} // namespace

int runExplain(const CommandLine & /*Line*/, const Arguments &Args,
               const Output &Out) {
  std::ifstream File;
  const bool FromPipe = Args.size() < 2 || Args[1] == "-";
  if (!FromPipe) {
    File.open(Args[1]);
    if (!File)
      return Out.fail({ErrorKind::NotFound, "can't read " + Args[1]});
  }
  const auto Entries = readEntries(FromPipe ? std::cin : File);
  std::map<std::string, const LogEntry *> LatestContext;
  std::map<std::string, const LogEntry *, std::less<>> LatestOfTarget;
  std::string History;
  nlohmann::ordered_json Lines = nlohmann::ordered_json::array();
  for (const LogEntry &Entry : Entries) {
    if (std::find(ContextEvents.begin(), ContextEvents.end(), Entry.Event) !=
        ContextEvents.end())
      LatestContext[Entry.Event] = &Entry;
    const std::string Target(valueIn(Entry.Text, "target"));
    if (std::find(TargetEvents.begin(), TargetEvents.end(), Entry.Event) !=
        TargetEvents.end())
      LatestOfTarget[Target] = &Entry;
    if (valueIn(Entry.Text, "request") != Args[0])
      continue;
    History += Entry.Text + "\n";
    Lines.push_back(Entry.Text);
    for (const auto &[Event, Context] : LatestContext)
      History += "    " + ageText(Entry.Time - Context->Time) + ": " +
                 Context->Text + "\n";
    if (const auto State = LatestOfTarget.find(Target);
        State != LatestOfTarget.end()) {
      History += "    " + ageText(Entry.Time - State->second->Time) + ": " +
                 State->second->Text + "\n";
      LatestOfTarget.erase(State);
    }
    LatestContext.clear(); // shown once, with the first line that follows
  }
  if (Lines.empty())
    return Out.fail({ErrorKind::NotFound,
                     "no log line for request " + Args[0] +
                         "; pass the log lines of all hosts for its time"});
  Out.print(History, Lines.dump());
  return 0;
}

} // namespace marjorambay
