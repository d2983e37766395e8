/// A host's share of the last known slots of a pool.
#include "marjorambay/coordination/local_share.h"

#include <algorithm>

namespace marjorambay {

void LocalShare::setTargets(const std::vector<TargetInfo> &Targets,
                            std::uint32_t HostsInZone) {
  const std::uint32_t Hosts = std::max<std::uint32_t>(HostsInZone, 1);
  for (auto &Entry : Slots)
    Entry.second.Limit = 0;
  for (const TargetInfo &Target : Targets) {
    Slot &Current = Slots[Target.Id];
    Current.Limit =
        std::max<std::uint32_t>(Target.MaxRequestsInFlight / Hosts, 1);
    Current.Excluded = false;
    Current.Leaving = Target.Leaving || Target.Evacuated;
  }
  std::erase_if(Slots, [](const auto &Entry) {
    return Entry.second.Limit == 0 && Entry.second.Used == 0;
  });
}

void LocalShare::acquire(TargetId Target) { ++Slots[Target].Used; }

void LocalShare::release(TargetId Target) {
  const auto Found = Slots.find(Target);
  if (Found != Slots.end() && Found->second.Used > 0)
    --Found->second.Used;
}

void LocalShare::exclude(TargetId Target) {
  const auto Found = Slots.find(Target);
  if (Found != Slots.end())
    Found->second.Excluded = true;
}

bool LocalShare::leaving(TargetId Target) const {
  const auto Found = Slots.find(Target);
  return Found != Slots.end() && Found->second.Leaving;
}

void LocalShare::markLeaving(TargetId Target) {
  const auto Found = Slots.find(Target);
  if (Found != Slots.end())
    Found->second.Leaving = true;
}

std::optional<TargetId> LocalShare::choose() const {
  std::optional<TargetId> Best;
  double LowestFill = 1.0;
  for (const auto &[Target, Current] : Slots) {
    if (Current.Excluded || Current.Leaving || Current.Used >= Current.Limit)
      continue;
    const double Fill = static_cast<double>(Current.Used) / Current.Limit;
    if (Fill >= LowestFill)
      continue;
    LowestFill = Fill;
    Best = Target;
  }
  return Best;
}

} // namespace marjorambay
