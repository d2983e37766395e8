/// Tests of versions that must be completed or rolled back within seconds.
#include "marjorambay/coordination/quick_rollout.h"
#include "marjorambay/state/random.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

const auto Pool = idOf<PoolId>("pool");
const auto Version = idOf<VersionId>("v2");
constexpr Duration Window = seconds(12);

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

/// Result of a simulated rollout.
struct Outcome {
  VersionDecision Last{};
  double SentNew = 0;     ///< until the end of the window
  double SentAll = 0;     ///< until the end of the window
  double BadAtTrip = 0;   ///< bad answers when it was rolled back
  Duration CompletedAt{}; ///< time since the operator's order
};

/// Share of answers that fail from a moment on, and before it.
struct FailureShare {
  double Until = 0;
  double From = 0;
  Duration Change{};
  double at(Duration Now) const { return Now < Change ? Until : From; }
};

Outcome play(double PerSecond, FailureShare Old, FailureShare New) {
  QuickRollout Rollout(Pool, Version, Window, at(Duration(0)));
  SplitMix64 Random(1);
  Outcome Result;
  double Credit = 0;
  double Bad = 0;
  constexpr Duration Step = milliseconds(250);
  for (Duration Now{}; Now < Window; Now += Step) {
    Result.Last = Rollout.step(at(Now));
    EvidenceCell Cell;
    Cell.Stratum.Route = idOf<RouteId>("route");
    const double Requests = PerSecond * toSeconds(Step);
    for (double Request = 0; Request < Requests; ++Request) {
      Credit += Result.Last.Share;
      const bool IsNew = Credit >= 1;
      Credit -= IsNew ? 1 : 0;
      const double Rate = (IsNew ? New : Old).at(Now);
      const bool Fails = drawFraction(Random) < Rate;
      ++(IsNew ? Cell.NewAnswers : Cell.OldAnswers);
      (IsNew ? Cell.NewBad : Cell.OldBad) += Fails ? 1 : 0;
      Bad += IsNew && Fails ? 1 : 0;
    }
    Result.SentNew += Cell.NewAnswers;
    Result.SentAll += Cell.NewAnswers + Cell.OldAnswers;
    // Both versions take as long.
    LatencyCell Latency;
    Latency.Route = Cell.Stratum.Route;
    Latency.Bin = latencyBin(0.1);
    Latency.OldAnswers = Cell.OldAnswers;
    Latency.NewAnswers = Cell.NewAnswers;
    Rollout.add({Cell}, {Latency}, {}, at(Now));
    if (Result.Last.Stage == VersionStage::Completed &&
        Result.CompletedAt == Duration(0))
      Result.CompletedAt = Now;
    if (Result.Last.Stage != VersionStage::RolledBack)
      Result.BadAtTrip = Bad;
  }
  return Result;
}

Outcome play(double PerSecond, double OldBad, double NewBad,
             Duration BadFrom = Duration(0)) {
  return play(PerSecond, FailureShare{OldBad, OldBad},
              FailureShare{OldBad, NewBad, BadFrom});
}

TEST_CASE("a good version is completed within its window") {
  for (const double PerSecond : {20.0, 100.0, 250.0}) {
    CAPTURE(PerSecond);
    const Outcome Result = play(PerSecond, 0.01, 0.01);
    CHECK(Result.Last.Stage == VersionStage::Completed);
    CHECK(Result.CompletedAt < Window);
  }
}

TEST_CASE("a bad version") {
  SUBCASE("that fails from the start is rolled back within 50 bad answers") {
    for (const double PerSecond : {20.0, 100.0, 250.0}) {
      CAPTURE(PerSecond);
      const Outcome Result = play(PerSecond, 0.01, 0.4);
      CHECK(Result.Last.Stage == VersionStage::RolledBack);
      CHECK(Result.Last.Share == 0);
      CHECK(Result.BadAtTrip < 50);
    }
  }
  SUBCASE("that fails later is rolled back as well") {
    const Outcome Result = play(100, 0.01, 0.5, seconds(6));
    CHECK(Result.Last.Stage == VersionStage::RolledBack);
  }
  SUBCASE("gets no more requests than its budget, also if it never trips") {
    for (const double PerSecond : {20.0, 100.0, 250.0}) {
      CAPTURE(PerSecond);
      QuickRolloutSettings Bounds;
      const Outcome Result = play(PerSecond, 0.01, 0.01);
      // Until completion, even an undetected fault would have affected at most
      // this many requests.
      const double Until = toSeconds(Result.CompletedAt) / toSeconds(Window);
      const double AfterCompletion =
          (1 - Until) * PerSecond * toSeconds(Window);
      CHECK(Result.SentNew - AfterCompletion <
            Bounds.CanaryShare * Result.SentAll + Bounds.CanaryExtra);
    }
  }
}

// Guards against a version that fails, and is completed because the old one has
// failed as well: what the old one may do sets the bound for the new one.
TEST_CASE("a version that fails beside failures of the old one") {
  constexpr double Usual = 0.01;
  constexpr double Trouble = 0.45;
  for (const double PerSecond : {20.0, 94.0, 240.0}) {
    CAPTURE(PerSecond);
    SUBCASE("for a while is rolled back within 50 bad answers") {
      const Outcome Result =
          play(PerSecond, FailureShare{Trouble, Usual, seconds(5)}, {0.6, 0.6});
      CHECK(Result.Last.Stage == VersionStage::RolledBack);
      CHECK(Result.BadAtTrip < 50);
    }
    SUBCASE("all the time is rolled back within 50 bad answers") {
      const Outcome Result =
          play(PerSecond, FailureShare{Trouble, Trouble}, {0.6, 0.6});
      CHECK(Result.Last.Stage == VersionStage::RolledBack);
      CHECK(Result.BadAtTrip < 50);
    }
  }
}

TEST_CASE("a sound version is completed after failures of the whole service") {
  for (const double PerSecond : {20.0, 94.0, 240.0}) {
    CAPTURE(PerSecond);
    const FailureShare Trouble{0.45, 0.01, seconds(4)};
    CHECK(play(PerSecond, Trouble, Trouble).Last.Stage ==
          VersionStage::Completed);
  }
}

/// Plays a rollout of a good version of a service of which some requests fail
/// at every target. Callers send these twice, and a host repeats each once, at
/// the old version.
VersionStage playFailingRequests(std::uint64_t Seed, double PerSecond,
                                 double FailingShare) {
  QuickRollout Rollout(Pool, Version, Window, at(Duration(0)));
  SplitMix64 Random(Seed);
  VersionDecision Last;
  constexpr Duration Step = milliseconds(250);
  for (Duration Now{}; Now < Window; Now += Step) {
    Last = Rollout.step(at(Now));
    EvidenceCell Cell;
    Cell.Stratum.Route = idOf<RouteId>("route");
    const double Requests = PerSecond * toSeconds(Step);
    for (double Request = 0; Request < Requests; ++Request) {
      const bool Fails = drawFraction(Random) < FailingShare;
      for (int Sent = 0; Sent < (Fails ? 2 : 1); ++Sent) {
        const bool IsNew = drawFraction(Random) < Last.Share;
        ++(IsNew ? Cell.NewAnswers : Cell.OldAnswers);
        (IsNew ? Cell.NewBad : Cell.OldBad) += Fails ? 1 : 0;
        Cell.OldAnswers += Fails ? 1 : 0;
        Cell.OldBad += Fails ? 1 : 0;
        Cell.SharedBad += Fails && IsNew ? 1 : 0;
      }
    }
    LatencyCell Latency;
    Latency.Route = Cell.Stratum.Route;
    Latency.Bin = latencyBin(0.1);
    Latency.OldAnswers = Cell.OldAnswers;
    Latency.NewAnswers = Cell.NewAnswers;
    Rollout.add({Cell}, {Latency}, {}, at(Now));
  }
  return Last.Stage;
}

// Guards against a good version that is rolled back because some requests fail
// at every target, and several of them were among its few answers.
TEST_CASE("a good version of a service with failing requests is completed") {
  constexpr std::uint64_t Rollouts = 300;
  std::uint64_t Completed = 0;
  for (std::uint64_t Seed = 1; Seed <= Rollouts; ++Seed)
    Completed +=
        playFailingRequests(Seed, 33, 0.08) == VersionStage::Completed ? 1 : 0;
  CHECK(Completed >= 297);
}

TEST_CASE("a version without answers is rolled back") {
  QuickRollout Rollout(Pool, Version, Window, at(Duration(0)));
  CHECK(Rollout.step(at(Window)).Stage == VersionStage::RolledBack);
}

TEST_CASE("a final decision of another host is adopted") {
  QuickRollout Rollout(Pool, Version, Window, at(Duration(0)));
  VersionDecision Decision{Pool, Version, VersionStage::RolledBack};
  Rollout.merge(Decision);
  CHECK(Rollout.step(at(seconds(1))).Stage == VersionStage::RolledBack);
  Decision.Stage = VersionStage::Completed;
  Rollout.merge(Decision);
  CHECK(Rollout.step(at(seconds(2))).Stage == VersionStage::RolledBack);
}

} // namespace
} // namespace marjorambay
