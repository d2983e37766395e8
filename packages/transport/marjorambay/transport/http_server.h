/// HTTP/1.1 server on evhttp with limits on every input.
///
/// [SECTION] Index
///   1. HttpServerLimits  size limits and timeouts of a connection
///   2. HttpRequestView   one request, valid during the signal only
///   3. HttpServer        the server; an ExchangeId identifies each exchange
#ifndef MARJORAMBAY_TRANSPORT_HTTP_SERVER_H
#define MARJORAMBAY_TRANSPORT_HTTP_SERVER_H

#include "marjorambay/state/error.h"
#include "marjorambay/transport/acceptor.h"
#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/timer_service.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct evbuffer;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace marjorambay {

/// Identifies one request and its response at a server.
enum class ExchangeId : std::uint64_t {};

struct HttpHeader {
  std::string Name{};
  std::string Value{};
};
using HttpHeaders = std::vector<HttpHeader>;

struct HttpServerLimits {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 4 << 20;    ///< evhttp itself rejects twice this
  std::size_t MaxConnections = 4096;     ///< above: OverConnectionLimit is set
  Duration IdleTimeout = seconds(60);    ///< without bytes between requests
  Duration RequestTimeout = seconds(75); ///< idle time plus request receipt
  Duration StallTimeout = seconds(10);   ///< for callers that stop reading
};

/// A received request; the views are valid during the signal only.
struct HttpRequestView {
  ExchangeId Id{};
  std::string_view Method{};
  std::string_view Path{};  ///< as sent, without the query
  std::string_view Query{}; ///< as sent, without "?"
  std::string_view Body{};
  bool OverConnectionLimit = false; ///< connection closes after the response
  evhttp_request *Raw = nullptr;

  /// Value of a header, ignoring case; empty if absent.
  std::string_view header(const char *Name) const;
  /// All headers except hop-by-hop ones, Expect, Host and Content-Length.
  HttpHeaders endToEndHeaders() const;
};

/// Number of unsent bytes above which HttpServer emits Drained once they have
/// been sent.
inline constexpr std::size_t DrainReportThresholdBytes = 64 << 10;

/// Receives requests and sends their responses. An exchange ends with answer(),
/// endResponse(), abort() or the signal CallerDisconnected; calls with the id
/// of an ended exchange do nothing.
class HttpServer {
public:
  HttpServer(EventLoop &Loop, TimerService &Timers, HttpServerLimits Limits);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens at an IP address and returns the port; port 0 chooses a free one.
  Result<std::uint16_t> listen(const std::string &Address, std::uint16_t Port);
  /// Closes the listening socket; exchanges in progress go on.
  void stopListening();

  /// Sends a complete response.
  void answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
              std::string_view Body);
  /// Sends a complete response, moving its body out of \p Body.
  void answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
              evbuffer *Body);
  /// Starts a response of unknown length, sent in chunks.
  void beginResponse(ExchangeId Id, int Status, const HttpHeaders &Headers);
  /// Moves \p Bytes out of the buffer and sends them as one chunk at the end of
  /// the loop turn. Returns the number of unsent bytes; if it exceeds
  /// DrainReportThresholdBytes, Drained is emitted once they have been sent.
  std::size_t sendChunk(ExchangeId Id, evbuffer *Bytes);
  std::size_t sendChunk(ExchangeId Id, std::string_view Bytes);
  /// Ends a response that was sent in chunks.
  void endResponse(ExchangeId Id);
  /// Closes the connection without completing the response.
  void abort(ExchangeId Id);

  /// The body of a request; empty if the exchange has ended. Valid until it
  /// ends.
  std::string_view body(ExchangeId Id) const;

  std::size_t exchanges() const { return Exchanges.size(); }
  std::size_t connections() const { return Connections.size(); }
  const AcceptorCounters &acceptCounters() const { return AcceptCounters; }

  sigc::signal<void(const HttpRequestView &)> RequestArrived{};
  /// The caller's connection ended before the response was complete.
  sigc::signal<void(ExchangeId)> CallerDisconnected{};
  /// Unsent bytes that had exceeded DrainReportThresholdBytes have been sent.
  sigc::signal<void(ExchangeId)> Drained{};

private:
  struct Exchange;
  struct Connection {
    /// Distinguishes the socket from a later one with the same descriptor.
    std::uint64_t Inode = 0;
    TimePoint AwaitingSince{};
    bool Awaiting = true;   ///< waits for a complete request
    bool OverLimit = false; ///< accepted above MaxConnections
  };

  void registerConnection(int Fd);
  void handleAcceptError(int Errno);
  void closeTimedOut();
  void handleRequest(evhttp_request *Raw);
  void handleClose(evhttp_connection *Conn);
  void watchForClose(Exchange &Current);
  void addHeaders(Exchange &Current, const HttpHeaders &Headers);
  void finishExchange(ExchangeId Id);
  void flushChunks();
  void flush(Exchange &Current);
  void reportDrained(Exchange &Current);
  Exchange *find(ExchangeId Id) const;

  EventLoop &Loop;
  TimerService &Timers;
  HttpServerLimits Limits;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Listener = nullptr;
  evbuffer *Scratch = nullptr;
  std::uint64_t LastId = 0;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> Exchanges;
  std::unordered_map<evhttp_connection *, ExchangeId> ExchangeByConnection{};
  /// Exchanges with chunks queued in this loop turn.
  std::vector<ExchangeId> Unflushed{};
  std::unordered_map<int, Connection> Connections{}; ///< by file descriptor
  AcceptFailureLog FailureLog{};
  AcceptorCounters AcceptCounters{};
  TimerConnection SweepTimer{};
  TimerConnection ResumeTimer{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP_SERVER_H
