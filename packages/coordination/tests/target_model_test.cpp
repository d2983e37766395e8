/// Tests of the estimates for targets, answer lengths and version shares.
#include "arbiter_fixture.h"

#include "marjorambay/coordination/cost_model.h"
#include "marjorambay/coordination/load_history.h"
#include "marjorambay/coordination/target_model.h"
#include "marjorambay/coordination/version_share.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

using namespace marjorambay::testing;

TEST_CASE("a target's speed is estimated") {
  TargetModel Model;
  Model.configure(1000, 32);
  Duration Now = seconds(0);
  const auto Feed = [&](double StepSeconds, int Samples) {
    for (int Sample = 0; Sample < Samples; ++Sample) {
      Now += milliseconds(500);
      Model.recordDecode(10, fromSeconds(10 * StepSeconds), 20, at(Now));
    }
  };
  Feed(0.010, 40);

  SUBCASE("from the measured streams, not from the initial guess") {
    CHECK(Model.stepSeconds(20, at(Now)) == doctest::Approx(0.010));
    CHECK(Model.requestLimit(at(Now)) == 32);
  }
  SUBCASE(
      "a slowdown to a fifth is detected and reduces the limit in proportion") {
    Feed(0.050, 20);
    CHECK(Model.slowdown(at(Now)) > 4);
    CHECK(Model.requestLimit(at(Now)) <= 8);

    SUBCASE("and decays when no samples arrive that could show its end") {
      CHECK(Model.slowdown(at(Now + minutes(5))) == doctest::Approx(1));
      CHECK(Model.requestLimit(at(Now + minutes(5))) == 32);
    }
    SUBCASE("and ends once samples are fast again") {
      Feed(0.010, 30);
      CHECK(Model.requestLimit(at(Now)) == 32);
    }
  }
  SUBCASE("a single outlier has little effect") {
    Feed(10, 1);
    CHECK(Model.stepSeconds(20, at(Now)) < 0.03);
  }
}

TEST_CASE("an engine whose batch is narrower than declared") {
  TargetModel Model;
  Model.configure(1000, 32);
  Duration Now = seconds(0);
  // Up to 8 streams wait 20 ms for their first token; further ones wait for a
  // slot.
  const auto Serve = [&](int Samples) {
    for (int Sample = 0; Sample < Samples; ++Sample) {
      Now += milliseconds(200);
      const double Streams = Model.requestLimit(at(Now));
      const Duration Wait = Streams <= 8 ? milliseconds(20) : seconds(2);
      Model.recordDecode(10, milliseconds(200), 8, at(Now));
      Model.recordFirstTokenWait(Wait, 0, Streams, at(Now));
    }
  };
  Model.recordFirstTokenWait(milliseconds(20), 0, 1, at(Now));
  Serve(200);

  SUBCASE("is limited to the requests that it runs concurrently") {
    CHECK(Model.requestLimit(at(Now)) <= 9);
    CHECK(Model.requestLimit(at(Now)) >= 6);
  }
  SUBCASE("gets a higher limit again once it no longer queues") {
    for (int Sample = 0; Sample < 100; ++Sample)
      Model.recordFirstTokenWait(milliseconds(20), 0,
                                 Model.requestLimit(at(Now)), at(Now));
    CHECK(Model.requestLimit(at(Now)) == 32);
  }
}

TEST_CASE("the step time is fitted as a line over the number of streams") {
  TargetModel Model;
  Model.configure(1000, 32);
  Duration Now = seconds(0);
  for (int Sample = 0; Sample < 200; ++Sample) {
    Now += milliseconds(100);
    const double Streams = 1 + Sample % 32;
    Model.recordDecode(100, fromSeconds(100 * (0.002 + 0.001 * Streams)),
                       Streams, at(Now));
  }
  CHECK(Model.stepSeconds(2, at(Now)) == doctest::Approx(0.004).epsilon(0.15));
  CHECK(Model.stepSeconds(30, at(Now)) == doctest::Approx(0.032).epsilon(0.1));
}

TEST_CASE("a delayed load report") {
  LoadHistory History;
  History.recordInFlight(2, at(seconds(1)));
  History.recordInFlight(10, at(seconds(5)));

  SUBCASE("shows the load of others at its time, not what was granted since") {
    History.merge(5, at(seconds(3)));
    CHECK(History.others(at(seconds(5))) == 3);

    SUBCASE("and an older one changes nothing") {
      History.merge(30, at(seconds(2)));
      CHECK(History.others(at(seconds(5))) == 3);
    }
    SUBCASE("and decays without newer ones") {
      CHECK(History.others(at(minutes(5))) < 0.1);
    }
  }
  SUBCASE("from before the history is ignored") {
    for (int Turn = 0; Turn < 600; ++Turn)
      History.recordInFlight(1, at(seconds(10 + Turn)));
    History.merge(30, at(seconds(2)));
    CHECK(History.others(at(seconds(700))) == 0);
  }
}

Usage answerOf(std::uint32_t Output) {
  Usage Used;
  Used.OutputTokens = Output;
  return Used;
}

TEST_CASE("lengths of answers are estimated") {
  CostModel Costs(64);
  Reservation Short = reservation(1);
  Short.Cost = {20, 256};
  Reservation Long = reservation(2);
  Long.Cost = {4000, 256};
  CHECK(Costs.estimate(Short).Mean == 256);
  CHECK(Costs.estimate(Short).High == 1); // a guess alone refuses no request

  for (int Turn = 0; Turn < 10; ++Turn) {
    Costs.recordAnswer(Short, answerOf(12));
    Costs.recordAnswer(Long, answerOf(1200));
  }
  SUBCASE("separately for short and long prompts") {
    CHECK(Costs.estimate(Short).Mean == 12);
    CHECK(Costs.estimate(Long).Mean == 1200);
  }
  SUBCASE("up to the caller's limit") {
    Long.Cost.MaxOutput = 100;
    CHECK(Costs.estimate(Long).Mean == 100);
  }
  SUBCASE("another account falls back to them, another route does not") {
    Short.Account = account("other");
    CHECK(Costs.estimate(Short).Mean < 1200);
    Short.Route = static_cast<RouteId>(9);
    CHECK(Costs.estimate(Short).Mean == 256);
  }
  SUBCASE("refusals because of length alone do not continue forever") {
    for (int Turn = 0; Turn < 500; ++Turn)
      Costs.recordLengthRefusal(Long);
    CHECK(Costs.estimate(Long).Low == 1);
  }
  SUBCASE("within bounded memory") {
    for (std::uint64_t Id = 0; Id < 1000; ++Id) {
      Short.Account = static_cast<AccountId>(Id);
      Costs.recordAnswer(Short, answerOf(12));
    }
    CHECK(Costs.size() <= 64);
  }
}

TEST_CASE("a version under rollout") {
  VersionShare Shares;
  const VersionId Old = version("v1");
  const VersionId New = version("v2");
  Shares.setServing(Old);

  SUBCASE("gets nothing before its share is known") {
    CHECK(Shares.allows(Old));
    CHECK(!Shares.allows(New));
  }
  SUBCASE("does not restrict targets without a version") {
    CHECK(Shares.allows(VersionId{}));
    CHECK(Shares.usable(VersionId{}));
    CHECK(!Shares.usable(New));
  }
  SUBCASE("never has more than floor(share * n) of the first n requests") {
    for (const double Share : {0.01, 0.05, 0.3, 0.5}) {
      VersionShare Capped;
      Capped.setShare(New, Share);
      std::uint64_t Given = 0;
      for (std::uint64_t Count = 1; Count <= 3000; ++Count) {
        const bool Due = Capped.allows(New);
        Given += Due ? 1 : 0;
        Capped.recordGrant(Due ? New : Old);
        Capped.recordCompletion(Due ? New : Old);
        REQUIRE(static_cast<double>(Given) <=
                Share * static_cast<double>(Count) + 1e-9);
      }
      CHECK(Given >= 3000 * Share - 2);
    }
  }
  SUBCASE("can't accumulate its share for a burst") {
    Shares.setShare(New, 0.1);
    for (int Turn = 0; Turn < 1000; ++Turn)
      Shares.recordGrant(Old);
    int Burst = 0;
    for (; Shares.allows(New); ++Burst)
      Shares.recordGrant(New);
    CHECK(Burst <= 3);
  }
  SUBCASE("has no more than its share of the slots in flight") {
    Shares.setShare(New, 0.5);
    for (int Turn = 0; Turn < 4; ++Turn)
      Shares.recordGrant(Old);
    Shares.recordGrant(New);
    Shares.recordGrant(New);
    for (int Turn = 0; Turn < 4; ++Turn)
      Shares.recordCompletion(Old);
    CHECK(!Shares.allows(New));
  }
  SUBCASE("permanently gets nothing once it was found faulty") {
    Shares.setShare(New, 1);
    CHECK(Shares.allows(New));
    Shares.trip(New);
    Shares.setShare(New, 1);
    CHECK(!Shares.allows(New));
  }
}

} // namespace
} // namespace marjorambay
