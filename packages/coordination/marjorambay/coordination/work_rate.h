/// A moving rate of work by tier.
#ifndef MARJORAMBAY_COORDINATION_WORK_RATE_H
#define MARJORAMBAY_COORDINATION_WORK_RATE_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cmath>
#include <cstddef>

namespace marjorambay {

/// Rates of decode tokens a second, over the last seconds.
class WorkRates {
public:
  void add(TierRank Tier, double Work, TimePoint Now) {
    Decayed &Each = Tiers[number(Tier) % MaxTiers];
    Each.Sum = Each.at(Now) + Work;
    Each.Since = Now;
  }

  /// Returns the work that arrives a second in tiers above \p Tier.
  double above(TierRank Tier, TimePoint Now) const {
    double Sum = 0;
    for (std::size_t Rank = 0; Rank < number(Tier) % MaxTiers; ++Rank)
      Sum += Tiers[Rank].at(Now);
    return Sum / TimeConstant;
  }

private:
  static constexpr double TimeConstant = 5; // seconds

  struct Decayed {
    double Sum = 0;
    TimePoint Since{};
    double at(TimePoint Now) const {
      return Sum * std::exp(-toSeconds(Now - Since) / TimeConstant);
    }
  };
  std::array<Decayed, MaxTiers> Tiers{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_WORK_RATE_H
