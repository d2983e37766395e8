/// The arbiter of one zone of a divided pool: what it tells the pool's other
/// arbiters, and which requests it redirects to them.
#include "marjorambay/coordination/arbiter.h"
#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

/// A new arbiter without targets keeps requests for this long, until it has
/// heard of zones that have some: two intervals of aggregates, and time for
/// both messages.
constexpr Duration ZonesSettling = milliseconds(300);
/// Refused requests whose suspicion is tried in another zone.
constexpr Duration TrialRetryAfter = seconds(3);
/// Least share of the capacity that a tier is assumed to get.
constexpr double MinTierShare = 0.02;

} // namespace

// ---- Aggregates -------------------------------------------------------------

void Arbiter::apply(const ZoneAggregateReceived &Event, TimePoint Now) {
  if (!divided() || Event.Aggregate.Zone == Settings.Zone)
    return;
  Lending.learn(Event.Aggregate, Event.Age, Now);
  if (Queue.size() != 0 && !Targets.anyServing(Reservation{}, Shares))
    refuseUnservable(Now);
}

ZoneAggregate Arbiter::aggregate(TimePoint Now) {
  refreshSpeeds(Now);
  ZoneAggregate Own;
  Own.Zone = Settings.Zone;
  const auto Count = [](double Slots) {
    return static_cast<std::uint32_t>(std::max(0.0, Slots));
  };
  const auto Queued = static_cast<double>(Queue.size());
  const auto Free =
      static_cast<double>(Targets.freeSlots(Shares, takingOver(Now), Now));
  Own.FreeSlots = Count(Free - Queued);
  Own.DeclaredSlots = Count(static_cast<double>(Targets.declaredSlots(Shares)));
  Own.Queued = Count(Queued);
  Own.SlotsPerSecond = Count(Targets.requestsPerSecond(Shares, Now));
  for (std::size_t Rank = 0; Rank < MaxTiers; ++Rank)
    Own.ExpectedWait[Rank] = Own.FreeSlots > 0
                                 ? Duration(0)
                                 : waitInTier(static_cast<TierRank>(Rank), Now);
  return Own;
}

/// Returns the wait of a request of an account like most others, which is
/// served after all that its tier has queued.
Duration Arbiter::waitInTier(TierRank Tier, TimePoint Now) {
  if (const auto Paced = Targets.secondsToSend(queuedAhead(Tier), Shares, Now))
    return fromSeconds(*Paced);
  const double Same = Queue.work(Tier);
  const double Least =
      std::max(MinTierShare, Settings.TierFloor) * Targets.capacity();
  if (const auto Rate = Service.rate(Tier, Now))
    return fromSeconds(Same / std::max({1e-3, Least, *Rate}));
  double Work = Same;
  for (std::size_t Rank = 0; Rank < number(Tier); ++Rank)
    Work += Queue.work(static_cast<TierRank>(Rank));
  if (Work == 0)
    return Duration(0);
  const double Rate = capacityFor(Tier, seconds(1), Now);
  return fromSeconds(Work / std::max(1e-3, Rate));
}

// ---- Redirects --------------------------------------------------------------

bool Arbiter::redirect(const QueuedReservation &Entry, double OwnWait,
                       TimePoint Until, TimePoint Now) {
  if (!divided())
    return false;
  const auto Zone =
      Lending.choose(Entry.Request, fromSeconds(OwnWait), Until - Now, Now);
  if (Zone)
    Pending.emplace_back(RedirectSlot{Entry.Request.Key, *Zone});
  return Zone.has_value();
}

bool Arbiter::redirectRefused(const QueuedReservation &Entry, ErrorKind Kind,
                              TimePoint Now) {
  if (!divided())
    return false;
  if (Kind == ErrorKind::NoTarget) {
    const auto Zone =
        Lending.choose(Entry.Request, EndlessWait, Entry.GiveUpAt - Now, Now);
    if (Zone)
      Pending.emplace_back(RedirectSlot{Entry.Request.Key, *Zone});
    return Zone.has_value();
  }
  if (Kind != ErrorKind::Overloaded)
    return false;
  // Refused although its wait would do: the queue is full.
  const double Wait = Queue.size() < Settings.MaxQueued
                          ? expectedWait(Entry, Now)
                          : HopelessWait;
  // Late already: it may wait for as long as its answer is of use.
  const bool IsLate = Entry.LatestStart <= Now + Settings.MinFirstTokenWait;
  return redirect(Entry, Wait, IsLate ? Entry.GiveUpAt : Entry.LatestStart,
                  Now);
}

bool Arbiter::redirectLate(const QueuedReservation &Entry, double OwnWait,
                           TimePoint Now) {
  if (!divided() || Now + fromSeconds(OwnWait) <= Entry.LatestStart)
    return false;
  const TimePoint Until =
      Entry.LatestStart > Now ? Entry.LatestStart : Entry.GiveUpAt;
  return redirect(Entry, OwnWait, Until, Now);
}

bool Arbiter::isAwaitingZones(ErrorKind Kind, TimePoint Now) const {
  return divided() && Kind == ErrorKind::NoTarget &&
         Now - StartedAt < ZonesSettling && Lending.usableZones(Now).empty();
}

// ---- Requests under which targets crash -------------------------------------

/// Returns the one zone that tries requests with a suspected key. If each zone
/// tried one, each would lose a target to find out the same.
ZoneId Arbiter::trialZone(const CrashKey &Key, TimePoint Now) const {
  RendezvousChoice<ZoneId> Choice(std::hash<CrashKey>{}(Key));
  if (Targets.anyServing(Reservation{}, Shares))
    Choice.consider(Settings.Zone);
  for (const ZoneId Zone : Lending.usableZones(Now))
    Choice.consider(Zone);
  return Choice.found() ? Choice.best() : Settings.Zone;
}

bool Arbiter::sendToTrialZone(const QueuedReservation &Entry, TimePoint Now) {
  if (!divided() || Entry.Request.CrashKeys.empty())
    return false;
  const auto Key = Suspects.suspectedKey(Entry.Request.CrashKeys, Now);
  const ZoneId Zone = Key ? trialZone(*Key, Now) : Settings.Zone;
  if (Zone == Settings.Zone)
    return false;
  if (Entry.Request.Redirected) {
    refuse(Entry, ErrorKind::CrashingRequest, TrialRetryAfter, Now);
    return true;
  }
  Lending.recordRedirect(Zone);
  Pending.emplace_back(RedirectSlot{Entry.Request.Key, Zone});
  return true;
}

std::vector<AttemptLost> Arbiter::takeLostAttempts(TimePoint Now) {
  std::vector<AttemptLost> Lost;
  for (const CrashSuspects::LostReport &Report : Suspects.takeLost(Now)) {
    AttemptLost Event;
    Event.Keys = Report.Keys;
    Event.Target = Report.Target;
    Event.Age = Now - Report.GrantedAt;
    Event.LostAge = Now - Report.LostAt;
    Event.PassedOn = true;
    Event.Proven = Report.Proven;
    Lost.push_back(std::move(Event));
  }
  return Lost;
}

std::vector<CrashKey> Arbiter::takeAnsweredKeys() {
  return Suspects.takeAnswered();
}

void Arbiter::apply(const CrashKeysAnswered &Event, TimePoint Now) {
  Suspects.recordAnsweredElsewhere(Event.Keys, Now);
  SlotMayBeFree = true; // requests with the same keys may wait no longer
}

} // namespace marjorambay
