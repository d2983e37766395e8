/// Compares the paces at which targets of a new and an old version send the
/// events of a stream.
///
/// Latencies grow with the load of a target. A new version has a small share of
/// the requests, so that its targets are nearly idle beside those of the old
/// one, and a slower version looks as fast. The pace of a stream leaves the
/// load out: it is that of the few events between which the target did little
/// else.
///
/// [SECTION] Index
///   1. EventPace       pace of one stream
///   2. PaceSample      what hosts tell the coordinator
///   3. PaceComparison  one pool's versions
#ifndef MARJORAMBAY_COORDINATION_PACE_COMPARISON_H
#define MARJORAMBAY_COORDINATION_PACE_COMPARISON_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace marjorambay {

/// Measures the pace of one stream by its first events.
class EventPace {
public:
  /// Records that \p Count events arrived. One read may be passed on in pieces,
  /// microseconds apart.
  void add(std::uint32_t Count, TimePoint Now);

  /// Whether further events change nothing, but for those of the latest read.
  bool complete() const { return Size == Arrivals.size(); }

  /// Returns the time between two events in the fastest run of events; nothing
  /// if there were too few events.
  std::optional<Duration> pace() const;

private:
  /// Intervals of one run. Some targets send events at two intervals in turn.
  static constexpr std::size_t RunLength = 2;
  static constexpr std::size_t MinIntervals = 4;
  static constexpr std::size_t MaxIntervals = 12;

  std::array<TimePoint, MaxIntervals + 1> Arrivals{};
  std::size_t Size = 0;
  std::size_t ReadBegin = 0; ///< index of the first event of the latest read
  TimePoint ReadAt{};        ///< when that read was passed on
};

/// The pace of one stream.
struct PaceSample {
  TargetId Target{};
  bool IsNew = false; ///< the target runs the new version
  Duration Pace{};
};
using PaceSamples = std::vector<PaceSample>;

class PaceComparison {
public:
  void add(const PaceSamples &Batch);

  /// Whether the new version is slower: hardly any of its streams comes near
  /// the pace of the fastest old target, and several of its targets have a pace
  /// that old ones do not have. The latter spares versions whose targets only
  /// have the slower one of the pool's kinds of hardware. \p MinStreams: of the
  /// new version, whose pace must be known.
  bool isSlower(std::size_t MinStreams) const;

  /// Returns the pace of the new version's fastest streams relative to that of
  /// the fastest old target; nothing if one of them is not known.
  std::optional<double> ratio() const;

private:
  struct TargetPaces {
    bool IsNew = false;
    std::deque<Duration> Recent{};
  };

  /// Returns the paces of all targets of a version, fastest first.
  std::vector<Duration> paces(bool IsNew) const;

  std::map<TargetId, TargetPaces> Targets{};
  std::deque<Duration> RecentNew{}; ///< of all targets of the new version
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_PACE_COMPARISON_H
