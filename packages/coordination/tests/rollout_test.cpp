/// Tests of rollout leaders, and of the guards that watch the new version.
#include "marjorambay/coordination/rollout.h"
#include "marjorambay/coordination/version_guard.h"

#include <doctest/doctest.h>

#include <set>
#include <utility>
#include <vector>

namespace marjorambay {
namespace {

template <typename Type, typename Actions>
const Type *find(const Actions &All) {
  for (const auto &Action : All)
    if (const auto *Found = std::get_if<Type>(&Action))
      return Found;
  return nullptr;
}

/// Simulated platform with one rollout object that leaders compete for.
struct SimulatedPlatform {
  RolloutState Object{};
  ObjectVersion Version = 1;
  Duration Time = seconds(1000);
  bool PlatformUp = true;
  bool LoseNextAnswer = false;
  RolloutActions Emitted{};

  SimulatedPlatform() {
    Object.Name = "r1";
    Object.Pool = "pool";
    Object.FromVersion = "v1";
    Object.ToVersion = "v2";
    Object.Started = Object.PhaseSince = wall();
    Object.Deadline = wall() + minutes(10);
    Object.History.push_back({wall(), Object.Phase, 0, "started"});
  }
  WallTime wall() const { return WallTime(Time); }

  void feed(RolloutLeader &Leader, const RolloutEvent &Event) {
    for (const RolloutAction &Action : Leader.step(Event, TimePoint(Time))) {
      Emitted.push_back(Action);
      if (std::holds_alternative<ReadRollout>(Action))
        feed(Leader, RolloutRead{PlatformUp, true, Version, Object});
      else if (const auto *Write = std::get_if<WriteRollout>(&Action))
        feed(Leader, write(*Write));
    }
  }
  RolloutWritten write(const WriteRollout &Write) {
    if (!PlatformUp)
      return {WriteResult::Unknown, 0};
    if (Write.IfVersion != Version)
      return {WriteResult::Conflict, Version};
    Object = Write.State;
    ++Version;
    if (std::exchange(LoseNextAnswer, false))
      return {WriteResult::Unknown, 0};
    return {WriteResult::Committed, Version};
  }
  /// Advances the time, with one tick per second.
  void pass(RolloutLeader &Leader, int Seconds) {
    for (int Tick = 0; Tick < Seconds; ++Tick) {
      Time += seconds(1);
      feed(Leader, RolloutTicked{wall(), true});
    }
  }
  /// Reports two targets that have, or lack, the new version.
  void showTargets(RolloutLeader &Leader, bool Loaded) {
    TargetsReported Reported;
    for (std::uint64_t Id = 1; Id <= 2; ++Id) {
      TargetStatus Target{TargetId{Id}, {}, {idOf<VersionId>("v1")}, false};
      if (Loaded)
        Target.Versions.push_back(idOf<VersionId>("v2"));
      Reported.Targets.push_back(Target);
    }
    feed(Leader, Reported);
  }
  void giveEvidence(RolloutLeader &Leader, std::uint32_t Answers,
                    std::uint32_t Bad) {
    EvidenceCell Cell;
    Cell.OldAnswers = 1000;
    Cell.OldBad = 3;
    Cell.NewAnswers = Answers;
    Cell.NewBad = Bad;
    feed(Leader, EvidenceArrived{idOf<RolloutId>("r1"), {Cell}});
  }
};

TEST_CASE("a rollout has one leader") {
  SimulatedPlatform Platform;
  RolloutLeader First("host-1");
  RolloutLeader Second("host-2");
  Platform.showTargets(First, false);
  Platform.showTargets(Second, false);
  Platform.pass(First, 3);
  REQUIRE(First.isLeader());
  REQUIRE(Platform.Object.Leader == "host-1");

  SUBCASE("which orders the first targets to load, with its fencing token") {
    Platform.pass(First, 3);
    const auto *Order = find<OrderLoad>(Platform.Emitted);
    REQUIRE(Order != nullptr);
    CHECK(Order->Fence == Platform.Object.FencingToken);
    CHECK(Platform.Object.Phase == RolloutPhase::Loading);

    SUBCASE("and begins the canary at its cap once they have loaded") {
      Platform.showTargets(First, true);
      Platform.pass(First, 2);
      CHECK(Platform.Object.Phase == RolloutPhase::Canary);
      CHECK(Platform.Object.Share == RolloutPacing{}.CanaryShare);
    }
  }
  SUBCASE("another host does not acquire the lease while it is renewed") {
    Platform.feed(Second, RolloutTicked{Platform.wall(), true});
    for (int Tick = 0; Tick < 30; ++Tick) {
      Platform.pass(First, 1);
      Platform.feed(Second, RolloutTicked{Platform.wall(), true});
    }
    CHECK(Platform.Object.Leader == "host-1");
    CHECK_FALSE(Second.isLeader());
  }
  SUBCASE("a frozen leader is replaced, and its writes fail when it resumes") {
    const std::uint64_t OldFencingToken = Platform.Object.FencingToken;
    Platform.pass(Second, 15);
    REQUIRE(Platform.Object.Leader == "host-2");
    CHECK(Platform.Object.FencingToken > OldFencingToken);
    Platform.feed(First, RolloutTicked{Platform.wall(), true});
    CHECK(Platform.Object.Leader == "host-2");
    CHECK_FALSE(First.isLeader());
  }
}

TEST_CASE("a canary begins once every zone has a loaded target") {
  SimulatedPlatform Platform;
  RolloutLeader Leader("host-1");
  const auto Report = [&](const std::vector<bool> &Loaded) {
    TargetsReported Reported;
    for (std::uint64_t Id = 1; Id <= Loaded.size(); ++Id) {
      // Targets 1 to 3 are in the first zone, target 4 is in the second.
      TargetStatus Target{TargetId{Id}, ZoneId{Id <= 3 ? 1U : 2U}, {}, false};
      Target.Versions = {idOf<VersionId>("v1")};
      if (Loaded[Id - 1])
        Target.Versions.push_back(idOf<VersionId>("v2"));
      Reported.Targets.push_back(Target);
    }
    Platform.feed(Leader, Reported);
  };
  Report({false, false, false, false});
  Platform.pass(Leader, 6);
  std::set<TargetId> Ordered;
  for (const RolloutAction &Action : Platform.Emitted)
    if (const auto *Order = std::get_if<OrderLoad>(&Action))
      Ordered.insert(Order->Target);
  CHECK(Ordered == std::set<TargetId>{TargetId{1}, TargetId{4}});

  SUBCASE("loaded targets in one zone only are not enough") {
    Report({true, true, false, false});
    Platform.pass(Leader, 20);
    CHECK(Platform.Object.Phase == RolloutPhase::Loading);

    SUBCASE("but delay the canary by a tenth of the time at most") {
      Platform.pass(Leader, 60);
      CHECK(Platform.Object.Phase == RolloutPhase::Canary);
    }
  }
  SUBCASE("one loaded target in each zone is enough") {
    Report({true, false, false, true});
    Platform.pass(Leader, 3);
    CHECK(Platform.Object.Phase == RolloutPhase::Canary);
  }
}

TEST_CASE("operators change the share of a canary") {
  SimulatedPlatform Platform;
  RolloutLeader Leader("host-1");
  Platform.feed(Leader, CanaryShareChanged{0.05});
  Platform.showTargets(Leader, true);
  Platform.pass(Leader, 6);
  REQUIRE(Platform.Object.Phase == RolloutPhase::Canary);
  CHECK(Platform.Object.Share == 0.05);

  SUBCASE("the ramp continues above that share") {
    while (Platform.Object.Phase == RolloutPhase::Canary &&
           Platform.wall() < Platform.Object.Deadline) {
      Platform.giveEvidence(Leader, 5, 0);
      Platform.pass(Leader, 1);
    }
    CHECK(Platform.Object.Share > 0.05);
  }
}

TEST_CASE("a rollout advances by evidence and by its deadline") {
  SimulatedPlatform Platform;
  RolloutLeader Leader("host-1");
  Platform.showTargets(Leader, true);
  Platform.pass(Leader, 6);
  REQUIRE(Platform.Object.Phase == RolloutPhase::Canary);

  SUBCASE("without answers of the new version it stays a canary") {
    Platform.pass(Leader, 300);
    CHECK(Platform.Object.Phase == RolloutPhase::Canary);

    SUBCASE("and is rolled back at the deadline") {
      Platform.pass(Leader, 310);
      CHECK(Platform.Object.Phase == RolloutPhase::RolledBack);
      CHECK(find<RolloutEnded>(Platform.Emitted) != nullptr);
    }
  }
  SUBCASE("with good answers it ramps up and completes in time") {
    for (int Tick = 0; Tick < 590; ++Tick) {
      Platform.giveEvidence(Leader, 5, 0);
      Platform.pass(Leader, 1);
    }
    CHECK(Platform.Object.Phase == RolloutPhase::Completed);
    CHECK(Platform.Object.Share == 1);
  }
  SUBCASE("with bad answers it is rolled back at once and permanently") {
    Platform.giveEvidence(Leader, 8, 8);
    CHECK(find<TripVersion>(Platform.Emitted) != nullptr);
    Platform.pass(Leader, 1);
    REQUIRE(Platform.Object.Phase == RolloutPhase::RolledBack);
    CHECK(Platform.Object.Share == 0);
    Platform.giveEvidence(Leader, 1000, 0);
    Platform.pass(Leader, 60);
    CHECK(Platform.Object.Phase == RolloutPhase::RolledBack);
  }
  SUBCASE("a response lost after the write is resolved by reading") {
    Platform.giveEvidence(Leader, 200, 0);
    Platform.pass(Leader, 300);
    Platform.LoseNextAnswer = true;
    Platform.pass(Leader, 30);
    CHECK(Platform.Object.Phase == RolloutPhase::Ramping);
    CHECK(Leader.state()->Phase == RolloutPhase::Ramping);
  }
  SUBCASE("a platform outage keeps the share unchanged") {
    Platform.PlatformUp = false;
    const double Before = Platform.Object.Share;
    for (int Tick = 0; Tick < 60; ++Tick) {
      Platform.giveEvidence(Leader, 50, 0);
      Platform.pass(Leader, 1);
    }
    CHECK(Platform.Object.Share == Before);
    Platform.PlatformUp = true;
    for (int Tick = 0; Tick < 530; ++Tick) {
      Platform.giveEvidence(Leader, 20, 0);
      Platform.pass(Leader, 1);
    }
    CHECK(Platform.Object.Phase == RolloutPhase::Completed);
  }
  SUBCASE("an operator's abort is answered once it is committed") {
    RolloutCommanded Abort;
    Abort.Call = 9;
    Abort.Command = RolloutCommand::Abort;
    Abort.Author = "ana";
    Platform.feed(Leader, Abort);
    CHECK(Platform.Object.Phase == RolloutPhase::RolledBack);
    const auto *Answer = find<AnswerCommand>(Platform.Emitted);
    REQUIRE(Answer != nullptr);
    CHECK(ok(Answer->Outcome));
  }
}

TEST_CASE("a guard watches the answers of a new version") {
  VersionGuard Guard;
  RolloutView View;
  View.Id = idOf<RolloutId>("r1");
  View.From = idOf<VersionId>("v1");
  View.To = idOf<VersionId>("v2");
  View.ObjectVersion = 5;
  View.Phase = RolloutPhase::Canary;
  View.Share = 0.01;
  View.Deadline = WallTime(minutes(10));
  Guard.step(ViewUpdated{View});
  Guard.step(GuardTicked{WallTime(seconds(1))});
  REQUIRE(Guard.allowedShare() == 0.01);

  SUBCASE("a leader that takes over gets all counts") {
    View.ObjectVersion = 6;
    View.Leader = HostId{1};
    Guard.step(ViewUpdated{View});
    AnswerObserved Good;
    Good.Version = View.To;
    Guard.step(Good);
    Guard.step(Good);
    Guard.step(GuardTicked{WallTime(seconds(2))});
    View.ObjectVersion = 7;
    View.Leader = HostId{2};
    Guard.step(ViewUpdated{View});
    Guard.step(Good);
    const GuardActions First = Guard.step(GuardTicked{WallTime(seconds(3))});
    const auto *AllCounts = find<EvidenceReady>(First);
    REQUIRE(AllCounts != nullptr);
    CHECK(AllCounts->Cells.front().NewAnswers == 3);

    SUBCASE("and only the new counts after that") {
      Guard.step(Good);
      const GuardActions Next = Guard.step(GuardTicked{WallTime(seconds(4))});
      CHECK(find<EvidenceReady>(Next)->Cells.front().NewAnswers == 1);
    }
  }
  SUBCASE("an older view changes nothing") {
    RolloutView Older = View;
    Older.ObjectVersion = 4;
    Older.Share = 0.9;
    Guard.step(ViewUpdated{Older});
    Guard.step(GuardTicked{WallTime(seconds(2))});
    CHECK(Guard.allowedShare() == 0.01);
  }
  SUBCASE("failing answers trip the version without platform or leader") {
    AnswerObserved Failing;
    Failing.Version = View.To;
    Failing.Failed = true;
    for (int Tick = 0; Tick < 6; ++Tick)
      Guard.step(Failing);
    const GuardActions Actions = Guard.step(GuardTicked{WallTime(seconds(2))});
    CHECK(find<TripDetected>(Actions) != nullptr);
    CHECK(Guard.allowedShare() == 0);

    SUBCASE("and no later view of this rollout reverts the trip") {
      View.ObjectVersion = 6;
      View.Share = 0.5;
      Guard.step(ViewUpdated{View});
      Guard.step(GuardTicked{WallTime(seconds(3))});
      CHECK(Guard.allowedShare() == 0);
    }
  }
  SUBCASE("a trip reported by another host has the same effect") {
    Guard.step(TripReported{View.Id});
    CHECK(Guard.allowedShare() == 0);
  }
  SUBCASE("after the deadline the version gets no requests") {
    Guard.step(GuardTicked{WallTime(minutes(11))});
    CHECK(Guard.allowedShare() == 0);

    SUBCASE("until its completion is reported") {
      View.ObjectVersion = 9;
      View.Phase = RolloutPhase::Completed;
      View.Share = 1;
      Guard.step(ViewUpdated{View});
      Guard.step(GuardTicked{WallTime(minutes(12))});
      CHECK(Guard.allowedShare() == 1);
    }
  }
}

} // namespace
} // namespace marjorambay
