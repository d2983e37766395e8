/// Messages between entry hosts as UDP datagrams.
///
/// Delivery is not guaranteed; senders repeat messages that matter. In
/// exchange, and unlike a connection, datagrams cannot stall permanently, are
/// not held up behind a lost one and need no I/O thread.
#ifndef MARJORAMBAY_TRANSPORT_DATAGRAM_LINK_H
#define MARJORAMBAY_TRANSPORT_DATAGRAM_LINK_H

#include "marjorambay/state/address.h"
#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/peer_link.h"

#include <string_view>

namespace marjorambay {

/// Larger messages are not sent, because the loss of one IP fragment loses the
/// complete message.
inline constexpr std::size_t MaxDatagramBytes = 32 << 10;

class DatagramLink {
public:
  explicit DatagramLink(EventLoop &Loop) : Loop(Loop) {}
  ~DatagramLink();
  DatagramLink(const DatagramLink &) = delete;
  DatagramLink &operator=(const DatagramLink &) = delete;

  Result<Done> bind(const SocketAddress &Address);
  /// Sends immediately. A message that is too large or that the kernel does not
  /// accept is dropped and counted.
  void send(const SocketAddress &To, std::string_view Message);

  const PeerTraffic &traffic() const { return Counters; }
  /// How long the message that Received is being emitted for has waited in the
  /// socket.
  Duration waited() const { return Waited; }

  sigc::signal<void(std::string_view Message)> Received{};

private:
  static void onReadable(int Descriptor, short Events, void *Self);
  void receive();

  EventLoop &Loop;
  int Descriptor = -1;
  EventPtr ReadEvent{};
  PeerTraffic Counters{};
  Duration Waited{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_DATAGRAM_LINK_H
