/// Tests of the target directory.
#include "marjorambay/coordination/target_directory.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

ListedTarget target(std::string Name, std::uint64_t Incarnation = 1) {
  ListedTarget Entry;
  Entry.Name = std::move(Name);
  Entry.Id = idOf<TargetId>(Entry.Name);
  Entry.Incarnation = IncarnationId{Incarnation};
  return Entry;
}

// Guards against targets that get requests seconds after they have left: the
// removal counted as a lapse at hosts that were cut off, and at hosts that
// these told of an outage.
TEST_CASE("a host that was cut off while the platform was not away") {
  TargetDirectory Directory;
  Directory.replaceAll({target("left"), target("leaves"), target("stays")},
                       at(seconds(0)));
  Directory.platformReturned(at(seconds(10)));
  Directory.remove("left", at(seconds(10)));
  REQUIRE(Directory.targets().size() == 3);

  SUBCASE("learns from another host that it was in order all the time") {
    Directory.platformRespondedSince(at(seconds(1)));
    CHECK(Directory.expireMissing(at(milliseconds(10'100))));
    Directory.remove("leaves", at(milliseconds(10'200)));
    CHECK(Directory.targets().size() == 1);
    CHECK(Directory.settlingTime(at(milliseconds(10'200))) == Duration(0));
  }
  SUBCASE("learns that it was away from all until shortly before") {
    Directory.platformRespondedSince(at(seconds(9)));
    CHECK_FALSE(Directory.expireMissing(at(milliseconds(10'900))));
    CHECK(Directory.expireMissing(at(seconds(11))));
  }
  SUBCASE("learns of a later contact, which says nothing") {
    Directory.platformRespondedSince(at(milliseconds(10'500)));
    CHECK_FALSE(Directory.expireMissing(at(milliseconds(11'900))));
    CHECK(Directory.expireMissing(at(seconds(12))));
  }
}

TEST_CASE("a directory of two targets") {
  TargetDirectory Directory;
  Directory.replaceAll({target("a"), target("b")}, at(seconds(0)));
  REQUIRE(Directory.targets().size() == 2);

  SUBCASE("a removed entry removes its target") {
    Directory.remove("a", at(seconds(1)));
    CHECK(Directory.targets().count("a") == 0);
  }
  SUBCASE("a leaving target does not return in the same incarnation") {
    ListedTarget Leaving = target("a");
    Leaving.Leaving = true;
    Directory.put(Leaving);
    Directory.put(target("a"));
    CHECK(Directory.targets().at("a").Leaving);

    SUBCASE("but in the next incarnation") {
      Directory.put(target("a", 2));
      CHECK_FALSE(Directory.targets().at("a").Leaving);
    }
  }
  // Guards against requests to a target that has said that it is leaving: the
  // platform's list was the only source.
  SUBCASE("a target that says itself that it is leaving") {
    CHECK(Directory.markLeaving("a", IncarnationId{1}));
    CHECK_FALSE(Directory.markLeaving("a", IncarnationId{1}));

    SUBCASE("is leaving, and no other one is") {
      CHECK(Directory.targets().at("a").Leaving);
      CHECK_FALSE(Directory.targets().at("b").Leaving);
    }
    SUBCASE("does not return with an older list") {
      Directory.replaceAll({target("a"), target("b")}, at(seconds(1)));
      CHECK(Directory.targets().at("a").Leaving);
    }
    SUBCASE("does not return if its entry lapsed meanwhile") {
      Directory.remove("a", at(seconds(1)));
      Directory.put(target("a"));
      CHECK(Directory.targets().at("a").Leaving);
    }
    SUBCASE("returns in its next incarnation") {
      Directory.put(target("a", 2));
      CHECK_FALSE(Directory.targets().at("a").Leaving);
    }
    SUBCASE("does not take its address from the next target there") {
      ListedTarget Next = target("c");
      Next.Address = Directory.targets().at("a").Address;
      Directory.put(Next);
      CHECK_FALSE(Directory.targets().at("c").Leaving);
    }
  }
  SUBCASE("a target that says so before it is listed is leaving") {
    Directory.markLeaving("late", IncarnationId{3});
    Directory.put(target("late", 3));
    CHECK(Directory.targets().at("late").Leaving);
  }
  SUBCASE("shortly after a platform outage") {
    Directory.platformReturned(at(seconds(10)));
    Directory.replaceAll({target("b")}, at(seconds(10)));

    SUBCASE("a missing entry is kept at first") {
      CHECK(Directory.targets().count("a") == 1);
      Directory.expireMissing(at(seconds(11)));
      CHECK(Directory.targets().count("a") == 1);
    }
    SUBCASE("an entry that is written again stays") {
      Directory.put(target("a"));
      Directory.expireMissing(at(seconds(13)));
      CHECK(Directory.targets().count("a") == 1);
    }
    SUBCASE("an entry that is still missing two seconds later is removed") {
      CHECK(Directory.expireMissing(at(milliseconds(12'050))));
      CHECK(Directory.targets().count("a") == 0);
    }
    SUBCASE("the remaining settling time can be passed on to other hosts") {
      CHECK(Directory.settlingTime(at(milliseconds(10'500))) ==
            milliseconds(1500));
    }
  }
  SUBCASE("an unchanged list does not change the revision") {
    const auto Before = Directory.revision();
    Directory.replaceAll({target("a"), target("b")}, at(seconds(1)));
    CHECK(Directory.revision() == Before);
  }
}

} // namespace
} // namespace marjorambay
