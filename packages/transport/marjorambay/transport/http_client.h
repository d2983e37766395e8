/// HTTP/1.1 client of the product's own interface, which makes each call on a
/// connection of its own.
#ifndef MARJORAMBAY_TRANSPORT_HTTP_CLIENT_H
#define MARJORAMBAY_TRANSPORT_HTTP_CLIENT_H

#include "marjorambay/transport/keep_alive_client.h"
#include "marjorambay/transport/timer_service.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace marjorambay {

/// How a call ended.
enum class CallOutcome : std::uint8_t {
  Complete, ///< the complete response was received
  NotSent,  ///< no connection was established, so no byte of the request was
            ///< sent
  ConnectionLost, ///< the connection failed after bytes may have been sent, or
                  ///< the response is malformed or exceeds a limit
  TimedOut, ///< the target did not respond in time after bytes may have been
            ///< sent
};

/// Status and headers of a response; valid during the callback only.
struct HttpResponseView {
  int Status = 0;
  const HttpHead *Head = nullptr;

  /// Value of a header, ignoring case; empty if absent.
  std::string_view header(std::string_view Name) const;
  /// All headers except hop-by-hop ones, Expect, Host and Content-Length.
  HttpHeaders endToEndHeaders() const;
};

struct HttpCall {
  std::string Address{}; ///< IP address
  std::uint16_t Port = 0;
  std::string Method = "GET";
  std::string Path{};      ///< including the query
  HttpHeaders Headers{};   ///< malformed ones are left out
  std::string_view Body{}; ///< copied
  Duration ConnectTimeout = seconds(2);
  /// From the connection to the response head, and from there to the last byte
  /// of a slow body; see KeepAliveCall::BodyTimeout.
  Duration ResponseTimeout = seconds(30);
  std::size_t MaxBodyBytes = 64 << 20;

  sigc::slot<void(CallId, const HttpResponseView &)> OnHeaders{};
  sigc::slot<void(CallId, std::string_view)> OnBytes{};
  /// Last callback; not called after cancel().
  sigc::slot<void(CallId, CallOutcome)> OnEnd{};
};

/// Makes each call on a new connection. If a target closed a keep-alive
/// connection just as a request was sent, it would be unknown whether the
/// request was executed.
class HttpClient {
public:
  HttpClient(EventLoop &Loop, TimerService &Timers);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  CallId start(HttpCall Call);
  /// Closes the connection; no callback is called afterwards.
  void cancel(CallId Id) { Client.cancel(Id); }
  /// Stops reading the response, which applies backpressure to the target.
  void pause(CallId Id) { Client.pauseReading(Id, true); }
  void resume(CallId Id) { Client.pauseReading(Id, false); }

  std::size_t calls() const { return Client.calls(); }

  /// Makes a call and passes its complete body, of at most \p
  /// Call.MaxBodyBytes, to \p Done. Status is 0 unless the response is
  /// complete.
  CallId fetch(HttpCall Call,
               sigc::slot<void(int Status, const HttpResponseView &,
                               const std::string &Body, CallOutcome)>
                   Done);

private:
  EventLoop &Loop;
  TimerService &Timers;
  KeepAliveClient Client;
  TimerConnection ExpiryTimer{}; ///< while there are calls
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP_CLIENT_H
