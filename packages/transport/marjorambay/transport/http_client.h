/// HTTP/1.1 client on evhttp that delivers responses incrementally.
#ifndef MARJORAMBAY_TRANSPORT_HTTP_CLIENT_H
#define MARJORAMBAY_TRANSPORT_HTTP_CLIENT_H

#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/http_server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct evbuffer;
struct evhttp_request;

namespace marjorambay {

/// Identifies one call of a client.
enum class CallId : std::uint64_t {};

/// How a call ended.
enum class CallOutcome : std::uint8_t {
  Complete, ///< the complete response was received
  NotSent,  ///< no connection was established, so no byte of the request was
            ///< sent
  ConnectionLost, ///< the connection failed after bytes may have been sent
  TimedOut, ///< the target did not respond in time after bytes may have been
            ///< sent
};

/// Status and headers of a response; valid during the callback only.
struct HttpResponseView {
  int Status = 0;
  evhttp_request *Raw = nullptr;

  /// Value of a header, ignoring case; empty if absent.
  std::string_view header(const char *Name) const;
  /// All headers except hop-by-hop ones, Expect, Host and Content-Length.
  HttpHeaders endToEndHeaders() const;
};

struct HttpCall {
  std::string Address{}; ///< IP address
  std::uint16_t Port = 0;
  std::string Method = "GET";
  std::string Path{}; ///< including the query
  HttpHeaders Headers{};
  evbuffer *Body = nullptr;    ///< referenced, not copied; may be null
  std::string_view BodyText{}; ///< copied; used if Body is null
  Duration ConnectTimeout = seconds(2);
  Duration IdleTimeout = seconds(30); ///< without a byte, once connected
  std::size_t MaxHeaderBytes = 64 << 10;
  std::size_t MaxBodyBytes = 64 << 20;

  sigc::slot<void(CallId, const HttpResponseView &)> OnHeaders{};
  /// May take bytes out of the buffer; bytes left in it are dropped.
  sigc::slot<void(CallId, evbuffer *)> OnBytes{};
  /// Last callback; not called after cancel().
  sigc::slot<void(CallId, CallOutcome)> OnEnd{};
};

/// Makes each call on a new connection. If a target closed a keep-alive
/// connection just as a request was sent, it would be unknown whether the
/// request was executed.
class HttpClient {
public:
  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  CallId start(HttpCall Call);
  /// Closes the connection; no callback is called afterwards.
  void cancel(CallId Id);
  /// Stops reading the response, which applies backpressure to the target.
  void pause(CallId Id);
  void resume(CallId Id);

  std::size_t calls() const { return Calls.size(); }

  /// Makes a call and passes its complete body, of at most \p
  /// Call.MaxBodyBytes, to \p Done. Status is 0 unless the response is
  /// complete.
  CallId fetch(HttpCall Call,
               sigc::slot<void(int Status, const HttpResponseView &,
                               const std::string &Body, CallOutcome)>
                   Done);

private:
  struct Call;
  void end(Call &Current, CallOutcome Outcome);
  void retire(CallId Id);
  Call *find(CallId Id) const;

  EventLoop &Loop;
  std::uint64_t LastId = 0;
  std::unordered_map<CallId, std::unique_ptr<Call>> Calls;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP_CLIENT_H
