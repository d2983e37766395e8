/// Event loop for tests that runs until a condition is true.
#ifndef MARJORAMBAY_TRANSPORT_TESTS_LOOP_FIXTURE_H
#define MARJORAMBAY_TRANSPORT_TESTS_LOOP_FIXTURE_H

#include "marjorambay/transport.h"

#include <doctest/doctest.h>

#include <functional>

namespace marjorambay {

struct LoopFixture {
  EventLoop Loop{};
  TimerService Timers{Loop};

  /// Runs the loop until \p Condition is true; fails the test if that takes too
  /// long.
  void runUntil(const std::function<bool()> &Condition) {
    bool TimedOut = false;
    const TimerConnection Poll = Timers.every(milliseconds(1), [&]() {
      if (Condition())
        Loop.stop();
    });
    const TimerConnection Timeout = Timers.once(seconds(20), [&]() {
      TimedOut = true;
      Loop.stop();
    });
    if (!Condition())
      Loop.run();
    REQUIRE_FALSE(TimedOut);
  }
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_TESTS_LOOP_FIXTURE_H
