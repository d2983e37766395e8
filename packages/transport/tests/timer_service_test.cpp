/// Tests of timers and of the loop's deferred work.
#include "loop_fixture.h"

using namespace marjorambay;

TEST_CASE("a timer subscription") {
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
  SUBCASE("that fires periodically until it ends") {
    {
      const auto Periodic =
          Test.Timers.every(milliseconds(1), [&Fired]() { ++Fired; });
      Test.runUntil([&Fired]() { return Fired >= 3; });
    }
    const int Before = Fired;
    bool Elapsed = false;
    const auto Later =
        Test.Timers.once(milliseconds(20), [&Elapsed]() { Elapsed = true; });
    Test.runUntil([&Elapsed]() { return Elapsed; });
    CHECK(Fired == Before);
  }
  SUBCASE("that its own slot ends") {
    TimerConnection Periodic;
    Periodic = Test.Timers.every(milliseconds(1), [&]() {
      ++Fired;
      Periodic.disconnect();
    });
    bool Elapsed = false;
    const auto Later =
        Test.Timers.once(milliseconds(20), [&Elapsed]() { Elapsed = true; });
    Test.runUntil([&Elapsed]() { return Elapsed; });
    CHECK(Fired == 1);
  }
  SUBCASE("whose slot adds many timers") {
    std::vector<TimerConnection> Added;
    const auto First = Test.Timers.once(milliseconds(1), [&]() {
      for (int Count = 0; Count < 100; ++Count)
        Added.push_back(
            Test.Timers.once(milliseconds(1), [&Fired]() { ++Fired; }));
    });
    Test.runUntil([&Fired]() { return Fired == 100; });
  }
}

TEST_CASE("deferred work runs at the end of the turn") {
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
