/// Tests of hold-offs that targets ask for.
#include "marjorambay/coordination/target_hold_offs.h"
#include "marjorambay/state/random.h"

#include <doctest/doctest.h>

#include <vector>

namespace marjorambay {
namespace {

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

constexpr TargetId Asking{1};
constexpr TargetId Other{2};

TEST_CASE("a target that asks to hold off") {
  TargetHoldOffs HoldOffs;
  CHECK(HoldOffs.open(Asking, 5, at(seconds(0))));
  HoldOffs.record(Asking, milliseconds(1500), 0, at(seconds(0)));

  SUBCASE("is closed for that time, and no other is") {
    CHECK_FALSE(HoldOffs.open(Asking, 0, at(milliseconds(1499))));
    CHECK(HoldOffs.open(Other, 3, at(milliseconds(1))));
    CHECK(HoldOffs.opensAt(Asking, at(seconds(1))) == at(milliseconds(1500)));
    CHECK(HoldOffs.opensAt(Other, at(seconds(1))) == at(seconds(1)));
  }
  SUBCASE("is not opened by an answer to an earlier request") {
    HoldOffs.recordAnswer(Asking, at(seconds(1)));
    CHECK_FALSE(HoldOffs.open(Asking, 0, at(seconds(1))));
  }
  SUBCASE("gets one request at a time until it has answered one") {
    CHECK(HoldOffs.open(Asking, 0, at(milliseconds(1500))));
    CHECK_FALSE(HoldOffs.open(Asking, 1, at(milliseconds(1500))));
    HoldOffs.recordAnswer(Asking, at(seconds(2)));
    CHECK(HoldOffs.open(Asking, 1, at(seconds(2))));
    CHECK(HoldOffs.empty());
  }
  SUBCASE("stays closed if it asks for less meanwhile") {
    HoldOffs.record(Asking, milliseconds(100), 0, at(seconds(1)));
    CHECK_FALSE(HoldOffs.open(Asking, 0, at(milliseconds(1400))));
  }
  SUBCASE("for absurdly long is closed for the longest time that is set") {
    HoldOffs.record(Asking, hours(24), 0, at(seconds(0)));
    CHECK(HoldOffs.opensAt(Asking, at(seconds(0))) == at(minutes(5)));
  }
}

TEST_CASE("hosts that a target rejects at the same time return spread out") {
  const Duration Asked = seconds(2);
  TargetHoldOffs First;
  TargetHoldOffs Last;
  First.record(Asking, Asked, 0, at(seconds(0)));
  Last.record(Asking, Asked, 1, at(seconds(0)));
  CHECK(First.opensAt(Asking, at(seconds(0))) == at(seconds(2)));
  CHECK(Last.opensAt(Asking, at(seconds(0))) == at(milliseconds(2500)));
}

// Guards against requests that reach a target within the time for which it
// wants none, whatever the order of its answers.
TEST_CASE("random histories of rejections and answers") {
  constexpr std::uint64_t Seeds = 200;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SplitMix64 Random(Seed);
    TargetHoldOffs HoldOffs;
    TimePoint ClosedUntil{}; // as the target sees it
    std::uint32_t InFlight = 0;
    std::uint32_t Sent = 0;
    for (int Step = 0; Step < 2000; ++Step) {
      const TimePoint Now = at(milliseconds(10 * Step));
      if (HoldOffs.open(Asking, InFlight, Now)) {
        CAPTURE(Seed);
        REQUIRE(Now >= ClosedUntil);
        ++InFlight;
        ++Sent;
      }
      if (InFlight == 0 || drawFraction(Random) < 0.5)
        continue;
      --InFlight;
      if (drawFraction(Random) < 0.7) {
        HoldOffs.recordAnswer(Asking, Now);
        continue;
      }
      const Duration Asked = fromSeconds(drawFraction(Random));
      HoldOffs.record(Asking, Asked, drawFraction(Random), Now);
      ClosedUntil = std::max(ClosedUntil, Now + Asked);
    }
    CHECK(Sent > 0);
  }
}

} // namespace
} // namespace marjorambay
