/// Composes queue, targets, costs and shares into one policy.
#include "marjorambay/coordination/arbiter.h"

#include <algorithm>

namespace marjorambay {

namespace {

// A head whose deadline no free target can meet must not stop the accounts
// behind it; more than a few of them means that the pool is full.
constexpr std::size_t HeadsTried = 8;

// Of the capacity, for a tier whose betters ask for all of it.
constexpr double SmallestShare = 0.02;

// Prompts are read more slowly while the batch decodes; one whose deadline
// comes first was read in vain. From scripts/policy-bench.
constexpr double PromptMargin = 1.5;

constexpr double ShortestRetry = 0.1; // seconds
constexpr double LongestRetry = 30.0; // seconds

} // namespace

ArbiterActions Arbiter::step(const ArbiterEvent &Event, TimePoint Now) {
  Pending.clear();
  refreshFigures(Now);
  std::visit([this, Now](const auto &Each) { apply(Each, Now); }, Event);
  refuseOverdue(Now);
  grantWhatFits(Now);
  return std::move(Pending);
}

void Arbiter::refreshFigures(TimePoint Now) {
  if (Now < FiguresUntil)
    return;
  Targets.refresh(Shares, Now);
  FiguresUntil = Now + Settings.FiguresAge;
}

ArbiterView Arbiter::view(TimePoint Now) const {
  ArbiterView Seen;
  for (std::size_t Rank = 0; Rank < MaxTiers; ++Rank)
    Seen.Queued[Rank] = Queue.size(static_cast<TierRank>(Rank));
  Seen.InFlight = Slots.size();
  Seen.PendingOrigins = Awaited.size();
  Seen.Capacity = Targets.capacity();
  Seen.Limit = Targets.slots(Shares, Now);
  Seen.Declared = Targets.declaredSlots(Shares);
  return Seen;
}

// ---- Admission --------------------------------------------------------------

double Arbiter::workOf(const TokenCost &Cost) const {
  return Cost.Output +
         Targets.promptWeight(Settings.PromptTokenWeight) * Cost.Prompt;
}

TimePoint Arbiter::latestStart(const Waiting &Entry, bool Busy) const {
  const double Takes = Targets.fastestSeconds(Entry.SafeCost, Busy);
  return Entry.Deadline - fromSeconds(Takes);
}

/// Returns the latest start whose first token is in time, or nothing without an
/// aim.
std::optional<TimePoint> Arbiter::latestForAim(const Waiting &Entry,
                                               TimePoint Now) const {
  if (Entry.Request.FirstTokenObjective.count() <= 0)
    return std::nullopt;
  const TokenCost First{Entry.Cost.Prompt, 1};
  const double Takes = Targets.fastestSeconds(First, true);
  return Now + Entry.Request.FirstTokenObjective - fromSeconds(Takes);
}

Waiting Arbiter::waitingFor(const Reservation &Request, TimePoint Now) {
  Waiting Entry;
  Entry.Request = Request;
  const LengthEstimate Length = Costs.estimate(Request);
  Entry.Cost = {Request.Cost.Prompt, Length.Mean};
  Entry.LeastCost = {Request.Cost.Prompt, Length.Least};
  const double Prompt = PromptMargin * Request.Cost.Prompt;
  Entry.SafeCost = {static_cast<std::uint32_t>(Prompt), Length.Most};
  Entry.Work = workOf(Entry.Cost);
  Entry.Queued = Now;
  Entry.Deadline = Now + Request.Remaining;
  Entry.LatestStart = latestStart(Entry, true);
  if (Entry.LatestStart < Now) // too tight for a full batch, but some are not
    Entry.LatestStart = latestStart(Entry, false);
  if (const auto ForAim = latestForAim(Entry, Now))
    Entry.LatestStart = std::min(Entry.LatestStart,
                                 std::max(*ForAim, Now + Settings.LeastWait));
  return Entry;
}

double Arbiter::capacityFor(TierRank Tier, Duration Horizon, TimePoint Now) {
  const double All = Targets.capacity();
  return std::max(std::max(SmallestShare, Settings.TierFloor) * All,
                  All - Arriving.above(Tier, Horizon, Now));
}

double Arbiter::expectedWait(const Waiting &Entry, TimePoint Now) {
  const WorkAhead Ahead = Queue.workAhead(
      Entry.Request.Tier, Entry.Request.Account, Entry.LatestStart);
  const double Rate =
      capacityFor(Entry.Request.Tier, Entry.LatestStart - Now, Now);
  const double Work = Ahead.HigherTiers + Ahead.SameTier;
  const double InOrder = Work == 0 ? 0 : Work / std::max(1e-3, Rate);
  if (Settings.TierFloor <= 0)
    return InOrder;
  // Through its floor a tier waits for its own work only.
  const double FloorRate = Settings.TierFloor * Targets.capacity();
  return std::min(InOrder, Ahead.SameTier / std::max(1e-3, FloorRate));
}

bool Arbiter::hopeless(const Waiting &Entry, TimePoint Now) const {
  const double Alone = Targets.fastestSeconds(Entry.LeastCost, false);
  return Entry.Deadline < Now + fromSeconds(Alone);
}

std::optional<RefuseSlot> Arbiter::refusalFor(const Waiting &Entry,
                                              TimePoint Now) {
  const RequestKey Key = Entry.Request.Key;
  if (!Targets.anyFor(Entry.Request.Version, Shares))
    return RefuseSlot{Key, ErrorKind::NoTarget, Settings.NoTargetRetryAfter};
  if (Entry.LatestStart < Now && hopeless(Entry, Now))
    return RefuseSlot{Key, ErrorKind::DeadlinePassed, Duration(0)};
  const double Late =
      expectedWait(Entry, Now) - toSeconds(Entry.LatestStart - Now);
  if (Late <= 0 && Queue.size() < Settings.MaxQueued)
    return std::nullopt;
  return RefuseSlot{Key, ErrorKind::Overloaded, fromSeconds(Late)};
}

void Arbiter::apply(const SlotRequested &Event, TimePoint Now) {
  const RequestKey &Key = Event.Request.Key;
  if (Queue.contains(Key))
    return;
  const auto Held = Slots.find(Key);
  if (Held != Slots.end()) { // the grant was lost on its way
    Pending.emplace_back(GrantSlot{Key, Held->second.Target});
    return;
  }
  const Waiting Entry = waitingFor(Event.Request, Now);
  Arriving.add(Event.Request.Tier, Entry.Work, Now);
  const std::optional<RefuseSlot> Refusal = refusalFor(Entry, Now);
  if (Refusal) {
    if (Entry.LatestStart < Now) // for its length, not for those before it
      Costs.doubt(Event.Request);
    refuse(Entry, Refusal->Kind, Refusal->RetryAfter, Now);
    return;
  }
  Queue.push(Entry);
}

Duration Arbiter::spread(Duration RetryAfter, const RequestKey &Key) const {
  if (RetryAfter.count() == 0)
    return RetryAfter;
  // Callers that were refused together should not come back together.
  const double Part = static_cast<double>(std::hash<RequestKey>{}(Key) % 256);
  const double Seconds =
      std::clamp(toSeconds(RetryAfter), ShortestRetry, LongestRetry);
  return fromSeconds(Seconds * (1.0 + Part / 512));
}

void Arbiter::refuse(const Waiting &Entry, ErrorKind Kind, Duration RetryAfter,
                     TimePoint Now) {
  if (Kind == ErrorKind::Overloaded) {
    LastShed[number(Entry.Request.Tier) % MaxTiers] = Now;
    RetryAfter = std::max(RetryAfter, fromSeconds(ShortestRetry));
  }
  Pending.emplace_back(RefuseSlot{Entry.Request.Key, Kind,
                                  spread(RetryAfter, Entry.Request.Key)});
}

void Arbiter::refuseOverdue(TimePoint Now) {
  for (const RequestKey &Key : Queue.overdue(Now))
    giveUp(Key, Now);
}

void Arbiter::giveUp(const RequestKey &Key, TimePoint Now) {
  const std::optional<Waiting> Entry = Queue.cancel(Key);
  if (!Entry)
    return;
  const double Wait = expectedWait(*Entry, Now);
  refuse(*Entry, ErrorKind::Overloaded, fromSeconds(Wait), Now);
}

void Arbiter::refuseLate(TimePoint Now) {
  for (const RequestKey &Key :
       Queue.nextInRotation(Settings.RecheckedPerTick)) {
    const Waiting &Entry = *Queue.find(Key);
    const double Slack = toSeconds(Entry.LatestStart - Now);
    if (expectedWait(Entry, Now) > Settings.RecheckMargin * Slack)
      giveUp(Key, Now);
  }
}

void Arbiter::refuseUnservable(TimePoint Now) {
  const auto Keys = Queue.keysWhere([this](const Waiting &Entry) {
    return !Targets.anyFor(Entry.Request.Version, Shares);
  });
  for (const RequestKey &Key : Keys)
    refuse(*Queue.cancel(Key), ErrorKind::NoTarget, Settings.NoTargetRetryAfter,
           Now);
}

// ---- Grants -----------------------------------------------------------------

bool Arbiter::heldBack(TierRank Tier, TimePoint Now) const {
  for (std::size_t Rank = 0; Rank < number(Tier); ++Rank)
    if (LastShed[Rank] != TimePoint{} &&
        Now < LastShed[Rank] + Settings.ShedHold)
      return true;
  return false;
}

bool Arbiter::takingOver(TimePoint Now) const {
  return !Awaited.empty() && Now < TakeoverUntil;
}

/// The highest tier in which something waits; before it, one that holds fewer
/// slots than its floor.
std::optional<TierRank> Arbiter::tierToServe(TimePoint Now) const {
  const std::optional<TierRank> Highest = Queue.highestWaiting();
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

void Arbiter::grantWhatFits(TimePoint Now) {
  while (RoomMayExist) {
    const std::optional<TierRank> Tier = tierToServe(Now);
    if (!Tier || (Settings.TierFloor <= 0 && heldBack(*Tier, Now)))
      return;
    RoomMayExist = serveOne(*Tier, Now);
  }
}

bool Arbiter::serveOne(TierRank Tier, TimePoint Now) {
  for (const Waiting *Head : Queue.heads(Tier, HeadsTried)) {
    const TargetChoice Choice =
        Targets.choose(*Head, Shares, takingOver(Now), Now);
    if (!Choice.AnyRoom)
      return false;
    if (Choice.Found) {
      grant(*Queue.take(Head->Request.Key), Choice, Now);
      return Choice.Roomy > 1 ||
             Targets.hasRoom(Choice.Target, takingOver(Now), Now);
    }
    if (!Targets.canMeet(*Head, Shares, Now)) {
      giveUp(Head->Request.Key, Now);
      return true;
    }
  }
  return false;
}

void Arbiter::grant(const Waiting &Entry, const TargetChoice &Choice,
                    TimePoint Now) {
  Slot Held;
  Held.Request = Entry.Request;
  Held.Cost = Entry.Cost;
  Held.Work = Entry.Work;
  Held.Target = Choice.Target;
  Held.Granted = Now;
  Held.Deadline = Entry.Deadline;
  const TimePoint Finish = Now + fromSeconds(Choice.FinishSeconds);
  Held.ForgetAt = std::max(Entry.Deadline, Finish) + Settings.ReleaseGrace;
  Targets.occupy(Held, takingOver(Now), Now);
  hold(Held);
  Pending.emplace_back(
      GrantSlot{Entry.Request.Key, Choice.Target, Held.Version});
}

void Arbiter::hold(const Slot &Held) {
  ++InFlight[number(Held.Request.Tier) % MaxTiers];
  Shares.recordGrant(Held.Version);
  ByForgetAt.emplace(Held.ForgetAt, Held.Request.Key);
  Slots.emplace(Held.Request.Key, Held);
}

void Arbiter::unscheduleForget(const Slot &Held) {
  const auto [First, Last] = ByForgetAt.equal_range(Held.ForgetAt);
  const auto Found = std::find_if(First, Last, [&Held](const auto &Item) {
    return Item.second == Held.Request.Key;
  });
  if (Found != Last)
    ByForgetAt.erase(Found);
}

std::optional<Slot> Arbiter::drop(const RequestKey &Key, TimePoint Now) {
  const auto Found = Slots.find(Key);
  if (Found == Slots.end())
    return std::nullopt;
  const Slot Held = Found->second;
  Slots.erase(Found);
  --InFlight[number(Held.Request.Tier) % MaxTiers];
  unscheduleForget(Held);
  Targets.vacate(Held, Now);
  Shares.recordCompletion(Held.Version);
  RoomMayExist = true;
  return Held;
}

void Arbiter::apply(const SlotRequestCancelled &Event, TimePoint Now) {
  Queue.cancel(Event.Key);
  RoomMayExist = true; // the next head may fit where this one did not
  const std::optional<Slot> Held = drop(Event.Key, Now);
  if (Held) // the cancellation crossed its grant
    Queue.charge(Held->Request.Tier, Held->Request.Account, -Held->Work);
}

void Arbiter::apply(const SlotReleased &Event, TimePoint Now) {
  const std::optional<Slot> Held = drop(Event.Key, Now);
  if (!Held)
    return;
  const Usage &Used = Event.Used;
  Targets.judge(Held->Target, Used.Outcome, Now);
  Targets.learnRelease(*Held, Used, Now);
  Costs.learn(Held->Request, Used);
  double Work = 0;
  if (Used.Outcome != DispatchOutcome::NotRun) {
    const std::uint32_t Prompt = std::max(Used.PromptTokens, Held->Cost.Prompt);
    Work = workOf({Prompt, std::max(Used.OutputTokens, Held->Tokens)});
  }
  Queue.charge(Held->Request.Tier, Held->Request.Account, Work - Held->Work);
}

void Arbiter::apply(const SlotProgressed &Event, TimePoint Now) {
  const auto Held = Slots.find(Event.Key);
  if (Held != Slots.end())
    Targets.learnProgress(Held->second, Event.OutputTokens, Now);
}

// ---- Targets and versions ---------------------------------------------------

void Arbiter::apply(const TargetsChanged &Event, TimePoint Now) {
  Targets.setTargets(Event.Targets);
  FiguresUntil = {};
  RoomMayExist = true;
  refuseUnservable(Now);
}

void Arbiter::apply(const AccountWeightChanged &Event, TimePoint /*Now*/) {
  Queue.setWeight(Event.Account, Event.Weight);
}

void Arbiter::apply(const LoadReported &Event, TimePoint Now) {
  Targets.mergeReport(Event, Now);
  RoomMayExist = true;
}

void Arbiter::apply(const TargetLeaving &Event, TimePoint Now) {
  Targets.markLeft(Event.Target, Event.Incarnation);
  FiguresUntil = {};
  refuseUnservable(Now);
}

void Arbiter::apply(const TargetRefused &Event, TimePoint Now) {
  Targets.markRefused(Event.Target, Now);
  FiguresUntil = {};
}

void Arbiter::apply(const VersionTripped &Event, TimePoint Now) {
  Shares.trip(Event.Version);
  FiguresUntil = {};
  refuseUnservable(Now);
}

void Arbiter::apply(const VersionShareChanged &Event, TimePoint /*Now*/) {
  Shares.setShare(Event.Version, Event.Share);
  FiguresUntil = {};
  RoomMayExist = true;
}

void Arbiter::apply(const ServingVersionChanged &Event, TimePoint /*Now*/) {
  Shares.setServing(Event.Version);
  FiguresUntil = {};
  RoomMayExist = true;
}

// ---- Origins ----------------------------------------------------------------

void Arbiter::apply(const TakeoverStarted &Event, TimePoint Now) {
  Awaited.insert(Event.Origins.begin(), Event.Origins.end());
  TakeoverUntil = Now + Settings.TakeoverPatience;
  Targets.startTakeover();
}

void Arbiter::apply(const GrantsReported &Event, TimePoint Now) {
  Awaited.erase(Event.Origin);
  RoomMayExist = true;
  for (const HeldGrant &Grant : Event.Grants) {
    if (Slots.count(Grant.Request.Key) != 0)
      continue;
    Queue.cancel(Grant.Request.Key);
    Slot Held;
    Held.Request = Grant.Request;
    Held.Cost = {Grant.Request.Cost.Prompt, Costs.estimate(Grant.Request).Mean};
    Held.Target = Grant.Target;
    Held.Granted = Now;
    Held.Deadline = Now + Grant.Request.Remaining;
    Held.ForgetAt = Held.Deadline + Settings.ReleaseGrace;
    Targets.occupy(Held, false, Now);
    hold(Held);
  }
}

void Arbiter::apply(const OriginLost &Event, TimePoint Now) {
  Awaited.erase(Event.Origin);
  RoomMayExist = true;
  const auto Gone = [&Event](const RequestKey &Key) {
    return Key.Origin == Event.Origin &&
           Key.OriginIncarnation <= Event.LastIncarnation;
  };
  const auto Queued = Queue.keysWhere(
      [&Gone](const Waiting &Entry) { return Gone(Entry.Request.Key); });
  for (const RequestKey &Key : Queued)
    Queue.cancel(Key);
  for (auto &[Key, Held] : Slots) {
    if (!Gone(Key))
      continue;
    // The connection to the target broke with the origin, so that the engine
    // stops at its next step; the expected end is the latest.
    const double Expected =
        Targets.expectedSeconds(Held.Target, Held.Cost, Now);
    unscheduleForget(Held);
    Held.ForgetAt = std::min(
        Held.ForgetAt, std::max(Now, Held.Granted + fromSeconds(Expected)));
    ByForgetAt.emplace(Held.ForgetAt, Key);
  }
}

void Arbiter::apply(const SlotsConfirmed &Event, TimePoint Now) {
  std::vector<RequestKey> Lost;
  for (const auto &[Key, Held] : Slots)
    if (Key.Origin == Event.Origin &&
        Key.OriginIncarnation == Event.OriginIncarnation &&
        Held.Granted + Event.Grace < Now &&
        Event.ActiveRequests.count(Key.Id) == 0)
      Lost.push_back(Key);
  for (const RequestKey &Key : Lost)
    drop(Key, Now);
}

void Arbiter::apply(const ArbiterTicked & /*Event*/, TimePoint Now) {
  RoomMayExist = true;
  refuseLate(Now);
  Queue.forgetIdleAccounts();
  while (!ByForgetAt.empty() && ByForgetAt.begin()->first <= Now) {
    const RequestKey Key = ByForgetAt.begin()->second;
    drop(Key, Now);
  }
}

} // namespace marjorambay
