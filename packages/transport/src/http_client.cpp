/// The HTTP client of the product's own interface, on KeepAliveClient.
#include "marjorambay/transport/http_client.h"

#include "http_headers.h"

#include <algorithm>

namespace marjorambay {

namespace {

constexpr Duration ExpiryInterval = milliseconds(20);
/// Targets may read slowly, so that this only ends connections that are gone.
constexpr Duration MaxUnacknowledged = hours(1);

std::string hostHeader(const HttpCall &Call) {
  return formatAddress({Call.Address, Call.Port});
}

CallOutcome outcomeOf(KeepAliveOutcome Outcome) {
  if (neverSent(Outcome))
    return CallOutcome::NotSent;
  switch (Outcome) {
  case KeepAliveOutcome::Complete:
    return CallOutcome::Complete;
  case KeepAliveOutcome::TimedOut:
  case KeepAliveOutcome::BodyTimedOut:
    return CallOutcome::TimedOut;
  default:
    return CallOutcome::ConnectionLost;
  }
}

} // namespace

std::string_view HttpResponseView::header(std::string_view Name) const {
  return Head == nullptr ? std::string_view() : Head->header(Name);
}

HttpHeaders HttpResponseView::endToEndHeaders() const {
  return Head == nullptr ? HttpHeaders{} : copyEndToEnd(Head->Headers);
}

HttpClient::HttpClient(EventLoop &Loop, TimerService &Timers)
    : Loop(Loop), Timers(Timers), Client(Loop) {}

CallId HttpClient::start(HttpCall Call) {
  KeepAliveCall Request;
  Request.Address = {Call.Address, Call.Port};
  Request.Method = std::move(Call.Method);
  Request.RequestTarget = std::move(Call.Path);
  Request.Headers = {{"Host", hostHeader(Call)}, {"Connection", "close"}};
  std::copy_if(Call.Headers.begin(), Call.Headers.end(),
               std::back_inserter(Request.Headers), isValidHeader);
  Request.Body = Call.Body;
  Request.ConnectTimeout = Call.ConnectTimeout;
  Request.HeadTimeout = Call.ConnectTimeout + Call.ResponseTimeout;
  Request.BodyTimeout = Call.ResponseTimeout;
  Request.MaxBodyBytes = Call.MaxBodyBytes;
  Request.MaxIdleTime = Duration(0);
  Request.CloseAfterResponse = true;
  Request.Timeouts.Unacknowledged =
      std::min(Call.ResponseTimeout, MaxUnacknowledged);
  Request.OnHead =
      [OnHeaders = std::move(Call.OnHeaders)](CallId Id, const HttpHead &Head) {
        OnHeaders(Id, HttpResponseView{Head.Status, &Head});
      };
  Request.OnBody = std::move(Call.OnBytes);
  Request.OnEnd = [OnEnd = std::move(Call.OnEnd)](CallId Id,
                                                  KeepAliveOutcome Outcome) {
    OnEnd(Id, outcomeOf(Outcome));
  };
  if (!ExpiryTimer.connected())
    ExpiryTimer = Timers.every(ExpiryInterval, [this]() {
      Client.expire(Loop.now());
      if (Client.calls() == 0)
        ExpiryTimer.disconnect();
    });
  return Client.start(std::move(Request));
}

CallId HttpClient::fetch(HttpCall Request,
                         sigc::slot<void(int, const HttpResponseView &,
                                         const std::string &, CallOutcome)>
                             Done) {
  struct FetchedResponse {
    HttpHead Head{};
    std::string Body{};
  };
  auto Response = std::make_shared<FetchedResponse>();
  Request.OnHeaders = [Response](CallId, const HttpResponseView &View) {
    Response->Head = *View.Head;
  };
  Request.OnBytes = [Response](CallId, std::string_view Bytes) {
    Response->Body.append(Bytes);
  };
  Request.OnEnd = [Response, Done = std::move(Done)](CallId,
                                                     CallOutcome Outcome) {
    HttpResponseView View;
    if (Outcome == CallOutcome::Complete)
      View = {Response->Head.Status, &Response->Head};
    Done(View.Status, View, Response->Body, Outcome);
  };
  return start(std::move(Request));
}

} // namespace marjorambay
