/// TCP sockets on plain libevent events, without bufferevents.
#include "marjorambay/transport/stream_socket.h"

#include <event2/event.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

namespace {

/// Bytes read in one call; bounds the time for which one connection keeps the
/// loop busy.
constexpr std::size_t ReadBufferBytes = 64 << 10;
/// Capacity that an empty buffer of bytes to send may keep.
constexpr std::size_t KeptBufferBytes = 16 << 10;
/// Shorter bytes are copied, so that they go out in one call with their head.
constexpr std::size_t MinSharedBytes = 16 << 10;
/// Receive buffer of connections that this process opens.
constexpr int OutgoingReceiveBuffer = 128 << 10;
constexpr int ListenBacklog = 1024; // connections waiting to be accepted
constexpr int MaxMissedProbes = 2;

void setIntOption(int Descriptor, int Level, int Option, int Value) {
  setsockopt(Descriptor, Level, Option, &Value, sizeof(Value));
}

int secondsOf(Duration Time) {
  return std::max(
      1, static_cast<int>(std::chrono::duration_cast<seconds>(Time).count()));
}

void limitUnacknowledged(int Descriptor, Duration Time) {
  const auto Limit = std::chrono::duration_cast<milliseconds>(Time);
  setIntOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(Limit.count()));
}

void configure(int Descriptor, const SocketTimeouts &Timeouts) {
  setIntOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  // Not limitUnacknowledged(): the kernel may count from the first closed
  // window of the connection on, however much its peer has read since.
  if (Timeouts.ProbeAfter.count() == 0)
    return;
  setIntOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setIntOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
               secondsOf(Timeouts.ProbeAfter));
  setIntOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
               secondsOf(Timeouts.ProbeInterval));
  setIntOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, MaxMissedProbes);
}

/// An address of IPv4 or IPv6, as the system takes it.
union SystemAddress {
  sockaddr Any;
  sockaddr_in V4;
  sockaddr_in6 V6;
};

socklen_t sizeOf(const SystemAddress &Address) {
  return Address.Any.sa_family == AF_INET6 ? sizeof Address.V6
                                           : sizeof Address.V4;
}

SystemAddress systemAddress(const SocketAddress &Address) {
  SystemAddress Converted{};
  if (inet_pton(AF_INET6, Address.Ip.c_str(), &Converted.V6.sin6_addr) == 1) {
    Converted.V6.sin6_family = AF_INET6;
    Converted.V6.sin6_port = htons(Address.Port);
    return Converted;
  }
  Converted = {};
  Converted.V4.sin_family = AF_INET;
  Converted.V4.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Ip.c_str(), &Converted.V4.sin_addr);
  return Converted;
}

/// Whether \p Errno says that this process or host lacks something, rather
/// than that the other end is at fault.
bool isLocalShortage(int Errno) {
  switch (Errno) {
  case EMFILE:
  case ENFILE:
  case ENOBUFS:
  case ENOMEM:
  case EADDRNOTAVAIL: // all local ports to that address are in use
  case EAGAIN:
    return true;
  default:
    return false;
  }
}

} // namespace

ConnectStart StreamSocket::connect(const SocketAddress &To,
                                   const SocketTimeouts &Timeouts) {
  const SystemAddress Address = systemAddress(To);
  Descriptor = socket(Address.Any.sa_family,
                      SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return errno == EAFNOSUPPORT ? ConnectStart::Failed
                                 : ConnectStart::NoResource;
  configure(Descriptor, Timeouts);
  limitReceiveBuffer(Descriptor, OutgoingReceiveBuffer);
  const int Status = ::connect(Descriptor, &Address.Any, sizeOf(Address));
  if (Status != 0 && errno != EINPROGRESS) {
    const bool Shortage = isLocalShortage(errno);
    ::close(Descriptor); // close() would drop what is queued for another try
    Descriptor = -1;
    return Shortage ? ConnectStart::NoResource : ConnectStart::Failed;
  }
  Connecting = true;
  createEvents();
  setWriteInterest(true);
  return ConnectStart::Started;
}

void StreamSocket::adopt(int Accepted, const SocketTimeouts &Timeouts) {
  Descriptor = Accepted;
  configure(Descriptor, Timeouts);
  createEvents();
}

void StreamSocket::createEvents() {
  ReadEvent.reset(event_new(Loop.base(), Descriptor, EV_READ | EV_PERSIST,
                            &StreamSocket::onEvent, this));
  WriteEvent.reset(event_new(Loop.base(), Descriptor, EV_WRITE | EV_PERSIST,
                             &StreamSocket::onEvent, this));
  if (!Connecting)
    event_add(ReadEvent.get(), nullptr);
}

void StreamSocket::onEvent(int, short Events, void *Self) {
  auto &Socket = *static_cast<StreamSocket *>(Self);
  if (Socket.Connecting)
    return Socket.finishConnect();
  if ((Events & EV_READ) != 0)
    return Socket.read();
  Socket.flush();
  if (Socket.open() && Socket.unsent() == 0 && Socket.OnDrained)
    Socket.OnDrained();
}

void StreamSocket::finishConnect() {
  int Failure = 0;
  socklen_t Size = sizeof(Failure);
  getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Failure, &Size);
  if (Failure != 0)
    return end(SocketCloseReason::ConnectFailed);
  Connecting = false;
  event_add(ReadEvent.get(), nullptr);
  flush();
  if (open() && OnConnected)
    OnConnected();
}

void StreamSocket::setWriteInterest(bool Enabled) {
  if (Enabled == WriteEventPending)
    return;
  WriteEventPending = Enabled;
  if (Enabled)
    event_add(WriteEvent.get(), nullptr);
  else
    event_del(WriteEvent.get());
}

void StreamSocket::queueShared(std::shared_ptr<const std::string> Bytes) {
  if (Bytes->size() < MinSharedBytes)
    return queue(*Bytes);
  if (unsent() == 0)
    ProgressAt = Loop.now();
  SharedUnsent += Bytes->size();
  Shared.push_back({std::move(Bytes), {}});
}

std::string_view StreamSocket::nextBytes() const {
  if (Sent < Out.size() || Shared.empty())
    return std::string_view(Out).substr(Sent);
  return std::string_view(*Shared.front().Bytes).substr(SharedSent);
}

void StreamSocket::recordSent(std::size_t Bytes) {
  ProgressAt = Loop.now();
  AcceptedBytes += Bytes;
  if (Sent < Out.size() || Shared.empty()) {
    Sent += Bytes;
    return;
  }
  SharedSent += Bytes;
  SharedUnsent -= Bytes;
  if (SharedSent < Shared.front().Bytes->size())
    return;
  Out = std::move(Shared.front().After);
  Sent = 0;
  SharedUnsent -= Out.size();
  SharedSent = 0;
  Shared.erase(Shared.begin());
}

void StreamSocket::flush() {
  if (!open() || Connecting)
    return;
  while (unsent() != 0) {
    const std::string_view Next = nextBytes();
    const ssize_t Written = ::send(Descriptor, Next.data(), Next.size(),
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      releaseSent();
      return setWriteInterest(true);
    }
    if (Written < 0) {
      // Bytes that the peer sent before it closed are still to be read; the
      // read that finds the end reports it. The failed write has cleared the
      // socket's error, so that this read returns 0 after a reset too. EPIPE
      // follows an orderly close.
      ResetSeen = ResetSeen || errno != EPIPE;
      break;
    }
    recordSent(static_cast<std::size_t>(Written));
  }
  Sent = Out.size();
  Shared.clear();
  SharedSent = 0;
  SharedUnsent = 0;
  releaseSent();
  setWriteInterest(false);
}

/// Drops bytes that have been sent. An idle connection keeps a small buffer
/// only, and one whose peer reads slowly not much more than it has to send.
void StreamSocket::releaseSent() {
  const bool Worthwhile = Sent == Out.size() || Sent > Out.size() - Sent;
  if (!Worthwhile)
    return;
  if (Out.capacity() > KeptBufferBytes)
    Out = std::string(Out, Sent);
  else
    Out.erase(0, Sent);
  Sent = 0;
}

SilentTime StreamSocket::peerSilence() {
  if (!connected())
    return {};
  return Silence.observe(Loop.socketSignals().read(Descriptor), AcceptedBytes,
                         Loop.now());
}

bool StreamSocket::hasUnreadBytes() const {
  int Bytes = 0;
  return open() && ioctl(Descriptor, FIONREAD, &Bytes) == 0 && Bytes > 0;
}

void StreamSocket::read() {
  static std::array<char, ReadBufferBytes> Buffer;
  const ssize_t Length = ::recv(Descriptor, Buffer.data(), Buffer.size(), 0);
  if (Length > 0) {
    OnBytes({Buffer.data(), static_cast<std::size_t>(Length)});
    return;
  }
  if (Length < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  end(Length == 0 && !ResetSeen ? SocketCloseReason::Closed
                                : SocketCloseReason::Reset);
}

void StreamSocket::pauseReading(bool Pause) {
  if (!open() || Pause == Paused)
    return;
  Paused = Pause;
  if (Connecting)
    return;
  if (Paused)
    event_del(ReadEvent.get());
  else
    event_add(ReadEvent.get(), nullptr);
}

bool StreamSocket::peerClosed() const {
  pollfd Poll{Descriptor, POLLRDHUP, 0};
  return open() && ::poll(&Poll, 1, 0) > 0 &&
         (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void StreamSocket::shutdownWrite() {
  if (open())
    ::shutdown(Descriptor, SHUT_WR);
}

void StreamSocket::end(SocketCloseReason Reason) {
  const auto Notify = OnEnd;
  close();
  if (Notify)
    Notify(Reason);
}

void StreamSocket::close() {
  ReadEvent.reset();
  WriteEvent.reset();
  WriteEventPending = false;
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
  Shared.clear();
  SharedSent = 0;
  SharedUnsent = 0;
}

void StreamSocket::closeWithin(Duration Time) {
  if (connected())
    limitUnacknowledged(Descriptor, Time);
  close();
}

void StreamSocket::reset() {
  const linger Discard{1, 0};
  if (open())
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Discard, sizeof Discard);
  close();
}

Error bindError(const SocketAddress &Address, int Errno) {
  constexpr std::array Passing{EADDRINUSE, EADDRNOTAVAIL, EMFILE,
                               ENFILE,     ENOBUFS,       ENOMEM};
  const bool Passes =
      std::find(Passing.begin(), Passing.end(), Errno) != Passing.end();
  return Error{Passes ? ErrorKind::AddressUnavailable : ErrorKind::BadSettings,
               "cannot listen at " + formatAddress(Address) + ": " +
                   std::strerror(Errno)};
}

Result<int> listenAt(const SocketAddress &Address) {
  const SystemAddress Bound = systemAddress(Address);
  const int Descriptor = socket(Bound.Any.sa_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return bindError(Address, errno);
  setIntOption(Descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(Descriptor, &Bound.Any, sizeOf(Bound)) != 0 ||
      listen(Descriptor, ListenBacklog) != 0) {
    const int Failure = errno;
    ::close(Descriptor);
    return bindError(Address, Failure);
  }
  return Descriptor;
}

void limitReceiveBuffer(int Descriptor, int Bytes) {
  setIntOption(Descriptor, SOL_SOCKET, SO_RCVBUF, Bytes);
}

std::uint16_t portOf(int Descriptor) {
  SystemAddress Bound{};
  socklen_t Size = sizeof Bound;
  getsockname(Descriptor, &Bound.Any, &Size);
  return ntohs(Bound.Any.sa_family == AF_INET6 ? Bound.V6.sin6_port
                                               : Bound.V4.sin_port);
}

} // namespace marjorambay
