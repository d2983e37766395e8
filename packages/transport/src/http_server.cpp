/// The HTTP server on evhttp.
#include "marjorambay/transport/http_server.h"

#include "http_headers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>

namespace marjorambay {

namespace {

constexpr Duration SweepInterval = seconds(1);
/// Connections above the limit that still get an answer that says so.
constexpr std::size_t AnsweredOverLimit = 64;

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
  evhttp_connection *Link = nullptr;
  bufferevent *Bev = nullptr;
  EventPtr CloseWatch{};
  bool Begun = false;
  bool Unflushed = false; ///< listed in HttpServer::Unflushed
  bool Lagging = false;   ///< Drained is owed
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
    : Loop(Loop), Limits(Limits), Http(evhttp_new(Loop.base())),
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
        static_cast<HttpServer *>(Self)->arrived(Raw);
      },
      this);
  // evhttp sets the descriptor of the bufferevent after this callback, hence
  // the put-off look at it.
  evhttp_set_bevcb(
      Http,
      [](event_base *Base, void *Self) {
        bufferevent *Made = bufferevent_socket_new(Base, -1, 0);
        auto *Server = static_cast<HttpServer *>(Self);
        Server->Loop.defer(
            [Server, Made]() { Server->accepted(bufferevent_getfd(Made)); });
        return Made;
      },
      this);
  Sweeper = Timers.every(SweepInterval, [this]() { sweep(); });
}

HttpServer::~HttpServer() {
  for (auto &[Id, Open] : Exchanges)
    evhttp_connection_set_closecb(Open->Link, nullptr, nullptr);
  Exchanges.clear();
  evhttp_free(Http);
  evbuffer_free(Scratch);
}

Result<std::uint16_t> HttpServer::listen(const std::string &Address,
                                         std::uint16_t Port) {
  Listener = evhttp_bind_socket_with_handle(Http, Address.c_str(), Port);
  if (!Listener)
    return Error{ErrorKind::BadSettings,
                 "can't listen at " + Address + ":" + std::to_string(Port)};
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
  evhttp_del_accept_socket(Http, Listener);
  Listener = nullptr;
}

void HttpServer::accepted(int Fd) {
  if (Fd < 0)
    return;
  // Answers are written event by event; Nagle's delay would hold them back.
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  Connections[Fd] = Connection{inodeOf(Fd), Loop.now(), true, false};
  if (Connections.size() <= Limits.MaxConnections)
    return;
  sweep();
  if (Connections.size() <= Limits.MaxConnections)
    return;
  Connections[Fd].Over = true;
  if (Connections.size() > Limits.MaxConnections + AnsweredOverLimit)
    shutdown(Fd, SHUT_RDWR);
}

void HttpServer::sweep() {
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

void HttpServer::arrived(evhttp_request *Raw) {
  const auto Id = static_cast<ExchangeId>(++LastId);
  auto Entry = std::make_unique<Exchange>();
  Entry->Owner = this;
  Entry->Id = Id;
  Entry->Raw = Raw;
  Entry->Link = evhttp_request_get_connection(Raw);
  Entry->Bev = evhttp_connection_get_bufferevent(Entry->Link);
  watchForClose(*Entry);
  ByLink[Entry->Link] = Id;
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
  bufferevent *Bev = evhttp_connection_get_bufferevent(Entry->Link);
  auto Known = Connections.find(bufferevent_getfd(Bev));
  if (Known != Connections.end()) {
    Known->second.Awaiting = false;
    View.OverConnectionLimit = Known->second.Over;
  }
  Exchanges.emplace(Id, std::move(Entry));
  if (View.OverConnectionLimit)
    evhttp_add_header(evhttp_request_get_output_headers(Raw), "Connection",
                      "close");
  RequestArrived.emit(View);
}

void HttpServer::watchForClose(Exchange &Of) {
  evhttp_connection_set_closecb(
      Of.Link,
      [](evhttp_connection *Link, void *Self) {
        static_cast<HttpServer *>(Self)->closed(Link);
      },
      this);
  bufferevent *Bev = evhttp_connection_get_bufferevent(Of.Link);
  const timeval Idle = toTimeval(Limits.IdleTimeout);
  const timeval Stall = toTimeval(Limits.StallTimeout);
  bufferevent_set_timeouts(Bev, &Idle, &Stall);
  // evhttp reads nothing while an answer is made, so it would not see the
  // caller leave.
  Of.CloseWatch.reset(event_new(
      Loop.base(), bufferevent_getfd(Bev), EV_CLOSED,
      [](evutil_socket_t, short, void *Link) {
        evhttp_connection_free(static_cast<evhttp_connection *>(Link));
      },
      Of.Link));
  event_add(Of.CloseWatch.get(), nullptr);
}

void HttpServer::closed(evhttp_connection *Link) {
  Connections.erase(bufferevent_getfd(evhttp_connection_get_bufferevent(Link)));
  auto Found = ByLink.find(Link);
  if (Found == ByLink.end())
    return;
  const ExchangeId Id = Found->second;
  ByLink.erase(Found);
  const Exchange *Open = find(Id);
  if (!Open)
    return;
  // After a failure evhttp has let go of the request; otherwise it frees the
  // request together with the connection.
  evhttp_request *Raw = Open->Raw;
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

evbuffer *HttpServer::body(ExchangeId Id) const {
  const Exchange *Open = find(Id);
  return Open ? evhttp_request_get_input_buffer(Open->Raw) : nullptr;
}

void HttpServer::addHeaders(Exchange &To, const HttpHeaders &Headers) {
  evkeyvalq *Out = evhttp_request_get_output_headers(To.Raw);
  // evhttp_add_header refuses line breaks, so a value can't add a header.
  for (const HttpHeader &Each : Headers)
    evhttp_add_header(Out, Each.Name.c_str(), Each.Value.c_str());
}

void HttpServer::answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
                        std::string_view Body) {
  evbuffer_add(Scratch, Body.data(), Body.size());
  answer(Id, Status, Headers, Scratch);
  evbuffer_drain(Scratch, evbuffer_get_length(Scratch));
}

void HttpServer::answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
                        evbuffer *Body) {
  Exchange *Open = find(Id);
  if (!Open)
    return;
  assert(!Open->Begun && "answer() after beginAnswer(); use endAnswer()");
  addHeaders(*Open, Headers);
  evhttp_request *Raw = Open->Raw;
  finish(Id);
  evhttp_send_reply(Raw, Status, nullptr, Body);
}

void HttpServer::beginResponse(ExchangeId Id, int Status,
                               const HttpHeaders &Headers) {
  Exchange *Open = find(Id);
  if (!Open)
    return;
  addHeaders(*Open, Headers);
  Open->Begun = true;
  evhttp_send_reply_start(Open->Raw, Status, nullptr);
}

std::size_t HttpServer::sendChunk(ExchangeId Id, evbuffer *Bytes) {
  Exchange *Open = find(Id);
  if (!Open)
    return 0;
  assert(Open->Begun && "sendChunk() before beginAnswer()");
  evhttp_send_reply_chunk_with_cb(
      Open->Raw, Bytes,
      [](evhttp_connection *, void *Arg) {
        auto *Sent = static_cast<Exchange *>(Arg);
        Sent->Owner->drained(*Sent);
      },
      Open);
  if (!Open->Unflushed) {
    Open->Unflushed = true;
    if (Unflushed.empty())
      Loop.defer([this]() { flushChunks(); });
    Unflushed.push_back(Id);
  }
  const std::size_t Waiting =
      evbuffer_get_length(bufferevent_get_output(Open->Bev));
  Open->Lagging = Open->Lagging || Waiting > DrainReportThresholdBytes;
  return Waiting;
}

void HttpServer::flushChunks() {
  std::vector<ExchangeId> Round;
  Round.swap(Unflushed);
  for (const ExchangeId Id : Round)
    if (Exchange *Open = find(Id))
      flush(*Open);
}

/// Writes at once what the socket takes. Left to libevent, each write would
/// cost a wait and two changes of interest more. Errors are left to it too.
void HttpServer::flush(Exchange &Open) {
  Open.Unflushed = false;
  evbuffer *Output = bufferevent_get_output(Open.Bev);
  evbuffer_unfreeze(Output, 1);
  evbuffer_write(Output, bufferevent_getfd(Open.Bev));
  evbuffer_freeze(Output, 1);
  if (evbuffer_get_length(Output) != 0)
    return;
  bufferevent_disable(Open.Bev, EV_WRITE);
  drained(Open);
}

void HttpServer::drained(Exchange &Open) {
  if (!Open.Lagging)
    return;
  Open.Lagging = false;
  Drained.emit(Open.Id);
}

std::size_t HttpServer::sendChunk(ExchangeId Id, std::string_view Bytes) {
  evbuffer_add(Scratch, Bytes.data(), Bytes.size());
  const std::size_t Waiting = sendChunk(Id, Scratch);
  evbuffer_drain(Scratch, evbuffer_get_length(Scratch));
  return Waiting;
}

void HttpServer::endResponse(ExchangeId Id) {
  Exchange *Open = find(Id);
  if (!Open)
    return;
  evhttp_request *Raw = Open->Raw;
  finish(Id);
  evhttp_send_reply_end(Raw);
}

void HttpServer::finish(ExchangeId Id) {
  const Exchange &Open = *Exchanges.find(Id)->second;
  bufferevent *Bev = evhttp_connection_get_bufferevent(Open.Link);
  auto Known = Connections.find(bufferevent_getfd(Bev));
  if (Known != Connections.end()) {
    Known->second.Awaiting = true;
    Known->second.AwaitingSince = Loop.now();
  }
  ByLink.erase(Open.Link);
  Exchanges.erase(Id);
}

void HttpServer::abort(ExchangeId Id) {
  // evhttp does not allow a connection to be freed in its own callback.
  Loop.defer([this, Id]() {
    Exchange *Open = find(Id);
    if (!Open)
      return;
    evhttp_connection *Link = Open->Link;
    ByLink.erase(Link);
    Exchanges.erase(Id);
    evhttp_connection_free(Link);
  });
}

} // namespace marjorambay
