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
  HttpCall Request{};
  evhttp_connection *Conn = nullptr;
  evhttp_request *Raw = nullptr;
  bool MayHaveBeenSent = false; ///< connected, and the request is queued
  bool Ended = false;
  /// Outcome if the call fails, as reported by evhttp.
  CallOutcome Failure = CallOutcome::ConnectionLost;

  void connected();
  bool headersArrived(evhttp_request *Response);
  void bytesArrived(evhttp_request *Response);
  void finished(evhttp_request *Response);
  void limitInput(std::size_t Unparsed);
};

void HttpClient::Call::connected() {
  if (MayHaveBeenSent)
    return;
  MayHaveBeenSent = true;
  const timeval Idle = toTimeval(Request.IdleTimeout);
  evhttp_connection_set_timeout_tv(Conn, &Idle);
  const int On = 1;
  const int Fd = bufferevent_getfd(evhttp_connection_get_bufferevent(Conn));
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

bool HttpClient::Call::headersArrived(evhttp_request *Response) {
  if (Ended)
    return false;
  HttpResponseView View{evhttp_request_get_response_code(Response), Response};
  Request.OnHeaders(Id, View);
  return true;
}

void HttpClient::Call::bytesArrived(evhttp_request *Response) {
  if (!Ended)
    Request.OnBytes(Id, evhttp_request_get_input_buffer(Response));
}

void HttpClient::Call::finished(evhttp_request *Response) {
  if (Ended)
    return;
  const int Status = Response ? evhttp_request_get_response_code(Response) : 0;
  if (Status != 0) {
    Owner->end(*this, CallOutcome::Complete);
    return;
  }
  Owner->end(*this, MayHaveBeenSent ? Failure : CallOutcome::NotSent);
}

/// evhttp buffers a chunk until it is complete, and limits its size, but it
/// also buffers the line before it, which it does not limit.
void HttpClient::Call::limitInput(std::size_t Unparsed) {
  if (Ended || Unparsed <= Request.MaxBodyBytes + Request.MaxHeaderBytes)
    return;
  Owner->Loop.defer([Client = Owner, Id = Id]() {
    if (Call *Current = Client->find(Id))
      Client->end(*Current, CallOutcome::ConnectionLost);
  });
}

HttpClient::HttpClient(EventLoop &Loop) : Loop(Loop) {}

HttpClient::~HttpClient() {
  for (auto &[Id, Current] : Calls)
    if (Current->Conn)
      evhttp_connection_free(Current->Conn);
}

CallId HttpClient::start(HttpCall Request) {
  const auto Id = static_cast<CallId>(++LastId);
  auto Entry = std::make_unique<Call>();
  Call *Created = Entry.get();
  Created->Owner = this;
  Created->Id = Id;
  Created->Request = std::move(Request);
  const HttpCall &Options = Created->Request;
  Created->Conn = evhttp_connection_base_new(
      Loop.base(), nullptr, Options.Address.c_str(), Options.Port);
  const timeval Connect = toTimeval(Options.ConnectTimeout);
  evhttp_connection_set_timeout_tv(Created->Conn, &Connect);
  evhttp_connection_set_max_headers_size(
      Created->Conn, static_cast<ev_ssize_t>(Options.MaxHeaderBytes));
  evhttp_connection_set_max_body_size(
      Created->Conn, static_cast<ev_ssize_t>(Options.MaxBodyBytes));
  // evhttp fills the output buffer only after the connection is established.
  // From then on, bytes may have been sent.
  bufferevent *Bev = evhttp_connection_get_bufferevent(Created->Conn);
  evbuffer_add_cb(
      bufferevent_get_output(Bev),
      [](evbuffer *, const evbuffer_cb_info *Info, void *Arg) {
        if (Info->n_added > 0)
          static_cast<Call *>(Arg)->connected();
      },
      Created);
  evbuffer_add_cb(
      bufferevent_get_input(Bev),
      [](evbuffer *Input, const evbuffer_cb_info *, void *Arg) {
        static_cast<Call *>(Arg)->limitInput(evbuffer_get_length(Input));
      },
      Created);
  evhttp_request *Raw = evhttp_request_new(
      [](evhttp_request *Response, void *Arg) {
        static_cast<Call *>(Arg)->finished(Response);
      },
      Created);
  Created->Raw = Raw;
  evhttp_request_set_header_cb(Raw, [](evhttp_request *Response, void *Arg) {
    return static_cast<Call *>(Arg)->headersArrived(Response) ? 0 : -1;
  });
  evhttp_request_set_chunked_cb(Raw, [](evhttp_request *Response, void *Arg) {
    static_cast<Call *>(Arg)->bytesArrived(Response);
  });
  evhttp_request_set_error_cb(Raw, [](evhttp_request_error Reason, void *Arg) {
    if (Reason == EVREQ_HTTP_TIMEOUT)
      static_cast<Call *>(Arg)->Failure = CallOutcome::TimedOut;
  });
  evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
  evhttp_add_header(Headers, "Host", hostHeader(Options).c_str());
  evhttp_add_header(Headers, "Connection", "close");
  for (const HttpHeader &Header : Options.Headers)
    evhttp_add_header(Headers, Header.Name.c_str(), Header.Value.c_str());
  evbuffer *Body = evhttp_request_get_output_buffer(Raw);
  if (Options.Body)
    evbuffer_add_buffer_reference(Body, Options.Body);
  else
    evbuffer_add(Body, Options.BodyText.data(), Options.BodyText.size());
  Calls.emplace(Id, std::move(Entry));
  // On an immediate failure, evhttp frees the request without a callback.
  if (evhttp_make_request(Created->Conn, Raw, commandOf(Options.Method),
                          Options.Path.c_str()) != 0)
    Loop.defer([this, Id]() {
      if (Call *Current = find(Id))
        Current->finished(nullptr);
    });
  return Id;
}

HttpClient::Call *HttpClient::find(CallId Id) const {
  auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second->Ended)
    return nullptr;
  return Found->second.get();
}

void HttpClient::end(Call &Current, CallOutcome Outcome) {
  Current.Ended = true;
  const CallId Id = Current.Id;
  retire(Id);
  Current.Request.OnEnd(Id, Outcome);
}

void HttpClient::cancel(CallId Id) {
  Call *Current = find(Id);
  if (!Current)
    return;
  Current->Ended = true;
  retire(Id);
}

void HttpClient::retire(CallId Id) {
  // evhttp does not allow a connection to be freed in its own callback.
  Loop.defer([this, Id]() {
    auto Found = Calls.find(Id);
    if (Found == Calls.end())
      return;
    evhttp_connection_free(Found->second->Conn);
    Calls.erase(Found);
  });
}

void HttpClient::pause(CallId Id) {
  if (Call *Current = find(Id))
    bufferevent_disable(evhttp_connection_get_bufferevent(Current->Conn),
                        EV_READ);
}

void HttpClient::resume(CallId Id) {
  if (Call *Current = find(Id))
    bufferevent_enable(evhttp_connection_get_bufferevent(Current->Conn),
                       EV_READ);
}

CallId HttpClient::fetch(HttpCall Request,
                         sigc::slot<void(int, const HttpResponseView &,
                                         const std::string &, CallOutcome)>
                             Done) {
  struct FetchedResponse {
    HttpResponseView View{};
    std::string Body{};
  };
  auto Response = std::make_shared<FetchedResponse>();
  Request.OnHeaders = [Response](CallId, const HttpResponseView &View) {
    Response->View = View;
  };
  Request.OnBytes = [Response](CallId, evbuffer *Bytes) {
    const std::size_t OldSize = Response->Body.size();
    const std::size_t Added = evbuffer_get_length(Bytes);
    Response->Body.resize(OldSize + Added);
    evbuffer_remove(Bytes, Response->Body.data() + OldSize, Added);
  };
  Request.OnEnd = [Response, Done = std::move(Done)](CallId,
                                                     CallOutcome Outcome) {
    // evhttp has freed the request of a call that failed.
    if (Outcome != CallOutcome::Complete)
      Response->View = HttpResponseView{};
    Done(Response->View.Status, Response->View, Response->Body, Outcome);
  };
  return start(std::move(Request));
}

} // namespace marjorambay
