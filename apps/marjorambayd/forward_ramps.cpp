/// Ramps of targets that have just started: when a host first saw them, the
/// ramps of plain pools, and what operators are told of all ramps.
#include "forward_host.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjorambay {

namespace {

/// How long an unlisted target is remembered: entries that the platform lost
/// and writes again are no new targets.
constexpr Duration ListingRetention = minutes(10);
/// Slots of a target in a plain pool, for this host's ramp, are at least these:
/// they limit nothing after the ramp.
constexpr std::uint32_t MinPlainSlots = 4;

bool isPlain(const ForwardHost &H, PoolId Pool) {
  const ForwardPool *Config = H.Table ? H.Table->pool(Pool) : nullptr;
  return Config != nullptr && !Config->Engine;
}

/// Slots of \p Target that are this host's, if all hosts use it alike.
std::uint32_t plainSlots(const ForwardHost &H, const ListedTarget &Target) {
  const std::size_t Hosts = std::max<std::size_t>(1, fleetSize(H));
  return std::max(MinPlainSlots, static_cast<std::uint32_t>(
                                     (Target.Slots + Hosts - 1) / Hosts));
}

void logRamp(const ForwardHost &H, PoolId Pool, std::string_view Scope,
             const RampChange &Change) {
  const auto Listed = H.Targets.find(Change.Target);
  const bool Ended = Change.End.has_value();
  LogLine Line(Ended ? LogLine("target_ramp_ended")
                     : LogLine("target_ramp_started"));
  Line.with("target",
            Listed == H.Targets.end() ? "unlisted" : Listed->second.Name)
      .with("pool", static_cast<std::int64_t>(number(Pool)))
      .with("scope", Scope)
      .with("reason", nameOf(Change.Reason))
      .with("limit", static_cast<std::int64_t>(Change.Limit))
      .with("slots", static_cast<std::int64_t>(Change.DeclaredSlots));
  if (!Ended)
    return;
  const RampFigures &Figures = Change.Figures;
  Line.with("end", nameOf(*Change.End))
      .with("took_ms",
            std::chrono::duration_cast<milliseconds>(Change.Took).count())
      .with("reference", nameOf(Figures.Reference))
      .with("answers", static_cast<std::int64_t>(Figures.Answers))
      .with("early", static_cast<std::int64_t>(Figures.Early))
      .with("late", static_cast<std::int64_t>(Figures.Late))
      .with("failures", static_cast<std::int64_t>(Figures.Failures))
      .with("last_percent", std::lround(100 * Figures.LastRatio))
      .with("usual_percent", std::lround(100 * Figures.OwnRatio));
}

void publish(ForwardHost &H, PoolId Pool, std::string_view Scope,
             const RampChange &Change) {
  if (Change.End)
    ++H.Ramps.Ended.at(static_cast<std::size_t>(*Change.End));
  else
    ++H.Ramps.Started.at(static_cast<std::size_t>(Change.Reason));
  logRamp(H, Pool, Scope, Change);
}

/// Means of the targets of a plain pool that have no ramp.
struct PlainPeers {
  double Seconds = 0; ///< response time; 0 if unknown
  std::optional<double> Load{};
};

PlainPeers plainPeers(const ForwardHost &H, PoolId Pool) {
  PlainPeers Peers;
  double Load = 0;
  double Targets = 0;
  double Measured = 0;
  for (const auto &[Id, Target] : H.Targets) {
    const auto Local = H.LocalTargets.find(Id);
    if (Target.Pool != Pool || Local == H.LocalTargets.end() ||
        H.PlainRamps.contains(Id))
      continue;
    Load += Local->second.InFlight / static_cast<double>(plainSlots(H, Target));
    ++Targets;
    if (Local->second.MeanSeconds == 0)
      continue;
    Peers.Seconds += Local->second.MeanSeconds;
    ++Measured;
  }
  Peers.Seconds /= std::max(1.0, Measured);
  if (Targets > 0)
    Peers.Load = Load / Targets;
  return Peers;
}

RampAnswer plainAnswer(const ForwardHost &H, const ListedTarget &Target,
                       const TargetAttempt &Attempt, const Usage &Used) {
  const double Past = H.PlainRamps.at(Target.Id).PastSeconds;
  const double Own = H.LocalTargets.at(Target.Id).MeanSeconds;
  const PlainPeers Peers = plainPeers(H, Target.Pool);
  RampAnswer Answer;
  Answer.Seconds = toSeconds(Used.TimeToFirstToken);
  Answer.SentAt = Attempt.DispatchedAt;
  Answer.InFlight = Attempt.InFlight;
  Answer.PeerLoad = Peers.Load;
  if (Past > 0) {
    Answer.Reference = RampReference::Past;
    Answer.ExpectedSeconds = Past;
  } else if (Peers.Seconds > 0) {
    Answer.Reference = RampReference::Peers;
    Answer.ExpectedSeconds = Peers.Seconds;
  } else {
    Answer.ExpectedSeconds = Own > 0 ? Own : Answer.Seconds;
  }
  return Answer;
}

RampChange plainChange(const ForwardHost &H, const ListedTarget &Target,
                       std::optional<RampEnd> End) {
  const StartRamp &Ramp = H.PlainRamps.at(Target.Id).Ramp;
  return {Target.Id,     Ramp.reason(),
          End,           Ramp.age(H.Loop.now()),
          Ramp.limit(),  plainSlots(H, Target),
          Ramp.figures()};
}

} // namespace

void recordListings(ForwardHost &H, bool FirstList) {
  if (!H.Settings.StartRamp)
    return;
  const TimePoint Now = H.Loop.now();
  for (const auto &[Id, Target] : H.Targets) {
    const auto [Place, New] =
        H.FirstListings.try_emplace(Id, FirstListing{Target.Incarnation});
    FirstListing &Known = Place->second;
    Known.LastListedAt = Now;
    const bool Restarted = !New && Target.Incarnation > Known.Incarnation;
    if (FirstList || (!New && !Restarted))
      continue;
    Known.Incarnation = Target.Incarnation;
    Known.At = Now;
    startPlainRamp(H, Id,
                   New ? RampStart::NewTarget : RampStart::NewIncarnation);
  }
  H.Ramps.Ended.at(static_cast<std::size_t>(RampEnd::Unlisted)) +=
      std::erase_if(H.PlainRamps, [&H](const auto &Entry) {
        return !H.Targets.contains(Entry.first);
      });
  std::erase_if(H.FirstListings, [Now](const auto &Entry) {
    return Now - Entry.second.LastListedAt > ListingRetention;
  });
}

std::optional<Duration> listedFor(const ForwardHost &H, TargetId Target) {
  const auto Known = H.FirstListings.find(Target);
  if (Known == H.FirstListings.end())
    return std::nullopt;
  return Known->second.At ? H.Loop.now() - *Known->second.At : Duration::max();
}

void publishRampChanges(ForwardHost &H, PoolId Pool, Arbiter &Decider) {
  if (!H.Settings.StartRamp)
    return;
  const bool IsLocal = H.Pools[Pool].LocalShareArbiter.get() == &Decider;
  for (const RampChange &Change : Decider.takeRampChanges())
    publish(H, Pool, IsLocal ? "local_share" : "arbiter", Change);
}

void startPlainRamp(ForwardHost &H, TargetId Id, RampStart Reason) {
  const auto Listed = H.Targets.find(Id);
  if (!H.Settings.StartRamp || Listed == H.Targets.end() ||
      !isPlain(H, Listed->second.Pool))
    return;
  const ListedTarget &Target = Listed->second;
  const auto [Place, New] = H.PlainRamps.try_emplace(Id);
  PlainRamp &Next = Place->second;
  // Answers in a ramp are not those of a warm target.
  if (New)
    Next.PastSeconds = H.LocalTargets[Id].MeanSeconds;
  else
    publish(H, Target.Pool, "host", plainChange(H, Target, RampEnd::Replaced));
  StartRampSettings Settings;
  // Each host has a ramp of its own.
  if (fleetSize(H) > 1)
    Settings.InitialLimit = 1;
  Next.StartedAt = H.Loop.now();
  Next.Ramp = StartRamp(Settings);
  Next.Ramp.start(Reason, plainSlots(H, Target), Next.StartedAt);
  publish(H, Target.Pool, "host", plainChange(H, Target, std::nullopt));
}

bool plainRampAllows(const ForwardHost &H, TargetId Target,
                     std::uint32_t InFlight) {
  const auto Ramp = H.PlainRamps.find(Target);
  return Ramp == H.PlainRamps.end() ||
         Ramp->second.Ramp.allows(InFlight, H.Loop.now());
}

void recordPlainRamp(ForwardHost &H, const TargetAttempt &Attempt,
                     const Usage &Used) {
  const auto Found = H.PlainRamps.find(Attempt.Target);
  const auto Listed = H.Targets.find(Attempt.Target);
  if (Found == H.PlainRamps.end() || Listed == H.Targets.end() ||
      Attempt.DispatchedAt < Found->second.StartedAt)
    return;
  const TimePoint Now = H.Loop.now();
  StartRamp &Ramp = Found->second.Ramp;
  Ramp.recordSend(Attempt.DispatchedAt);
  if (Used.Outcome == DispatchOutcome::Failed || Attempt.Declined)
    return Ramp.recordFailure(Attempt.DispatchedAt, Now);
  if (Used.Outcome != DispatchOutcome::Complete)
    return;
  const ListedTarget &Target = Listed->second;
  const auto End =
      Ramp.recordAnswer(plainAnswer(H, Target, Attempt, Used), Now);
  if (!End)
    return;
  publish(H, Target.Pool, "host", plainChange(H, Target, End));
  H.PlainRamps.erase(Found);
}

std::string rampMetrics(const ForwardHost &H) {
  if (!H.Settings.StartRamp)
    return {};
  std::size_t Ramping = H.PlainRamps.size();
  for (const auto &[Pool, State] : H.Pools) {
    for (const auto &[Zone, Hosted] : State.Arbiters)
      Ramping += Hosted.Policy->targets().rampCount();
    if (State.LocalShareArbiter)
      Ramping += State.LocalShareArbiter->targets().rampCount();
  }
  std::string Text = "# TYPE marjorambay_ramping_targets gauge\n"
                     "marjorambay_ramping_targets " +
                     std::to_string(Ramping) + "\n";
  const auto Print = [&Text](std::string_view Name, const auto &Names,
                             const auto &Counts) {
    Text += "# TYPE marjorambay_" + std::string(Name) + " counter\n";
    for (std::size_t Index = 0; Index < Counts.size(); ++Index)
      Text += "marjorambay_" + std::string(Name) + "{reason=\"" +
              std::string(Names[Index]) + "\"} " +
              std::to_string(Counts[Index]) + "\n";
  };
  Print("target_ramps_started_total", NamesOf<RampStart>, H.Ramps.Started);
  Print("target_ramps_ended_total", NamesOf<RampEnd>, H.Ramps.Ended);
  return Text;
}

} // namespace marjorambay
