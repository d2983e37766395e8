/// Values that the decision parts exchange about requests.
#ifndef MARJORAMBAY_COORDINATION_REQUESTS_H
#define MARJORAMBAY_COORDINATION_REQUESTS_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace marjorambay {

/// Work that a request is expected to cause. Service calls count as one output
/// token.
struct TokenCost {
  std::uint32_t Prompt = 0;    ///< tokens of the prompt, known on arrival
  std::uint32_t Output = 1;    ///< tokens of the answer, learned per route
  std::uint32_t MaxOutput = 0; ///< the caller's limit; 0: none given
};

/// A claim on a slot at some target of a pool. Carries no body: the origin
/// keeps that, and is the only process that dispatches.
struct Reservation {
  RequestKey Key{};
  AccountId Account{};
  TierRank Tier{};
  RouteId Route{}; ///< answers differ in length by route; 0: not told
  PoolId Pool{};
  ModelId Model{};
  VersionId Version{}; ///< 0: whatever the rollout's share draws
  TokenCost Cost{};
  std::uint64_t PrefixHash = 0; ///< of the prompt's head; 0: no affinity
  Duration Remaining{};         ///< time to the deadline when sent
  Duration
      FirstTokenObjective{}; ///< time to the aim of its first token; 0: no aim
};

/// A slot that an origin holds, as told to an arbiter that takes over.
struct HeldGrant {
  Reservation Request{};
  TargetId Target{};
};

/// How a dispatched request ended.
enum class DispatchOutcome : std::uint8_t {
  Complete,  ///< the whole answer arrived
  NotRun,    ///< nothing reached the target; it may be reserved again
  Failed,    ///< the target answered with an error, or cut the answer
  Cancelled, ///< the caller left
};
template <>
inline constexpr std::array NamesOf<DispatchOutcome> =
    std::to_array<std::string_view>({"complete", "not_run", "failed",
                                     "cancelled"});
static_assert(NamesOf<DispatchOutcome>.size() == 4);

/// What a dispatched request used; feeds speed and length learning.
struct Usage {
  DispatchOutcome Outcome = DispatchOutcome::Complete;
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedTokens = 0; ///< of the prompt, served from prefix cache
  std::uint32_t OutputTokens = 0;
  Duration TimeToFirstToken{}; ///< from dispatch
  Duration Total{};            ///< from dispatch to the end
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_REQUESTS_H
