/// Regions of zones, and home regions of requests.
#include "marjorambay/state/zone_regions.h"

#include <algorithm>

namespace marjorambay {

bool ZoneRegions::addEntry(std::string_view Entry) {
  const std::size_t Colon = Entry.find(':');
  if (Colon == std::string_view::npos)
    return false;
  const Place Named{std::string(Entry.substr(0, Colon)),
                    std::string(Entry.substr(Colon + 1))};
  if (Named.Zone.empty() || Named.Region.empty() ||
      Named.Region.find(':') != std::string::npos)
    return false;
  const auto [Known, New] = Zones.emplace(idOf<ZoneId>(Named.Zone), Named);
  return New || Known->second.Region == Named.Region;
}

std::vector<std::string> ZoneRegions::add(std::string_view Text) {
  std::vector<std::string> Skipped;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    const std::string_view Entry = Text.substr(0, End);
    if (!addEntry(Entry))
      Skipped.emplace_back(Entry);
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Skipped;
}

bool ZoneRegions::allows(ZoneId Zone, const HomeRegions &Homes) const {
  if (Homes.empty())
    return true;
  const auto Found = Zones.find(Zone);
  if (Found == Zones.end())
    return false;
  const Place &Known = Found->second;
  return std::any_of(Homes.begin(), Homes.end(), [&](const std::string &Home) {
    return Home == Known.Region || Home == Known.Zone;
  });
}

bool ZoneRegions::knows(std::string_view Name) const {
  return std::any_of(Zones.begin(), Zones.end(), [&](const auto &Entry) {
    return Name == Entry.second.Zone || Name == Entry.second.Region;
  });
}

} // namespace marjorambay
