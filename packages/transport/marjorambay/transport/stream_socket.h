/// A TCP connection on the event loop: a slot receives bytes, and a buffer
/// collects bytes to send.
///
/// Received bytes are passed to the slot directly and writes are batched into
/// one system call per loop turn, because system calls are expensive on a host
/// with a quarter of a core.
#ifndef MARJORAMBAY_TRANSPORT_STREAM_SOCKET_H
#define MARJORAMBAY_TRANSPORT_STREAM_SOCKET_H

#include "marjorambay/state/address.h"
#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/peer_silence.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// How a connection ended.
enum class SocketCloseReason : std::uint8_t {
  ConnectFailed, ///< it was not established, so no byte was sent
  Closed,        ///< the peer closed it in order
  Reset,         ///< it was reset, or the peer stopped responding
};

/// How an attempt to connect began.
enum class ConnectStart : std::uint8_t {
  Started,
  Failed,     ///< the system rejected it at once
  NoResource, ///< this process has no descriptor, local port or memory for it
};

/// Times after which a connection ends whose peer does not respond.
struct SocketTimeouts {
  /// For sent bytes to be acknowledged. The owner compares it with
  /// peerSilence().
  Duration Unacknowledged = seconds(2);
  Duration ProbeAfter{}; ///< idle time before the first keep-alive probe; 0: no
                         ///< probes
  Duration ProbeInterval{}; ///< between probes; two unanswered ones close the
                            ///< connection
};

/// One connection. Slots must not destroy the socket; its owner defers that.
class StreamSocket {
public:
  explicit StreamSocket(EventLoop &Loop) : Loop(Loop) {}
  ~StreamSocket() { close(); }
  StreamSocket(const StreamSocket &) = delete;
  StreamSocket &operator=(const StreamSocket &) = delete;

  sigc::slot<void()> OnConnected{};
  sigc::slot<void(std::string_view)> OnBytes{};
  sigc::slot<void(SocketCloseReason)> OnEnd{}; ///< last callback
  sigc::slot<void()> OnDrained{}; ///< all queued bytes have been sent

  ConnectStart connect(const SocketAddress &To, const SocketTimeouts &Timeouts);
  /// Takes ownership of an accepted descriptor.
  void adopt(int Descriptor, const SocketTimeouts &Timeouts);

  /// Appends bytes that the next flush() sends.
  void queue(std::string_view Bytes) {
    if (unsent() == 0)
      ProgressAt = Loop.now();
    if (Shared.empty()) {
      Out.append(Bytes);
      return;
    }
    Shared.back().After.append(Bytes);
    SharedUnsent += Bytes.size();
  }
  /// The same without a copy of long ones, which are held until they have been
  /// sent.
  void queueShared(std::shared_ptr<const std::string> Bytes);
  /// Sends as many queued bytes as the connection accepts.
  void flush();

  /// Stops or resumes reading; the end of the connection is not detected while
  /// reading is paused.
  void pauseReading(bool Paused);
  /// Whether the peer has closed the connection or its sending direction, as
  /// far as that can be told without reading.
  bool peerClosed() const;
  /// Shuts down the sending direction; reading continues.
  void shutdownWrite();
  void close();
  /// Closes; the kernel gives up bytes that the peer does not acknowledge in
  /// \p Time. Without a limit, a cut that ends may deliver them a minute later.
  void closeWithin(Duration Time);
  /// Closes with a reset; bytes that have not arrived are discarded.
  void reset();

  bool open() const { return Descriptor >= 0; }
  bool connected() const { return Descriptor >= 0 && !Connecting; }
  std::size_t unsent() const { return Out.size() - Sent + SharedUnsent; }
  /// Whether bytes have arrived that are not read yet.
  bool hasUnreadBytes() const;
  /// When the connection last accepted queued bytes, or the first was queued.
  TimePoint lastProgress() const { return ProgressAt; }
  /// Returns for how long the peer has acknowledged nothing, as far as the
  /// calls of this function show; 0 if nothing waits for an acknowledgement.
  /// Must be called every half second or so. See PeerSilence for systems that
  /// tell less.
  SilentTime peerSilence();

private:
  static void onEvent(int Descriptor, short Events, void *Self);
  void createEvents();
  void setWriteInterest(bool Enabled);
  void read();
  void finishConnect();
  std::string_view nextBytes() const;
  void recordSent(std::size_t Bytes);
  void releaseSent();
  void end(SocketCloseReason Reason);

  EventLoop &Loop;
  int Descriptor = -1;
  bool Connecting = false;
  bool Paused = false;
  bool WriteEventPending = false;
  bool ResetSeen = false; ///< a write failed because of a reset
  EventPtr ReadEvent{};
  EventPtr WriteEvent{};
  /// Bytes that are owned elsewhere as well, and those queued after them.
  struct SharedBytes {
    std::shared_ptr<const std::string> Bytes{};
    std::string After{};
  };
  std::string Out{};
  std::size_t Sent = 0;              ///< bytes of Out that have been sent
  std::vector<SharedBytes> Shared{}; ///< to be sent after Out
  std::size_t SharedSent = 0;        ///< bytes of the first one
  std::size_t SharedUnsent = 0;      ///< bytes of all, with those after them
  std::uint64_t AcceptedBytes = 0;   ///< by the kernel, in all
  TimePoint ProgressAt{};
  PeerSilence Silence{};
};

/// Returns the error of a failed bind() or listen() at \p Address:
/// AddressUnavailable if it may succeed later, else BadSettings.
Error bindError(const SocketAddress &Address, int Errno);

/// Listens at \p Address. Returns the descriptor, or the error of bindError().
Result<int> listenAt(const SocketAddress &Address);

/// Bounds what the kernel holds of bytes that have been received and not read.
/// Connections that a listening socket accepts inherit it.
void limitReceiveBuffer(int Descriptor, int Bytes);

/// Port that a listening descriptor is bound to.
std::uint16_t portOf(int Descriptor);

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_STREAM_SOCKET_H
