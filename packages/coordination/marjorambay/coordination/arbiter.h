/// The arbiter of one pool in one availability zone: admits reservations,
/// queues them by tier, account and deadline, and grants each a slot.
///
/// [SECTION] Index
///   1. arbiter_events.h  what goes in and comes out
///   2. fair_queue.h      tiers, accounts, deadlines
///   3. target_table.h    slots in flight, choice of a target
///   4. target_model.h    speed of one target, its limit
///   5. load_history.h    late load reports
///   6. cost_model.h      lengths of answers
///   7. version_share.h   caps on versions under rollout
///   8. work_rate.h       work that arrives in each tier
///   9. Arbiter           composes these
#ifndef MARJORAMBAY_COORDINATION_ARBITER_H
#define MARJORAMBAY_COORDINATION_ARBITER_H

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/cost_model.h"
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
  double PromptTokenWeight = 0.1; ///< first guess of a prompt token's cost, in
                                  ///< decode tokens
  std::size_t MaxQueued = 20'000; ///< reservations; bounds the memory
  Duration ShedHold = milliseconds(250); ///< lower tiers wait after a shed
  Duration ReleaseGrace = seconds(30); ///< after a deadline, for lost releases
  Duration TakeoverPatience = seconds(10); ///< for reports of origins
  Duration FiguresAge = milliseconds(20);  ///< of the targets' speeds
  std::size_t RecheckedPerTick = 256;      ///< queued reservations
  double RecheckMargin = 1.25; ///< of the time left, that the wait may take
  Duration NoTargetRetryAfter = seconds(1); ///< Retry-After without targets
  /// Of the slots, for each tier in which something waits, whatever waits above
  /// it; 0: tiers are strict. A tier that gets nothing starves its callers.
  double TierFloor = 0;
  Duration LeastWait = milliseconds(50); ///< for a first token that is late
  TargetTableSettings Targets{};
};

/// What an arbiter holds, for `inspect` and metrics.
struct ArbiterView {
  std::array<std::size_t, MaxTiers> Queued{};
  std::size_t InFlight = 0;
  std::size_t Limit = 0;    ///< requests that all available targets may hold
  std::size_t Declared = 0; ///< and how many they say they can
  std::size_t PendingOrigins = 0;
  double Capacity = 0; ///< decode tokens a second
};

/// Decides on the slots of one pool in one availability zone.
class Arbiter {
public:
  explicit Arbiter(ArbiterSettings Given = {})
      : Settings(Given), Targets(Given.Targets) {}

  /// Applies \p Event. Ticks should come every 50 to 250 ms.
  ArbiterActions step(const ArbiterEvent &Event, TimePoint Now);

  /// Whether nothing waits, so that ticks are not needed.
  bool idle() const { return Queue.size() == 0 && Slots.empty(); }
  /// Whether a request waits here.
  bool queued(const RequestKey &Key) const { return Queue.contains(Key); }

  ArbiterView view(TimePoint Now) const;
  const TargetTable &targets() const { return Targets; }
  /// Returns the slot that a request holds, or nullptr.
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
  void apply(const VersionTripped &Event, TimePoint Now);
  void apply(const VersionShareChanged &Event, TimePoint Now);
  void apply(const ServingVersionChanged &Event, TimePoint Now);
  void apply(const GrantsReported &Event, TimePoint Now);
  void apply(const OriginLost &Event, TimePoint Now);
  void apply(const TakeoverStarted &Event, TimePoint Now);
  void apply(const SlotsConfirmed &Event, TimePoint Now);
  void apply(const ArbiterTicked &Event, TimePoint Now);

  double workOf(const TokenCost &Cost) const;
  TimePoint latestStart(const Waiting &Entry, bool Busy) const;
  std::optional<TimePoint> latestForAim(const Waiting &Entry,
                                        TimePoint Now) const;
  Waiting waitingFor(const Reservation &Request, TimePoint Now);
  bool hopeless(const Waiting &Entry, TimePoint Now) const;
  std::optional<RefuseSlot> refusalFor(const Waiting &Entry, TimePoint Now);
  void refreshFigures(TimePoint Now);
  double capacityFor(TierRank Tier, Duration Horizon, TimePoint Now);
  double expectedWait(const Waiting &Entry, TimePoint Now);
  Duration spread(Duration RetryAfter, const RequestKey &Key) const;
  void refuse(const Waiting &Entry, ErrorKind Kind, Duration RetryAfter,
              TimePoint Now);
  void giveUp(const RequestKey &Key, TimePoint Now);
  void refuseOverdue(TimePoint Now);
  void refuseLate(TimePoint Now);
  void refuseUnservable(TimePoint Now);
  void grantWhatFits(TimePoint Now);
  /// Grants or gives up one reservation; returns whether another may fit.
  bool serveOne(TierRank Tier, TimePoint Now);
  void grant(const Waiting &Entry, const TargetChoice &Choice, TimePoint Now);
  bool heldBack(TierRank Tier, TimePoint Now) const;
  std::optional<TierRank> tierToServe(TimePoint Now) const;
  bool takingOver(TimePoint Now) const;
  void hold(const Slot &Held);
  void unscheduleForget(const Slot &Held);
  std::optional<Slot> drop(const RequestKey &Key, TimePoint Now);

  ArbiterSettings Settings;
  FairQueue Queue{};
  TargetTable Targets;
  CostModel Costs{};
  VersionShare Shares{};
  WorkRates Arriving{}; ///< offered work, whether admitted or not
  std::unordered_map<RequestKey, Slot> Slots{};
  std::multimap<TimePoint, RequestKey> ByForgetAt{};
  std::array<TimePoint, MaxTiers> LastShed{};
  std::array<std::size_t, MaxTiers> InFlight{}; ///< slots by tier
  std::unordered_set<HostId> Awaited{}; ///< origins that have yet to report
  TimePoint TakeoverUntil{};
  TimePoint FiguresUntil{}; ///< when the targets' speeds are summed anew
  bool RoomMayExist = true; ///< false: a search since the last change failed
  ArbiterActions Pending{};
};

static_assert(SlotPolicy<Arbiter>);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ARBITER_H
