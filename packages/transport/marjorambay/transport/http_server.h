/// An HTTP/1.1 server on evhttp with limits on every input.
///
/// [SECTION] Index
///   1. HttpServerLimits  what a connection may cost
///   2. HttpRequestView   one request, valid during the signal only
///   3. HttpServer        signals in, answers out, addressed by ExchangeId
#ifndef MARJORAMBAY_TRANSPORT_HTTP_SERVER_H
#define MARJORAMBAY_TRANSPORT_HTTP_SERVER_H

#include "marjorambay/state/error.h"
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

/// One request and its answer at a server.
enum class ExchangeId : std::uint64_t {};

struct HttpHeader {
  std::string Name{};
  std::string Value{};
};
using HttpHeaders = std::vector<HttpHeader>;

struct HttpServerLimits {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 4 << 20;    ///< twice this is cut by evhttp
  std::size_t MaxConnections = 4096;     ///< above: OverConnectionLimit is set
  Duration IdleTimeout = seconds(60);    ///< silence between requests
  Duration RequestTimeout = seconds(75); ///< idle time and a whole request
  Duration StallTimeout = seconds(10);   ///< a caller that stops reading
};

/// A request as it arrived; the views end with the signal.
struct HttpRequestView {
  ExchangeId Id{};
  std::string_view Method{};
  std::string_view Path{};  ///< as sent, without the query
  std::string_view Query{}; ///< as sent, without "?"
  std::string_view Body{};
  bool OverConnectionLimit = false; ///< answer it, the connection then closes
  evhttp_request *Raw = nullptr;

  /// Value of a header, any case; empty when absent.
  std::string_view header(const char *Name) const;
  /// All headers but those that concern one connection only.
  HttpHeaders endToEndHeaders() const;
};

/// Unread bytes above which HttpServer tells when they have been read.
inline constexpr std::size_t DrainReportThresholdBytes = 64 << 10;

/// Answers callers. Every exchange ends by answer(), endAnswer(), cut() or the
/// signal CallerGone; calls with the id of an ended exchange do nothing.
class HttpServer {
public:
  HttpServer(EventLoop &Loop, TimerService &Timers, HttpServerLimits Limits);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens at an IP number; port 0 takes a free one.
  Result<std::uint16_t> listen(const std::string &Address, std::uint16_t Port);
  /// Closes the listening socket; exchanges in progress go on.
  void stopListening();

  /// Sends a whole answer.
  void answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
              std::string_view Body);
  /// Sends a whole answer, moving its body out of \p Body.
  void answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
              evbuffer *Body);
  /// Starts an answer of unknown length, sent in chunks.
  void beginResponse(ExchangeId Id, int Status, const HttpHeaders &Headers);
  /// Moves \p Bytes out as one chunk, written at the end of the turn. Returns
  /// the bytes that wait for the caller to read; when they are more than
  /// ReportDrainAbove, Drained is signalled after they are gone.
  std::size_t sendChunk(ExchangeId Id, evbuffer *Bytes);
  std::size_t sendChunk(ExchangeId Id, std::string_view Bytes);
  /// Ends an answer that was sent in chunks.
  void endResponse(ExchangeId Id);
  /// Closes the connection without an end of the answer.
  void abort(ExchangeId Id);

  /// The body of a request, for as long as the exchange goes on; or null.
  evbuffer *body(ExchangeId Id) const;

  std::size_t exchanges() const { return Exchanges.size(); }
  std::size_t connections() const { return Connections.size(); }

  sigc::signal<void(const HttpRequestView &)> RequestArrived{};
  /// The caller's connection ended before its answer did.
  sigc::signal<void(ExchangeId)> CallerDisconnected{};
  /// The bytes that had run up above ReportDrainAbove have left.
  sigc::signal<void(ExchangeId)> Drained{};

private:
  struct Exchange;
  struct Connection {
    std::uint64_t Inode = 0; ///< tells this socket from a later one of its fd
    TimePoint AwaitingSince{};
    bool Awaiting = true; ///< no whole request has arrived yet
    bool Over = false;    ///< accepted above the connection limit
  };

  void accepted(int Fd);
  void sweep();
  void arrived(evhttp_request *Raw);
  void closed(evhttp_connection *Link);
  void watchForClose(Exchange &Of);
  void addHeaders(Exchange &To, const HttpHeaders &Headers);
  void finish(ExchangeId Id);
  void flushChunks();
  void flush(Exchange &Open);
  void drained(Exchange &Open);
  Exchange *find(ExchangeId Id) const;

  EventLoop &Loop;
  HttpServerLimits Limits;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Listener = nullptr;
  evbuffer *Scratch = nullptr;
  std::uint64_t LastId = 0;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> Exchanges;
  std::unordered_map<evhttp_connection *, ExchangeId> ByLink{};
  std::vector<ExchangeId> Unflushed{}; ///< got chunks in this turn
  std::unordered_map<int, Connection> Connections{}; ///< by file descriptor
  TimerConnection Sweeper{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP_SERVER_H
