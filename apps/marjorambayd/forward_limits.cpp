/// Limits that targets name for themselves: what their answers say, what other
/// hosts pass on, and the arbiters that keep them.
#include "forward_host.h"

#include "marjorambay/protocol/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace marjorambay {

namespace {

/// Notices in one digest; more are passed on in rotation.
constexpr std::size_t MaxNoticesInDigest = 16;
/// A target that names a lower limit gets this many requests a second, because
/// only its answers show when its need is over.
constexpr double MinLimit = 0.5;

/// Returns how this host's arbiters pace \p Target. The local share is granted
/// without knowledge of other hosts: each has a part of the limit, and turns of
/// its own.
std::optional<TargetPace> paceOf(const ForwardHost &H, TargetId Target,
                                 bool IsLocalShare) {
  const std::optional<double> Limit = H.Limits.limit(Target);
  if (std::optional<TargetPace> Cold = warmupPace(H, Target, IsLocalShare)) {
    if (Limit) {
      Cold->PerSecond =
          std::min(Cold->PerSecond, std::max(MinLimit, *Limit) * Cold->Share);
      Cold->EndsAt = TimePoint{};
    }
    return Cold;
  }
  if (!Limit)
    return std::nullopt;
  TargetPace Pace{*Limit};
  if (!IsLocalShare)
    return Pace;
  const std::size_t Hosts = std::max<std::size_t>(2, fleetSize(H));
  Pace.Share = 1 / static_cast<double>(Hosts);
  Pace.Phase = std::fmod(static_cast<double>(number(H.Self.Id) >> 16) /
                             static_cast<double>(1ULL << 32),
                         1);
  return Pace;
}

void logChange(const ForwardHost &H, TargetId Target, LimitChange Change) {
  const auto Listed = H.Targets.find(Target);
  LogLine("target_limit")
      .with("target",
            Listed == H.Targets.end() ? "unlisted" : Listed->second.Name)
      .with("change", nameOf(Change))
      .with("per_minute", std::lround(60 * H.Limits.limit(Target).value_or(0)));
}

/// Tells the arbiters of this host of a change.
void applyChange(ForwardHost &H, TargetId Target, LimitChange Change) {
  if (Change == LimitChange::None)
    return;
  logChange(H, Target, Change);
  updatePace(H, Target);
}

/// Returns what the head says; nothing if it does not count.
std::optional<TargetLimitNotice> readLimit(const ForwardHost &H,
                                           const TargetAttempt &Attempt,
                                           const HttpHead &Head) {
  constexpr int Misdirected = 421; // another target answers at this address
  if (Head.Status == Misdirected)
    return std::nullopt;
  TargetLimitNotice Notice{Attempt.Target, Attempt.TargetIncarnation};
  Notice.Age = H.Loop.now() - Attempt.DispatchedAt;
  const auto Count = std::count_if(
      Head.Headers.begin(), Head.Headers.end(), [&H](const HttpHeader &Header) {
        return equalsIgnoringCase(Header.Name, H.HeaderNames.RateLimit);
      });
  // A target that rejects a request need not say more than that.
  if (Count == 0)
    return Attempt.Declined ? std::nullopt : std::optional(Notice);
  const std::string_view Text = Head.header(H.HeaderNames.RateLimit);
  Notice.PerSecond = Count == 1 ? parseRateLimit(Text) : std::nullopt;
  if (Notice.PerSecond)
    return Notice;
  LogLine("target_limit_ignored", LogLevel::Warning)
      .with("target", Attempt.TargetName)
      .with("value", Text.substr(0, 40));
  return std::nullopt;
}

} // namespace

void updatePace(ForwardHost &H, TargetId Target) {
  const auto Listed = H.Targets.find(Target);
  if (Listed == H.Targets.end())
    return;
  const PoolId Pool = Listed->second.Pool;
  const PoolState &State = H.Pools[Pool];
  for (const ZoneId Zone : hostedZones(State))
    if (number(Zone) == 0 || servingZone(H, Listed->second.Zone) == Zone)
      stepArbiter(H, Pool, Zone,
                  TargetPaceChanged{Target, paceOf(H, Target, false)});
  if (State.LocalShareArbiter)
    stepLocalShare(H, Pool, TargetPaceChanged{Target, paceOf(H, Target, true)});
}

void recordTargetLimit(ForwardHost &H, const TargetAttempt &Attempt,
                       const HttpHead &Head) {
  if (const auto Notice = readLimit(H, Attempt, Head))
    applyChange(H, Notice->Target, H.Limits.observe(*Notice, H.Loop.now()));
}

void learnTargetLimits(ForwardHost &H,
                       const std::vector<TargetLimitNotice> &Notices) {
  for (const TargetLimitNotice &Notice : Notices) {
    const auto Listed = H.Targets.find(Notice.Target);
    const bool Current = Listed != H.Targets.end() &&
                         Listed->second.Incarnation <= Notice.Incarnation;
    if (Current)
      applyChange(H, Notice.Target, H.Limits.merge(Notice, H.Loop.now()));
  }
}

std::vector<TargetLimitNotice> limitsToPassOn(ForwardHost &H) {
  return H.Limits.nextNotices(MaxNoticesInDigest, H.Loop.now());
}

void dropOutdatedLimits(ForwardHost &H) {
  std::unordered_map<TargetId, IncarnationId> Listed;
  for (const auto &[Id, Target] : H.Targets)
    Listed.emplace(Id, Target.Incarnation);
  for (const TargetId Target : H.Limits.retain(Listed))
    applyChange(H, Target, LimitChange::Ended);
}

std::vector<ArbiterEvent> paceEvents(const ForwardHost &H, PoolId Pool,
                                     ZoneId Zone, bool IsLocalShare) {
  std::vector<ArbiterEvent> Events;
  if (hasWarmup(H, Pool))
    Events.emplace_back(initialPaceLease(H, Pool));
  for (const auto &[Id, Target] : H.Targets)
    if (Target.Pool == Pool &&
        (number(Zone) == 0 || servingZone(H, Target.Zone) == Zone))
      if (const auto Pace = paceOf(H, Id, IsLocalShare))
        Events.emplace_back(TargetPaceChanged{Id, Pace});
  return Events;
}

bool hasLimitedTargets(const ForwardHost &H, PoolId Pool) {
  if (hasColdTargets(H, Pool))
    return true;
  return H.Limits.size() != 0 &&
         std::any_of(H.Targets.begin(), H.Targets.end(),
                     [&H, Pool](const auto &Entry) {
                       return Entry.second.Pool == Pool &&
                              H.Limits.limit(Entry.first).has_value();
                     });
}

} // namespace marjorambay
