/// Availability zones that operators evacuate.
///
/// Requests in progress in such a zone complete normally; none is sent there. A
/// zone stays evacuated until a later list lacks it, however long no list
/// arrives: a disconnected host keeps to what it knows.
#ifndef MARJORAMBAY_COORDINATION_ZONE_EVACUATIONS_H
#define MARJORAMBAY_COORDINATION_ZONE_EVACUATIONS_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjorambay {

/// What changed with a new list of evacuated zones, by zone name.
struct EvacuationChanges {
  std::vector<std::string> Began{};
  std::vector<std::string> Ended{};
  bool empty() const { return Began.empty() && Ended.empty(); }
};

class ZoneEvacuations {
public:
  /// Replaces the list of evacuated zones; \p Zones has all of them.
  EvacuationChanges replaceAll(const std::set<std::string> &Zones,
                               TimePoint Now);

  bool evacuated(ZoneId Zone) const { return Zones.count(Zone) != 0; }
  /// When this host learned of the evacuation of \p Zone; nothing if it is not
  /// evacuated.
  std::optional<TimePoint> since(ZoneId Zone) const;
  /// Whether a list was received, be it empty.
  bool known() const { return Known; }
  bool empty() const { return Zones.empty(); }
  std::size_t size() const { return Zones.size(); }
  std::vector<ZoneId> zones() const;

private:
  struct Evacuation {
    std::string Name{};
    TimePoint Since{};
  };
  std::map<ZoneId, Evacuation> Zones{};
  bool Known = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ZONE_EVACUATIONS_H
