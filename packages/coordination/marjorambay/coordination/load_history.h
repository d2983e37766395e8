/// Merges a target's late load reports with what was counted since.
#ifndef MARJORAMBAY_COORDINATION_LOAD_HISTORY_H
#define MARJORAMBAY_COORDINATION_LOAD_HISTORY_H

#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>

namespace marjorambay {

/// Learns from reports only the load that others put on a target: what the
/// report says, less what this arbiter had in flight at the time the report
/// was written. The own part is always the present count.
class LoadHistory {
public:
  /// Notes that \p InFlight own requests are at the target from \p Now on.
  void note(std::uint32_t InFlight, TimePoint Now);

  /// Merges a report that was written at \p Written. Reports older than one
  /// already merged, or older than the history, change nothing.
  void merge(std::uint32_t Requests, TimePoint Written);

  /// Returns the requests of others; forgotten when reports cease.
  double others(TimePoint Now) const;

private:
  struct Mark {
    TimePoint Since{};
    std::uint32_t InFlight = 0;
  };
  static constexpr std::size_t Length = 256;

  std::array<Mark, Length> Marks{};
  std::uint64_t Next = 0;
  double Others = 0;
  TimePoint LastWritten{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_LOAD_HISTORY_H
