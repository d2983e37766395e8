/// Performs the actions that the decision components return. Each overload is
/// defined in the file that is named above it.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_ACTIONS_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_ACTIONS_H

#include "daemon.h"

namespace marjorambay {

// ---- Origin -----------------------------------------------------------------

// peer_messages.cpp: messages to the pool's arbiter.
void performOrigin(Daemon &D, const RequestSlot &Action);
void performOrigin(Daemon &D, const CancelSlotRequest &Action);
void performOrigin(Daemon &D, const ReleaseSlot &Action);
void performOrigin(Daemon &D, const ReportProgress &Action);
void performOrigin(Daemon &D, const ReportTargetUnavailable &Action);
// intent_routing.cpp: messages to the holder of the key's shard.
void performOrigin(Daemon &D, const RecordIntent &Action);
void performOrigin(Daemon &D, const RecordOutcome &Action);
// target_dispatch.cpp
void performOrigin(Daemon &D, const Dispatch &Action);
void performOrigin(Daemon &D, const CancelDispatch &Action);
// responses.cpp
void performOrigin(Daemon &D, const FailRequest &Action);
void performOrigin(Daemon &D, const CompleteRequest &Action);
void performOrigin(Daemon &D, const ReplayOutcome &Action);

// ---- Arbiter: arbiters.cpp --------------------------------------------------

/// Returns this host's arbiter of \p Pool; creates it if there is none.
HostedArbiter &hostedArbiter(Daemon &D, PoolId Pool);
void performArbiter(Daemon &D, PoolId Pool, const ArbiterAction &Action);

// ---- Membership: peer_messages.cpp and arbiters.cpp -------------------------

void performMembership(Daemon &D, const SendHeartbeat &Action);
void performMembership(Daemon &D, const HostJoined &Action);
void performMembership(Daemon &D, const HostLost &Action);
void performMembership(Daemon &D, const ZoneViewChanged &Action);
void performMembership(Daemon &D, const LeavingNoticeRecorded &Action);
void performMembership(Daemon &D, const TripRecorded &Action);
void performMembership(Daemon &D, const NewerRevisionSeen &Action);
void performMembership(Daemon &D, const LocalPauseDetected &Action);

// ---- Intent log: platform_client.cpp and intent_routing.cpp -----------------

void performIntentLog(Daemon &D, const ReadObject &Action);
void performIntentLog(Daemon &D, const WriteObject &Action);
void performIntentLog(Daemon &D, const AnswerIntent &Action);

// ---- Configuration: config.cpp and platform_client.cpp ----------------------

void performConfig(Daemon &D, const AdoptConfig &Action);
void performConfig(Daemon &D, const FetchConfigFromPeer &Action);
void performConfig(Daemon &D, const SendConfig &Action);
void performConfig(Daemon &D, const WatchObject &Action);
void performConfig(Daemon &D, const ReadObject &Action);
void performConfig(Daemon &D, const WriteObject &Action);
void performConfig(Daemon &D, const AnswerProposal &Action);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_ACTIONS_H
