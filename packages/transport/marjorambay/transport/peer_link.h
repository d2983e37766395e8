/// Messages between entry hosts over ZeroMQ: a ROUTER bound by each host, and
/// a DEALER toward each peer. Answers go back over the answering host's own
/// DEALER.
///
/// libzmq keeps one I/O thread of its own. All calls here, and all state, stay
/// on the loop's thread.
#ifndef MARJORAMBAY_TRANSPORT_PEER_LINK_H
#define MARJORAMBAY_TRANSPORT_PEER_LINK_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/metrics.h"
#include "marjorambay/transport/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjorambay {

struct PeerLinkLimits {
  int HighWaterMark = 256; ///< messages for each socket
  std::size_t MaxMessageBytes = 2 << 20;
  std::size_t MaxOutboxBytes = 4 << 20; ///< waiting for one peer
  Duration MaxOutboxAge = seconds(2);   ///< older ones are dropped unsent
};

/// Counts since the start, of what this host sends and receives.
struct PeerTraffic {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MessagesDropped = 0; ///< no connection, or no room
};

/// Brings the counters of \p Numbers up to \p Traffic.
void updateTrafficMetrics(const PeerTraffic &Traffic, Metrics &Numbers);

/// Sends to and receives from peers, which are named by "IP:port".
class PeerLink {
public:
  PeerLink(EventLoop &Loop, PeerLinkLimits Limits);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Binds the receiving socket. Returns the address in force, for port 0.
  Result<std::string> bind(const std::string &Address);
  /// Sends, or keeps until the connection stands. Never blocks; a message that
  /// finds no room is dropped and counted.
  void send(const std::string &Address, std::string Message);
  /// Closes the connection to a peer, and drops what waits for it.
  void disconnect(const std::string &Address);
  /// Waits up to \p Time for what was sent to leave, then closes everything.
  void closeGracefully(Duration Time);

  const PeerTraffic &traffic() const { return Counts; }
  std::size_t peers() const { return Peers.size(); }

  sigc::signal<void(std::string_view Message)> Received{};

private:
  struct Waiting {
    std::string Message{};
    TimePoint Since{};
  };
  struct Peer {
    PeerLink *Owner = nullptr;
    void *Socket = nullptr;
    EventPtr Readable{};
    std::deque<Waiting> Outbox{};
    std::size_t OutboxBytes = 0;
  };

  void *openSocket(int Type);
  EventPtr watch(void *Socket, void (*Call)(int, short, void *), void *Arg);
  Peer *peerAt(const std::string &Address);
  void flush(Peer &To);
  void dropOld(Peer &To);
  void drain();
  bool receiveOne();

  EventLoop &Loop;
  PeerLinkLimits Limits;
  void *Context = nullptr;
  void *Router = nullptr;
  EventPtr RouterReadable{};
  std::unordered_map<std::string, std::unique_ptr<Peer>> Peers{};
  PeerTraffic Counts{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_PEER_LINK_H
