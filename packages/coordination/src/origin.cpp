/// The origin's state machine: one caller's request, dispatched at most once.
#include "marjorambay/coordination/origin.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

constexpr Duration ProgressInterval = seconds(3);
constexpr Duration MaxReservationResend = seconds(16);
/// How long a late answer of the intent log is still processed.
constexpr Duration ReleasedKeyRetention = minutes(2);
constexpr double OutputLearningRate = 0.1;
/// Limit on the stored (account, route, model) triples; each takes 24 bytes and
/// a hash table node.
constexpr std::size_t MaxOutputLengths = 50000;

bool undispatched(RequestState State) {
  return State == RequestState::Received || State == RequestState::Queued;
}

bool dispatched(RequestState State) {
  return State == RequestState::Dispatched || State == RequestState::Streaming;
}

bool isNonIdempotent(const CallerRequested &Call) {
  return Call.Kind == RouteKind::NonIdempotentCall;
}

std::uint64_t outputClass(const CallerRequested &Call) {
  return number(Call.Account) ^ (number(Call.Route) * 31) ^
         (number(Call.Model) * 0x9E3779B97F4A7C15);
}

} // namespace

OriginActions Origin::step(const OriginEvent &Event, TimePoint At) {
  Now = At;
  Actions.clear();
  std::visit([this](const auto &Typed) { on(Typed); }, Event);
  return std::exchange(Actions, {});
}

// ---- Lookup -----------------------------------------------------------------

Origin::Request *Origin::find(RequestId Id) {
  const auto Found = Requests.find(Id);
  return Found == Requests.end() ? nullptr : &Found->second;
}

/// Returns the dispatched request if \p Attempt is its current attempt or 0. A
/// late or duplicate event of an earlier attempt must not affect the current
/// one.
Origin::Request *Origin::findDispatched(RequestId Id, std::uint32_t Attempt) {
  Request *Req = find(Id);
  if (!Req || !dispatched(Req->State))
    return nullptr;
  if (Attempt != 0 && Attempt != Req->Attempt)
    return nullptr;
  return Req;
}

TimePoint Origin::wakeAt() const {
  return Wakes.empty() ? TimePoint::max() : Wakes.front().At;
}

std::vector<RequestView> Origin::requests(TimePoint At) const {
  std::vector<RequestView> Views;
  Views.reserve(Requests.size());
  for (const auto &[Id, Req] : Requests)
    Views.push_back({Id, Req.State, Req.Call.Account, Req.Call.Tier,
                     Req.Call.Pool, Req.Target, Req.Attempt,
                     Req.Deadline - At});
  std::sort(Views.begin(), Views.end(),
            [](const auto &A, const auto &B) { return A.Id < B.Id; });
  return Views;
}

std::vector<HeldGrant> Origin::heldGrants(PoolId Pool, TimePoint At) const {
  std::vector<HeldGrant> Grants;
  for (const auto &[Id, Req] : Requests)
    if (Req.Call.Pool == Pool && dispatched(Req.State))
      Grants.push_back({reservationOf(Req, At), Req.Target});
  return Grants;
}

std::size_t Origin::queued(PoolId Pool) const {
  return static_cast<std::size_t>(
      std::count_if(Requests.begin(), Requests.end(), [&](const auto &Entry) {
        return Entry.second.Call.Pool == Pool &&
               Entry.second.State == RequestState::Queued;
      }));
}

// ---- Arrival ----------------------------------------------------------------

void Origin::on(const CallerRequested &Call) {
  if (Requests.contains(Call.Id))
    return;
  if (Draining)
    return refuse(Call.Id, ErrorKind::ShuttingDown);
  if (Call.TimeLeft <= Duration(0))
    return refuse(Call.Id, ErrorKind::DeadlinePassed);
  if (!hasQueueSpace(Call))
    return refuse(Call.Id, ErrorKind::AccountQueueFull);
  Accounts[Call.Account].Retries.deposit();
  ++Accounts[Call.Account].Queued;
  Request &Req = Requests[Call.Id];
  Req.Call = Call;
  Duration MaxTime = Settings.MaxDeadline;
  if (isNonIdempotent(Call))
    MaxTime = std::min(MaxTime, Settings.Retention / 2);
  Req.Deadline = Now + std::min(Call.TimeLeft, MaxTime);
  if (!isNonIdempotent(Call))
    return enqueue(Req);
  Req.MayOwnKey = true;
  Actions.push_back(
      RecordIntent{Call.Id, Call.Key, Call.BodyHash, Req.Deadline - Now});
  schedule(Req);
}

bool Origin::hasQueueSpace(const CallerRequested &Call) {
  auto [Entry, New] = Accounts.try_emplace(Call.Account);
  if (New)
    Entry->second.Retries = RetryBudget(Settings.Retries);
  const std::uint32_t Limit = Entry->second.MaxQueued != 0
                                  ? Entry->second.MaxQueued
                                  : Settings.MaxQueuedPerAccount;
  return Entry->second.Queued < Limit;
}

void Origin::refuse(RequestId Id, ErrorKind Kind) {
  const bool Retryable = traitsOf(Kind).Retry == RetryAdvice::AfterWait;
  Actions.push_back(FailRequest{
      Id,
      {Kind, {}, Retryable ? Settings.DefaultRetryAfter : Duration(0)},
      MayHaveRun::No});
}

void Origin::on(const IntentDecided &Event) {
  Request *Req = find(Event.Id);
  if (!Req || Req->State != RequestState::Received) {
    // A key may be released only for a request that was never dispatched.
    const auto Released = ReleasedKeys.find(Event.Id);
    if (Released != ReleasedKeys.end() &&
        Event.Decision == IntentDecision::Fresh)
      Actions.push_back(RecordOutcome{Event.Id, Released->second, true, 0});
    return;
  }
  switch (Event.Decision) {
  case IntentDecision::Fresh:
    return enqueue(*Req);
  case IntentDecision::Applied:
  case IntentDecision::InProgress:
  case IntentDecision::BodyDiffers:
    Req->MayOwnKey = false; // the key belongs to an earlier request
    break;
  case IntentDecision::Unavailable:
    if (Req->Call.TargetsDeduplicate)
      return enqueue(*Req);
    return failUndispatched(*Req, ErrorKind::PlatformUnavailable, Duration(0));
  }
  if (Event.Decision == IntentDecision::BodyDiffers)
    return failUndispatched(*Req, ErrorKind::IdempotencyKeyReused, Duration(0));
  if (Event.Decision == IntentDecision::Applied && Event.AppliedStatus != 0) {
    Actions.push_back(ReplayOutcome{Event.Id, Event.AppliedStatus});
    return finish(Event.Id);
  }
  // This request did not run, but the earlier one with the same key may have.
  Actions.push_back(FailRequest{
      Event.Id, {ErrorKind::OutcomeUnknown, {}, {}}, MayHaveRun::Maybe});
  finish(Event.Id);
}

void Origin::enqueue(Request &Req) {
  Req.State = RequestState::Queued;
  Req.Resends = 0;
  const PoolState &Pool = Pools[Req.Call.Pool];
  if (Pool.ArbiterReachable) {
    sendSlotRequest(Req);
    return schedule(Req);
  }
  Req.SendSlotRequestAt = TimePoint::max();
  schedule(Req);
  serveFromLocalShare(Req.Call.Pool);
}

void Origin::sendSlotRequest(Request &Req) {
  Actions.push_back(RequestSlot{reservationOf(Req, Now)});
  const Duration Wait = std::min<Duration>(
      Settings.ReservationResendDelay * (1 << std::min(Req.Resends, 10U)),
      MaxReservationResend);
  ++Req.Resends;
  Req.SendSlotRequestAt = Now + Wait;
}

Reservation Origin::reservationOf(const Request &Req, TimePoint At) const {
  Reservation Sent;
  Sent.Key = {Settings.Self, Settings.Incarnation, Req.Call.Id};
  Sent.Account = Req.Call.Account;
  Sent.Tier = Req.Call.Tier;
  Sent.Pool = Req.Call.Pool;
  Sent.Route = Req.Call.Route;
  Sent.Model = Req.Call.Model;
  Sent.Cost = {Req.Call.PromptTokens, expectedOutput(Req.Call)};
  Sent.PrefixHash = Req.Call.PrefixHash;
  Sent.Remaining = Req.Deadline - At;
  return Sent;
}

// ---- Slots ------------------------------------------------------------------

void Origin::on(const SlotGranted &Event) {
  Request *Req = find(Event.Id);
  // Duplicate message: the slot is in use and must not be released.
  if (Req && dispatched(Req->State) && Req->Target == Event.Target)
    return;
  if (!Req || Req->State != RequestState::Queued) {
    const PoolId Pool = Req ? Req->Call.Pool : Event.Pool;
    Actions.push_back(
        ReleaseSlot{Pool, Event.Id, Event.Target, {DispatchOutcome::NotRun}});
    return;
  }
  if (Pools[Req->Call.Pool].Share.leaving(Event.Target))
    return rejectGrant(*Req, Event.Target);
  if (Now < Req->Deadline)
    return dispatch(*Req, Event.Target);
  Actions.push_back(ReleaseSlot{
      Req->Call.Pool, Event.Id, Event.Target, {DispatchOutcome::NotRun}});
  failUndispatched(*Req, ErrorKind::DeadlinePassed, Duration(0));
}

/// Releases a slot at a target that this host knows to be leaving: the grant
/// was delayed, or its arbiter has not received the leaving notice. The arbiter
/// is only asked to back off, because a leaving notice would stay in effect
/// after an operator's drain ends.
void Origin::rejectGrant(Request &Req, TargetId Target) {
  Actions.push_back(ReleaseSlot{
      Req.Call.Pool, Req.Call.Id, Target, {DispatchOutcome::NotRun}});
  Actions.push_back(ReportTargetUnavailable{Target, false});
  Req.SendSlotRequestAt = Now + Settings.RetryDelay;
  schedule(Req);
}

void Origin::dispatch(Request &Req, TargetId Target) {
  leaveQueue(Req);
  Req.State = RequestState::Dispatched;
  Req.Target = Target;
  ++Req.Attempt;
  Req.DispatchedAt = Now;
  Req.LastDataAt = Now;
  Req.FirstTokenAt = TimePoint{};
  Pools[Req.Call.Pool].Share.acquire(Target);
  Actions.push_back(Dispatch{Req.Call.Id, Target, Req.Attempt, Req.Deadline});
  schedule(Req);
}

void Origin::on(const SlotRefused &Event) {
  Request *Req = find(Event.Id);
  if (!Req || Req->State != RequestState::Queued)
    return;
  // The arbiter has dropped the reservation, so there is none to cancel.
  Req->SendSlotRequestAt = TimePoint::max();
  failUndispatched(*Req, Event.Kind, Event.RetryAfter);
}

void Origin::on(const SlotPreempted &Event) {
  Request *Req = findDispatched(Event.Id, 0);
  if (!Req || isNonIdempotent(Req->Call))
    return;
  Actions.push_back(CancelDispatch{Event.Id});
  failDispatched(*Req, ErrorKind::AnswerCut, DispatchOutcome::Cancelled);
}

void Origin::on(const ArbiterChanged &Event) {
  PoolState &Pool = Pools[Event.Pool];
  Pool.ArbiterReachable = Event.Reachable;
  if (!Event.Reachable)
    return serveFromLocalShare(Event.Pool);
  std::vector<Request *> Queued;
  for (auto &[Id, Req] : Requests)
    if (Req.Call.Pool == Event.Pool && Req.State == RequestState::Queued)
      Queued.push_back(&Req);
  std::sort(Queued.begin(), Queued.end(), [](const auto *A, const auto *B) {
    return std::pair(A->Call.Tier, A->Call.Id) <
           std::pair(B->Call.Tier, B->Call.Id);
  });
  for (Request *Req : Queued) {
    Req->Resends = 0;
    sendSlotRequest(*Req);
    schedule(*Req);
  }
}

void Origin::on(const LocalTargetsChanged &Event) {
  PoolState &Pool = Pools[Event.Pool];
  Pool.Share.setTargets(Event.Targets, Event.HostsInZone);
  Pool.ShareUpdatedAt = Now;
  if (!Pool.ArbiterReachable)
    serveFromLocalShare(Event.Pool);
}

/// Dispatches queued requests to this host's share of the slots, highest tier
/// first, then earliest deadline.
void Origin::serveFromLocalShare(PoolId Pool) {
  PoolState &State = Pools[Pool];
  if (Now - State.ShareUpdatedAt > Settings.LocalTargetsMaxAge)
    return;
  std::vector<Request *> Queued;
  for (auto &[Id, Req] : Requests)
    if (Req.Call.Pool == Pool && Req.State == RequestState::Queued)
      Queued.push_back(&Req);
  std::sort(Queued.begin(), Queued.end(), [](const auto *A, const auto *B) {
    return std::tuple(A->Call.Tier, A->Deadline, A->Call.Id) <
           std::tuple(B->Call.Tier, B->Deadline, B->Call.Id);
  });
  for (Request *Req : Queued) {
    const std::optional<TargetId> Target = State.Share.choose();
    if (!Target)
      return;
    // An arbiter that this host cannot reach may still have the reservation.
    Actions.push_back(CancelSlotRequest{Pool, Req->Call.Id});
    dispatch(*Req, *Target);
  }
}

// ---- Dispatch that did not run ----------------------------------------------

void Origin::on(const DispatchNotSent &Event) {
  Request *Req = findDispatched(Event.Id, Event.Attempt);
  if (!Req)
    return;
  // If an answer has started, the request ran.
  if (Req->State == RequestState::Streaming)
    return failDispatched(*Req, ErrorKind::AnswerCut, DispatchOutcome::Failed);
  Actions.push_back(ReportTargetUnavailable{Req->Target, false});
  Pools[Req->Call.Pool].Share.exclude(Req->Target);
  retry(*Req, Duration(0));
}

void Origin::on(const TargetDeclined &Event) {
  Request *Req = findDispatched(Event.Id, Event.Attempt);
  if (!Req)
    return;
  // If an answer has started, the request ran.
  if (Req->State == RequestState::Streaming)
    return failDispatched(*Req, ErrorKind::AnswerCut, DispatchOutcome::Failed);
  Actions.push_back(ReportTargetUnavailable{Req->Target, Event.Leaving});
  LocalShare &Share = Pools[Req->Call.Pool].Share;
  Share.exclude(Req->Target);
  if (Event.Leaving)
    Share.markLeaving(Req->Target);
  retry(*Req, Event.RetryAfter);
}

/// Queues a request again that provably did not run.
void Origin::retry(Request &Req, Duration TargetsRetryAfter) {
  releaseSlot(Req, DispatchOutcome::NotRun);
  Req.State = RequestState::Queued;
  Req.Target = TargetId{};
  Account &Owner = Accounts[Req.Call.Account];
  ++Owner.Queued;
  Req.SendSlotRequestAt = TimePoint::max();
  if (Req.CallerGone) {
    releaseKey(Req);
    return finish(Req.Call.Id);
  }
  if (Req.Attempt >= Settings.MaxAttempts || !Owner.Retries.tryWithdraw())
    return failUndispatched(Req, ErrorKind::NoTarget, TargetsRetryAfter);
  const double Spread = 0.5 + Jitter();
  const double Steps = std::exp2(static_cast<double>(Req.Attempt - 1));
  const Duration Wait =
      fromSeconds(toSeconds(Settings.RetryDelay) * Steps * Spread);
  if (Now + Wait >= Req.Deadline)
    return failUndispatched(Req, ErrorKind::NoTarget, TargetsRetryAfter);
  Req.Resends = 0;
  Req.SendSlotRequestAt = Now + Wait;
  schedule(Req);
}

// ---- Answers ----------------------------------------------------------------

void Origin::on(const AnswerProgressed &Event) {
  Request *Req = findDispatched(Event.Id, Event.Attempt);
  if (!Req)
    return;
  if (Req->State == RequestState::Dispatched) {
    Req->State = RequestState::Streaming;
    Req->FirstTokenAt = Now;
    Req->ProgressReportedAt = Now;
  }
  Req->LastDataAt = Now;
  Req->OutputTokens += Event.Tokens;
  if (Now - Req->ProgressReportedAt < ProgressInterval)
    return;
  Req->ProgressReportedAt = Now;
  Actions.push_back(
      ReportProgress{Req->Call.Pool, Event.Id, Req->OutputTokens});
}

void Origin::on(const AnswerCompleted &Event) {
  Request *Req = findDispatched(Event.Id, Event.Attempt);
  if (!Req)
    return;
  if (Event.OutputTokens != 0)
    Req->OutputTokens = Event.OutputTokens;
  if (Req->OutputTokens != 0)
    recordOutputLength(Req->Call, Req->OutputTokens);
  constexpr int FirstServerError = 500;
  Usage Used;
  Used.Outcome = Event.HttpStatus < FirstServerError ? DispatchOutcome::Complete
                                                     : DispatchOutcome::Failed;
  Used.PromptTokens =
      Event.PromptTokens != 0 ? Event.PromptTokens : Req->Call.PromptTokens;
  Used.CachedTokens = Event.CachedTokens;
  Used.OutputTokens = Req->OutputTokens;
  const TimePoint First =
      Req->FirstTokenAt == TimePoint{} ? Now : Req->FirstTokenAt;
  Used.TimeToFirstToken = First - Req->DispatchedAt;
  Used.Total = Now - Req->DispatchedAt;
  const PoolId Pool = Req->Call.Pool;
  Pools[Pool].Share.release(Req->Target);
  Actions.push_back(ReleaseSlot{Pool, Event.Id, Req->Target, Used});
  recordOutcome(*Req, Event.HttpStatus);
  if (!Req->CallerGone)
    Actions.push_back(CompleteRequest{Event.Id});
  finish(Event.Id);
  if (!Pools[Pool].ArbiterReachable)
    serveFromLocalShare(Pool);
}

void Origin::on(const AnswerInterrupted &Event) {
  Request *Req = findDispatched(Event.Id, Event.Attempt);
  if (!Req)
    return;
  const bool Started = Req->State == RequestState::Streaming;
  failDispatched(*Req,
                 Started ? ErrorKind::AnswerCut : ErrorKind::OutcomeUnknown,
                 DispatchOutcome::Failed);
}

void Origin::releaseSlot(Request &Req, DispatchOutcome Outcome) {
  Pools[Req.Call.Pool].Share.release(Req.Target);
  Usage Used;
  Used.Outcome = Outcome;
  Used.PromptTokens = Req.Call.PromptTokens;
  Used.OutputTokens = Req.OutputTokens;
  Used.Total = Now - Req.DispatchedAt;
  if (Req.FirstTokenAt != TimePoint{})
    Used.TimeToFirstToken = Req.FirstTokenAt - Req.DispatchedAt;
  Actions.push_back(ReleaseSlot{Req.Call.Pool, Req.Call.Id, Req.Target, Used});
}

void Origin::recordOutcome(const Request &Req, int HttpStatus) {
  if (Req.MayOwnKey)
    Actions.push_back(
        RecordOutcome{Req.Call.Id, Req.Call.Key, false, HttpStatus});
}

// ---- End of a request -------------------------------------------------------

void Origin::on(const CallerDisconnected &Event) {
  Request *Req = find(Event.Id);
  if (!Req)
    return;
  if (undispatched(Req->State)) {
    if (Req->State == RequestState::Queued)
      Actions.push_back(CancelSlotRequest{Req->Call.Pool, Event.Id});
    releaseKey(*Req);
    return finish(Event.Id);
  }
  Req->CallerGone = true;
  if (isNonIdempotent(Req->Call))
    return;
  Actions.push_back(CancelDispatch{Event.Id});
  failDispatched(*Req, ErrorKind::CallerGone, DispatchOutcome::Cancelled);
}

/// Fails a request that was never dispatched or provably did not run.
void Origin::failUndispatched(Request &Req, ErrorKind Kind,
                              Duration RetryAfter) {
  const RequestId Id = Req.Call.Id;
  if (Req.State == RequestState::Queued &&
      Req.SendSlotRequestAt != TimePoint::max())
    Actions.push_back(CancelSlotRequest{Req.Call.Pool, Id});
  releaseKey(Req);
  if (RetryAfter <= Duration(0) &&
      traitsOf(Kind).Retry == RetryAdvice::AfterWait)
    RetryAfter = Settings.DefaultRetryAfter;
  Actions.push_back(FailRequest{Id, {Kind, {}, RetryAfter}, MayHaveRun::No});
  finish(Id);
}

/// Fails a request that its target may have run. It is not retried.
void Origin::failDispatched(Request &Req, ErrorKind Kind,
                            DispatchOutcome Outcome) {
  const PoolId Pool = Req.Call.Pool;
  releaseSlot(Req, Outcome);
  recordOutcome(Req, 0);
  if (!Req.CallerGone)
    Actions.push_back(
        FailRequest{Req.Call.Id, {Kind, {}, {}}, MayHaveRun::Maybe});
  finish(Req.Call.Id);
  if (!Pools[Pool].ArbiterReachable)
    serveFromLocalShare(Pool);
}

/// Releases the key of a request that did not run and will not run. Its intent
/// may still be in transit, so that a late Fresh releases the key once more.
void Origin::releaseKey(const Request &Req) {
  if (!Req.MayOwnKey)
    return;
  Actions.push_back(RecordOutcome{Req.Call.Id, Req.Call.Key, true, 0});
  ReleasedKeys[Req.Call.Id] = Req.Call.Key;
  ReleasedKeyExpiries.emplace_back(Now + ReleasedKeyRetention, Req.Call.Id);
}

void Origin::leaveQueue(Request &Req) {
  Account &Owner = Accounts[Req.Call.Account];
  if (undispatched(Req.State) && Owner.Queued > 0)
    --Owner.Queued;
}

void Origin::finish(RequestId Id) {
  leaveQueue(Requests.at(Id));
  Requests.erase(Id);
}

// ---- Time -------------------------------------------------------------------

void Origin::schedule(Request &Req) {
  TimePoint At = Req.Deadline;
  if (Req.State == RequestState::Queued)
    At = std::min(At, Req.SendSlotRequestAt);
  if (dispatched(Req.State))
    At = std::min(At, Req.LastDataAt + Settings.DispatchTimeout);
  if (At == Req.WakeAt)
    return;
  Req.WakeAt = At;
  Wakes.push_back({At, Req.Call.Id});
  std::push_heap(Wakes.begin(), Wakes.end());
}

void Origin::on(const OriginTicked &) {
  while (!Wakes.empty() && Wakes.front().At <= Now) {
    const Wake Due = Wakes.front();
    std::pop_heap(Wakes.begin(), Wakes.end());
    Wakes.pop_back();
    Request *Req = find(Due.Id);
    if (Req && Req->WakeAt == Due.At)
      handleTimer(*Req);
  }
  expireReleasedKeys();
}

void Origin::handleTimer(Request &Req) {
  Req.WakeAt = TimePoint{};
  if (undispatched(Req.State)) {
    if (Now >= Req.Deadline)
      return failUndispatched(Req, ErrorKind::DeadlinePassed, Duration(0));
    if (Req.State == RequestState::Queued && Now >= Req.SendSlotRequestAt) {
      if (Pools[Req.Call.Pool].ArbiterReachable)
        sendSlotRequest(Req);
      else
        Req.SendSlotRequestAt = TimePoint::max();
    }
    schedule(Req);
    if (!Pools[Req.Call.Pool].ArbiterReachable)
      serveFromLocalShare(Req.Call.Pool);
    return;
  }
  const bool TimedOut = Now - Req.LastDataAt >= Settings.DispatchTimeout;
  if (Now < Req.Deadline && !TimedOut)
    return schedule(Req);
  Actions.push_back(CancelDispatch{Req.Call.Id});
  failDispatched(Req, ErrorKind::AnswerTimeout, DispatchOutcome::Failed);
}

void Origin::expireReleasedKeys() {
  const auto FirstValid =
      std::find_if(ReleasedKeyExpiries.begin(), ReleasedKeyExpiries.end(),
                   [this](const auto &Entry) { return Entry.first > Now; });
  for (auto Expired = ReleasedKeyExpiries.begin(); Expired != FirstValid;
       ++Expired)
    ReleasedKeys.erase(Expired->second);
  ReleasedKeyExpiries.erase(ReleasedKeyExpiries.begin(), FirstValid);
}

void Origin::on(const DefaultsChanged &Event) {
  Settings.MaxDeadline = Event.MaxDeadline;
  Settings.DispatchTimeout = Event.DispatchTimeout;
  Settings.DefaultOutputTokens = Event.DefaultOutputTokens;
  Settings.Retention = Event.Retention;
  Settings.Retries.Ratio = Event.RetryRatio;
  for (auto &[Id, Account] : Accounts)
    Account.Retries.setRatio(Event.RetryRatio);
}

void Origin::on(const AccountLimitChanged &Event) {
  auto [Entry, New] = Accounts.try_emplace(Event.Account);
  if (New)
    Entry->second.Retries = RetryBudget(Settings.Retries);
  Entry->second.MaxQueued = Event.MaxQueued;
}

void Origin::on(const DrainStarted &) { Draining = true; }

// ---- Answer lengths ---------------------------------------------------------

std::uint32_t Origin::expectedOutput(const CallerRequested &Call) const {
  if (Call.Kind == RouteKind::Call || Call.Kind == RouteKind::NonIdempotentCall)
    return 1;
  const auto Found = OutputLengths.find(outputClass(Call));
  const double Guess = Found == OutputLengths.end()
                           ? Settings.DefaultOutputTokens
                           : Found->second;
  const auto Tokens = static_cast<std::uint32_t>(std::max(1.0, Guess));
  return Call.MaxOutputTokens == 0 ? Tokens
                                   : std::min(Tokens, Call.MaxOutputTokens);
}

void Origin::recordOutputLength(const CallerRequested &Call,
                                std::uint32_t Tokens) {
  if (OutputLengths.size() >= MaxOutputLengths)
    OutputLengths.clear();
  auto [Entry, New] = OutputLengths.try_emplace(outputClass(Call), Tokens);
  if (!New)
    Entry->second += OutputLearningRate * (Tokens - Entry->second);
}

} // namespace marjorambay
