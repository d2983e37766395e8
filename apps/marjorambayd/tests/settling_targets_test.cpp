/// Tests of the time for which a host keeps targets whose entries are missing.
#include "forward_fixture.h"

namespace marjorambay {

namespace {

constexpr Duration Tolerance = milliseconds(500); // the clock goes on

// Guards against removals that are put off by hosts that no outage has touched,
// as a host that was cut off takes it for an outage of the platform.
TEST_CASE_FIXTURE(ForwardFixture, "a feed of a host that was cut off") {
  const TimePoint Start = H.Loop.now();
  ObjectFeed Feed;
  Feed.At = {1, 5};
  Feed.SettlingTime = seconds(2);
  const auto SettlingTime = [&]() {
    applyFeed(H, ObjectKind::Hosts, Feed, "127.0.0.1:1");
    return H.Directory.settlingTime(H.Loop.now());
  };
  ForwardPeer &Hub = H.Fleet[HostId{77}];

  SUBCASE("is believed by a host that knows of no contact") {
    CHECK(SettlingTime() > seconds(2) - Tolerance);
  }
  SUBCASE("is not believed beside a hub that was in contact all the time") {
    Hub.FreshAt = Start;
    Hub.PlatformContactSince = Start - seconds(10);
    CHECK(SettlingTime() == Duration(0));
  }
  SUBCASE("counts from the contact of a hub that had it back earlier") {
    Hub.FreshAt = Start;
    Hub.PlatformContactSince = Start - seconds(1);
    const Duration Left = SettlingTime();
    CHECK(Left > seconds(1) - Tolerance);
    CHECK(Left <= seconds(1));
  }
  SUBCASE("is believed beside a hub that has not reported its contact lately") {
    Hub.FreshAt = Start - seconds(5);
    Hub.PlatformContactSince = Start - seconds(10);
    CHECK(SettlingTime() > seconds(2) - Tolerance);
  }
  SUBCASE("counts from the contact of this host") {
    H.PlatformRespondedAt = Start;
    H.PlatformContactSince = Start - seconds(10);
    CHECK(SettlingTime() == Duration(0));

    SUBCASE("which an outage begins anew") {
      recordPlatformReturn(H);
      CHECK(SettlingTime() > seconds(2) - Tolerance);
    }
    SUBCASE("which a time without a response begins anew") {
      H.PlatformRespondedAt = Start - seconds(3);
      recordPlatformResponse(H);
      CHECK(SettlingTime() > seconds(2) - Tolerance);
    }
  }
}

} // namespace

} // namespace marjorambay
