/// JSON codec of the fleet configuration.
#ifndef MARJORAMBAY_PROTOCOL_FLEET_CONFIG_JSON_H
#define MARJORAMBAY_PROTOCOL_FLEET_CONFIG_JSON_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"

#include <string>
#include <string_view>

namespace marjorambay {

/// Parses a configuration document. Missing keys keep their default. An unknown
/// key, a wrong type or an out-of-range number gives BadConfig with the path of
/// the key. Checks the syntax only; see checkFleetConfig().
Result<FleetConfig> parseFleetConfig(std::string_view Json);

/// Prints \p Config in canonical form: equal configurations give equal bytes.
/// Each entry (tier, account, target, ...) is on a line of its own, so that
/// line diffs between revisions are small.
std::string printFleetConfig(const FleetConfig &Config);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_FLEET_CONFIG_JSON_H
