/// Measures the origin: processor time and allocations of a request and of a
/// stream event, at several numbers of requests in progress.
///
/// origin_bench [RUNS]   prints JSON lines, as bench/slopes does
#include "bench/support/slope.h"

#include "marjorambay/coordination/origin.h"

#include <cstdlib>
#include <malloc.h>
#include <new>
#include <vector>

namespace {
std::size_t Live = 0;
std::size_t Allocations = 0;
} // namespace

void *operator new(std::size_t Size) {
  void *Block = std::malloc(Size == 0 ? 1 : Size);
  if (Block == nullptr)
    std::abort();
  ++Allocations;
  Live += malloc_usable_size(Block);
  return Block;
}
void operator delete(void *Block) noexcept {
  if (Block != nullptr)
    Live -= malloc_usable_size(Block);
  std::free(Block);
}
void operator delete(void *Block, std::size_t) noexcept {
  operator delete(Block);
}

std::size_t marjorambay::bench::liveBytes() { return Live; }

namespace marjorambay::bench {

namespace {

constexpr PoolId Pool{1};
constexpr std::uint64_t Accounts = 1100;
constexpr std::size_t Events = 200000;

Origin fresh() {
  OriginSettings Settings;
  Settings.MaxQueuedPerAccount = 1000000;
  return Origin(Settings, SplitMix64(1));
}

CallerRequested callOf(std::uint64_t Number) {
  CallerRequested Call;
  Call.Id = RequestId{Number};
  Call.Account = AccountId{Number % Accounts};
  Call.Pool = Pool;
  Call.TimeLeft = seconds(60);
  return Call;
}

/// An origin with \p Size requests, dispatched if \p Sent.
Origin filled(std::size_t Size, bool Sent) {
  Origin Tested = fresh();
  for (std::uint64_t Row = 1; Row <= Size; ++Row) {
    Tested.step(callOf(Row), TimePoint{});
    if (Sent)
      Tested.step(SlotGranted{RequestId{Row}, TargetId{Row % 20}, Pool},
                  TimePoint{});
  }
  return Tested;
}

double bytesOfQueued(std::size_t Size) {
  const std::size_t Before = Live;
  const Origin Tested = filled(Size, false);
  return static_cast<double>(Live - Before);
}

double bytesOfStreams(std::size_t Size) {
  const std::size_t Before = Live;
  const Origin Tested = filled(Size, true);
  return static_cast<double>(Live - Before);
}

template <typename Metric> double overEvents(std::size_t Size, Metric Of) {
  Origin Tested = filled(Size, true);
  for (std::uint64_t Row = 1; Row <= Size; ++Row)
    Tested.step(AnswerProgressed{RequestId{Row}, 1, 1}, TimePoint{});
  return Of([&] {
    for (std::size_t Event = 0; Event < Events; ++Event)
      keep(Tested.step(AnswerProgressed{RequestId{1 + Event * 7 % Size}, 1, 1},
                       TimePoint{milliseconds(1)}));
  });
}

double microsOfEvent(std::size_t Size) {
  return overEvents(Size, [](auto &&Work) { return microsOf(Work); }) / Events;
}

double allocationsOfEvent(std::size_t Size) {
  return overEvents(Size,
                    [](auto &&Work) {
                      const std::size_t Before = Allocations;
                      Work();
                      return static_cast<double>(Allocations - Before);
                    }) /
         Events;
}

/// A request from its arrival to its end, while \p Size others wait.
double microsOfRequest(std::size_t Size) {
  constexpr std::uint64_t Requests = 20000;
  Origin Tested = filled(Size, false);
  return microsOf([&] {
           for (std::uint64_t Row = 1; Row <= Requests; ++Row) {
             const RequestId Id{1000000 + Row};
             Tested.step(callOf(number(Id)), TimePoint{});
             Tested.step(SlotGranted{Id, TargetId{1}, Pool}, TimePoint{});
             Tested.step(AnswerProgressed{Id, 1, 1}, TimePoint{});
             AnswerCompleted Whole;
             Whole.Id = Id;
             keep(Tested.step(Whole, TimePoint{}));
           }
         }) /
         Requests;
}

} // namespace

} // namespace marjorambay::bench

int main(int Count, char **Words) {
  using namespace marjorambay::bench;
  const int Runs = Count > 1 ? std::atoi(Words[1]) : 3;
  const std::vector<std::size_t> Sizes{100, 1000, 10000};
  printPoints(
      {{"origin_queued_bytes", "queued request", "bytes", Sizes, bytesOfQueued},
       {"origin_stream_bytes", "open stream", "bytes", Sizes, bytesOfStreams},
       {"origin_event_micros", "stream event at N streams", "us", Sizes,
        microsOfEvent},
       {"origin_event_allocations", "stream event at N streams", "allocations",
        Sizes, allocationsOfEvent},
       {"origin_request_micros", "request at N waiting", "us", Sizes,
        microsOfRequest}},
      Runs);
  return 0;
}
