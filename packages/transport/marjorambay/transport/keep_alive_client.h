/// HTTP/1.1 calls over kept connections, each answer matched to its call.
///
/// A target may answer twice, answer early, or add bytes after an answer. An
/// answer whose echo names another call is read and dropped; a connection that
/// holds bytes nobody asked for is not used again.
///
/// [SECTION] Index
///   1. KeptCall    one call
///   2. KeptEnd     how it ended, and whether the target may have acted
///   3. KeptClient  connections by address
#ifndef MARJORAMBAY_TRANSPORT_KEEP_ALIVE_CLIENT_H
#define MARJORAMBAY_TRANSPORT_KEEP_ALIVE_CLIENT_H

#include "marjorambay/transport/http1.h"
#include "marjorambay/transport/http_client.h"
#include "marjorambay/transport/retiring_map.h"
#include "marjorambay/transport/stream_socket.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// How a call ended.
enum class KeepAliveOutcome : std::uint8_t {
  Complete, ///< the answer's length, last chunk or orderly end was reached
  NotSent,  ///< no connection came about, so no byte of the request left
  Refused,  ///< as NotSent, and the target's system refused at once
  ConnectionLost,  ///< the connection failed after bytes may have left
  InvalidResponse, ///< the bytes are no answer
  TimedOut,        ///< no answer began in time
};
template <>
inline constexpr std::array NamesOf<KeepAliveOutcome> =
    std::to_array<std::string_view>({"whole", "not_sent", "refused", "broken",
                                     "garbled", "timed_out"});
static_assert(NamesOf<KeepAliveOutcome>.size() == 6);

/// Whether no byte of the request can have reached the target.
constexpr bool neverSent(KeepAliveOutcome How) {
  return How == KeepAliveOutcome::NotSent || How == KeepAliveOutcome::Refused;
}

struct KeepAliveCall {
  SocketAddress Address{};
  std::string Method = "GET";
  std::string RequestTarget{}; ///< path with its query
  HttpHeaders Headers{};       ///< without a length, which is added
  std::string_view Body{};     ///< copied
  std::string
      CorrelationHeader{}; ///< header in which the answer names its request
  std::string CorrelationId{};
  Duration ConnectTimeout = milliseconds(500);
  Duration HeadTimeout = seconds(30); ///< from the call to the answer's head
  /// A connection that has idled for longer may be half closed; 0: always a
  /// new connection.
  Duration MaxIdleTime = seconds(4);
  SocketTimeouts Timeouts{};
  sigc::slot<void(CallId, const HttpHead &)> OnHead{};
  sigc::slot<void(CallId, std::string_view)> OnBody{};
  sigc::slot<void(CallId, KeepAliveOutcome)>
      OnEnd{}; ///< last; not after cancel()
};

class KeepAliveClient {
public:
  explicit KeepAliveClient(EventLoop &Loop);
  ~KeepAliveClient();
  KeepAliveClient(const KeepAliveClient &) = delete;
  KeepAliveClient &operator=(const KeepAliveClient &) = delete;

  CallId start(KeepAliveCall Call);
  /// Closes the call's connection; no callback comes after this.
  void cancel(CallId Id);
  /// Ends calls whose time to connect or to answer is over, and closes
  /// connections that have idled for long. Call each few dozen milliseconds.
  void expire(TimePoint Now);
  /// Closes the idle connections to an address that is no longer used.
  void closeIdleConnections(const SocketAddress &Address);

  std::size_t calls() const { return Calls.size(); }
  std::size_t connections() const { return Connections.size(); }
  std::uint64_t opened() const { return LastConnection; }

private:
  enum class ConnectionId : std::uint64_t {};
  struct Connection;

  Connection *idleTo(const SocketAddress &To, Duration MaxIdle);
  Connection &connectionTo(const KeepAliveCall &Call);
  void send(Connection &Over, const KeepAliveCall &Call);
  void bytes(Connection &From, std::string_view Bytes);
  void head(Connection &From, const HttpHead &Head);
  void answered(Connection &From, bool BytesLeft);
  void ended(Connection &Which, SocketEnd How);
  void endCall(Connection &Over, KeepAliveOutcome How);
  void unpool(Connection &Which);
  void retire(Connection &Which);

  EventLoop &Loop;
  std::uint64_t LastCall = 0;
  std::uint64_t LastConnection = 0;
  RetiringMap<ConnectionId, Connection> Connections;
  std::unordered_map<CallId, ConnectionId> Calls{};
  std::map<SocketAddress, std::vector<ConnectionId>> Idle{};
  std::set<std::pair<TimePoint, ConnectionId>> Expiries{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_KEEP_ALIVE_CLIENT_H
