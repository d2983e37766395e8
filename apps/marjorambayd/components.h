/// Components of the daemon: their start functions, and what they offer each
/// other.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_COMPONENTS_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_COMPONENTS_H

#include "daemon.h"

#include <string>
#include <string_view>

namespace marjorambay {

// caller_api and responses: callers' requests and the responses to them.
Result<Done> startCallerApi(Daemon &D);
/// Relays bytes of a streamed response to the caller.
void relayStream(Daemon &D, CallerCall &Call, std::string_view Bytes);

// load_reports: load reports of the targets that this host's arbiters grant.
void startLoadReports(Daemon &D);
/// Fetches the load report of one target in any zone.
void fetchLoadReport(Daemon &D, PoolId Pool, TargetId Target);

// target_dispatch: dispatches to targets.
/// Resumes reading from a target that was paused because its caller read too
/// slowly.
void resumeTarget(Daemon &D, CallerCall &Call);

// peer_messages: messages to and from other entry hosts.
Result<Done> startPeerMessages(Daemon &D);
/// Sends a message in one envelope with all others to that address in this turn
/// of the loop.
void sendToAddress(Daemon &D, const std::string &Address,
                   const PeerMessage &Message);
/// Sends a message to a host by its id; drops it if the address is unknown.
void sendToHost(Daemon &D, HostId To, const PeerMessage &Message);

// arbiters: this host's arbiters, and the location of the others.
void startArbiters(Daemon &D);
/// Sends the targets of the configuration in force to the origin and all
/// arbiters.
void publishTargets(Daemon &D);
/// Re-evaluates which host arbitrates each pool, and reports changes to the
/// origin.
void updateArbiterLocations(Daemon &D);
/// Sends an event to the arbiter of \p Pool in \p Zone, on this host or a peer.
/// Returns false if no host of that zone is known.
bool sendToArbiter(Daemon &D, PoolId Pool, ZoneId Zone, ArbiterEvent Event);
/// Sends a reservation to the arbiter of the zone in Call.ReservedZone.
bool sendReservation(Daemon &D, CallerCall &Call, const Reservation &Request);
/// Called when a reservation is retried or cancelled. If its remote arbiter has
/// not responded in time, that host is not selected again until it is heard
/// from.
void recordUnanswered(Daemon &D, const CallerCall &Call, PoolId Pool);
/// Handles an arbiter's decision on a request of this host.
void handleDecision(Daemon &D, PoolId Pool, const ArbiterAction &Action,
                    HostId From);

// intent_routing: messages to and from the holders of intents.
void startIntentRouting(Daemon &D);

// platform_client: calls of the object API.
void startPlatformClient(Daemon &D);

// config: the configuration in force.
void startConfig(Daemon &D);
/// Proposes an operator's configuration; the exchange is answered once the
/// proposal is accepted or rejected.
void proposeConfig(Daemon &D, ExchangeId Exchange, Revision Base,
                   std::string_view Document);

// operator_api: health, metrics, inspection, configuration.
Result<Done> startOperatorApi(Daemon &D);

// lifecycle: start, drain, stop.
Result<Done> startDaemon(Daemon &D);
/// Begins a graceful stop; the loop ends once nothing is in progress.
void startDrain(Daemon &D);
/// Whether requests are accepted; sets \p Reason if not.
bool isReady(const Daemon &D, std::string &Reason);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_COMPONENTS_H
