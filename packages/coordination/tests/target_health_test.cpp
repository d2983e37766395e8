/// Tests of the ejection of targets by their answers.
#include "marjorambay/coordination/target_health.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

TEST_CASE("a target whose health check is good") {
  TargetHealth Health;
  const TimePoint Start = at(seconds(0));

  SUBCASE("is used while it answers") {
    for (int Answer = 0; Answer < 50; ++Answer)
      Health.recordAnswer(true, 0, Start);
    CHECK(Health.usable(Start));
  }
  SUBCASE("is left out when its answers fail in a row") {
    for (int Answer = 0; Answer < 4; ++Answer)
      Health.recordAnswer(false, 0, Start);
    CHECK_FALSE(Health.usable(Start));

    SUBCASE("and tried again later") {
      CHECK(Health.usable(at(milliseconds(1001))));
      SUBCASE("for longer each time that it fails again, once") {
        const TimePoint Again = at(seconds(2));
        CHECK(Health.onTrial());
        Health.recordAnswer(false, 0.2, Again);
        CHECK_FALSE(Health.usable(Again + milliseconds(1900)));
        CHECK(Health.usable(Again + milliseconds(2001)));
      }
    }
  }
  SUBCASE("is kept when the whole pool fails as often: it is no outlier") {
    for (int Answer = 0; Answer < 40; ++Answer)
      Health.recordAnswer(Answer % 3 != 0, 0.35, Start);
    CHECK(Health.usable(Start));
  }
  SUBCASE("a refused connection keeps work away for a moment") {
    Health.recordRefusal(Start);
    CHECK_FALSE(Health.usable(Start));
    CHECK(Health.usable(at(milliseconds(201))));
    SUBCASE("and for longer the next time") {
      Health.recordRefusal(at(milliseconds(300)));
      CHECK_FALSE(Health.usable(at(milliseconds(650))));
      CHECK(Health.usable(at(milliseconds(701))));
    }
  }
}

} // namespace
} // namespace marjorambay
