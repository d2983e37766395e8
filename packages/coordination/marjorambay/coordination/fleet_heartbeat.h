/// What entry hosts of forwarded routes tell their hubs, and hubs tell them.
///
/// Every host beats to a few hubs. A hub answers each beat with a digest: the
/// newest configuration it knows of, the accounts' buckets, and how versions
/// under rollout are to be treated. A hub that answers is alive; which of them
/// arbitrates a pool follows from the pool's name.
#ifndef MARJORAMBAY_COORDINATION_FLEET_HEARTBEAT_H
#define MARJORAMBAY_COORDINATION_FLEET_HEARTBEAT_H

#include "marjorambay/coordination/account_ledger.h"
#include "marjorambay/coordination/membership.h"
#include "marjorambay/coordination/object_mirror.h"

#include <array>
#include <cstdint>
#include <vector>

namespace marjorambay {

struct FleetHeartbeat {
  HostInfo Sender{};
  std::uint64_t Sequence = 0;
  std::uint64_t ConfigVersion = 0;
  bool Draining = false;
  std::vector<AccountUsage> AccountUsages{};
};

/// How far a version under rollout has come.
enum class VersionStage : std::uint8_t {
  Canary,     ///< a capped share, until there is evidence
  Switching,  ///< all new requests, just before completion
  Completed,  ///< final: it serves
  RolledBack, ///< final: it serves nothing
};
template <>
inline constexpr std::array NamesOf<VersionStage> =
    std::to_array<std::string_view>({"canary", "switching", "completed",
                                     "taken_back"});
static_assert(NamesOf<VersionStage>.size() == 4);

constexpr bool isFinal(VersionStage Stage) {
  return Stage == VersionStage::Completed || Stage == VersionStage::RolledBack;
}

/// What the steward of a pool decided on a version.
struct VersionDecision {
  PoolId Pool{};
  VersionId Version{};
  VersionStage Stage = VersionStage::Canary;
  double Share = 0; ///< of the pool's requests
  Duration Age{};   ///< since the operator's order was first seen
};

struct FleetDigest {
  std::uint64_t Sequence = 0; ///< of the beat that it answers; 0: unasked
  std::uint64_t ConfigVersion = 0;
  bool Ready = false; ///< knows configuration and targets, and stays
  std::vector<AccountLevel> AccountLevels{};
  std::vector<VersionDecision> Decisions{};
  std::array<std::uint64_t, ObjectKindCount> FeedRevisions{}; ///< last changes
  bool WatchHealthy = false; ///< the sender watches the platform, with answers
};

/// An arbiter has taken a reservation in, and has not decided yet.
struct ReservationQueued {
  RequestKey Key{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_FLEET_HEARTBEAT_H
