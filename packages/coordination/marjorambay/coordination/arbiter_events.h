/// Events and actions of the arbiter, which grants slots of one pool in one
/// availability zone.
///
/// An arbiter queues reservations and grants each a slot at a specific target.
/// It never handles a request body and never dispatches, so that a failed or
/// duplicate arbiter can delay a request but cannot run it twice.
#ifndef MARJORAMBAY_COORDINATION_ARBITER_EVENTS_H
#define MARJORAMBAY_COORDINATION_ARBITER_EVENTS_H

#include "marjorambay/coordination/crash_suspects.h"
#include "marjorambay/coordination/requests.h"
#include "marjorambay/coordination/target_limits.h"
#include "marjorambay/coordination/zone_lending.h"
#include "marjorambay/state/error.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <unordered_set>
#include <variant>
#include <vector>

namespace marjorambay {

/// A target's properties that the arbiter uses.
struct TargetInfo {
  TargetId Id{};
  PoolId Pool{};
  ZoneId Zone{};
  VersionId Version{};
  /// Declared decode speed, used until the speed is measured.
  double TokensPerSecond = 1000;
  std::uint32_t MaxTokensInFlight = 0; ///< 0 if unlimited
  std::uint32_t MaxRequestsInFlight = 32;
  /// Limit on the expected prefill time of prompts already sent to the target:
  /// above it, the target gets no further request; 0 if unlimited.
  double MaxPrefillSeconds = 0;
  ///< goes to it below that only. 0: no bound
  bool Leaving = false;
  bool Evacuated = false;      ///< its zone is evacuated: no new requests
  IncarnationId Incarnation{}; ///< 0 if unknown
  /// Time since this incarnation was first listed; the maximum if it was in the
  /// first list that its reader got. Nothing if unknown: then a target is new
  /// if the arbiter has not had it in a list before.
  std::optional<Duration> ListedFor{};
};

// ---- Events -----------------------------------------------------------------

/// The complete list of the pool's targets; a target that is absent gets no new
/// requests.
struct TargetsChanged {
  std::vector<TargetInfo> Targets{};
};
/// Sets the weight of an account; accounts without one have weight 1.
struct AccountWeightChanged {
  AccountId Account{};
  double Weight = 1.0;
};
struct SlotRequested {
  Reservation Request{};
};
/// The caller disconnected or the origin cancelled the request. Unknown keys
/// are ignored.
struct SlotRequestCancelled {
  RequestKey Key{};
};
struct SlotReleased {
  RequestKey Key{};
  Usage Used{};
};
/// Number of tokens that a dispatched request has produced so far, which allows
/// a slow target to be detected before its requests end. Sent at most every 3
/// s.
struct SlotProgressed {
  RequestKey Key{};
  std::uint32_t OutputTokens = 0;
};
/// A target's own load report, which arrives with a delay.
struct LoadReported {
  TargetId Target{};
  Duration Age{}; ///< time since the target wrote it
  std::uint32_t RequestsInFlight = 0;
  std::uint32_t TokensInFlight = 0;
  std::uint32_t CacheTokensFree = 0;
};
/// First notice from any source that a target is leaving. It is permanent for
/// the same incarnation.
struct TargetLeaving {
  TargetId Target{};
  /// 0 if unknown; the notice then holds until the target is unlisted.
  IncarnationId Incarnation{};
};
/// A target refused a connection or responded "unavailable"; the arbiter backs
/// off from it.
struct TargetRefused {
  TargetId Target{};
  bool Unreachable = false; ///< it took no connection
};
/// A target has named a limit on its rate or is cold, or no longer.
struct TargetPaceChanged {
  TargetId Target{};
  std::optional<TargetPace> Pace{};
};
/// What the arbiter of a pool with a warm-up may assume, and for how long.
/// Until the first one, it assumes that its targets do not become cold.
struct PaceLeaseChanged {
  Duration Left{}; ///< it may grant requests to cold targets; see pace_lease.h
  /// Its host hears from the others, hence of targets that become cold. If not,
  /// a target that does not answer gets one request at a time.
  Duration InTouch{};
  /// Requests per second that a target gets if it has not answered for a
  /// moment, in which it may have restarted unnoticed; 0: any number.
  double UnconfirmedPerSecond = 0;
};
/// A connection was lost under a request without a slot, before its answer was
/// complete. Plain pools grant no slots to requests that are not suspected.
struct AttemptLost {
  std::vector<CrashKey> Keys{};
  TargetId Target{};
  Duration Age{}; ///< since the request was sent
  /// Since the same request was last sent and then answered; 0 if that is not
  /// known.
  Duration AnsweredAge{};
  /// Since the connection was lost, if another zone's arbiter passes the loss
  /// on; see Arbiter::takeLostAttempts().
  Duration LostAge{};
  bool PassedOn = false; ///< by another zone's arbiter
  bool Proven = false;   ///< the target was found to be gone
};
/// The answer to a request had its first event.
struct AnswerBegan {
  RequestKey Key{};
};
/// Requests with these keys were answered in another zone of the pool; see
/// Arbiter::takeAnsweredKeys().
struct CrashKeysAnswered {
  std::vector<CrashKey> Keys{};
};
/// Decisions of other hosts on keys under which targets crash.
struct CrashHoldsLearned {
  std::vector<CrashHold> Holds{};
};
/// A version was found faulty and gets no new requests, permanently.
struct VersionTripped {
  VersionId Version{};
};
/// Sets the share of new requests that may go to a version under rollout, 0 to
/// 1.
struct VersionShareChanged {
  VersionId Version{};
  double Share = 0;
};
/// The slots that an origin has in flight, reported to an arbiter that has just
/// taken over.
struct GrantsReported {
  HostId Origin{};
  IncarnationId OriginIncarnation{};
  std::vector<HeldGrant> Grants{};
};
/// An origin failed or restarted: its queued reservations are dropped, and its
/// slots are freed once their expected duration is over.
struct OriginLost {
  HostId Origin{};
  /// Last incarnation that is lost, with all earlier ones.
  IncarnationId LastIncarnation{};
};
/// Origins that must report before a new arbiter grants up to the full limits.
struct TakeoverStarted {
  std::vector<HostId> Origins{};
};
/// Sets the version that serves by default. Once it is set, any other version
/// gets requests only after VersionShareChanged named it, so that a new version
/// cannot receive requests before its cap, whatever the order of events.
struct ServingVersionChanged {
  VersionId Version{};
};
/// All requests for which an origin uses a slot. Other slots that were granted
/// to this incarnation of it more than \p Grace ago are freed: their release
/// was lost.
struct SlotsConfirmed {
  HostId Origin{};
  IncarnationId OriginIncarnation{};
  std::unordered_set<RequestId> ActiveRequests{};
  Duration Grace = milliseconds(500); ///< allows for grants still in transit
};
/// The aggregate of another zone's arbiter of the pool. \p Age: since it was
/// made, at least the time in transit.
struct ZoneAggregateReceived {
  ZoneAggregate Aggregate{};
  Duration Age{};
};
struct ArbiterTicked {};

using ArbiterEvent = std::variant<
    TargetsChanged, AccountWeightChanged, SlotRequested, SlotRequestCancelled,
    SlotReleased, SlotProgressed, LoadReported, TargetLeaving, TargetRefused,
    VersionTripped, VersionShareChanged, ServingVersionChanged, GrantsReported,
    OriginLost, TakeoverStarted, SlotsConfirmed, AttemptLost, TargetPaceChanged,
    AnswerBegan, CrashHoldsLearned, ArbiterTicked, ZoneAggregateReceived,
    CrashKeysAnswered, PaceLeaseChanged>;

// ---- Actions ----------------------------------------------------------------

struct GrantSlot {
  RequestKey Key{};
  TargetId Target{};
  /// Version that the request must name; 0 if the target has none.
  VersionId Version{};
  /// First events of answers are of interest; see AnswerBegan.
  bool WatchAnswers = false;
  /// The target is cold: the request is sent soon or not at all; see
  /// MaxColdGrantAge.
  bool IsPaced = false;
  /// An earlier message with the same grant was lost, so that the grant is
  /// older than this one.
  bool IsRepeated = false;
  /// Last heartbeat of the origin that the arbiter's host had received, as a
  /// bound on the age of the grant; 0 if unknown. Set by the host.
  std::uint64_t HeardSequence = 0;
};
/// The reservation is refused, and the caller gets an error at once.
struct RefuseSlot {
  RequestKey Key{};
  ErrorKind Kind = ErrorKind::Overloaded;
  Duration RetryAfter{};
};
/// Asks the origin to abort a running stream of a lower tier.
struct PreemptSlot {
  RequestKey Key{};
};
/// The request should reserve at the arbiter of \p Zone instead, with
/// Reservation::Redirected set and what is left of its times.
struct RedirectSlot {
  RequestKey Key{};
  ZoneId Zone{};
};

using ArbiterAction =
    std::variant<GrantSlot, RefuseSlot, PreemptSlot, RedirectSlot>;
using ArbiterActions = std::vector<ArbiterAction>;

/// A policy that grants the slots of one pool in one availability zone.
template <typename Policy>
concept SlotPolicy = requires(Policy P, const ArbiterEvent &Event,
                              TimePoint Now) {
  { P.step(Event, Now) } -> std::same_as<ArbiterActions>;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ARBITER_EVENTS_H
