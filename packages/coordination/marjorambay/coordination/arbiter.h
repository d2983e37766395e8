/// The arbiter of one pool in one availability zone: admits reservations,
/// queues them by tier, account and deadline, and grants each a slot.
///
/// [SECTION] Index
///   1. arbiter_events.h  events and actions
///   2. fair_queue.h      queue by tier, account and deadline
///   3. target_table.h    slots in flight, choice of a target
///   4. target_model.h    speed and request limit of one target
///   5. load_history.h    merging of delayed load reports
///   6. cost_model.h      estimates of answer lengths
///   7. version_share.h   caps on versions under rollout
///   8. work_rate.h       arrival rate of work by tier
///   9. backlog_service.h  measured service of tiers that wait
///  10. crash_suspects.h  keys under which targets crash
///  11. target_limits.h   rates that targets name for themselves
///  12. zone_lending.h     zones that serve each other's requests
///  13. start_ramp.h      limits on targets that have just started
///  14. Arbiter           combines these
#ifndef MARJORAMBAY_COORDINATION_ARBITER_H
#define MARJORAMBAY_COORDINATION_ARBITER_H

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/backlog_service.h"
#include "marjorambay/coordination/cost_model.h"
#include "marjorambay/coordination/crash_suspects.h"
#include "marjorambay/coordination/fair_queue.h"
#include "marjorambay/coordination/target_table.h"
#include "marjorambay/coordination/version_share.h"
#include "marjorambay/coordination/work_rate.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace marjorambay {

struct ArbiterSettings {
  /// Cost of a prompt token in decode tokens, until speeds are known.
  double PromptTokenWeight = 0.1;
  std::size_t MaxQueued = 20'000; ///< reservations; bounds memory use
  /// Pause of lower tiers after a higher tier was shed.
  Duration ShedPause = milliseconds(250);
  /// Time after the deadline until a slot whose release was lost is freed.
  Duration ReleaseGrace = seconds(30);
  Duration TakeoverTimeout = seconds(10); ///< wait for the origins' reports
  /// Recomputation interval of the targets' speeds.
  Duration SpeedRefreshInterval = milliseconds(20);
  /// Queued reservations whose wait is estimated again.
  std::size_t RechecksPerTick = 256;
  /// A queued reservation is shed if its expected wait exceeds the time left by
  /// this factor.
  double RecheckMargin = 1.25;
  /// Retry-After when no target is available.
  Duration NoTargetRetryAfter = seconds(1);
  /// Fraction of the slots that each tier with queued requests gets even while
  /// higher tiers wait; 0 makes tiers strict. Without a floor, a busy higher
  /// tier can starve the callers of a lower one.
  double TierFloor = 0;
  /// Minimum wait of a request whose first token is already late.
  Duration MinFirstTokenWait = milliseconds(50);
  /// How long a request that was admitted may wait for its first token, as a
  /// multiple of the objective: a late answer is of more use to its caller than
  /// a refusal. 1: refused once the objective cannot be met.
  double FirstTokenPatience = 1;
  /// The least that FirstTokenPatience amounts to.
  Duration MinFirstTokenPatience{};
  /// A request is admitted if its expected wait is at most this fraction of the
  /// time that it may wait and still meet its objective. The wait of a lower
  /// tier depends on what higher tiers leave and can be estimated only roughly.
  double AdmissionMargin = 1;
  TargetTableSettings Targets{};
  CrashSuspectSettings Suspects{};
  /// The zone that the arbiter serves, with the targets of that zone only; 0:
  /// the pool is not divided by zone.
  ZoneId Zone{};
};

/// State of an arbiter, for `inspect` and metrics.
struct ArbiterView {
  std::array<std::size_t, MaxTiers> Queued{};
  std::size_t InFlight = 0;
  /// Requests that all available targets may have in flight.
  std::size_t Limit = 0;
  std::size_t Declared = 0; ///< requests that they declare to support
  std::size_t PendingOrigins = 0;
  double Capacity = 0;     ///< decode tokens per second
  std::size_t Ramping = 0; ///< targets with a start ramp
};

/// Decides on the slots of one pool in one availability zone.
class Arbiter {
public:
  explicit Arbiter(ArbiterSettings Given = {})
      : Settings(Given), Targets(Given.Targets),
        Suspects(Given.Suspects, number(Given.Zone) != 0) {}

  /// Applies \p Event. Ticks should come every 50 to 250 ms.
  ArbiterActions step(const ArbiterEvent &Event, TimePoint Now);

  /// Returns whether no request is queued or in flight.
  bool idle() const { return Queue.size() == 0 && Slots.empty(); }
  /// Returns whether ticks change anything.
  bool needsTicks() const { return !idle() || Suspects.watching(); }
  /// Returns whether the request is queued.
  bool queued(const RequestKey &Key) const { return Queue.contains(Key); }

  ArbiterView view(TimePoint Now) const;
  /// Returns what the arbiters of the pool's other zones should know, every
  /// ZoneAggregateInterval.
  ZoneAggregate aggregate(TimePoint Now);
  /// Returns crashes since the last call that the arbiters of the pool's other
  /// zones should count as well; a crash is returned again once it is proven.
  /// Losses that were passed on to this arbiter are not among them. Each is
  /// returned by two calls, in case of lost messages; to be called every
  /// ZoneAggregateInterval.
  std::vector<AttemptLost> takeLostAttempts(TimePoint Now);
  /// Returns the keys with evidence that were answered here since the last
  /// call; CrashKeysAnswered takes them to the pool's other arbiters.
  std::vector<CrashKey> takeAnsweredKeys();
  const TargetTable &targets() const { return Targets; }
  const CrashSuspects &suspects() const { return Suspects; }
  /// Returns the decisions on keys since the last call.
  std::vector<CrashDecision> takeCrashDecisions() {
    return Suspects.takeDecisions();
  }
  /// Returns the ramps that started or ended since the last call.
  std::vector<RampChange> takeRampChanges() {
    return Targets.takeRampChanges();
  }
  /// Returns the slot of a request, or nullptr if it has none.
  const Slot *slot(const RequestKey &Key) const {
    const auto Found = Slots.find(Key);
    return Found == Slots.end() ? nullptr : &Found->second;
  }

private:
  void apply(const TargetsChanged &Event, TimePoint Now);
  void apply(const AccountWeightChanged &Event, TimePoint Now);
  void apply(const SlotRequested &Event, TimePoint Now);
  void apply(const SlotRequestCancelled &Event, TimePoint Now);
  void apply(const SlotReleased &Event, TimePoint Now);
  void apply(const SlotProgressed &Event, TimePoint Now);
  void apply(const LoadReported &Event, TimePoint Now);
  void apply(const TargetLeaving &Event, TimePoint Now);
  void apply(const TargetRefused &Event, TimePoint Now);
  void apply(const TargetPaceChanged &Event, TimePoint Now);
  void apply(const PaceLeaseChanged &Event, TimePoint Now);
  void apply(const VersionTripped &Event, TimePoint Now);
  void apply(const VersionShareChanged &Event, TimePoint Now);
  void apply(const ServingVersionChanged &Event, TimePoint Now);
  void apply(const GrantsReported &Event, TimePoint Now);
  void apply(const OriginLost &Event, TimePoint Now);
  void apply(const TakeoverStarted &Event, TimePoint Now);
  void apply(const SlotsConfirmed &Event, TimePoint Now);
  void apply(const AttemptLost &Event, TimePoint Now);
  void apply(const AnswerBegan &Event, TimePoint Now);
  void apply(const CrashHoldsLearned &Event, TimePoint Now);
  void apply(const ArbiterTicked &Event, TimePoint Now);
  void apply(const ZoneAggregateReceived &Event, TimePoint Now);
  void apply(const CrashKeysAnswered &Event, TimePoint Now);

  static AttemptEnd attemptEnd(const Usage &Used);
  double workOf(const TokenCost &Cost) const;
  TimePoint latestStart(const QueuedReservation &Entry, bool Busy) const;
  std::optional<TimePoint> latestForFirstToken(const QueuedReservation &Entry,
                                               TimePoint Now) const;
  QueuedReservation makeEntry(const Reservation &Request, TimePoint Now);
  bool cannotMeetDeadline(const QueuedReservation &Entry, TimePoint Now) const;
  std::optional<RefuseSlot> refusalFor(const QueuedReservation &Entry,
                                       TimePoint Now);
  void recordGoneTargets(const std::vector<TargetInfo> &Current, TimePoint Now);
  void refreshSpeeds(TimePoint Now);
  double capacityFor(TierRank Tier, Duration Horizon, TimePoint Now);
  std::size_t queuedAhead(TierRank Tier) const;
  double expectedWait(const QueuedReservation &Entry, TimePoint Now);
  std::optional<double> measuredWait(const QueuedReservation &Entry,
                                     TimePoint Now) const;
  Duration overloadAge(TierRank Tier, TimePoint Now) const;
  Duration withJitter(Duration RetryAfter, const RequestKey &Key) const;
  void refuse(const QueuedReservation &Entry, ErrorKind Kind,
              Duration RetryAfter, TimePoint Now);
  void shed(const RequestKey &Key, TimePoint Now);
  void refuseOverdue(TimePoint Now);
  void refuseLate(TimePoint Now);
  void refuseUnservable(TimePoint Now);
  void grantAvailable(TimePoint Now);
  /// Returns whether the zones that \p Request may use are known to be full.
  bool isFull(const Reservation &Request) const;
  /// Grants or sheds one reservation, or sets it aside if its origin may use
  /// none of the targets with a free slot or it has a suspected key.
  /// Returns whether another may be granted.
  bool grantNext(TierRank Tier, std::vector<QueuedReservation> &SetAside,
                 TimePoint Now);
  void grant(const QueuedReservation &Entry, const TargetChoice &Choice,
             TimePoint Now);
  bool pausedByShed(TierRank Tier, TimePoint Now) const;
  std::optional<TierRank> tierToServe(TimePoint Now) const;
  bool takingOver(TimePoint Now) const;

  // The pool's other zones; see src/arbiter_zones.cpp.
  /// Own wait, in seconds, of a request that no target of the zone can serve in
  /// time.
  static constexpr double HopelessWait = 3600;
  bool divided() const { return number(Settings.Zone) != 0; }
  /// Redirects a request that may wait until \p Until if another zone is
  /// expected to serve it by then and before this one does.
  bool redirect(const QueuedReservation &Entry, double OwnWait, TimePoint Until,
                TimePoint Now);
  /// Redirects a request that would be refused.
  bool redirectRefused(const QueuedReservation &Entry, ErrorKind Kind,
                       TimePoint Now);
  /// Redirects a queued request that is not expected to meet its objective
  /// here.
  bool redirectLate(const QueuedReservation &Entry, double OwnWait,
                    TimePoint Now);
  /// Whether a request waits for the first aggregates of zones with targets.
  bool isAwaitingZones(ErrorKind Kind, TimePoint Now) const;
  /// Redirects or refuses a request with a suspected key that is tried in
  /// another zone.
  bool sendToTrialZone(const QueuedReservation &Entry, TimePoint Now);
  ZoneId trialZone(const CrashKey &Key, TimePoint Now) const;
  Duration waitInTier(TierRank Tier, TimePoint Now);

  void addSlot(const Slot &Reserved);
  void unscheduleExpiry(const Slot &Reserved);
  std::optional<Slot> removeSlot(const RequestKey &Key, TimePoint Now);

  ArbiterSettings Settings;
  FairQueue Queue{};
  TargetTable Targets;
  CrashSuspects Suspects;
  /// Incarnations of the listed targets.
  std::unordered_map<TargetId, IncarnationId> Listed{};
  CostModel Costs{};
  VersionShare Shares{};
  WorkRates Arriving{}; ///< offered work, including refused requests
  std::unordered_map<RequestKey, Slot> Slots{};
  std::multimap<TimePoint, RequestKey> ByExpiry{};
  BacklogService Service{}; ///< measured service of tiers that wait
  std::array<TimePoint, MaxTiers> LastShed{};
  std::array<TimePoint, MaxTiers> ShedSince{};  ///< begin of the overload
  std::array<std::size_t, MaxTiers> InFlight{}; ///< granted slots by tier
  /// Origins that must report before the takeover ends.
  std::unordered_set<HostId> AwaitedOrigins{};
  TimePoint TakeoverUntil{};
  TimePoint SpeedsValidUntil{}; ///< when the targets' speeds are computed again
  /// False if no slot was found since the last change.
  bool SlotMayBeFree = true;
  /// Closed zones of reservations for which no other zone had a free slot in
  /// this step. With many of them queued, each would cost a search.
  std::vector<std::vector<ZoneId>> FullBeyond{};
  ArbiterActions Pending{};
  TimePoint StartedAt{}; ///< first event
  ZoneLending Lending{}; ///< the pool's other zones; empty if it is undivided
};

static_assert(SlotPolicy<Arbiter>);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ARBITER_H
