/// Rollouts of the pools: what the other sides of the daemon use of them.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_ROLLOUTS_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_ROLLOUTS_H

#include "daemon.h"

#include <functional>
#include <string>
#include <vector>

namespace marjorambay {

void startRolloutSide(Daemon &D);
/// Tells the leaders of all pools what share the operators allow a canary.
void tellCanaryShares(Daemon &D);

// ---- Versions in force ------------------------------------------------------

/// Returns the version that arbiters here take a target to serve: the new one
/// of its pool's rollout once it shows it, unless that was taken back.
std::string servedVersion(const Daemon &D, const TargetConfig &Target);
/// Returns the name of a granted version; "" when it is the target's own.
std::string grantedVersion(const Daemon &D, PoolId Pool, VersionId Granted);
/// Tells the arbiter of \p Pool held here which version serves, and the share.
void tellVersions(Daemon &D, const PoolConfig &Pool);

// ---- What is seen -----------------------------------------------------------

/// Takes in how an answer went; \p Held is the slot that it releases.
void observeAnswer(Daemon &D, const Slot &Held, const Usage &Used);
/// A target's load report shows these versions as loaded.
void showVersions(Daemon &D, TargetId Target,
                  const std::vector<std::string> &Versions);
/// A view from the platform or a digest; an older one changes nothing.
void learnRollout(Daemon &D, const RolloutView &View);
/// Adds the views that a heartbeat should carry.
void addRollouts(Daemon &D, Heartbeat &Beat);
void takeEvidence(Daemon &D, const EvidenceArrived &Arrived);
void takeTrip(Daemon &D, const TrippedVersion &Trip);

// ---- Operators --------------------------------------------------------------

void answerRollout(Daemon &D, ExchangeId Exchange, std::string_view Pool);
void commandRollout(Daemon &D, ExchangeId Exchange, std::string_view Pool,
                    std::string_view Body);

// ---- Platform, in platform_side ---------------------------------------------

void readRollout(Daemon &D, PoolId Pool,
                 std::function<void(const RolloutRead &)> Take);
void writeRollout(Daemon &D, PoolId Pool, const WriteRollout &Action);
/// Hands an event to a pool's leader and performs what it decides.
void stepLeader(Daemon &D, PoolId Pool, const RolloutEvent &Event);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_ROLLOUTS_H
