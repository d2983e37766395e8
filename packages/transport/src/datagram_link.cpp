/// UDP datagrams on the event loop.
#include "marjorambay/transport/datagram_link.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
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

} // namespace

DatagramLink::~DatagramLink() {
  ReadEvent.reset();
  if (Descriptor >= 0)
    ::close(Descriptor);
}

Result<Done> DatagramLink::bind(const SocketAddress &Address) {
  Descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Ip.c_str(), &Bound.sin_addr);
  setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof ReceiveBufferBytes);
  if (Descriptor < 0 ||
      ::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Bound),
             sizeof Bound) != 0)
    return Error{ErrorKind::BadSettings, "cannot bind " +
                                             formatAddress(Address) + ": " +
                                             std::strerror(errno)};
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
    const ssize_t Length =
        recv(Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Length < 0)
      return;
    ++Counters.MessagesReceived;
    Counters.BytesReceived += static_cast<std::size_t>(Length);
    Received.emit({Buffer.data(), static_cast<std::size_t>(Length)});
  }
}

} // namespace marjorambay
