/// Combines a target's delayed load reports with the requests granted since.
#ifndef MARJORAMBAY_COORDINATION_LOAD_HISTORY_H
#define MARJORAMBAY_COORDINATION_LOAD_HISTORY_H

#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>

namespace marjorambay {

/// Derives from load reports only the load that others put on a target: the
/// reported load minus the requests that this arbiter had in flight when the
/// report was written. This arbiter's own load is always its current count.
class LoadHistory {
public:
  /// Records that this arbiter has \p InFlight requests at the target from
  /// \p Now on.
  void recordInFlight(std::uint32_t InFlight, TimePoint Now);

  /// Merges a report that was written at \p Written. Reports older than the
  /// last merged one, or older than the history, are ignored.
  void merge(std::uint32_t Requests, TimePoint Written);

  /// Returns the number of requests of others, which decays without new
  /// reports.
  double others(TimePoint Now) const;

private:
  struct Sample {
    TimePoint Since{};
    std::uint32_t InFlight = 0;
  };
  static constexpr std::size_t Length = 256;

  std::array<Sample, Length> Samples{};
  std::uint64_t Next = 0;
  double Others = 0;
  TimePoint LastWritten{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_LOAD_HISTORY_H
