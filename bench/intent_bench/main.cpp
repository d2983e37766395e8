/// Measures one holder of intent shards in virtual time: platform calls, bytes
/// and added latency at several rates, segment sizes and write budgets.
///
/// intent_bench [--json]
/// Each row is two virtual minutes of intents at a steady rate with random
/// spacing, each followed by its outcome 50 ms after it was recorded, over a
/// platform that answers in 4 ms. Latency is from the request to Fresh.
#include "bench/support/slope.h"

#include "marjorambay/coordination/intent_log.h"
#include "marjorambay/state/random.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjorambay::bench {

namespace {

constexpr Duration PlatformTime = milliseconds(4);
constexpr Duration TickPeriod = milliseconds(10);
constexpr Duration RunTime = minutes(2);
constexpr Duration OutcomeAfter = milliseconds(50);

struct Row {
  double IntentsPerSecond = 10;
  std::uint32_t Shards = 1; ///< that this holder is asked for
  std::uint32_t SegmentBytes = 4096;
  double WritesPerSecond = 20;
};

struct Measured {
  std::uint64_t Intents = 0;
  std::uint64_t OpenAtEnd = 0;
  IntentLogStats Stats{};
  double MedianMs = 0;
  double Tail99Ms = 0;
  double MicrosPerIntent = 0;
  std::size_t Keys = 0;
  IntentLogStats Load{}; ///< of a new holder that reads all of it
  double LoadMicros = 0; ///< its processor time
  double LoadMs = 0;     ///< virtual time until its first answer
};

/// Virtual time, a platform in a map, and one intent log.
class Run {
public:
  explicit Run(const Row &Wanted) : Wanted(Wanted), Log(settingsOf(Wanted)) {}

  Measured measure() {
    Measured Result;
    Result.MicrosPerIntent = microsOf([&] { simulate(); });
    Result.Intents = Arrived;
    Result.OpenAtEnd = Arrived - LatenciesMs.size();
    Result.MicrosPerIntent /= static_cast<double>(Arrived);
    Result.Stats = Log.stats();
    Result.Keys = Log.keys();
    std::sort(LatenciesMs.begin(), LatenciesMs.end());
    Result.MedianMs = LatenciesMs[LatenciesMs.size() / 2];
    Result.Tail99Ms = LatenciesMs[LatenciesMs.size() * 99 / 100];
    loadAgain(Result);
    return Result;
  }

private:
  static IntentLogSettings settingsOf(const Row &Wanted) {
    IntentLogSettings Settings;
    Settings.Shards = Wanted.Shards;
    Settings.SegmentBytes = Wanted.SegmentBytes;
    Settings.WritesPerSecond = Wanted.WritesPerSecond;
    return Settings;
  }

  void simulate() {
    const TimePoint End = Now + RunTime;
    TimePoint NextTick = Now;
    TimePoint NextArrival = Now;
    while (Now < End) {
      TimePoint Next = std::min(NextTick, NextArrival);
      if (!Due.empty())
        Next = std::min(Next, Due.begin()->first);
      Now = Next;
      if (Now == NextTick) {
        NextTick += TickPeriod;
        step(IntentLogTicked{WallTime(Now.time_since_epoch() + hours(1))});
      } else if (Now == NextArrival) {
        arrive();
        NextArrival += gap();
      } else {
        const IntentLogEvent Event = Due.begin()->second;
        Due.erase(Due.begin());
        step(Event);
      }
    }
  }

  /// Another host becomes the holder of all shards.
  void loadAgain(Measured &Result) {
    Log = IntentLog(settingsOf(Wanted));
    Due.clear();
    Began.clear();
    const TimePoint Start = Now;
    Result.LoadMicros = microsOf([&] {
      step(IntentLogTicked{WallTime(Now.time_since_epoch() + hours(1))});
      for (std::uint32_t Shard = 0; Shard < Wanted.Shards; ++Shard)
        step(IntentRequested{{}, {Shard, 0}, 1, seconds(30)});
      while (!Due.empty()) {
        Now = Due.begin()->first;
        const IntentLogEvent Event = Due.begin()->second;
        Due.erase(Due.begin());
        step(Event);
      }
    });
    Result.Load = Log.stats();
    Result.LoadMs = 1e3 * toSeconds(Now - Start);
  }

  Duration gap() {
    const double Draw = 1.0 - drawFraction(Random);
    return fromSeconds(-std::log(Draw) / Wanted.IntentsPerSecond) +
           microseconds(1);
  }

  void arrive() {
    const RequestKey Key{HostId{1}, IncarnationId{1}, RequestId{++Arrived}};
    Began[Key] = Now;
    step(IntentRequested{Key, keyHash(Arrived), 1, seconds(30)});
  }
  static KeyHash keyHash(std::uint64_t Number) {
    return {mixBits(Number), mixBits(~Number)};
  }

  void step(const IntentLogEvent &Event) {
    for (const IntentLogAction &Action : Log.step(Event, Now))
      std::visit([this](const auto &Known) { act(Known); }, Action);
  }
  void act(const ReadObject &Call) {
    ObjectRead Answer;
    Answer.Call = Call.Call;
    const auto Found = Objects.find(Call.Name);
    if (Found != Objects.end()) {
      Answer.Found = true;
      Answer.Version = Found->second.first;
      Answer.Bytes = Found->second.second;
    }
    Due.emplace(Now + PlatformTime, Answer);
  }
  void act(const WriteObject &Call) {
    auto &[Version, Bytes] = Objects[Call.Name];
    Bytes = Call.Bytes;
    Due.emplace(Now + PlatformTime,
                ObjectWritten{Call.Call, WriteResult::Committed, ++Version});
  }
  void act(const AnswerIntent &Answer) {
    if (Answer.Decision != IntentDecision::Fresh)
      return;
    LatenciesMs.push_back(1e3 * toSeconds(Now - Began[Answer.Request]));
    Began.erase(Answer.Request);
    OutcomeReported Ended;
    Ended.Request = Answer.Request;
    Ended.Key = keyHash(number(Answer.Request.Id));
    Ended.HttpStatus = 200;
    Due.emplace(Now + OutcomeAfter, Ended);
  }

  Row Wanted;
  IntentLog Log;
  SplitMix64 Random{7};
  TimePoint Now{hours(1)};
  std::multimap<TimePoint, IntentLogEvent> Due{};
  std::map<std::string, std::pair<ObjectVersion, std::string>> Objects{};
  std::unordered_map<RequestKey, TimePoint> Began{};
  std::vector<double> LatenciesMs{};
  std::uint64_t Arrived = 0;
};

void print(const Row &Wanted, bool Json) {
  const Measured Result = Run(Wanted).measure();
  const double Seconds = toSeconds(RunTime);
  const double Intents = static_cast<double>(Result.Intents);
  const auto Written = static_cast<double>(Result.Stats.BytesWritten);
  const IntentLogStats &Load = Result.Load;
  const char *Format =
      Json ? "{\"intents_per_s\": %g, \"shards\": %u, \"segment_bytes\": %u, "
             "\"write_budget_per_s\": %g, \"writes_per_s\": %.2f, "
             "\"reads_per_s\": %.2f, \"bytes_written_per_s\": %.0f, "
             "\"bytes_per_intent\": %.0f, \"intents_per_write\": %.2f, "
             "\"median_ms\": %.1f, \"tail99_ms\": %.1f, "
             "\"micros_per_intent\": %.2f, \"open_at_end\": %llu, \"keys\": "
             "%zu, "
             "\"load_reads\": %llu, \"load_bytes\": %llu, "
             "\"load_micros\": %.0f, \"load_ms\": %.0f}\n"
           : "%9g %6u %8u %7g | %8.2f %7.2f %9.0f %9.0f %7.2f %8.1f %8.1f "
             "%7.2f %6llu | %7zu %6llu %9llu %8.0f %7.0f\n";
  std::printf(Format, Wanted.IntentsPerSecond, Wanted.Shards,
              Wanted.SegmentBytes, Wanted.WritesPerSecond,
              static_cast<double>(Result.Stats.Writes) / Seconds,
              static_cast<double>(Result.Stats.Reads) / Seconds,
              Written / Seconds, Written / Intents,
              Intents / static_cast<double>(Result.Stats.Writes),
              Result.MedianMs, Result.Tail99Ms, Result.MicrosPerIntent,
              static_cast<unsigned long long>(Result.OpenAtEnd), Result.Keys,
              static_cast<unsigned long long>(Load.Reads),
              static_cast<unsigned long long>(Load.BytesRead),
              Result.LoadMicros, Result.LoadMs);
}

std::vector<Row> rows() {
  std::vector<Row> Rows;
  // Rate, at one shard.
  for (const double Rate : {2.5, 12.5, 100.0, 400.0})
    Rows.push_back({Rate, 1, 4096, 4});
  // Segment size.
  for (const std::uint32_t Bytes : {1024U, 4096U, 16384U, 65536U})
    Rows.push_back({12.5, 1, Bytes, 4});
  // Write budget.
  for (const double Budget : {1.0, 2.0, 4.0, 20.0})
    Rows.push_back({12.5, 1, 4096, Budget});
  // Shards that share one host's budget.
  for (const std::uint32_t Shards : {1U, 4U, 16U})
    Rows.push_back({100, Shards, 4096, 20});
  return Rows;
}

} // namespace

} // namespace marjorambay::bench

int main(int Count, char **Words) {
  using namespace marjorambay::bench;
  const bool Json = Count > 1 && std::strcmp(Words[1], "--json") == 0;
  if (!Json)
    std::printf("intents/s shards  segment  budget | writes/s reads/s "
                "bytes/s   B/intent int/wr  median ms  p99 ms  us/int  open | "
                "keys, and to load them: reads "
                "bytes us virtual-ms\n");
  for (const Row &Each : rows())
    print(Each, Json);
  return 0;
}
