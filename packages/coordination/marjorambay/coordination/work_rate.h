/// A moving rate of work by tier.
#ifndef MARJORAMBAY_COORDINATION_WORK_RATE_H
#define MARJORAMBAY_COORDINATION_WORK_RATE_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace marjorambay {

/// Rates of decode tokens a second. A burst is told from a lasting load by two
/// averages, over seconds and over a minute: the first says what the next
/// seconds bring, the second what a long wait will see.
class WorkRates {
public:
  void add(TierRank Tier, double Work, TimePoint Now) {
    Averages &Each = Tiers[number(Tier) % MaxTiers];
    Each.Short.add(Work, ShortSeconds, Now);
    Each.Long.add(Work, LongSeconds, Now);
  }

  /// Returns the work that is expected to arrive a second in tiers above
  /// \p Tier, over the next \p Horizon.
  double above(TierRank Tier, Duration Horizon, TimePoint Now) const {
    const double Far = std::clamp(toSeconds(Horizon) / LongSeconds, 0.0, 1.0);
    double Sum = 0;
    for (std::size_t Rank = 0; Rank < number(Tier) % MaxTiers; ++Rank) {
      const double Near = Tiers[Rank].Short.rate(ShortSeconds, Now);
      Sum += Near + Far * (Tiers[Rank].Long.rate(LongSeconds, Now) - Near);
    }
    return Sum;
  }

private:
  static constexpr double ShortSeconds = 5;
  static constexpr double LongSeconds = 60;

  struct Average {
    double Sum = 0; ///< of the work, each part decayed by its age
    TimePoint Since{};
    void add(double Work, double TimeConstant, TimePoint Now) {
      Sum = rate(TimeConstant, Now) * TimeConstant + Work;
      Since = Now;
    }
    double rate(double TimeConstant, TimePoint Now) const {
      return Sum / TimeConstant *
             std::exp(-toSeconds(Now - Since) / TimeConstant);
    }
  };
  struct Averages {
    Average Short{};
    Average Long{};
  };
  std::array<Averages, MaxTiers> Tiers{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_WORK_RATE_H
