/// Delays between failed calls to the platform's store.
#ifndef MARJORAMBAY_COORDINATION_STORE_BACKOFF_H
#define MARJORAMBAY_COORDINATION_STORE_BACKOFF_H

#include "marjorambay/state/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace marjorambay {

struct StoreBackoffSettings {
  Duration FirstDelay = milliseconds(80);
  Duration MaxDelay = milliseconds(800);
  /// Calls per second that all hosts without a hub make together while the
  /// store is away. Hosts learn of its return from their hubs as well, so that
  /// more calls would only load the store as it returns.
  double FleetCallsPerSecond = 100;
};

/// Exponential backoff, bounded by what a host may contribute to the calls of
/// the fleet.
class StoreBackoff {
public:
  explicit StoreBackoff(StoreBackoffSettings Given = {}) : Settings(Given) {}

  /// \p Callers: hosts that call the store at the same time as this one.
  void setCallers(std::size_t Callers) { Hosts = Callers; }
  void recordSuccess() { Failures = 0; }

  /// Records a failure. Returns the delay until the next call, from half of the
  /// bound to the bound by \p Fraction, 0 to 1.
  Duration delayAfterFailure(double Fraction) {
    constexpr std::uint32_t MaxDoublings = 16;
    // The first delays grow with the fleet as well: in a short outage, they
    // make most of the calls.
    constexpr int FirstDelaysInShare = 8;
    const Duration Share =
        fromSeconds(static_cast<double>(Hosts) / Settings.FleetCallsPerSecond);
    const Duration First =
        std::max(Settings.FirstDelay, Share / FirstDelaysInShare);
    const Duration Bound =
        std::min(std::max(Settings.MaxDelay, Share), First * (1U << Failures));
    Failures = std::min(Failures + 1, MaxDoublings);
    return Bound / 2 +
           std::chrono::duration_cast<Duration>(Bound * Fraction / 2);
  }

private:
  StoreBackoffSettings Settings;
  std::size_t Hosts = 1;
  std::uint32_t Failures = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_STORE_BACKOFF_H
