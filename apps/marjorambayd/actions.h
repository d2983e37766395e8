/// Performing of what the decision parts decide. Each overload stands with the
/// side that it concerns.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_ACTIONS_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_ACTIONS_H

#include "daemon.h"

namespace marjorambay {

// ---- Origin -----------------------------------------------------------------

// peer_side: to the pool's arbiter.
void performOrigin(Daemon &D, const RequestSlot &Action);
void performOrigin(Daemon &D, const CancelSlotRequest &Action);
void performOrigin(Daemon &D, const ReleaseSlot &Action);
void performOrigin(Daemon &D, const ReportProgress &Action);
void performOrigin(Daemon &D, const ReportTargetUnavailable &Action);
// intent_side: to the holder of the key's shard.
void performOrigin(Daemon &D, const RecordIntent &Action);
void performOrigin(Daemon &D, const RecordOutcome &Action);
// target_side
void performOrigin(Daemon &D, const Dispatch &Action);
void performOrigin(Daemon &D, const CancelDispatch &Action);
// caller_side
void performOrigin(Daemon &D, const FailRequest &Action);
void performOrigin(Daemon &D, const CompleteRequest &Action);
void performOrigin(Daemon &D, const ReplayOutcome &Action);

// ---- Arbiter, in arbiter_side -----------------------------------------------

/// Returns the arbiter of \p Pool on this host, made when there is none.
HeldArbiter &heldArbiter(Daemon &D, PoolId Pool);
void performArbiter(Daemon &D, PoolId Pool, const ArbiterAction &Action);

// ---- Membership, in peer_side and arbiter_side ------------------------------

void performMembership(Daemon &D, const SendHeartbeat &Action);
void performMembership(Daemon &D, const HostJoined &Action);
void performMembership(Daemon &D, const HostLost &Action);
void performMembership(Daemon &D, const ZoneViewChanged &Action);
void performMembership(Daemon &D, const LeavingNoticeRecorded &Action);
void performMembership(Daemon &D, const TripRecorded &Action);
void performMembership(Daemon &D, const NewerRevisionSeen &Action);
void performMembership(Daemon &D, const LocalPauseDetected &Action);

// ---- Intent log, in platform_side and intent_side
// -----------------------------

void performIntentLog(Daemon &D, const ReadObject &Action);
void performIntentLog(Daemon &D, const WriteObject &Action);
void performIntentLog(Daemon &D, const AnswerIntent &Action);

// ---- Configuration, in config_side and platform_side ------------------------

void performConfig(Daemon &D, const AdoptConfig &Action);
void performConfig(Daemon &D, const FetchConfigFromPeer &Action);
void performConfig(Daemon &D, const SendConfig &Action);
void performConfig(Daemon &D, const WatchObject &Action);
void performConfig(Daemon &D, const ReadObject &Action);
void performConfig(Daemon &D, const WriteObject &Action);
void performConfig(Daemon &D, const AnswerProposal &Action);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_ACTIONS_H
