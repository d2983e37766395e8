/// Tests of the ejection of targets because of their answers.
#include "marjorambay/coordination/target_health.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

TEST_CASE("a target that passes its health check") {
  TargetHealth Health;
  const TimePoint Start = at(seconds(0));

  SUBCASE("is used while its answers succeed") {
    for (int Answer = 0; Answer < 50; ++Answer)
      Health.recordAnswer(true, 0, Start);
    CHECK(Health.usable(Start));
  }
  SUBCASE("is ejected when consecutive answers fail") {
    for (int Answer = 0; Answer < 4; ++Answer)
      Health.recordAnswer(false, 0, Start);
    CHECK_FALSE(Health.usable(Start));

    SUBCASE("and used again later") {
      CHECK(Health.usable(at(milliseconds(1001))));
      SUBCASE("on probation: a single failure ejects it again, for longer") {
        const TimePoint Again = at(seconds(2));
        CHECK(Health.onProbation());
        Health.recordAnswer(false, 0.2, Again);
        CHECK_FALSE(Health.usable(Again + milliseconds(1900)));
        CHECK(Health.usable(Again + milliseconds(2001)));
      }
    }
  }
  SUBCASE("is not ejected when the entire pool fails as often") {
    for (int Answer = 0; Answer < 40; ++Answer)
      Health.recordAnswer(Answer % 3 != 0, 0.35, Start);
    CHECK(Health.usable(Start));
  }
  SUBCASE("gets no requests for a short time after a refused connection") {
    Health.recordRefusal(Start);
    CHECK_FALSE(Health.usable(Start));
    CHECK(Health.usable(at(milliseconds(201))));
    SUBCASE("and for a longer time after the next one") {
      Health.recordRefusal(at(milliseconds(300)));
      CHECK_FALSE(Health.usable(at(milliseconds(650))));
      CHECK(Health.usable(at(milliseconds(701))));
    }
  }
}

} // namespace
} // namespace marjorambay
