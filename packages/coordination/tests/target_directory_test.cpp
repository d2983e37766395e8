/// Tests of what a list of targets proves.
#include "marjorambay/coordination/target_directory.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

ListedTarget target(std::string Name, std::uint64_t Life = 1) {
  ListedTarget Made;
  Made.Name = std::move(Name);
  Made.Id = idOf<TargetId>(Made.Name);
  Made.Incarnation = IncarnationId{Life};
  return Made;
}

TEST_CASE("a directory of two targets") {
  TargetDirectory Directory;
  Directory.replaceAll({target("a"), target("b")}, at(seconds(0)));
  REQUIRE(Directory.targets().size() == 2);

  SUBCASE("an entry that is removed means that its target leaves") {
    Directory.remove("a", at(seconds(1)));
    CHECK(Directory.targets().count("a") == 0);
  }
  SUBCASE("a target that leaves does not come back in the same life") {
    ListedTarget Leaving = target("a");
    Leaving.Leaving = true;
    Directory.put(Leaving);
    Directory.put(target("a"));
    CHECK(Directory.targets().at("a").Leaving);

    SUBCASE("but in the next") {
      Directory.put(target("a", 2));
      CHECK_FALSE(Directory.targets().at("a").Leaving);
    }
  }
  SUBCASE("just after an outage of the platform") {
    Directory.platformReturned(at(seconds(10)));
    Directory.replaceAll({target("b")}, at(seconds(10)));

    SUBCASE("a missing entry proves nothing yet") {
      CHECK(Directory.targets().count("a") == 1);
      Directory.expireMissing(at(seconds(11)));
      CHECK(Directory.targets().count("a") == 1);
    }
    SUBCASE("one that is written again stays") {
      Directory.put(target("a"));
      Directory.expireMissing(at(seconds(13)));
      CHECK(Directory.targets().count("a") == 1);
    }
    SUBCASE("one that is still missing two seconds later is gone") {
      CHECK(Directory.expireMissing(at(milliseconds(12'050))));
      CHECK(Directory.targets().count("a") == 0);
    }
    SUBCASE("a host that was told of the outage waits as long") {
      CHECK(Directory.settlingTime(at(milliseconds(10'500))) ==
            milliseconds(1500));
    }
  }
  SUBCASE("what stays the same is no change") {
    const auto Before = Directory.revision();
    Directory.replaceAll({target("a"), target("b")}, at(seconds(1)));
    CHECK(Directory.revision() == Before);
  }
}

} // namespace
} // namespace marjorambay
