/// Finds out that a host's copy of the platform's objects differs from those of
/// the hubs, although none of them changes any more.
///
/// Hosts ask for changes by position, so two copies of the same position that
/// differ, for whatever reason, would stay so until the objects change. Digests
/// of hubs have a hash of the contents of each copy. Copies that neither change
/// nor agree for MinDifference differ: a change takes less to reach all hosts.
///
/// A repair that has no effect is repeated less and less often: some objects
/// have a revision that can't be read, so that positions are guessed by host.
#ifndef MARJORAMBAY_COORDINATION_MIRROR_COMPARISON_H
#define MARJORAMBAY_COORDINATION_MIRROR_COMPARISON_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace marjorambay {

/// The comparisons of one host's copy of the objects of one kind.
class MirrorComparison {
public:
  static constexpr Duration MinDifference = seconds(2);
  /// A hub that has not reported for this long is not compared.
  static constexpr Duration ReportTimeout = milliseconds(800);
  static constexpr Duration MinRepairInterval = seconds(10);
  static constexpr Duration MaxRepairInterval = minutes(5);

  /// Records that the copy of \p Hub has the hash \p Reported, and this host's
  /// has \p Own; see ObjectMirror::contentHash(). 0: unknown.
  void record(HostId Hub, std::uint32_t Own, std::uint32_t Reported,
              TimePoint Now);

  /// Returns the hub whose copy has differed for longest, if that is a reason
  /// for a repair.
  std::optional<HostId> repairDue(TimePoint Now) const;
  /// Returns whether the copy of some hub equals this host's.
  bool anyEqual(TimePoint Now) const;
  /// Returns for how long the copies have differed with no change of either.
  Duration differedFor(HostId Hub, TimePoint Now) const;

  void recordRepair(TimePoint Now);

private:
  struct Comparison {
    std::uint32_t Own = 0;
    std::uint32_t Reported = 0;
    TimePoint Since{}; ///< neither has changed since
    TimePoint At{};    ///< of the last report
  };

  std::map<HostId, Comparison> Comparisons{};
  TimePoint RepairedAt{}; ///< 0: none since the copies were equal
  Duration RepairInterval = MinRepairInterval;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_MIRROR_COMPARISON_H
