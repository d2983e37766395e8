/// Peer messages between their typed form and protobuf.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_PEER_CODEC_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_PEER_CODEC_H

#include "marjorambay/coordination.h"
#include "marjorambay/coordination/fleet_heartbeat.h"
#include "marjorambay/state.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjorambay {

/// A word of an origin to the arbiter of \p Pool.
struct ArbiterMessage {
  PoolId Pool{};
  ArbiterEvent Event{};
};
/// A word of the arbiter of \p Pool to an origin.
struct OriginMessage {
  PoolId Pool{};
  ArbiterAction Action{};
};

using PeerMessage =
    std::variant<ArbiterMessage, OriginMessage, Heartbeat, ConfigRequested,
                 ConfigReceived, IntentRequested, AnswerIntent, OutcomeReported,
                 EvidenceArrived, FleetHeartbeat, FleetDigest,
                 ReservationQueued>;

/// Who sent an envelope, and where answers go.
struct PeerSender {
  HostId Id{};
  IncarnationId Incarnation{};
  std::string Address{};
};

struct ReceivedEnvelope {
  PeerSender Sender{};
  std::vector<PeerMessage> Messages{};
};

/// Gathers messages for one peer until print().
class EnvelopeWriter {
public:
  EnvelopeWriter();
  ~EnvelopeWriter();
  EnvelopeWriter(EnvelopeWriter &&) noexcept;
  EnvelopeWriter &operator=(EnvelopeWriter &&) noexcept;

  void add(const PeerMessage &Message);
  /// Returns the bytes to send, and starts anew.
  std::string serialize(const PeerSender &Sender);
  bool empty() const;

private:
  struct State;
  std::unique_ptr<State> Data;
};

/// Reads an envelope. Messages of kinds that this version does not know are
/// left out; a malformed envelope is a BadRequest as a whole.
Result<ReceivedEnvelope> parseEnvelope(std::string_view Bytes);

/// Objects that one host passes on to another.
std::string serializeFeed(const ObjectFeed &Feed);
/// Reads a feed; a malformed one is a BadRequest.
Result<ObjectFeed> parseFeed(std::string_view Bytes);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_PEER_CODEC_H
