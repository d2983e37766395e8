/// The region of each availability zone, for requests that must stay in their
/// home regions.
#ifndef MARJORAMBAY_STATE_ZONE_REGIONS_H
#define MARJORAMBAY_STATE_ZONE_REGIONS_H

#include "marjorambay/state/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Names of the regions or zones whose targets a request may reach; empty if
/// there is no restriction.
using HomeRegions = std::vector<std::string>;

class ZoneRegions {
public:
  /// Adds the entries of "zone:region,zone:region"; a comma may also end the
  /// list. Skips entries that are malformed or name another region for a known
  /// zone, and returns them.
  std::vector<std::string> add(std::string_view Text);

  /// Whether a target in \p Zone may serve a request with these home regions. A
  /// zone of unknown region serves only requests without any.
  bool allows(ZoneId Zone, const HomeRegions &Homes) const;
  /// Whether \p Name is a zone or a region of this map.
  bool knows(std::string_view Name) const;
  bool empty() const { return Zones.empty(); }

private:
  struct Place {
    std::string Zone{};
    std::string Region{};
  };
  bool addEntry(std::string_view Entry);

  std::map<ZoneId, Place> Zones{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ZONE_REGIONS_H
