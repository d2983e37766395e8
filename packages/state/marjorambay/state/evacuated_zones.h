/// Evacuations of availability zones in the fleet configuration.
///
/// An evacuation is an exception of a zone with a key of its own, so that it
/// has a written reason, an author and a time. No other scope has the key.
#ifndef MARJORAMBAY_STATE_EVACUATED_ZONES_H
#define MARJORAMBAY_STATE_EVACUATED_ZONES_H

#include "marjorambay/state/fleet_config.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Key of the exception that evacuates its zone; the value is "true".
inline constexpr std::string_view EvacuatedKey = "evacuated";

/// Returns why an exception with EvacuatedKey is invalid, or "" if it is valid.
std::string evacuationProblem(const ExceptionConfig &Exception);

/// Returns the exception that evacuates \p Zone, or null.
const ExceptionConfig *findEvacuation(const FleetConfig &Config,
                                      std::string_view Zone);

/// The targets of one pool in a zone.
struct PoolInZone {
  std::string Pool{};
  std::size_t Targets = 0;
  std::uint64_t Slots = 0;
  /// Slots of the pool's targets that neither drain nor are in this zone or in
  /// an evacuated one: what is left once this zone is evacuated.
  std::uint64_t SlotsElsewhere = 0;
};

/// Returns the pools that have targets in \p Zone, in the configuration's
/// order.
std::vector<PoolInZone> poolsInZone(const FleetConfig &Config,
                                    std::string_view Zone);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_EVACUATED_ZONES_H
