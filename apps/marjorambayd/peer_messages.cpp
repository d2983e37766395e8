/// Messages to and from other entry hosts, one envelope per peer and turn of
/// the loop.
#include "actions.h"
#include "components.h"
#include "rollouts.h"

#include <utility>

namespace marjorambay {

namespace {

constexpr std::size_t MaxSenders = 4096;
constexpr Duration MembershipTick = milliseconds(100);

PeerSender selfSender(const Daemon &D) {
  return {D.Self.Id, D.Incarnation, D.Self.Address};
}

void flushPeers(Daemon &D) {
  for (auto &[Address, Writer] : D.Outgoing)
    D.Peers.send(Address, Writer.serialize(selfSender(D)));
  D.Outgoing.clear();
}

void recordSender(Daemon &D, const PeerSender &Sender) {
  if (D.Senders.size() >= MaxSenders && !D.Senders.contains(Sender.Id))
    D.Senders.clear();
  KnownSender &Entry = D.Senders[Sender.Id];
  if (Entry.Sender.Incarnation > Sender.Incarnation)
    return;
  Entry = {Sender, D.Loop.now()};
  if (D.UnresponsiveHosts.erase(Sender.Id) != 0)
    updateArbiterLocations(D);
}

// ---- Incoming messages ------------------------------------------------------

/// Makes sure that an envelope, possibly an empty one, is sent to \p Address in
/// this turn.
void ensureEnvelope(Daemon &D, const std::string &Address) {
  if (D.Outgoing.empty())
    D.Loop.defer([&D]() { flushPeers(D); });
  D.Outgoing.try_emplace(Address);
}

bool isZonePeer(const Daemon &D, HostId Id) {
  const Member *Peer = D.Members.member(Id);
  return Peer && Peer->Host.Zone == D.Self.Zone;
}

void receive(Daemon &D, ArbiterMessage Message, const PeerSender &From) {
  // Hosts of other zones receive too few messages of this one to see that it is
  // alive while their reservation waits.
  if (std::holds_alternative<SlotRequested>(Message.Event) &&
      !isZonePeer(D, From.Id))
    ensureEnvelope(D, From.Address);
  // Without a configuration there are no targets to grant.
  if (D.Config.pool(Message.Pool))
    post(D, ArbiterInput{Message.Pool, std::move(Message.Event)});
}
void receive(Daemon &D, const OriginMessage &Message, const PeerSender &From) {
  handleDecision(D, Message.Pool, Message.Action, From.Id);
}
void receive(Daemon &D, const EvidenceArrived &Arrived,
             const PeerSender & /*From*/) {
  handleEvidence(D, Arrived);
}
void receive(Daemon &D, Heartbeat Message, const PeerSender & /*From*/) {
  for (const RolloutView &View : Message.Rollouts)
    updateRolloutView(D, View);
  post(D, MembershipEvent(HeartbeatReceived{std::move(Message)}));
}
void receive(Daemon &D, ConfigRequested Request, const PeerSender & /*From*/) {
  post(D, ConfigInput{Request});
}
void receive(Daemon &D, ConfigReceived Content, const PeerSender & /*From*/) {
  post(D, ConfigInput{std::move(Content)});
}
void receive(Daemon &D, const IntentRequested &Event,
             const PeerSender & /*From*/) {
  post(D, IntentLogInput{Event});
}
void receive(Daemon &D, const AnswerIntent &Answer,
             const PeerSender & /*From*/) {
  performIntentLog(D, Answer);
}
void receive(Daemon &D, const OutcomeReported &Event,
             const PeerSender & /*From*/) {
  post(D, IntentLogInput{Event});
}

/// Ignores messages of hosts that serve forwarded routes.
void receive(Daemon &, const FleetHeartbeat &, const PeerSender &) {}
void receive(Daemon &, const FleetDigest &, const PeerSender &) {}
void receive(Daemon &, const ReservationQueued &, const PeerSender &) {}
void receive(Daemon &, const ZoneBeat &, const PeerSender &) {}
void receive(Daemon &, const ZoneAggregateMessage &, const PeerSender &) {}

void handleEnvelope(Daemon &D, std::string_view Bytes) {
  Result<ReceivedEnvelope> Envelope = parseEnvelope(Bytes);
  if (!ok(Envelope)) {
    LogLine("bad_envelope", LogLevel::Warning)
        .with("bytes", static_cast<std::int64_t>(Bytes.size()));
    return;
  }
  const PeerSender Sender = value(Envelope).Sender;
  recordSender(D, Sender);
  for (PeerMessage &Message : value(Envelope).Messages)
    std::visit(
        [&](auto &Alternative) { receive(D, std::move(Alternative), Sender); },
        Message);
}

// ---- Routing of the origin's messages ---------------------------------------

RequestKey keyOf(const Daemon &D, RequestId Id) {
  return {D.Self.Id, D.Incarnation, Id};
}

/// Returns the zone of the arbiter that has the request's reservation.
ZoneId reservedZoneOf(const Daemon &D, RequestId Id) {
  const auto Found = D.Calls.find(Id);
  return Found == D.Calls.end() ? D.Self.Zone : Found->second.ReservedZone;
}

ZoneId zoneOfTarget(const Daemon &D, TargetId Target) {
  const TargetConfig *Config = D.Config.target(Target);
  return Config ? idOf<ZoneId>(Config->Zone) : D.Self.Zone;
}

} // namespace

void sendToAddress(Daemon &D, const std::string &Address,
                   const PeerMessage &Message) {
  ensureEnvelope(D, Address);
  D.Outgoing[Address].add(Message);
}

void sendToHost(Daemon &D, HostId To, const PeerMessage &Message) {
  const auto Sender = D.Senders.find(To);
  if (Sender != D.Senders.end()) {
    sendToAddress(D, Sender->second.Sender.Address, Message);
    return;
  }
  if (const Member *Peer = D.Members.member(To))
    sendToAddress(D, Peer->Host.Address, Message);
}

Result<Done> startPeerMessages(Daemon &D) {
  const Result<std::string> Bound = D.Peers.bind(D.Settings.PeerAddress);
  if (!ok(Bound))
    return error(Bound);
  D.Peers.Received.connect(
      [&D](std::string_view Bytes) { handleEnvelope(D, Bytes); });
  D.Subscriptions.push_back(D.Timers.every(MembershipTick, [&D]() {
    post(D, MembershipEvent(MembershipTicked{}));
  }));
  return Done{};
}

void performOrigin(Daemon &D, const RequestSlot &Action) {
  const Reservation &Request = Action.Request;
  const auto Found = D.Calls.find(Request.Key.Id);
  if (Found == D.Calls.end())
    return;
  CallerCall &Call = Found->second;
  if (Call.ReservationSentAt != TimePoint{} &&
      Call.Attempt == Call.ReservationAttempt)
    recordUnanswered(D, Call, Request.Pool);
  Call.ReservationAttempt = Call.Attempt;
  Call.LastReservation = Request;
  const auto Location = D.ArbiterLocations.find(Request.Pool);
  const bool Spilled = !Call.RefusedZones.empty();
  if (!Spilled && Location != D.ArbiterLocations.end())
    Call.ReservedZone = Location->second.Zone;
  const bool Sent =
      Location != D.ArbiterLocations.end() && sendReservation(D, Call, Request);
  if (!Sent)
    post(D, OriginEvent(SlotRefused{Call.Id, ErrorKind::NoTarget, seconds(1)}));
}

void performOrigin(Daemon &D, const CancelSlotRequest &Action) {
  const auto Found = D.Calls.find(Action.Id);
  if (Found != D.Calls.end())
    recordUnanswered(D, Found->second, Action.Pool);
  sendToArbiter(D, Action.Pool, reservedZoneOf(D, Action.Id),
                SlotRequestCancelled{keyOf(D, Action.Id)});
}

void performOrigin(Daemon &D, const ReleaseSlot &Action) {
  sendToArbiter(D, Action.Pool, zoneOfTarget(D, Action.Target),
                SlotReleased{keyOf(D, Action.Id), Action.Used});
}

void performOrigin(Daemon &D, const ReportProgress &Action) {
  sendToArbiter(D, Action.Pool, reservedZoneOf(D, Action.Id),
                SlotProgressed{keyOf(D, Action.Id), Action.OutputTokens});
}

void performOrigin(Daemon &D, const ReportTargetUnavailable &Action) {
  const TargetConfig *Target = D.Config.target(Action.Target);
  if (!Target)
    return;
  if (Action.Leaving)
    post(D, MembershipEvent(LeavingNoticeReceived{{Action.Target, {}}}));
  ArbiterEvent Event = TargetRefused{Action.Target};
  if (Action.Leaving)
    Event = TargetLeaving{Action.Target};
  sendToArbiter(D, idOf<PoolId>(Target->Pool), idOf<ZoneId>(Target->Zone),
                Event);
}

void performMembership(Daemon &D, const SendHeartbeat &Action) {
  Heartbeat Message = Action.Message;
  addRolloutViews(D, Message);
  sendToAddress(D, Action.To.Address, Message);
}

void performMembership(Daemon &D, const HostJoined &Action) {
  LogLine("host_joined")
      .with("host", static_cast<std::int64_t>(number(Action.Host.Id)))
      .with("address", Action.Host.Address);
  // It may be the first known host of a zone that has targets of a pool without
  // any here.
  updateArbiterLocations(D);
}

void performMembership(Daemon &D, const NewerRevisionSeen &Action) {
  post(D, ConfigInput{NewerConfigSeen{Action.Holder, Action.ConfigRevision}});
}

void performMembership(Daemon & /*D*/, const LocalPauseDetected &Action) {
  LogLine("local_pause", LogLevel::Warning)
      .with("ms", std::chrono::duration_cast<milliseconds>(Action.Gap).count());
}

} // namespace marjorambay
