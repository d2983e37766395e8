/// Value types for requests and slots that the origin and the arbiter exchange.
#ifndef MARJORAMBAY_COORDINATION_REQUESTS_H
#define MARJORAMBAY_COORDINATION_REQUESTS_H

#include "marjorambay/coordination/crash_key.h"
#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Expected work of a request. A call to a plain service counts as one output
/// token.
struct TokenCost {
  std::uint32_t Prompt = 0;    ///< prompt tokens, known on arrival
  std::uint32_t Output = 1;    ///< expected output tokens, estimated per route
  std::uint32_t MaxOutput = 0; ///< the caller's limit; 0 if none was given
};

/// A request for a slot at any target of a pool. It carries no body: the body
/// stays at the origin, the only process that dispatches.
struct Reservation {
  RequestKey Key{};
  AccountId Account{};
  TierRank Tier{};
  RouteId Route{}; ///< used to estimate the answer's length; 0 if unknown
  PoolId Pool{};
  ModelId Model{};
  /// Required version; 0 if any version may serve, by rollout share.
  VersionId Version{};
  TokenCost Cost{};
  /// Hash of the prompt's prefix; 0 for no affinity.
  std::uint64_t PrefixHash = 0;
  Duration Remaining{}; ///< time to the deadline when the reservation was sent
  /// Time until the first token is due; 0 if there is no objective.
  Duration FirstTokenObjective{};
  /// Targets that the origin may not use at present.
  std::vector<TargetId> ClosedTargets{};
  /// Zones whose targets the request may not use: evacuated ones as far as the
  /// origin knows, and those outside of its home regions.
  std::vector<ZoneId> ClosedZones{};
  /// What the request may have in common with others.
  std::vector<CrashKey> CrashKeys{};
  bool Repeat = false; ///< the request may have run at another target
  /// Another zone's arbiter has redirected the request, and none does so again.
  bool Redirected = false;
};

/// A slot that an origin uses, as reported to an arbiter that takes over.
struct HeldGrant {
  Reservation Request{};
  TargetId Target{};
};

/// How a dispatched request ended.
enum class DispatchOutcome : std::uint8_t {
  Complete, ///< the complete answer arrived
  NotRun,   ///< the target did not run the request, which may reserve again
  /// The target responded with an error, timed out or lost the connection.
  Failed,
  Cancelled, ///< the caller disconnected, or the request was preempted
};
template <>
inline constexpr std::array NamesOf<DispatchOutcome> =
    std::to_array<std::string_view>({"complete", "not_run", "failed",
                                     "cancelled"});
static_assert(NamesOf<DispatchOutcome>.size() == 4);

/// Resource usage of a dispatched request; updates the estimates of target
/// speeds and answer lengths.
struct Usage {
  DispatchOutcome Outcome = DispatchOutcome::Complete;
  std::uint32_t PromptTokens = 0;
  /// Prompt tokens that were served from the prefix cache.
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
  Duration TimeToFirstToken{}; ///< time from dispatch
  Duration Total{};            ///< time from dispatch to the end
  bool AnswerBegan = false;    ///< the answer had at least one event
  bool ConnectionLost = false; ///< the connection failed during the request
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_REQUESTS_H
