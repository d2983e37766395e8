/// Tests of the stages of a stop.
#include "marjorambay/coordination/drain_policy.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

constexpr RouteId Route{1};
constexpr DrainCandidate Safe{true, milliseconds(400), seconds(20)};
constexpr DrainCandidate Unsafe{false, milliseconds(400), seconds(20)};

// Guards against a grace that is shorter than the time for which a host accepts
// requests, so that it accepts them until it ends.
TEST_CASE("every grace has each stage of a stop in order") {
  for (const Duration Grace :
       {milliseconds(1000), milliseconds(1500), milliseconds(2000),
        milliseconds(2800), milliseconds(3000), milliseconds(8000),
        milliseconds(60'000)}) {
    CAPTURE(Grace.count());
    const DrainPolicy Policy(Grace, at(seconds(0)));
    auto Last = DrainPhase::Accepting;
    std::array<int, NamesOf<DrainPhase>.size()> Steps{};
    for (Duration Now{}; Now <= Grace; Now += milliseconds(5)) {
      const DrainPhase Phase = Policy.phase(at(Now));
      CHECK(Phase >= Last);
      Last = Phase;
      ++Steps.at(static_cast<std::size_t>(Phase));
      if (Phase < DrainPhase::Ending)
        CHECK_FALSE(Policy.endsInTime(Grace, at(Now + milliseconds(1))));
      // Targets are left at work until the last sixth of the grace.
      if (Phase >= DrainPhase::Ending)
        CHECK(Now >= Grace * 5 / 6);
    }
    CHECK(Last == DrainPhase::Over);
    CHECK(Steps[static_cast<std::size_t>(DrainPhase::Accepting)] > 0);
    CHECK(Steps[static_cast<std::size_t>(DrainPhase::Rejecting)] > 0);
    CHECK(Steps[static_cast<std::size_t>(DrainPhase::Ending)] > 0);
  }
}

TEST_CASE("a host with a grace of eight seconds that stops") {
  const DrainPolicy Policy(seconds(8), at(seconds(0)));
  SUBCASE("accepts what can end in time until load balancers have noticed") {
    CHECK(Policy.accepts(seconds(5), at(milliseconds(2400))));
    CHECK_FALSE(Policy.accepts(seconds(1), at(milliseconds(2500))));
    CHECK(Policy.phase(at(milliseconds(2500))) == DrainPhase::Finishing);
  }
  SUBCASE("accepts nothing that would be given up") {
    CHECK_FALSE(Policy.accepts(seconds(7), at(seconds(1))));
    CHECK_FALSE(Policy.accepts(seconds(20), at(seconds(0))));
  }
}

// Guards against requests that must not run twice and are accepted because
// their route is fast as a rule, or for which nothing is known.
TEST_CASE("the time that a request is expected to take") {
  RecentDurations Durations;
  SUBCASE("of an unknown route is its objective, or all of its time if it must "
          "not run twice") {
    CHECK(Durations.expected(Route, Safe) == milliseconds(600));
    CHECK(Durations.expected(Route, Unsafe) == seconds(20));
  }
  SUBCASE("is that of the longest request of late") {
    Durations.record(Route, seconds(3));
    for (int Count = 0; Count < 4; ++Count)
      Durations.record(Route, milliseconds(10));
    CHECK(Durations.expected(Route, Unsafe) > seconds(2));
    CHECK(Durations.expected(Route, Safe) > seconds(2));
    for (int Count = 0; Count < 100; ++Count)
      Durations.record(Route, milliseconds(10));
    CHECK(Durations.expected(Route, Unsafe) < milliseconds(50));
  }
  SUBCASE("ends with its deadline") {
    Durations.record(Route, seconds(3));
    const DrainCandidate Short{false, milliseconds(400), seconds(1)};
    CHECK(Durations.expected(Route, Short) == seconds(1));
  }
}

} // namespace
} // namespace marjorambay
