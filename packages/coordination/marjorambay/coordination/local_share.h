/// One host's share of a pool's slots, used while no arbiter is reachable.
///
/// Each of N hosts gets 1/N of every target's last known slots, at least one.
/// Such shares leave capacity unused and order tiers only within one host, so
/// they are used only until an arbiter responds again.
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
  /// Counts a slot of \p Target as used, whether the arbiter or this host
  /// granted it.
  void acquire(TargetId Target);
  void release(TargetId Target);
  /// Grants no slot of \p Target until the next setTargets().
  void exclude(TargetId Target);
  /// Returns whether \p Target is leaving and must get no new requests,
  /// including those that the arbiter grants.
  bool leaving(TargetId Target) const;
  void markLeaving(TargetId Target);
  /// Returns the least loaded target with a free slot in this host's share.
  std::optional<TargetId> choose() const;
  bool empty() const { return Slots.empty(); }

private:
  struct Slot {
    std::uint32_t Limit = 0;
    std::uint32_t Used = 0;
    bool Excluded = false;
    bool Leaving = false;
  };
  std::map<TargetId, Slot> Slots{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_LOCAL_SHARE_H
