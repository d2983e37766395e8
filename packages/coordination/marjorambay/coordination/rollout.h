/// Drives the rollout of one pool: a single leader elected by conditional
/// updates, a ramp planned backward from the deadline, and a final rollback.
///
/// Every host runs one RolloutLeader for each pool. It acts only while the
/// platform object names it as leader. Each step is a conditional update, so
/// that a leader that was paused or replaced fails the condition, whatever its
/// clock says. Orders to targets carry the fencing token. For targets that
/// ignore it, a new leader waits until the old lease has expired, and gives an
/// order only if the target's reported state requires it.
#ifndef MARJORAMBAY_COORDINATION_ROLLOUT_H
#define MARJORAMBAY_COORDINATION_ROLLOUT_H

#include "marjorambay/coordination/intent_log.h"
#include "marjorambay/coordination/latency_comparison.h"
#include "marjorambay/coordination/pace_comparison.h"
#include "marjorambay/coordination/version_comparison.h"
#include "marjorambay/state/error.h"
#include "marjorambay/state/rollout_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace marjorambay {

/// Pacing of a rollout.
struct RolloutPacing {
  double CanaryShare = 0.01; ///< hard cap on the share until there is evidence
  double CanaryFraction = 0.6; ///< fraction of the time spent as a canary
  /// Answers that end the canary phase as planned. With fewer, it lasts for as
  /// long as the ramp can still complete by the deadline: a fault in one answer
  /// of ten takes 80 to 150 answers to detect.
  std::uint32_t SufficientAnswers = 200;
  /// With fewer, the canary phase does not end.
  std::uint32_t MinCanaryAnswers = 8;
  Duration MinStepTime = seconds(10); ///< between two changes of the share
  Duration MinSoakTime = seconds(20); ///< at full share before completion
  /// Fraction of the time kept free before the deadline.
  double DeadlineMargin = 0.08;
  Duration LeaseDuration = seconds(6);
  /// Maximum difference between clocks of two hosts.
  Duration MaxClockSkew = seconds(2);
  /// Targets that load at once; limits the load on the weight store.
  std::uint32_t MaxConcurrentLoads = 2;
  Duration LoadTimeout = seconds(120); ///< the order is repeated after this
  /// Fraction of the time to wait for a loaded target in every zone.
  double MaxZoneWait = 0.1;
};

/// State of a target, from its load report.
struct TargetStatus {
  TargetId Target{};
  ZoneId Zone{};
  std::vector<VersionId> Versions{}; ///< loaded and ready
  bool Leaving = false;
};

enum class RolloutCommand : std::uint8_t { Start, Pause, Resume, Abort };
template <>
inline constexpr std::array NamesOf<RolloutCommand> =
    std::to_array<std::string_view>({"start", "pause", "resume", "abort"});
static_assert(NamesOf<RolloutCommand>.size() == 4);

// ---- Events -----------------------------------------------------------------

struct RolloutRead {
  bool Reachable = true;
  bool Found = false;
  ObjectVersion Version = 0;
  RolloutState State{};
};
struct RolloutWritten {
  WriteResult Result = WriteResult::Unknown;
  ObjectVersion Version = 0;
};
struct EvidenceArrived {
  RolloutId Rollout{};
  Evidence Cells{};
  LatencyCells Latencies{}; ///< of rollouts that last seconds
  PaceSamples Paces{};      ///< of rollouts that last seconds
};
/// The complete list of the pool's targets.
struct TargetsReported {
  std::vector<TargetStatus> Targets{};
};
/// This or another host found the version faulty.
struct RolloutTripped {
  RolloutId Rollout{};
  std::string Reason{};
};
/// A digest contained a state of this pool's rollout.
struct ViewReceived {
  RolloutView View{};
};
/// An operator's command. Start carries the names and the deadline of the new
/// rollout.
struct RolloutCommanded {
  std::uint64_t Call = 0; ///< identifies the operator's call
  RolloutCommand Command = RolloutCommand::Start;
  RolloutState Requested{}; ///< Name, Pool, FromVersion, ToVersion, Deadline
  std::string Author{};
};
/// Operators changed the hard cap on the share of a version without evidence.
struct CanaryShareChanged {
  double Share = 0.01;
};
/// Periodic tick. Preferred is set if this host is the pool's arbiter in its
/// zone, and may therefore acquire the lease.
struct RolloutTicked {
  WallTime WallClock{};
  bool Preferred = false;
};

using RolloutEvent =
    std::variant<RolloutRead, RolloutWritten, EvidenceArrived, TargetsReported,
                 RolloutTripped, ViewReceived, RolloutCommanded,
                 CanaryShareChanged, RolloutTicked>;

// ---- Actions ----------------------------------------------------------------

struct ReadRollout {};
struct WriteRollout {
  ObjectVersion IfVersion = 0;
  RolloutState State{};
};
/// Orders a target to load a version in addition to those it has.
struct OrderLoad {
  TargetId Target{};
  std::string Version{};
  std::uint64_t Fence = 0;
};
/// Spreads a committed state to all hosts.
struct PublishView {
  RolloutView View{};
};
/// The leader's comparison found the version faulty. Must be spread at once,
/// since the platform may be unreachable.
struct TripVersion {
  RolloutId Rollout{};
  VersionId Version{};
};
/// The rollout has reached a committed final state; reported once, for the
/// event feed, logs and waiting operators.
struct RolloutEnded {
  RolloutState State{};
};
struct AnswerCommand {
  std::uint64_t Call = 0;
  Result<Done> Outcome{};
};
using RolloutAction =
    std::variant<ReadRollout, WriteRollout, OrderLoad, PublishView, TripVersion,
                 RolloutEnded, AnswerCommand>;
using RolloutActions = std::vector<RolloutAction>;

/// Returns the view of \p State, at object version \p Version, that is spread
/// to hosts.
RolloutView viewOf(const RolloutState &State, ObjectVersion Version);

class RolloutLeader {
public:
  RolloutLeader(std::string Host, RolloutPacing InitialPacing = {})
      : HostName(std::move(Host)), Pacing(InitialPacing) {}

  RolloutActions step(const RolloutEvent &Event, TimePoint Now);

  const std::optional<RolloutState> &state() const { return Latest; }
  ObjectVersion version() const { return LatestVersion; }
  bool isLeader() const;

private:
  struct PendingWrite {
    RolloutState State{};
    /// Operator calls to answer once it is committed.
    std::vector<std::uint64_t> Calls{};
  };

  void handle(const RolloutRead &Read, RolloutActions &Actions);
  void handle(const RolloutWritten &Written, RolloutActions &Actions);
  void handle(const EvidenceArrived &Arrived, RolloutActions &Actions);
  void handle(const TargetsReported &Shown, RolloutActions &Actions);
  void handle(const RolloutTripped &Trip, RolloutActions &Actions);
  void handle(const ViewReceived &Seen, RolloutActions &Actions);
  void handle(const RolloutCommanded &Commanded, RolloutActions &Actions);
  void handle(const CanaryShareChanged &Changed, RolloutActions &Actions);
  void handle(const RolloutTicked &Ticked, RolloutActions &Actions);

  void adopt(const RolloutState &State, ObjectVersion Version,
             RolloutActions &Actions);
  void write(RolloutState State, RolloutActions &Actions);
  void read(RolloutActions &Actions);
  void resolvePendingWrite(const RolloutRead &Read, RolloutActions &Actions);
  void runCommands(RolloutActions &Actions);
  Result<RolloutState> commandedState(const RolloutCommanded &Commanded) const;
  bool canAcquireLease() const;
  void advance(RolloutActions &Actions);
  RolloutState withRenewedLease() const;
  RolloutState withStep(RolloutPhase Phase, double Share,
                        std::string Note) const;
  std::optional<RolloutState> nextMove() const;
  std::optional<RolloutState> nextStep() const;
  Duration timeInPhase() const;
  Duration plannedStep() const;
  std::size_t loadedTargets() const;
  bool coversAllZones() const;
  std::size_t requiredTargets() const;
  std::set<ZoneId> zonesWithoutNewVersion() const;
  bool hasNewVersion(const TargetStatus &Target) const;
  void orderLoads(RolloutActions &Actions);

  std::string HostName{};
  RolloutPacing Pacing{};
  std::optional<RolloutState> Latest{};
  ObjectVersion LatestVersion = 0;
  bool ReadNeeded = true; ///< a newer state exists, or none was read yet
  bool CallPending = false;
  bool EndReported = false; ///< RolloutEnded was emitted for the latest state
  TimePoint LastNow{};
  TimePoint LastRead{};
  TimePoint LeadingSince{}; ///< start of the current fencing token's term
  TimePoint CallStartedAt{};
  WallTime WallClock{};
  std::optional<PendingWrite> Pending{}; ///< write whose result is unknown
  std::vector<RolloutCommanded> Commands{};
  VersionComparison Comparison{};
  /// Answers of the new version when the step began.
  std::uint64_t AnswersAtStep = 0;
  std::string TripReason{}; ///< not empty: the rollout must be rolled back
  std::vector<TargetStatus> Targets{};
  std::map<TargetId, TimePoint> OrderedAt{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ROLLOUT_H
