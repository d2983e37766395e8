/// The fleet configuration to and from its JSON document.
#ifndef MARJORAMBAY_PROTOCOL_FLEET_CONFIG_JSON_H
#define MARJORAMBAY_PROTOCOL_FLEET_CONFIG_JSON_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"

#include <string>
#include <string_view>

namespace marjorambay {

/// Reads a configuration document. Keys that are left out keep their default;
/// an unknown key, a wrong type or a number that doesn't fit is BadConfig with
/// the path of the key. Checks the form only, see checkFleetConfig().
Result<FleetConfig> parseFleetConfig(std::string_view Json);

/// Prints \p Config in canonical form: equal configurations give equal bytes,
/// with one entry (tier, account, target, ...) a line, so that two revisions
/// differ in few lines.
std::string printFleetConfig(const FleetConfig &Config);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_FLEET_CONFIG_JSON_H
