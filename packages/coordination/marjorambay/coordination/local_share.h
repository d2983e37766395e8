/// One host's share of a pool's slots, used while no arbiter is in reach.
///
/// Each of N hosts takes 1/N of every target's last known slots, at least one.
/// The share strands capacity and orders tiers only within the host, so it
/// serves until an arbiter answers again, no longer.
#ifndef MARJORAMBAY_COORDINATION_LOCAL_SHARE_H
#define MARJORAMBAY_COORDINATION_LOCAL_SHARE_H

#include "marjorambay/coordination/arbiter_events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marjorambay {

class LocalShare {
public:
  void setTargets(const std::vector<TargetInfo> &Targets,
                  std::uint32_t HostsInZone);
  /// Counts a slot of \p Target as used, whoever granted it.
  void take(TargetId Target);
  void giveBack(TargetId Target);
  /// No new work for \p Target until the next list.
  void exclude(TargetId Target);
  /// The least filled target with a free slot in this host's share.
  std::optional<TargetId> pick() const;
  bool empty() const { return Slots.empty(); }

private:
  struct Slot {
    std::uint32_t Limit = 0;
    std::uint32_t Used = 0;
    bool Excluded = false;
  };
  std::map<TargetId, Slot> Slots{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_LOCAL_SHARE_H
