/// HTTP/1.1 client over keep-alive connections that matches responses to calls.
///
/// A target may respond twice, respond before the request is fully sent, or
/// send bytes after a response. A response whose correlation header names
/// another call is read and discarded; a connection with unexpected bytes is
/// not reused. A request that is sent once more has the id that it had, so it
/// goes over a connection that has not carried it: there, a late copy of the
/// earlier response could not be told from the response to this call.
///
/// [SECTION] Index
///   1. KeepAliveCall     one call
///   2. KeepAliveOutcome  its outcome, and whether the target may have acted
///   3. KeepAliveClient   the client, with connections by address
#ifndef MARJORAMBAY_TRANSPORT_KEEP_ALIVE_CLIENT_H
#define MARJORAMBAY_TRANSPORT_KEEP_ALIVE_CLIENT_H

#include "marjorambay/transport/carried_ids.h"
#include "marjorambay/transport/http1.h"
#include "marjorambay/transport/retiring_map.h"
#include "marjorambay/transport/stream_socket.h"

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// Identifies one call of a client.
enum class CallId : std::uint64_t {};

/// How a call ended.
enum class KeepAliveOutcome : std::uint8_t {
  Complete, ///< the complete response was received
  NotSent,  ///< no connection in time, so no byte of the request was sent
  Refused,  ///< the connection attempt failed, so no byte of the request was
            ///< sent
  ConnectionLost,    ///< the connection failed after bytes may have been sent
  InvalidResponse,   ///< the bytes are not an HTTP response
  TimedOut,          ///< the response head did not arrive in time
  TooMuchBeforeHead, ///< interim responses, or responses to other calls, exceed
                     ///< the limit
  HeadTooLarge,      ///< the response head exceeds the limit
  BodyTimedOut,      ///< the complete response did not arrive in time
  BodyTooLarge,      ///< the response body exceeds the limit
  ChunkFramingTooLarge, ///< a chunk's size line or the trailers exceed the
                        ///< limit
  NoResource, ///< this process has no connection left, so no byte of the
              ///< request was sent; says nothing about the target
};
template <>
inline constexpr std::array
    NamesOf<KeepAliveOutcome> = std::to_array<std::string_view>(
        {"whole", "not_sent", "refused", "broken", "garbled", "timed_out",
         "too_much_before_head", "head_too_large", "body_timed_out",
         "body_too_large", "chunk_framing_too_large", "no_resource"});
static_assert(NamesOf<KeepAliveOutcome>.size() == 12);

/// Whether no byte of the request can have reached the target.
constexpr bool neverSent(KeepAliveOutcome Outcome) {
  return Outcome == KeepAliveOutcome::NotSent ||
         Outcome == KeepAliveOutcome::Refused ||
         Outcome == KeepAliveOutcome::NoResource;
}

struct KeepAliveCall {
  SocketAddress Address{};
  std::string Method = "GET";
  std::string RequestTarget{}; ///< path including the query
  HttpHeaders Headers{};       ///< without Content-Length, which is added
  std::string_view Body{};     ///< copied
  /// Instead of Body: held until it has been sent.
  std::shared_ptr<const std::string> SharedBody{};
  /// Response header with the id of the request; empty: not checked.
  std::string CorrelationHeader{};
  /// Empty: a new connection is used, if responses are checked.
  std::string CorrelationId{};
  Duration ConnectTimeout = milliseconds(500);
  Duration HeadTimeout = seconds(30); ///< from start() to the response head
  /// From the head to the last byte, for a body that arrives at less than
  /// MinBodyBytesPerSecond; each byte of it extends the time by that rate. 0:
  /// no limit.
  Duration BodyTimeout{};
  std::size_t MaxBodyBytes = 0; ///< 0: no limit
  /// Longest idle time of a reused connection; one that was idle for longer may
  /// be half closed. 0: always use a new connection.
  Duration MaxIdleTime = seconds(4);
  bool CloseAfterResponse = false; ///< the connection serves no other call
  SocketTimeouts Timeouts{};
  /// The connection does not count towards the client's limit.
  bool Reserved = false;
  sigc::slot<void(CallId, const HttpHead &)> OnHead{};
  sigc::slot<void(CallId, std::string_view)> OnBody{};
  /// Last callback; not called after cancel().
  sigc::slot<void(CallId, KeepAliveOutcome)> OnEnd{};
};

struct KeepAliveCounters {
  std::uint64_t IdleClosed = 0; ///< to make room for new connections
  std::uint64_t NoResource = 0; ///< calls that ended with this outcome
};

class KeepAliveClient {
public:
  /// A body that arrives faster does not time out; see KeepAliveCall.
  static constexpr double MinBodyBytesPerSecond = 256 << 10;

  explicit KeepAliveClient(EventLoop &Loop);
  ~KeepAliveClient();
  KeepAliveClient(const KeepAliveClient &) = delete;
  KeepAliveClient &operator=(const KeepAliveClient &) = delete;

  /// Limits the connections other than reserved ones. When they are all open,
  /// the one that was idle for longest is closed for a new one; if none is
  /// idle, a call ends with NoResource.
  void setMaxConnections(std::size_t Limit) { MaxConnections = Limit; }

  CallId start(KeepAliveCall Call);
  /// Closes the call's connection; no callback is called afterwards.
  void cancel(CallId Id);
  /// Stops or resumes reading the response to a call, which applies
  /// backpressure to its target. Does nothing once the call has ended.
  void pauseReading(CallId Id, bool Pause);
  /// Ends calls one of whose timeouts has passed or whose peer no longer
  /// responds, and closes connections that were idle for too long. Must be
  /// called every few dozen milliseconds.
  void expire(TimePoint Now);
  /// Closes the idle connections to an address that is no longer used.
  void closeIdleConnections(const SocketAddress &Address);

  /// Returns the number of the connection that carries a call; 0 if it has
  /// ended.
  std::uint64_t connectionOf(CallId Id) const;
  std::size_t calls() const { return Calls.size(); }
  std::size_t connections() const { return Connections.size(); }
  std::uint64_t connectionsOpened() const { return LastConnection; }
  std::size_t reservedConnections() const { return ReservedConnections; }
  const KeepAliveCounters &counters() const { return Counters; }

private:
  struct Connection;

  static bool isBodyTooLarge(const Connection &Conn);
  static TimePoint extendedDeadline(const Connection &Conn);
  Connection *findIdle(const KeepAliveCall &Call);
  Connection &createConnection(const KeepAliveCall &Call);
  bool closeLongestIdle();
  ConnectStart connect(Connection &Conn, const SocketTimeouts &Timeouts);
  void writeRequest(Connection &Conn, const KeepAliveCall &Call);
  void handleBytes(Connection &Conn, std::string_view Bytes);
  void handleHead(Connection &Conn, const HttpHead &Head);
  void finishResponse(Connection &Conn, bool TrailingBytes);
  void handleClose(Connection &Conn, SocketCloseReason Reason);
  void endCall(Connection &Conn, KeepAliveOutcome Outcome);
  void endUnreachable();
  void removeFromIdle(Connection &Conn);
  void retire(Connection &Conn);

  EventLoop &Loop;
  std::uint64_t LastCall = 0;
  std::uint64_t LastConnection = 0;
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  std::size_t ReservedConnections = 0;
  KeepAliveCounters Counters{};
  RetiringMap<ConnectionId, Connection> Connections;
  std::unordered_map<CallId, ConnectionId> Calls{};
  std::map<SocketAddress, std::vector<ConnectionId>> Idle{};
  CarriedIds Carried{};
  std::set<std::pair<TimePoint, ConnectionId>> Expiries{};
  TimePoint SilenceCheckAt{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_KEEP_ALIVE_CLIENT_H
