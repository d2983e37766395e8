/// How a host spends the time between the request to stop and its end.
///
/// Load balancers go on sending for a while, so the host goes on accepting what
/// it can be expected to complete. What remains shortly before the end is
/// answered in time for the answer to be read.
#ifndef MARJORAMBAY_COORDINATION_DRAIN_POLICY_H
#define MARJORAMBAY_COORDINATION_DRAIN_POLICY_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace marjorambay {

/// The stages of a stop, in order.
enum class DrainPhase : std::uint8_t {
  Accepting, ///< new requests are accepted if they can end in time
  Finishing, ///< new requests are rejected; the others go on
  Rejecting, ///< requests that wait or have not arrived completely are rejected
  Ending,    ///< requests that targets execute are given up
  Over,      ///< the process ends, whatever is left
};
template <>
inline constexpr std::array NamesOf<DrainPhase> =
    std::to_array<std::string_view>({"accepting", "finishing", "rejecting",
                                     "ending", "over"});
static_assert(NamesOf<DrainPhase>.size() == 5);

/// What is known of a request before it is sent to a target.
struct DrainCandidate {
  bool Repeatable = false;
  Duration Objective{}; ///< of its route
  Duration Remaining{}; ///< until its deadline
};

/// How long requests of a route take: the longest of the recent ones.
class RecentDurations {
public:
  void record(RouteId Route, Duration Taken) {
    Duration &Longest = Entries[Route];
    Longest = std::max(Taken, Longest - (Longest - Taken) / Memory);
  }
  /// Returns how long \p Candidate may take, half more than is typical. One
  /// that must not run twice may take all of its time unless its route is
  /// known.
  Duration expected(RouteId Route, const DrainCandidate &Candidate) const;

private:
  static constexpr int Memory = 16; ///< requests

  std::unordered_map<RouteId, Duration> Entries{};
};

/// The stages of one stop.
class DrainPolicy {
public:
  DrainPolicy() = default;
  /// \p Grace: from \p Start until the process is killed.
  DrainPolicy(Duration Grace, TimePoint Start);

  DrainPhase phase(TimePoint Now) const;
  /// Whether a request that takes \p Expected ends before it would be given up.
  bool endsInTime(Duration Expected, TimePoint Now) const {
    return Now + Expected <= EndAt;
  }
  bool accepts(Duration Expected, TimePoint Now) const {
    return phase(Now) == DrainPhase::Accepting && endsInTime(Expected, Now);
  }

private:
  TimePoint FinishAt{};
  TimePoint RejectAt{};
  TimePoint EndAt{};
  TimePoint OverAt{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_DRAIN_POLICY_H
