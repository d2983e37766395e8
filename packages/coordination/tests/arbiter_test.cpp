/// Tests of the arbiter as a whole.
#include "arbiter_fixture.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

using namespace marjorambay::testing;
using Ids = std::vector<std::uint64_t>;

TEST_CASE("an arbiter with one slot") {
  Arbiter Policy;
  const TimePoint Start = at(seconds(0));
  Policy.step(TargetsChanged{{worker("w1", 1)}}, Start);

  SUBCASE("grants it to the first reservation and queues the next") {
    CHECK(granted(Policy.step(SlotRequested{reservation(1)}, Start)) == Ids{1});
    CHECK(Policy.step(SlotRequested{reservation(2, 1)}, Start).empty());
    CHECK(Policy.step(SlotRequested{reservation(3, 0)}, Start).empty());

    SUBCASE("a release goes to the highest tier, not the first in line") {
      const auto Actions = Policy.step(SlotReleased{key(1), {}}, Start);
      CHECK(granted(Actions) == Ids{3});
    }
    SUBCASE("a cancelled reservation is passed over") {
      Policy.step(SlotRequestCancelled{key(3)}, Start);
      CHECK(granted(Policy.step(SlotReleased{key(1), {}}, Start)) == Ids{2});
    }
    SUBCASE("a reservation that is sent again is not queued twice") {
      Policy.step(SlotRequested{reservation(3, 0)}, Start);
      Policy.step(SlotReleased{key(1), {}}, Start);
      CHECK(granted(Policy.step(SlotReleased{key(3), {}}, Start)) == Ids{2});
    }
    SUBCASE("a lost grant is told again") {
      CHECK(granted(Policy.step(SlotRequested{reservation(1)}, Start)) ==
            Ids{1});
    }
    SUBCASE("the origin's death drops what it queued, and frees its slot") {
      Policy.step(OriginLost{host("entry-1"), static_cast<Incarnation>(1)},
                  Start);
      auto Late = reservation(4);
      Late.Key.Origin = host("entry-2");
      CHECK(Policy.step(SlotRequested{Late}, Start).empty());
      const auto Actions = Policy.step(ArbiterTicked{}, at(seconds(20)));
      CHECK(granted(Actions) == Ids{4});
    }
  }
  SUBCASE("gives nothing to a target that leaves") {
    Policy.step(TargetLeft{target("w1")}, Start);
    const auto Actions = Policy.step(SlotRequested{reservation(1)}, Start);
    REQUIRE(refused(Actions) == Ids{1});
    CHECK(only<RefuseSlot>(Actions)[0].Kind == ErrorKind::NoTarget);
    CHECK(only<RefuseSlot>(Actions)[0].RetryAfter >= seconds(1));

    SUBCASE("not even when a stale list calls it live") {
      Policy.step(TargetsChanged{{worker("w1", 1)}}, Start);
      CHECK(granted(Policy.step(SlotRequested{reservation(2)}, Start)).empty());
    }
  }
  SUBCASE("refuses at once what can't be answered in time") {
    auto Hopeless = reservation(1);
    Hopeless.Remaining = milliseconds(1);
    const auto Actions = Policy.step(SlotRequested{Hopeless}, Start);
    CHECK(refused(Actions) == Ids{1});
  }
  SUBCASE("refuses a queued one as soon as its deadline is out of reach") {
    Policy.step(SlotRequested{reservation(1)}, Start);
    auto Urgent = reservation(2);
    Urgent.Remaining = seconds(2);
    CHECK(Policy.step(SlotRequested{Urgent}, Start).empty());
    const auto Actions = Policy.step(ArbiterTicked{}, at(seconds(3)));
    REQUIRE(refused(Actions) == Ids{2});
    CHECK(only<RefuseSlot>(Actions)[0].RetryAfter > Duration(0));
  }
}

} // namespace
} // namespace marjorambay
