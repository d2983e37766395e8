/// An evhttp server whose calls are addressed by id, with faults of its own.
///
/// It listens twice: on the port that clients use, and on a control port that
/// no fault touches. Faults that every stand-in has: "refuse" closes the port
/// and all its connections, "black_hole" never answers, "slow" waits "ms"
/// before a call is handled, "fail" answers 500.
#ifndef MARJORAMBAY_STANDINS_HTTP_SERVER_H
#define MARJORAMBAY_STANDINS_HTTP_SERVER_H

#include "standins/support/faults.h"
#include "standins/support/loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambay::standins {

/// Names a call from its arrival to its answer.
enum class CallId : std::uint64_t {};

struct CaseLess {
  bool operator()(const std::string &Left, const std::string &Right) const {
    return strcasecmp(Left.c_str(), Right.c_str()) < 0;
  }
};
using HeaderMap = std::map<std::string, std::string, CaseLess>;

/// One HTTP request as it came in.
struct Call {
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  std::string Path{};
  HeaderMap Query{};
  HeaderMap Headers{};
  std::string Body{};

  /// Returns the header \p Name, or "".
  std::string header(const std::string &Name) const {
    const auto Found = Headers.find(Name);
    return Found == Headers.end() ? "" : Found->second;
  }
  std::uint64_t queryNumber(const std::string &Name) const {
    const auto Found = Query.find(Name);
    return Found == Query.end()
               ? 0
               : std::strtoull(Found->second.c_str(), nullptr, 10);
  }
};

inline HeaderMap toMap(const evkeyvalq &List) {
  HeaderMap Map;
  for (const evkeyval *Pair = List.tqh_first; Pair != nullptr;
       Pair = Pair->next.tqe_next)
    Map[Pair->key] = Pair->value;
  return Map;
}

inline std::string takeBytes(evbuffer *Buffer) {
  std::string Bytes(evbuffer_get_length(Buffer), '\0');
  evbuffer_remove(Buffer, Bytes.data(), Bytes.size());
  return Bytes;
}

/// Parses JSON; a discarded value (is_discarded()) when it is none.
inline Json parseJson(const std::string &Text) {
  return Json::parse(Text, nullptr, false);
}

class HttpServer {
public:
  using Handler = std::function<void(CallId, const Call &)>;

  HttpServer(Loop &Events, std::uint16_t PortWanted)
      : Events(Events), Http(evhttp_new(Events.base())),
        Control(evhttp_new(Events.base())), PortWanted(PortWanted) {
    for (evhttp *Server : {Http, Control}) {
      evhttp_set_max_body_size(Server, MaxBodyBytes);
      evhttp_set_allowed_methods(Server, 0xffff);
    }
    evhttp_set_gencb(Http, receive, this);
    evhttp_set_gencb(Control, receiveControl, this);
    open();
    ControlPort =
        portOf(evhttp_bind_socket_with_handle(Control, "127.0.0.1", 0));
  }
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer() {
    evhttp_free(Http);
    evhttp_free(Control);
  }

  /// \p OnCall answers calls; \p OnControl those of the control port but for
  /// POST /fault; \p OnGone learns of callers that left before their answer.
  void serve(Handler OnCall, Handler OnControl,
             std::function<void(CallId)> OnGone = nullptr) {
    this->OnCall = std::move(OnCall);
    this->OnControl = std::move(OnControl);
    this->OnGone = std::move(OnGone);
    std::printf("port=%d\ncontrol=%d\n", PortWanted, ControlPort);
    std::fflush(stdout);
    Events.run();
  }

  Faults &faults() { return Active; }
  void onFault(std::function<void()> Task) { OnFault = std::move(Task); }

  void reply(CallId Id, int Status, const std::string &Body,
             const HeaderMap &Headers = {}) {
    evhttp_request *Request = take(Id);
    if (Request == nullptr)
      return;
    addHeaders(Request, Headers);
    evbuffer *Out = evhttp_request_get_output_buffer(Request);
    evbuffer_add(Out, Body.data(), Body.size());
    evhttp_send_reply(Request, Status, nullptr, nullptr);
  }
  void replyJson(CallId Id, int Status, const Json &Body,
                 HeaderMap Headers = {}) {
    Headers["Content-Type"] = "application/json";
    reply(Id, Status, Body.dump(), Headers);
  }

  void startStream(CallId Id, const HeaderMap &Headers) {
    const auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    addHeaders(Found->second, Headers);
    evhttp_send_reply_start(Found->second, 200, nullptr);
  }
  void sendChunk(CallId Id, std::string_view Bytes) {
    const auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    evbuffer_add(Scratch.get(), Bytes.data(), Bytes.size());
    evhttp_send_reply_chunk(Found->second, Scratch.get());
  }
  void endStream(CallId Id) {
    if (evhttp_request *Request = take(Id))
      evhttp_send_reply_end(Request);
  }

  /// Closes the caller's connection without an end of the answer.
  void breakOff(CallId Id) {
    evhttp_request *Request = take(Id);
    if (Request == nullptr)
      return;
    evhttp_connection *Line = evhttp_request_get_connection(Request);
    Events.after(microseconds(0), [this, Line] {
      if (Lines.contains(Line))
        evhttp_connection_free(Line);
    });
  }

private:
  static constexpr ev_ssize_t MaxBodyBytes = 8 << 20;

  static std::uint16_t portOf(evhttp_bound_socket *Bound) {
    sockaddr_in Address = {};
    socklen_t Size = sizeof(Address);
    if (Bound == nullptr ||
        getsockname(evhttp_bound_socket_get_fd(Bound),
                    reinterpret_cast<sockaddr *>(&Address), &Size) != 0) {
      std::fprintf(stderr, "the port can't be bound\n");
      std::exit(1);
    }
    return ntohs(Address.sin_port);
  }
  void open() {
    Bound = evhttp_bind_socket_with_handle(Http, "127.0.0.1", PortWanted);
    PortWanted = portOf(Bound);
  }

  static void receive(evhttp_request *Request, void *Arg) {
    auto &Self = *static_cast<HttpServer *>(Arg);
    const CallId Id = Self.admit(Request);
    Self.handle(Id, readCall(Request));
  }
  static void receiveControl(evhttp_request *Request, void *Arg) {
    auto &Self = *static_cast<HttpServer *>(Arg);
    const CallId Id = Self.admit(Request);
    const Call Received = readCall(Request);
    if (Received.Path == "/fault")
      return Self.setFault(Id, parseJson(Received.Body));
    Self.OnControl(Id, Received);
  }

  CallId admit(evhttp_request *Request) {
    const auto Id = static_cast<CallId>(NextId++);
    evhttp_connection *Line = evhttp_request_get_connection(Request);
    if (Lines.emplace(Line, Id).second)
      watchLine(Line);
    Lines[Line] = Id;
    Calls[Id] = Request;
    // Reading stays on, so that a close is seen; what is sent early waits.
    bufferevent *Buffers = evhttp_connection_get_bufferevent(Line);
    bufferevent_data_cb OnRead = nullptr;
    bufferevent_data_cb OnWrite = nullptr;
    bufferevent_event_cb OnEvent = nullptr;
    void *Arg = nullptr;
    bufferevent_getcb(Buffers, &OnRead, &OnWrite, &OnEvent, &Arg);
    bufferevent_setcb(Buffers, nullptr, OnWrite, OnEvent, Arg);
    bufferevent_enable(Buffers, EV_READ);
    return Id;
  }
  void watchLine(evhttp_connection *Line) {
    const int On = 1;
    const int Fd = bufferevent_getfd(evhttp_connection_get_bufferevent(Line));
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    evhttp_connection_set_closecb(Line, lineClosed, this);
  }
  static void lineClosed(evhttp_connection *Line, void *Arg) {
    auto &Self = *static_cast<HttpServer *>(Arg);
    const auto Found = Self.Lines.find(Line);
    if (Found == Self.Lines.end())
      return;
    const CallId Id = Found->second;
    Self.Lines.erase(Found);
    evhttp_request *Request = Self.take(Id);
    if (Request == nullptr)
      return;
    if (evhttp_request_get_connection(Request) == nullptr)
      evhttp_request_free(Request); // libevent has given it up already
    if (Self.OnGone)
      Self.OnGone(Id);
  }

  static Call readCall(evhttp_request *Request) {
    Call Received;
    Received.Method = evhttp_request_get_command(Request);
    const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
    Received.Path = evhttp_uri_get_path(Uri);
    Received.Headers = toMap(*evhttp_request_get_input_headers(Request));
    if (const char *Query = evhttp_uri_get_query(Uri)) {
      evkeyvalq Pairs = {};
      evhttp_parse_query_str(Query, &Pairs);
      Received.Query = toMap(Pairs);
      evhttp_clear_headers(&Pairs);
    }
    Received.Body = takeBytes(evhttp_request_get_input_buffer(Request));
    return Received;
  }

  void handle(CallId Id, const Call &Received) {
    if (Active.has("refuse"))
      return breakOff(Id);
    if (Active.take("black_hole"))
      return;
    if (Active.take("fail"))
      return reply(Id, 500, "told to fail");
    const auto Wait = milliseconds(Active.value("slow", "ms", 0));
    if (Wait.count() == 0)
      return OnCall(Id, Received);
    Events.after(Wait, [this, Id, Received] {
      if (Calls.contains(Id))
        OnCall(Id, Received);
    });
  }

  void setFault(CallId Id, const Json &Order) {
    if (!Order.is_object())
      return reply(Id, 400, "not JSON");
    Active.set(Order);
    reply(Id, 200, "");
    if (Active.has("refuse") && Bound != nullptr)
      close();
    if (!Active.has("refuse") && Bound == nullptr)
      open();
    if (OnFault)
      OnFault();
  }
  void close() {
    evhttp_del_accept_socket(Http, Bound);
    Bound = nullptr;
    std::vector<evhttp_connection *> Open;
    for (const auto &[Line, Id] : Lines)
      if (evhttp_connection_get_server(Line) == Http)
        Open.push_back(Line);
    for (evhttp_connection *Line : Open)
      evhttp_connection_free(Line);
  }

  /// Removes a call from those open; nothing when its caller has left.
  evhttp_request *take(CallId Id) {
    const auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return nullptr;
    evhttp_request *Request = Found->second;
    Calls.erase(Found);
    return Request;
  }
  static void addHeaders(evhttp_request *Request, const HeaderMap &Headers) {
    evkeyvalq *Out = evhttp_request_get_output_headers(Request);
    for (const auto &[Name, Value] : Headers)
      evhttp_add_header(Out, Name.c_str(), Value.c_str());
  }

  Loop &Events;
  evhttp *Http;
  evhttp *Control;
  evhttp_bound_socket *Bound = nullptr;
  std::uint16_t PortWanted;
  std::uint16_t ControlPort = 0;
  Faults Active{};
  Handler OnCall{};
  Handler OnControl{};
  std::function<void(CallId)> OnGone{};
  std::function<void()> OnFault{};
  std::uint64_t NextId = 1;
  std::unordered_map<CallId, evhttp_request *> Calls{};
  std::unordered_map<evhttp_connection *, CallId> Lines{};
  std::unique_ptr<evbuffer, void (*)(evbuffer *)> Scratch{evbuffer_new(),
                                                          evbuffer_free};
};

} // namespace marjorambay::standins

#endif // MARJORAMBAY_STANDINS_HTTP_SERVER_H
