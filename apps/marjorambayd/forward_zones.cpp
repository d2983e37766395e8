/// Pools that are divided by availability zone: which pools are, where the
/// arbiter of each zone runs, and what arbiters tell each other.
///
/// Each host sends a ZoneBeat to the candidates of its own zone, and so chooses
/// among those that respond. It does not do so for other zones: a redirect
/// names the host of the arbiter to ask, which the redirecting arbiter knows
/// from the aggregates that it receives.
#include "forward_host.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace marjorambay {

namespace {

constexpr Duration ZoneBeatInterval = milliseconds(250);
/// A candidate without a reply for this long is skipped; that is two lost
/// messages.
constexpr Duration CandidateTimeout = milliseconds(700);
/// An arbiter of another zone that was not heard from for this long is assumed
/// to have moved. Slots confirmed once a second are answered, so that this is
/// two lost messages.
constexpr Duration ZoneArbiterTimeout = milliseconds(2500);
/// An arbiter without a reservation for this long has no work.
constexpr Duration WorkTimeout = milliseconds(2500);
/// Interval of aggregates while no arbiter of the pool has work: the first
/// request of a zone without targets must find the others, whose aggregates
/// are not used beyond MaxZoneAggregateAge.
constexpr Duration IdleAggregateInterval = milliseconds(200);

/// Whether this host may arbitrate. After a pause of the process, other hosts
/// may have chosen another arbiter.
bool canArbitrate(const ForwardHost &H) {
  return isReady(H) && !H.Draining && !isResuming(H);
}

bool responds(const ForwardHost &H, HostId Candidate) {
  if (Candidate == H.Self.Id)
    return canArbitrate(H);
  const auto Peer = H.Fleet.find(Candidate);
  return Peer != H.Fleet.end() &&
         Peer->second.ZoneBeatAnsweredAt != TimePoint{} &&
         H.Loop.now() - Peer->second.ZoneBeatAnsweredAt < CandidateTimeout;
}

const std::vector<HostId> &candidatesOf(const ForwardHost &H, ZoneId Zone) {
  static const std::vector<HostId> None;
  const auto Found = H.Zones.Candidates.find(Zone);
  return Found == H.Zones.Candidates.end() ? None : Found->second;
}

/// Returns the arbiter of another zone: the one that was heard from, or the
/// most likely one besides it.
std::optional<HostId> foreignArbiter(const ForwardHost &H, PoolId Pool,
                                     ZoneId Zone) {
  std::vector<HostId> Candidates = candidatesOf(H, Zone);
  const auto State = H.Pools.find(Pool);
  if (State != H.Pools.end()) {
    const auto &Known = State->second.ZoneArbiters;
    const auto Arbiter = Known.find(Zone);
    if (Arbiter != Known.end()) {
      if (H.Loop.now() - Arbiter->second.HeardAt < ZoneArbiterTimeout)
        return Arbiter->second.Host;
      if (Candidates.size() > 1)
        std::erase(Candidates, Arbiter->second.Host);
    }
  }
  return zoneArbiter(Pool, Zone, Candidates);
}

/// Returns whether there are other zones than before.
bool updateZoneMap(ForwardHost &H) {
  std::vector<ZoneHost> Hosts{
      {H.Self.Id, H.Self.Zone, relativeCapacity(H.Settings)}};
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.Listed)
      Hosts.push_back({Id, Peer.Host.Zone, Peer.Capacity});
  const ZoneMap Before = std::exchange(H.Zones, ZoneMap{});
  for (const ZoneHost &Host : Hosts)
    ++H.Zones.Hosts[Host.Zone];
  for (const auto &[Zone, Count] : H.Zones.Hosts)
    H.Zones.Candidates[Zone] = zoneCandidates(Hosts, Zone);
  return !std::equal(Before.Hosts.begin(), Before.Hosts.end(),
                     H.Zones.Hosts.begin(), H.Zones.Hosts.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.first == Right.first;
                     });
}

void applyDivision(ForwardHost &H, PoolId Pool, PoolState &State,
                   std::size_t Listed) {
  if (!State.DivisionInitialized)
    State.Division = PoolDivision(H.Settings.ZoneArbitersMinTargets);
  State.DivisionInitialized = true;
  const bool Before = State.Division.divided();
  const bool Divided = State.Division.update(Listed);
  H.AnyDivided = H.AnyDivided || Divided;
  if (Divided == Before)
    return;
  // The arbiters that take over get a report of the slots in use.
  State.SlotsReportedTo.clear();
  State.ZoneArbiters.clear();
  LogLine("pool_divided")
      .with("pool", static_cast<std::int64_t>(number(Pool)))
      .with("divided", Divided ? "yes" : "no")
      .with("targets", Listed)
      .with("zones", State.TargetsByZone.size());
}

bool hasWork(const ForwardHost &H, const PoolArbiter &Hosted) {
  return !Hosted.Policy->idle() ||
         (Hosted.ReservedAt != TimePoint{} &&
          H.Loop.now() - Hosted.ReservedAt < WorkTimeout);
}

/// Sends the aggregate of an arbiter to the arbiter of \p Zone, or to all that
/// may be it.
void sendAggregate(ForwardHost &H, const PoolState &State, ZoneId Zone,
                   const ZoneAggregateMessage &Message) {
  const auto Known = State.ZoneArbiters.find(Zone);
  if (Known != State.ZoneArbiters.end() &&
      H.Loop.now() - Known->second.HeardAt < MaxZoneAggregateAge)
    return sendTo(H, Known->second.Host, Message);
  for (const HostId Candidate : candidatesOf(H, Zone))
    if (Candidate != H.Self.Id)
      sendTo(H, Candidate, Message);
}

void sendAggregates(ForwardHost &H) {
  if (!H.AnyDivided)
    return;
  const TimePoint Now = H.Loop.now();
  for (auto &[Pool, State] : H.Pools) {
    if (!State.Division.divided())
      continue;
    for (auto &[Zone, Hosted] : State.Arbiters) {
      const bool Working = hasWork(H, Hosted);
      const bool OthersWork = Hosted.OthersWorkAt != TimePoint{} &&
                              Now - Hosted.OthersWorkAt < MaxZoneAggregateAge;
      const bool Due = Working || OthersWork ||
                       Now - Hosted.AggregateSentAt >= IdleAggregateInterval;
      if (number(Zone) == 0 || !Due || arbiterOf(H, Pool, Zone) != H.Self.Id)
        continue;
      Hosted.AggregateSentAt = Now;
      ZoneAggregateMessage Message{Pool};
      Message.Aggregate = Hosted.Policy->aggregate(Now);
      Message.Aggregate.Zone = Zone;
      Message.Working = Working;
      for (const auto &[Other, Candidates] : H.Zones.Candidates) {
        Message.To = Other;
        if (Other != Zone)
          sendAggregate(H, State, Other, Message);
      }
    }
  }
}

/// Starts the arbiters of the own zone for which this host has been elected
/// long enough to have heard the other candidates. They run without a
/// reservation, so that other zones know what they have free.
void startElectedArbiters(ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  std::vector<PoolId> Due;
  for (auto &[Pool, State] : H.Pools) {
    const bool Elected = State.Division.divided() &&
                         arbiterOf(H, Pool, H.Self.Zone) == H.Self.Id;
    if (!Elected)
      State.ElectedAt = TimePoint{};
    else if (State.ElectedAt == TimePoint{})
      State.ElectedAt = Now;
    else if (Now - State.ElectedAt > CandidateTimeout &&
             !runsArbiter(H, Pool, H.Self.Zone))
      Due.push_back(Pool);
  }
  for (const PoolId Pool : Due)
    stepArbiter(H, Pool, H.Self.Zone, ArbiterTicked{});
}

void sendZoneBeats(ForwardHost &H) {
  if (!H.AnyDivided)
    return;
  for (const HostId Candidate : candidatesOf(H, H.Self.Zone))
    if (Candidate != H.Self.Id)
      sendTo(H, Candidate, ZoneBeat{});
  startElectedArbiters(H);
}

/// Reports the redirects of the last second.
void logRedirects(ForwardHost &H) {
  for (auto &[Zone, Traffic] : H.TrafficByZone) {
    const std::uint64_t Count = Traffic.RedirectsOut - Traffic.LoggedOut;
    if (Count == 0)
      continue;
    Traffic.LoggedOut = Traffic.RedirectsOut;
    LogLine("reservation_redirected")
        .with("to", zoneName(H, Zone))
        .with("count", static_cast<std::int64_t>(Count));
  }
}

} // namespace

std::string zoneName(const ForwardHost &H, ZoneId Zone) {
  if (Zone == H.Self.Zone)
    return H.Settings.ZoneName;
  const auto Found = H.ZoneNames.find(Zone);
  if (Found != H.ZoneNames.end())
    return Found->second;
  std::array<char, 20> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(number(Zone)));
  return Text.data();
}

void updateDivision(ForwardHost &H) {
  if (H.Settings.ZoneArbitersMinTargets == 0)
    return;
  const bool ZonesChanged = updateZoneMap(H);
  std::map<PoolId, std::size_t> Listed;
  for (auto &[Pool, State] : H.Pools)
    State.TargetsByZone.clear();
  for (const auto &[Id, Target] : H.Targets) {
    if (!isEngine(H, Target.Pool))
      continue;
    ++Listed[Target.Pool];
    ++H.Pools[Target.Pool].TargetsByZone[servingZone(H, Target.Zone)];
  }
  H.AnyDivided = false;
  for (auto &[Pool, State] : H.Pools)
    applyDivision(H, Pool, State, Listed[Pool]);
  if (!ZonesChanged)
    return;
  // Targets of zones that have lost their last host are granted elsewhere.
  for (const auto &[Pool, Count] : Listed)
    if (H.Pools[Pool].Division.divided())
      publishTargets(H, Pool);
}

ZoneId servingZone(const ForwardHost &H, ZoneId Zone) {
  if (H.Zones.Hosts.empty() || H.Zones.Hosts.count(Zone) != 0)
    return Zone;
  RendezvousChoice<ZoneId> Choice(number(Zone));
  for (const auto &[Candidate, Count] : H.Zones.Hosts)
    Choice.consider(Candidate);
  return Choice.best();
}

std::size_t sharingHosts(const ForwardHost &H, PoolId Pool, ZoneId Zone) {
  const PoolState &State = H.Pools.at(Pool);
  std::size_t Count = 0;
  for (const auto &[HostZone, Hosts] : H.Zones.Hosts)
    if (HostZone == servingZone(H, Zone) ||
        State.TargetsByZone.count(HostZone) == 0)
      Count += Hosts;
  return Count;
}

ZoneId reservationZone(const ForwardHost &H, PoolId Pool) {
  const auto State = H.Pools.find(Pool);
  const bool Divided =
      State != H.Pools.end() && State->second.Division.divided();
  return Divided ? H.Self.Zone : ZoneId{};
}

ZoneId arbiterZoneOf(const ForwardHost &H, PoolId Pool, TargetId Target,
                     ZoneId Otherwise) {
  if (number(reservationZone(H, Pool)) == 0)
    return ZoneId{};
  const auto Listed = H.Targets.find(Target);
  return Listed == H.Targets.end() ? Otherwise
                                   : servingZone(H, Listed->second.Zone);
}

std::optional<HostId> arbiterOf(const ForwardHost &H, PoolId Pool,
                                ZoneId Zone) {
  if (number(Zone) == 0)
    return arbiterOf(H, Pool);
  if (Zone != H.Self.Zone)
    return foreignArbiter(H, Pool, Zone);
  std::vector<HostId> Responding;
  for (const HostId Candidate : candidatesOf(H, Zone))
    if (responds(H, Candidate))
      Responding.push_back(Candidate);
  return zoneArbiter(Pool, Zone, Responding);
}

void learnZoneArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone, HostId Host) {
  H.Pools[Pool].ZoneArbiters[Zone] = {Host, H.Loop.now()};
}

void checkZoneArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone) {
  PoolState &State = H.Pools[Pool];
  const auto Known = State.ZoneArbiters.find(Zone);
  const bool Silent =
      Known == State.ZoneArbiters.end() ||
      H.Loop.now() - Known->second.HeardAt >= ZoneArbiterTimeout;
  const auto Current = arbiterOf(H, Pool, Zone);
  if (!Current)
    return;
  if (Silent && Zone != H.Self.Zone)
    learnZoneArbiter(H, Pool, Zone, *Current);
  reportSlots(H, Pool, Zone, *Current);
  if (*Current != H.Self.Id && Zone != H.Self.Zone)
    sendTo(H, *Current, ZoneBeat{});
}

void handleZoneBeat(ForwardHost &H, HostId From, const ZoneBeat &Beat) {
  if (!Beat.Reply)
    return sendTo(H, From, ZoneBeat{true, canArbitrate(H)});
  const TimePoint Now = H.Loop.now();
  H.Fleet[From].ZoneBeatAnsweredAt = Beat.Ready ? Now : TimePoint{};
  if (!Beat.Ready)
    return;
  for (auto &[Pool, State] : H.Pools)
    for (auto &[Zone, Known] : State.ZoneArbiters)
      if (Known.Host == From)
        Known.HeardAt = Now;
}

void handleZoneAggregate(ForwardHost &H, HostId From,
                         const ZoneAggregateMessage &Message) {
  if (!acceptsZoneMessage(H, Message.Pool, Message.To, Message.Working))
    return;
  learnZoneArbiter(H, Message.Pool, Message.Aggregate.Zone, From);
  stepArbiter(H, Message.Pool, Message.To,
              ZoneAggregateReceived{Message.Aggregate, Message.Age});
  if (Message.Working)
    H.Pools[Message.Pool].Arbiters[Message.To].OthersWorkAt = H.Loop.now();
}

bool acceptsZoneMessage(const ForwardHost &H, PoolId Pool, ZoneId Zone,
                        bool Starts) {
  if (!isReady(H) || number(Zone) == 0)
    return false;
  return runsArbiter(H, Pool, Zone) ||
         (Starts && number(reservationZone(H, Pool)) != 0 &&
          arbiterOf(H, Pool, Zone) == H.Self.Id);
}

void shareLostAttempts(ForwardHost &H, PoolId Pool, ZoneId Zone,
                       Arbiter &Recorder) {
  std::vector<ArbiterEvent> Events;
  for (AttemptLost &Lost : Recorder.takeLostAttempts(H.Loop.now()))
    Events.emplace_back(std::move(Lost));
  std::vector<CrashKey> Answered = Recorder.takeAnsweredKeys();
  if (!Answered.empty())
    Events.emplace_back(CrashKeysAnswered{std::move(Answered)});
  if (Events.empty())
    return;
  for (const auto &[Other, Candidates] : H.Zones.Candidates) {
    const auto To = arbiterOf(H, Pool, Other);
    if (Other == Zone || !To || *To == H.Self.Id)
      continue;
    for (const ArbiterEvent &Event : Events)
      sendTo(H, *To, ArbiterMessage{Pool, Event, Other});
  }
}

void recordReservation(ForwardHost &H, PoolId Pool, ZoneId Zone,
                       const Reservation &Request) {
  PoolArbiter &Hosted = H.Pools[Pool].Arbiters[Zone];
  Hosted.ReservedAt = H.Loop.now();
  const bool Repeated = Hosted.Policy->queued(Request.Key) ||
                        Hosted.Policy->slot(Request.Key) != nullptr;
  if (Request.Redirected && !Repeated)
    ++H.TrafficByZone[Zone].RedirectsIn;
}

HostId recordRedirect(ForwardHost &H, PoolId Pool, ZoneId Zone) {
  ++H.TrafficByZone[Zone].RedirectsOut;
  return arbiterOf(H, Pool, Zone).value_or(HostId{});
}

std::string zoneMetrics(const ForwardHost &H) {
  if (H.TrafficByZone.empty())
    return "";
  const auto Series = [&H](const std::string &Name,
                           std::uint64_t ZoneTraffic::*Count) {
    std::string Text = "# TYPE " + Name + " counter\n";
    for (const auto &[Zone, Traffic] : H.TrafficByZone)
      Text += Name + "{zone=\"" + zoneName(H, Zone) + "\"} " +
              std::to_string(Traffic.*Count) + "\n";
    return Text;
  };
  return Series("marjorambay_redirects_out_total", &ZoneTraffic::RedirectsOut) +
         Series("marjorambay_redirects_in_total", &ZoneTraffic::RedirectsIn) +
         Series("marjorambay_served_in_zone_total", &ZoneTraffic::Served);
}

void startZones(ForwardHost &H) {
  if (H.Settings.ZoneArbitersMinTargets == 0)
    return;
  H.Subscriptions.push_back(
      H.Timers.every(ZoneBeatInterval, [&H]() { sendZoneBeats(H); }));
  H.Subscriptions.push_back(
      H.Timers.every(ZoneAggregateInterval, [&H]() { sendAggregates(H); }));
  H.Subscriptions.push_back(
      H.Timers.every(seconds(1), [&H]() { logRedirects(H); }));
}

} // namespace marjorambay
