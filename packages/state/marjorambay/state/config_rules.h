/// Validation of a complete fleet configuration before it is accepted.
#ifndef MARJORAMBAY_STATE_CONFIG_RULES_H
#define MARJORAMBAY_STATE_CONFIG_RULES_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"

#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

inline constexpr std::size_t MaxNameLength = 128;    ///< bytes
inline constexpr std::size_t MaxReasonLength = 1000; ///< bytes
inline constexpr std::size_t MaxAccounts = 20'000;
inline constexpr std::size_t MaxTargets = 50'000;

/// Returns a message for each rule that \p Config violates, naming the entry
/// and what to change. Empty if the configuration is valid.
std::vector<std::string> findConfigProblems(const FleetConfig &Config);

/// As findConfigProblems(), but returns one BadConfig error with the first few
/// problems.
Result<Done> checkFleetConfig(const FleetConfig &Config);

/// Returns whether \p Address is a numeric IP address with a port, as in
/// "10.0.0.1:8000" or "[fd00::1]:8000".
bool isIpAddressWithPort(std::string_view Address);

/// Sets the field of \p Defaults named \p Key, as an exception does. Returns an
/// error message, or "" on success.
std::string setDefault(FleetDefaults &Defaults, std::string_view Key,
                       std::string_view Value);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_CONFIG_RULES_H
