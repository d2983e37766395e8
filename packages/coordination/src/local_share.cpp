/// A host's share of the last known slots.
#include "marjorambay/coordination/local_share.h"

#include <algorithm>

namespace marjorambay {

void LocalShare::setTargets(const std::vector<TargetInfo> &Targets,
                            std::uint32_t HostsInZone) {
  const std::uint32_t Hosts = std::max<std::uint32_t>(HostsInZone, 1);
  for (auto &Entry : Slots)
    Entry.second.Limit = 0;
  for (const TargetInfo &Target : Targets) {
    Slot &Known = Slots[Target.Id];
    Known.Limit =
        std::max<std::uint32_t>(Target.MaxRequestsInFlight / Hosts, 1);
    Known.Excluded = Target.Leaving;
  }
  std::erase_if(Slots, [](const auto &Entry) {
    return Entry.second.Limit == 0 && Entry.second.Used == 0;
  });
}

void LocalShare::take(TargetId Target) { ++Slots[Target].Used; }

void LocalShare::giveBack(TargetId Target) {
  const auto Found = Slots.find(Target);
  if (Found != Slots.end() && Found->second.Used > 0)
    --Found->second.Used;
}

void LocalShare::exclude(TargetId Target) {
  const auto Found = Slots.find(Target);
  if (Found != Slots.end())
    Found->second.Excluded = true;
}

std::optional<TargetId> LocalShare::pick() const {
  std::optional<TargetId> Best;
  double LowestFill = 1.0;
  for (const auto &[Target, Known] : Slots) {
    if (Known.Excluded || Known.Used >= Known.Limit)
      continue;
    const double Fill = static_cast<double>(Known.Used) / Known.Limit;
    if (Fill >= LowestFill)
      continue;
    LowestFill = Fill;
    Best = Target;
  }
  return Best;
}

} // namespace marjorambay
