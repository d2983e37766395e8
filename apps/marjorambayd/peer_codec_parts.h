/// Parts of the codec that its files share.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_PEER_CODEC_PARTS_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_PEER_CODEC_PARTS_H

#include "peer_codec.h"

#include "marjorambay/protocol/peer.pb.h"

#include <cstdint>
#include <optional>

namespace marjorambay::peer_codec {

void encode(const RequestKey &Key, peer::RequestKey *Out);
RequestKey decode(const peer::RequestKey &In);
std::uint64_t encodeKey(const CrashKey &Key);
CrashKey decodeKey(std::uint64_t In);

// peer_codec_arbiter.cpp
void encodeMessage(const ArbiterMessage &Message, peer::Message *Out);
void encodeMessage(const OriginMessage &Message, peer::Message *Out);
void encodeMessage(const ZoneBeat &Beat, peer::Message *Out);
void encodeMessage(const ZoneAggregateMessage &Message, peer::Message *Out);
/// Decodes messages between origins and arbiters, and between arbiters;
/// nothing if \p In is of another kind.
std::optional<PeerMessage> decodeArbiterMessage(const peer::Message &In,
                                                const PeerSender &Sender);

} // namespace marjorambay::peer_codec

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_PEER_CODEC_PARTS_H
