/// Peer messages on libzmq.
#include "marjorambay/transport/peer_link.h"

#include "marjorambay/state/address.h"
#include "marjorambay/transport/stream_socket.h"

#include <event2/event.h>
#include <zmq.h>

#include <array>
#include <cassert>
#include <cerrno>
#include <utility>

namespace marjorambay {

namespace {

constexpr int HeartbeatIntervalMs = 1000;
constexpr int HeartbeatTimeoutMs = 4000;
constexpr int ReconnectMs = 50;
constexpr int ReconnectMaxMs = 500;
/// Messages received in one loop turn before other events are handled.
constexpr int MaxReceivesPerTurn = 256;

void setOption(void *Socket, int Option, int Value) {
  zmq_setsockopt(Socket, Option, &Value, sizeof(Value));
}

/// Reading ZMQ_EVENTS also makes libzmq handle its own pending commands.
int pendingEvents(void *Socket) {
  int Events = 0;
  std::size_t Size = sizeof(Events);
  zmq_getsockopt(Socket, ZMQ_EVENTS, &Events, &Size);
  return Events;
}

} // namespace

void updateTrafficMetrics(const PeerTraffic &Traffic, Metrics &HostMetrics) {
  const auto SetTotal = [&HostMetrics](HostCounter Counter,
                                       std::uint64_t Total) {
    HostMetrics.add(Counter, Total - HostMetrics.count(Counter));
  };
  SetTotal(HostCounter::PeerMessagesSent, Traffic.MessagesSent);
  SetTotal(HostCounter::PeerMessagesReceived, Traffic.MessagesReceived);
  SetTotal(HostCounter::PeerBytesSent, Traffic.BytesSent);
  SetTotal(HostCounter::PeerBytesReceived, Traffic.BytesReceived);
  SetTotal(HostCounter::PeerMessagesDropped, Traffic.MessagesDropped);
}

PeerLink::PeerLink(EventLoop &Loop, PeerLinkLimits Limits)
    : Loop(Loop), Limits(Limits), Context(zmq_ctx_new()) {
  zmq_ctx_set(Context, ZMQ_IO_THREADS, 1);
}

PeerLink::~PeerLink() { closeGracefully(Duration(0)); }

void *PeerLink::openSocket(int Type) {
  void *Socket = zmq_socket(Context, Type);
  setOption(Socket, ZMQ_SNDHWM, Limits.HighWaterMark);
  setOption(Socket, ZMQ_RCVHWM, Limits.HighWaterMark);
  setOption(Socket, ZMQ_LINGER, 0);
  setOption(Socket, ZMQ_HEARTBEAT_IVL, HeartbeatIntervalMs);
  setOption(Socket, ZMQ_HEARTBEAT_TIMEOUT, HeartbeatTimeoutMs);
  setOption(Socket, ZMQ_RECONNECT_IVL, ReconnectMs);
  setOption(Socket, ZMQ_RECONNECT_IVL_MAX, ReconnectMaxMs);
  const auto MaxSize = static_cast<std::int64_t>(Limits.MaxMessageBytes);
  zmq_setsockopt(Socket, ZMQ_MAXMSGSIZE, &MaxSize, sizeof(MaxSize));
  // Queue only on established connections: a peer that restarts must not be
  // flooded with messages meant for its previous incarnation.
  setOption(Socket, ZMQ_IMMEDIATE, 1);
  return Socket;
}

EventPtr PeerLink::watchSocket(void *Socket,
                               void (*Callback)(int, short, void *),
                               void *Arg) {
  int Fd = -1;
  std::size_t Size = sizeof(Fd);
  zmq_getsockopt(Socket, ZMQ_FD, &Fd, &Size);
  EventPtr Event(
      event_new(Loop.base(), Fd, EV_READ | EV_PERSIST, Callback, Arg));
  event_add(Event.get(), nullptr);
  return Event;
}

Result<std::string> PeerLink::bind(const std::string &Address) {
  assert(!Router && "bind() called twice on one PeerLink");
  Router = openSocket(ZMQ_ROUTER);
  const std::string Endpoint = "tcp://" + Address;
  if (zmq_bind(Router, Endpoint.c_str()) != 0) {
    const int Failure = errno;
    zmq_close(Router);
    Router = nullptr;
    const auto Parsed = parseAddress(Address);
    return ok(Parsed) ? bindError(value(Parsed), Failure) : error(Parsed);
  }
  RouterReadEvent = watchSocket(
      Router,
      [](int, short, void *Self) {
        static_cast<PeerLink *>(Self)->receivePending();
      },
      this);
  std::array<char, 128> Bound{};
  std::size_t Size = Bound.size();
  zmq_getsockopt(Router, ZMQ_LAST_ENDPOINT, Bound.data(), &Size);
  return std::string(Bound.data()).substr(std::string_view("tcp://").size());
}

void PeerLink::receivePending() {
  for (int Count = 0; Count < MaxReceivesPerTurn; ++Count) {
    if (!Router || !(pendingEvents(Router) & ZMQ_POLLIN))
      return;
    if (!receiveOne())
      return;
  }
  // The descriptor is edge-triggered and signals a change only once, so the
  // remaining messages need another call.
  Loop.defer([this]() { receivePending(); });
}

bool PeerLink::receiveOne() {
  zmq_msg_t Frame;
  std::string_view Payload;
  bool More = true;
  while (More) {
    zmq_msg_init(&Frame);
    const int Size = zmq_msg_recv(&Frame, Router, ZMQ_DONTWAIT);
    if (Size < 0) {
      zmq_msg_close(&Frame);
      return false;
    }
    More = zmq_msg_more(&Frame) != 0;
    if (!More) {
      Payload = {static_cast<const char *>(zmq_msg_data(&Frame)),
                 static_cast<std::size_t>(Size)};
      ++Counters.MessagesReceived;
      Counters.BytesReceived += Payload.size();
      Received.emit(Payload);
    }
    zmq_msg_close(&Frame);
  }
  return true;
}

PeerLink::Peer *PeerLink::findOrConnect(const std::string &Address) {
  auto Found = Peers.find(Address);
  if (Found != Peers.end())
    return Found->second.get();
  auto Created = std::make_unique<Peer>();
  Created->Owner = this;
  Created->Socket = openSocket(ZMQ_DEALER);
  if (zmq_connect(Created->Socket, ("tcp://" + Address).c_str()) != 0) {
    zmq_close(Created->Socket);
    return nullptr;
  }
  Created->ReadEvent = watchSocket(
      Created->Socket,
      [](int, short, void *Arg) {
        auto *Receiver = static_cast<Peer *>(Arg);
        Receiver->Owner->flush(*Receiver);
      },
      Created.get());
  return Peers.emplace(Address, std::move(Created)).first->second.get();
}

void PeerLink::send(const std::string &Address, std::string Message) {
  Peer *Receiver = Context ? findOrConnect(Address) : nullptr;
  if (!Receiver) {
    ++Counters.MessagesDropped;
    return;
  }
  dropExpired(*Receiver);
  if (Receiver->OutboxBytes + Message.size() > Limits.MaxOutboxBytes) {
    ++Counters.MessagesDropped;
    return;
  }
  Receiver->OutboxBytes += Message.size();
  Receiver->Outbox.push_back({std::move(Message), Loop.now()});
  flush(*Receiver);
}

void PeerLink::dropExpired(Peer &Receiver) {
  const TimePoint Now = Loop.now();
  while (!Receiver.Outbox.empty() &&
         Now - Receiver.Outbox.front().QueuedAt > Limits.MaxOutboxAge) {
    Receiver.OutboxBytes -= Receiver.Outbox.front().Message.size();
    Receiver.Outbox.pop_front();
    ++Counters.MessagesDropped;
  }
}

void PeerLink::flush(Peer &Receiver) {
  dropExpired(Receiver);
  while (!Receiver.Outbox.empty()) {
    const std::string &Next = Receiver.Outbox.front().Message;
    const int Sent =
        zmq_send(Receiver.Socket, Next.data(), Next.size(), ZMQ_DONTWAIT);
    // Reading the events after a send keeps an edge from being missed.
    const int Events = pendingEvents(Receiver.Socket);
    if (Sent < 0 && !(Events & ZMQ_POLLOUT))
      return;
    if (Sent < 0)
      continue;
    ++Counters.MessagesSent;
    Counters.BytesSent += Next.size();
    Receiver.OutboxBytes -= Next.size();
    Receiver.Outbox.pop_front();
  }
  pendingEvents(Receiver.Socket);
}

void PeerLink::disconnect(const std::string &Address) {
  auto Found = Peers.find(Address);
  if (Found == Peers.end())
    return;
  Found->second->ReadEvent.reset();
  zmq_close(Found->second->Socket);
  Counters.MessagesDropped += Found->second->Outbox.size();
  Peers.erase(Found);
}

void PeerLink::closeGracefully(Duration Timeout) {
  if (!Context)
    return;
  const auto LingerMs = static_cast<int>(
      std::chrono::duration_cast<milliseconds>(Timeout).count());
  for (auto &[Address, Receiver] : Peers) {
    flush(*Receiver);
    Receiver->ReadEvent.reset();
    setOption(Receiver->Socket, ZMQ_LINGER, LingerMs);
    zmq_close(Receiver->Socket);
  }
  Peers.clear();
  RouterReadEvent.reset();
  if (Router)
    zmq_close(Router);
  Router = nullptr;
  zmq_ctx_term(Context);
  Context = nullptr;
}

} // namespace marjorambay
