/// Cold targets: what this host knows of them, how its arbiters pace them, and
/// the permissions to do so.
#include "forward_host.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace marjorambay {

namespace {

/// A change is passed on after this time, together with others.
constexpr Duration NoticeDelay = milliseconds(1);
/// Between two times at which changes are passed on at once.
constexpr Duration NoticeInterval = milliseconds(40);
/// Time for which this host keeps requests from a target whose arbiter does not
/// know that it is cold. A notice arrives there earlier.
constexpr Duration ColdUnknownTime = milliseconds(150);
constexpr Duration MaxStatedWarmup = hours(1);
/// A target that is listed when this host starts may be down at that moment.
constexpr Duration DownAllowance = seconds(2);
/// A process whose timers did not run for this long was suspended.
constexpr Duration MaxTickGap = milliseconds(200);
/// From the start of a host until it knows targets and configuration.
constexpr Duration StartAllowance = seconds(1);
/// A host that has heard nothing for this long does not hear of targets that
/// become cold.
constexpr Duration TouchTime = milliseconds(700);

const ForwardPool *poolWithWarmup(const ForwardHost &H, PoolId Pool) {
  const ForwardPool *Config = H.Table ? H.Table->pool(Pool) : nullptr;
  return Config != nullptr && Config->WarmupPerSecond > 0 ? Config : nullptr;
}

/// Returns the configuration of the pool of \p Target; null if the target is
/// not listed or its pool has no warm-up.
const ForwardPool *poolOfTarget(const ForwardHost &H, TargetId Target) {
  const auto Listed = H.Targets.find(Target);
  return Listed == H.Targets.end() ? nullptr
                                   : poolWithWarmup(H, Listed->second.Pool);
}

std::int64_t millisecondsOf(Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

void logChange(const ForwardHost &H, const WarmupChange &Change) {
  const ListedTarget &Target = H.Targets.at(Change.Target);
  if (!Change.IsCold) {
    LogLine("target_warm").with("target", Target.Name);
    return;
  }
  const TimePoint Now = H.Loop.now();
  const auto Until = H.Warmups.coldUntil(Change.Target, Now);
  const auto Source = H.Warmups.source(Change.Target);
  LogLine("target_cold")
      .with("target", Target.Name)
      .with("source", Source ? nameOf(*Source) : "none")
      .with("awaits_response", Until ? "no" : "yes")
      .with("left_ms", Until ? millisecondsOf(*Until - Now) : 0);
}

/// Sends heartbeats and digests with notices soon: until other hosts have them,
/// they send a cold target more than it accepts.
void scheduleNotices(ForwardHost &H) {
  if (H.NoticesDue)
    return;
  H.NoticesDue = true;
  const Duration Since = H.Loop.now() - H.NoticesSentAt;
  H.NoticeTimer =
      H.Timers.once(std::max(NoticeDelay, NoticeInterval - Since), [&H]() {
        H.NoticesDue = false;
        H.NoticesSentAt = H.Loop.now();
        sendNotices(H);
      });
}

/// Applies the changes since the last call. Returns whether a target has become
/// cold or warm.
bool applyChanges(ForwardHost &H) {
  bool Any = false;
  for (const WarmupChange &Change : H.Warmups.takeChanges(H.Loop.now())) {
    if (poolOfTarget(H, Change.Target) == nullptr)
      continue;
    if (Change.IsCold != Change.WasCold)
      logChange(H, Change);
    Any = Any || Change.IsCold != Change.WasCold;
    updatePace(H, Change.Target);
  }
  return Any;
}

void applyOwnChanges(ForwardHost &H) {
  applyChanges(H);
  if (H.Warmups.changeUnsent())
    scheduleNotices(H);
}

/// Returns the time that a head states; nothing if it states none.
std::optional<Duration> readWarmup(const ForwardHost &H,
                                   const TargetAttempt &Attempt,
                                   const HttpHead &Head) {
  const std::string_view Text = Head.header(H.HeaderNames.WarmupMs);
  if (Text.empty())
    return std::nullopt;
  std::uint64_t Ms = 0;
  const auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  if (Status == std::errc{} && End == Text.data() + Text.size())
    return std::min<Duration>(
        MaxStatedWarmup,
        milliseconds(std::min<std::uint64_t>(Ms, MaxStatedWarmup.count())));
  LogLine("target_warmup_ignored", LogLevel::Warning)
      .with("target", Attempt.TargetName)
      .with("value", Text.substr(0, 40));
  return std::nullopt;
}

/// Returns how many of the permits at \p Target this host has. All hosts rank
/// each other in the same way, so that no more are in use than there are.
std::uint32_t ownPermits(const ForwardHost &H, TargetId Target,
                         std::uint32_t Permits) {
  const std::uint64_t Own = rendezvousWeight(H.Self.Id, number(Target));
  const auto Rank =
      std::count_if(H.Fleet.begin(), H.Fleet.end(), [&](const auto &Peer) {
        return Peer.second.Listed &&
               rendezvousWeight(Peer.first, number(Target)) > Own;
      });
  return permitsOf(static_cast<std::size_t>(Rank), fleetSize(H), Permits);
}

} // namespace

bool isCold(const ForwardHost &H, TargetId Target) {
  return !H.Warmups.cold().empty() && poolOfTarget(H, Target) != nullptr &&
         H.Warmups.isCold(Target, H.Loop.now());
}

bool hasColdTargets(const ForwardHost &H, PoolId Pool) {
  if (H.Warmups.cold().empty() || poolWithWarmup(H, Pool) == nullptr)
    return false;
  return std::any_of(H.Warmups.cold().begin(), H.Warmups.cold().end(),
                     [&H, Pool](TargetId Id) {
                       const auto Listed = H.Targets.find(Id);
                       return Listed != H.Targets.end() &&
                              Listed->second.Pool == Pool && isCold(H, Id);
                     });
}

Duration inTouchTime(const ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  TimePoint Since{};
  bool IsAlone = true;
  // A digest may have waited while this process was suspended. It is as new as
  // the heartbeat that it answers.
  for (const auto &[Id, Peer] : H.Fleet) {
    IsAlone = IsAlone && !Peer.Listed;
    const auto SentAt = H.Heartbeats.sentAt(Peer.DigestSequence);
    if (Peer.Listed && SentAt)
      Since = std::max(Since, *SentAt);
  }
  // A host that is alone notices all, unless it was suspended.
  if (IsAlone)
    Since = H.WarmupsTickedAt + MaxTickGap - TouchTime;
  return std::max(Duration(0), Since + TouchTime - Now);
}

namespace {

std::vector<HostId> listedHosts(const ForwardHost &H) {
  std::vector<HostId> Others;
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.Listed)
      Others.push_back(Id);
  return Others;
}

/// As inTouchTime(); an arbiter is also in touch through the hosts that have
/// pledged the pool to it.
Duration inTouchTime(const ForwardHost &H, PoolId Pool) {
  const TimePoint Now = H.Loop.now();
  const bool Own = arbiterOf(H, Pool) == H.Self.Id;
  const auto Until =
      Own ? H.Leases.leaseUntil(Pool, listedHosts(H), true, Now) : std::nullopt;
  return std::max(inTouchTime(H), Until ? *Until - Now : Duration(0));
}

} // namespace

bool hasWarmup(const ForwardHost &H, PoolId Pool) {
  return poolWithWarmup(H, Pool) != nullptr;
}

bool needsWarmupSlot(const ForwardHost &H, PoolId Pool) {
  return poolWithWarmup(H, Pool) != nullptr && inTouchTime(H) == Duration(0) &&
         inTouchTime(H, Pool) == Duration(0);
}

void recordWarmupEntry(ForwardHost &H, const ListedTarget &Target,
                       const ListedTarget *Before) {
  const TimePoint Now = H.Loop.now();
  const bool IsNew =
      Before == nullptr || Before->Incarnation != Target.Incarnation;
  const bool Written = IsNew || Before->Revision != Target.Revision ||
                       Before->WarmupLeft != Target.WarmupLeft;
  // What was listed before this host started may have been written long ago, by
  // a process that has restarted since.
  const bool SaysWarm = Target.WarmupLeft && Target.WarmupLeft->count() == 0;
  const bool Trusted = H.TargetsKnown || !SaysWarm;
  if (Target.WarmupLeft && Written && Trusted)
    H.Warmups.recordEntry(Target.Id, Target.Incarnation, *Target.WarmupLeft,
                          Now);
  const ForwardPool *Pool = poolWithWarmup(H, Target.Pool);
  if (IsNew && !(Target.WarmupLeft && Trusted) && Pool != nullptr)
    H.Warmups.assumeCold(
        Target.Id, Target.Incarnation, WarmupSource::FirstSight,
        Pool->WarmupTime + (H.TargetsKnown ? Duration(0) : DownAllowance), Now);
}

void recordWarmupResponse(ForwardHost &H, const TargetAttempt &Attempt,
                          const HttpHead &Head) {
  constexpr int Misdirected = 421; // another target answers at this address
  const ForwardPool *Pool = poolOfTarget(H, Attempt.Target);
  if (Head.Status == Misdirected || Pool == nullptr)
    return;
  const TimePoint Now = H.Loop.now();
  if (const auto Left = readWarmup(H, Attempt, Head))
    H.Warmups.recordStatement(Attempt.Target, Attempt.TargetIncarnation, *Left,
                              Attempt.DispatchedAt, Now);
  H.Warmups.recordResponse(Attempt.Target, Attempt.DispatchedAt,
                           Pool->WarmupTime, Now);
  applyOwnChanges(H);
}

void recordTargetLost(ForwardHost &H, TargetId Target,
                      IncarnationId Incarnation) {
  if (poolOfTarget(H, Target) == nullptr)
    return;
  H.Warmups.recordLost(Target, Incarnation, H.Loop.now());
  applyOwnChanges(H);
}

void markZoneCold(ForwardHost &H, ZoneId Zone) {
  for (const auto &[Id, Target] : H.Targets) {
    const ForwardPool *Pool = poolWithWarmup(H, Target.Pool);
    if (Pool != nullptr && Target.Zone == Zone)
      H.Warmups.assumeCold(Id, Target.Incarnation, WarmupSource::Evacuation,
                           Pool->WarmupTime, H.Loop.now());
  }
  applyChanges(H);
}

void learnTargetWarmups(ForwardHost &H,
                        const std::vector<TargetWarmupNotice> &Notices) {
  for (const TargetWarmupNotice &Notice : Notices) {
    const auto Listed = H.Targets.find(Notice.Target);
    if (Listed != H.Targets.end() &&
        Listed->second.Incarnation <= Notice.Incarnation)
      H.Warmups.merge(Notice, H.Loop.now());
  }
  if (applyChanges(H))
    scheduleNotices(H); // this host may be the only hub that knows
}

bool knowsColdTargets(const ForwardHost &H) {
  if (H.FirstSightsDropped)
    return true;
  Duration Longest{};
  if (H.Table)
    for (const ForwardPool &Pool : H.Table->config().Pools)
      Longest = std::max(Longest, Pool.WarmupTime);
  return H.TargetsKnown && H.Table &&
         H.Loop.now() - H.StartedAt > Longest + DownAllowance + StartAllowance;
}

void trustOtherHosts(ForwardHost &H) {
  if (!H.TargetsKnown || H.FirstSightsDropped)
    return;
  H.FirstSightsDropped = true;
  H.Warmups.dropFirstSights(H.Loop.now());
  applyChanges(H);
}

void tickWarmups(ForwardHost &H) {
  H.WarmupsTickedAt = H.Loop.now();
  applyChanges(H);
  std::erase_if(H.ColdUnknownUntil, [Now = H.Loop.now()](const auto &Known) {
    return Known.second <= Now;
  });
}

void dropOutdatedWarmups(ForwardHost &H) {
  std::unordered_map<TargetId, IncarnationId> Listed;
  for (const auto &[Id, Target] : H.Targets)
    Listed.emplace(Id, Target.Incarnation);
  H.Warmups.retain(Listed);
  applyChanges(H);
}

std::optional<TargetPace> warmupPace(const ForwardHost &H, TargetId Target,
                                     bool IsLocalShare) {
  if (!isCold(H, Target))
    return std::nullopt;
  const ForwardPool &Pool = *poolOfTarget(H, Target);
  const WarmupBudget Budget =
      warmupBudget(Pool.WarmupPerSecond, H.Bounds.Warmup);
  TargetPace Pace;
  Pace.IsCold = true;
  Pace.NeedsLease = !IsLocalShare;
  Pace.PerSecond = IsLocalShare
                       ? permitRate(ownPermits(H, Target, Budget.Permits))
                       : Budget.ArbiterRate;
  if (IsLocalShare)
    Pace.Share =
        1 / static_cast<double>(std::max<std::size_t>(2, fleetSize(H)));
  Pace.EndsAt = H.Warmups.coldUntil(Target, H.Loop.now()).value_or(TimePoint{});
  return Pace;
}

std::vector<PoolId> poolsPledgedTo(ForwardHost &H, HostId Hub) {
  std::vector<PoolId> Pools;
  const auto Peer = H.Fleet.find(Hub);
  if (!H.Table || Peer == H.Fleet.end())
    return Pools;
  for (const ForwardPool &Pool : H.Table->config().Pools)
    if (Pool.WarmupPerSecond > 0 && arbiterOf(H, Pool.Id) == Hub &&
        H.Pledges.pledge(Pool.Id, Hub, Peer->second.DigestAt, H.Loop.now()))
      Pools.push_back(Pool.Id);
  return Pools;
}

PaceLeaseChanged initialPaceLease(const ForwardHost &H, PoolId Pool) {
  PaceLeaseChanged Lease;
  Lease.InTouch = inTouchTime(H, Pool);
  if (const ForwardPool *Config = poolWithWarmup(H, Pool))
    Lease.UnconfirmedPerSecond =
        warmupBudget(Config->WarmupPerSecond, H.Bounds.Warmup).ArbiterRate;
  return Lease;
}

namespace {

/// Returns until when this host's arbiter of the undivided pool may grant cold
/// targets.
std::optional<TimePoint> poolLeaseUntil(ForwardHost &H, PoolId Pool) {
  const TimePoint Now = H.Loop.now();
  const bool Own = arbiterOf(H, Pool) == H.Self.Id &&
                   H.Pledges.pledgeToSelf(Pool, H.Self.Id, Now);
  return H.Leases.leaseUntil(Pool, listedHosts(H), Own, Now);
}

/// The same for the arbiter of a zone. The hosts of a zone choose its arbiter
/// without pledges: an arbiter that has just been replaced may grant for as
/// long as it takes to notice.
std::optional<TimePoint> zoneLeaseUntil(const ForwardHost &H, PoolId Pool,
                                        ZoneId Zone, Duration InTouch) {
  if (arbiterOf(H, Pool, Zone) != H.Self.Id)
    return std::nullopt;
  return H.Loop.now() + InTouch;
}

void renewPaceLease(ForwardHost &H, PoolId Pool) {
  const PaceLeaseChanged Lease = initialPaceLease(H, Pool);
  if (H.Pools[Pool].LocalShareArbiter)
    stepLocalShare(H, Pool, Lease);
  const bool AnyCold = hasColdTargets(H, Pool);
  for (const ZoneId Zone : hostedZones(H.Pools[Pool])) {
    std::optional<TimePoint> Until;
    if (AnyCold)
      Until = number(Zone) == 0 ? poolLeaseUntil(H, Pool)
                                : zoneLeaseUntil(H, Pool, Zone, Lease.InTouch);
    PaceLeaseChanged Renewed = Lease;
    Renewed.Left = Until ? *Until - H.Loop.now() : Duration(0);
    stepArbiter(H, Pool, Zone, Renewed);
  }
}

} // namespace

void renewPaceLeases(ForwardHost &H) {
  if (!H.Table)
    return;
  const auto Table = H.Table; // stepping an arbiter may end a call
  for (const ForwardPool &Pool : Table->config().Pools)
    if (Pool.WarmupPerSecond > 0 && H.Pools.count(Pool.Id) != 0)
      renewPaceLease(H, Pool.Id);
}

void recordPaced(ForwardHost &H, const ForwardCall &Call,
                 std::string_view How) {
  const auto Cold = std::count_if(
      H.Warmups.cold().begin(), H.Warmups.cold().end(), [&](TargetId Id) {
        const auto Listed = H.Targets.find(Id);
        return Listed != H.Targets.end() && Listed->second.Pool == Call.Pool;
      });
  ++H.PacedRequests;
  LogLine("request_paced")
      .with("request", Call.Name)
      .with("cause", "pace of cold targets")
      .with("how", How)
      .with("cold_targets", static_cast<std::int64_t>(Cold))
      .with("waited_ms", millisecondsOf(H.Loop.now() - Call.Pending.OpenedAt));
}

bool mayUseGrant(ForwardHost &H, const SlotReservation &Granted,
                 const GrantSlot &Grant) {
  const TimePoint Now = H.Loop.now();
  // The arbiter knows better than what this host assumes on its own.
  const bool Cold = isCold(H, Grant.Target) &&
                    H.Warmups.source(Grant.Target) != WarmupSource::FirstSight;
  if (!Cold && !Grant.IsPaced)
    return true;
  const bool Remote =
      number(Granted.ArbiterHost) != 0 && Granted.ArbiterHost != H.Self.Id;
  if (Cold && !Grant.IsPaced && Remote) {
    H.ColdUnknownUntil[Grant.Target] = Now + ColdUnknownTime;
    scheduleNotices(H);
    return false;
  }
  const TimePoint GrantedAfter =
      std::max(Granted.OpenedAt,
               H.Heartbeats.sentAt(Grant.HeardSequence).value_or(TimePoint{}));
  return !Remote || Now - GrantedAfter <= MaxColdGrantAge;
}

} // namespace marjorambay
