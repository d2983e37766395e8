/// UDP datagrams on the event loop.
#include "marjorambay/transport/datagram_link.h"

#include "marjorambay/transport/stream_socket.h"

#include <event2/event.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

namespace {

/// Datagrams received in one loop turn before other events are handled.
constexpr int MaxReceivesPerTurn = 64;
/// Holds a burst from all hosts while the CPU quota keeps the process from
/// running.
constexpr int ReceiveBufferBytes = 512 << 10;

/// Returns how long a message has waited since the kernel received it. The
/// kernel's time stamps are wall-clock times; a clock that is set back within
/// the wait shortens it.
Duration waitedSince(msghdr &Message) {
  for (cmsghdr *Entry = CMSG_FIRSTHDR(&Message); Entry != nullptr;
       Entry = CMSG_NXTHDR(&Message, Entry)) {
    if (Entry->cmsg_level != SOL_SOCKET || Entry->cmsg_type != SCM_TIMESTAMPNS)
      continue;
    timespec Arrived{};
    std::memcpy(&Arrived, CMSG_DATA(Entry), sizeof Arrived);
    timespec Now{};
    clock_gettime(CLOCK_REALTIME, &Now);
    const Duration Wait = seconds(Now.tv_sec - Arrived.tv_sec) +
                          microseconds((Now.tv_nsec - Arrived.tv_nsec) / 1000);
    return std::max(Duration(0), Wait);
  }
  return Duration(0);
}

} // namespace

DatagramLink::~DatagramLink() {
  ReadEvent.reset();
  if (Descriptor >= 0)
    ::close(Descriptor);
}

Result<Done> DatagramLink::bind(const SocketAddress &Address) {
  Descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return bindError(Address, errno);
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Ip.c_str(), &Bound.sin_addr);
  setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof ReceiveBufferBytes);
  const int Enabled = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_TIMESTAMPNS, &Enabled, sizeof Enabled);
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Bound),
             sizeof Bound) != 0) {
    const int Failure = errno;
    close(Descriptor);
    Descriptor = -1;
    return bindError(Address, Failure);
  }
  ReadEvent.reset(event_new(Loop.base(), Descriptor, EV_READ | EV_PERSIST,
                            &DatagramLink::onReadable, this));
  event_add(ReadEvent.get(), nullptr);
  return Done{};
}

void DatagramLink::send(const SocketAddress &To, std::string_view Message) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Ip.c_str(), &Address.sin_addr);
  const bool Fits = Message.size() <= MaxDatagramBytes;
  const ssize_t Sent =
      Fits
          ? sendto(Descriptor, Message.data(), Message.size(), MSG_DONTWAIT,
                   reinterpret_cast<const sockaddr *>(&Address), sizeof Address)
          : -1;
  if (Sent < 0) {
    ++Counters.MessagesDropped;
    return;
  }
  ++Counters.MessagesSent;
  Counters.BytesSent += Message.size();
}

void DatagramLink::onReadable(int, short, void *Self) {
  static_cast<DatagramLink *>(Self)->receive();
}

void DatagramLink::receive() {
  static std::array<char, MaxDatagramBytes + 1> Buffer;
  for (int Count = 0; Count < MaxReceivesPerTurn; ++Count) {
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> Control{};
    iovec Bytes{Buffer.data(), Buffer.size()};
    msghdr Message{};
    Message.msg_iov = &Bytes;
    Message.msg_iovlen = 1;
    Message.msg_control = Control.data();
    Message.msg_controllen = Control.size();
    const ssize_t Length = recvmsg(Descriptor, &Message, MSG_DONTWAIT);
    if (Length < 0)
      return;
    Waited = waitedSince(Message);
    ++Counters.MessagesReceived;
    Counters.BytesReceived += static_cast<std::size_t>(Length);
    Received.emit({Buffer.data(), static_cast<std::size_t>(Length)});
  }
}

} // namespace marjorambay
