/// Peer messages on libzmq.
#include "marjorambay/transport/peer_link.h"

#include <event2/event.h>
#include <zmq.h>

#include <array>
#include <cassert>
#include <utility>

namespace marjorambay {

namespace {

constexpr int HeartbeatIntervalMs = 1000;
constexpr int HeartbeatTimeoutMs = 4000;
constexpr int ReconnectMs = 50;
constexpr int ReconnectMaxMs = 500;
/// Messages received in one turn before other work gets its turn.
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

void updateTrafficMetrics(const PeerTraffic &Traffic, Metrics &Numbers) {
  const auto Raise = [&Numbers](HostCounter What, std::uint64_t To) {
    Numbers.add(What, To - Numbers.count(What));
  };
  Raise(HostCounter::PeerMessagesSent, Traffic.MessagesSent);
  Raise(HostCounter::PeerMessagesReceived, Traffic.MessagesReceived);
  Raise(HostCounter::PeerBytesSent, Traffic.BytesSent);
  Raise(HostCounter::PeerBytesReceived, Traffic.BytesReceived);
  Raise(HostCounter::PeerMessagesDropped, Traffic.MessagesDropped);
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
  // Queue only for connections that stand: a peer that comes back must not be
  // flooded with what was meant for its last incarnation.
  setOption(Socket, ZMQ_IMMEDIATE, 1);
  return Socket;
}

EventPtr PeerLink::watch(void *Socket, void (*Call)(int, short, void *),
                         void *Arg) {
  int Fd = -1;
  std::size_t Size = sizeof(Fd);
  zmq_getsockopt(Socket, ZMQ_FD, &Fd, &Size);
  EventPtr Event(event_new(Loop.base(), Fd, EV_READ | EV_PERSIST, Call, Arg));
  event_add(Event.get(), nullptr);
  return Event;
}

Result<std::string> PeerLink::bind(const std::string &Address) {
  assert(!Router && "bind() twice on one PeerLink");
  Router = openSocket(ZMQ_ROUTER);
  const std::string Endpoint = "tcp://" + Address;
  if (zmq_bind(Router, Endpoint.c_str()) != 0)
    return Error{ErrorKind::BadSettings, "can't bind peer address " + Address +
                                             ": " + zmq_strerror(errno)};
  RouterReadable = watch(
      Router,
      [](int, short, void *Self) { static_cast<PeerLink *>(Self)->drain(); },
      this);
  std::array<char, 128> Bound{};
  std::size_t Size = Bound.size();
  zmq_getsockopt(Router, ZMQ_LAST_ENDPOINT, Bound.data(), &Size);
  return std::string(Bound.data()).substr(std::string_view("tcp://").size());
}

void PeerLink::drain() {
  for (int Count = 0; Count < MaxReceivesPerTurn; ++Count) {
    if (!Router || !(pendingEvents(Router) & ZMQ_POLLIN))
      return;
    if (!receiveOne())
      return;
  }
  // The descriptor tells of a change only once; what is left must be asked for.
  Loop.defer([this]() { drain(); });
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
      ++Counts.MessagesReceived;
      Counts.BytesReceived += Payload.size();
      Received.emit(Payload);
    }
    zmq_msg_close(&Frame);
  }
  return true;
}

PeerLink::Peer *PeerLink::peerAt(const std::string &Address) {
  auto Found = Peers.find(Address);
  if (Found != Peers.end())
    return Found->second.get();
  auto Made = std::make_unique<Peer>();
  Made->Owner = this;
  Made->Socket = openSocket(ZMQ_DEALER);
  if (zmq_connect(Made->Socket, ("tcp://" + Address).c_str()) != 0) {
    zmq_close(Made->Socket);
    return nullptr;
  }
  Made->Readable = watch(
      Made->Socket,
      [](int, short, void *Arg) {
        auto *To = static_cast<Peer *>(Arg);
        To->Owner->flush(*To);
      },
      Made.get());
  return Peers.emplace(Address, std::move(Made)).first->second.get();
}

void PeerLink::send(const std::string &Address, std::string Message) {
  Peer *To = Context ? peerAt(Address) : nullptr;
  if (!To) {
    ++Counts.MessagesDropped;
    return;
  }
  dropOld(*To);
  if (To->OutboxBytes + Message.size() > Limits.MaxOutboxBytes) {
    ++Counts.MessagesDropped;
    return;
  }
  To->OutboxBytes += Message.size();
  To->Outbox.push_back({std::move(Message), Loop.now()});
  flush(*To);
}

void PeerLink::dropOld(Peer &To) {
  const TimePoint Now = Loop.now();
  while (!To.Outbox.empty() &&
         Now - To.Outbox.front().Since > Limits.MaxOutboxAge) {
    To.OutboxBytes -= To.Outbox.front().Message.size();
    To.Outbox.pop_front();
    ++Counts.MessagesDropped;
  }
}

void PeerLink::flush(Peer &To) {
  dropOld(To);
  while (!To.Outbox.empty()) {
    const std::string &Next = To.Outbox.front().Message;
    const int Sent =
        zmq_send(To.Socket, Next.data(), Next.size(), ZMQ_DONTWAIT);
    // The look at the events after a send keeps the edge from being missed.
    const int Events = pendingEvents(To.Socket);
    if (Sent < 0 && !(Events & ZMQ_POLLOUT))
      return;
    if (Sent < 0)
      continue;
    ++Counts.MessagesSent;
    Counts.BytesSent += Next.size();
    To.OutboxBytes -= Next.size();
    To.Outbox.pop_front();
  }
  pendingEvents(To.Socket);
}

void PeerLink::disconnect(const std::string &Address) {
  auto Found = Peers.find(Address);
  if (Found == Peers.end())
    return;
  Found->second->Readable.reset();
  zmq_close(Found->second->Socket);
  Counts.MessagesDropped += Found->second->Outbox.size();
  Peers.erase(Found);
}

void PeerLink::closeGracefully(Duration Time) {
  if (!Context)
    return;
  const auto LingerMs =
      static_cast<int>(std::chrono::duration_cast<milliseconds>(Time).count());
  for (auto &[Address, To] : Peers) {
    flush(*To);
    To->Readable.reset();
    setOption(To->Socket, ZMQ_LINGER, LingerMs);
    zmq_close(To->Socket);
  }
  Peers.clear();
  RouterReadable.reset();
  if (Router)
    zmq_close(Router);
  Router = nullptr;
  zmq_ctx_term(Context);
  Context = nullptr;
}

} // namespace marjorambay
