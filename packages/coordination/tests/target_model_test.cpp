/// Tests of what is learned about targets and requests.
#include "arbiter_fixture.h"

#include "marjorambay/coordination/cost_model.h"
#include "marjorambay/coordination/load_history.h"
#include "marjorambay/coordination/target_model.h"
#include "marjorambay/coordination/version_share.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

using namespace marjorambay::testing;

TEST_CASE("a target's speed is learned") {
  TargetModel Model;
  Model.configure(1000, 32);
  Duration Now = seconds(0);
  const auto Feed = [&](double StepSeconds, int Samples) {
    for (int Sample = 0; Sample < Samples; ++Sample) {
      Now += milliseconds(500);
      Model.learnDecode(10, fromSeconds(10 * StepSeconds), 20, at(Now));
    }
  };
  Feed(0.010, 40);

  SUBCASE("from what streams get, not from the first guess") {
    CHECK(Model.stepSeconds(20, at(Now)) == doctest::Approx(0.010));
    CHECK(Model.requestLimit(at(Now)) == 32);
  }
  SUBCASE("a slowdown to a fifth shows, and cuts the limit in proportion") {
    Feed(0.050, 20);
    CHECK(Model.slowdown(at(Now)) > 4);
    CHECK(Model.requestLimit(at(Now)) <= 8);

    SUBCASE("and is forgotten when nothing comes that could show its end") {
      CHECK(Model.slowdown(at(Now + minutes(5))) == doctest::Approx(1));
      CHECK(Model.requestLimit(at(Now + minutes(5))) == 32);
    }
    SUBCASE("and is over once samples are quick again") {
      Feed(0.010, 30);
      CHECK(Model.requestLimit(at(Now)) == 32);
    }
  }
  SUBCASE("one wild sample moves little") {
    Feed(10, 1);
    CHECK(Model.stepSeconds(20, at(Now)) < 0.03);
  }
}

TEST_CASE("an engine whose batch is narrower than declared") {
  TargetModel Model;
  Model.configure(1000, 32);
  Duration Now = seconds(0);
  // Up to 8 streams wait 20 ms for their first token, more wait for a slot.
  const auto Serve = [&](int Samples) {
    for (int Sample = 0; Sample < Samples; ++Sample) {
      Now += milliseconds(200);
      const double Streams = Model.requestLimit(at(Now));
      const Duration Wait = Streams <= 8 ? milliseconds(20) : seconds(2);
      Model.learnDecode(10, milliseconds(200), 8, at(Now));
      Model.learnQueueing(Wait, 0, Streams, at(Now));
    }
  };
  Model.learnQueueing(milliseconds(20), 0, 1, at(Now));
  Serve(200);

  SUBCASE("is held to what it runs at once") {
    CHECK(Model.requestLimit(at(Now)) <= 9);
    CHECK(Model.requestLimit(at(Now)) >= 6);
  }
  SUBCASE("gets more again once it queues no longer") {
    for (int Sample = 0; Sample < 100; ++Sample)
      Model.learnQueueing(milliseconds(20), 0, Model.requestLimit(at(Now)),
                          at(Now));
    CHECK(Model.requestLimit(at(Now)) == 32);
  }
}

TEST_CASE("the line from streams to step time is learned") {
  TargetModel Model;
  Model.configure(1000, 32);
  Duration Now = seconds(0);
  for (int Sample = 0; Sample < 200; ++Sample) {
    Now += milliseconds(100);
    const double Streams = 1 + Sample % 32;
    Model.learnDecode(100, fromSeconds(100 * (0.002 + 0.001 * Streams)),
                      Streams, at(Now));
  }
  CHECK(Model.stepSeconds(2, at(Now)) == doctest::Approx(0.004).epsilon(0.15));
  CHECK(Model.stepSeconds(30, at(Now)) == doctest::Approx(0.032).epsilon(0.1));
}

TEST_CASE("a late load report") {
  LoadHistory History;
  History.note(2, at(seconds(1)));
  History.note(10, at(seconds(5)));

  SUBCASE("shows what others had at the time, not what we added since") {
    History.merge(5, at(seconds(3)));
    CHECK(History.others(at(seconds(5))) == 3);

    SUBCASE("and an older one changes nothing") {
      History.merge(30, at(seconds(2)));
      CHECK(History.others(at(seconds(5))) == 3);
    }
    SUBCASE("and is forgotten without newer ones") {
      CHECK(History.others(at(minutes(5))) < 0.1);
    }
  }
  SUBCASE("from before the history is no proof of anything") {
    for (int Turn = 0; Turn < 600; ++Turn)
      History.note(1, at(seconds(10 + Turn)));
    History.merge(30, at(seconds(2)));
    CHECK(History.others(at(seconds(700))) == 0);
  }
}

Usage answerOf(std::uint32_t Output) {
  Usage Used;
  Used.OutputTokens = Output;
  return Used;
}

TEST_CASE("lengths of answers are learned") {
  CostModel Costs(64);
  Reservation Short = reservation(1);
  Short.Cost = {20, 256};
  Reservation Long = reservation(2);
  Long.Cost = {4000, 256};
  CHECK(Costs.estimate(Short).Mean == 256);
  CHECK(Costs.estimate(Short).Most == 1); // a guess refuses nothing

  for (int Turn = 0; Turn < 10; ++Turn) {
    Costs.learn(Short, answerOf(12));
    Costs.learn(Long, answerOf(1200));
  }
  SUBCASE("apart for short and long prompts") {
    CHECK(Costs.estimate(Short).Mean == 12);
    CHECK(Costs.estimate(Long).Mean == 1200);
  }
  SUBCASE("up to the caller's limit") {
    Long.Cost.MaxOutput = 100;
    CHECK(Costs.estimate(Long).Mean == 100);
  }
  SUBCASE("another account borrows them, another route does not") {
    Short.Account = account("other");
    CHECK(Costs.estimate(Short).Mean < 1200);
    Short.Route = static_cast<RouteId>(9);
    CHECK(Costs.estimate(Short).Mean == 256);
  }
  SUBCASE("refusals for length alone end by themselves") {
    for (int Turn = 0; Turn < 500; ++Turn)
      Costs.doubt(Long);
    CHECK(Costs.estimate(Long).Least == 1);
  }
  SUBCASE("within bounded memory") {
    for (std::uint64_t Id = 0; Id < 1000; ++Id) {
      Short.Account = static_cast<AccountId>(Id);
      Costs.learn(Short, answerOf(12));
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
  SUBCASE("leaves targets of no known version alone") {
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
  SUBCASE("can't save up for a burst") {
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
  SUBCASE("gets nothing for good once its fault has shown") {
    Shares.setShare(New, 1);
    CHECK(Shares.allows(New));
    Shares.trip(New);
    Shares.setShare(New, 1);
    CHECK(!Shares.allows(New));
  }
}

} // namespace
} // namespace marjorambay
