/// Events and actions of the arbiter, which grants slots of one pool in one
/// availability zone.
///
/// An arbiter queues reservations and grants each a slot at a named target. It
/// never sees a body and never dispatches, so that its death or duplication
/// can delay a request, but can't run one twice.
#ifndef MARJORAMBAY_COORDINATION_ARBITER_EVENTS_H
#define MARJORAMBAY_COORDINATION_ARBITER_EVENTS_H

#include "marjorambay/coordination/requests.h"
#include "marjorambay/state/error.h"

#include <concepts>
#include <cstdint>
#include <unordered_set>
#include <variant>
#include <vector>

namespace marjorambay {

/// What an arbiter needs to know of a target.
struct TargetInfo {
  TargetId Id{};
  PoolId Pool{};
  ZoneId Zone{};
  VersionId Version{};
  double TokensPerSecond = 1000;       ///< first guess of decode speed
  std::uint32_t MaxTokensInFlight = 0; ///< 0: learned from its speed
  std::uint32_t MaxRequestsInFlight = 32;
  double MaxPrefillSeconds =
      0; ///< of prompts that it has yet to read; a request
         ///< goes to it below that only. 0: no bound
  bool Leaving = false;
  IncarnationId Incarnation{}; ///< of the target; 0: not known
};

// ---- Events -----------------------------------------------------------------

/// The pool's targets, whole; a target that is absent gets no new work.
struct TargetsChanged {
  std::vector<TargetInfo> Targets{};
};
/// Weights by account; accounts that are absent have weight 1.
struct AccountWeightChanged {
  AccountId Account{};
  double Weight = 1.0;
};
struct SlotRequested {
  Reservation Request{};
};
/// The caller left or the origin gave up. Unknown keys are ignored.
struct SlotRequestCancelled {
  RequestKey Key{};
};
struct SlotReleased {
  RequestKey Key{};
  Usage Used{};
};
/// Tokens that a dispatched request has produced so far; speeds up the
/// detection of a target that slows down. Sent at most each 3 s.
struct SlotProgressed {
  RequestKey Key{};
  std::uint32_t OutputTokens = 0;
};
/// A target's own load report; arrives late.
struct LoadReported {
  TargetId Target{};
  Duration Age{}; ///< time since the target wrote it
  std::uint32_t RequestsInFlight = 0;
  std::uint32_t TokensInFlight = 0;
  std::uint32_t CacheTokensFree = 0;
};
/// First sign from any source that a target is going away. Never undone for
/// the same incarnation.
struct TargetLeaving {
  TargetId Target{};
  IncarnationId
      Incarnation{}; ///< 0: not known; stands until the target is unlisted
};
/// A target refused a connection or answered "unavailable"; back off from it.
struct TargetRefused {
  TargetId Target{};
};
/// A version's fault has shown: no new work for it, for good.
struct VersionTripped {
  VersionId Version{};
};
/// Share of new requests that may go to a version under rollout, 0 to 1.
struct VersionShareChanged {
  VersionId Version{};
  double Share = 0;
};
/// An origin's slots in flight, told to an arbiter that has just taken over.
struct GrantsReported {
  HostId Origin{};
  IncarnationId OriginIncarnation{};
  std::vector<HeldGrant> Grants{};
};
/// An origin died or restarted: its queued reservations are dropped, and its
/// grants decay once their expected duration is over.
struct OriginLost {
  HostId Origin{};
  IncarnationId LastIncarnation{}; ///< lives up to this one are gone
};
/// Origins that must report before a new arbiter grants freely.
struct TakeoverStarted {
  std::vector<HostId> Origins{};
};
/// The version that serves by default. Once it is known, a version that is
/// neither this one nor named by VersionShareChanged gets no requests, so that
/// the order of events can't let a new version in without its cap.
struct ServingVersionChanged {
  VersionId Version{};
};
/// All slots that an origin holds. Others that were granted to this life of it
/// before \p Grace ago are free: their release was lost.
struct SlotsConfirmed {
  HostId Origin{};
  IncarnationId OriginIncarnation{};
  std::unordered_set<RequestId> ActiveRequests{};
  Duration Grace = milliseconds(500); ///< for grants on their way
};
struct ArbiterTicked {};

using ArbiterEvent =
    std::variant<TargetsChanged, AccountWeightChanged, SlotRequested,
                 SlotRequestCancelled, SlotReleased, SlotProgressed,
                 LoadReported, TargetLeaving, TargetRefused, VersionTripped,
                 VersionShareChanged, ServingVersionChanged, GrantsReported,
                 OriginLost, TakeoverStarted, SlotsConfirmed, ArbiterTicked>;

// ---- Actions ----------------------------------------------------------------

struct GrantSlot {
  RequestKey Key{};
  TargetId Target{};
  VersionId Version{}; ///< that the request must name; 0: the target has none
};
/// Given up on a reservation; the caller is told at once.
struct RefuseSlot {
  RequestKey Key{};
  ErrorKind Kind = ErrorKind::Overloaded;
  Duration RetryAfter{};
};
/// Asks the origin to break off a running stream of a lower tier.
struct PreemptSlot {
  RequestKey Key{};
};

using ArbiterAction = std::variant<GrantSlot, RefuseSlot, PreemptSlot>;
using ArbiterActions = std::vector<ArbiterAction>;

/// A policy that decides on the slots of one pool in one availability zone.
template <typename Policy>
concept SlotPolicy = requires(Policy P, const ArbiterEvent &Event,
                              TimePoint Now) {
  { P.step(Event, Now) } -> std::same_as<ArbiterActions>;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ARBITER_EVENTS_H
