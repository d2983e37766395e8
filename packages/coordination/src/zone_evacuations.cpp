/// Evacuated zones, by the latest list.
#include "marjorambay/coordination/zone_evacuations.h"

namespace marjorambay {

EvacuationChanges
ZoneEvacuations::replaceAll(const std::set<std::string> &Names, TimePoint Now) {
  Known = true;
  EvacuationChanges Changes;
  std::map<ZoneId, Evacuation> Next;
  for (const std::string &Name : Names) {
    const auto Zone = idOf<ZoneId>(Name);
    const auto Before = Zones.find(Zone);
    const bool Began = Before == Zones.end();
    Next.emplace(Zone, Began ? Evacuation{Name, Now} : Before->second);
    if (Began)
      Changes.Began.push_back(Name);
  }
  for (const auto &[Zone, Ended] : Zones)
    if (Next.count(Zone) == 0)
      Changes.Ended.push_back(Ended.Name);
  Zones = std::move(Next);
  return Changes;
}

std::optional<TimePoint> ZoneEvacuations::since(ZoneId Zone) const {
  const auto Found = Zones.find(Zone);
  if (Found == Zones.end())
    return std::nullopt;
  return Found->second.Since;
}

std::vector<ZoneId> ZoneEvacuations::zones() const {
  std::vector<ZoneId> All;
  for (const auto &[Zone, Evacuated] : Zones)
    All.push_back(Zone);
  return All;
}

} // namespace marjorambay
