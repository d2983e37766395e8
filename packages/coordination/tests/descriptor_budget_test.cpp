/// Tests of the division of descriptors.
#include "marjorambay/coordination/descriptor_budget.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace marjorambay {
namespace {

std::size_t sumOf(const DescriptorShares &Shares) {
  return Shares.Callers + Shares.CallersOverLimit + Shares.Targets +
         2 * Shares.Probes + Shares.Hosts + Shares.Others;
}

// Guards against callers that take the descriptors of the store, of targets or
// of the probe.
TEST_CASE("descriptors are divided") {
  SUBCASE("within the smaller limit, less what is kept for files") {
    CHECK(divideDescriptors({4100, 20000}, 1500).Limit == 3900);
    CHECK(divideDescriptors({4100, 1024}, 1500).Limit == 1024);
    CHECK(divideDescriptors({0, 1024}, 1500).Limit == 1024);
  }
  SUBCASE("what is set for callers holds if there is enough") {
    const DescriptorShares Shares = divideDescriptors({4100, 20000}, 1500);
    CHECK(Shares.Callers == 1500);
    CHECK(Shares.Targets == 3900 - 320 - 487 - 1500);
  }
  SUBCASE("callers get half of what is scarce") {
    const DescriptorShares Shares = divideDescriptors({0, 900}, 1500);
    CHECK(Shares.Callers == 281);
    CHECK(Shares.Targets == 282);
  }
  SUBCASE("small limits leave the files what the platform keeps for them") {
    CHECK(divideDescriptors({500, 20000}, 1500).Limit == 300);
  }
  // Guards against a hub that rejects most of its followers when an object
  // changes: 300 hosts, two hubs, two objects at a time.
  SUBCASE("a hub has connections for all its followers") {
    CHECK(divideDescriptors({4100, 20000}, 1500).Hosts >= 300);
  }
  SUBCASE("each share has some, and they never exceed the limit") {
    for (std::size_t Limit = 32; Limit < 5000; ++Limit)
      for (const DescriptorLimits Limits :
           {DescriptorLimits{0, Limit}, DescriptorLimits{Limit, 20000}}) {
        const DescriptorShares Shares = divideDescriptors(Limits, 1500);
        REQUIRE(sumOf(Shares) <= Shares.Limit);
        REQUIRE(Shares.Limit <= Limit);
        for (const std::size_t Share :
             {Shares.Callers, Shares.CallersOverLimit, Shares.Targets,
              Shares.Probes, Shares.Hosts, Shares.Others})
          REQUIRE(Share > 0);
      }
  }
}

} // namespace
} // namespace marjorambay
