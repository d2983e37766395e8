/// Messages between entry hosts over ZeroMQ: each host binds a ROUTER socket
/// and connects a DEALER socket to each peer. Replies are sent over the
/// replying host's own DEALER.
///
/// libzmq runs one I/O thread of its own. All calls and all state of this class
/// stay on the event loop's thread.
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
  int HighWaterMark = 256; ///< messages queued per socket
  std::size_t MaxMessageBytes = 2 << 20;
  std::size_t MaxOutboxBytes = 4 << 20; ///< queued for one peer
  Duration MaxOutboxAge = seconds(2);   ///< older messages are dropped unsent
};

/// Messages and bytes that this host has sent and received since its start.
struct PeerTraffic {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MessagesDropped = 0; ///< no connection, or no room in the queue
};

/// Sets the traffic counters of \p HostMetrics to the totals of \p Traffic.
void updateTrafficMetrics(const PeerTraffic &Traffic, Metrics &HostMetrics);

/// Sends messages to and receives them from peers, identified by "IP:port".
class PeerLink {
public:
  PeerLink(EventLoop &Loop, PeerLinkLimits Limits);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Binds the receiving socket. Returns the bound address; port 0 chooses a
  /// free port.
  Result<std::string> bind(const std::string &Address);
  /// Sends a message, or queues it until the connection is established. Never
  /// blocks; a message that finds no room in the queue is dropped and counted.
  void send(const std::string &Address, std::string Message);
  /// Closes the connection to a peer and drops the messages queued for it.
  void disconnect(const std::string &Address);
  /// Waits up to \p Timeout for sent messages to be transmitted, then closes
  /// all sockets.
  void closeGracefully(Duration Timeout);

  const PeerTraffic &traffic() const { return Counters; }
  std::size_t peers() const { return Peers.size(); }

  sigc::signal<void(std::string_view Message)> Received{};

private:
  struct QueuedMessage {
    std::string Message{};
    TimePoint QueuedAt{};
  };
  struct Peer {
    PeerLink *Owner = nullptr;
    void *Socket = nullptr;
    EventPtr ReadEvent{};
    std::deque<QueuedMessage> Outbox{};
    std::size_t OutboxBytes = 0;
  };

  void *openSocket(int Type);
  EventPtr watchSocket(void *Socket, void (*Callback)(int, short, void *),
                       void *Arg);
  Peer *findOrConnect(const std::string &Address);
  void flush(Peer &Receiver);
  void dropExpired(Peer &Receiver);
  void receivePending();
  bool receiveOne();

  EventLoop &Loop;
  PeerLinkLimits Limits;
  void *Context = nullptr;
  void *Router = nullptr;
  EventPtr RouterReadEvent{};
  std::unordered_map<std::string, std::unique_ptr<Peer>> Peers{};
  PeerTraffic Counters{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_PEER_LINK_H
