/// Measures what a reservation costs the arbiter from request to release, in
/// processor time and in bytes, against the length of the queue and the number
/// of client accounts.
///
/// reservation_bench [--json] [--runs N]
///   --json: the raw points in the form of bench/slopes.
#include "bench/support/slope.h"

#include "marjorambay/coordination/arbiter.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <malloc.h>
#include <vector>

namespace marjorambay::bench {
namespace {

constexpr std::size_t TargetCount = 150;
constexpr std::uint32_t SlotsPerTarget = 32;
constexpr std::size_t ModelCount = 11;
constexpr std::size_t TierCount = 3;
constexpr std::size_t LargeQueue = 10'000;
constexpr std::size_t ManyAccounts = 1'100;

/// An arbiter whose targets are full and whose queue has a given length. Each
/// turn releases the oldest slot, which grants another, and asks for one more.
class LoadedArbiter {
public:
  LoadedArbiter(std::size_t Queued, std::size_t Accounts)
      : AccountCount(Accounts) {
    TargetsChanged Changed;
    for (std::size_t Index = 0; Index < TargetCount; ++Index) {
      TargetInfo Info;
      Info.Id = static_cast<TargetId>(Index + 1);
      Info.MaxRequestsInFlight = SlotsPerTarget;
      Info.TokensPerSecond = 500.0 * static_cast<double>(1 + Index % 3);
      Changed.Targets.push_back(Info);
    }
    apply(Changed);
    while (Policy.view(Now).InFlight < TargetCount * SlotsPerTarget)
      request();
    for (std::size_t Index = 0; Index < Queued; ++Index)
      request();
  }

  void turn() {
    Now += milliseconds(1);
    Usage Used;
    Used.PromptTokens = 400;
    Used.OutputTokens = 100;
    Used.TimeToFirstToken = milliseconds(100);
    Used.Total = seconds(5);
    const RequestKey Oldest = Held.front();
    Held.pop_front();
    apply(SlotReleased{Oldest, Used});
    request();
  }

  std::size_t refused() const { return Refused; }

private:
  void request() {
    Reservation Asked;
    const std::uint64_t Number = ++LastId;
    Asked.Key = {HostId{Number % 14 + 1}, IncarnationId{1}, RequestId{Number}};
    Asked.Account = static_cast<AccountId>(Number * 7 % AccountCount + 1);
    Asked.Tier = static_cast<TierRank>(Number % TierCount);
    Asked.Model = static_cast<ModelId>(Number % ModelCount + 1);
    Asked.Cost = {400, 100};
    Asked.PrefixHash = Number % 1000;
    Asked.Remaining = seconds(600 + Number * 13 % 600);
    apply(SlotRequested{Asked});
  }

  void apply(const ArbiterEvent &Event) {
    for (const ArbiterAction &Action : Policy.step(Event, Now)) {
      if (const auto *Grant = std::get_if<GrantSlot>(&Action))
        Held.push_back(Grant->Key);
      Refused += std::holds_alternative<RefuseSlot>(Action) ? 1 : 0;
    }
  }

  Arbiter Policy{};
  TimePoint Now = TimePoint(hours(1));
  std::deque<RequestKey> Held{};
  std::size_t AccountCount;
  std::uint64_t LastId = 0;
  std::size_t Refused = 0;
};

double microsEach(std::size_t Queued, std::size_t Accounts) {
  constexpr int Turns = 4'000;
  LoadedArbiter Loaded(Queued, Accounts);
  const double Micros = microsOf([&Loaded] {
    for (int Turn = 0; Turn < Turns; ++Turn)
      Loaded.turn();
  });
  if (Loaded.refused() != 0)
    std::fprintf(stderr, "%zu reservations were refused\n", Loaded.refused());
  return Micros / Turns;
}

/// Bytes that the allocator has handed out.
std::size_t bytesInUse() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

double bytesHeld(std::size_t Queued, std::size_t Accounts) {
  const std::size_t Before = bytesInUse();
  const LoadedArbiter Loaded(Queued, Accounts);
  return static_cast<double>(bytesInUse() - Before);
}

std::vector<Slope> slopes() {
  return {
      {"reservation_micros",
       "queued reservation",
       "us",
       {10, 1'000, 10'000},
       [](std::size_t Queued) { return microsEach(Queued, ManyAccounts); }},
      {"reservation_micros_by_account",
       "client account",
       "us",
       {5, 100, 1'100},
       [](std::size_t Accounts) { return microsEach(LargeQueue, Accounts); }},
      {"arbiter_bytes",
       "queued reservation",
       "B",
       {10, 1'000, 10'000},
       [](std::size_t Queued) { return bytesHeld(Queued, ManyAccounts); }},
      {"arbiter_bytes_by_account",
       "client account",
       "B",
       {5, 100, 1'100},
       [](std::size_t Accounts) { return bytesHeld(LargeQueue, Accounts); }},
  };
}

double median(std::size_t Runs, std::size_t Queued, std::size_t Accounts) {
  std::vector<double> Values;
  for (std::size_t Run = 0; Run < Runs; ++Run)
    Values.push_back(microsEach(Queued, Accounts));
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

void printTable(std::size_t Runs) {
  std::printf("%zu targets of %u slots, %zu models, %zu tiers; a reservation "
              "from request to release\n",
              TargetCount, SlotsPerTarget, ModelCount, TierCount);
  std::printf("%8s %9s %12s %14s\n", "queued", "accounts", "microseconds",
              "bytes, each");
  for (const std::size_t Accounts : {5, 100, 1'100}) {
    const double Empty = bytesHeld(0, Accounts);
    for (const std::size_t Queued : {10, 1'000, 10'000}) {
      const double Bytes =
          (bytesHeld(Queued, Accounts) - Empty) / static_cast<double>(Queued);
      std::printf("%8zu %9zu %12.2f %14.0f\n", Queued, Accounts,
                  median(Runs, Queued, Accounts), Bytes);
    }
  }
}

} // namespace
} // namespace marjorambay::bench

int main(int Count, char **Words) {
  using namespace marjorambay::bench;
  bool Json = false;
  int Runs = 5;
  for (int Index = 1; Index < Count; ++Index) {
    if (std::strcmp(Words[Index], "--json") == 0)
      Json = true;
    else if (std::strcmp(Words[Index], "--runs") == 0 && Index + 1 < Count)
      Runs = std::atoi(Words[++Index]);
    else
      Runs = 0;
  }
  if (Runs < 1) {
    std::fprintf(stderr, "usage: reservation_bench [--json] [--runs N]\n");
    return 2;
  }
  if (Json)
    printPoints(slopes(), Runs);
  else
    printTable(static_cast<std::size_t>(Runs));
  return 0;
}
