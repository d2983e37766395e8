/// JSON codecs of the platform object rollouts/POOL, of operators' commands and
/// of orders to engines.
#ifndef MARJORAMBAY_PROTOCOL_ROLLOUT_JSON_H
#define MARJORAMBAY_PROTOCOL_ROLLOUT_JSON_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/rollout_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

/// Prints all fields. Times are microseconds since the Unix epoch, with keys
/// that end in "_us".
std::string printRolloutState(const RolloutState &State);

/// Parses the output of printRolloutState(). The message of BadRequest names
/// the invalid field.
Result<RolloutState> parseRolloutState(std::string_view Json);

/// An operator's command for a pool's rollout, POST /rollouts/POOL.
struct RolloutRequest {
  std::string Command{}; ///< start, pause, resume or abort
  // For start only:
  std::string Name{}; ///< name of the rollout
  std::string ToVersion{};
  Duration Within{}; ///< time to the deadline, "within_ms"
  // For all commands:
  std::string Author{};
};
Result<RolloutRequest> parseRolloutRequest(std::string_view Json);
std::string printRolloutRequest(const RolloutRequest &Request);

/// The order to an engine to load a version, POST /orders.
std::string printLoadOrder(std::string_view Version,
                           std::uint64_t FencingToken);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_ROLLOUT_JSON_H
