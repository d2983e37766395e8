/// Evacuations in the fleet configuration, and what zones contain.
#include "marjorambay/state/evacuated_zones.h"

#include <algorithm>

namespace marjorambay {

std::string evacuationProblem(const ExceptionConfig &Exception) {
  if (Exception.Scope != ScopeKind::Zone)
    return "only a zone can be evacuated";
  return Exception.Value == "true"
             ? ""
             : "must be true; remove the exception to end the evacuation";
}

const ExceptionConfig *findEvacuation(const FleetConfig &Config,
                                      std::string_view Zone) {
  const auto Found =
      std::find_if(Config.Exceptions.begin(), Config.Exceptions.end(),
                   [&](const ExceptionConfig &Exception) {
                     return Exception.Key == EvacuatedKey &&
                            Exception.Scope == ScopeKind::Zone &&
                            Exception.ScopeName == Zone;
                   });
  return Found == Config.Exceptions.end() ? nullptr : &*Found;
}

std::vector<PoolInZone> poolsInZone(const FleetConfig &Config,
                                    std::string_view Zone) {
  std::vector<PoolInZone> Rows;
  for (const PoolConfig &Pool : Config.Pools) {
    PoolInZone Row{Pool.Name};
    for (const TargetConfig &Target : Config.Targets) {
      if (Target.Pool != Pool.Name)
        continue;
      if (Target.Zone == Zone) {
        ++Row.Targets;
        Row.Slots += Target.MaxRequestsInFlight;
      } else if (!Target.Draining &&
                 findEvacuation(Config, Target.Zone) == nullptr) {
        Row.SlotsElsewhere += Target.MaxRequestsInFlight;
      }
    }
    if (Row.Targets != 0)
      Rows.push_back(std::move(Row));
  }
  return Rows;
}

} // namespace marjorambay
