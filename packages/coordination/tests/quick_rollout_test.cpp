/// Tests of versions that must be in force, or taken back, within seconds.
#include "marjorambay/coordination/quick_rollout.h"
#include "marjorambay/state/random.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

const auto Pool = idOf<PoolId>("pool");
const auto Version = idOf<VersionId>("v2");
constexpr Duration Window = seconds(12);

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

/// What became of a version whose answers fail at a rate.
struct Outcome {
  VersionDecision Last{};
  double SentNew = 0;     ///< until the end of the window
  double SentAll = 0;     ///< until the end of the window
  double BadAtTrip = 0;   ///< bad answers when it was taken back
  Duration CompletedAt{}; ///< since the order
};

Outcome play(double PerSecond, double OldBad, double NewBad,
             Duration BadFrom = Duration(0)) {
  QuickRollout Rollout(Pool, Version, Window, at(Duration(0)));
  SplitMix64 Random(1);
  Outcome Seen;
  double Credit = 0;
  double Bad = 0;
  constexpr Duration Step = milliseconds(250);
  for (Duration Now{}; Now < Window; Now += Step) {
    Seen.Last = Rollout.step(at(Now));
    EvidenceCell Cell;
    Cell.Stratum.Route = idOf<RouteId>("route");
    const double Requests = PerSecond * toSeconds(Step);
    for (double Each = 0; Each < Requests; ++Each) {
      Credit += Seen.Last.Share;
      const bool New = Credit >= 1;
      Credit -= New ? 1 : 0;
      const double Rate = New && Now >= BadFrom ? NewBad : OldBad;
      const bool Fails = drawFraction(Random) < Rate;
      ++(New ? Cell.NewAnswers : Cell.OldAnswers);
      (New ? Cell.NewBad : Cell.OldBad) += Fails ? 1 : 0;
      Bad += New && Fails ? 1 : 0;
    }
    Seen.SentNew += Cell.NewAnswers;
    Seen.SentAll += Cell.NewAnswers + Cell.OldAnswers;
    Rollout.add({Cell});
    if (Seen.Last.Stage == VersionStage::Completed &&
        Seen.CompletedAt == Duration(0))
      Seen.CompletedAt = Now;
    if (Seen.Last.Stage != VersionStage::RolledBack)
      Seen.BadAtTrip = Bad;
  }
  return Seen;
}

TEST_CASE("a good version") {
  for (const double PerSecond : {20.0, 100.0, 250.0}) {
    CAPTURE(PerSecond);
    const Outcome Seen = play(PerSecond, 0.01, 0.01);
    CHECK(Seen.Last.Stage == VersionStage::Completed);
    CHECK(Seen.CompletedAt < Window);
  }
}

TEST_CASE("a bad version") {
  SUBCASE("that fails from the start is taken back within 50 bad answers") {
    for (const double PerSecond : {20.0, 100.0, 250.0}) {
      CAPTURE(PerSecond);
      const Outcome Seen = play(PerSecond, 0.01, 0.4);
      CHECK(Seen.Last.Stage == VersionStage::RolledBack);
      CHECK(Seen.Last.Share == 0);
      CHECK(Seen.BadAtTrip < 50);
    }
  }
  SUBCASE("that fails later is taken back as well") {
    const Outcome Seen = play(100, 0.01, 0.5, seconds(6));
    CHECK(Seen.Last.Stage == VersionStage::RolledBack);
  }
  SUBCASE("gets at most its share and the few beyond it, tripped or not") {
    for (const double PerSecond : {20.0, 100.0, 250.0}) {
      CAPTURE(PerSecond);
      QuickRolloutSettings Bounds;
      const Outcome Seen = play(PerSecond, 0.01, 0.01);
      // Until it is completed, even an unseen fault met no more than this.
      const double Until = toSeconds(Seen.CompletedAt) / toSeconds(Window);
      const double AfterIt = (1 - Until) * PerSecond * toSeconds(Window);
      CHECK(Seen.SentNew - AfterIt <
            Bounds.CanaryShare * Seen.SentAll + Bounds.CanaryExtra);
    }
  }
}

TEST_CASE("a version that got no answers is not put in force") {
  QuickRollout Rollout(Pool, Version, Window, at(Duration(0)));
  CHECK(Rollout.step(at(Window)).Stage == VersionStage::RolledBack);
}

TEST_CASE("another host's decision is final here too") {
  QuickRollout Rollout(Pool, Version, Window, at(Duration(0)));
  VersionDecision Back{Pool, Version, VersionStage::RolledBack};
  Rollout.merge(Back);
  CHECK(Rollout.step(at(seconds(1))).Stage == VersionStage::RolledBack);
  Back.Stage = VersionStage::Completed;
  Rollout.merge(Back);
  CHECK(Rollout.step(at(seconds(2))).Stage == VersionStage::RolledBack);
}

} // namespace
} // namespace marjorambay
