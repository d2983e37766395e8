/// Combines queue, targets, costs and version shares into one policy.
#include "marjorambay/coordination/arbiter.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

// A head whose deadline no free target can meet must not block the accounts
// behind it. If several heads fail, the pool is full.
constexpr std::size_t MaxHeadsTried = 8;

// Fraction of the capacity that admission assumes for a tier when higher tiers
// demand all of it.
constexpr double MinCapacityShare = 0.02;

// Prefill is slower while the batch decodes, and a prompt whose deadline passes
// during its prefill is wasted work. Factor on the prompt's expected cost, from
// scripts/policy-bench.
constexpr double PromptMargin = 1.5;

/// A tier that was not shed for this long is no longer overloaded.
constexpr Duration OverloadGap = seconds(1);

constexpr double MinRetryAfterSeconds = 0.1;
constexpr double MaxRetryAfterSeconds = 30.0;

} // namespace

ArbiterActions Arbiter::step(const ArbiterEvent &Event, TimePoint Now) {
  Pending.clear();
  if (StartedAt == TimePoint{})
    StartedAt = Now;
  refreshSpeeds(Now);
  std::visit([this, Now](const auto &Typed) { apply(Typed, Now); }, Event);
  refuseOverdue(Now);
  grantAvailable(Now);
  return std::move(Pending);
}

void Arbiter::refreshSpeeds(TimePoint Now) {
  if (Now < SpeedsValidUntil)
    return;
  Targets.refresh(Shares, Now);
  SpeedsValidUntil = Now + Settings.SpeedRefreshInterval;
}

ArbiterView Arbiter::view(TimePoint Now) const {
  ArbiterView View;
  for (std::size_t Rank = 0; Rank < MaxTiers; ++Rank)
    View.Queued[Rank] = Queue.size(static_cast<TierRank>(Rank));
  View.InFlight = Slots.size();
  View.PendingOrigins = AwaitedOrigins.size();
  View.Capacity = Targets.capacity();
  View.Limit = Targets.slots(Shares, Now);
  View.Declared = Targets.declaredSlots(Shares);
  View.Ramping = Targets.rampCount();
  return View;
}

// ---- Admission --------------------------------------------------------------

double Arbiter::workOf(const TokenCost &Cost) const {
  return Cost.Output +
         Targets.promptWeight(Settings.PromptTokenWeight) * Cost.Prompt;
}

TimePoint Arbiter::latestStart(const QueuedReservation &Entry,
                               bool Busy) const {
  const double Needed = Targets.fastestSeconds(Entry.SafeCost, Busy);
  return Entry.Deadline - fromSeconds(Needed);
}

/// Returns the latest start that meets the objective for the first token, or
/// nothing if there is no objective.
std::optional<TimePoint>
Arbiter::latestForFirstToken(const QueuedReservation &Entry,
                             TimePoint Now) const {
  if (Entry.Request.FirstTokenObjective.count() <= 0)
    return std::nullopt;
  const TokenCost First{Entry.Cost.Prompt, 1};
  const double Needed = Targets.fastestSeconds(First, true);
  return Now + Entry.Request.FirstTokenObjective - fromSeconds(Needed);
}

QueuedReservation Arbiter::makeEntry(const Reservation &Request,
                                     TimePoint Now) {
  QueuedReservation Entry;
  Entry.Request = Request;
  const LengthEstimate Length = Costs.estimate(Request);
  Entry.Cost = {Request.Cost.Prompt, Length.Mean};
  Entry.LeastCost = {Request.Cost.Prompt, Length.Low};
  const double Prompt = PromptMargin * Request.Cost.Prompt;
  Entry.SafeCost = {static_cast<std::uint32_t>(Prompt), Length.High};
  Entry.Work = workOf(Entry.Cost);
  Entry.Queued = Now;
  Entry.Deadline = Now + Request.Remaining;
  Entry.LatestStart = latestStart(Entry, true);
  // Too late with a full batch, but not all targets are full.
  if (Entry.LatestStart < Now)
    Entry.LatestStart = latestStart(Entry, false);
  Entry.GiveUpAt = Entry.LatestStart;
  const auto Latest = latestForFirstToken(Entry, Now);
  if (!Latest)
    return Entry;
  const Duration Objective = Request.FirstTokenObjective;
  const Duration Patience =
      std::max(Settings.MinFirstTokenPatience,
               std::chrono::duration_cast<Duration>(
                   Objective * Settings.FirstTokenPatience));
  const auto WithinDeadline = [&](TimePoint Start) {
    return std::min(Entry.GiveUpAt,
                    std::max(Start, Now + Settings.MinFirstTokenWait));
  };
  Entry.LatestStart = WithinDeadline(*Latest);
  Entry.GiveUpAt = std::max(Entry.LatestStart,
                            WithinDeadline(*Latest + (Patience - Objective)));
  return Entry;
}

double Arbiter::capacityFor(TierRank Tier, Duration Horizon, TimePoint Now) {
  const double All = Targets.capacity();
  return std::max(std::max(MinCapacityShare, Settings.TierFloor) * All,
                  All - Arriving.above(Tier, Horizon, Now));
}

/// Number of queued reservations of the same tier and of higher ones.
std::size_t Arbiter::queuedAhead(TierRank Tier) const {
  std::size_t Ahead = 0;
  for (std::size_t Rank = 0; Rank <= number(Tier) % MaxTiers; ++Rank)
    Ahead += Queue.size(static_cast<TierRank>(Rank));
  return Ahead;
}

double Arbiter::expectedWait(const QueuedReservation &Entry, TimePoint Now) {
  if (const auto Paced =
          Targets.secondsToSend(queuedAhead(Entry.Request.Tier), Shares, Now))
    return *Paced;
  if (const auto Measured = measuredWait(Entry, Now))
    return *Measured;
  const WorkAhead Ahead = Queue.workAhead(
      Entry.Request.Tier, Entry.Request.Account, Entry.LatestStart);
  const double Rate =
      capacityFor(Entry.Request.Tier, Entry.LatestStart - Now, Now);
  const double Work = Ahead.HigherTiers + Ahead.SameTier;
  const double QueueWait = Work == 0 ? 0 : Work / std::max(1e-3, Rate);
  if (Settings.TierFloor <= 0)
    return QueueWait;
  // Through its floor, a tier waits only for its own work.
  const double FloorRate = Settings.TierFloor * Targets.capacity();
  return std::min(QueueWait, Ahead.SameTier / std::max(1e-3, FloorRate));
}

/// Returns the wait by what the tier has been granted since its requests began
/// to wait; nothing if it has no backlog.
std::optional<double> Arbiter::measuredWait(const QueuedReservation &Entry,
                                            TimePoint Now) const {
  const auto Rate = Service.rate(Entry.Request.Tier, Now);
  if (!Rate)
    return std::nullopt;
  const WorkAhead Ahead = Queue.workAhead(
      Entry.Request.Tier, Entry.Request.Account, Entry.LatestStart);
  // A pause between two grants of the tier does not take its floor away.
  const double Least =
      std::max(MinCapacityShare, Settings.TierFloor) * Targets.capacity();
  return (Ahead.SameTier + Entry.Work) / std::max({1e-3, Least, *Rate});
}

bool Arbiter::cannotMeetDeadline(const QueuedReservation &Entry,
                                 TimePoint Now) const {
  const double Alone = Targets.fastestSeconds(Entry.LeastCost, false);
  return Entry.Deadline < Now + fromSeconds(Alone);
}

std::optional<RefuseSlot> Arbiter::refusalFor(const QueuedReservation &Entry,
                                              TimePoint Now) {
  const RequestKey Key = Entry.Request.Key;
  if (!Targets.anyServing(Entry.Request, Shares))
    return RefuseSlot{Key, ErrorKind::NoTarget, Settings.NoTargetRetryAfter};
  const CrashAdmission Admission =
      Suspects.admit(Entry.Request.CrashKeys, Entry.Request.Repeat, Now);
  if (Admission.Decision == CrashAdmission::Kind::Refuse)
    return RefuseSlot{Key, ErrorKind::CrashingRequest, Admission.RetryAfter};
  if (Entry.LatestStart < Now && cannotMeetDeadline(Entry, Now))
    return RefuseSlot{Key, ErrorKind::DeadlinePassed, Duration(0)};
  // A request that is late already, as after a failed attempt, may wait for as
  // long as its answer is of use.
  const bool IsLate = Entry.LatestStart <= Now + Settings.MinFirstTokenWait;
  const TimePoint WaitsUntil = IsLate ? Entry.GiveUpAt : Entry.LatestStart;
  const bool HasMargin =
      Entry.Request.FirstTokenObjective.count() > 0 && !IsLate;
  const double Margin = HasMargin ? Settings.AdmissionMargin : 1;
  const double Late =
      expectedWait(Entry, Now) - Margin * toSeconds(WaitsUntil - Now);
  if (Late <= 0 && Queue.size() < Settings.MaxQueued)
    return std::nullopt;
  return RefuseSlot{Key, ErrorKind::Overloaded, fromSeconds(Late)};
}

void Arbiter::apply(const SlotRequested &Event, TimePoint Now) {
  const RequestKey &Key = Event.Request.Key;
  if (Queue.contains(Key))
    return;
  const auto Reserved = Slots.find(Key);
  if (Reserved != Slots.end()) { // the grant was lost in transit
    Pending.emplace_back(GrantSlot{Key,
                                   Reserved->second.Target,
                                   {},
                                   Suspects.watching(),
                                   Targets.isCold(Reserved->second.Target),
                                   true});
    return;
  }
  const QueuedReservation Entry = makeEntry(Event.Request, Now);
  Arriving.add(Event.Request.Tier, Entry.Work, Now);
  const std::optional<RefuseSlot> Refusal = refusalFor(Entry, Now);
  if (Refusal && redirectRefused(Entry, Refusal->Kind, Now))
    return;
  if (!Refusal && sendToTrialZone(Entry, Now))
    return;
  if (Refusal && !isAwaitingZones(Refusal->Kind, Now)) {
    // Late even without the queue: the estimated length is the cause.
    if (Entry.LatestStart < Now)
      Costs.recordLengthRefusal(Event.Request);
    refuse(Entry, Refusal->Kind, Refusal->RetryAfter, Now);
    return;
  }
  Queue.push(Entry);
  Service.recordQueue(Event.Request.Tier, true, Now);
}

Duration Arbiter::withJitter(Duration RetryAfter, const RequestKey &Key) const {
  if (RetryAfter.count() == 0)
    return RetryAfter;
  // Jitter: callers that were refused together should not retry together.
  const double Jitter = static_cast<double>(std::hash<RequestKey>{}(Key) % 256);
  const double Seconds = std::clamp(toSeconds(RetryAfter), MinRetryAfterSeconds,
                                    MaxRetryAfterSeconds);
  return fromSeconds(Seconds * (1.0 + Jitter / 512));
}

void Arbiter::refuse(const QueuedReservation &Entry, ErrorKind Kind,
                     Duration RetryAfter, TimePoint Now) {
  if (Kind == ErrorKind::Overloaded) {
    const std::size_t Rank = number(Entry.Request.Tier) % MaxTiers;
    if (Now - LastShed[Rank] > OverloadGap)
      ShedSince[Rank] = Now;
    LastShed[Rank] = Now;
    RetryAfter = std::max({RetryAfter, fromSeconds(MinRetryAfterSeconds),
                           overloadAge(Entry.Request.Tier, Now)});
  }
  Pending.emplace_back(RefuseSlot{Entry.Request.Key, Kind,
                                  withJitter(RetryAfter, Entry.Request.Key)});
}

/// Returns for how long this tier, or a higher one, has been shed. Overload
/// that has lasted for a while is expected to go on for about as long: a caller
/// that returns earlier is likely to be refused again.
Duration Arbiter::overloadAge(TierRank Tier, TimePoint Now) const {
  Duration Age{};
  for (std::size_t Rank = 0; Rank <= number(Tier) % MaxTiers; ++Rank)
    if (Now - LastShed[Rank] <= OverloadGap)
      Age = std::max(Age, Now - ShedSince[Rank]);
  return Age;
}

void Arbiter::refuseOverdue(TimePoint Now) {
  for (const RequestKey &Key : Queue.overdue(Now))
    shed(Key, Now);
}

void Arbiter::shed(const RequestKey &Key, TimePoint Now) {
  const std::optional<QueuedReservation> Entry = Queue.cancel(Key);
  if (!Entry)
    return;
  const double Wait = expectedWait(*Entry, Now);
  refuse(*Entry, ErrorKind::Overloaded, fromSeconds(Wait), Now);
}

void Arbiter::refuseLate(TimePoint Now) {
  for (const RequestKey &Key : Queue.nextInRotation(Settings.RechecksPerTick)) {
    const QueuedReservation &Entry = *Queue.find(Key);
    const double Slack = toSeconds(Entry.GiveUpAt - Now);
    const double Wait = expectedWait(Entry, Now);
    if (redirectLate(Entry, Wait, Now))
      Queue.cancel(Key);
    else if (Wait > Settings.RecheckMargin * Slack)
      shed(Key, Now);
  }
}

void Arbiter::refuseUnservable(TimePoint Now) {
  const auto Keys = Queue.keysWhere([this](const QueuedReservation &Entry) {
    return !Targets.anyServing(Entry.Request, Shares);
  });
  for (const RequestKey &Key : Keys) {
    const QueuedReservation Entry = *Queue.cancel(Key);
    if (!redirectRefused(Entry, ErrorKind::NoTarget, Now))
      refuse(Entry, ErrorKind::NoTarget, Settings.NoTargetRetryAfter, Now);
  }
}

// ---- Grants -----------------------------------------------------------------

bool Arbiter::pausedByShed(TierRank Tier, TimePoint Now) const {
  for (std::size_t Rank = 0; Rank < number(Tier); ++Rank)
    if (LastShed[Rank] != TimePoint{} &&
        Now < LastShed[Rank] + Settings.ShedPause)
      return true;
  return false;
}

bool Arbiter::takingOver(TimePoint Now) const {
  return !AwaitedOrigins.empty() && Now < TakeoverUntil;
}

/// Returns the highest tier that is not empty, or the lowest one that is below
/// its floor of slots.
std::optional<TierRank> Arbiter::tierToServe(TimePoint Now) const {
  const std::optional<TierRank> Highest = Queue.highestTier();
  if (!Highest || Settings.TierFloor <= 0)
    return Highest;
  const double Floor =
      Settings.TierFloor * static_cast<double>(Targets.slots(Shares, Now));
  for (std::size_t Rank = MaxTiers; Rank-- > number(*Highest) + 1U;) {
    const auto Tier = static_cast<TierRank>(Rank);
    if (Queue.size(Tier) != 0 &&
        static_cast<double>(InFlight[Rank]) + 1 <= Floor)
      return Tier;
  }
  return Highest;
}

void Arbiter::grantAvailable(TimePoint Now) {
  std::vector<QueuedReservation> SetAside;
  FullBeyond.clear();
  while (SlotMayBeFree) {
    const std::optional<TierRank> Tier = tierToServe(Now);
    if (!Tier || (Settings.TierFloor <= 0 && pausedByShed(*Tier, Now)))
      break;
    SlotMayBeFree = grantNext(*Tier, SetAside, Now);
  }
  for (const QueuedReservation &Entry : SetAside)
    Queue.push(Entry);
  // The next reservation may use a slot that those set aside may not.
  SlotMayBeFree = SlotMayBeFree || !SetAside.empty();
}

bool Arbiter::isFull(const Reservation &Request) const {
  return !Request.ClosedZones.empty() &&
         std::find(FullBeyond.begin(), FullBeyond.end(), Request.ClosedZones) !=
             FullBeyond.end();
}

bool Arbiter::grantNext(TierRank Tier, std::vector<QueuedReservation> &SetAside,
                        TimePoint Now) {
  const QueuedReservation *Unusable = nullptr;
  for (const QueuedReservation *Head : Queue.heads(Tier, MaxHeadsTried)) {
    if (isFull(Head->Request)) {
      Unusable = Head;
      continue;
    }
    const TargetChoice Choice =
        Targets.choose(*Head, Shares, takingOver(Now), Now);
    if (!Choice.AnyRoom)
      return false;
    if (!Choice.AnyOpen && !Head->Request.ClosedZones.empty() &&
        Head->Request.ClosedTargets.empty())
      FullBeyond.push_back(Head->Request.ClosedZones);
    const CrashAdmission Admission =
        Suspects.admit(Head->Request.CrashKeys, Head->Request.Repeat, Now);
    if (Admission.Decision == CrashAdmission::Kind::Refuse) {
      refuse(*Queue.cancel(Head->Request.Key), ErrorKind::CrashingRequest,
             Admission.RetryAfter, Now);
      return true;
    }
    if (sendToTrialZone(*Head, Now)) {
      Queue.cancel(Head->Request.Key);
      return true;
    }
    if (Admission.Decision == CrashAdmission::Kind::Wait) {
      Unusable = Head;
      continue;
    }
    if (Choice.Found) {
      grant(*Queue.dequeue(Head->Request.Key), Choice, Now);
      return Choice.TargetsWithRoom > 1 ||
             Targets.hasRoom(Choice.Target, Shares, takingOver(Now), Now);
    }
    if (!Targets.canMeet(*Head, Shares, Now)) {
      if (redirect(*Head, HopelessWait, Head->GiveUpAt, Now))
        Queue.cancel(Head->Request.Key);
      else
        shed(Head->Request.Key, Now);
      return true;
    }
    if (!Head->Request.ClosedTargets.empty() ||
        !Head->Request.ClosedZones.empty())
      Unusable = Head;
  }
  if (Unusable == nullptr)
    return false;
  SetAside.push_back(*Queue.cancel(Unusable->Request.Key));
  return true;
}

void Arbiter::grant(const QueuedReservation &Entry, const TargetChoice &Choice,
                    TimePoint Now) {
  Slot Reserved;
  Reserved.Request = Entry.Request;
  Reserved.Cost = Entry.Cost;
  Reserved.Work = Entry.Work;
  Reserved.Target = Choice.Target;
  Reserved.GrantedAt = Now;
  Reserved.Deadline = Entry.Deadline;
  const TimePoint Finish = Now + fromSeconds(Choice.FinishSeconds);
  Reserved.ExpiresAt = std::max(Entry.Deadline, Finish) + Settings.ReleaseGrace;
  Targets.addSlot(Reserved, takingOver(Now), Now);
  Targets.recordSend(Choice.Target, Entry.Work, Now);
  addSlot(Reserved);
  Service.recordGrant(Entry.Request.Tier, Entry.Work, Now);
  Suspects.recordGrant(Entry.Request.Key, Choice.Target,
                       Entry.Request.CrashKeys, Now);
  const bool Watched =
      Suspects.watching() || Targets.ramp(Choice.Target) != nullptr;
  Pending.emplace_back(GrantSlot{Entry.Request.Key, Choice.Target,
                                 Reserved.Version, Watched,
                                 Targets.isCold(Choice.Target)});
}

void Arbiter::addSlot(const Slot &Reserved) {
  ++InFlight[number(Reserved.Request.Tier) % MaxTiers];
  Shares.recordGrant(Reserved.Version);
  ByExpiry.emplace(Reserved.ExpiresAt, Reserved.Request.Key);
  Slots.emplace(Reserved.Request.Key, Reserved);
}

void Arbiter::unscheduleExpiry(const Slot &Reserved) {
  const auto [First, Last] = ByExpiry.equal_range(Reserved.ExpiresAt);
  const auto Found = std::find_if(First, Last, [&Reserved](const auto &Item) {
    return Item.second == Reserved.Request.Key;
  });
  if (Found != Last)
    ByExpiry.erase(Found);
}

std::optional<Slot> Arbiter::removeSlot(const RequestKey &Key, TimePoint Now) {
  const auto Found = Slots.find(Key);
  if (Found == Slots.end())
    return std::nullopt;
  const Slot Reserved = Found->second;
  Slots.erase(Found);
  Suspects.recordEnd(Key, AttemptEnd::Other, Now);
  --InFlight[number(Reserved.Request.Tier) % MaxTiers];
  unscheduleExpiry(Reserved);
  Targets.removeSlot(Reserved, Now);
  Shares.recordCompletion(Reserved.Version);
  SlotMayBeFree = true;
  return Reserved;
}

void Arbiter::apply(const SlotRequestCancelled &Event, TimePoint Now) {
  Queue.cancel(Event.Key);
  SlotMayBeFree = true; // the next head may fit where this one did not
  const std::optional<Slot> Reserved = removeSlot(Event.Key, Now);
  if (Reserved) // the cancellation and the grant crossed in transit
    Queue.charge(Reserved->Request.Tier, Reserved->Request.Account,
                 -Reserved->Work);
}

AttemptEnd Arbiter::attemptEnd(const Usage &Used) {
  if (Used.ConnectionLost)
    return Used.AnswerBegan ? AttemptEnd::LostInAnswer
                            : AttemptEnd::ConnectionLost;
  const bool Answered =
      Used.AnswerBegan || Used.Outcome == DispatchOutcome::Complete;
  return Answered ? AttemptEnd::Answered : AttemptEnd::Other;
}

void Arbiter::apply(const SlotReleased &Event, TimePoint Now) {
  Suspects.recordEnd(Event.Key, attemptEnd(Event.Used), Now);
  const std::optional<Slot> Reserved = removeSlot(Event.Key, Now);
  if (!Reserved)
    return;
  const Usage &Used = Event.Used;
  Targets.recordOutcome(Reserved->Target, Used.Outcome, Now);
  Targets.recordRelease(*Reserved, Used, Now);
  Costs.recordAnswer(Reserved->Request, Used);
  double Work = 0;
  if (Used.Outcome != DispatchOutcome::NotRun) {
    const std::uint32_t Prompt =
        std::max(Used.PromptTokens, Reserved->Cost.Prompt);
    Work = workOf({Prompt, std::max(Used.OutputTokens, Reserved->Tokens)});
  }
  Queue.charge(Reserved->Request.Tier, Reserved->Request.Account,
               Work - Reserved->Work);
}

void Arbiter::apply(const SlotProgressed &Event, TimePoint Now) {
  const auto Reserved = Slots.find(Event.Key);
  if (Reserved != Slots.end())
    Targets.recordProgress(Reserved->second, Event.OutputTokens, Now);
}

void Arbiter::apply(const AttemptLost &Event, TimePoint Now) {
  if (Event.AnsweredAge > Duration(0))
    Suspects.recordEarlierAnswer(Event.Keys, Now - Event.AnsweredAge, Now);
  if (Event.PassedOn)
    return Suspects.recordPassedOn(Event.Keys, Event.Target, Now - Event.Age,
                                   Now - Event.LostAge, Event.Proven, Now);
  Suspects.recordLost(Event.Keys, Event.Target, Now - Event.Age, Now);
}

void Arbiter::apply(const AnswerBegan &Event, TimePoint Now) {
  Suspects.recordAnswer(Event.Key, Now);
  const auto Reserved = Slots.find(Event.Key);
  if (Reserved != Slots.end())
    Targets.recordAnswerBegan(Reserved->second, Now);
  SlotMayBeFree = true; // requests with the same keys may wait no longer
}

void Arbiter::apply(const CrashHoldsLearned &Event, TimePoint Now) {
  for (const CrashHold &Hold : Event.Holds)
    Suspects.learn(Hold, Now);
  SlotMayBeFree = true;
}

// ---- Targets and versions ---------------------------------------------------

/// Records targets that are no longer listed, or have started again.
void Arbiter::recordGoneTargets(const std::vector<TargetInfo> &Current,
                                TimePoint Now) {
  std::unordered_map<TargetId, IncarnationId> Before =
      std::exchange(Listed, {});
  for (const TargetInfo &Target : Current) {
    Listed.emplace(Target.Id, Target.Incarnation);
    const auto Known = Before.find(Target.Id);
    if (Known != Before.end() && Known->second == Target.Incarnation)
      Before.erase(Known);
  }
  for (const auto &[Target, Incarnation] : Before)
    Suspects.recordGone(Target, Now);
}

void Arbiter::apply(const TargetsChanged &Event, TimePoint Now) {
  recordGoneTargets(Event.Targets, Now);
  Targets.setTargets(Event.Targets, Now);
  SpeedsValidUntil = {};
  SlotMayBeFree = true;
  refuseUnservable(Now);
}

void Arbiter::apply(const AccountWeightChanged &Event, TimePoint /*Now*/) {
  Queue.setWeight(Event.Account, Event.Weight);
}

void Arbiter::apply(const LoadReported &Event, TimePoint Now) {
  Targets.mergeReport(Event, Now);
  SlotMayBeFree = true;
}

void Arbiter::apply(const TargetLeaving &Event, TimePoint Now) {
  Targets.markLeaving(Event.Target, Event.Incarnation);
  SpeedsValidUntil = {};
  refuseUnservable(Now);
}

void Arbiter::apply(const TargetRefused &Event, TimePoint Now) {
  Targets.recordRefusal(Event.Target, Now);
  if (Event.Unreachable)
    Suspects.recordGone(Event.Target, Now);
  SpeedsValidUntil = {};
}

void Arbiter::apply(const TargetPaceChanged &Event, TimePoint Now) {
  Targets.setPace(Event.Target, Event.Pace, Now);
  SpeedsValidUntil = {};
  SlotMayBeFree = true;
}

void Arbiter::apply(const PaceLeaseChanged &Event, TimePoint Now) {
  Targets.setPaceLease(Now + Event.Left, Now + Event.InTouch,
                       Event.UnconfirmedPerSecond);
  SlotMayBeFree = true;
}

void Arbiter::apply(const VersionTripped &Event, TimePoint Now) {
  Shares.trip(Event.Version);
  SpeedsValidUntil = {};
  refuseUnservable(Now);
}

void Arbiter::apply(const VersionShareChanged &Event, TimePoint /*Now*/) {
  Shares.setShare(Event.Version, Event.Share);
  SpeedsValidUntil = {};
  SlotMayBeFree = true;
}

void Arbiter::apply(const ServingVersionChanged &Event, TimePoint /*Now*/) {
  Shares.setServing(Event.Version);
  SpeedsValidUntil = {};
  SlotMayBeFree = true;
}

// ---- Origins ----------------------------------------------------------------

void Arbiter::apply(const TakeoverStarted &Event, TimePoint Now) {
  AwaitedOrigins.insert(Event.Origins.begin(), Event.Origins.end());
  TakeoverUntil = Now + Settings.TakeoverTimeout;
  Targets.startTakeover();
}

void Arbiter::apply(const GrantsReported &Event, TimePoint Now) {
  AwaitedOrigins.erase(Event.Origin);
  SlotMayBeFree = true;
  for (const HeldGrant &Grant : Event.Grants) {
    if (Slots.count(Grant.Request.Key) != 0)
      continue;
    Queue.cancel(Grant.Request.Key);
    Slot Reserved;
    Reserved.Request = Grant.Request;
    Reserved.Cost = {Grant.Request.Cost.Prompt,
                     Costs.estimate(Grant.Request).Mean};
    Reserved.Target = Grant.Target;
    Reserved.GrantedAt = Now;
    Reserved.Deadline = Now + Grant.Request.Remaining;
    Reserved.ExpiresAt = Reserved.Deadline + Settings.ReleaseGrace;
    Targets.addSlot(Reserved, false, Now);
    addSlot(Reserved);
    Suspects.recordGrant(Grant.Request.Key, Grant.Target,
                         Grant.Request.CrashKeys, Now);
  }
}

void Arbiter::apply(const OriginLost &Event, TimePoint Now) {
  AwaitedOrigins.erase(Event.Origin);
  SlotMayBeFree = true;
  const auto IsLost = [&Event](const RequestKey &Key) {
    return Key.Origin == Event.Origin &&
           Key.OriginIncarnation <= Event.LastIncarnation;
  };
  const auto Queued =
      Queue.keysWhere([&IsLost](const QueuedReservation &Entry) {
        return IsLost(Entry.Request.Key);
      });
  for (const RequestKey &Key : Queued)
    Queue.cancel(Key);
  for (auto &[Key, Reserved] : Slots) {
    if (!IsLost(Key))
      continue;
    // The connection to the target was lost with the origin, so that the engine
    // stops at its next step. The expected end is therefore an upper bound.
    const double Expected =
        Targets.expectedSeconds(Reserved.Target, Reserved.Cost, Now);
    unscheduleExpiry(Reserved);
    Reserved.ExpiresAt =
        std::min(Reserved.ExpiresAt,
                 std::max(Now, Reserved.GrantedAt + fromSeconds(Expected)));
    ByExpiry.emplace(Reserved.ExpiresAt, Key);
  }
}

void Arbiter::apply(const SlotsConfirmed &Event, TimePoint Now) {
  std::vector<RequestKey> Lost;
  for (const auto &[Key, Reserved] : Slots)
    if (Key.Origin == Event.Origin &&
        Key.OriginIncarnation == Event.OriginIncarnation &&
        Reserved.GrantedAt + Event.Grace < Now &&
        Event.ActiveRequests.count(Key.Id) == 0)
      Lost.push_back(Key);
  for (const RequestKey &Key : Lost)
    removeSlot(Key, Now);
}

void Arbiter::apply(const ArbiterTicked & /*Event*/, TimePoint Now) {
  for (std::size_t Rank = 0; Rank < MaxTiers; ++Rank) {
    const auto Tier = static_cast<TierRank>(Rank);
    Service.recordQueue(Tier, Queue.size(Tier) != 0, Now);
  }
  SlotMayBeFree = true;
  Suspects.tick(Now);
  refuseLate(Now);
  if (divided())
    refuseUnservable(Now);
  Queue.removeIdleAccounts();
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= Now) {
    const RequestKey Key = ByExpiry.begin()->second;
    removeSlot(Key, Now);
  }
}

} // namespace marjorambay
