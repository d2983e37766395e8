/// The state of one rollout, as the platform keeps it and hosts spread it.
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
  Loading,    ///< the first targets load the new version
  Canary,     ///< the capped share, until there is enough evidence
  Ramping,    ///< the share rises in steps
  Soaking,    ///< all traffic on the new version, the old one still loaded
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

/// One line of a rollout's history.
struct RolloutStep {
  WallTime At{};
  RolloutPhase Phase = RolloutPhase::Loading;
  double Share = 0;
  std::string Note{};
};

/// Oldest history lines are dropped beyond this many.
inline constexpr std::size_t MaxRolloutHistory = 40;

/// The object rollouts/POOL. Changed by conditional update only.
struct RolloutState {
  std::string Name{};        ///< names the rollout; its id is the hash
  std::string Pool{};        ///< pool whose version moves
  std::string FromVersion{}; ///< serves now
  std::string ToVersion{};   ///< is to serve by the deadline
  WallTime Started{};
  WallTime Deadline{}; ///< completed by then, or taken back
  RolloutPhase Phase = RolloutPhase::Loading;
  double Share = 0;      ///< of the pool's requests, to ToVersion; 0 to 1
  WallTime PhaseSince{}; ///< when Phase or Share last changed
  bool Paused = false;   ///< by an operator; the deadline still holds
  std::string Leader{};  ///< host that moves it
  WallTime LeaseUntil{}; ///< another host may take over after this
  std::uint64_t FencingToken = 0; ///< rises with each change of leader
  std::vector<RolloutStep> History{};
};

/// What every host needs of a rollout; spreads with the heartbeats. Of two
/// views of one pool the one with the higher Version wins.
struct RolloutView {
  RolloutId Id{};
  PoolId Pool{};
  VersionId From{};
  VersionId To{};
  std::uint64_t ObjectVersion = 0; ///< of the platform object
  RolloutPhase Phase = RolloutPhase::Loading;
  double Share = 0;
  WallTime Deadline{};
  std::string ToName{}; ///< name of To, as orders and requests need it
  HostId Leader{};      ///< gathers the evidence; 0: none yet
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ROLLOUT_STATE_H
