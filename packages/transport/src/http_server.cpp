/// The HTTP server on evhttp.
#include "marjorambay/transport/http_server.h"

#include "http_headers.h"

#include "marjorambay/transport/stream_socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>

namespace marjorambay {

namespace {

constexpr Duration SweepInterval = seconds(1);
/// Connections above the limit that still get an error response; at most as
/// many as the limit.
constexpr std::size_t MaxConnectionsOverLimit = 64;

/// Servers by listener: evhttp owns the callback argument of its listeners.
std::unordered_map<evconnlistener *, HttpServer *> &serversByListener() {
  static thread_local std::unordered_map<evconnlistener *, HttpServer *>
      Servers;
  return Servers;
}

/// Returns the inode of an open socket, or 0.
std::uint64_t inodeOf(int Fd) {
  struct stat Status {};
  return fstat(Fd, &Status) == 0 ? Status.st_ino : 0;
}

std::string_view methodName(evhttp_cmd_type Command) {
  switch (Command) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_TRACE:
    return "TRACE";
  case EVHTTP_REQ_CONNECT:
    return "CONNECT";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  }
  return "";
}

std::string_view bodyOf(evhttp_request *Raw) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Raw);
  const std::size_t Length = evbuffer_get_length(Buffer);
  if (Length == 0)
    return {};
  return {reinterpret_cast<const char *>(evbuffer_pullup(Buffer, -1)), Length};
}

} // namespace

struct HttpServer::Exchange {
  HttpServer *Owner = nullptr;
  ExchangeId Id{};
  evhttp_request *Raw = nullptr;
  evhttp_connection *Conn = nullptr;
  bufferevent *Bev = nullptr;
  EventPtr CloseEvent{};
  bool ResponseStarted = false;
  bool Unflushed = false;    ///< listed in HttpServer::Unflushed
  bool DrainPending = false; ///< Drained is to be emitted
};

std::string_view HttpRequestView::header(const char *Name) const {
  const char *Value =
      evhttp_find_header(evhttp_request_get_input_headers(Raw), Name);
  return Value ? std::string_view(Value) : std::string_view();
}

HttpHeaders HttpRequestView::endToEndHeaders() const {
  return copyEndToEnd(evhttp_request_get_input_headers(Raw));
}

HttpServer::HttpServer(EventLoop &Loop, TimerService &Timers,
                       HttpServerLimits Limits)
    : Loop(Loop), Timers(Timers), Limits(Limits), Http(evhttp_new(Loop.base())),
      Scratch(evbuffer_new()) {
  const timeval Idle = toTimeval(Limits.IdleTimeout);
  evhttp_set_timeout_tv(Http, &Idle);
  evhttp_set_max_headers_size(Http,
                              static_cast<ev_ssize_t>(Limits.MaxHeaderBytes));
  evhttp_set_max_body_size(Http,
                           static_cast<ev_ssize_t>(2 * Limits.MaxBodyBytes));
  evhttp_set_default_content_type(Http, nullptr);
  evhttp_set_allowed_methods(Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                       EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                       EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      Http,
      [](evhttp_request *Raw, void *Self) {
        static_cast<HttpServer *>(Self)->handleRequest(Raw);
      },
      this);
  // evhttp sets the descriptor of the bufferevent only after this callback, so
  // it is read in deferred work.
  evhttp_set_bevcb(
      Http,
      [](event_base *Base, void *Self) {
        bufferevent *Created = bufferevent_socket_new(Base, -1, 0);
        auto *Server = static_cast<HttpServer *>(Self);
        // evhttp buffers a line before a chunk without a limit; above this one
        // nothing more is read, until RequestTimeout has passed.
        bufferevent_setwatermark(Created, EV_READ, 0,
                                 2 * Server->Limits.MaxBodyBytes +
                                     Server->Limits.MaxHeaderBytes);
        Server->Loop.defer([Server, Created]() {
          Server->registerConnection(bufferevent_getfd(Created));
        });
        return Created;
      },
      this);
  SweepTimer = Timers.every(SweepInterval, [this]() { closeTimedOut(); });
}

HttpServer::~HttpServer() {
  for (auto &[Id, Current] : Exchanges)
    evhttp_connection_set_closecb(Current->Conn, nullptr, nullptr);
  Exchanges.clear();
  stopListening();
  evhttp_free(Http);
  evbuffer_free(Scratch);
}

Result<std::uint16_t> HttpServer::listen(const std::string &Address,
                                         std::uint16_t Port) {
  Listener = evhttp_bind_socket_with_handle(Http, Address.c_str(), Port);
  if (!Listener)
    return bindError({Address, Port}, errno);
  evconnlistener *Accepting = evhttp_bound_socket_get_listener(Listener);
  serversByListener()[Accepting] = this;
  evconnlistener_set_error_cb(Accepting, [](evconnlistener *Failed, void *) {
    const int Errno = EVUTIL_SOCKET_ERROR();
    serversByListener().at(Failed)->handleAcceptError(Errno);
  });
  sockaddr_storage Bound{};
  socklen_t Length = sizeof(Bound);
  getsockname(evhttp_bound_socket_get_fd(Listener),
              reinterpret_cast<sockaddr *>(&Bound), &Length);
  if (Bound.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<sockaddr_in6 *>(&Bound)->sin6_port);
  return ntohs(reinterpret_cast<sockaddr_in *>(&Bound)->sin_port);
}

void HttpServer::stopListening() {
  if (!Listener)
    return;
  serversByListener().erase(evhttp_bound_socket_get_listener(Listener));
  evhttp_del_accept_socket(Http, Listener);
  Listener = nullptr;
}

void HttpServer::handleAcceptError(int Errno) {
  const AcceptFailure Failure = classifyAcceptError(Errno);
  if (Failure == AcceptFailure::ConnectionLost) {
    ++AcceptCounters.Lost;
    return;
  }
  AcceptCounters.Shortages += Failure == AcceptFailure::Shortage ? 1 : 0;
  ++AcceptCounters.Pauses;
  FailureLog.report(Loop.now(), "http", Errno, Connections.size());
  evconnlistener_disable(evhttp_bound_socket_get_listener(Listener));
  ResumeTimer = Timers.once(Acceptor::RetryInterval, [this]() {
    if (Listener)
      evconnlistener_enable(evhttp_bound_socket_get_listener(Listener));
  });
}

void HttpServer::registerConnection(int Fd) {
  if (Fd < 0)
    return;
  // Responses are written event by event; Nagle's algorithm would delay them.
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  Connections[Fd] = Connection{inodeOf(Fd), Loop.now(), true, false};
  if (Connections.size() <= Limits.MaxConnections)
    return;
  closeTimedOut();
  if (Connections.size() <= Limits.MaxConnections)
    return;
  Connections[Fd].OverLimit = true;
  if (Connections.size() >
      Limits.MaxConnections +
          std::min(Limits.MaxConnections, MaxConnectionsOverLimit))
    shutdown(Fd, SHUT_RDWR);
}

void HttpServer::closeTimedOut() {
  const TimePoint Now = Loop.now();
  for (auto It = Connections.begin(); It != Connections.end();) {
    const auto &[Fd, Entry] = *It;
    if (inodeOf(Fd) != Entry.Inode) {
      It = Connections.erase(It);
      continue;
    }
    if (Entry.Awaiting && Now - Entry.AwaitingSince > Limits.RequestTimeout)
      shutdown(Fd, SHUT_RDWR);
    ++It;
  }
}

void HttpServer::handleRequest(evhttp_request *Raw) {
  const auto Id = static_cast<ExchangeId>(++LastId);
  auto Entry = std::make_unique<Exchange>();
  Entry->Owner = this;
  Entry->Id = Id;
  Entry->Raw = Raw;
  Entry->Conn = evhttp_request_get_connection(Raw);
  Entry->Bev = evhttp_connection_get_bufferevent(Entry->Conn);
  watchForClose(*Entry);
  ExchangeByConnection[Entry->Conn] = Id;
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Raw);
  const char *Path = Uri ? evhttp_uri_get_path(Uri) : nullptr;
  const char *Query = Uri ? evhttp_uri_get_query(Uri) : nullptr;
  HttpRequestView View;
  View.Id = Id;
  View.Method = methodName(evhttp_request_get_command(Raw));
  View.Path = Path ? Path : "";
  View.Query = Query ? Query : "";
  View.Body = bodyOf(Raw);
  View.Raw = Raw;
  bufferevent *Bev = evhttp_connection_get_bufferevent(Entry->Conn);
  auto Found = Connections.find(bufferevent_getfd(Bev));
  if (Found != Connections.end()) {
    Found->second.Awaiting = false;
    View.OverConnectionLimit = Found->second.OverLimit;
  }
  Exchanges.emplace(Id, std::move(Entry));
  if (View.OverConnectionLimit)
    evhttp_add_header(evhttp_request_get_output_headers(Raw), "Connection",
                      "close");
  RequestArrived.emit(View);
}

void HttpServer::watchForClose(Exchange &Current) {
  evhttp_connection_set_closecb(
      Current.Conn,
      [](evhttp_connection *Conn, void *Self) {
        static_cast<HttpServer *>(Self)->handleClose(Conn);
      },
      this);
  bufferevent *Bev = evhttp_connection_get_bufferevent(Current.Conn);
  const timeval Idle = toTimeval(Limits.IdleTimeout);
  const timeval Stall = toTimeval(Limits.StallTimeout);
  bufferevent_set_timeouts(Bev, &Idle, &Stall);
  // evhttp does not read while a response is in progress, so it would not
  // notice that the caller disconnects.
  Current.CloseEvent.reset(event_new(
      Loop.base(), bufferevent_getfd(Bev), EV_CLOSED,
      [](evutil_socket_t, short, void *Conn) {
        evhttp_connection_free(static_cast<evhttp_connection *>(Conn));
      },
      Current.Conn));
  event_add(Current.CloseEvent.get(), nullptr);
}

void HttpServer::handleClose(evhttp_connection *Conn) {
  Connections.erase(bufferevent_getfd(evhttp_connection_get_bufferevent(Conn)));
  auto Found = ExchangeByConnection.find(Conn);
  if (Found == ExchangeByConnection.end())
    return;
  const ExchangeId Id = Found->second;
  ExchangeByConnection.erase(Found);
  const Exchange *Current = find(Id);
  if (!Current)
    return;
  // After a failure evhttp no longer owns the request; otherwise it frees the
  // request together with the connection.
  evhttp_request *Raw = Current->Raw;
  const bool Orphaned = !evhttp_request_get_connection(Raw);
  Exchanges.erase(Id);
  CallerDisconnected.emit(Id);
  if (Orphaned)
    evhttp_request_free(Raw);
}

HttpServer::Exchange *HttpServer::find(ExchangeId Id) const {
  auto Found = Exchanges.find(Id);
  return Found == Exchanges.end() ? nullptr : Found->second.get();
}

std::string_view HttpServer::body(ExchangeId Id) const {
  const Exchange *Current = find(Id);
  return Current ? bodyOf(Current->Raw) : std::string_view();
}

void HttpServer::addHeaders(Exchange &Current, const HttpHeaders &Headers) {
  evkeyvalq *Out = evhttp_request_get_output_headers(Current.Raw);
  // evhttp_add_header rejects line breaks, so a value cannot inject a header.
  for (const HttpHeader &Header : Headers)
    evhttp_add_header(Out, Header.Name.c_str(), Header.Value.c_str());
}

void HttpServer::answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
                        std::string_view Body) {
  evbuffer_add(Scratch, Body.data(), Body.size());
  answer(Id, Status, Headers, Scratch);
  evbuffer_drain(Scratch, evbuffer_get_length(Scratch));
}

void HttpServer::answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
                        evbuffer *Body) {
  Exchange *Current = find(Id);
  if (!Current)
    return;
  assert(!Current->ResponseStarted &&
         "answer() after beginResponse(); use endResponse()");
  addHeaders(*Current, Headers);
  evhttp_request *Raw = Current->Raw;
  finishExchange(Id);
  evhttp_send_reply(Raw, Status, nullptr, Body);
}

void HttpServer::beginResponse(ExchangeId Id, int Status,
                               const HttpHeaders &Headers) {
  Exchange *Current = find(Id);
  if (!Current)
    return;
  addHeaders(*Current, Headers);
  Current->ResponseStarted = true;
  evhttp_send_reply_start(Current->Raw, Status, nullptr);
}

std::size_t HttpServer::sendChunk(ExchangeId Id, evbuffer *Bytes) {
  Exchange *Current = find(Id);
  if (!Current)
    return 0;
  assert(Current->ResponseStarted && "sendChunk() before beginResponse()");
  evhttp_send_reply_chunk_with_cb(
      Current->Raw, Bytes,
      [](evhttp_connection *, void *Arg) {
        auto *Self = static_cast<Exchange *>(Arg);
        Self->Owner->reportDrained(*Self);
      },
      Current);
  if (!Current->Unflushed) {
    Current->Unflushed = true;
    if (Unflushed.empty())
      Loop.defer([this]() { flushChunks(); });
    Unflushed.push_back(Id);
  }
  const std::size_t Unsent =
      evbuffer_get_length(bufferevent_get_output(Current->Bev));
  Current->DrainPending =
      Current->DrainPending || Unsent > DrainReportThresholdBytes;
  return Unsent;
}

void HttpServer::flushChunks() {
  std::vector<ExchangeId> Batch;
  Batch.swap(Unflushed);
  for (const ExchangeId Id : Batch)
    if (Exchange *Current = find(Id))
      flush(*Current);
}

/// Writes as much as the socket accepts. Through libevent, each write would
/// cost an additional wait and two changes of the interest set. Errors are left
/// to libevent.
void HttpServer::flush(Exchange &Current) {
  Current.Unflushed = false;
  evbuffer *Output = bufferevent_get_output(Current.Bev);
  evbuffer_unfreeze(Output, 1);
  evbuffer_write(Output, bufferevent_getfd(Current.Bev));
  evbuffer_freeze(Output, 1);
  if (evbuffer_get_length(Output) != 0)
    return;
  bufferevent_disable(Current.Bev, EV_WRITE);
  reportDrained(Current);
}

void HttpServer::reportDrained(Exchange &Current) {
  if (!Current.DrainPending)
    return;
  Current.DrainPending = false;
  Drained.emit(Current.Id);
}

std::size_t HttpServer::sendChunk(ExchangeId Id, std::string_view Bytes) {
  evbuffer_add(Scratch, Bytes.data(), Bytes.size());
  const std::size_t Unsent = sendChunk(Id, Scratch);
  evbuffer_drain(Scratch, evbuffer_get_length(Scratch));
  return Unsent;
}

void HttpServer::endResponse(ExchangeId Id) {
  Exchange *Current = find(Id);
  if (!Current)
    return;
  evhttp_request *Raw = Current->Raw;
  finishExchange(Id);
  evhttp_send_reply_end(Raw);
}

void HttpServer::finishExchange(ExchangeId Id) {
  const Exchange &Current = *Exchanges.find(Id)->second;
  bufferevent *Bev = evhttp_connection_get_bufferevent(Current.Conn);
  auto Found = Connections.find(bufferevent_getfd(Bev));
  if (Found != Connections.end()) {
    Found->second.Awaiting = true;
    Found->second.AwaitingSince = Loop.now();
  }
  ExchangeByConnection.erase(Current.Conn);
  Exchanges.erase(Id);
}

void HttpServer::abort(ExchangeId Id) {
  // evhttp does not allow a connection to be freed in its own callback.
  Loop.defer([this, Id]() {
    Exchange *Current = find(Id);
    if (!Current)
      return;
    evhttp_connection *Conn = Current->Conn;
    ExchangeByConnection.erase(Conn);
    Exchanges.erase(Id);
    evhttp_connection_free(Conn);
  });
}

} // namespace marjorambay
