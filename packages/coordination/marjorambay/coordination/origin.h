/// Events and actions of the origin: the entry host that holds a caller's
/// connection, and the only process that may dispatch that caller's request.
///
/// States: Received -> Queued -> Reserved -> Dispatched -> Streaming ->
/// Answered | Failed. Dispatched is entered once, before the first byte is
/// written to the target.
#ifndef MARJORAMBAY_COORDINATION_ORIGIN_H
#define MARJORAMBAY_COORDINATION_ORIGIN_H

#include "marjorambay/coordination/requests.h"
#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"

#include <array>
#include <cstdint>
#include <string_view>
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
  auto operator<=>(const KeyHash &) const = default;
};

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
};
struct CallerLeft {
  RequestId Id{};
};
struct SlotGranted {
  RequestId Id{};
  TargetId Target{};
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
};
/// The target refused before running: status 503 with "Not-Run: true", or 429.
struct TargetDeclined {
  RequestId Id{};
  Duration RetryAfter{};
  bool Leaving = false; ///< the target said that it is shutting down
};
/// Bytes of an answer arrived; Tokens counts stream events with text.
struct AnswerProgressed {
  RequestId Id{};
  std::uint32_t Tokens = 0;
};
/// The answer is whole: its length, last chunk or done mark was seen.
struct AnswerCompleted {
  RequestId Id{};
  int HttpStatus = 200;
  std::uint32_t PromptTokens = 0; ///< as the target counted; 0: not told
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
};
/// The connection broke, or the stream ended without its done mark.
struct AnswerBroken {
  RequestId Id{};
};
/// What the intent record says of a OnceCall's key.
enum class IntentVerdict : std::uint8_t {
  Fresh,       ///< recorded for this request, and no other: it may dispatch
  Applied,     ///< an earlier request has run; its outcome is known
  InProgress,  ///< an earlier request may be running, or its outcome is lost
  BodyDiffers, ///< the key was used with another body
  Unavailable, ///< the platform can't be reached; nothing was recorded
};
struct IntentSettled {
  RequestId Id{};
  IntentVerdict Verdict = IntentVerdict::Unavailable;
  int AppliedStatus = 0; ///< HTTP status of the recorded outcome
};
/// The arbiter of a pool changed or was lost: reservations are sent again.
struct ArbiterMoved {
  PoolId Pool{};
  bool Reachable = true;
};
struct OriginTicked {};
/// Stop taking new requests, finish those in progress.
struct DrainStarted {};

using OriginEvent =
    std::variant<CallerRequested, CallerLeft, SlotGranted, SlotRefused,
                 SlotPreempted, DispatchNotSent, TargetDeclined,
                 AnswerProgressed, AnswerCompleted, AnswerBroken, IntentSettled,
                 ArbiterMoved, OriginTicked, DrainStarted>;

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
};
/// Closes the target's stream; no more of it reaches any caller.
struct CancelDispatch {
  RequestId Id{};
};
/// Gives the caller its final error, at once.
struct FailCaller {
  RequestId Id{};
  Error Reason{};
  MayHaveRun Ran = MayHaveRun::No;
};
/// Ends the caller's answer, which is whole.
struct FinishCaller {
  RequestId Id{};
};
/// Gives the caller the recorded outcome of an earlier request with its key.
struct ReplayOutcome {
  RequestId Id{};
  int HttpStatus = 0;
};
/// A sign that a target leaves or is unavailable, for all parts that care.
struct ReportTargetSign {
  TargetId Target{};
  bool Leaving = false;
};

using OriginAction =
    std::variant<RequestSlot, CancelSlotRequest, ReleaseSlot, RecordIntent,
                 RecordOutcome, Dispatch, CancelDispatch, FailCaller,
                 FinishCaller, ReplayOutcome, ReportTargetSign>;
using OriginActions = std::vector<OriginAction>;

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ORIGIN_H
