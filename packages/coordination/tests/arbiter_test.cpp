/// Tests of the complete arbiter.
#include "arbiter_fixture.h"

#include "marjorambay/state/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace marjorambay {
namespace {

using namespace marjorambay::testing;
using Ids = std::vector<std::uint64_t>;

/// An arbiter and its targets under a steady load. A target answers after a
/// fixed time, or fails at once if it is broken.
struct FailingPool {
  Arbiter Policy{settings()};
  std::multimap<TimePoint, std::pair<RequestKey, DispatchOutcome>>
      Completions{};
  std::map<TargetId, int> Failed{};
  std::set<TargetId> Broken{};
  std::uint64_t LastId = 0;
  int Served = 0;

  static ArbiterSettings settings() {
    ArbiterSettings Result;
    Result.Targets.TrustDeclaredSlots = true;
    return Result;
  }
  void perform(const ArbiterActions &Actions, TimePoint Now) {
    for (const GrantSlot &Grant : only<GrantSlot>(Actions)) {
      const bool Fails = Broken.count(Grant.Target) > 0;
      Failed[Grant.Target] += Fails ? 1 : 0;
      Served += Fails ? 0 : 1;
      Completions.emplace(
          Now + (Fails ? milliseconds(2) : milliseconds(100)),
          std::pair(Grant.Key, Fails ? DispatchOutcome::Failed
                                     : DispatchOutcome::Complete));
    }
  }
  /// Sends 100 requests per second for \p Time.
  void run(TimePoint From, Duration Time) {
    for (TimePoint Now = From; Now < From + Time; Now += milliseconds(10)) {
      while (!Completions.empty() && Completions.begin()->first <= Now) {
        const auto [Key, Outcome] = Completions.begin()->second;
        Completions.erase(Completions.begin());
        Usage Used;
        Used.Outcome = Outcome;
        Used.OutputTokens = 20;
        Used.Total = milliseconds(100);
        perform(Policy.step(SlotReleased{Key, Used}, Now), Now);
      }
      perform(Policy.step(SlotRequested{reservation(++LastId)}, Now), Now);
      perform(Policy.step(ArbiterTicked{}, Now), Now);
    }
  }
};

TEST_CASE("a target that fails requests immediately does not attract them") {
  FailingPool Pool;
  const TimePoint Start = at(seconds(0));
  Pool.Policy.step(
      TargetsChanged{{worker("w1", 8), worker("w2", 8), worker("w3", 8)}},
      Start);
  Pool.run(Start, seconds(5));
  REQUIRE(Pool.Served == 500);
  Pool.Broken = {target("w1")};
  Pool.run(Start + seconds(5), seconds(10));
  CHECK(Pool.Failed[target("w1")] < 25); // of 1000

  SUBCASE("and is used again once it serves") {
    Pool.Broken.clear();
    const int Before = Pool.Served;
    Pool.run(Start + seconds(15), seconds(20));
    CHECK(Pool.Served - Before == 2000);
    CHECK(Pool.Policy.targets().slots({}, Start + seconds(35)) == 24);
  }
  SUBCASE("while most targets fail, none is ejected") {
    Pool.Broken = {target("w1"), target("w2"), target("w3")};
    Pool.run(Start + seconds(15), seconds(5));
    CHECK(Pool.Policy.targets().slots({}, Start + seconds(20)) > 0);
  }
}

TEST_CASE("an engine that misses deadlines is not estimated to be fast") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));
  Policy.step(TargetsChanged{{worker("w1", 8), worker("w2", 8)}}, Start);
  Reservation Long = reservation(1);
  Long.Cost.Prompt = 6000; // 0.6 s at the guessed speed
  const auto First =
      only<GrantSlot>(Policy.step(SlotRequested{Long}, Start)).at(0);

  // Cancels the first request and returns the target of a second, equal one.
  const auto TargetAfter = [&](Duration CancelledAt, std::uint32_t Tokens) {
    Usage Used;
    Used.Outcome = DispatchOutcome::Cancelled;
    Used.OutputTokens = Tokens;
    Policy.step(SlotReleased{Long.Key, Used}, at(CancelledAt));
    Long.Key = key(2);
    return only<GrantSlot>(Policy.step(SlotRequested{Long}, at(seconds(9))))
        .at(0)
        .Target;
  };
  SUBCASE(
      "one cancelled late, before its first token, counts as a slow sample") {
    CHECK(TargetAfter(seconds(8), 0) != First.Target);
  }
  SUBCASE("one whose caller disconnected during its stream is ignored") {
    CHECK(TargetAfter(seconds(8), 40) == First.Target);
  }
  SUBCASE("one whose caller disconnected early is ignored") {
    CHECK(TargetAfter(milliseconds(100), 0) == First.Target);
  }
}

TEST_CASE("long prompts fill an engine before its slots are used up") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));
  TargetInfo Engine = worker("w1", 8);
  Engine.MaxPrefillSeconds = 1; // 10,000 prompt tokens at the guessed speed
  Policy.step(TargetsChanged{{Engine}}, Start);
  const auto RequestLong = [&](std::uint64_t Id, int Rank) {
    Reservation Long = reservation(Id, Rank);
    Long.Cost.Prompt = 6000;
    return granted(Policy.step(SlotRequested{Long}, Start));
  };
  REQUIRE(RequestLong(1, 1) == Ids{1});
  REQUIRE(RequestLong(2, 1) == Ids{2});

  SUBCASE("the next one is queued at the arbiter, ordered by tier") {
    CHECK(RequestLong(3, 1).empty());
    CHECK(RequestLong(4, 0).empty());
    CHECK(granted(Policy.step(ArbiterTicked{}, at(milliseconds(300)))) ==
          Ids{4});
  }
  SUBCASE("one that exceeds the prefill limit goes to an idle engine") {
    Reservation Huge = reservation(5);
    Huge.Cost.Prompt = 50'000;
    const auto Later = at(seconds(10));
    // Room that appears with time is only noticed on a tick.
    Policy.step(ArbiterTicked{}, Later);
    CHECK(granted(Policy.step(SlotRequested{Huge}, Later)) == Ids{5});
  }
}

TEST_CASE("an arbiter with one slot") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));
  Policy.step(TargetsChanged{{worker("w1", 1)}}, Start);

  SUBCASE("grants it to the first reservation and queues the next") {
    CHECK(granted(Policy.step(SlotRequested{reservation(1)}, Start)) == Ids{1});
    CHECK(Policy.step(SlotRequested{reservation(2, 1)}, Start).empty());
    CHECK(Policy.step(SlotRequested{reservation(3, 0)}, Start).empty());

    SUBCASE(
        "a released slot goes to the highest tier, not to the oldest entry") {
      const auto Actions = Policy.step(SlotReleased{key(1), {}}, Start);
      CHECK(granted(Actions) == Ids{3});
    }
    SUBCASE("a cancelled reservation is skipped") {
      Policy.step(SlotRequestCancelled{key(3)}, Start);
      CHECK(granted(Policy.step(SlotReleased{key(1), {}}, Start)) == Ids{2});
    }
    SUBCASE("a reservation that is sent twice is queued once") {
      Policy.step(SlotRequested{reservation(3, 0)}, Start);
      Policy.step(SlotReleased{key(1), {}}, Start);
      CHECK(granted(Policy.step(SlotReleased{key(3), {}}, Start)) == Ids{2});
    }
    SUBCASE("a lost grant is sent again") {
      CHECK(granted(Policy.step(SlotRequested{reservation(1)}, Start)) ==
            Ids{1});
    }
    SUBCASE(
        "the loss of an origin drops its queued requests and frees its slot") {
      Policy.step(OriginLost{host("entry-1"), static_cast<IncarnationId>(1)},
                  Start);
      auto Late = reservation(4);
      Late.Key.Origin = host("entry-2");
      CHECK(Policy.step(SlotRequested{Late}, Start).empty());
      const auto Actions = Policy.step(ArbiterTicked{}, at(seconds(20)));
      CHECK(granted(Actions) == Ids{4});
    }
  }
  SUBCASE("grants no slot at a leaving target") {
    Policy.step(TargetLeaving{target("w1")}, Start);
    const auto Actions = Policy.step(SlotRequested{reservation(1)}, Start);
    REQUIRE(refused(Actions) == Ids{1});
    CHECK(only<RefuseSlot>(Actions)[0].Kind == ErrorKind::NoTarget);
    CHECK(only<RefuseSlot>(Actions)[0].RetryAfter >= seconds(1));

    SUBCASE("not even when a stale list includes it as live") {
      Policy.step(TargetsChanged{{worker("w1", 1)}}, Start);
      CHECK(granted(Policy.step(SlotRequested{reservation(2)}, Start)).empty());
    }
  }
  SUBCASE("refuses a request at once if it cannot be answered in time") {
    auto Hopeless = reservation(1);
    Hopeless.Remaining = milliseconds(1);
    const auto Actions = Policy.step(SlotRequested{Hopeless}, Start);
    CHECK(refused(Actions) == Ids{1});
  }
  SUBCASE("refuses a queued one as soon as its deadline cannot be met") {
    Policy.step(SlotRequested{reservation(1)}, Start);
    auto Urgent = reservation(2);
    Urgent.Remaining = seconds(2);
    CHECK(Policy.step(SlotRequested{Urgent}, Start).empty());
    const auto Actions = Policy.step(ArbiterTicked{}, at(seconds(3)));
    REQUIRE(refused(Actions) == Ids{2});
    CHECK(only<RefuseSlot>(Actions)[0].RetryAfter > Duration(0));
  }
}

/// Requests \p Count slots with ids from \p First on and returns the granted
/// ids.
Ids requestSlots(Arbiter &Policy, std::uint64_t First, std::uint64_t Count,
                 TimePoint Now, int Rank = 0) {
  Ids All;
  for (std::uint64_t Id = First; Id < First + Count; ++Id) {
    const auto Actions = Policy.step(SlotRequested{reservation(Id, Rank)}, Now);
    for (const std::uint64_t Each : granted(Actions))
      All.push_back(Each);
  }
  return All;
}

TEST_CASE("an arbiter that takes over a pool") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));
  Policy.step(TargetsChanged{{worker("w1", 16)}}, Start);
  Policy.step(TakeoverStarted{{host("entry-1"), host("entry-2")}}, Start);

  SUBCASE("grants a safe fraction of the limit until all have reported") {
    CHECK(requestSlots(Policy, 1, 20, Start).size() == 2);
    CHECK(granted(Policy.step(ArbiterTicked{}, at(seconds(1)))).empty());

    GrantsReported First{host("entry-1"), static_cast<IncarnationId>(1), {}};
    for (std::uint64_t Id = 100; Id < 110; ++Id) {
      Reservation Running = reservation(Id);
      First.Grants.push_back({Running, target("w1")});
    }
    CHECK(granted(Policy.step(First, Start)).empty());

    SUBCASE("then the rest of the limit") {
      const GrantsReported Second{
          host("entry-2"), static_cast<IncarnationId>(1), {}};
      CHECK(granted(Policy.step(Second, Start)).size() == 4);
      CHECK(Policy.targets().inFlight(target("w1")) == 16);
    }
    SUBCASE("or have been lost") {
      const OriginLost Lost{host("entry-2"), static_cast<IncarnationId>(1)};
      CHECK(granted(Policy.step(Lost, Start)).size() == 4);
    }
    SUBCASE("a duplicate report counts once") {
      Policy.step(First, Start);
      CHECK(Policy.targets().inFlight(target("w1")) == 12);
    }
  }
}

TEST_CASE("an arbiter and its targets") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));

  SUBCASE("backs off from one that refused, and then uses it again") {
    Policy.step(TargetsChanged{{worker("w1", 8)}}, Start);
    Policy.step(TargetRefused{target("w1")}, Start);
    CHECK(requestSlots(Policy, 1, 1, Start).empty());
    CHECK(granted(Policy.step(ArbiterTicked{}, at(seconds(1)))) == Ids{1});
  }
  SUBCASE("grants one that is closed to an origin to other origins only") {
    Policy.step(TargetsChanged{{worker("w1", 4), worker("w2", 1)}}, Start);
    Reservation Closed = reservation(1);
    Closed.ClosedTargets = {target("w1")};
    CHECK(granted(Policy.step(SlotRequested{Closed}, Start)) == Ids{1});
    CHECK(Policy.targets().inFlight(target("w2")) == 1);
    // The next one of that origin waits, and holds up nobody.
    Closed.Key = key(2);
    CHECK(granted(Policy.step(SlotRequested{Closed}, Start)).empty());
    CHECK(granted(Policy.step(SlotRequested{reservation(3)}, Start)) == Ids{3});
    CHECK(Policy.targets().inFlight(target("w1")) == 1);
    CHECK(granted(Policy.step(SlotReleased{key(1), {}}, Start)) == Ids{2});
    CHECK(Policy.targets().inFlight(target("w2")) == 1);
  }
  SUBCASE("a leaving one that restarted serves again") {
    TargetInfo Info = worker("w1", 8);
    Info.Incarnation = static_cast<IncarnationId>(1);
    Policy.step(TargetsChanged{{Info}}, Start);
    Policy.step(TargetLeaving{Info.Id, Info.Incarnation}, Start);
    CHECK(requestSlots(Policy, 1, 1, Start).empty());
    Info.Incarnation = static_cast<IncarnationId>(2);
    Policy.step(TargetsChanged{{Info}}, Start);
    CHECK(requestSlots(Policy, 2, 1, Start) == Ids{2});
  }
  SUBCASE("fills each to its limit and no further") {
    Policy.step(TargetsChanged{{worker("w1", 4), worker("w2", 6)}}, Start);
    CHECK(requestSlots(Policy, 1, 30, Start).size() == 10);
    CHECK(Policy.targets().inFlight(target("w1")) == 4);
    CHECK(Policy.targets().inFlight(target("w2")) == 6);
  }
  SUBCASE("keeps an unlisted one only while it has slots in flight") {
    Policy.step(TargetsChanged{{worker("w1", 4), worker("w2", 4)}}, Start);
    const Ids InFlight = requestSlots(Policy, 1, 5, Start);
    REQUIRE(InFlight.size() == 5);
    Policy.step(TargetsChanged{{worker("w3", 4)}}, Start);
    CHECK(Policy.targets().size() == 3);
    for (const std::uint64_t Id : InFlight)
      Policy.step(SlotReleased{key(Id), {}}, Start);
    Policy.step(TargetsChanged{{worker("w3", 4)}}, Start);
    CHECK(Policy.targets().size() == 1);
    CHECK(requestSlots(Policy, 10, 9, Start).size() == 4);
  }
  SUBCASE("counts the load of others that a delayed report shows") {
    Policy.step(TargetsChanged{{worker("w1", 8)}}, Start);
    LoadReported Report;
    Report.Target = target("w1");
    Report.Age = seconds(2);
    Report.RequestsInFlight = 5;
    Policy.step(Report, Start);
    CHECK(requestSlots(Policy, 1, 8, Start).size() == 3);
  }
  SUBCASE("prefers the one with the cached prefix, if the deadline allows") {
    TargetInfo Slow = worker("slow", 8);
    Slow.TokensPerSecond = 900;
    Policy.step(TargetsChanged{{Slow}}, Start);
    Reservation Request = reservation(1);
    Request.PrefixHash = 77;
    Request.Cost = {20'000, 100};
    Policy.step(SlotRequested{Request}, Start);
    Policy.step(SlotReleased{key(1), {}}, Start);
    Policy.step(TargetsChanged{{Slow, worker("fast", 8)}}, at(seconds(5)));
    Request.Key = key(2);
    const auto Hinted = Policy.step(SlotRequested{Request}, at(seconds(5)));
    REQUIRE(granted(Hinted) == Ids{2});
    CHECK(only<GrantSlot>(Hinted)[0].Target == target("slow"));
  }
  SUBCASE("refuses at once when no target may serve") {
    Policy.step(TargetsChanged{{worker("w1", 8, "v2")}}, Start);
    Policy.step(ServingVersionChanged{version("v1")}, Start);
    const auto Actions = Policy.step(SlotRequested{reservation(1)}, Start);
    REQUIRE(refused(Actions) == Ids{1});
    CHECK(only<RefuseSlot>(Actions)[0].Kind == ErrorKind::NoTarget);
  }
  SUBCASE("sends nothing to a version after it was found faulty") {
    Policy.step(TargetsChanged{{worker("w1", 8, "v1"), worker("w2", 8, "v2")}},
                Start);
    Policy.step(VersionTripped{version("v2")}, Start);
    CHECK(requestSlots(Policy, 1, 16, Start).size() == 8);
    CHECK(Policy.targets().inFlight(target("w2")) == 0);
  }
}

TEST_CASE("an overloaded arbiter") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));
  Policy.step(TargetsChanged{{worker("w1", 2)}}, Start);
  requestSlots(Policy, 1, 2, Start, 1);

  SUBCASE("refuses on arrival what cannot be answered in time") {
    // 100 output tokens each at 1000 per second: the queue fills within a
    // minute.
    std::size_t Refused = 0;
    for (std::uint64_t Id = 10; Id < 2000; ++Id)
      Refused +=
          refused(Policy.step(SlotRequested{reservation(Id, 1)}, Start)).size();
    CHECK(Refused > 1000);
    CHECK(Policy.view(Start).Queued[1] > 100);
  }
  SUBCASE("serves nothing of a lower tier while a higher one waits") {
    requestSlots(Policy, 10, 50, Start, 2);
    requestSlots(Policy, 100, 3, Start, 0);
    Ids Order;
    std::uint64_t InFlight = 1;
    for (int Turn = 0; Turn < 5; ++Turn) {
      const auto Given =
          granted(Policy.step(SlotReleased{key(InFlight), {}}, Start));
      REQUIRE(Given.size() == 1);
      InFlight = Given[0];
      Order.push_back(InFlight);
    }
    CHECK(Order == Ids{100, 101, 102, 10, 11});
  }
  SUBCASE("serves nothing of a lower tier while a higher one is shed") {
    requestSlots(Policy, 10, 1, Start, 2);
    Reservation Urgent = reservation(100, 0);
    Urgent.Remaining = seconds(1);
    Policy.step(SlotRequested{Urgent}, Start);
    Policy.step(ArbiterTicked{}, at(milliseconds(1500))); // 100 is shed
    CHECK(granted(Policy.step(SlotReleased{key(1), {}}, at(milliseconds(1600))))
              .empty());
    CHECK(granted(Policy.step(ArbiterTicked{}, at(milliseconds(1900)))) ==
          Ids{10});
  }
}

} // namespace
} // namespace marjorambay

namespace marjorambay {
namespace {

using namespace marjorambay::testing;

TEST_CASE("an arbiter whose origins may lose their releases") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));
  Policy.step(TargetsChanged{{worker("w1", 1)}}, Start);
  Policy.step(SlotRequested{reservation(1)}, Start);
  Policy.step(SlotRequested{reservation(2)}, Start);
  SlotsConfirmed Confirmed{host("entry-1"), static_cast<IncarnationId>(1)};

  SUBCASE("frees a slot that its origin no longer reports") {
    CHECK(granted(Policy.step(Confirmed, at(seconds(1)))) ==
          std::vector<std::uint64_t>{2});
  }
  SUBCASE("keeps one that its origin reports") {
    Confirmed.ActiveRequests = {static_cast<RequestId>(1)};
    CHECK(Policy.step(Confirmed, at(seconds(1))).empty());
  }
  SUBCASE("keeps one whose grant may still be in transit") {
    CHECK(Policy.step(Confirmed, at(milliseconds(100))).empty());
  }
}

TEST_CASE("a request with an objective for its first token (long prompts)") {
  ArbiterSettings Settings;
  Settings.Targets.TrustDeclaredSlots = true;
  Arbiter Policy(Settings);
  const TimePoint Start = at(seconds(0));
  Policy.step(TargetsChanged{{worker("w1", 1)}}, Start);
  Policy.step(SlotRequested{reservation(1)}, Start);
  Reservation Urgent = reservation(2);
  Urgent.FirstTokenObjective = milliseconds(400);
  REQUIRE(Policy.step(SlotRequested{Urgent}, Start).empty());

  SUBCASE("waits for a slot until its objective can no longer be met") {
    CHECK(Policy.step(ArbiterTicked{}, at(milliseconds(300))).empty());
    CHECK(
        granted(Policy.step(SlotReleased{key(1), {}}, at(milliseconds(320)))) ==
        std::vector<std::uint64_t>{2});
  }
  SUBCASE("and is then refused at once, with a Retry-After") {
    const auto Actions = Policy.step(ArbiterTicked{}, at(milliseconds(450)));
    REQUIRE(refused(Actions) == std::vector<std::uint64_t>{2});
    CHECK(only<RefuseSlot>(Actions)[0].RetryAfter > Duration(0));
  }
}

/// A pool of one target where first tokens are slow because prompts are
/// prefilled beside others. The target must not be limited as if its engine
/// queued requests.
TEST_CASE("slow first tokens (long prompts against long answers)") {
  const auto LimitAfterRun = [](bool Declared) {
    ArbiterSettings Settings;
    Settings.Targets.TrustDeclaredSlots = Declared;
    Arbiter Policy(Settings);
    Policy.step(TargetsChanged{{worker("w1", 8)}}, at(seconds(0)));
    std::uint64_t Id = 0;
    for (int Second = 1; Second < 60; ++Second) {
      const std::uint64_t First = Id + 1;
      for (int Each = 0; Each < 8; ++Each)
        Policy.step(SlotRequested{reservation(++Id)}, at(seconds(Second)));
      for (std::uint64_t Each = First; Each <= Id; ++Each) {
        Usage Used;
        Used.PromptTokens = 100;
        Used.OutputTokens = 100;
        Used.TimeToFirstToken = milliseconds(Each % 2 == 0 ? 20 : 300);
        Used.Total = milliseconds(900);
        Policy.step(SlotReleased{key(Each), Used},
                    at(seconds(Second) + milliseconds(900)));
      }
    }
    return Policy.view(at(seconds(61))).Limit;
  };
  SUBCASE("don't reduce the limit if declared slots are trusted") {
    CHECK(LimitAfterRun(true) == 8);
  }
  SUBCASE("are treated as queueing in the engine if they are not") {
    CHECK(LimitAfterRun(false) < 8);
  }
}

/// Long answers of a low tier, while a higher tier requests every slot.
TEST_CASE("a burst of a higher tier over long answers of a lower one") {
  const auto LowTierGrants = [](double Floor) {
    ArbiterSettings Settings;
    Settings.TierFloor = Floor;
    Settings.Targets.TrustDeclaredSlots = true;
    Arbiter Policy(Settings);
    Policy.step(TargetsChanged{{worker("w1", 40)}}, at(seconds(0)));
    std::size_t Low = 0;
    std::uint64_t Id = 0;
    std::vector<std::uint64_t> InFlight;
    const auto Record = [&](const ArbiterActions &Actions) {
      for (const std::uint64_t One : granted(Actions)) {
        InFlight.push_back(One);
        Low += One % 2 == 0 ? 1 : 0;
      }
    };
    for (int Tick = 0; Tick < 100; ++Tick) {
      const TimePoint Now = at(milliseconds(100) * Tick);
      std::vector<std::uint64_t> Ended;
      Ended.swap(InFlight);
      for (int Each = 0; Each < 100; ++Each) {
        const int Rank = ++Id % 2 == 0 ? 2 : 0;
        Record(Policy.step(SlotRequested{reservation(Id, Rank)}, Now));
      }
      for (const std::uint64_t Each : Ended)
        Record(Policy.step(SlotReleased{key(Each), {}}, Now));
    }
    return Low;
  };
  SUBCASE("leaves the lower tier almost nothing if tiers are strict") {
    CHECK(LowTierGrants(0) < 100);
  }
  SUBCASE("leaves the lower tier its floor") {
    CHECK(LowTierGrants(0.1) >= 350);
  }
}

/// A pool that is almost filled by a higher tier, and a lower tier whose
/// callers want their first token sooner than its queue is served.
struct FilledPool {
  static constexpr std::uint32_t Slots = 40;
  static constexpr Duration Step = milliseconds(5);
  static constexpr Duration Service = seconds(1);

  struct Outcome {
    std::size_t Requests = 0;
    std::size_t Granted = 0;
    std::size_t RefusedLater = 0; ///< after a wait, not on arrival
    Duration LongestRetryAfter{};
  };

  FilledPool() {
    ArbiterSettings Settings;
    Settings.TierFloor = 0.05;
    Settings.FirstTokenPatience = 4;
    Settings.MinFirstTokenPatience = milliseconds(1500);
    Settings.AdmissionMargin = 0.5;
    Settings.Targets.TrustDeclaredSlots = true;
    Policy = Arbiter(Settings);
    Policy.step(TargetsChanged{{worker("w1", Slots)}}, at(seconds(0)));
  }

  /// Offers \p HighRate and \p LowRate requests per second until \p End.
  void offer(double HighRate, double LowRate, Duration End) {
    for (; Elapsed < End; Elapsed += Step) {
      const TimePoint Now = at(Elapsed);
      const bool TickDue = Elapsed % milliseconds(50) == Duration(0);
      if (TickDue)
        record(Policy.step(ArbiterTicked{}, Now), 0);
      while (!Ends.empty() && Ends.front().first <= Now) {
        Usage Used;
        Used.PromptTokens = 100;
        Used.OutputTokens = 100;
        Used.TimeToFirstToken = milliseconds(50);
        Used.Total = Service;
        const std::uint64_t Id = Ends.front().second;
        Ends.pop_front();
        record(Policy.step(SlotReleased{key(Id), Used}, Now), 0);
      }
      if (drawFraction(Random) < HighRate * toSeconds(Step))
        request(0, Now);
      if (drawFraction(Random) < LowRate * toSeconds(Step))
        request(2, Now);
    }
  }

  Outcome Low{};
  Outcome Late{}; ///< requests of the lower tier whose objective has passed

private:
  void request(int Rank, TimePoint Now) {
    Reservation Request = reservation(++LastId * 4 + Rank, Rank);
    Request.Remaining = seconds(10);
    const bool IsLate = Rank == 2 && Low.Requests % 10 == 9;
    Request.FirstTokenObjective = IsLate ? Duration(1) : milliseconds(300);
    Low.Requests += Rank == 2 ? 1 : 0;
    Late.Requests += IsLate ? 1 : 0;
    if (IsLate)
      LateIds.insert(number(Request.Key.Id));
    record(Policy.step(SlotRequested{Request}, Now), number(Request.Key.Id));
  }
  void record(const ArbiterActions &Actions, std::uint64_t Arriving) {
    for (const std::uint64_t Id : granted(Actions)) {
      Low.Granted += Id % 4 == 2 ? 1 : 0;
      Late.Granted += LateIds.count(Id);
      Ends.emplace_back(at(Elapsed) + Service, Id);
    }
    for (const RefuseSlot &Refusal : only<RefuseSlot>(Actions)) {
      const std::uint64_t Id = number(Refusal.Key.Id);
      if (Id % 4 != 2)
        continue;
      Low.RefusedLater += Id == Arriving ? 0 : 1;
      Low.LongestRetryAfter =
          std::max(Low.LongestRetryAfter, Refusal.RetryAfter);
    }
  }

  Arbiter Policy{};
  SplitMix64 Random{7};
  Duration Elapsed{};
  std::uint64_t LastId = 0;
  std::set<std::uint64_t> LateIds{};
  std::deque<std::pair<TimePoint, std::uint64_t>> Ends{};
};

TEST_CASE("objectives that are shorter than the queue (filled pool)") {
  FilledPool Pool;
  Pool.offer(34, 0, seconds(5));
  Pool.offer(34, 24, seconds(25));
  Pool.offer(34, 0, seconds(28)); // what waits is granted or refused
  SUBCASE("are refused on arrival, not after a wait") {
    CHECK(static_cast<double>(Pool.Low.RefusedLater) <
          0.1 * static_cast<double>(Pool.Low.Requests));
  }
  SUBCASE("are met as far as the higher tier leaves slots") {
    CHECK(Pool.Low.Granted > 0.8 * 6 * 20);
  }
  SUBCASE("do not keep late requests, as after a failed attempt, from slots") {
    CHECK(Pool.Late.Granted == Pool.Late.Requests);
  }
  SUBCASE("are not asked to return while the overload goes on") {
    CHECK(Pool.Low.LongestRetryAfter > seconds(10));
  }
}

TEST_CASE("a small pool whose answers take seconds (long answers)") {
  Arbiter Policy;
  Policy.step(TargetsChanged{{worker("w1", 4)}}, at(seconds(0)));
  std::vector<std::uint64_t> InFlight;
  std::size_t Refused = 0;
  const auto Record = [&](const ArbiterActions &Actions) {
    for (const std::uint64_t Id : granted(Actions))
      InFlight.push_back(Id);
    Refused += refused(Actions).size();
  };
  for (std::uint64_t Id = 1; Id <= 60; ++Id)
    Record(Policy.step(SlotRequested{reservation(Id)}, at(seconds(0))));
  for (int Tick = 1; Tick <= 300; ++Tick) {
    const TimePoint Now = at(milliseconds(100) * Tick);
    if (Tick % 30 == 0) {
      std::vector<std::uint64_t> Ended;
      Ended.swap(InFlight);
      for (const std::uint64_t Id : Ended)
        Record(Policy.step(SlotReleased{key(Id), {}}, Now));
    }
    Record(Policy.step(ArbiterTicked{}, Now));
  }
  SUBCASE("refuses nobody because of the pause between two grants") {
    CHECK(Refused == 0);
  }
}

// Guards against a plain pool in which one request ends target after target:
// its requests have no slots, and no host sees more than a few of the crashes.
TEST_CASE("a plain pool in which one request crashes targets") {
  const CrashKey Deadly{CrashKeyKind::Request, 0xdead};
  Arbiter Policy;
  Policy.step(TargetsChanged{{worker("a", 6), worker("b", 6), worker("c", 6)}},
              at({}));
  const auto Crash = [&Policy, &Deadly](std::string_view Name, int Ms,
                                        Duration AnsweredAge = {}) {
    Policy.step(
        AttemptLost{{Deadly}, target(Name), milliseconds(40), AnsweredAge},
        at(milliseconds(Ms)));
    Policy.step(TargetRefused{target(Name), true}, at(milliseconds(Ms + 10)));
  };
  const auto Ask = [&Policy, &Deadly](std::uint64_t Id, int Ms) {
    Reservation Request = reservation(Id);
    Request.CrashKeys = {Deadly};
    return Policy.step(SlotRequested{Request}, at(milliseconds(Ms)));
  };
  Crash("a", 100);
  CHECK_FALSE(Policy.suspects().limits({Deadly}, at(milliseconds(150))));

  SUBCASE("which is suspected after the second crash") {
    Crash("b", 200);
    CHECK(Policy.suspects().limits({Deadly}, at(milliseconds(250))));
    CHECK(Policy.needsTicks());

    SUBCASE("and gets a slot for one request at a time") {
      CHECK(only<GrantSlot>(Ask(1, 300)).size() == 1);
      CHECK(only<GrantSlot>(Ask(2, 310)).empty());

      SUBCASE("until a complete answer clears it") {
        Policy.step(SlotReleased{key(1), {}}, at(milliseconds(350)));
        CHECK_FALSE(Policy.suspects().limits({Deadly}, at(milliseconds(360))));
      }
    }
    SUBCASE("and is refused after the third") {
      Crash("c", 300);
      Policy.step(ArbiterTicked{}, at(milliseconds(400)));
      const auto Refused = only<RefuseSlot>(Ask(1, 410));
      REQUIRE(Refused.size() == 1);
      CHECK(Refused[0].Kind == ErrorKind::CrashingRequest);
    }
    SUBCASE("also by hosts that are told, as long as it is") {
      CrashSuspects Told;
      for (const CrashHold &Hold : Policy.suspects().holds(at(seconds(1))))
        CHECK(Told.learn(Hold, at(seconds(1))));
      CHECK(Told.limits({Deadly}, at(seconds(1))));
      CHECK(Told.admit({Deadly}, true, at(seconds(1))).Decision ==
            CrashAdmission::Kind::Refuse);
      Ask(1, 1100);
      Policy.step(SlotReleased{key(1), {}}, at(milliseconds(1150)));
      for (const CrashHold &Hold : Policy.suspects().holds(at(seconds(2))))
        CHECK(Told.learn(Hold, at(seconds(2))));
      CHECK_FALSE(Told.limits({Deadly}, at(seconds(2))));
    }
  }
  SUBCASE("which is not suspected if it was answered between two crashes") {
    Crash("b", 200, milliseconds(60));
    CHECK_FALSE(Policy.suspects().limits({Deadly}, at(milliseconds(250))));
  }
}

TEST_CASE("a pool in which a prompt segment crashes targets") {
  constexpr CrashKey Crashing{CrashKeyKind::Segment, 0xbad};
  Arbiter Policy;
  std::vector<TargetInfo> Workers;
  for (const char *Name : {"a", "b", "c", "d"})
    Workers.push_back(worker(Name, 8));
  Policy.step(TargetsChanged{Workers}, at(seconds(0)));
  const auto Ask = [&Policy](std::uint64_t Id, int Ms, CrashKey Shared,
                             bool Repeat = false) {
    Reservation Request = reservation(Id);
    Request.CrashKeys = {segment(1), Shared};
    Request.Repeat = Repeat;
    return Policy.step(SlotRequested{Request}, at(milliseconds(Ms)));
  };
  const auto Lose = [&Policy](std::uint64_t Id, int Ms) {
    const TargetId Target = Policy.slot(key(Id))->Target;
    Usage Used;
    Used.Outcome = DispatchOutcome::Failed;
    Used.ConnectionLost = true;
    Policy.step(SlotReleased{key(Id), Used}, at(milliseconds(Ms)));
    return Policy.step(TargetRefused{Target, true}, at(milliseconds(Ms + 5)));
  };
  const auto Answer = [&](std::uint64_t Id, int Ms) {
    Ask(Id, Ms, segment(2));
    Policy.step(AnswerBegan{key(Id)}, at(milliseconds(Ms + 5)));
  };
  Ask(1, 0, Crashing);
  Lose(1, 50);
  Answer(2, 60);
  Ask(3, 100, Crashing);
  Lose(3, 150);
  Answer(4, 160);

  SUBCASE("requests with it are granted one at a time") {
    CHECK(granted(Ask(5, 200, Crashing)).size() == 1);
    CHECK(granted(Ask(6, 210, Crashing)).empty());
    CHECK(Policy.queued(key(6)));

    SUBCASE("while others are granted") {
      CHECK(granted(Ask(7, 220, segment(2))) == std::vector<std::uint64_t>{7});
    }
    SUBCASE("all of them once an answer with it begins") {
      const auto Actions =
          Policy.step(AnswerBegan{key(5)}, at(milliseconds(250)));
      CHECK(granted(Actions) == std::vector<std::uint64_t>{6});
    }
    SUBCASE("none of them once one more target has crashed") {
      const auto Actions = Lose(5, 250);
      REQUIRE(refused(Actions) == std::vector<std::uint64_t>{6});
      CHECK(only<RefuseSlot>(Actions)[0].Kind == ErrorKind::CrashingRequest);
      const auto Later = Ask(7, 300, Crashing);
      CHECK(refused(Later) == std::vector<std::uint64_t>{7});
      CHECK(granted(Ask(8, 310, segment(2))).size() == 1);
    }
  }
  SUBCASE("no request with it is repeated") {
    const auto Actions = Ask(5, 200, Crashing, true);
    REQUIRE(refused(Actions) == std::vector<std::uint64_t>{5});
    CHECK(only<RefuseSlot>(Actions)[0].Kind == ErrorKind::CrashingRequest);
  }
  SUBCASE("a new arbiter that is told refuses it") {
    Ask(5, 200, Crashing);
    Lose(5, 250);
    Arbiter Successor;
    Successor.step(TargetsChanged{Workers}, at(milliseconds(300)));
    Successor.step(
        CrashHoldsLearned{Policy.suspects().holds(at(milliseconds(300)))},
        at(milliseconds(300)));
    Reservation Request = reservation(9);
    Request.CrashKeys = {Crashing};
    CHECK(refused(
              Successor.step(SlotRequested{Request}, at(milliseconds(310)))) ==
          std::vector<std::uint64_t>{9});
  }
}

} // namespace
} // namespace marjorambay
