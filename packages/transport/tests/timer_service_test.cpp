/// Tests of the loop's put-off work and of timers.
#include "loop_fixture.h"

using namespace marjorambay;

TEST_CASE("a part subscribes to a timer") {
  LoopFixture Test;
  int Fired = 0;
  SUBCASE("that fires once") {
    const auto Once =
        Test.Timers.once(milliseconds(1), [&Fired]() { ++Fired; });
    const auto Later =
        Test.Timers.once(milliseconds(30), [&Test]() { Test.Loop.stop(); });
    Test.Loop.run();
    CHECK(Fired == 1);
    CHECK_FALSE(Once.connected());
  }
  SUBCASE("that fires again and again, until the subscription ends") {
    {
      const auto Each =
          Test.Timers.every(milliseconds(1), [&Fired]() { ++Fired; });
      Test.runUntil([&Fired]() { return Fired >= 3; });
    }
    const int Before = Fired;
    bool Over = false;
    const auto Later =
        Test.Timers.once(milliseconds(20), [&Over]() { Over = true; });
    Test.runUntil([&Over]() { return Over; });
    CHECK(Fired == Before);
  }
  SUBCASE("and ends it from within") {
    TimerConnection Each;
    Each = Test.Timers.every(milliseconds(1), [&]() {
      ++Fired;
      Each.disconnect();
    });
    bool Over = false;
    const auto Later =
        Test.Timers.once(milliseconds(20), [&Over]() { Over = true; });
    Test.runUntil([&Over]() { return Over; });
    CHECK(Fired == 1);
  }
  SUBCASE("and adds many more from within") {
    std::vector<TimerConnection> Added;
    const auto First = Test.Timers.once(milliseconds(1), [&]() {
      for (int Count = 0; Count < 100; ++Count)
        Added.push_back(
            Test.Timers.once(milliseconds(1), [&Fired]() { ++Fired; }));
    });
    Test.runUntil([&Fired]() { return Fired == 100; });
  }
}

TEST_CASE("work is put off to the end of the turn") {
  LoopFixture Test;
  std::vector<int> Order;
  const auto Start = Test.Timers.once(milliseconds(1), [&]() {
    Test.Loop.defer([&]() {
      Order.push_back(2);
      Test.Loop.defer([&]() { Order.push_back(3); });
    });
    Order.push_back(1);
  });
  Test.runUntil([&]() { return Order.size() == 3; });
  CHECK(Order == std::vector<int>{1, 2, 3});
}
