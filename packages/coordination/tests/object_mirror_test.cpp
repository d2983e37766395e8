/// Tests of mirrored platform objects that hosts send to each other.
#include "marjorambay/coordination/object_mirror.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

ObjectRecord object(std::string Name, std::uint64_t Revision) {
  return {std::move(Name), Revision, false, "text"};
}
ObjectFeed snapshot(std::uint64_t Revision, std::vector<ObjectRecord> Records) {
  return {Revision, true, Duration(0), std::move(Records)};
}
ObjectFeed changes(std::uint64_t Revision, std::vector<ObjectRecord> Records) {
  return {Revision, false, Duration(0), std::move(Records)};
}

TEST_CASE("a hub that has read the platform") {
  ObjectMirror Hub;
  Hub.apply(snapshot(10, {object("a", 3), object("b", 7)}));
  ObjectMirror Host;

  SUBCASE("sends a snapshot to a host without objects") {
    CHECK(Host.apply(Hub.since(Host.revision())).size() == 2);
    CHECK(Host.revision() == 10);

    SUBCASE("and changes later on") {
      Hub.apply(changes(12, {object("a", 12)}));
      const ObjectFeed Feed = Hub.since(Host.revision());
      CHECK_FALSE(Feed.IsSnapshot);
      REQUIRE(Host.apply(Feed).size() == 1);
      CHECK(Host.lastChangeRevision() == Hub.lastChangeRevision());

      SUBCASE("that have no effect when they are applied twice") {
        CHECK(Host.apply(Feed).empty());
      }
    }
    SUBCASE("and removals") {
      Hub.apply(changes(15, {{"b", 15, true, ""}}));
      const auto Changed = Host.apply(Hub.since(Host.revision()));
      REQUIRE(Changed.size() == 1);
      CHECK(Changed[0].Removed);
      CHECK(Host.size() == 1);
    }
    SUBCASE("also after the hub lost its history and listed all objects anew") {
      Hub.apply(snapshot(20, {object("a", 18)}));
      const auto Changed = Host.apply(Hub.since(Host.revision()));
      CHECK(Changed.size() == 2);
      CHECK(Host.size() == 1);
    }
    SUBCASE("which an outdated hub does not revert") {
      ObjectMirror Outdated;
      Outdated.apply(
          snapshot(9, {object("a", 3), object("b", 7), object("c", 8)}));
      Host.apply(changes(14, {object("a", 14)}));
      CHECK(Host.apply(Outdated.since(0)).empty());
      CHECK(Host.revision() == 14);
    }
  }
  SUBCASE("sends a snapshot to a host that is behind its log") {
    Host.apply(Hub.since(0));
    for (std::uint64_t Revision = 11; Revision < 1000; ++Revision)
      Hub.apply(changes(Revision, {object("a", Revision)}));
    const ObjectFeed Feed = Hub.since(Host.revision());
    CHECK(Feed.IsSnapshot);
    Host.apply(Feed);
    CHECK(Host.lastChangeRevision() == 999);
  }
}

TEST_CASE("a mirror without objects is initialized by an empty snapshot") {
  ObjectMirror Mirror;
  CHECK_FALSE(Mirror.initialized());
  Mirror.apply(snapshot(4, {}));
  CHECK(Mirror.initialized());
  CHECK(Mirror.lastChangeRevision() != 0);
}

} // namespace
} // namespace marjorambay
