/// The platform object rollouts/POOL, operators' commands and orders to
/// engines, to and from JSON.
#ifndef MARJORAMBAY_PROTOCOL_ROLLOUT_JSON_H
#define MARJORAMBAY_PROTOCOL_ROLLOUT_JSON_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/rollout_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

/// Prints every field; times are microseconds since the Unix epoch, "*_us".
std::string printRolloutState(const RolloutState &State);

/// Reads what printRolloutState() prints. BadRequest names a bad field.
Result<RolloutState> parseRolloutState(std::string_view Json);

/// An operator's command on a pool's rollout, POST /rollouts/POOL.
struct RolloutRequest {
  std::string Command{};   ///< start, pause, resume or abort
  std::string Name{};      ///< of start: names the rollout
  std::string ToVersion{}; ///< of start
  Duration Within{};       ///< of start: time to the deadline, "within_ms"
  std::string Author{};
};
Result<RolloutRequest> parseRolloutRequest(std::string_view Json);
std::string printRolloutRequest(const RolloutRequest &Request);

/// The order to an engine to load a version, POST /orders.
std::string printLoadOrder(std::string_view Version, std::uint64_t Fence);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_ROLLOUT_JSON_H
