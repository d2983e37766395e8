/// Messages between entry hosts of forwarded routes and their hubs.
///
/// Every host sends heartbeats to a few hubs. A hub answers each heartbeat with
/// a digest: its newest configuration version, the levels of the account
/// buckets, and the decisions on versions under rollout. A hub that answers is
/// alive; the arbiter of a pool is chosen among the live hubs by the pool's
/// name.
#ifndef MARJORAMBAY_COORDINATION_FLEET_HEARTBEAT_H
#define MARJORAMBAY_COORDINATION_FLEET_HEARTBEAT_H

#include "marjorambay/coordination/account_ledger.h"
#include "marjorambay/coordination/crash_suspects.h"
#include "marjorambay/coordination/membership.h"
#include "marjorambay/coordination/object_mirror.h"
#include "marjorambay/coordination/target_limits.h"
#include "marjorambay/coordination/target_warmup.h"

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
  Duration Uptime{}; ///< since the sender started; 0 if unknown
  /// What targets said to the sender since its last heartbeat, and some of what
  /// it knew before.
  std::vector<TargetLimitNotice> TargetLimits{};
  std::vector<TargetWarmupNotice> TargetWarmups{}; ///< likewise
  /// Pools that the sender pledges to the receiver; see pace_lease.h.
  std::vector<PoolId> PledgedPools{};
  /// Sequence of the receiver's last digest; 0 if there is none.
  std::uint64_t DigestSequence = 0;
};

/// Stage of a version under rollout.
enum class VersionStage : std::uint8_t {
  Canary,     ///< gets a capped share until there is enough evidence
  Switching,  ///< gets all new requests, shortly before completion
  Completed,  ///< final: the version serves
  RolledBack, ///< final: the version gets no requests
};
template <>
inline constexpr std::array NamesOf<VersionStage> =
    std::to_array<std::string_view>({"canary", "switching", "completed",
                                     "taken_back"});
static_assert(NamesOf<VersionStage>.size() == 4);

constexpr bool isFinal(VersionStage Stage) {
  return Stage == VersionStage::Completed || Stage == VersionStage::RolledBack;
}

/// Decision of a pool's rollout coordinator on a version.
struct VersionDecision {
  PoolId Pool{};
  VersionId Version{};
  VersionStage Stage = VersionStage::Canary;
  double Share = 0; ///< fraction of the pool's requests
  Duration Age{};   ///< time since the operator's order was first seen
};

/// Decision of a pool's arbiter on a crash key.
struct PoolCrashHold {
  PoolId Pool{};
  CrashHold Hold{};
};

struct FleetDigest {
  /// Sequence of the heartbeat that it answers; 0 if sent unsolicited.
  std::uint64_t Sequence = 0;
  std::uint64_t ConfigVersion = 0;
  /// The sender has configuration and targets, and is not draining.
  bool Ready = false;
  std::vector<AccountLevel> AccountLevels{};
  std::vector<VersionDecision> Decisions{};
  /// Position of the last change, by object kind.
  std::array<StorePosition, ObjectKindCount> FeedPositions{};
  /// ObjectMirror::contentHash() by object kind, if WatchHealthy; else 0.
  std::array<std::uint32_t, ObjectKindCount> ContentHashes{};
  bool WatchHealthy = false; ///< the sender's platform watch is responding
  /// Time for which it has responded without an outage; 0 if unknown.
  Duration PlatformContact{};
  std::vector<PoolCrashHold> CrashHolds{};
  std::vector<TargetLimitNotice> TargetLimits{};   ///< some of those it knows
  std::vector<TargetWarmupNotice> TargetWarmups{}; ///< likewise
  /// The sender would know of every target that is cold: it has run for longer
  /// than a warm-up, or has heard from such a host.
  bool KnowsColdTargets = false;
};

/// An arbiter has received a reservation and has not decided on it yet.
struct ReservationQueued {
  RequestKey Key{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_FLEET_HEARTBEAT_H
