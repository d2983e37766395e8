/// Datagrams on the loop.
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

/// Datagrams received in one turn before other work gets its turn.
constexpr int ReceivesPerTurn = 64;
/// Holds a burst of all hosts while the process waits for its share of a core.
constexpr int ReceiveBufferBytes = 512 << 10;

} // namespace

DatagramLink::~DatagramLink() {
  Readable.reset();
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
    return Error{ErrorKind::BadSettings, "can't bind " +
                                             formatAddress(Address) + ": " +
                                             std::strerror(errno)};
  Readable.reset(event_new(Loop.base(), Descriptor, EV_READ | EV_PERSIST,
                           &DatagramLink::readable, this));
  event_add(Readable.get(), nullptr);
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
    ++Counts.MessagesDropped;
    return;
  }
  ++Counts.MessagesSent;
  Counts.BytesSent += Message.size();
}

void DatagramLink::readable(int, short, void *Self) {
  static_cast<DatagramLink *>(Self)->receive();
}

void DatagramLink::receive() {
  static std::array<char, MaxDatagramBytes + 1> Buffer;
  for (int Turn = 0; Turn < ReceivesPerTurn; ++Turn) {
    const ssize_t Got =
        recv(Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Got < 0)
      return;
    ++Counts.MessagesReceived;
    Counts.BytesReceived += static_cast<std::size_t>(Got);
    Received.emit({Buffer.data(), static_cast<std::size_t>(Got)});
  }
}

} // namespace marjorambay
