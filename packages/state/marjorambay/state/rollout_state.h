/// The state of one rollout, as stored on the platform and sent between hosts.
#ifndef MARJORAMBAY_STATE_ROLLOUT_STATE_H
#define MARJORAMBAY_STATE_ROLLOUT_STATE_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

enum class RolloutPhase : std::uint8_t {
  Loading,    ///< first targets load the new version
  Canary,     ///< capped traffic share, until there is enough evidence
  Ramping,    ///< share is increased in steps
  Soaking,    ///< all traffic on the new version; old one still loaded
  Completed,  ///< final: the new version serves
  RolledBack, ///< final: the old version serves
};
template <>
inline constexpr std::array NamesOf<RolloutPhase> =
    std::to_array<std::string_view>({"loading", "canary", "ramping", "soaking",
                                     "completed", "taken_back"});
static_assert(NamesOf<RolloutPhase>.size() == 6);

/// Whether a phase is final.
constexpr bool isFinal(RolloutPhase Phase) {
  return Phase == RolloutPhase::Completed || Phase == RolloutPhase::RolledBack;
}

/// One entry of a rollout's history.
struct RolloutStep {
  WallTime At{};
  RolloutPhase Phase = RolloutPhase::Loading;
  double Share = 0;
  std::string Note{};
};

/// Oldest entries are dropped beyond this number.
inline constexpr std::size_t MaxRolloutHistory = 40;

/// Content of the platform object rollouts/POOL, which is changed by
/// conditional updates only.
struct RolloutState {
  std::string Name{};        ///< unique name; hashed to the RolloutId
  std::string Pool{};        ///< pool whose version changes
  std::string FromVersion{}; ///< old version
  std::string ToVersion{};   ///< new version
  WallTime Started{};
  WallTime Deadline{}; ///< rolled back if not completed by then
  RolloutPhase Phase = RolloutPhase::Loading;
  double Share = 0;      ///< fraction of the pool's requests sent to ToVersion
  WallTime PhaseSince{}; ///< when Phase or Share last changed
  bool Paused = false;   ///< by an operator; the deadline still applies
  std::string Leader{};  ///< host that drives the rollout
  WallTime LeaseUntil{}; ///< another host may become leader after this
  std::uint64_t FencingToken = 0; ///< increases with each change of leader
  std::vector<RolloutStep> History{};
};

/// Summary of a rollout that heartbeats carry to every host. Of two views of
/// one pool, the one with the higher ObjectVersion wins.
struct RolloutView {
  RolloutId Id{};
  PoolId Pool{};
  VersionId From{};
  VersionId To{};
  std::uint64_t ObjectVersion = 0; ///< version of the platform object
  RolloutPhase Phase = RolloutPhase::Loading;
  double Share = 0;
  WallTime Deadline{};
  std::string ToName{}; ///< name of To, used in orders and requests
  HostId Leader{};      ///< collects the evidence; 0 if none
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ROLLOUT_STATE_H
