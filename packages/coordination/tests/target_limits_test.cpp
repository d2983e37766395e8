/// Tests of limits that targets name for themselves.
#include "support/limited_pool.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace marjorambay {
namespace {

using test::LimitedPool;
using test::LimitedResult;
using test::LimitedScenario;

const TargetId Target{1};
TimePoint at(Duration Since) { return TimePoint(hours(1)) + Since; }

TargetLimitNotice notice(std::optional<double> PerSecond, Duration Age,
                         std::uint64_t Incarnation = 1) {
  return {Target, IncarnationId{Incarnation}, PerSecond, Age};
}

TEST_CASE("what a target says of its limit") {
  TargetLimits Limits;
  SUBCASE("counts from the first notice on") {
    CHECK(Limits.observe(notice(2.5, milliseconds(20)), at(seconds(1))) ==
          LimitChange::Learned);
    CHECK(Limits.limit(Target) == 2.5);
    CHECK(Limits.size() == 1);
    SUBCASE("until a later one changes it") {
      CHECK(Limits.observe(notice(4, milliseconds(20)), at(seconds(2))) ==
            LimitChange::Changed);
      CHECK(Limits.limit(Target) == 4);
    }
    SUBCASE("until an answer names none") {
      CHECK(Limits.observe(notice({}, milliseconds(20)), at(seconds(2))) ==
            LimitChange::Ended);
      CHECK_FALSE(Limits.limit(Target));
      CHECK(Limits.size() == 0);
      CHECK(Limits.merge(notice(2.5, seconds(3)), at(seconds(3))) ==
            LimitChange::None); // an older notice that was on its way
    }
    SUBCASE("whatever the answer to an earlier request says") {
      CHECK(Limits.observe(notice({}, seconds(2)), at(seconds(2))) ==
            LimitChange::None);
      CHECK(Limits.limit(Target) == 2.5);
    }
    SUBCASE("until the target starts again") {
      CHECK(Limits.retain({{Target, IncarnationId{2}}}) ==
            std::vector<TargetId>{Target});
      CHECK_FALSE(Limits.limit(Target));
    }
    SUBCASE("and stays while it is listed") {
      CHECK(Limits.retain({{Target, IncarnationId{1}}}).empty());
      CHECK(Limits.limit(Target) == 2.5);
      CHECK(Limits.retain({}) == std::vector<TargetId>{Target});
    }
  }
  SUBCASE("is nothing as long as it names no limit") {
    CHECK(Limits.observe(notice({}, milliseconds(20)), at(seconds(1))) ==
          LimitChange::None);
    CHECK(Limits.takeUnsent(0, at(seconds(1))).empty());
  }
  SUBCASE("is passed on") {
    Limits.observe(notice(2.5, milliseconds(20)), at(seconds(1)));
    CHECK(Limits.changeUnsent());
    const auto Unsent = Limits.takeUnsent(0, at(seconds(2)));
    REQUIRE(Unsent.size() == 1);
    CHECK(Unsent.front().Age == milliseconds(1020));
    CHECK_FALSE(Limits.changeUnsent());
    CHECK(Limits.takeUnsent(0, at(seconds(2))).empty());
    SUBCASE("and does not become newer on its way") {
      TargetLimits Other;
      Other.merge(Unsent.front(), at(seconds(2)));
      Other.merge(Unsent.front(), at(seconds(4)));
      CHECK(Other.nextNotices(16, at(seconds(4))).front().Age ==
            milliseconds(3020));
    }
  }
  SUBCASE("is passed on in rotation if there is much") {
    for (std::uint64_t Id = 1; Id <= 40; ++Id)
      Limits.observe({TargetId{Id}, IncarnationId{1}, 1.0, milliseconds(1)},
                     at(seconds(1)));
    std::set<TargetId> Seen;
    for (int Digest = 0; Digest < 3; ++Digest)
      for (const TargetLimitNotice &Notice :
           Limits.nextNotices(16, at(seconds(2))))
        Seen.insert(Notice.Target);
    CHECK(Seen.size() == 40);
  }
}

TEST_CASE("a paced target") {
  TargetPacer Pacer;
  const auto Sends = [&Pacer](Duration From, Duration To) {
    int Count = 0;
    for (Duration Now = From; Now < To; Now += milliseconds(10))
      if (Pacer.allows(Target, at(Now))) {
        Pacer.recordSend(Target, at(Now));
        ++Count;
      }
    return Count;
  };
  SUBCASE("gets its rate") {
    Pacer.set(Target, TargetPace{2.5}, at(seconds(0)));
    const int Count = Sends(seconds(0), seconds(40));
    CHECK(Count <= 100);
    CHECK(Count >= 95);
  }
  SUBCASE("gets little at once after a pause") {
    Pacer.set(Target, TargetPace{2.5}, at(seconds(0)));
    CHECK(Sends(seconds(60), seconds(64)) <= 4 * 2.5 + 1 + 0.5 * 2.5);
  }
  SUBCASE("gets a request now and then if it wants none") {
    Pacer.set(Target, TargetPace{0}, at(seconds(0)));
    CHECK(Sends(seconds(0), seconds(4)) >= 1);
    CHECK(Sends(seconds(4), seconds(8)) <= 5);
  }
  SUBCASE("gets no more from many hosts that don't know of each other") {
    constexpr int Hosts = 200;
    std::vector<Duration> Times;
    for (int Host = 0; Host < Hosts; ++Host) {
      TargetPacer Own;
      Own.set(
          Target,
          TargetPace{2.2, 1.0 / Hosts, Host * 0.61803 - int(Host * 0.61803)},
          at(seconds(0)));
      for (Duration Now{}; Now < seconds(60); Now += milliseconds(50))
        if (Own.allows(Target, at(Now))) {
          Own.recordSend(Target, at(Now));
          Times.push_back(Now);
        }
    }
    std::sort(Times.begin(), Times.end());
    for (auto First = Times.begin(); First != Times.end(); ++First)
      CHECK(std::lower_bound(First, Times.end(), *First + seconds(4)) - First <=
            6 * 2.2 + 5);
  }
  SUBCASE("is not limited any more once its limit has ended") {
    Pacer.set(Target, TargetPace{1}, at(seconds(0)));
    CHECK_FALSE(Pacer.allows(Target, at(seconds(0))));
    Pacer.set(Target, std::nullopt, at(seconds(0)));
    CHECK(Pacer.allows(Target, at(seconds(0))));
  }
}

/// Number of seeds; the environment may ask for more.
std::uint64_t seedCount() {
  const char *Asked = std::getenv("MARJORAMBAY_SEEDS"); // NOLINT
  return Asked == nullptr ? 100 : std::strtoull(Asked, nullptr, 10);
}

LimitedScenario randomScene(std::uint64_t Seed) {
  SplitMix64 Random(Seed * 31);
  const auto Pick = [&Random](const auto &Values) {
    return Values[static_cast<std::size_t>(drawFraction(Random) *
                                           static_cast<double>(Values.size()))];
  };
  LimitedScenario Scene;
  Scene.Seed = Seed;
  Scene.Hosts = Pick(std::vector<std::size_t>{1, 4, 8, 8, 20, 60, 200});
  Scene.Targets = Pick(std::vector<std::size_t>{1, 4, 18});
  Scene.LimitedTargets =
      drawFraction(Random) < 0.3 ? Scene.Targets : (Scene.Targets + 5) / 6;
  const std::vector<double> Limits = {0, 0.1, 0.25, 1, 2.2, 2.8, 10, 100};
  Scene.PerSecond = Pick(Limits);
  Scene.LaterPerSecond =
      drawFraction(Random) < 0.5 ? Scene.PerSecond : Pick(Limits);
  Scene.LossShare = Pick(std::vector<double>{0, 0, 0.02, 0.1});
  Scene.Restarts = drawFraction(Random) < 0.5;
  Scene.Cuts = drawFraction(Random) < 0.5;
  return Scene;
}

// Guards against targets that get more requests than the limit that they have
// named, from all hosts together.
TEST_CASE("limited targets of random pools stay within their limits") {
  for (std::uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    CAPTURE(Seed);
    CHECK(LimitedPool(randomScene(Seed)).run().WorstFill <= 1);
  }
}

// Guards against limits that are kept by serving less than they allow, or at
// the expense of callers whom other targets could serve.
TEST_CASE("what a limit allows is used while there is work") {
  for (const std::size_t Hosts : {1U, 8U, 60U})
    for (const double Limit : {1.0, 2.2, 10.0}) {
      CAPTURE(Hosts);
      CAPTURE(Limit);
      LimitedScenario Scene;
      Scene.Hosts = Hosts;
      Scene.PerSecond = Scene.LaterPerSecond = Limit;
      SUBCASE("by all targets of a pool") {
        Scene.LimitedTargets = Scene.Targets;
        const LimitedResult Result = LimitedPool(Scene).run();
        CHECK(Result.Used >= 0.9);
        CHECK(Result.WorstFill <= 1);
        if (Limit * 6 < Scene.RequestsPerSecond)
          CHECK(Result.Refused > 0);
      }
      SUBCASE("and the other targets serve the rest") {
        const LimitedResult Result = LimitedPool(Scene).run();
        CHECK(Result.Used >= 0.9);
        CHECK(Result.Refused == 0);
        CHECK(Result.WorstFill <= 1);
      }
    }
}

} // namespace
} // namespace marjorambay
