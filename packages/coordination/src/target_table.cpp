/// Chooses the target with the earliest expected finish among those with a free
/// slot.
#include "marjorambay/coordination/target_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace marjorambay {

namespace {

// Assumed cached part of a prompt on a prefix hit.
constexpr double PrefixCachedShare = 0.5;
constexpr double LatePenalty = 1e3; // seconds; penalty for a late first token
constexpr double DueBonus = 1e6;    // seconds; outweighs any finish time
// Seconds; outweighs a finish time, but not a late first token. A limited
// target that others keep from its requests can't say that its need is over.
constexpr double SpareBonus = 100;

/// Returns whether \p Request may use no target in \p Zone.
bool isClosed(ZoneId Zone, const Reservation &Request) {
  const std::vector<ZoneId> &Closed = Request.ClosedZones;
  return std::find(Closed.begin(), Closed.end(), Zone) != Closed.end();
}

/// Returns whether the origin of \p Request may not use \p Target for it.
bool isClosed(const TargetInfo &Target, const Reservation &Request) {
  const std::vector<TargetId> &Closed = Request.ClosedTargets;
  return std::find(Closed.begin(), Closed.end(), Target.Id) != Closed.end() ||
         isClosed(Target.Zone, Request);
}

} // namespace

const TargetTable::TargetState *TargetTable::find(TargetId Target) const {
  const auto Found = Indices.find(Target);
  return Found == Indices.end() ? nullptr : &Entries[Found->second];
}

std::uint32_t TargetTable::limitOf(const TargetState &State,
                                   TimePoint Now) const {
  return Settings.TrustDeclaredSlots ? State.Info.MaxRequestsInFlight
                                     : State.Model.requestLimit(Now);
}

void TargetTable::setTargets(const std::vector<TargetInfo> &Targets,
                             TimePoint Now) {
  const bool FirstList = !std::exchange(HasList, true);
  for (TargetState &State : Entries)
    State.Listed = false;
  for (const TargetInfo &Info : Targets) {
    const auto [Place, New] = Indices.emplace(Info.Id, Entries.size());
    if (New)
      Entries.emplace_back();
    TargetState &State = Entries[Place->second];
    const bool Restarted = Info.Incarnation > State.LeavingIncarnation;
    if (State.MarkedLeaving && Restarted &&
        number(State.LeavingIncarnation) != 0)
      State.MarkedLeaving = false;
    // Failures of an earlier incarnation do not count.
    if (Info.Incarnation > State.Info.Incarnation)
      State.Health = TargetHealth{};
    const TargetInfo Before = State.Info;
    State.Info = Info;
    startRampIfNew(State, Before, FirstList, Now);
    State.Listed = true;
    State.WasListed = true;
    State.Model.configure(Info.TokensPerSecond, Info.MaxRequestsInFlight);
  }
  endUnlistedRamps(Now);
  removeUnlisted();
}

void TargetTable::removeUnlisted() {
  std::erase_if(Entries, [](const TargetState &State) {
    return !State.Listed && State.InFlight == 0;
  });
  Indices.clear();
  for (std::size_t Place = 0; Place < Entries.size(); ++Place) {
    Entries[Place].MarkedLeaving =
        Entries[Place].MarkedLeaving && Entries[Place].Listed;
    Indices.emplace(Entries[Place].Info.Id, Place);
  }
  Pacer.retain(Indices);
}

void TargetTable::markLeaving(TargetId Target, IncarnationId Incarnation) {
  const auto Found = Indices.find(Target);
  if (Found == Indices.end())
    return;
  TargetState &State = Entries[Found->second];
  const bool Outdated =
      number(Incarnation) != 0 && Incarnation < State.Info.Incarnation;
  if (Outdated)
    return;
  State.MarkedLeaving = true;
  State.LeavingIncarnation = std::max(Incarnation, State.Info.Incarnation);
}

void TargetTable::recordRefusal(TargetId Target, TimePoint Now) {
  const auto Found = Indices.find(Target);
  if (Found == Indices.end())
    return;
  TargetState &State = Entries[Found->second];
  // Concurrent refusals count once.
  if (Now < State.BackOffUntil)
    return;
  const std::uint32_t Doublings = std::min(State.Refusals, 8U);
  const Duration Wait = Settings.InitialBackOff * (1U << Doublings);
  State.BackOffUntil = Now + std::min(Wait, Settings.MaxBackOff);
  ++State.Refusals;
  if (Ramps.contains(Target))
    recordRampFailure(Target, Now, Now);
  else
    startRamp(State, RampStart::BackOff, Now);
}

void TargetTable::setPace(TargetId Target,
                          const std::optional<TargetPace> &Pace,
                          TimePoint Now) {
  Pacer.set(Target, Pace, Now);
}

void TargetTable::recordSend(TargetId Target, double Work, TimePoint Now) {
  constexpr double Gain = 0.05;
  MeanWork = MeanWork == 0 ? Work : MeanWork + Gain * (Work - MeanWork);
  Pacer.recordSend(Target, Now);
}

/// Returns the seconds until a cold target is expected to be warm, or a guess
/// if that is not known; infinity if it is not cold.
double TargetTable::secondsToFullRate(TargetId Target, TimePoint Now) const {
  constexpr double Guess = 3;
  if (!Pacer.isCold(Target))
    return std::numeric_limits<double>::infinity();
  const TimePoint EndsAt = Pacer.endsAt(Target);
  return EndsAt == TimePoint{} ? Guess : std::max(0.0, toSeconds(EndsAt - Now));
}

std::optional<double> TargetTable::secondsToSend(std::size_t Ahead,
                                                 const VersionShare &Shares,
                                                 TimePoint Now) const {
  double Rate = 0;
  double Allowed = 0;
  double Longest = std::numeric_limits<double>::infinity();
  for (const TargetState &State : Entries) {
    if (!available(State, Shares))
      continue;
    const std::optional<double> Limited = Pacer.rate(State.Info.Id, Now);
    if (!Limited)
      return std::nullopt;
    Rate += *Limited;
    Allowed += Pacer.allowance(State.Info.Id, Now);
    Longest = std::min(Longest, secondsToFullRate(State.Info.Id, Now));
  }
  if (Rate == 0)
    return std::isinf(Longest) ? std::nullopt : std::optional(Longest);
  return std::min(
      Longest,
      std::max(0.0, (static_cast<double>(Ahead) + 1 - Allowed) / Rate));
}

void TargetTable::mergeReport(const LoadReported &Report, TimePoint Now) {
  const auto Found = Indices.find(Report.Target);
  if (Found == Indices.end())
    return;
  Entries[Found->second].History.merge(Report.RequestsInFlight,
                                       Now - Report.Age);
}

bool TargetTable::available(const TargetState &State,
                            const VersionShare &Shares) const {
  return State.Listed && !State.MarkedLeaving && !State.Info.Leaving &&
         !State.Info.Evacuated && Shares.usable(State.Info.Version);
}

bool TargetTable::anyServing(const Reservation &Request,
                             const VersionShare &Shares) const {
  const VersionId Version = Request.Version;
  return std::any_of(
      Entries.begin(), Entries.end(), [&](const TargetState &State) {
        return available(State, Shares) &&
               (number(Version) == 0 || State.Info.Version == Version) &&
               !isClosed(State.Info.Zone, Request);
      });
}

double TargetTable::promptAhead(const TargetState &State, TimePoint Now) const {
  if (State.PrefillUntil <= Now)
    return 0;
  return toSeconds(State.PrefillUntil - Now) / State.Model.prefillSeconds();
}

double TargetTable::streams(const TargetState &State, TimePoint Now) const {
  return State.InFlight + State.History.others(Now);
}

/// Returns whether the target is ejected. A target that fails requests
/// immediately also frees its slots immediately; without ejection it would
/// attract more requests than all the others serve.
bool TargetTable::ejected(const TargetState &State, TimePoint Now) const {
  if (!MayEject)
    return false;
  return !State.Health.usable(Now) ||
         (State.Health.onProbation() && State.InFlight > 0);
}

void TargetTable::updateMayEject(TimePoint Now) {
  std::size_t Listed = 0;
  std::size_t Usable = 0;
  for (const TargetState &State : Entries) {
    // Healthy targets of an evacuated zone can't stand in for failing ones.
    const bool Counts = State.Listed && !State.Info.Evacuated;
    Listed += Counts ? 1 : 0;
    Usable += Counts && State.Health.usable(Now) ? 1 : 0;
  }
  MayEject = PoolHealth::mayEject(Usable, Listed);
}

bool TargetTable::usable(TargetId Target, TimePoint Now) const {
  const TargetState *State = find(Target);
  return State == nullptr || State->Health.usable(Now);
}

void TargetTable::recordOutcome(TargetId Target, DispatchOutcome Outcome,
                                TimePoint Now) {
  const auto Found = Indices.find(Target);
  const bool Failed = Outcome == DispatchOutcome::Failed;
  if (Found == Indices.end() ||
      (!Failed && Outcome != DispatchOutcome::Complete))
    return;
  TargetState &State = Entries[Found->second];
  const bool WasUsable = State.Health.usable(Now);
  Health.recordAnswer(State.Health, !Failed, Now);
  // If most targets of a pool fail, the cause is likely not the targets.
  if (WasUsable && MayEject && !State.Health.usable(Now))
    startRamp(State, RampStart::Ejection, Now);
}

bool TargetTable::hasRoom(const TargetState &State, const VersionShare &Shares,
                          bool Takeover, TimePoint Now) const {
  if (Now < State.BackOffUntil || ejected(State, Now) ||
      !Pacer.allows(State.Info.Id, State.InFlight, Now))
    return false;
  const std::uint32_t Limit = limitOf(State, Now);
  if (streams(State, Now) + 1 > rampedLimit(State, Shares, Now) + 0.5)
    return false;
  const std::uint32_t MaxTokens = State.Info.MaxTokensInFlight;
  if (MaxTokens != 0 && State.TokensInFlight >= MaxTokens)
    return false;
  const double Fill = State.Info.MaxPrefillSeconds;
  // Further prompts would wait in the engine's own order, not by tier.
  if (Fill > 0 && State.PrefillUntil > Now + fromSeconds(Fill))
    return false;
  return !Takeover ||
         State.SinceTakeover + 1 <= Limit * Settings.TakeoverFraction;
}

bool TargetTable::hasRoom(TargetId Target, const VersionShare &Shares,
                          bool Takeover, TimePoint Now) const {
  const TargetState *State = find(Target);
  return State != nullptr && hasRoom(*State, Shares, Takeover, Now);
}

/// Returns whether the first token is expected to meet its objective; true if
/// there is none.
bool TargetTable::meetsFirstTokenObjective(const TargetState &State,
                                           const QueuedReservation &Entry,
                                           TimePoint Now) const {
  if (Entry.Request.FirstTokenObjective.count() <= 0)
    return true;
  const TimePoint Due = Entry.Queued + Entry.Request.FirstTokenObjective;
  const double First = State.Model.firstTokenSeconds(
      Entry.Cost.Prompt, promptAhead(State, Now), Now);
  return Now + fromSeconds(First) <= Due;
}

double TargetTable::finishSeconds(const TargetState &State,
                                  const TokenCost &Cost, TimePoint Now) const {
  return State.Model.totalSeconds(Cost, promptAhead(State, Now),
                                  streams(State, Now) + 1, Now);
}

TargetChoice TargetTable::choose(const QueuedReservation &Entry,
                                 const VersionShare &Shares, bool Takeover,
                                 TimePoint Now) const {
  const double SecondsLeft = toSeconds(Entry.Deadline - Now);
  const VersionId Required = Entry.Request.Version;
  const auto Hint = Prefixes.find(Entry.Request.PrefixHash);
  TargetChoice Best;
  double BestScore = std::numeric_limits<double>::infinity();
  for (const auto &State : Entries) {
    if (!available(State, Shares) || !hasRoom(State, Shares, Takeover, Now))
      continue;
    ++Best.TargetsWithRoom;
    if (!Shares.allows(State.Info.Version))
      continue;
    Best.AnyRoom = true;
    if (isClosed(State.Info, Entry.Request))
      continue;
    Best.AnyOpen = true;
    if (number(Required) != 0 && State.Info.Version != Required)
      continue;
    if (finishSeconds(State, Entry.SafeCost, Now) > SecondsLeft)
      continue;
    const double Finish = finishSeconds(State, Entry.Cost, Now);
    double Score = Finish;
    if (!meetsFirstTokenObjective(State, Entry, Now))
      Score += LatePenalty;
    if (Hint != Prefixes.end() && Hint->second == State.Info.Id)
      Score -=
          PrefixCachedShare * Entry.Cost.Prompt * State.Model.prefillSeconds();
    if (Shares.due(State.Info.Version))
      Score -= DueBonus;
    if (Pacer.hasSpare(State.Info.Id, Now))
      Score -= SpareBonus;
    if (Score >= BestScore)
      continue;
    BestScore = Score;
    Best.Found = true;
    Best.Target = State.Info.Id;
    Best.FinishSeconds = Finish;
  }
  return Best;
}

bool TargetTable::canMeet(const QueuedReservation &Entry,
                          const VersionShare &Shares, TimePoint Now) const {
  const double SecondsLeft = toSeconds(Entry.Deadline - Now);
  const VersionId Required = Entry.Request.Version;
  return std::any_of(Entries.begin(), Entries.end(), [&](const auto &State) {
    if (!available(State, Shares) || isClosed(State.Info, Entry.Request))
      return false;
    if (number(Required) != 0 && State.Info.Version != Required)
      return false;
    // When a full target frees a slot, its batch stays as wide as it is now.
    const double Limit = limitOf(State, Now);
    const double Streams = std::min(streams(State, Now) + 1, Limit);
    return State.Model.totalSeconds(Entry.SafeCost, promptAhead(State, Now),
                                    Streams, Now) <= SecondsLeft;
  });
}

void TargetTable::recordPrefix(std::uint64_t Prefix, TargetId Target) {
  if (Prefix == 0)
    return;
  const bool New = Prefixes.insert_or_assign(Prefix, Target).second;
  if (!New)
    return;
  if (PrefixRing.size() < Settings.MaxPrefixes) {
    PrefixRing.push_back(Prefix);
    return;
  }
  Prefixes.erase(PrefixRing[NextPrefix]);
  PrefixRing[NextPrefix] = Prefix;
  NextPrefix = (NextPrefix + 1) % PrefixRing.size();
}

void TargetTable::startTakeover() {
  for (TargetState &State : Entries)
    State.SinceTakeover = 0;
}

void TargetTable::addSlot(Slot &Reserved, bool Takeover, TimePoint Now) {
  const auto [Place, New] = Indices.emplace(Reserved.Target, Entries.size());
  if (New) { // an origin reports a slot at a target that is not listed yet
    Entries.emplace_back();
    Entries.back().Info.Id = Reserved.Target;
  }
  TargetState &State = Entries[Place->second];
  Reserved.Version = State.Info.Version;
  Reserved.PromptAhead = promptAhead(State, Now);
  const Duration Prefill =
      fromSeconds(Reserved.Cost.Prompt * State.Model.prefillSeconds());
  State.PrefillUntil = std::max(State.PrefillUntil, Now) + Prefill;
  ++State.InFlight;
  State.SinceTakeover += Takeover ? 1 : 0;
  State.TokensInFlight += Reserved.Cost.Prompt + Reserved.Cost.Output;
  Reserved.Streams = streams(State, Now);
  State.History.recordInFlight(State.InFlight, Now);
  if (const auto Ramp = Ramps.find(Reserved.Target); Ramp != Ramps.end())
    Ramp->second.Ramp.recordSend(Now);
  recordPrefix(Reserved.Request.PrefixHash, Reserved.Target);
}

void TargetTable::removeSlot(const Slot &Reserved, TimePoint Now) {
  const auto Found = Indices.find(Reserved.Target);
  if (Found == Indices.end())
    return;
  TargetState &State = Entries[Found->second];
  const std::uint64_t Tokens = Reserved.Cost.Prompt + Reserved.Cost.Output;
  State.InFlight -= std::min(State.InFlight, 1U);
  State.TokensInFlight -= std::min(State.TokensInFlight, Tokens);
  State.History.recordInFlight(State.InFlight, Now);
}

void TargetTable::recordFirstProgress(TargetState &State, const Slot &Reserved,
                                      std::uint32_t Tokens, TimePoint Now) {
  // The time since the first token is derived from the current step time.
  const double Since = Tokens * State.Model.stepSeconds(Reserved.Streams, Now);
  const Duration ToFirst = Now - Reserved.GrantedAt - fromSeconds(Since);
  State.Model.recordFirstTokenWait(ToFirst,
                                   Reserved.Cost.Prompt + Reserved.PromptAhead,
                                   Reserved.Streams, Now);
  recordFirstEvent(State, Reserved, ToFirst, Now);
}

void TargetTable::recordProgress(Slot &Reserved, std::uint32_t Tokens,
                                 TimePoint Now) {
  const auto Found = Indices.find(Reserved.Target);
  if (Found == Indices.end() || Tokens <= Reserved.Tokens)
    return;
  TargetState &State = Entries[Found->second];
  State.Refusals = 0;
  if (Reserved.Tokens != 0)
    State.Model.recordDecode(Tokens - Reserved.Tokens, Now - Reserved.TokensAt,
                             streams(State, Now), Now);
  else
    recordFirstProgress(State, Reserved, Tokens, Now);
  Reserved.FirstEventSeen = true;
  Reserved.Tokens = Tokens;
  Reserved.TokensAt = Now;
}

/// Records a request that was cancelled before its first token. If the token
/// was already late, the target is slower than estimated. With samples from
/// complete answers alone, a target would seem as fast as the few requests that
/// finish in time.
void TargetTable::recordOverdue(TargetState &State, const Slot &Reserved,
                                const Usage &Used, TimePoint Now) {
  const bool Begun =
      Reserved.Tokens != 0 || Used.OutputTokens > 1 ||
      (Used.TimeToFirstToken.count() > 0 && Used.TimeToFirstToken < Used.Total);
  const Duration Waited = Now - Reserved.GrantedAt;
  const double Expected = State.Model.firstTokenSeconds(
      Reserved.Cost.Prompt, Reserved.PromptAhead, Now);
  if (!Begun && toSeconds(Waited) > Expected)
    recordFirstEvent(State, Reserved, Waited, Now);
  if (!Begun && toSeconds(Waited) > Expected)
    State.Model.recordPrefill(Reserved.Cost.Prompt,
                              static_cast<std::uint32_t>(Reserved.PromptAhead),
                              Waited, Now);
}

void TargetTable::recordRelease(const Slot &Reserved, const Usage &Used,
                                TimePoint Now) {
  const auto Found = Indices.find(Reserved.Target);
  if (Found == Indices.end())
    return;
  TargetState &State = Entries[Found->second];
  if (Used.Outcome == DispatchOutcome::Cancelled)
    return recordOverdue(State, Reserved, Used, Now);
  if (Used.Outcome == DispatchOutcome::Failed)
    recordRampFailure(Reserved.Target, Reserved.GrantedAt, Now);
  if (Used.Outcome != DispatchOutcome::Complete)
    return;
  Pacer.recordAnswer(Reserved.Target, Now);
  State.Refusals = 0;
  recordRampRelease(State, Reserved, Used, Now);
  const std::uint32_t Uncached =
      Used.PromptTokens - std::min(Used.PromptTokens, Used.CachedTokens);
  const bool Queued =
      Reserved.Tokens == 0 &&
      State.Model.recordFirstTokenWait(Used.TimeToFirstToken,
                                       Uncached + Reserved.PromptAhead,
                                       Reserved.Streams, Now);
  if (!Queued)
    State.Model.recordPrefill(Uncached,
                              static_cast<std::uint32_t>(Reserved.PromptAhead),
                              Used.TimeToFirstToken, Now);
  const double Streams = (Reserved.Streams + streams(State, Now)) / 2;
  if (Reserved.Tokens != 0 && Used.OutputTokens > Reserved.Tokens) {
    State.Model.recordDecode(Used.OutputTokens - Reserved.Tokens,
                             Now - Reserved.TokensAt, Streams, Now);
    return;
  }
  if (Used.OutputTokens > 1 && Reserved.Tokens == 0)
    State.Model.recordDecode(Used.OutputTokens - 1,
                             Used.Total - Used.TimeToFirstToken, Streams, Now);
}

void TargetTable::refresh(const VersionShare &Shares, TimePoint Now) {
  updateMayEject(Now);
  Speeds.clear();
  Capacity = 0;
  double PromptSeconds = 0;
  double StepSeconds = 0;
  for (const TargetState &State : Entries) {
    if (!available(State, Shares))
      continue;
    const TargetModel &Model = State.Model;
    const double Limit = limitOf(State, Now);
    // Before the speed is measured, a single stream is assumed to reach the
    // speed of a full batch.
    const double Guess = 1 / std::max(1.0, State.Info.TokensPerSecond);
    if (Model.calibrated()) {
      Speeds.push_back({Model.firstTokenSeconds(0, 0, Now),
                        Model.prefillSeconds(), Model.stepSeconds(Limit, Now),
                        Model.stepSeconds(1, Now)});
      PromptSeconds += Limit * Speeds.back().Prompt;
      StepSeconds += Limit * Speeds.back().BusyStep;
    } else {
      Speeds.push_back({0, 0, Guess, Guess});
    }
    if (Now < State.BackOffUntil || ejected(State, Now) ||
        !Shares.uncapped(State.Info.Version))
      continue;
    const double Throughput =
        Model.throughput(rampedLimit(State, Shares, Now), Now);
    const std::optional<double> Paced = Pacer.rate(State.Info.Id, Now);
    Capacity += Paced ? std::min(Throughput, *Paced * MeanWork) : Throughput;
  }
  PromptWeight = StepSeconds > 0 ? PromptSeconds / StepSeconds : 0;
}

std::size_t TargetTable::slots(const VersionShare &Shares,
                               TimePoint Now) const {
  std::size_t Sum = 0;
  for (const TargetState &State : Entries)
    if (available(State, Shares) && Now >= State.BackOffUntil &&
        !ejected(State, Now))
      Sum += rampedLimit(State, Shares, Now);
  return Sum;
}

std::size_t TargetTable::declaredSlots(const VersionShare &Shares) const {
  std::size_t Sum = 0;
  for (const TargetState &State : Entries)
    Sum += available(State, Shares) ? State.Info.MaxRequestsInFlight : 0;
  return Sum;
}

std::size_t TargetTable::freeSlots(const VersionShare &Shares, bool Takeover,
                                   TimePoint Now) const {
  double Sum = 0;
  for (const TargetState &State : Entries) {
    if (!available(State, Shares) || !hasRoom(State, Shares, Takeover, Now))
      continue;
    const double Limit = rampedLimit(State, Shares, Now);
    double Free = Limit - streams(State, Now);
    if (Takeover)
      Free = std::min(Free,
                      Limit * Settings.TakeoverFraction - State.SinceTakeover);
    if (Pacer.rate(State.Info.Id, Now))
      Free = std::min(Free, Pacer.allowance(State.Info.Id, Now));
    // A target on probation gets one request at a time.
    if (State.Health.onProbation())
      Free = std::min(Free, 1.0);
    Sum += std::max(0.0, Free);
  }
  return static_cast<std::size_t>(Sum);
}

double TargetTable::requestsPerSecond(const VersionShare &Shares,
                                      TimePoint Now) const {
  double Paced = 0;
  for (const TargetState &State : Entries) {
    if (!available(State, Shares))
      continue;
    const std::optional<double> Rate = Pacer.rate(State.Info.Id, Now);
    if (!Rate)
      return MeanWork > 0 ? Capacity / MeanWork : 0;
    Paced += *Rate;
  }
  return Paced;
}

double TargetTable::fastestSeconds(const TokenCost &Cost, bool Busy) const {
  double Fastest = std::numeric_limits<double>::infinity();
  const double LaterTokens = Cost.Output == 0 ? 0.0 : Cost.Output - 1.0;
  for (const SpeedEstimate &Speed : Speeds) {
    const double Step = Busy ? Speed.BusyStep : Speed.AloneStep;
    Fastest = std::min(Fastest, Speed.First + Cost.Prompt * Speed.Prompt +
                                    LaterTokens * Step);
  }
  return std::isinf(Fastest) ? 0.0 : Fastest;
}

double TargetTable::expectedSeconds(TargetId Target, const TokenCost &Cost,
                                    TimePoint Now) const {
  const TargetState *State = find(Target);
  return State == nullptr ? 0.0 : finishSeconds(*State, Cost, Now);
}

std::uint32_t TargetTable::inFlight(TargetId Target) const {
  const TargetState *State = find(Target);
  return State == nullptr ? 0 : State->InFlight;
}

std::uint32_t TargetTable::limit(TargetId Target, TimePoint Now) const {
  const TargetState *State = find(Target);
  return State == nullptr ? 0 : limitOf(*State, Now);
}

} // namespace marjorambay
