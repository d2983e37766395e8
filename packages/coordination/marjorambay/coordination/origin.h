/// Events and actions of the origin: the entry host that owns a caller's
/// connection, and the only process that may dispatch that caller's request.
///
/// States: Received -> Queued -> Reserved -> Dispatched -> Streaming ->
/// Answered | Failed. Dispatched is entered before the first byte is written to
/// the target, and again only after an attempt that provably did not run.
#ifndef MARJORAMBAY_COORDINATION_ORIGIN_H
#define MARJORAMBAY_COORDINATION_ORIGIN_H

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/local_share.h"
#include "marjorambay/coordination/requests.h"
#include "marjorambay/coordination/retry_budget.h"
#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"
#include "marjorambay/state/random.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace marjorambay {

enum class RequestState : std::uint8_t {
  Received,   ///< accepted; its intent is being recorded, if it needs one
  Queued,     ///< its reservation is queued at the arbiter
  Reserved,   ///< a slot was granted
  Dispatched, ///< sent to the target; retried only if it provably did not run
  Streaming,  ///< the answer has started
  Answered,   ///< the caller received the complete answer
  Failed,     ///< the caller received an error
};
template <>
inline constexpr std::array NamesOf<RequestState> =
    std::to_array<std::string_view>({"received", "queued", "reserved",
                                     "dispatched", "streaming", "answered",
                                     "failed"});
static_assert(NamesOf<RequestState>.size() == 7);

/// 128-bit hash of a client account and an idempotency key.
struct KeyHash {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  // clang-tidy 14 reports compiler-generated names here.
  auto operator<=>(const KeyHash &) const = default; // NOLINT
};

} // namespace marjorambay

template <> struct std::hash<marjorambay::KeyHash> {
  std::size_t operator()(const marjorambay::KeyHash &Key) const noexcept {
    return static_cast<std::size_t>(Key.Low); // both halves are hashes
  }
};

namespace marjorambay {

// ---- Events -----------------------------------------------------------------

struct CallerRequested {
  RequestId Id{};
  RouteKind Kind = RouteKind::Completions;
  AccountId Account{};
  RouteId Route{};
  TierRank Tier{};
  PoolId Pool{};
  ModelId Model{};
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0; ///< 0 if not given
  std::uint64_t PrefixHash = 0;
  Duration TimeLeft{}; ///< time to the caller's deadline
  KeyHash Key{};       ///< idempotency key; set for non-idempotent calls only
  std::uint64_t BodyHash = 0; ///< set for non-idempotent calls only
  /// Every target of the pool deduplicates idempotency keys by itself, so that
  /// the call may run even if its intent cannot be recorded.
  bool TargetsDeduplicate = false;
};
/// The caller closed its connection. A non-idempotent call that was dispatched
/// continues without its caller so that its outcome is recorded; no action for
/// the caller follows.
struct CallerDisconnected {
  RequestId Id{};
};
struct SlotGranted {
  RequestId Id{};
  TargetId Target{};
  PoolId Pool{}; ///< pool to release the slot to if the request has ended
};
struct SlotRefused {
  RequestId Id{};
  ErrorKind Kind = ErrorKind::Overloaded;
  Duration RetryAfter{};
};
struct SlotPreempted {
  RequestId Id{};
};
/// The connection failed before any byte was sent, so the request provably did
/// not run.
struct DispatchNotSent {
  RequestId Id{};
  std::uint32_t Attempt = 0; ///< attempt of the failed Dispatch; 0 if unknown
};
/// The target refused the request before running it: status 503 with "Not-Run:
/// true", or 429.
struct TargetDeclined {
  RequestId Id{};
  Duration RetryAfter{};
  bool Leaving = false;      ///< the target reported that it is shutting down
  std::uint32_t Attempt = 0; ///< attempt of the declined Dispatch; 0 if unknown
};
/// Part of an answer arrived. Tokens counts the stream events with text.
struct AnswerProgressed {
  RequestId Id{};
  std::uint32_t Tokens = 0;
  /// Attempt of the Dispatch that this answers; 0 if unknown.
  std::uint32_t Attempt = 0;
};
/// The answer is complete: its full length, last chunk or done marker arrived.
struct AnswerCompleted {
  RequestId Id{};
  int HttpStatus = 200;
  std::uint32_t PromptTokens = 0; ///< as counted by the target; 0 if unknown
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
  /// Attempt of the Dispatch that this answers; 0 if unknown.
  std::uint32_t Attempt = 0;
};
/// The connection was lost, or the stream ended without its done marker.
struct AnswerInterrupted {
  RequestId Id{};
  /// Attempt of the Dispatch that this answers; 0 if unknown.
  std::uint32_t Attempt = 0;
};
/// Decision of the intent log on the key of a non-idempotent call.
enum class IntentDecision : std::uint8_t {
  Fresh,   ///< the key is recorded for this request alone, which may dispatch
  Applied, ///< an earlier request with the key ran, and its outcome is known
  /// An earlier request with the key may be running, or its outcome is unknown.
  InProgress,
  BodyDiffers, ///< the key was used with a different body
  /// The platform is unreachable, and no record could be confirmed.
  Unavailable,
};
struct IntentDecided {
  RequestId Id{};
  IntentDecision Decision = IntentDecision::Unavailable;
  /// HTTP status of the recorded outcome; set for Applied only.
  int AppliedStatus = 0;
};
/// The arbiter of a pool changed or became unreachable. Queued reservations are
/// sent to the new one.
struct ArbiterChanged {
  PoolId Pool{};
  bool Reachable = true;
};
/// A pool's targets as last known, for use while no arbiter is reachable. Sent
/// every second even without a change: a host that was frozen must not dispatch
/// by an outdated list, which may contain targets that have left.
struct LocalTargetsChanged {
  PoolId Pool{};
  std::vector<TargetInfo> Targets{};
  /// Live entry hosts in the zone that share the targets.
  std::uint32_t HostsInZone = 1;
};
/// Defaults of the current configuration, applied to later requests.
struct DefaultsChanged {
  Duration MaxDeadline = minutes(30);
  Duration DispatchTimeout = seconds(30);
  std::uint32_t DefaultOutputTokens = 256;
  /// Retries of an account as a fraction of its requests.
  double RetryRatio = 0.1;
  Duration Retention = hours(1); ///< retention of idempotency keys
};
/// Limit on the requests that one account may have queued at this host.
struct AccountLimitChanged {
  AccountId Account{};
  std::uint32_t MaxQueued = 1000;
};
/// A timer tick, sent at least every 10 ms while wakeAt() is due.
struct OriginTicked {};
/// The host stops accepting new requests and finishes those in progress.
struct DrainStarted {};

using OriginEvent =
    std::variant<CallerRequested, CallerDisconnected, SlotGranted, SlotRefused,
                 SlotPreempted, DispatchNotSent, TargetDeclined,
                 AnswerProgressed, AnswerCompleted, AnswerInterrupted,
                 IntentDecided, ArbiterChanged, LocalTargetsChanged,
                 AccountLimitChanged, DefaultsChanged, OriginTicked,
                 DrainStarted>;

// ---- Actions ----------------------------------------------------------------

/// Sends a reservation to the pool's arbiter.
struct RequestSlot {
  Reservation Request{};
};
struct CancelSlotRequest {
  PoolId Pool{};
  RequestId Id{};
};
struct ReleaseSlot {
  PoolId Pool{};
  RequestId Id{};
  TargetId Target{};
  Usage Used{};
};
/// Records the intent to run a non-idempotent call before it is dispatched.
struct RecordIntent {
  RequestId Id{};
  KeyHash Key{};
  std::uint64_t BodyHash = 0;
  Duration TimeLeft{};
};
/// Records the outcome of a non-idempotent call. Released means that it
/// provably did not run and that the key is free.
struct RecordOutcome {
  RequestId Id{};
  KeyHash Key{};
  bool Released = false;
  int HttpStatus = 0; ///< 0 if unknown
};
/// Opens a connection and sends the request. Emitted again for the same request
/// only after DispatchNotSent or TargetDeclined, so that at most one attempt
/// may run.
struct Dispatch {
  RequestId Id{};
  TargetId Target{};
  std::uint32_t Attempt = 1; ///< repeated in every event about this attempt
  /// After this time the first byte must not be sent, and DispatchNotSent is
  /// reported instead: a process that was frozen may resume after the retention
  /// of its idempotency key has passed.
  TimePoint NotAfter{};
};
/// Reports the progress of a dispatched request to the arbiter, at most every 3
/// s.
struct ReportProgress {
  PoolId Pool{};
  RequestId Id{};
  std::uint32_t OutputTokens = 0;
};
/// Closes the stream from the target; no further part of it is forwarded.
struct CancelDispatch {
  RequestId Id{};
};
/// Sends the caller its final error.
struct FailRequest {
  RequestId Id{};
  Error Reason{};
  MayHaveRun Ran = MayHaveRun::No;
};
/// Ends the caller's answer, which is complete.
struct CompleteRequest {
  RequestId Id{};
};
/// Sends the caller the recorded outcome of an earlier request with the same
/// key.
struct ReplayOutcome {
  RequestId Id{};
  int HttpStatus = 0;
};
/// Reports to the arbiter and other hosts that a target is leaving or
/// unavailable.
struct ReportTargetUnavailable {
  TargetId Target{};
  bool Leaving = false;
};

using OriginAction =
    std::variant<RequestSlot, CancelSlotRequest, ReleaseSlot, RecordIntent,
                 RecordOutcome, Dispatch, CancelDispatch, FailRequest,
                 CompleteRequest, ReplayOutcome, ReportTargetUnavailable,
                 ReportProgress>;
using OriginActions = std::vector<OriginAction>;

// ---- State machine ----------------------------------------------------------

struct OriginSettings {
  HostId Self{};
  IncarnationId Incarnation{};
  Duration MaxDeadline = minutes(30); ///< longer deadlines are reduced to this
  /// Time without data from a target after which the request fails.
  Duration DispatchTimeout = seconds(30);
  /// Delay of the first resend; doubles each time.
  Duration ReservationResendDelay = seconds(1);
  /// Delay before attempt 2; doubles each time.
  Duration RetryDelay = milliseconds(10);
  /// Retry-After if no better estimate is known.
  Duration DefaultRetryAfter = seconds(1);
  /// Maximum age of LocalTargetsChanged.
  Duration LocalTargetsMaxAge = seconds(3);
  Duration Retention = hours(1); ///< retention of idempotency keys
  std::uint32_t MaxQueuedPerAccount = 1000;
  /// Estimate until an answer was measured.
  std::uint32_t DefaultOutputTokens = 256;
  /// Dispatches of a request, of which at most one may run.
  std::uint32_t MaxAttempts = 4;
  RetryBudgetSettings Retries{};
};

/// State of one request, as shown by inspect.
struct RequestView {
  RequestId Id{};
  RequestState State = RequestState::Received;
  AccountId Account{};
  TierRank Tier{};
  PoolId Pool{};
  TargetId Target{};
  std::uint32_t Attempt = 0;
  Duration TimeLeft{};
};

/// State machine for the requests of the callers connected to this entry host.
class Origin {
public:
  /// \p Random adds jitter to retry delays.
  template <RandomSource Source>
  Origin(const OriginSettings &Settings, Source Random)
      : Settings(Settings),
        Jitter([Random]() mutable { return drawFraction(Random); }) {}

  OriginActions step(const OriginEvent &Event, TimePoint Now);

  /// Returns the number of requests in progress, including those whose caller
  /// has disconnected.
  std::size_t size() const { return Requests.size(); }
  /// Returns whether no request is in progress, so that a draining host may
  /// stop.
  bool idle() const { return Requests.empty(); }
  bool draining() const { return Draining; }
  /// Returns when the next OriginTicked is needed; TimePoint::max() if none is.
  TimePoint wakeAt() const;
  std::vector<RequestView> requests(TimePoint Now) const;
  /// Returns the slots of \p Pool that dispatched requests use, to be reported
  /// to a new arbiter.
  std::vector<HeldGrant> heldGrants(PoolId Pool, TimePoint Now) const;
  /// Returns the number of requests of \p Pool that wait for a slot.
  std::size_t queued(PoolId Pool) const;

private:
  struct Request {
    CallerRequested Call{};
    RequestState State = RequestState::Received;
    TargetId Target{};
    std::uint32_t Attempt = 0;
    std::uint32_t Resends = 0;
    std::uint32_t OutputTokens = 0;
    bool CallerGone = false;
    bool FromLocalShare = false;
    /// The key is recorded for this request, or may be.
    bool MayOwnKey = false;
    TimePoint Deadline{};
    /// Next send of the reservation, while Queued.
    TimePoint SendSlotRequestAt{};
    TimePoint DispatchedAt{};
    TimePoint FirstTokenAt{};
    TimePoint LastDataAt{}; ///< when the last data from the target arrived
    TimePoint ProgressReportedAt{}; ///< time of the last ReportProgress
    TimePoint WakeAt{};             ///< the entry of Wakes that is valid
  };
  struct PoolState {
    bool ArbiterReachable = true;
    LocalShare Share{};
    TimePoint ShareUpdatedAt{}; ///< when the targets of Share were last updated
  };
  struct Account {
    std::uint32_t Queued = 0;
    std::uint32_t MaxQueued = 0; ///< 0 for the default
    RetryBudget Retries{};
  };
  /// Timer of a request; stale unless At equals Request::WakeAt.
  struct Wake {
    TimePoint At{};
    RequestId Id{};
    bool operator<(const Wake &Other) const { return At > Other.At; }
  };

  void on(const CallerRequested &Event);
  void on(const CallerDisconnected &Event);
  void on(const SlotGranted &Event);
  void on(const SlotRefused &Event);
  void on(const SlotPreempted &Event);
  void on(const DispatchNotSent &Event);
  void on(const TargetDeclined &Event);
  void on(const AnswerProgressed &Event);
  void on(const AnswerCompleted &Event);
  void on(const AnswerInterrupted &Event);
  void on(const IntentDecided &Event);
  void on(const ArbiterChanged &Event);
  void on(const LocalTargetsChanged &Event);
  void on(const AccountLimitChanged &Event);
  void on(const DefaultsChanged &Event);
  void on(const OriginTicked &Event);
  void on(const DrainStarted &Event);

  Request *find(RequestId Id);
  Request *findDispatched(RequestId Id, std::uint32_t Attempt);
  bool hasQueueSpace(const CallerRequested &Call);
  void refuse(RequestId Id, ErrorKind Kind);
  void enqueue(Request &Req);
  void sendSlotRequest(Request &Req);
  void rejectGrant(Request &Req, TargetId Target);
  void dispatch(Request &Req, TargetId Target);
  void retry(Request &Req, Duration Wait);
  void releaseKey(const Request &Req);
  void releaseSlot(Request &Req, DispatchOutcome Outcome);
  void recordOutcome(const Request &Req, int HttpStatus);
  void failUndispatched(Request &Req, ErrorKind Kind, Duration RetryAfter);
  void failDispatched(Request &Req, ErrorKind Kind, DispatchOutcome Outcome);
  void finish(RequestId Id);
  void leaveQueue(Request &Req);
  void serveFromLocalShare(PoolId Pool);
  void handleTimer(Request &Req);
  void schedule(Request &Req);
  void expireReleasedKeys();
  Reservation reservationOf(const Request &Req, TimePoint At) const;
  std::uint32_t expectedOutput(const CallerRequested &Call) const;
  void recordOutputLength(const CallerRequested &Call, std::uint32_t Tokens);

  OriginSettings Settings;
  std::function<double()> Jitter; ///< returns a random number in [0, 1)
  std::unordered_map<RequestId, Request> Requests{};
  std::map<PoolId, PoolState> Pools{};
  std::unordered_map<AccountId, Account> Accounts{};
  std::unordered_map<std::uint64_t, double> OutputLengths{};
  /// Keys of requests that ended undispatched while their intent was being
  /// recorded. If the intent log answers Fresh later, the key is released
  /// again.
  std::unordered_map<RequestId, KeyHash> ReleasedKeys{};
  std::vector<std::pair<TimePoint, RequestId>> ReleasedKeyExpiries{};
  std::vector<Wake> Wakes{}; ///< binary heap, earliest first
  bool Draining = false;
  // State of the current step.
  OriginActions Actions{};
  TimePoint Now{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ORIGIN_H
