/// Choice of zones and of the hosts that arbitrate for them.
#include "marjorambay/coordination/zone_lending.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marjorambay {

namespace {

constexpr std::uint64_t CandidateHashKey = 0x7a6f6e65686f7374;
constexpr std::uint64_t ArbiterHashKey = 0x7a6f6e6561726274;

/// From the decision to redirect a request until it has arrived at the other
/// zone's arbiter: two messages between zones.
constexpr Duration TransferTime = milliseconds(20);

/// A zone lends only while its own requests wait for less than this share of
/// their objective, so that requests of other zones take what its own accounts
/// leave, and do not push those out.
constexpr int LentShareOfObjective = 4;

/// Zones that were not heard from for this long are forgotten.
constexpr Duration ForgetAfter = seconds(10);

/// Order of the hosts of a zone, best first.
struct CandidateOrder {
  int CapacityClass = 0;
  std::uint64_t Weight = 0;
  HostId Id{};
  bool operator<(const CandidateOrder &Other) const {
    return std::tie(CapacityClass, Weight, Id) >
           std::tie(Other.CapacityClass, Other.Weight, Other.Id);
  }
};

/// Whether \p Request may use targets in \p Zone.
bool isOpenTo(ZoneId Zone, const Reservation &Request) {
  const std::vector<ZoneId> &Closed = Request.ClosedZones;
  return std::find(Closed.begin(), Closed.end(), Zone) == Closed.end();
}

} // namespace

// ---- ZoneLending ------------------------------------------------------------

void ZoneLending::learn(const ZoneAggregate &Aggregate, Duration Age,
                        TimePoint Now) {
  std::erase_if(Zones, [Now](const auto &Entry) {
    return Now - Entry.second.MadeAt > ForgetAfter;
  });
  const TimePoint MadeAt = Now - Age;
  ZoneState &State = Zones[Aggregate.Zone];
  if (MadeAt <= State.MadeAt)
    return;
  State.Latest = Aggregate;
  State.MadeAt = MadeAt;
  State.Redirected = 0;
}

bool ZoneLending::isUsable(const ZoneState &State, TimePoint Now) {
  return State.Latest.DeclaredSlots > 0 &&
         Now - State.MadeAt <= MaxZoneAggregateAge;
}

Duration ZoneLending::waitAt(const ZoneState &State, TierRank Tier) {
  const ZoneAggregate &Known = State.Latest;
  if (State.Redirected < Known.FreeSlots)
    return Duration(0);
  const std::uint32_t Ahead = State.Redirected - Known.FreeSlots + 1;
  if (Known.SlotsPerSecond == 0)
    return EndlessWait;
  return Known.ExpectedWait[number(Tier) % MaxTiers] +
         fromSeconds(static_cast<double>(Ahead) / Known.SlotsPerSecond);
}

Duration ZoneLending::expectedWait(ZoneId Zone, TierRank Tier,
                                   TimePoint Now) const {
  const auto Found = Zones.find(Zone);
  if (Found == Zones.end() || !isUsable(Found->second, Now))
    return EndlessWait;
  return waitAt(Found->second, Tier);
}

std::vector<ZoneId> ZoneLending::usableZones(TimePoint Now) const {
  std::vector<ZoneId> Usable;
  for (const auto &[Zone, State] : Zones)
    if (isUsable(State, Now))
      Usable.push_back(Zone);
  return Usable;
}

void ZoneLending::recordRedirect(ZoneId Zone) {
  const auto Found = Zones.find(Zone);
  if (Found != Zones.end())
    ++Found->second.Redirected;
}

std::optional<ZoneId> ZoneLending::choose(const Reservation &Request,
                                          Duration OwnWait, Duration OwnLimit,
                                          TimePoint Now) {
  if (Request.Redirected)
    return std::nullopt;
  if (OwnWait == EndlessWait)
    return chooseInProportion(Request, OwnLimit, Now);
  // A zone that would serve it no earlier than this one helps nobody.
  const Duration Limit =
      std::min({OwnLimit / LentShareOfObjective, OwnLimit - TransferTime,
                OwnWait - TransferTime});
  std::optional<ZoneId> Best;
  Duration BestWait = EndlessWait;
  std::uint32_t BestFree = 0;
  for (const auto &[Zone, State] : Zones) {
    if (!isUsable(State, Now) || !isOpenTo(Zone, Request))
      continue;
    const Duration Wait = waitAt(State, Request.Tier);
    const std::uint32_t Free =
        State.Latest.FreeSlots -
        std::min(State.Latest.FreeSlots, State.Redirected);
    if (Wait > Limit ||
        std::tuple(Wait, BestFree) >= std::tuple(BestWait, Free))
      continue;
    Best = Zone;
    BestWait = Wait;
    BestFree = Free;
  }
  if (Best)
    recordRedirect(*Best);
  return Best;
}

/// Selects zones by their weights: each is owed its share of every request, and
/// the one that is owed most gets it.
std::optional<ZoneId>
ZoneLending::chooseInProportion(const Reservation &Request, Duration OwnLimit,
                                TimePoint Now) {
  const auto WeightOf = [&](ZoneId Zone, const ZoneState &State, bool InTime) {
    if (!isUsable(State, Now) || !isOpenTo(Zone, Request))
      return 0.0;
    if (!InTime)
      return static_cast<double>(State.Latest.DeclaredSlots);
    if (waitAt(State, Request.Tier) > OwnLimit - TransferTime)
      return 0.0;
    const std::uint32_t Free =
        State.Latest.FreeSlots -
        std::min(State.Latest.FreeSlots, State.Redirected);
    // What becomes free until the next aggregate is available as well.
    return Free +
           State.Latest.SlotsPerSecond * toSeconds(ZoneAggregateInterval);
  };
  for (const bool InTime : {true, false}) {
    double Total = 0;
    for (const auto &[Zone, State] : Zones)
      Total += WeightOf(Zone, State, InTime);
    if (Total <= 0)
      continue;
    auto Best = Zones.end();
    for (auto Entry = Zones.begin(); Entry != Zones.end(); ++Entry) {
      const double Weight = WeightOf(Entry->first, Entry->second, InTime);
      if (Weight <= 0)
        continue;
      Entry->second.Credit += Weight / Total;
      if (Best == Zones.end() || Entry->second.Credit > Best->second.Credit)
        Best = Entry;
    }
    Best->second.Credit -= 1;
    ++Best->second.Redirected;
    return Best->first;
  }
  return std::nullopt;
}

// ---- PoolDivision -----------------------------------------------------------

bool PoolDivision::update(std::size_t Listed) {
  if (Minimum == 0)
    return Divided = false;
  // A fifth below the minimum, in integers.
  Divided = Listed >= Minimum || (Divided && Listed * 5 >= Minimum * 4);
  return Divided;
}

// ---- Hosts of a zone --------------------------------------------------------

std::vector<HostId> zoneCandidates(const std::vector<ZoneHost> &Hosts,
                                   ZoneId Zone) {
  std::vector<CandidateOrder> Order;
  for (const ZoneHost &Host : Hosts)
    if (Host.Zone == Zone)
      Order.push_back({std::ilogb(std::max(1e-3, Host.Capacity)),
                       rendezvousWeight(Host.Id, CandidateHashKey), Host.Id});
  const std::size_t Count = std::min(MaxZoneCandidates, Order.size());
  std::partial_sort(Order.begin(), Order.begin() + static_cast<long>(Count),
                    Order.end());
  std::vector<HostId> Best;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Best.push_back(Order[Index].Id);
  return Best;
}

std::optional<HostId> zoneArbiter(PoolId Pool, ZoneId Zone,
                                  const std::vector<HostId> &Responding) {
  RendezvousChoice<HostId> Choice(
      mixBits(number(Pool) ^ mixBits(number(Zone) ^ ArbiterHashKey)));
  for (const HostId Host : Responding)
    Choice.consider(Host);
  if (!Choice.found())
    return std::nullopt;
  return Choice.best();
}

} // namespace marjorambay
