/// Tests of a rollout's leader and of the guards that watch its version.
#include "marjorambay/coordination/rollout.h"
#include "marjorambay/coordination/version_guard.h"

#include <doctest/doctest.h>

#include <set>
#include <utility>
#include <vector>

namespace marjorambay {
namespace {

template <typename Wanted, typename Actions>
const Wanted *find(const Actions &All) {
  for (const auto &Action : All)
    if (const auto *Found = std::get_if<Wanted>(&Action))
      return Found;
  return nullptr;
}

/// One platform object and the leaders that race for it.
struct Stage {
  RolloutState Object{};
  ObjectVersion Version = 1;
  Duration Time = seconds(1000);
  bool PlatformUp = true;
  bool LoseNextAnswer = false;
  RolloutActions Seen{};

  Stage() {
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
      Seen.push_back(Action);
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
  /// Lets time pass with ticks of a second.
  void pass(RolloutLeader &Leader, int Seconds) {
    for (int Count = 0; Count < Seconds; ++Count) {
      Time += seconds(1);
      feed(Leader, RolloutTicked{wall(), true});
    }
  }
  /// Shows two targets that have, or lack, the new version.
  void showTargets(RolloutLeader &Leader, bool Loaded) {
    TargetsReported Shown;
    for (std::uint64_t Id = 1; Id <= 2; ++Id) {
      TargetStatus Target{TargetId{Id}, {}, {idOf<VersionId>("v1")}, false};
      if (Loaded)
        Target.Versions.push_back(idOf<VersionId>("v2"));
      Shown.Targets.push_back(Target);
    }
    feed(Leader, Shown);
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
  Stage Scene;
  RolloutLeader First("host-1");
  RolloutLeader Second("host-2");
  Scene.showTargets(First, false);
  Scene.showTargets(Second, false);
  Scene.pass(First, 3);
  REQUIRE(First.isLeader());
  REQUIRE(Scene.Object.Leader == "host-1");

  SUBCASE("which orders the first targets to load, with its fence") {
    Scene.pass(First, 3);
    const auto *Order = find<OrderLoad>(Scene.Seen);
    REQUIRE(Order != nullptr);
    CHECK(Order->Fence == Scene.Object.FencingToken);
    CHECK(Scene.Object.Phase == RolloutPhase::Loading);

    SUBCASE("and begins the canary under its cap once they have") {
      Scene.showTargets(First, true);
      Scene.pass(First, 2);
      CHECK(Scene.Object.Phase == RolloutPhase::Canary);
      CHECK(Scene.Object.Share == RolloutPacing{}.CanaryShare);
    }
  }
  SUBCASE("another host does not take its lease while it renews it") {
    Scene.feed(Second, RolloutTicked{Scene.wall(), true});
    for (int Count = 0; Count < 30; ++Count) {
      Scene.pass(First, 1);
      Scene.feed(Second, RolloutTicked{Scene.wall(), true});
    }
    CHECK(Scene.Object.Leader == "host-1");
    CHECK_FALSE(Second.isLeader());
  }
  SUBCASE("a frozen leader is replaced, and fails when it wakes") {
    const std::uint64_t OldFence = Scene.Object.FencingToken;
    Scene.pass(Second, 15);
    REQUIRE(Scene.Object.Leader == "host-2");
    CHECK(Scene.Object.FencingToken > OldFence);
    Scene.feed(First, RolloutTicked{Scene.wall(), true});
    CHECK(Scene.Object.Leader == "host-2");
    CHECK_FALSE(First.isLeader());
  }
}

TEST_CASE("a canary begins once every zone has a target that can answer") {
  Stage Scene;
  RolloutLeader Leader("host-1");
  const auto Show = [&](const std::vector<bool> &Loaded) {
    TargetsReported Shown;
    for (std::uint64_t Id = 1; Id <= Loaded.size(); ++Id) {
      // Targets 1 to 3 are in the first zone, target 4 is in the second.
      TargetStatus One{TargetId{Id}, ZoneId{Id <= 3 ? 1U : 2U}, {}, false};
      One.Versions = {idOf<VersionId>("v1")};
      if (Loaded[Id - 1])
        One.Versions.push_back(idOf<VersionId>("v2"));
      Shown.Targets.push_back(One);
    }
    Scene.feed(Leader, Shown);
  };
  Show({false, false, false, false});
  Scene.pass(Leader, 6);
  std::set<TargetId> Ordered;
  for (const RolloutAction &Action : Scene.Seen)
    if (const auto *Order = std::get_if<OrderLoad>(&Action))
      Ordered.insert(Order->Target);
  CHECK(Ordered == std::set<TargetId>{TargetId{1}, TargetId{4}});

  SUBCASE("one zone alone is not enough") {
    Show({true, true, false, false});
    Scene.pass(Leader, 20);
    CHECK(Scene.Object.Phase == RolloutPhase::Loading);

    SUBCASE("but holds it up for a tenth of the time only") {
      Scene.pass(Leader, 60);
      CHECK(Scene.Object.Phase == RolloutPhase::Canary);
    }
  }
  SUBCASE("one target in each is") {
    Show({true, false, false, true});
    Scene.pass(Leader, 3);
    CHECK(Scene.Object.Phase == RolloutPhase::Canary);
  }
}

TEST_CASE("operators set the share of a canary") {
  Stage Scene;
  RolloutLeader Leader("host-1");
  Scene.feed(Leader, CanaryShareChanged{0.05});
  Scene.showTargets(Leader, true);
  Scene.pass(Leader, 6);
  REQUIRE(Scene.Object.Phase == RolloutPhase::Canary);
  CHECK(Scene.Object.Share == 0.05);

  SUBCASE("the ramp goes on above it") {
    while (Scene.Object.Phase == RolloutPhase::Canary &&
           Scene.wall() < Scene.Object.Deadline) {
      Scene.giveEvidence(Leader, 5, 0);
      Scene.pass(Leader, 1);
    }
    CHECK(Scene.Object.Share > 0.05);
  }
}

TEST_CASE("a rollout moves by evidence and by its deadline") {
  Stage Scene;
  RolloutLeader Leader("host-1");
  Scene.showTargets(Leader, true);
  Scene.pass(Leader, 6);
  REQUIRE(Scene.Object.Phase == RolloutPhase::Canary);

  SUBCASE("no answers of the new version: it stays a canary") {
    Scene.pass(Leader, 300);
    CHECK(Scene.Object.Phase == RolloutPhase::Canary);

    SUBCASE("and is taken back at the deadline") {
      Scene.pass(Leader, 310);
      CHECK(Scene.Object.Phase == RolloutPhase::RolledBack);
      CHECK(find<RolloutEnded>(Scene.Seen) != nullptr);
    }
  }
  SUBCASE("good answers: it ramps up and completes in time") {
    for (int Count = 0; Count < 590; ++Count) {
      Scene.giveEvidence(Leader, 5, 0);
      Scene.pass(Leader, 1);
    }
    CHECK(Scene.Object.Phase == RolloutPhase::Completed);
    CHECK(Scene.Object.Share == 1);
  }
  SUBCASE("bad answers: it is taken back at once, and for good") {
    Scene.giveEvidence(Leader, 8, 8);
    CHECK(find<TripVersion>(Scene.Seen) != nullptr);
    Scene.pass(Leader, 1);
    REQUIRE(Scene.Object.Phase == RolloutPhase::RolledBack);
    CHECK(Scene.Object.Share == 0);
    Scene.giveEvidence(Leader, 1000, 0);
    Scene.pass(Leader, 60);
    CHECK(Scene.Object.Phase == RolloutPhase::RolledBack);
  }
  SUBCASE("an answer lost after the write is settled by reading") {
    Scene.giveEvidence(Leader, 200, 0);
    Scene.pass(Leader, 300);
    Scene.LoseNextAnswer = true;
    Scene.pass(Leader, 30);
    CHECK(Scene.Object.Phase == RolloutPhase::Ramping);
    CHECK(Leader.state()->Phase == RolloutPhase::Ramping);
  }
  SUBCASE("a platform outage holds the share where it is") {
    Scene.PlatformUp = false;
    const double Before = Scene.Object.Share;
    for (int Count = 0; Count < 60; ++Count) {
      Scene.giveEvidence(Leader, 50, 0);
      Scene.pass(Leader, 1);
    }
    CHECK(Scene.Object.Share == Before);
    Scene.PlatformUp = true;
    for (int Count = 0; Count < 530; ++Count) {
      Scene.giveEvidence(Leader, 20, 0);
      Scene.pass(Leader, 1);
    }
    CHECK(Scene.Object.Phase == RolloutPhase::Completed);
  }
  SUBCASE("an operator's abort is answered once it stands") {
    RolloutCommanded Abort;
    Abort.Call = 9;
    Abort.Command = RolloutCommand::Abort;
    Abort.Author = "ana";
    Scene.feed(Leader, Abort);
    CHECK(Scene.Object.Phase == RolloutPhase::RolledBack);
    const auto *Answer = find<AnswerCommand>(Scene.Seen);
    REQUIRE(Answer != nullptr);
    CHECK(ok(Answer->Outcome));
  }
}

TEST_CASE("a guard watches a version where its answers are seen") {
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

  SUBCASE("a leader that takes over is told all that was counted") {
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
    const auto *Whole = find<EvidenceReady>(First);
    REQUIRE(Whole != nullptr);
    CHECK(Whole->Cells.front().NewAnswers == 3);

    SUBCASE("once") {
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
  SUBCASE("failing answers trip it here, without platform or leader") {
    AnswerObserved Failing;
    Failing.Version = View.To;
    Failing.Failed = true;
    for (int Count = 0; Count < 6; ++Count)
      Guard.step(Failing);
    const GuardActions Actions = Guard.step(GuardTicked{WallTime(seconds(2))});
    CHECK(find<TripDetected>(Actions) != nullptr);
    CHECK(Guard.allowedShare() == 0);

    SUBCASE("and no later share of this rollout brings it back") {
      View.ObjectVersion = 6;
      View.Share = 0.5;
      Guard.step(ViewUpdated{View});
      Guard.step(GuardTicked{WallTime(seconds(3))});
      CHECK(Guard.allowedShare() == 0);
    }
  }
  SUBCASE("a trip learned from another host has the same effect") {
    Guard.step(TripReported{View.Id});
    CHECK(Guard.allowedShare() == 0);
  }
  SUBCASE("past the deadline without news the version stays out") {
    Guard.step(GuardTicked{WallTime(minutes(11))});
    CHECK(Guard.allowedShare() == 0);

    SUBCASE("until news of its completion arrives") {
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
