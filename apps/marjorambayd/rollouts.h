/// Rollouts of the pools: the interface for the daemon's other components.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_ROLLOUTS_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_ROLLOUTS_H

#include "daemon.h"

#include <functional>
#include <string>
#include <vector>

namespace marjorambay {

void startRollouts(Daemon &D);
/// Passes the configured cap on a canary's share to the leaders of all pools.
void publishCanaryCaps(Daemon &D);

// ---- Versions in force ------------------------------------------------------

/// Returns the version that this host's arbiters assume a target to serve: the
/// new version of its pool's rollout once the target reports it as loaded,
/// unless it was rolled back.
std::string servedVersion(const Daemon &D, const TargetConfig &Target);
/// Returns the name of a granted version; "" if it is the target's configured
/// one.
std::string grantedVersionName(const Daemon &D, PoolId Pool, VersionId Granted);
/// Sends the serving version and the new version's share to this host's arbiter
/// of \p Pool.
void publishVersions(Daemon &D, const PoolConfig &Pool);

// ---- Observations -----------------------------------------------------------

/// Records the result of an answer; \p Released is the slot that it releases.
void observeAnswer(Daemon &D, const Slot &Released, const Usage &Used);
/// Records the versions that a target's load report lists as loaded.
void updateLoadedVersions(Daemon &D, TargetId Target,
                          const std::vector<std::string> &Versions);
/// Applies a view from this host's leader or a heartbeat unless it has a newer
/// one.
void updateRolloutView(Daemon &D, const RolloutView &View);
/// Adds the rollout views that are due to a heartbeat.
void addRolloutViews(Daemon &D, Heartbeat &Message);
void handleEvidence(Daemon &D, const EvidenceArrived &Arrived);
void handleTrip(Daemon &D, const TrippedVersion &Trip);

// ---- Operators --------------------------------------------------------------

void respondWithRollout(Daemon &D, ExchangeId Exchange, std::string_view Pool);
void handleRolloutCommand(Daemon &D, ExchangeId Exchange, std::string_view Pool,
                          std::string_view Body);

// ---- Platform: platform_client.cpp ------------------------------------------

void readRollout(Daemon &D, PoolId Pool,
                 std::function<void(const RolloutRead &)> OnRead);
void writeRollout(Daemon &D, PoolId Pool, const WriteRollout &Action);
/// Passes an event to a pool's leader and performs the resulting actions.
void stepLeader(Daemon &D, PoolId Pool, const RolloutEvent &Event);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_ROLLOUTS_H
