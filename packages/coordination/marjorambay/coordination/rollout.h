/// Moves one pool's rollout: one leader at a time by conditional update, a
/// ramp planned backward from the deadline, and a taking back that is final.
///
/// Every host runs one RolloutLeader for each pool. It acts only while the
/// platform object names it as leader; each move is a conditional update, so a
/// leader that was paused or replaced fails the condition, whatever its clock
/// says. Orders to targets carry the fencing number. For targets that ignore
/// it, a new leader waits out the old lease, and each order is made only if
/// what the target shows calls for it.
#ifndef MARJORAMBAY_COORDINATION_ROLLOUT_H
#define MARJORAMBAY_COORDINATION_ROLLOUT_H

#include "marjorambay/coordination/intent_log.h"
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

/// How a rollout is paced.
struct RolloutPacing {
  double CanaryShare = 0.01;   ///< hard cap until there is evidence
  double CanaryFraction = 0.6; ///< of the time, as a canary
  /// With fewer it stays a canary for as long as the ramp can still be done by
  /// the deadline: a fault in one answer of ten shows in 80 to 150.
  std::uint32_t TellingAnswers = 200;
  std::uint32_t LeastCanaryAnswers = 8; ///< fewer: it stays a canary
  Duration LeastStep = seconds(10);     ///< between two changes of the share
  Duration LeastSoak = seconds(20);     ///< at full share before completion
  double Margin = 0.08;                 ///< of the time, kept before deadline
  Duration Lease = seconds(6);
  Duration ClockSkew = seconds(2);     ///< between hosts' clocks, at most
  std::uint32_t LoadsAtOnce = 2;       ///< targets loading; weight store limit
  Duration LoadTimeout = seconds(120); ///< then the order is given again
  double ZoneWait = 0.1; ///< of the time, for a first target in every zone
};

/// What a target shows of itself, from its load report.
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
};
/// All targets of the pool, whole.
struct TargetsReported {
  std::vector<TargetStatus> Targets{};
};
/// The version was found bad, here or elsewhere.
struct RolloutTripped {
  RolloutId Rollout{};
  std::string Reason{};
};
/// A digest told of a state of this pool's rollout.
struct ViewReceived {
  RolloutView View{};
};
/// An operator's command. Start carries the new state's names and deadline.
struct RolloutCommanded {
  std::uint64_t Call = 0; ///< tells the operator's calls apart
  RolloutCommand Command = RolloutCommand::Start;
  RolloutState Requested{}; ///< Name, Pool, FromVersion, ToVersion, Deadline
  std::string Author{};
};
/// The operators' hard cap on a version without evidence.
struct CanaryShareChanged {
  double Share = 0.01;
};
/// Periodic. Preferred: this host is the pool's arbiter in its zone, and may
/// take the lease over.
struct RolloutTicked {
  WallTime Wall{};
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
/// Orders a target to load a version, beside those it has.
struct OrderLoad {
  TargetId Target{};
  std::string Version{};
  std::uint64_t Fence = 0;
};
/// A state is known to stand; spreads to all hosts.
struct PublishView {
  RolloutView View{};
};
/// The leader's own test has found the version bad: to be spread at once, for
/// the platform may be out of reach.
struct TripVersion {
  RolloutId Rollout{};
  VersionId Version{};
};
/// Told once it is certain: for the event feed, logs and waiting operators.
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

/// Returns the view that hosts need of \p State at object version \p Version.
RolloutView viewOf(const RolloutState &State, ObjectVersion Version);

class RolloutLeader {
public:
  RolloutLeader(std::string Host, RolloutPacing Pacing = {})
      : HostName(std::move(Host)), Pace(Pacing) {}

  RolloutActions step(const RolloutEvent &Event, TimePoint Now);

  const std::optional<RolloutState> &state() const { return Known; }
  ObjectVersion version() const { return KnownVersion; }
  bool isLeader() const;

private:
  struct PendingWrite {
    RolloutState State{};
    std::vector<std::uint64_t> Calls{}; ///< operator calls it would answer
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
  void settlePending(const RolloutRead &Read, RolloutActions &Actions);
  void runCommands(RolloutActions &Actions);
  Result<RolloutState> commandedState(const RolloutCommanded &Commanded) const;
  bool mayTakeLease() const;
  void lead(RolloutActions &Actions);
  RolloutState renewed() const;
  RolloutState moved(RolloutPhase Phase, double Share, std::string Note) const;
  std::optional<RolloutState> nextMove() const;
  std::optional<RolloutState> nextStep() const;
  Duration timeInPhase() const;
  Duration plannedStep() const;
  std::size_t loadedTargets() const;
  bool isSpreadOverZones() const;
  std::size_t wantedTargets() const;
  std::set<ZoneId> zonesWithoutNewVersion() const;
  bool hasNewVersion(const TargetStatus &Target) const;
  void orderTargets(RolloutActions &Actions);

  std::string HostName{};
  RolloutPacing Pace{};
  std::optional<RolloutState> Known{};
  ObjectVersion KnownVersion = 0;
  bool ReadWanted = true; ///< a newer state exists, or none was read yet
  bool CallPending = false;
  bool Published = false; ///< the outcome of Known was told
  TimePoint LastNow{};
  TimePoint LastRead{};
  TimePoint LeadingSince{}; ///< of the present fence
  TimePoint CallSince{};
  WallTime Wall{};
  std::optional<PendingWrite> Pending{}; ///< not known to stand, or to fail
  std::vector<RolloutCommanded> Commands{};
  VersionComparison Test{};
  std::uint64_t AnswersAtStep = 0; ///< of the new version when the step began
  std::string TripReason{};        ///< not empty: to be taken back
  std::vector<TargetStatus> Targets{};
  std::map<TargetId, TimePoint> OrderedAt{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ROLLOUT_H
