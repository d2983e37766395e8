/// A loop for tests, which runs until a condition holds.
#ifndef MARJORAMBAY_TRANSPORT_TESTS_LOOP_FIXTURE_H
#define MARJORAMBAY_TRANSPORT_TESTS_LOOP_FIXTURE_H

#include "marjorambay/transport.h"

#include <doctest/doctest.h>

#include <functional>

namespace marjorambay {

struct LoopFixture {
  EventLoop Loop{};
  TimerService Timers{Loop};

  /// Runs the loop until \p Holds; fails when it never does.
  void runUntil(const std::function<bool()> &Holds) {
    bool GaveUp = false;
    const TimerConnection Poll = Timers.every(milliseconds(1), [&]() {
      if (Holds())
        Loop.stop();
    });
    const TimerConnection End = Timers.once(seconds(20), [&]() {
      GaveUp = true;
      Loop.stop();
    });
    if (!Holds())
      Loop.run();
    REQUIRE_FALSE(GaveUp);
  }
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_TESTS_LOOP_FIXTURE_H
