/// Tests of the delays between failed calls to the platform's store.
#include "marjorambay/coordination/store_backoff.h"
#include "marjorambay/state/random.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

/// Returns the calls that a fleet makes during an outage.
std::size_t callsOf(std::size_t Hosts, Duration Outage) {
  SplitMix64 Random(Hosts);
  std::size_t Calls = 0;
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    StoreBackoff Backoff;
    Backoff.setCallers(Hosts);
    for (Duration At{}; At < Outage;
         At += Backoff.delayAfterFailure(drawFraction(Random)))
      ++Calls;
  }
  return Calls;
}

TEST_CASE("hosts whose hubs have all lost the store (outage)") {
  constexpr Duration Outage = seconds(10);

  SUBCASE("notice its return soon in a small fleet") {
    StoreBackoff Backoff;
    for (int Failure = 0; Failure < 20; ++Failure)
      CHECK(Backoff.delayAfterFailure(1) <= milliseconds(800));
  }
  SUBCASE("call it at a bounded rate, however many they are") {
    // Each begins with a few calls in quick succession.
    for (const std::size_t Hosts : {100, 200, 400, 1000}) {
      CAPTURE(Hosts);
      CHECK(static_cast<double>(callsOf(Hosts, Outage)) <
            2.0 * 100 * toSeconds(Outage) + 6.0 * static_cast<double>(Hosts));
    }
  }
  SUBCASE("start anew after a success") {
    StoreBackoff Backoff;
    for (int Failure = 0; Failure < 8; ++Failure)
      Backoff.delayAfterFailure(1);
    Backoff.recordSuccess();
    CHECK(Backoff.delayAfterFailure(1) == milliseconds(80));
  }
}

} // namespace
} // namespace marjorambay
