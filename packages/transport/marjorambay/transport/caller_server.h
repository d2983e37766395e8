/// HTTP server for forwarded routes: receives complete requests from callers
/// and sends the responses over keep-alive connections.
///
/// [SECTION] Index
///   1. CallerServerLimits  size limits and timeouts of a connection
///   2. CallerRequest       one complete request
///   3. CallerServer        the server; an ExchangeId identifies each exchange
#ifndef MARJORAMBAY_TRANSPORT_CALLER_SERVER_H
#define MARJORAMBAY_TRANSPORT_CALLER_SERVER_H

#include "marjorambay/transport/acceptor.h"
#include "marjorambay/transport/body_admission.h"
#include "marjorambay/transport/http1.h"
#include "marjorambay/transport/retiring_map.h"
#include "marjorambay/transport/stream_socket.h"
#include "marjorambay/transport/timer_service.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambay {

struct CallerServerLimits {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 4 << 20;
  /// When they are all open, the one that was idle for longest is closed for a
  /// new one. If none is idle, a few more are accepted to reject their
  /// requests, and others wait to be accepted.
  std::size_t MaxConnections = 2000;
  std::size_t MaxConnectionsOverLimit = 64; ///< that get an error response
  Duration HeaderTimeout = seconds(3);      ///< first byte to end of the head
  /// End of the head to last byte, without the time for which the body waits to
  /// be read.
  Duration BodyTimeout = seconds(15);
  Duration IdleTimeout = seconds(15); ///< between requests
  /// What callers have yet to read, together.
  std::size_t MaxUnsentBytes = 24 << 20;
};

struct CallerServerCounters {
  std::uint64_t IdleClosed = 0; ///< to make room for new connections
  std::uint64_t Rejected = 0;   ///< requests on connections above the limit
};

/// A complete request. Valid only while RequestArrived is emitted.
struct CallerRequest {
  ExchangeId Id{};
  const HttpHead &Head;
  /// Never null. Its memory counts as held until the last copy of the pointer
  /// is gone.
  std::shared_ptr<const std::string> Body;
};

/// Receives requests and sends their responses. An exchange ends with answer(),
/// endResponse(), abort() or the signal CallerDisconnected; calls with the id
/// of an ended exchange do nothing.
class CallerServer {
public:
  CallerServer(EventLoop &Loop, TimerService &Timers,
               CallerServerLimits Limits = {}, std::string Name = "callers");
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Returns the bound port; port 0 in \p Address chooses a free one.
  Result<std::uint16_t> listen(const SocketAddress &Address);
  /// Applies to all connections at once, except MaxHeaderBytes, which applies
  /// to new connections.
  void setLimits(const CallerServerLimits &NewLimits) { Limits = NewLimits; }
  /// Without it, all bodies are admitted.
  void setBodyAdmission(BodyAdmission &Decider) { Admission = &Decider; }
  /// Reads a body that waited.
  void admitBody(CallerBodyId Id);
  /// Rejects the request of a body that waited.
  void refuseBody(CallerBodyId Id);
  /// From now on, each connection closes after its next response, or after the
  /// last of the requests that have arrived on it.
  void disableKeepAlive();
  /// Connections that still send a response close after it.
  void closeIdleConnections();
  /// Rejects requests of which only a part has arrived, for \p Reason.
  void rejectIncompleteRequests(ErrorKind Reason);
  /// Closes the listening socket; established connections stay open.
  void stopListening();

  void answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
              std::string_view Body);
  /// The same, without a copy of a long body.
  void answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
              const std::shared_ptr<const std::string> &Body);
  /// Starts a response of unknown length, sent in chunks, or up to the end of
  /// the connection if the caller does not support them.
  void beginResponse(ExchangeId Id, int Status, const HttpHeaders &Headers);
  /// Sends one chunk. Returns the number of bytes that are not yet written to
  /// the socket.
  std::size_t sendChunk(ExchangeId Id, std::string_view Bytes);
  void endResponse(ExchangeId Id);
  /// Closes the connection without completing the response, so that the caller
  /// can tell.
  void abort(ExchangeId Id);
  /// Aborts all exchanges.
  void abortAll();

  std::size_t connections() const { return Connections.size(); }
  const CallerServerCounters &counters() const { return Counters; }
  const AcceptorCounters &acceptCounters() const { return Accepts.counters(); }
  std::size_t exchanges() const { return Exchanges.size(); }
  /// Bytes of responses that are not yet written to their sockets.
  std::size_t unsentBytes() const;
  /// Whether some connection is not idle, or has bytes to send.
  bool busy() const;

  sigc::signal<void(CallerRequest &)> RequestArrived{};
  /// The request is malformed, exceeds a limit or arrives too slowly. The
  /// handler calls answer() with an error response, after which the connection
  /// closes.
  sigc::signal<void(ExchangeId, const HttpHead &, ErrorKind)> RequestRejected{};
  /// The caller's connection ended before the response was complete.
  sigc::signal<void(ExchangeId)> CallerDisconnected{};

private:
  enum class ConnectionId : std::uint64_t {};
  struct Connection;

  bool hasRoom();
  bool makeRoom();
  bool closeLongestIdle();
  void updateOverLimit(Connection &Conn) const;
  void addConnection(int Descriptor);
  void handleBytes(Connection &Conn, std::string_view Bytes);
  void parseRequests(Connection &Conn);
  void handleHead(Connection &Conn, const HttpHead &Head);
  void handleBody(Connection &Conn, std::string_view Bytes);
  /// Asks for memory for the body that is being read.
  void requestMemory(Connection &Conn, std::size_t Bytes);
  void waitForMemory(Connection &Conn);
  void releaseBody(Connection &Conn);
  void handleRequest(Connection &Conn);
  void rejectRequest(Connection &Conn, ErrorKind Reason);
  void handleClose(Connection &Conn);
  void finishExchange(Connection &Conn);
  void abort(Connection &Conn);
  void handleDrained(Connection &Conn);
  void lingerThenClose(Connection &Conn);
  void retire(Connection &Conn);
  void dropUnresponsive();
  void closeTimedOut();
  bool closesAfterResponse(const Connection &Conn) const;
  Connection *find(ExchangeId Id) const;
  /// Queues the head of a response; returns nullptr if the exchange has ended.
  Connection *queueHead(ExchangeId Id, int Status, const HttpHeaders &Headers,
                        std::size_t BodySize);
  static void continueBody(Connection &Conn);

  EventLoop &Loop;
  CallerServerLimits Limits;
  BodyAdmission *Admission = nullptr;
  std::uint64_t LastBody = 0;
  std::unordered_map<CallerBodyId, ConnectionId> WaitingBodies{};
  Acceptor Accepts;
  CallerServerCounters Counters{};
  TimePoint NextIdleSearch{};
  TimePoint FullLoggedAt{};
  bool KeepAliveDisabled = false;
  std::uint64_t LastConnection = 0;
  std::uint64_t LastExchange = 0;
  RetiringMap<ConnectionId, Connection> Connections;
  std::unordered_map<ExchangeId, ConnectionId> Exchanges{};
  TimerConnection SweepTimer{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_CALLER_SERVER_H
