/// The policy that ours is compared with: first in, first out, to a random
/// target, without tiers, limits or deadlines.
#ifndef MARJORAMBAY_TESTS_NAIVE_POLICY_H
#define MARJORAMBAY_TESTS_NAIVE_POLICY_H

#include "marjorambay/coordination/arbiter_events.h"

#include <random>
#include <utility>
#include <vector>

namespace marjorambay::testing {

/// Grants every reservation on arrival. RandomSource draws the target.
template <std::uniform_random_bit_generator RandomSource> class NaivePolicy {
public:
  explicit NaivePolicy(RandomSource Source) : Random(std::move(Source)) {}

  ArbiterActions step(const ArbiterEvent &Event, TimePoint /*Now*/) {
    if (const auto *Changed = std::get_if<TargetsChanged>(&Event))
      Targets = Changed->Targets;
    const auto *Asked = std::get_if<SlotRequested>(&Event);
    if (Asked == nullptr || Targets.empty())
      return {};
    std::uniform_int_distribution<std::size_t> Draw(0, Targets.size() - 1);
    return {GrantSlot{Asked->Request.Key, Targets[Draw(Random)].Id}};
  }

private:
  RandomSource Random;
  std::vector<TargetInfo> Targets{};
};

static_assert(SlotPolicy<NaivePolicy<std::mt19937_64>>);

} // namespace marjorambay::testing

#endif // MARJORAMBAY_TESTS_NAIVE_POLICY_H
