/// HTTP/1.1 calls on evhttp, with answers delivered piece by piece.
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

/// One call of a client.
enum class CallId : std::uint64_t {};

/// How a call ended.
enum class CallOutcome : std::uint8_t {
  Complete,       ///< the answer's length or last chunk was reached
  NotSent,        ///< no connection came about, so no byte of the request left
  ConnectionLost, ///< the connection failed after bytes may have left
  TimedOut, ///< the target was silent for too long after bytes may have left
};

/// The status line and headers of an answer; valid during the callback only.
struct HttpResponseView {
  int Status = 0;
  evhttp_request *Raw = nullptr;

  /// Value of a header, any case; empty when absent.
  std::string_view header(const char *Name) const;
  /// All headers but those that concern one connection only.
  HttpHeaders endToEndHeaders() const;
};

struct HttpCall {
  std::string Address{}; ///< IP number
  std::uint16_t Port = 0;
  std::string Method = "GET";
  std::string Path{}; ///< with its query
  HttpHeaders Headers{};
  evbuffer *Body = nullptr;    ///< referenced, not copied; or
  std::string_view BodyText{}; ///< copied, when Body is null
  Duration ConnectTimeout = seconds(2);
  Duration IdleTimeout = seconds(30); ///< between bytes, once connected
  std::size_t MaxHeaderBytes = 64 << 10;
  std::size_t MaxBodyBytes = 64 << 20;

  sigc::slot<void(CallId, const HttpResponseView &)> OnHeaders{};
  /// Takes what it wants out of the buffer; the rest is dropped.
  sigc::slot<void(CallId, evbuffer *)> OnBytes{};
  sigc::slot<void(CallId, CallOutcome)> OnEnd{}; ///< last; not after cancel()
};

/// Makes calls, each on a connection of its own: a kept-alive connection that
/// the target has just closed would leave it open whether a request ran.
class HttpClient {
public:
  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  CallId start(HttpCall Call);
  /// Closes the connection; no callback comes after this.
  void cancel(CallId Id);
  /// Stops reading the answer, so that the target feels backpressure.
  void pause(CallId Id);
  void resume(CallId Id);

  std::size_t calls() const { return Calls.size(); }

  /// Calls once for its whole body, of at most \p Call.MaxBodyBytes. Status is
  /// 0 unless the answer is whole.
  CallId fetch(HttpCall Call,
               sigc::slot<void(int Status, const HttpResponseView &,
                               const std::string &Body, CallOutcome)>
                   Done);

private:
  struct Call;
  void end(Call &Which, CallOutcome How);
  void retire(CallId Id);
  Call *find(CallId Id) const;

  EventLoop &Loop;
  std::uint64_t LastId = 0;
  std::unordered_map<CallId, std::unique_ptr<Call>> Calls;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP_CLIENT_H
