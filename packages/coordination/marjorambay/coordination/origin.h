/// Events and actions of the origin: the entry host that holds a caller's
/// connection, and the only process that may dispatch that caller's request.
///
/// States: Received -> Queued -> Reserved -> Dispatched -> Streaming ->
/// Answered | Failed. Dispatched is entered once, before the first byte is
/// written to the target.
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
  Received,   ///< accepted; an intent is being recorded, if it needs one
  Queued,     ///< a reservation waits at the arbiter
  Reserved,   ///< a slot was granted
  Dispatched, ///< about to write to the target; never tried again from here
  Streaming,  ///< the answer has begun
  Answered,   ///< the caller got the whole answer
  Failed,     ///< the caller got an error
};
template <>
inline constexpr std::array NamesOf<RequestState> =
    std::to_array<std::string_view>({"received", "queued", "reserved",
                                     "dispatched", "streaming", "answered",
                                     "failed"});
static_assert(NamesOf<RequestState>.size() == 7);

/// 128 bits that name an idempotency key within its client account.
struct KeyHash {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  // clang-tidy 14 reports the names that the compiler invents here.
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
  std::uint32_t MaxOutputTokens = 0; ///< 0: not given
  std::uint64_t PrefixHash = 0;
  Duration TimeLeft{};        ///< to the caller's deadline
  KeyHash Key{};              ///< of OnceCall requests
  std::uint64_t BodyHash = 0; ///< of OnceCall requests
  /// Every target of the pool applies an idempotency key once by itself, so
  /// that the call may run although its intent can't be recorded.
  bool TargetsDeduplicate = false;
};
/// A OnceCall that was dispatched goes on without its caller, so that its
/// outcome gets recorded; no action for the caller follows.
struct CallerDisconnected {
  RequestId Id{};
};
struct SlotGranted {
  RequestId Id{};
  TargetId Target{};
  PoolId Pool{}; ///< to release the slot when the request is gone
};
struct SlotRefused {
  RequestId Id{};
  ErrorKind Kind = ErrorKind::Overloaded;
  Duration RetryAfter{};
};
struct SlotPreempted {
  RequestId Id{};
};
/// No byte had left when the connection failed: provably not run.
struct DispatchNotSent {
  RequestId Id{};
  std::uint32_t Attempt = 0; ///< of the Dispatch that failed; 0: not told
};
/// The target refused before running: status 503 with "Not-Run: true", or 429.
struct TargetDeclined {
  RequestId Id{};
  Duration RetryAfter{};
  bool Leaving = false;      ///< the target said that it is shutting down
  std::uint32_t Attempt = 0; ///< of the Dispatch that was declined; 0: not told
};
/// Bytes of an answer arrived; Tokens counts stream events with text.
struct AnswerProgressed {
  RequestId Id{};
  std::uint32_t Tokens = 0;
  std::uint32_t Attempt = 0; ///< of the Dispatch it answers; 0: not told
};
/// The answer is whole: its length, last chunk or done mark was seen.
struct AnswerCompleted {
  RequestId Id{};
  int HttpStatus = 200;
  std::uint32_t PromptTokens = 0; ///< as the target counted; 0: not told
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
  std::uint32_t Attempt = 0; ///< of the Dispatch it answers; 0: not told
};
/// The connection broke, or the stream ended without its done mark.
struct AnswerInterrupted {
  RequestId Id{};
  std::uint32_t Attempt = 0; ///< of the Dispatch it answers; 0: not told
};
/// What the intent record says of a OnceCall's key.
enum class IntentDecision : std::uint8_t {
  Fresh,       ///< recorded for this request, and no other: it may dispatch
  Applied,     ///< an earlier request has run; its outcome is known
  InProgress,  ///< an earlier request may be running, or its outcome is lost
  BodyDiffers, ///< the key was used with another body
  Unavailable, ///< the platform can't be reached; nothing was recorded
};
struct IntentDecided {
  RequestId Id{};
  IntentDecision Decision = IntentDecision::Unavailable;
  int AppliedStatus = 0; ///< HTTP status of the recorded outcome
};
/// The arbiter of a pool changed or was lost: reservations are sent again.
struct ArbiterChanged {
  PoolId Pool{};
  bool Reachable = true;
};
/// A pool's targets as last known, for the time without an arbiter. Sent every
/// second also without a change: a host that was frozen must not dispatch by a
/// list from before, which may hold targets that have left.
struct LocalTargetsChanged {
  PoolId Pool{};
  std::vector<TargetInfo> Targets{};
  std::uint32_t HostsInZone = 1; ///< live entry hosts that share the targets
};
/// Defaults of the configuration in force here; for requests that come after.
struct DefaultsChanged {
  Duration MaxDeadline = minutes(30);
  Duration DispatchTimeout = seconds(30);
  std::uint32_t DefaultOutputTokens = 256;
  double RetryRatio = 0.1;       ///< retries of an account, of its requests
  Duration Retention = hours(1); ///< of idempotency keys
};
/// Limit of requests that one account may have waiting at this host.
struct AccountLimitChanged {
  AccountId Account{};
  std::uint32_t MaxQueued = 1000;
};
/// Time passed; sent at least every 10 ms while wakeAt() is due.
struct OriginTicked {};
/// Stop taking new requests, finish those in progress.
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
/// Records the intent to run a OnceCall, before it is dispatched.
struct RecordIntent {
  RequestId Id{};
  KeyHash Key{};
  std::uint64_t BodyHash = 0;
  Duration TimeLeft{};
};
/// Records how a OnceCall ended. Released: provably not run, the key is free.
struct RecordOutcome {
  RequestId Id{};
  KeyHash Key{};
  bool Released = false;
  int HttpStatus = 0; ///< 0: unknown
};
/// Opens a connection and writes the request. Emitted at most once after which
/// a byte may have left; again only after DispatchNotSent or TargetDeclined.
struct Dispatch {
  RequestId Id{};
  TargetId Target{};
  std::uint32_t Attempt = 1; ///< given back with every event about it
  /// The first byte must not be written later, but DispatchNotSent reported: a
  /// process that was frozen may wake after its idempotency key was forgotten.
  TimePoint NotAfter{};
};
/// Tells the arbiter how far a dispatched request is; at most once a second.
struct ReportProgress {
  PoolId Pool{};
  RequestId Id{};
  std::uint32_t OutputTokens = 0;
};
/// Closes the target's stream; no more of it reaches any caller.
struct CancelDispatch {
  RequestId Id{};
};
/// Gives the caller its final error, at once.
struct FailRequest {
  RequestId Id{};
  Error Reason{};
  MayHaveRun Ran = MayHaveRun::No;
};
/// Ends the caller's answer, which is whole.
struct CompleteRequest {
  RequestId Id{};
};
/// Gives the caller the recorded outcome of an earlier request with its key.
struct ReplayOutcome {
  RequestId Id{};
  int HttpStatus = 0;
};
/// A sign that a target leaves or is unavailable, for all parts that care.
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
  Duration MaxDeadline = minutes(30);     ///< longer ones are cut to this
  Duration DispatchTimeout = seconds(30); ///< silence of a target before a cut
  Duration ReservationResendDelay =
      seconds(1);                         ///< first wait; doubles each time
  Duration RetryDelay = milliseconds(10); ///< before attempt 2; doubles
  Duration RetryAfterDefault =
      seconds(1); ///< told when nothing better is known
  Duration LocalTargetsFresh = seconds(3); ///< age of LocalTargetsChanged
  Duration Retention = hours(1);           ///< of idempotency keys
  std::uint32_t MaxQueuedPerAccount = 1000;
  std::uint32_t DefaultOutputTokens = 256; ///< guess before any is learned
  std::uint32_t MaxAttempts = 4;           ///< dispatches, all but one not run
  RetryBudgetSettings Retries{};
};

/// What inspect shows of one request.
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

/// Holds the requests of the callers that are connected to this entry host.
class Origin {
public:
  /// \p Random spreads retries over time.
  template <RandomSource Source>
  Origin(const OriginSettings &Settings, Source Random)
      : Settings(Settings),
        Jitter([Random]() mutable { return drawFraction(Random); }) {}

  OriginActions step(const OriginEvent &Event, TimePoint Now);

  /// Requests in progress, those without a caller included.
  std::size_t size() const { return Requests.size(); }
  /// No request is in progress; a draining host may stop.
  bool idle() const { return Requests.empty(); }
  bool draining() const { return Draining; }
  /// When OriginTicked is needed next; TimePoint::max() for never.
  TimePoint wakeAt() const;
  std::vector<RequestView> requests(TimePoint Now) const;
  /// Slots of \p Pool that dispatched requests hold, for a new arbiter.
  std::vector<HeldGrant> heldGrants(PoolId Pool, TimePoint Now) const;
  /// Requests of \p Pool that wait for a slot.
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
    bool IntentHeld = false; ///< the key is recorded, or may be
    TimePoint Deadline{};
    TimePoint SendSlotRequestAt{}; ///< while Queued
    TimePoint DispatchedAt{};
    TimePoint FirstTokenAt{};
    TimePoint HeardAt{};        ///< last byte of the target
    TimePoint ProgressToldAt{}; ///< last ReportProgress
    TimePoint WakeAt{};         ///< entry of Wakes that counts
  };
  struct PoolState {
    bool ArbiterReachable = true;
    LocalShare Share{};
    TimePoint ShareAt{}; ///< when its targets were last told
  };
  struct Account {
    std::uint32_t Queued = 0;
    std::uint32_t MaxQueued = 0; ///< 0: the default
    RetryBudget Retries{};
  };
  /// Time when a request needs a look; stale unless it equals Request::WakeAt.
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
  bool hasRoom(const CallerRequested &Call);
  void refuse(RequestId Id, ErrorKind Kind);
  void enqueue(Request &Held);
  void sendSlotRequest(Request &Held);
  void returnGrant(Request &Held, TargetId Target);
  void dispatch(Request &Held, TargetId Target);
  void retry(Request &Held, Duration Wait);
  void abandonIntent(const Request &Held);
  void giveBackSlot(Request &Held, DispatchOutcome End);
  void recordOutcome(const Request &Held, int HttpStatus);
  void failWaiting(Request &Held, ErrorKind Kind, Duration RetryAfter);
  void failDispatched(Request &Held, ErrorKind Kind, DispatchOutcome End);
  void finish(RequestId Id);
  void leaveQueue(Request &Held);
  void serveFromLocalShare(PoolId Pool);
  void wake(Request &Held);
  void schedule(Request &Held);
  void forgetAbandoned();
  Reservation reservationOf(const Request &Held, TimePoint At) const;
  std::uint32_t expectedOutput(const CallerRequested &Call) const;
  void learnOutput(const CallerRequested &Call, std::uint32_t Tokens);

  OriginSettings Settings;
  std::function<double()> Jitter; ///< draws from [0, 1)
  std::unordered_map<RequestId, Request> Requests{};
  std::map<PoolId, PoolState> Pools{};
  std::unordered_map<AccountId, Account> Accounts{};
  std::unordered_map<std::uint64_t, double> LearnedOutput{};
  /// Keys of requests that ended before any dispatch while their intent was
  /// being recorded: a late Fresh releases the key.
  std::unordered_map<RequestId, KeyHash> Abandoned{};
  std::vector<std::pair<TimePoint, RequestId>> AbandonedUntil{};
  std::vector<Wake> Wakes{}; ///< binary heap, earliest first
  bool Draining = false;
  // Of the step that runs.
  OriginActions Actions{};
  TimePoint Now{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ORIGIN_H
