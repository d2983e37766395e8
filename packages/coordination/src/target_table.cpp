/// Least expected finish among the targets that have room.
#include "marjorambay/coordination/target_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorambay {

namespace {

constexpr double PrefixCachedShare = 0.5; // of a prompt, guessed for a hit
constexpr double LateCost = 1e3;          // seconds; for a late first token
constexpr double DueBonus = 1e6;          // seconds; beats any finish

} // namespace

const TargetTable::Entry *TargetTable::find(TargetId Target) const {
  const auto Found = Places.find(Target);
  return Found == Places.end() ? nullptr : &Entries[Found->second];
}

std::uint32_t TargetTable::limitOf(const Entry &Each, TimePoint Now) const {
  return Settings.TrustDeclaredSlots ? Each.Info.MaxRequestsInFlight
                                     : Each.Model.requestLimit(Now);
}

void TargetTable::setTargets(const std::vector<TargetInfo> &Targets) {
  for (Entry &Each : Entries)
    Each.Listed = false;
  for (const TargetInfo &Info : Targets) {
    const auto [Place, New] = Places.emplace(Info.Id, Entries.size());
    if (New)
      Entries.emplace_back();
    Entry &Each = Entries[Place->second];
    const bool Restarted = Info.Incarnation > Each.LeftLife;
    if (Each.Left && Restarted && number(Each.LeftLife) != 0)
      Each.Left = false;
    if (Info.Incarnation > Each.Info.Incarnation)
      Each.Health = TargetHealth{}; // what an earlier life did says nothing
    Each.Info = Info;
    Each.Listed = true;
    Each.Model.configure(Info.TokensPerSecond, Info.MaxRequestsInFlight);
  }
  forgetUnlisted();
}

void TargetTable::forgetUnlisted() {
  std::erase_if(Entries, [](const Entry &Each) {
    return !Each.Listed && Each.InFlight == 0;
  });
  Places.clear();
  for (std::size_t Place = 0; Place < Entries.size(); ++Place) {
    Entries[Place].Left = Entries[Place].Left && Entries[Place].Listed;
    Places.emplace(Entries[Place].Info.Id, Place);
  }
}

void TargetTable::markLeft(TargetId Target, IncarnationId Life) {
  const auto Found = Places.find(Target);
  if (Found == Places.end())
    return;
  Entry &Each = Entries[Found->second];
  const bool Past = number(Life) != 0 && Life < Each.Info.Incarnation;
  if (Past)
    return;
  Each.Left = true;
  Each.LeftLife = std::max(Life, Each.Info.Incarnation);
}

void TargetTable::markRefused(TargetId Target, TimePoint Now) {
  const auto Found = Places.find(Target);
  if (Found == Places.end())
    return;
  Entry &Each = Entries[Found->second];
  if (Now < Each.BackOffUntil)
    return; // requests that were on their way together count once
  const std::uint32_t Doublings = std::min(Each.Refusals, 8U);
  const Duration Wait = Settings.FirstBackOff * (1U << Doublings);
  Each.BackOffUntil = Now + std::min(Wait, Settings.LongestBackOff);
  ++Each.Refusals;
}

void TargetTable::mergeReport(const LoadReported &Report, TimePoint Now) {
  const auto Found = Places.find(Report.Target);
  if (Found == Places.end())
    return;
  Entries[Found->second].History.merge(Report.RequestsInFlight,
                                       Now - Report.Age);
}

bool TargetTable::available(const Entry &Each,
                            const VersionShare &Shares) const {
  return Each.Listed && !Each.Left && !Each.Info.Leaving &&
         Shares.usable(Each.Info.Version);
}

bool TargetTable::anyFor(VersionId Version, const VersionShare &Shares) const {
  return std::any_of(Entries.begin(), Entries.end(), [&](const Entry &Each) {
    return available(Each, Shares) &&
           (number(Version) == 0 || Each.Info.Version == Version);
  });
}

double TargetTable::promptAhead(const Entry &Each, TimePoint Now) const {
  if (Each.PrefillUntil <= Now)
    return 0;
  return toSeconds(Each.PrefillUntil - Now) / Each.Model.prefillSeconds();
}

double TargetTable::streams(const Entry &Each, TimePoint Now) const {
  return Each.InFlight + Each.History.others(Now);
}

/// A target that fails requests at once has slots free at once: without this it
/// draws in more than all the others serve.
bool TargetTable::keptOut(const Entry &Each, TimePoint Now) const {
  if (!MayEject)
    return false;
  return !Each.Health.usable(Now) ||
         (Each.Health.onTrial() && Each.InFlight > 0);
}

void TargetTable::reviewEjections(TimePoint Now) {
  std::size_t Listed = 0;
  std::size_t Usable = 0;
  for (const Entry &Each : Entries) {
    Listed += Each.Listed ? 1 : 0;
    Usable += Each.Listed && Each.Health.usable(Now) ? 1 : 0;
  }
  MayEject = PoolHealth::mayEject(Usable, Listed);
}

bool TargetTable::usable(TargetId Target, TimePoint Now) const {
  const Entry *Each = find(Target);
  return Each == nullptr || Each->Health.usable(Now);
}

void TargetTable::judge(TargetId Target, DispatchOutcome End, TimePoint Now) {
  const auto Found = Places.find(Target);
  const bool Failed = End == DispatchOutcome::Failed;
  if (Found == Places.end() || (!Failed && End != DispatchOutcome::Complete))
    return;
  Health.recordAnswer(Entries[Found->second].Health, !Failed, Now);
}

bool TargetTable::hasRoom(const Entry &Each, bool Takeover,
                          TimePoint Now) const {
  if (Now < Each.BackOffUntil || keptOut(Each, Now))
    return false;
  const std::uint32_t Limit = limitOf(Each, Now);
  if (streams(Each, Now) + 1 > Limit + 0.5)
    return false;
  const std::uint32_t MaxTokens = Each.Info.MaxTokensInFlight;
  if (MaxTokens != 0 && Each.TokensInFlight >= MaxTokens)
    return false;
  const double Fill = Each.Info.MaxPrefillSeconds;
  if (Fill > 0 && Each.PrefillUntil > Now + fromSeconds(Fill))
    return false; // prompts wait there in the engine's order, not by tier
  return !Takeover ||
         Each.SinceTakeover + 1 <= Limit * Settings.TakeoverFraction;
}

bool TargetTable::hasRoom(TargetId Target, bool Takeover, TimePoint Now) const {
  const Entry *Each = find(Target);
  return Each != nullptr && hasRoom(*Each, Takeover, Now);
}

/// Whether the first token is expected in time. Without an aim any time will
/// do.
bool TargetTable::meetsAim(const Entry &Each, const Waiting &Entry,
                           TimePoint Now) const {
  if (Entry.Request.FirstTokenObjective.count() <= 0)
    return true;
  const TimePoint Aim = Entry.Queued + Entry.Request.FirstTokenObjective;
  const double First = Each.Model.firstTokenSeconds(
      Entry.Cost.Prompt, promptAhead(Each, Now), Now);
  return Now + fromSeconds(First) <= Aim;
}

double TargetTable::finishSeconds(const Entry &Each, const TokenCost &Cost,
                                  TimePoint Now) const {
  return Each.Model.totalSeconds(Cost, promptAhead(Each, Now),
                                 streams(Each, Now) + 1, Now);
}

TargetChoice TargetTable::choose(const Waiting &Entry,
                                 const VersionShare &Shares, bool Takeover,
                                 TimePoint Now) const {
  const double Left = toSeconds(Entry.Deadline - Now);
  const VersionId Wanted = Entry.Request.Version;
  const auto Hint = Prefixes.find(Entry.Request.PrefixHash);
  TargetChoice Best;
  double BestScore = std::numeric_limits<double>::infinity();
  for (const auto &Each : Entries) {
    if (!available(Each, Shares) || !hasRoom(Each, Takeover, Now))
      continue;
    ++Best.Roomy;
    if (!Shares.allows(Each.Info.Version))
      continue;
    Best.AnyRoom = true;
    if (number(Wanted) != 0 && Each.Info.Version != Wanted)
      continue;
    if (finishSeconds(Each, Entry.SafeCost, Now) > Left)
      continue;
    const double Finish = finishSeconds(Each, Entry.Cost, Now);
    double Score = Finish;
    if (!meetsAim(Each, Entry, Now))
      Score += LateCost;
    if (Hint != Prefixes.end() && Hint->second == Each.Info.Id)
      Score -=
          PrefixCachedShare * Entry.Cost.Prompt * Each.Model.prefillSeconds();
    if (Shares.due(Each.Info.Version))
      Score -= DueBonus;
    if (Score >= BestScore)
      continue;
    BestScore = Score;
    Best.Found = true;
    Best.Target = Each.Info.Id;
    Best.FinishSeconds = Finish;
  }
  return Best;
}

bool TargetTable::canMeet(const Waiting &Entry, const VersionShare &Shares,
                          TimePoint Now) const {
  const double Left = toSeconds(Entry.Deadline - Now);
  const VersionId Wanted = Entry.Request.Version;
  return std::any_of(Entries.begin(), Entries.end(), [&](const auto &Each) {
    if (!available(Each, Shares))
      return false;
    if (number(Wanted) != 0 && Each.Info.Version != Wanted)
      return false;
    // A slot that frees up leaves the batch as it is now.
    const double Limit = limitOf(Each, Now);
    const double Streams = std::min(streams(Each, Now) + 1, Limit);
    return Each.Model.totalSeconds(Entry.SafeCost, promptAhead(Each, Now),
                                   Streams, Now) <= Left;
  });
}

void TargetTable::rememberPrefix(std::uint64_t Prefix, TargetId Target) {
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
  for (Entry &Each : Entries)
    Each.SinceTakeover = 0;
}

void TargetTable::occupy(Slot &Held, bool Takeover, TimePoint Now) {
  const auto [Place, New] = Places.emplace(Held.Target, Entries.size());
  if (New) { // an origin reports a slot at a target that is not listed yet
    Entries.emplace_back();
    Entries.back().Info.Id = Held.Target;
  }
  Entry &Each = Entries[Place->second];
  Held.Version = Each.Info.Version;
  Held.PromptAhead = promptAhead(Each, Now);
  const Duration Prefill =
      fromSeconds(Held.Cost.Prompt * Each.Model.prefillSeconds());
  Each.PrefillUntil = std::max(Each.PrefillUntil, Now) + Prefill;
  ++Each.InFlight;
  Each.SinceTakeover += Takeover ? 1 : 0;
  Each.TokensInFlight += Held.Cost.Prompt + Held.Cost.Output;
  Held.Streams = streams(Each, Now);
  Each.History.note(Each.InFlight, Now);
  rememberPrefix(Held.Request.PrefixHash, Held.Target);
}

void TargetTable::vacate(const Slot &Held, TimePoint Now) {
  const auto Found = Places.find(Held.Target);
  if (Found == Places.end())
    return;
  Entry &Each = Entries[Found->second];
  const std::uint64_t Tokens = Held.Cost.Prompt + Held.Cost.Output;
  Each.InFlight -= std::min(Each.InFlight, 1U);
  Each.TokensInFlight -= std::min(Each.TokensInFlight, Tokens);
  Each.History.note(Each.InFlight, Now);
}

void TargetTable::learnFirstProgress(Entry &Each, const Slot &Held,
                                     std::uint32_t Tokens, TimePoint Now) {
  // The first token came this long ago, at the speed that streams have now.
  const double Since = Tokens * Each.Model.stepSeconds(Held.Streams, Now);
  const Duration ToFirst = Now - Held.Granted - fromSeconds(Since);
  Each.Model.learnQueueing(ToFirst, Held.Cost.Prompt + Held.PromptAhead,
                           Held.Streams, Now);
}

void TargetTable::learnProgress(Slot &Held, std::uint32_t Tokens,
                                TimePoint Now) {
  const auto Found = Places.find(Held.Target);
  if (Found == Places.end() || Tokens <= Held.Tokens)
    return;
  Entry &Each = Entries[Found->second];
  Each.Refusals = 0;
  if (Held.Tokens != 0)
    Each.Model.learnDecode(Tokens - Held.Tokens, Now - Held.TokensAt,
                           streams(Each, Now), Now);
  else
    learnFirstProgress(Each, Held, Tokens, Now);
  Held.Tokens = Tokens;
  Held.TokensAt = Now;
}

/// A request was given up before its first token. If that was already late, the
/// target is slower than was thought. Learned from whole answers alone, it
/// would seem as fast as the few that are in time.
void TargetTable::learnOverdue(Entry &Each, const Slot &Held, const Usage &Used,
                               TimePoint Now) {
  const bool Begun =
      Held.Tokens != 0 || Used.OutputTokens > 1 ||
      (Used.TimeToFirstToken.count() > 0 && Used.TimeToFirstToken < Used.Total);
  const Duration Waited = Now - Held.Granted;
  const double Expected =
      Each.Model.firstTokenSeconds(Held.Cost.Prompt, Held.PromptAhead, Now);
  if (!Begun && toSeconds(Waited) > Expected)
    Each.Model.learnPrefill(Held.Cost.Prompt,
                            static_cast<std::uint32_t>(Held.PromptAhead),
                            Waited, Now);
}

void TargetTable::learnRelease(const Slot &Held, const Usage &Used,
                               TimePoint Now) {
  const auto Found = Places.find(Held.Target);
  if (Found == Places.end())
    return;
  Entry &Each = Entries[Found->second];
  if (Used.Outcome == DispatchOutcome::Cancelled)
    return learnOverdue(Each, Held, Used, Now);
  if (Used.Outcome != DispatchOutcome::Complete)
    return;
  Each.Refusals = 0;
  const std::uint32_t Uncached =
      Used.PromptTokens - std::min(Used.PromptTokens, Used.CachedTokens);
  const bool Queued =
      Held.Tokens == 0 &&
      Each.Model.learnQueueing(Used.TimeToFirstToken,
                               Uncached + Held.PromptAhead, Held.Streams, Now);
  if (!Queued)
    Each.Model.learnPrefill(Uncached,
                            static_cast<std::uint32_t>(Held.PromptAhead),
                            Used.TimeToFirstToken, Now);
  const double Streams = (Held.Streams + streams(Each, Now)) / 2;
  if (Held.Tokens != 0 && Used.OutputTokens > Held.Tokens) {
    Each.Model.learnDecode(Used.OutputTokens - Held.Tokens, Now - Held.TokensAt,
                           Streams, Now);
    return;
  }
  if (Used.OutputTokens > 1 && Held.Tokens == 0)
    Each.Model.learnDecode(Used.OutputTokens - 1,
                           Used.Total - Used.TimeToFirstToken, Streams, Now);
}

void TargetTable::refresh(const VersionShare &Shares, TimePoint Now) {
  reviewEjections(Now);
  Lines.clear();
  Capacity = 0;
  double PromptSeconds = 0;
  double StepSeconds = 0;
  for (const Entry &Each : Entries) {
    if (!available(Each, Shares))
      continue;
    const TargetModel &Model = Each.Model;
    const double Limit = limitOf(Each, Now);
    // Before anything is learned, a lone stream may be as fast as a batch.
    const double Guess = 1 / std::max(1.0, Each.Info.TokensPerSecond);
    if (Model.learned()) {
      Lines.push_back({Model.firstTokenSeconds(0, 0, Now),
                       Model.prefillSeconds(), Model.stepSeconds(Limit, Now),
                       Model.stepSeconds(1, Now)});
      PromptSeconds += Limit * Lines.back().Prompt;
      StepSeconds += Limit * Lines.back().BusyStep;
    } else {
      Lines.push_back({0, 0, Guess, Guess});
    }
    if (Now >= Each.BackOffUntil && !keptOut(Each, Now) &&
        Shares.uncapped(Each.Info.Version))
      Capacity += Model.throughput(Limit, Now);
  }
  PromptWeight = StepSeconds > 0 ? PromptSeconds / StepSeconds : 0;
}

std::size_t TargetTable::slots(const VersionShare &Shares,
                               TimePoint Now) const {
  std::size_t Sum = 0;
  for (const Entry &Each : Entries)
    if (available(Each, Shares) && Now >= Each.BackOffUntil &&
        !keptOut(Each, Now))
      Sum += limitOf(Each, Now);
  return Sum;
}

std::size_t TargetTable::declaredSlots(const VersionShare &Shares) const {
  std::size_t Sum = 0;
  for (const Entry &Each : Entries)
    Sum += available(Each, Shares) ? Each.Info.MaxRequestsInFlight : 0;
  return Sum;
}

double TargetTable::fastestSeconds(const TokenCost &Cost, bool Busy) const {
  double Fastest = std::numeric_limits<double>::infinity();
  const double Rest = Cost.Output == 0 ? 0.0 : Cost.Output - 1.0;
  for (const SpeedLine &Line : Lines) {
    const double Step = Busy ? Line.BusyStep : Line.AloneStep;
    Fastest =
        std::min(Fastest, Line.First + Cost.Prompt * Line.Prompt + Rest * Step);
  }
  return std::isinf(Fastest) ? 0.0 : Fastest;
}

double TargetTable::expectedSeconds(TargetId Target, const TokenCost &Cost,
                                    TimePoint Now) const {
  const Entry *Each = find(Target);
  return Each == nullptr ? 0.0 : finishSeconds(*Each, Cost, Now);
}

std::uint32_t TargetTable::inFlight(TargetId Target) const {
  const Entry *Each = find(Target);
  return Each == nullptr ? 0 : Each->InFlight;
}

std::uint32_t TargetTable::limit(TargetId Target, TimePoint Now) const {
  const Entry *Each = find(Target);
  return Each == nullptr ? 0 : limitOf(*Each, Now);
}

} // namespace marjorambay
