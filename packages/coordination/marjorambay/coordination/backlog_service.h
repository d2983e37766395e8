/// Measured service of tiers that have a backlog.
#ifndef MARJORAMBAY_COORDINATION_BACKLOG_SERVICE_H
#define MARJORAMBAY_COORDINATION_BACKLOG_SERVICE_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <optional>

namespace marjorambay {

/// Rate at which the work of each tier is granted while requests of the tier
/// wait. What higher tiers leave to a tier is a small difference between two
/// large estimates, capacity and arrivals; while the tier has a backlog, it can
/// be measured instead.
class BacklogService {
public:
  /// Records whether requests of \p Tier wait.
  void recordQueue(TierRank Tier, bool Waiting, TimePoint Now) {
    Backlog &Entry = Tiers[number(Tier) % MaxTiers];
    if (!Waiting)
      return;
    if (Now - Entry.LastWaiting > MaxGap) {
      Entry.Since = Now;
      Entry.Work = 0;
      Entry.UpdatedAt = Now;
    }
    Entry.LastWaiting = Now;
  }

  void recordGrant(TierRank Tier, double Work, TimePoint Now) {
    PoolGrants = PoolGrants * decay(PoolGrantedAt, Now) + 1;
    PoolGrantedAt = Now;
    Backlog &Entry = Tiers[number(Tier) % MaxTiers];
    Entry.Work = decayed(Entry, Now) + Work;
    Entry.UpdatedAt = Now;
  }

  /// Returns the work per second that \p Tier is granted; nothing if it has had
  /// no backlog for long enough, or the pool as a whole grants so little that
  /// the time between two grants says nothing.
  std::optional<double> rate(TierRank Tier, TimePoint Now) const {
    const Backlog &Entry = Tiers[number(Tier) % MaxTiers];
    const Duration Age = Now - Entry.Since;
    if (Now - Entry.LastWaiting > MaxGap || Age < MinAge ||
        PoolGrants * decay(PoolGrantedAt, Now) < MinPoolGrants)
      return std::nullopt;
    // Corrects for the short time over which the sum was taken.
    const double Weight = 1 - std::exp(-toSeconds(Age) / AverageSeconds);
    return decayed(Entry, Now) / (AverageSeconds * Weight);
  }

private:
  /// Time constant of the average: short enough to follow a burst of higher
  /// tiers, long enough for several grants.
  static constexpr double AverageSeconds = 0.5;
  static constexpr Duration MinAge = milliseconds(100);
  /// Grants to all tiers, weighted like the average, that make a measurement:
  /// 16 a second.
  static constexpr double MinPoolGrants = 8;
  /// A backlog that ends for no longer than this is still the same.
  static constexpr Duration MaxGap = milliseconds(200);

  struct Backlog {
    double Work = 0; ///< granted, each part decayed by its age
    TimePoint UpdatedAt{};
    TimePoint Since{};
    TimePoint LastWaiting{};
  };
  static double decay(TimePoint Since, TimePoint Now) {
    return std::exp(-toSeconds(Now - Since) / AverageSeconds);
  }
  static double decayed(const Backlog &Entry, TimePoint Now) {
    return Entry.Work * decay(Entry.UpdatedAt, Now);
  }

  std::array<Backlog, MaxTiers> Tiers{};
  double PoolGrants = 0; ///< to all tiers, each decayed by its age
  TimePoint PoolGrantedAt{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_BACKLOG_SERVICE_H
