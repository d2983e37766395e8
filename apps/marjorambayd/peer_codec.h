/// Encodes and decodes peer messages as protobuf.
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

/// A message from an origin to the arbiter of \p Pool in \p Zone.
struct ArbiterMessage {
  PoolId Pool{};
  ArbiterEvent Event{};
  ZoneId Zone{}; ///< 0 if the pool has one arbiter for the region
};
/// A message from the arbiter of \p Pool in \p Zone to an origin.
struct OriginMessage {
  PoolId Pool{};
  ArbiterAction Action{};
  ZoneId Zone{};         ///< 0 if the pool has one arbiter for the region
  HostId RedirectHost{}; ///< of the arbiter to ask after a redirect; 0 if it is
                         ///< not known
};

/// To the hosts that may arbitrate for the sender's zone, and their reply.
struct ZoneBeat {
  bool Reply = false;
  bool Ready = false; ///< in a reply: the sender can arbitrate
};
/// From the arbiter of one zone of a divided pool to that of zone \p To.
struct ZoneAggregateMessage {
  PoolId Pool{};
  ZoneId To{};
  ZoneAggregate Aggregate{};
  Duration Age{};       ///< since the aggregate was made
  bool Working = false; ///< the sender has had reservations recently
};

using PeerMessage =
    std::variant<ArbiterMessage, OriginMessage, Heartbeat, ConfigRequested,
                 ConfigReceived, IntentRequested, AnswerIntent, OutcomeReported,
                 EvidenceArrived, FleetHeartbeat, FleetDigest,
                 ReservationQueued, ZoneBeat, ZoneAggregateMessage>;

/// The sender of an envelope, and its address for replies.
struct PeerSender {
  HostId Id{};
  IncarnationId Incarnation{};
  std::string Address{};
};

struct ReceivedEnvelope {
  PeerSender Sender{};
  std::vector<PeerMessage> Messages{};
};

/// Collects messages for one peer until serialize().
class EnvelopeWriter {
public:
  EnvelopeWriter();
  ~EnvelopeWriter();
  EnvelopeWriter(EnvelopeWriter &&) noexcept;
  EnvelopeWriter &operator=(EnvelopeWriter &&) noexcept;

  void add(const PeerMessage &Message);
  /// Returns the envelope as bytes and clears the writer.
  std::string serialize(const PeerSender &Sender);
  bool empty() const;

private:
  struct State;
  std::unique_ptr<State> Data;
};

/// Decodes an envelope. Messages of unknown types are skipped; a malformed
/// envelope is a BadRequest.
Result<ReceivedEnvelope> parseEnvelope(std::string_view Bytes);

/// Encodes platform objects that one host sends to another.
std::string serializeFeed(const ObjectFeed &Feed);
/// Decodes a feed; a malformed one is a BadRequest.
Result<ObjectFeed> parseFeed(std::string_view Bytes);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_PEER_CODEC_H
