/// Raw sockets for tests: a caller, and a target that answers with any bytes.
#ifndef MARJORAMBAY_TRANSPORT_TESTS_RAW_PEER_H
#define MARJORAMBAY_TRANSPORT_TESTS_RAW_PEER_H

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <fcntl.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

/// One end of a connection, non-blocking.
class RawEnd {
public:
  explicit RawEnd(int Descriptor) : Descriptor(Descriptor) {
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
  }
  ~RawEnd() { close(); }
  RawEnd(const RawEnd &) = delete;
  RawEnd &operator=(const RawEnd &) = delete;

  static int connectTo(std::uint16_t Port) {
    const int Made = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    Where.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &Where.sin_addr);
    REQUIRE(connect(Made, reinterpret_cast<sockaddr *>(&Where),
                    sizeof(Where)) == 0);
    return Made;
  }

  void send(std::string_view Bytes) const {
    REQUIRE(::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  /// All that has arrived so far.
  const std::string &got() {
    std::array<char, 65536> Piece;
    while (true) {
      const ssize_t Length = recv(Descriptor, Piece.data(), Piece.size(), 0);
      if (Length == 0)
        Ended = true;
      if (Length <= 0)
        return Got;
      Got.append(Piece.data(), static_cast<std::size_t>(Length));
    }
  }
  bool ended() {
    got();
    return Ended;
  }
  void close() {
    if (Descriptor >= 0)
      ::close(Descriptor);
    Descriptor = -1;
  }
  /// Closes so that the other side sees a reset.
  void reset() {
    const linger Hard{1, 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    close();
  }

private:
  int Descriptor;
  std::string Got{};
  bool Ended = false;
};

/// Listens, and hands out connections in order.
class RawListener {
public:
  RawListener() : Descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &Where.sin_addr);
    REQUIRE(bind(Descriptor, reinterpret_cast<sockaddr *>(&Where),
                 sizeof(Where)) == 0);
    REQUIRE(listen(Descriptor, 16) == 0);
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
    socklen_t Size = sizeof(Where);
    getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Where), &Size);
    Port = ntohs(Where.sin_port);
  }
  ~RawListener() { ::close(Descriptor); }
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  /// The next connection, or a negative number.
  int accept() const { return ::accept(Descriptor, nullptr, nullptr); }
  std::uint16_t port() const { return Port; }

private:
  int Descriptor;
  std::uint16_t Port = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_TESTS_RAW_PEER_H
