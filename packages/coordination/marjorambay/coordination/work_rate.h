/// Moving average of the arrival rate of work, by tier.
#ifndef MARJORAMBAY_COORDINATION_WORK_RATE_H
#define MARJORAMBAY_COORDINATION_WORK_RATE_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace marjorambay {

/// Rates in decode tokens per second. Two averages, over seconds and over a
/// minute, distinguish a burst from a sustained load: the first predicts the
/// next seconds, the second the load during a long wait.
class WorkRates {
public:
  void add(TierRank Tier, double Work, TimePoint Now) {
    Averages &Rates = Tiers[number(Tier) % MaxTiers];
    Rates.Short.add(Work, ShortSeconds, Now);
    Rates.Long.add(Work, LongSeconds, Now);
  }

  /// Returns the work per second that is expected to arrive in tiers above
  /// \p Tier over the next \p Horizon.
  double above(TierRank Tier, Duration Horizon, TimePoint Now) const {
    const double LongWeight =
        std::clamp(toSeconds(Horizon) / LongSeconds, 0.0, 1.0);
    double Sum = 0;
    for (std::size_t Rank = 0; Rank < number(Tier) % MaxTiers; ++Rank) {
      const double ShortRate = Tiers[Rank].Short.rate(ShortSeconds, Now);
      Sum += ShortRate +
             LongWeight * (Tiers[Rank].Long.rate(LongSeconds, Now) - ShortRate);
    }
    return Sum;
  }

private:
  static constexpr double ShortSeconds = 5;
  static constexpr double LongSeconds = 60;

  struct Average {
    double Sum = 0; ///< total work, each part decayed by its age
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
