/// The HTTP client on evhttp.
#include "marjorambay/transport/http_client.h"

#include "http_headers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace marjorambay {

namespace {

evhttp_cmd_type commandOf(std::string_view Method) {
  if (Method == "POST")
    return EVHTTP_REQ_POST;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  if (Method == "DELETE")
    return EVHTTP_REQ_DELETE;
  if (Method == "HEAD")
    return EVHTTP_REQ_HEAD;
  if (Method == "PATCH")
    return EVHTTP_REQ_PATCH;
  return EVHTTP_REQ_GET;
}

std::string hostHeader(const HttpCall &Call) {
  const bool Version6 = Call.Address.find(':') != std::string::npos;
  const std::string Host = Version6 ? "[" + Call.Address + "]" : Call.Address;
  return Host + ":" + std::to_string(Call.Port);
}

} // namespace

std::string_view HttpResponseView::header(const char *Name) const {
  if (!Raw)
    return {};
  const char *Value =
      evhttp_find_header(evhttp_request_get_input_headers(Raw), Name);
  return Value ? std::string_view(Value) : std::string_view();
}

HttpHeaders HttpResponseView::endToEndHeaders() const {
  return Raw ? copyEndToEnd(evhttp_request_get_input_headers(Raw))
             : HttpHeaders{};
}

struct HttpClient::Call {
  HttpClient *Owner = nullptr;
  CallId Id{};
  HttpCall What{};
  evhttp_connection *Link = nullptr;
  evhttp_request *Raw = nullptr;
  bool MayHaveLeft = false; ///< the request was given to a made connection
  bool Ended = false;
  CallOutcome Failure =
      CallOutcome::ConnectionLost; ///< told by evhttp before the end

  void connected();
  bool headersArrived(evhttp_request *Answer);
  void bytesArrived(evhttp_request *Answer);
  void finished(evhttp_request *Answer);
};

void HttpClient::Call::connected() {
  if (MayHaveLeft)
    return;
  MayHaveLeft = true;
  const timeval Silence = toTimeval(What.IdleTimeout);
  evhttp_connection_set_timeout_tv(Link, &Silence);
  const int On = 1;
  const int Fd = bufferevent_getfd(evhttp_connection_get_bufferevent(Link));
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

bool HttpClient::Call::headersArrived(evhttp_request *Answer) {
  if (Ended)
    return false;
  HttpResponseView View{evhttp_request_get_response_code(Answer), Answer};
  What.OnHeaders(Id, View);
  return true;
}

void HttpClient::Call::bytesArrived(evhttp_request *Answer) {
  if (!Ended)
    What.OnBytes(Id, evhttp_request_get_input_buffer(Answer));
}

void HttpClient::Call::finished(evhttp_request *Answer) {
  if (Ended)
    return;
  const int Status = Answer ? evhttp_request_get_response_code(Answer) : 0;
  if (Status != 0) {
    Owner->end(*this, CallOutcome::Complete);
    return;
  }
  Owner->end(*this, MayHaveLeft ? Failure : CallOutcome::NotSent);
}

HttpClient::HttpClient(EventLoop &Loop) : Loop(Loop) {}

HttpClient::~HttpClient() {
  for (auto &[Id, Open] : Calls)
    if (Open->Link)
      evhttp_connection_free(Open->Link);
}

CallId HttpClient::start(HttpCall What) {
  const auto Id = static_cast<CallId>(++LastId);
  auto Entry = std::make_unique<Call>();
  Call *Made = Entry.get();
  Made->Owner = this;
  Made->Id = Id;
  Made->What = std::move(What);
  const HttpCall &Sent = Made->What;
  Made->Link = evhttp_connection_base_new(Loop.base(), nullptr,
                                          Sent.Address.c_str(), Sent.Port);
  const timeval Connect = toTimeval(Sent.ConnectTimeout);
  evhttp_connection_set_timeout_tv(Made->Link, &Connect);
  evhttp_connection_set_max_headers_size(
      Made->Link, static_cast<ev_ssize_t>(Sent.MaxHeaderBytes));
  evhttp_connection_set_max_body_size(
      Made->Link, static_cast<ev_ssize_t>(Sent.MaxBodyBytes));
  // evhttp fills the output only once the connection stands. From then on a
  // byte may have left.
  bufferevent *Bev = evhttp_connection_get_bufferevent(Made->Link);
  evbuffer_add_cb(
      bufferevent_get_output(Bev),
      [](evbuffer *, const evbuffer_cb_info *Info, void *Arg) {
        if (Info->n_added > 0)
          static_cast<Call *>(Arg)->connected();
      },
      Made);
  evhttp_request *Raw = evhttp_request_new(
      [](evhttp_request *Answer, void *Arg) {
        static_cast<Call *>(Arg)->finished(Answer);
      },
      Made);
  Made->Raw = Raw;
  evhttp_request_set_header_cb(Raw, [](evhttp_request *Answer, void *Arg) {
    return static_cast<Call *>(Arg)->headersArrived(Answer) ? 0 : -1;
  });
  evhttp_request_set_chunked_cb(Raw, [](evhttp_request *Answer, void *Arg) {
    static_cast<Call *>(Arg)->bytesArrived(Answer);
  });
  evhttp_request_set_error_cb(Raw, [](evhttp_request_error Why, void *Arg) {
    if (Why == EVREQ_HTTP_TIMEOUT)
      static_cast<Call *>(Arg)->Failure = CallOutcome::TimedOut;
  });
  evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
  evhttp_add_header(Headers, "Host", hostHeader(Sent).c_str());
  evhttp_add_header(Headers, "Connection", "close");
  for (const HttpHeader &Each : Sent.Headers)
    evhttp_add_header(Headers, Each.Name.c_str(), Each.Value.c_str());
  evbuffer *Body = evhttp_request_get_output_buffer(Raw);
  if (Sent.Body)
    evbuffer_add_buffer_reference(Body, Sent.Body);
  else
    evbuffer_add(Body, Sent.BodyText.data(), Sent.BodyText.size());
  Calls.emplace(Id, std::move(Entry));
  // A failure at once frees the request without a callback.
  if (evhttp_make_request(Made->Link, Raw, commandOf(Sent.Method),
                          Sent.Path.c_str()) != 0)
    Loop.defer([this, Id]() {
      if (Call *Open = find(Id))
        Open->finished(nullptr);
    });
  return Id;
}

HttpClient::Call *HttpClient::find(CallId Id) const {
  auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second->Ended)
    return nullptr;
  return Found->second.get();
}

void HttpClient::end(Call &Which, CallOutcome How) {
  Which.Ended = true;
  const CallId Id = Which.Id;
  retire(Id);
  Which.What.OnEnd(Id, How);
}

void HttpClient::cancel(CallId Id) {
  Call *Open = find(Id);
  if (!Open)
    return;
  Open->Ended = true;
  retire(Id);
}

void HttpClient::retire(CallId Id) {
  // evhttp does not allow a connection to be freed in its own callback.
  Loop.defer([this, Id]() {
    auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    evhttp_connection_free(Found->second->Link);
    Calls.erase(Found);
  });
}

void HttpClient::pause(CallId Id) {
  if (Call *Open = find(Id))
    bufferevent_disable(evhttp_connection_get_bufferevent(Open->Link), EV_READ);
}

void HttpClient::resume(CallId Id) {
  if (Call *Open = find(Id))
    bufferevent_enable(evhttp_connection_get_bufferevent(Open->Link), EV_READ);
}

CallId HttpClient::fetch(HttpCall What,
                         sigc::slot<void(int, const HttpResponseView &,
                                         const std::string &, CallOutcome)>
                             Done) {
  struct Gathered {
    HttpResponseView View{};
    std::string Body{};
  };
  auto Answer = std::make_shared<Gathered>();
  What.OnHeaders = [Answer](CallId, const HttpResponseView &View) {
    Answer->View = View;
  };
  What.OnBytes = [Answer](CallId, evbuffer *Bytes) {
    const std::size_t Old = Answer->Body.size();
    const std::size_t More = evbuffer_get_length(Bytes);
    Answer->Body.resize(Old + More);
    evbuffer_remove(Bytes, Answer->Body.data() + Old, More);
  };
  What.OnEnd = [Answer, Done = std::move(Done)](CallId, CallOutcome How) {
    // evhttp has freed the request of a call that failed.
    if (How != CallOutcome::Complete)
      Answer->View = HttpResponseView{};
    Done(Answer->View.Status, Answer->View, Answer->Body, How);
  };
  return start(std::move(What));
}

} // namespace marjorambay
