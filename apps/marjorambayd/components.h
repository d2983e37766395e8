/// The sides of the daemon: what main() starts, and what they offer each other.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_COMPONENTS_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_COMPONENTS_H

#include "daemon.h"

#include <string>
#include <string_view>

namespace marjorambay {

// caller_side: requests of callers, and their answers.
Result<Done> startCallerSide(Daemon &D);
/// Relays bytes of a streamed answer; they are moved out of \p Bytes.
void relayStream(Daemon &D, CallerCall &Call, evbuffer *Bytes);

// load_reports: of the targets that arbiters here grant.
void startLoadReports(Daemon &D);
/// Reads one target's report, of any zone.
void readLoadReport(Daemon &D, PoolId Pool, TargetId Target);

// target_side: dispatches.
/// Reads on from a target whose answer had run ahead of its caller.
void resumeTarget(Daemon &D, CallerCall &Call);

// peer_side: messages to and from other entry hosts.
Result<Done> startPeerSide(Daemon &D);
/// Sends with all else that goes to that address in this turn.
void sendPeer(Daemon &D, const std::string &Address,
              const PeerMessage &Message);
/// Sends to a host by its id; dropped while its address is unknown.
void sendHost(Daemon &D, HostId To, const PeerMessage &Message);

// arbiter_side: arbiters held here, and who holds the others.
void startArbiterSide(Daemon &D);
/// Tells every arbiter and the origin of the configuration in force.
void tellTargets(Daemon &D);
/// Looks again at who arbitrates each pool; the origin learns of changes.
void reviewArbiters(Daemon &D);
/// Hands a word to the arbiter of \p Pool in \p Zone, here or at a peer. False:
/// no host of that zone is known.
bool sendArbiter(Daemon &D, PoolId Pool, ZoneId Zone, ArbiterEvent Event);
/// Sends a reservation to the arbiter of the zone in Call.ReservedIn.
bool reserve(Daemon &D, CallerCall &Call, const Reservation &Request);
/// Notes a reservation that is sent again or given up. If its arbiter gave no
/// sign of life for long, that host is passed over.
void noteUnanswered(Daemon &D, const CallerCall &Call, PoolId Pool);
/// Handles what an arbiter has decided on a request of this host.
void takeDecision(Daemon &D, PoolId Pool, const ArbiterAction &Action,
                  HostId From);

// intent_side: the way to the holders of intents.
void startIntentSide(Daemon &D);

// platform_side: calls of the object API.
void startPlatformSide(Daemon &D);

// config_side: the configuration in force.
void startConfigSide(Daemon &D);
/// Proposes what an operator sent; the exchange is answered when it is settled.
void proposeConfig(Daemon &D, ExchangeId Exchange, Revision Base,
                   std::string_view Document);

// operator_side: health, metrics, inspection, configuration.
Result<Done> startOperatorSide(Daemon &D);

// lifecycle: start, drain, stop.
Result<Done> startDaemon(Daemon &D);
/// Begins a graceful stop; the loop ends once nothing is in progress.
void startDrain(Daemon &D);
/// Whether requests are taken; if not, \p Reason says why.
bool isReady(const Daemon &D, std::string &Reason);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_COMPONENTS_H
