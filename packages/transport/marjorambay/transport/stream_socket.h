/// A TCP connection on the loop: bytes in by slot, bytes out by a buffer.
///
/// Reads go straight to the slot and writes are gathered for one system call a
/// turn, for each call counts on a host with a quarter of a core.
#ifndef MARJORAMBAY_TRANSPORT_STREAM_SOCKET_H
#define MARJORAMBAY_TRANSPORT_STREAM_SOCKET_H

#include "marjorambay/state/address.h"
#include "marjorambay/transport/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

/// How a connection ended.
enum class SocketEnd : std::uint8_t {
  NotConnected, ///< it never stood, so that no byte left
  Closed,       ///< the other side ended it in order
  Reset,        ///< reset, or silent for too long
};

/// How long silence on a connection may last before the kernel gives it up.
struct SocketTimeouts {
  Duration Unacknowledged = seconds(2); ///< bytes sent and not acknowledged
  Duration ProbeAfter{};    ///< idle time before a keep-alive; 0: none
  Duration ProbeInterval{}; ///< between keep-alives; two missed end it
};

/// One connection. Slots must not destroy the socket; owners defer that.
class StreamSocket {
public:
  explicit StreamSocket(EventLoop &Loop) : Loop(Loop) {}
  ~StreamSocket() { close(); }
  StreamSocket(const StreamSocket &) = delete;
  StreamSocket &operator=(const StreamSocket &) = delete;

  sigc::slot<void()> OnConnected{};
  sigc::slot<void(std::string_view)> OnBytes{};
  sigc::slot<void(SocketEnd)> OnEnd{}; ///< last
  sigc::slot<void()> OnDrained{};      ///< all that was queued has left

  /// Starts to connect. False: the system refused at once.
  bool connect(const SocketAddress &To, const SocketTimeouts &Patience);
  /// Takes over an accepted descriptor.
  void adopt(int Descriptor, const SocketTimeouts &Patience);

  /// Adds to what the next flush() sends.
  void queue(std::string_view Bytes) { Out.append(Bytes); }
  /// Sends what is queued, as far as the connection takes it.
  void flush();

  /// Stops or resumes reading; while stopped, an end is not noticed.
  void pauseReading(bool Paused);
  /// Tells the other side that no more bytes come; reading goes on.
  void finishWriting();
  void close();

  bool open() const { return Descriptor >= 0; }
  bool connected() const { return Descriptor >= 0 && !Connecting; }
  std::size_t unsent() const { return Out.size() - Sent; }

private:
  static void ready(int Descriptor, short What, void *Self);
  void watch();
  void wantWrite(bool Wanted);
  void read();
  void connectedOrNot();
  void end(SocketEnd How);

  EventLoop &Loop;
  int Descriptor = -1;
  bool Connecting = false;
  bool Paused = false;
  bool Writing = false; ///< the write event is pending
  EventPtr Readable{};
  EventPtr Writable{};
  std::string Out{};
  std::size_t Sent = 0; ///< of Out
};

/// Listens at \p Address. Returns the descriptor, or BadSettings.
Result<int> listenAt(const SocketAddress &Address);

/// Port that a listening descriptor is bound to.
std::uint16_t portOf(int Descriptor);

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_STREAM_SOCKET_H
