/// Sockets without a buffer layer in between.
#include "marjorambay/transport/stream_socket.h"

#include <event2/event.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

namespace {

/// Bytes read in one call. One connection may not keep the loop for longer.
constexpr std::size_t ReadSize = 64 << 10;
constexpr int ListenBacklog = 1024; // connections waiting to be accepted
constexpr int MissedProbes = 2;

void setNumber(int Descriptor, int Level, int Option, int Value) {
  setsockopt(Descriptor, Level, Option, &Value, sizeof(Value));
}

int secondsOf(Duration Time) {
  return std::max(
      1, static_cast<int>(std::chrono::duration_cast<seconds>(Time).count()));
}

void configure(int Descriptor, const SocketTimeouts &Patience) {
  setNumber(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  const auto Unacknowledged =
      std::chrono::duration_cast<milliseconds>(Patience.Unacknowledged);
  setNumber(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Unacknowledged.count()));
  if (Patience.ProbeAfter.count() == 0)
    return;
  setNumber(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setNumber(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
            secondsOf(Patience.ProbeAfter));
  setNumber(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
            secondsOf(Patience.ProbeInterval));
  setNumber(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, MissedProbes);
}

sockaddr_in socketAddress(const SocketAddress &Address) {
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Ip.c_str(), &Made.sin_addr);
  return Made;
}

} // namespace

bool StreamSocket::connect(const SocketAddress &To,
                           const SocketTimeouts &Patience) {
  Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return false;
  configure(Descriptor, Patience);
  const sockaddr_in Address = socketAddress(To);
  const int Outcome = ::connect(
      Descriptor, reinterpret_cast<const sockaddr *>(&Address), sizeof Address);
  if (Outcome != 0 && errno != EINPROGRESS) {
    close();
    return false;
  }
  Connecting = true;
  watch();
  wantWrite(true);
  return true;
}

void StreamSocket::adopt(int Accepted, const SocketTimeouts &Patience) {
  Descriptor = Accepted;
  configure(Descriptor, Patience);
  watch();
}

void StreamSocket::watch() {
  Readable.reset(event_new(Loop.base(), Descriptor, EV_READ | EV_PERSIST,
                           &StreamSocket::ready, this));
  Writable.reset(event_new(Loop.base(), Descriptor, EV_WRITE | EV_PERSIST,
                           &StreamSocket::ready, this));
  if (!Connecting)
    event_add(Readable.get(), nullptr);
}

void StreamSocket::ready(int, short What, void *Self) {
  auto &Socket = *static_cast<StreamSocket *>(Self);
  if (Socket.Connecting)
    return Socket.connectedOrNot();
  if ((What & EV_READ) != 0)
    return Socket.read();
  Socket.flush();
  if (Socket.open() && Socket.unsent() == 0 && Socket.OnDrained)
    Socket.OnDrained();
}

void StreamSocket::connectedOrNot() {
  int Failure = 0;
  socklen_t Size = sizeof(Failure);
  getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Failure, &Size);
  if (Failure != 0)
    return end(SocketEnd::NotConnected);
  Connecting = false;
  event_add(Readable.get(), nullptr);
  flush();
  if (open() && OnConnected)
    OnConnected();
}

void StreamSocket::wantWrite(bool Wanted) {
  if (Wanted == Writing)
    return;
  Writing = Wanted;
  if (Wanted)
    event_add(Writable.get(), nullptr);
  else
    event_del(Writable.get());
}

void StreamSocket::flush() {
  if (!open() || Connecting)
    return;
  while (unsent() != 0) {
    const ssize_t Written = ::send(Descriptor, Out.data() + Sent, unsent(),
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return wantWrite(true);
    if (Written < 0)
      // What the other side sent before it went is still to be read; the
      // read that finds the end reports it.
      break;
    Sent += static_cast<std::size_t>(Written);
  }
  Out.clear();
  Sent = 0;
  wantWrite(false);
}

void StreamSocket::read() {
  static std::array<char, ReadSize> Buffer;
  const ssize_t Got = ::recv(Descriptor, Buffer.data(), Buffer.size(), 0);
  if (Got > 0) {
    OnBytes({Buffer.data(), static_cast<std::size_t>(Got)});
    return;
  }
  if (Got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  end(Got == 0 ? SocketEnd::Closed : SocketEnd::Reset);
}

void StreamSocket::pauseReading(bool Wanted) {
  if (!open() || Wanted == Paused)
    return;
  Paused = Wanted;
  if (Connecting)
    return;
  if (Paused)
    event_del(Readable.get());
  else
    event_add(Readable.get(), nullptr);
}

void StreamSocket::finishWriting() {
  if (open())
    ::shutdown(Descriptor, SHUT_WR);
}

void StreamSocket::end(SocketEnd How) {
  const auto Tell = OnEnd;
  close();
  if (Tell)
    Tell(How);
}

void StreamSocket::close() {
  Readable.reset();
  Writable.reset();
  Writing = false;
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
}

Result<int> listenAt(const SocketAddress &Address) {
  const int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return Error{ErrorKind::BadSettings, "no socket can be had"};
  setNumber(Descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in Bound = socketAddress(Address);
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&Bound),
           sizeof Bound) != 0 ||
      listen(Descriptor, ListenBacklog) != 0) {
    const std::string Reason = std::strerror(errno);
    ::close(Descriptor);
    return Error{ErrorKind::BadSettings,
                 "can't listen at " + formatAddress(Address) + ": " + Reason};
  }
  return Descriptor;
}

std::uint16_t portOf(int Descriptor) {
  sockaddr_in Bound{};
  socklen_t Size = sizeof Bound;
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Bound), &Size);
  return ntohs(Bound.sin_port);
}

} // namespace marjorambay
