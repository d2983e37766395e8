/// The origin's state machine: one caller's request, dispatched at most once.
#include "marjorambay/coordination/origin.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

constexpr Duration ProgressInterval = seconds(3);
constexpr Duration MaxReservationResend = seconds(16);
/// How long a late answer of the intent log is still acted on.
constexpr Duration AbandonedMemory = minutes(2);
constexpr double OutputLearningRate = 0.1;
/// Bound on learned (account, route, model) triples; 24 bytes and a node each.
constexpr std::size_t MaxLearnedOutputs = 50000;

bool waiting(RequestState State) {
  return State == RequestState::Received || State == RequestState::Queued;
}

bool dispatched(RequestState State) {
  return State == RequestState::Dispatched || State == RequestState::Streaming;
}

bool isOnce(const CallerRequested &Call) {
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
  std::visit([this](const auto &Known) { on(Known); }, Event);
  return std::exchange(Actions, {});
}

// ---- Lookup -----------------------------------------------------------------

Origin::Request *Origin::find(RequestId Id) {
  const auto Found = Requests.find(Id);
  return Found == Requests.end() ? nullptr : &Found->second;
}

/// Finds a request that events of attempt \p Attempt still concern: a late or
/// doubled event of an earlier attempt must not touch the present one.
Origin::Request *Origin::findDispatched(RequestId Id, std::uint32_t Attempt) {
  Request *Held = find(Id);
  if (!Held || !dispatched(Held->State))
    return nullptr;
  if (Attempt != 0 && Attempt != Held->Attempt)
    return nullptr;
  return Held;
}

TimePoint Origin::wakeAt() const {
  return Wakes.empty() ? TimePoint::max() : Wakes.front().At;
}

std::vector<RequestView> Origin::requests(TimePoint At) const {
  std::vector<RequestView> Views;
  Views.reserve(Requests.size());
  for (const auto &[Id, Held] : Requests)
    Views.push_back({Id, Held.State, Held.Call.Account, Held.Call.Tier,
                     Held.Call.Pool, Held.Target, Held.Attempt,
                     Held.Deadline - At});
  std::sort(Views.begin(), Views.end(),
            [](const auto &A, const auto &B) { return A.Id < B.Id; });
  return Views;
}

std::vector<HeldGrant> Origin::heldGrants(PoolId Pool, TimePoint At) const {
  std::vector<HeldGrant> Grants;
  for (const auto &[Id, Held] : Requests)
    if (Held.Call.Pool == Pool && dispatched(Held.State))
      Grants.push_back({reservationOf(Held, At), Held.Target});
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
  if (!hasRoom(Call))
    return refuse(Call.Id, ErrorKind::AccountQueueFull);
  Accounts[Call.Account].Retries.deposit();
  ++Accounts[Call.Account].Queued;
  Request &Held = Requests[Call.Id];
  Held.Call = Call;
  Duration Longest = Settings.MaxDeadline;
  if (isOnce(Call))
    Longest = std::min(Longest, Settings.Retention / 2);
  Held.Deadline = Now + std::min(Call.TimeLeft, Longest);
  if (!isOnce(Call))
    return enqueue(Held);
  Held.IntentHeld = true;
  Actions.push_back(
      RecordIntent{Call.Id, Call.Key, Call.BodyHash, Held.Deadline - Now});
  schedule(Held);
}

bool Origin::hasRoom(const CallerRequested &Call) {
  auto [Entry, New] = Accounts.try_emplace(Call.Account);
  if (New)
    Entry->second.Retries = RetryBudget(Settings.Retries);
  const std::uint32_t Limit = Entry->second.MaxQueued != 0
                                  ? Entry->second.MaxQueued
                                  : Settings.MaxQueuedPerAccount;
  return Entry->second.Queued < Limit;
}

void Origin::refuse(RequestId Id, ErrorKind Kind) {
  const bool Returns = traitsOf(Kind).Retry == RetryAdvice::AfterWait;
  Actions.push_back(FailRequest{
      Id,
      {Kind, {}, Returns ? Settings.RetryAfterDefault : Duration(0)},
      MayHaveRun::No});
}

void Origin::on(const IntentDecided &Event) {
  Request *Held = find(Event.Id);
  if (!Held || Held->State != RequestState::Received) {
    // A key may be released only for a request that was never dispatched.
    const auto Gone = Abandoned.find(Event.Id);
    if (Gone != Abandoned.end() && Event.Decision == IntentDecision::Fresh)
      Actions.push_back(RecordOutcome{Event.Id, Gone->second, true, 0});
    return;
  }
  switch (Event.Decision) {
  case IntentDecision::Fresh:
    return enqueue(*Held);
  case IntentDecision::Applied:
  case IntentDecision::InProgress:
  case IntentDecision::BodyDiffers:
    Held->IntentHeld = false; // the key belongs to an earlier request
    break;
  case IntentDecision::Unavailable:
    if (Held->Call.TargetsDeduplicate)
      return enqueue(*Held);
    return failWaiting(*Held, ErrorKind::PlatformUnavailable, Duration(0));
  }
  if (Event.Decision == IntentDecision::BodyDiffers)
    return failWaiting(*Held, ErrorKind::IdempotencyKeyReused, Duration(0));
  if (Event.Decision == IntentDecision::Applied && Event.AppliedStatus != 0) {
    Actions.push_back(ReplayOutcome{Event.Id, Event.AppliedStatus});
    return finish(Event.Id);
  }
  // The earlier request may have run: this one did not, but the call may have.
  Actions.push_back(FailRequest{
      Event.Id, {ErrorKind::OutcomeUnknown, {}, {}}, MayHaveRun::Maybe});
  finish(Event.Id);
}

void Origin::enqueue(Request &Held) {
  Held.State = RequestState::Queued;
  Held.Resends = 0;
  const PoolState &Pool = Pools[Held.Call.Pool];
  if (Pool.ArbiterReachable) {
    sendSlotRequest(Held);
    return schedule(Held);
  }
  Held.SendSlotRequestAt = TimePoint::max();
  schedule(Held);
  serveFromLocalShare(Held.Call.Pool);
}

void Origin::sendSlotRequest(Request &Held) {
  Actions.push_back(RequestSlot{reservationOf(Held, Now)});
  const Duration Wait = std::min<Duration>(
      Settings.ReservationResendDelay * (1 << std::min(Held.Resends, 10U)),
      MaxReservationResend);
  ++Held.Resends;
  Held.SendSlotRequestAt = Now + Wait;
}

Reservation Origin::reservationOf(const Request &Held, TimePoint At) const {
  Reservation Sent;
  Sent.Key = {Settings.Self, Settings.Incarnation, Held.Call.Id};
  Sent.Account = Held.Call.Account;
  Sent.Tier = Held.Call.Tier;
  Sent.Pool = Held.Call.Pool;
  Sent.Route = Held.Call.Route;
  Sent.Model = Held.Call.Model;
  Sent.Cost = {Held.Call.PromptTokens, expectedOutput(Held.Call)};
  Sent.PrefixHash = Held.Call.PrefixHash;
  Sent.Remaining = Held.Deadline - At;
  return Sent;
}

// ---- Slots ------------------------------------------------------------------

void Origin::on(const SlotGranted &Event) {
  Request *Held = find(Event.Id);
  // Doubled message: the slot is in use, so releasing it would be wrong.
  if (Held && dispatched(Held->State) && Held->Target == Event.Target)
    return;
  if (!Held || Held->State != RequestState::Queued) {
    const PoolId Pool = Held ? Held->Call.Pool : Event.Pool;
    Actions.push_back(
        ReleaseSlot{Pool, Event.Id, Event.Target, {DispatchOutcome::NotRun}});
    return;
  }
  if (Pools[Held->Call.Pool].Share.leaving(Event.Target))
    return returnGrant(*Held, Event.Target);
  if (Now < Held->Deadline)
    return dispatch(*Held, Event.Target);
  Actions.push_back(ReleaseSlot{
      Held->Call.Pool, Event.Id, Event.Target, {DispatchOutcome::NotRun}});
  failWaiting(*Held, ErrorKind::DeadlinePassed, Duration(0));
}

/// Gives back the slot of a target that is known here to leave: the grant was
/// long under way, or its arbiter has not heard of it. The arbiter is told to
/// back off only: a sign of leaving would stand after an operator's drain ends.
void Origin::returnGrant(Request &Held, TargetId Target) {
  Actions.push_back(ReleaseSlot{
      Held.Call.Pool, Held.Call.Id, Target, {DispatchOutcome::NotRun}});
  Actions.push_back(ReportTargetUnavailable{Target, false});
  Held.SendSlotRequestAt = Now + Settings.RetryDelay;
  schedule(Held);
}

void Origin::dispatch(Request &Held, TargetId Target) {
  leaveQueue(Held);
  Held.State = RequestState::Dispatched;
  Held.Target = Target;
  ++Held.Attempt;
  Held.DispatchedAt = Now;
  Held.HeardAt = Now;
  Held.FirstTokenAt = TimePoint{};
  Pools[Held.Call.Pool].Share.take(Target);
  Actions.push_back(
      Dispatch{Held.Call.Id, Target, Held.Attempt, Held.Deadline});
  schedule(Held);
}

void Origin::on(const SlotRefused &Event) {
  Request *Held = find(Event.Id);
  if (!Held || Held->State != RequestState::Queued)
    return;
  // The arbiter has dropped the reservation, so there is none to cancel.
  Held->SendSlotRequestAt = TimePoint::max();
  failWaiting(*Held, Event.Kind, Event.RetryAfter);
}

void Origin::on(const SlotPreempted &Event) {
  Request *Held = findDispatched(Event.Id, 0);
  if (!Held || isOnce(Held->Call))
    return;
  Actions.push_back(CancelDispatch{Event.Id});
  failDispatched(*Held, ErrorKind::AnswerCut, DispatchOutcome::Cancelled);
}

void Origin::on(const ArbiterChanged &Event) {
  PoolState &Pool = Pools[Event.Pool];
  Pool.ArbiterReachable = Event.Reachable;
  if (!Event.Reachable)
    return serveFromLocalShare(Event.Pool);
  std::vector<Request *> Waiting;
  for (auto &[Id, Held] : Requests)
    if (Held.Call.Pool == Event.Pool && Held.State == RequestState::Queued)
      Waiting.push_back(&Held);
  std::sort(Waiting.begin(), Waiting.end(), [](const auto *A, const auto *B) {
    return std::pair(A->Call.Tier, A->Call.Id) <
           std::pair(B->Call.Tier, B->Call.Id);
  });
  for (Request *Held : Waiting) {
    Held->Resends = 0;
    sendSlotRequest(*Held);
    schedule(*Held);
  }
}

void Origin::on(const LocalTargetsChanged &Event) {
  PoolState &Pool = Pools[Event.Pool];
  Pool.Share.setTargets(Event.Targets, Event.HostsInZone);
  Pool.ShareAt = Now;
  if (!Pool.ArbiterReachable)
    serveFromLocalShare(Event.Pool);
}

/// Dispatches waiting requests to this host's share of the slots, highest tier
/// first, then earliest deadline.
void Origin::serveFromLocalShare(PoolId Pool) {
  PoolState &Known = Pools[Pool];
  if (Now - Known.ShareAt > Settings.LocalTargetsFresh)
    return;
  std::vector<Request *> Waiting;
  for (auto &[Id, Held] : Requests)
    if (Held.Call.Pool == Pool && Held.State == RequestState::Queued)
      Waiting.push_back(&Held);
  std::sort(Waiting.begin(), Waiting.end(), [](const auto *A, const auto *B) {
    return std::tuple(A->Call.Tier, A->Deadline, A->Call.Id) <
           std::tuple(B->Call.Tier, B->Deadline, B->Call.Id);
  });
  for (Request *Held : Waiting) {
    const std::optional<TargetId> Target = Known.Share.pick();
    if (!Target)
      return;
    // An arbiter in another part of the zone may still hold the reservation.
    Actions.push_back(CancelSlotRequest{Pool, Held->Call.Id});
    dispatch(*Held, *Target);
  }
}

// ---- Dispatch that did not run ----------------------------------------------

void Origin::on(const DispatchNotSent &Event) {
  Request *Held = findDispatched(Event.Id, Event.Attempt);
  if (!Held)
    return;
  if (Held->State == RequestState::Streaming) // an answer has begun: it ran
    return failDispatched(*Held, ErrorKind::AnswerCut, DispatchOutcome::Failed);
  Actions.push_back(ReportTargetUnavailable{Held->Target, false});
  Pools[Held->Call.Pool].Share.exclude(Held->Target);
  retry(*Held, Duration(0));
}

void Origin::on(const TargetDeclined &Event) {
  Request *Held = findDispatched(Event.Id, Event.Attempt);
  if (!Held)
    return;
  if (Held->State == RequestState::Streaming) // an answer has begun: it ran
    return failDispatched(*Held, ErrorKind::AnswerCut, DispatchOutcome::Failed);
  Actions.push_back(ReportTargetUnavailable{Held->Target, Event.Leaving});
  LocalShare &Share = Pools[Held->Call.Pool].Share;
  Share.exclude(Held->Target);
  if (Event.Leaving)
    Share.markLeaving(Held->Target);
  retry(*Held, Event.RetryAfter);
}

/// Queues a request again that provably has not run.
void Origin::retry(Request &Held, Duration TargetsRetryAfter) {
  giveBackSlot(Held, DispatchOutcome::NotRun);
  Held.State = RequestState::Queued;
  Held.Target = TargetId{};
  Account &Owner = Accounts[Held.Call.Account];
  ++Owner.Queued;
  Held.SendSlotRequestAt = TimePoint::max();
  if (Held.CallerGone) {
    abandonIntent(Held);
    return finish(Held.Call.Id);
  }
  if (Held.Attempt >= Settings.MaxAttempts || !Owner.Retries.tryWithdraw())
    return failWaiting(Held, ErrorKind::NoTarget, TargetsRetryAfter);
  const double Spread = 0.5 + Jitter();
  const double Steps = std::exp2(static_cast<double>(Held.Attempt - 1));
  const Duration Wait =
      fromSeconds(toSeconds(Settings.RetryDelay) * Steps * Spread);
  if (Now + Wait >= Held.Deadline)
    return failWaiting(Held, ErrorKind::NoTarget, TargetsRetryAfter);
  Held.Resends = 0;
  Held.SendSlotRequestAt = Now + Wait;
  schedule(Held);
}

// ---- Answers ----------------------------------------------------------------

void Origin::on(const AnswerProgressed &Event) {
  Request *Held = findDispatched(Event.Id, Event.Attempt);
  if (!Held)
    return;
  if (Held->State == RequestState::Dispatched) {
    Held->State = RequestState::Streaming;
    Held->FirstTokenAt = Now;
    Held->ProgressToldAt = Now;
  }
  Held->HeardAt = Now;
  Held->OutputTokens += Event.Tokens;
  if (Now - Held->ProgressToldAt < ProgressInterval)
    return;
  Held->ProgressToldAt = Now;
  Actions.push_back(
      ReportProgress{Held->Call.Pool, Event.Id, Held->OutputTokens});
}

void Origin::on(const AnswerCompleted &Event) {
  Request *Held = findDispatched(Event.Id, Event.Attempt);
  if (!Held)
    return;
  if (Event.OutputTokens != 0)
    Held->OutputTokens = Event.OutputTokens;
  if (Held->OutputTokens != 0)
    learnOutput(Held->Call, Held->OutputTokens);
  constexpr int FirstServerError = 500;
  Usage Used;
  Used.Outcome = Event.HttpStatus < FirstServerError ? DispatchOutcome::Complete
                                                     : DispatchOutcome::Failed;
  Used.PromptTokens =
      Event.PromptTokens != 0 ? Event.PromptTokens : Held->Call.PromptTokens;
  Used.CachedTokens = Event.CachedTokens;
  Used.OutputTokens = Held->OutputTokens;
  const TimePoint First =
      Held->FirstTokenAt == TimePoint{} ? Now : Held->FirstTokenAt;
  Used.TimeToFirstToken = First - Held->DispatchedAt;
  Used.Total = Now - Held->DispatchedAt;
  const PoolId Pool = Held->Call.Pool;
  Pools[Pool].Share.giveBack(Held->Target);
  Actions.push_back(ReleaseSlot{Pool, Event.Id, Held->Target, Used});
  recordOutcome(*Held, Event.HttpStatus);
  if (!Held->CallerGone)
    Actions.push_back(CompleteRequest{Event.Id});
  finish(Event.Id);
  if (!Pools[Pool].ArbiterReachable)
    serveFromLocalShare(Pool);
}

void Origin::on(const AnswerInterrupted &Event) {
  Request *Held = findDispatched(Event.Id, Event.Attempt);
  if (!Held)
    return;
  const bool Begun = Held->State == RequestState::Streaming;
  failDispatched(*Held,
                 Begun ? ErrorKind::AnswerCut : ErrorKind::OutcomeUnknown,
                 DispatchOutcome::Failed);
}

void Origin::giveBackSlot(Request &Held, DispatchOutcome End) {
  Pools[Held.Call.Pool].Share.giveBack(Held.Target);
  Usage Used;
  Used.Outcome = End;
  Used.PromptTokens = Held.Call.PromptTokens;
  Used.OutputTokens = Held.OutputTokens;
  Used.Total = Now - Held.DispatchedAt;
  if (Held.FirstTokenAt != TimePoint{})
    Used.TimeToFirstToken = Held.FirstTokenAt - Held.DispatchedAt;
  Actions.push_back(
      ReleaseSlot{Held.Call.Pool, Held.Call.Id, Held.Target, Used});
}

void Origin::recordOutcome(const Request &Held, int HttpStatus) {
  if (Held.IntentHeld)
    Actions.push_back(
        RecordOutcome{Held.Call.Id, Held.Call.Key, false, HttpStatus});
}

// ---- Ends -------------------------------------------------------------------

void Origin::on(const CallerDisconnected &Event) {
  Request *Held = find(Event.Id);
  if (!Held)
    return;
  if (waiting(Held->State)) {
    if (Held->State == RequestState::Queued)
      Actions.push_back(CancelSlotRequest{Held->Call.Pool, Event.Id});
    abandonIntent(*Held);
    return finish(Event.Id);
  }
  Held->CallerGone = true;
  if (isOnce(Held->Call))
    return;
  Actions.push_back(CancelDispatch{Event.Id});
  failDispatched(*Held, ErrorKind::CallerGone, DispatchOutcome::Cancelled);
}

/// Ends a request that was never dispatched, or provably never ran.
void Origin::failWaiting(Request &Held, ErrorKind Kind, Duration RetryAfter) {
  const RequestId Id = Held.Call.Id;
  if (Held.State == RequestState::Queued &&
      Held.SendSlotRequestAt != TimePoint::max())
    Actions.push_back(CancelSlotRequest{Held.Call.Pool, Id});
  abandonIntent(Held);
  if (RetryAfter <= Duration(0) &&
      traitsOf(Kind).Retry == RetryAdvice::AfterWait)
    RetryAfter = Settings.RetryAfterDefault;
  Actions.push_back(FailRequest{Id, {Kind, {}, RetryAfter}, MayHaveRun::No});
  finish(Id);
}

/// Ends a request whose target may have run it. Never tried again.
void Origin::failDispatched(Request &Held, ErrorKind Kind,
                            DispatchOutcome End) {
  const PoolId Pool = Held.Call.Pool;
  giveBackSlot(Held, End);
  recordOutcome(Held, 0);
  if (!Held.CallerGone)
    Actions.push_back(
        FailRequest{Held.Call.Id, {Kind, {}, {}}, MayHaveRun::Maybe});
  finish(Held.Call.Id);
  if (!Pools[Pool].ArbiterReachable)
    serveFromLocalShare(Pool);
}

/// Frees the key of a request that has not run and will not run. Its intent may
/// still be on the way, so that a late Fresh frees it once more.
void Origin::abandonIntent(const Request &Held) {
  if (!Held.IntentHeld)
    return;
  Actions.push_back(RecordOutcome{Held.Call.Id, Held.Call.Key, true, 0});
  Abandoned[Held.Call.Id] = Held.Call.Key;
  AbandonedUntil.emplace_back(Now + AbandonedMemory, Held.Call.Id);
}

void Origin::leaveQueue(Request &Held) {
  Account &Owner = Accounts[Held.Call.Account];
  if (waiting(Held.State) && Owner.Queued > 0)
    --Owner.Queued;
}

void Origin::finish(RequestId Id) {
  leaveQueue(Requests.at(Id));
  Requests.erase(Id);
}

// ---- Time -------------------------------------------------------------------

void Origin::schedule(Request &Held) {
  TimePoint At = Held.Deadline;
  if (Held.State == RequestState::Queued)
    At = std::min(At, Held.SendSlotRequestAt);
  if (dispatched(Held.State))
    At = std::min(At, Held.HeardAt + Settings.DispatchTimeout);
  if (At == Held.WakeAt)
    return;
  Held.WakeAt = At;
  Wakes.push_back({At, Held.Call.Id});
  std::push_heap(Wakes.begin(), Wakes.end());
}

void Origin::on(const OriginTicked &) {
  while (!Wakes.empty() && Wakes.front().At <= Now) {
    const Wake Due = Wakes.front();
    std::pop_heap(Wakes.begin(), Wakes.end());
    Wakes.pop_back();
    Request *Held = find(Due.Id);
    if (Held && Held->WakeAt == Due.At)
      wake(*Held);
  }
  forgetAbandoned();
}

void Origin::wake(Request &Held) {
  Held.WakeAt = TimePoint{};
  if (waiting(Held.State)) {
    if (Now >= Held.Deadline)
      return failWaiting(Held, ErrorKind::DeadlinePassed, Duration(0));
    if (Held.State == RequestState::Queued && Now >= Held.SendSlotRequestAt) {
      if (Pools[Held.Call.Pool].ArbiterReachable)
        sendSlotRequest(Held);
      else
        Held.SendSlotRequestAt = TimePoint::max();
    }
    schedule(Held);
    if (!Pools[Held.Call.Pool].ArbiterReachable)
      serveFromLocalShare(Held.Call.Pool);
    return;
  }
  const bool Silent = Now - Held.HeardAt >= Settings.DispatchTimeout;
  if (Now < Held.Deadline && !Silent)
    return schedule(Held);
  Actions.push_back(CancelDispatch{Held.Call.Id});
  failDispatched(Held, ErrorKind::AnswerTimeout, DispatchOutcome::Failed);
}

void Origin::forgetAbandoned() {
  const auto Kept =
      std::find_if(AbandonedUntil.begin(), AbandonedUntil.end(),
                   [this](const auto &Entry) { return Entry.first > Now; });
  for (auto Old = AbandonedUntil.begin(); Old != Kept; ++Old)
    Abandoned.erase(Old->second);
  AbandonedUntil.erase(AbandonedUntil.begin(), Kept);
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

// ---- Learned answer lengths -------------------------------------------------

std::uint32_t Origin::expectedOutput(const CallerRequested &Call) const {
  if (Call.Kind == RouteKind::Call || Call.Kind == RouteKind::NonIdempotentCall)
    return 1;
  const auto Known = LearnedOutput.find(outputClass(Call));
  const double Guess = Known == LearnedOutput.end()
                           ? Settings.DefaultOutputTokens
                           : Known->second;
  const auto Tokens = static_cast<std::uint32_t>(std::max(1.0, Guess));
  return Call.MaxOutputTokens == 0 ? Tokens
                                   : std::min(Tokens, Call.MaxOutputTokens);
}

void Origin::learnOutput(const CallerRequested &Call, std::uint32_t Tokens) {
  if (LearnedOutput.size() >= MaxLearnedOutputs)
    LearnedOutput.clear();
  auto [Entry, New] = LearnedOutput.try_emplace(outputClass(Call), Tokens);
  if (!New)
    Entry->second += OutputLearningRate * (Tokens - Entry->second);
}

} // namespace marjorambay
