/// Raw sockets for tests of callers and targets that send arbitrary bytes.
#ifndef MARJORAMBAY_TRANSPORT_TESTS_RAW_PEER_H
#define MARJORAMBAY_TRANSPORT_TESTS_RAW_PEER_H

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdint>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

/// One end of a connection, in non-blocking mode.
class RawConnection {
public:
  explicit RawConnection(int Descriptor) : Descriptor(Descriptor) {
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
  }
  ~RawConnection() { close(); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  static int connectTo(std::uint16_t Port) {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
    return Socket;
  }

  void limitReceiveBuffer(int Bytes) const {
    setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }
  void limitSendBuffer(int Bytes) const {
    setsockopt(Descriptor, SOL_SOCKET, SO_SNDBUF, &Bytes, sizeof(Bytes));
  }
  void send(std::string_view Bytes) const {
    REQUIRE(::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  /// Sends as many bytes as the connection accepts now. Returns their number,
  /// or a negative number if the connection has ended.
  ssize_t sendSome(std::string_view Bytes) const {
    const ssize_t Sent =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    return Sent < 0 && errno == EAGAIN ? 0 : Sent;
  }
  /// Receives what fits into one buffer, and no more.
  void receiveOnce() {
    std::array<char, 4096> Buffer;
    const ssize_t Length = recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Length > 0)
      Received.append(Buffer.data(), static_cast<std::size_t>(Length));
  }
  /// Returns all bytes received so far.
  const std::string &received() {
    std::array<char, 65536> Buffer;
    while (true) {
      const ssize_t Length = recv(Descriptor, Buffer.data(), Buffer.size(), 0);
      if (Length == 0)
        Ended = true;
      if (Length < 0 && errno == ECONNRESET)
        Reset = true;
      if (Length <= 0)
        return Received;
      Received.append(Buffer.data(), static_cast<std::size_t>(Length));
    }
  }
  bool ended() {
    received();
    return Ended;
  }
  bool wasReset() {
    received();
    return Reset;
  }
  /// Loses all packets that arrive from now on, as if the host were gone.
  void loseArrivals() const {
    sock_filter Drop{BPF_RET, 0, 0, 0};
    const sock_fprog Program{1, &Drop};
    REQUIRE(setsockopt(Descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
                       sizeof(Program)) == 0);
  }
  void stopLosingArrivals() const {
    int Unused = 0;
    REQUIRE(setsockopt(Descriptor, SOL_SOCKET, SO_DETACH_FILTER, &Unused,
                       sizeof(Unused)) == 0);
  }
  /// Announces the end of the sent bytes.
  void shutdownWrite() const { shutdown(Descriptor, SHUT_WR); }
  void close() {
    if (Descriptor >= 0)
      ::close(Descriptor);
    Descriptor = -1;
  }
  /// Closes the connection with a reset.
  void reset() {
    const linger ResetOnClose{1, 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &ResetOnClose,
               sizeof(ResetOnClose));
    close();
  }

private:
  int Descriptor;
  std::string Received{};
  bool Ended = false;
  bool Reset = false;
};

/// Listens on a free port and accepts connections in order.
class RawListener {
public:
  RawListener() : Descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    REQUIRE(bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                 sizeof(Address)) == 0);
    REQUIRE(listen(Descriptor, 16) == 0);
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
    socklen_t Size = sizeof(Address);
    getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
  }
  ~RawListener() { ::close(Descriptor); }
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  /// Returns the descriptor of the next connection, or a negative number.
  int accept() const { return ::accept(Descriptor, nullptr, nullptr); }
  std::uint16_t port() const { return Port; }

private:
  int Descriptor;
  std::uint16_t Port = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_TESTS_RAW_PEER_H
