/// Messages between entry hosts as UDP datagrams.
///
/// Nothing here is promised: whoever sends repeats what matters. Unlike a
/// connection, a datagram can't go silent for good, waits behind no lost one,
/// and needs no thread of its own.
#ifndef MARJORAMBAY_TRANSPORT_DATAGRAM_LINK_H
#define MARJORAMBAY_TRANSPORT_DATAGRAM_LINK_H

#include "marjorambay/state/address.h"
#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/peer_link.h"

#include <string_view>

namespace marjorambay {

/// Larger messages are not sent: a lost fragment loses the whole.
inline constexpr std::size_t MaxDatagramBytes = 32 << 10;

class DatagramLink {
public:
  explicit DatagramLink(EventLoop &Loop) : Loop(Loop) {}
  ~DatagramLink();
  DatagramLink(const DatagramLink &) = delete;
  DatagramLink &operator=(const DatagramLink &) = delete;

  Result<Done> bind(const SocketAddress &Address);
  /// Sends at once; drops and counts what the system does not take.
  void send(const SocketAddress &To, std::string_view Message);

  const PeerTraffic &traffic() const { return Counts; }

  sigc::signal<void(std::string_view Message)> Received{};

private:
  static void readable(int Descriptor, short What, void *Self);
  void receive();

  EventLoop &Loop;
  int Descriptor = -1;
  EventPtr Readable{};
  PeerTraffic Counts{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_DATAGRAM_LINK_H
