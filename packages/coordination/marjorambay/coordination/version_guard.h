/// Watches the versions of one pool where their answers are seen: gathers
/// evidence, trips a bad version at once, and says what share it may get.
///
/// A guard needs neither the platform nor a leader to take a version back.
#ifndef MARJORAMBAY_COORDINATION_VERSION_GUARD_H
#define MARJORAMBAY_COORDINATION_VERSION_GUARD_H

#include "marjorambay/coordination/version_comparison.h"
#include "marjorambay/state/rollout_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace marjorambay {

/// How one answer went, as the origin saw it.
struct AnswerObserved {
  VersionId Version{};
  StratumKey Stratum{};
  bool Failed = false;          ///< error, cut, or far overdue
  double SecondsPerToken = 0;   ///< mean time for each token; 0: not known
  double FirstTokenSeconds = 0; ///< time to the first token; 0: not known
};
/// A newer view of the pool's rollout, from a leader or a digest.
struct ViewUpdated {
  RolloutView View{};
};
/// Another host has found the version bad.
struct TripReported {
  RolloutId Rollout{};
};
struct GuardTicked {
  WallTime Wall{};
};
using GuardEvent =
    std::variant<AnswerObserved, ViewUpdated, TripReported, GuardTicked>;

/// What the pool's arbiter may send to the new version from now on.
struct ShareChanged {
  VersionId Version{};
  double Share = 0;
};
/// The version is bad; final for this rollout. To be spread.
struct TripDetected {
  RolloutId Rollout{};
  VersionId Version{};
  FaultKind Kind = FaultKind::Errors;
};
/// Counts since the last report, for the rollout's leader; all counts of the
/// rollout for one that has just taken over, which knows none.
struct EvidenceReady {
  RolloutId Rollout{};
  Evidence Cells{};
};
using GuardAction = std::variant<ShareChanged, TripDetected, EvidenceReady>;
using GuardActions = std::vector<GuardAction>;

class VersionGuard {
public:
  GuardActions step(const GuardEvent &Event);

  bool tripped() const { return Tripped; }
  const std::optional<RolloutView> &view() const { return Current; }

  /// Share in force: 0 once tripped, taken back, or past the deadline without
  /// news of completion.
  double allowedShare() const { return Allowed; }

private:
  /// Recent times of the old version in a stratum, for "slow".
  struct Reference {
    std::vector<float> TokenSeconds{};
    std::vector<float> FirstSeconds{};
    std::size_t NextToken = 0;
    std::size_t NextFirst = 0;
    std::size_t Fresh = 0; ///< answers since the limits were worked out
    double TokenLimit = 0; ///< upper tail as of a tick; 0: none yet
    double FirstLimit = 0;
  };

  void observe(const AnswerObserved &Seen);
  void learnView(const RolloutView &View);
  GuardActions tick(WallTime Wall);
  GuardActions allow(double Share);
  bool isSlow(const AnswerObserved &Seen, bool IsNew) const;
  void count(const StratumKey &Where, FaultKind Kind, bool IsNew, bool Bad);
  void remember(const AnswerObserved &Seen);
  void refreshLimits();

  std::optional<RolloutView> Current{};
  VersionComparison Test{};
  bool Tripped = false;
  bool TripTold = false;
  double Allowed = 0;
  using Counts = std::map<std::pair<StratumKey, FaultKind>, EvidenceCell>;
  Counts Batch{};           ///< since the last report
  Counts Reported{};        ///< before it, of this rollout
  bool LeaderIsNew = false; ///< it needs all counts
  std::map<StratumKey, Reference> References{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_VERSION_GUARD_H
