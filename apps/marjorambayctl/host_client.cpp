/// Synchronous calls: the loop runs until the response has arrived.
#include "host_client.h"

#include "marjorambay/protocol/fleet_config_json.h"
#include "marjorambay/protocol/json_text.h"
#include "marjorambay/state/address.h"
#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/http_client.h"

#include <nlohmann/json.hpp>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration ResponseTimeout = seconds(40); ///< a proposal may take 30 s

template <typename T>
T field(const Json &Object, const char *Key, const T &Default) {
  if (!Object.is_object() || !Object.contains(Key))
    return Default;
  const Json &Value = Object[Key];
  const bool TypesMatch = Value.type() == Json(Default).type() ||
                          (Value.is_number() && Json(Default).is_number());
  return TypesMatch ? Value.get<T>() : Default;
}

/// Returns the error in a host's response.
Error errorIn(int Status, const std::string &Body) {
  const Json Parsed = parseJson<Json>(Body);
  const Json ErrorObject = Parsed.is_object() && Parsed.contains("error")
                               ? Parsed["error"]
                               : Json::object();
  const auto Kind =
      parseEnum<ErrorKind>(field(ErrorObject, "kind", std::string("internal")));
  const std::string Message =
      field(ErrorObject, "message",
            "the host responded with status " + std::to_string(Status));
  const auto RetryMs = field<std::int64_t>(ErrorObject, "retry_after_ms", 0);
  return {Kind.value_or(ErrorKind::Internal), Message, milliseconds(RetryMs)};
}

} // namespace

Result<std::string> HostClient::call(const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body,
                                     const std::string &BaseRevision) const {
  const Result<SocketAddress> Parsed = parseAddress(Address);
  if (!ok(Parsed))
    return Error{ErrorKind::BadRequest, "--host: " + error(Parsed).Message};
  EventLoop Loop;
  TimerService Timers(Loop);
  HttpClient Client(Loop, Timers);
  HttpCall Call;
  Call.Address = value(Parsed).Ip;
  Call.Port = value(Parsed).Port;
  Call.Method = Method;
  Call.Path = Path;
  Call.Body = Body;
  Call.ResponseTimeout = ResponseTimeout;
  if (!BaseRevision.empty())
    Call.Headers = {{"Base-Revision", BaseRevision},
                    {"Content-Type", "application/json"}};
  int Status = 0;
  std::string ResponseBody;
  Client.fetch(std::move(Call),
               [&](int ResponseStatus, const HttpResponseView & /*Headers*/,
                   const std::string &Text, CallOutcome /*Outcome*/) {
                 Status = ResponseStatus;
                 ResponseBody = Text;
                 Loop.stop();
               });
  Loop.run();
  if (Status == 200)
    return ResponseBody;
  if (Status != 0)
    return errorIn(Status, ResponseBody);
  if (Method == "GET")
    return Error{ErrorKind::NotReady, "no response from host " + Address};
  return Error{ErrorKind::OutcomeUnknown,
               "no response from host " + Address +
                   "; check with config get before trying again"};
}

Result<std::string> HostClient::get(const std::string &Path) const {
  return call("GET", Path, "", "");
}

Result<std::string> HostClient::post(const std::string &Path,
                                     const std::string &Body) const {
  return call("POST", Path, Body, "");
}

Result<FleetConfig> HostClient::config() const {
  const Result<std::string> Text = get("/config");
  if (!ok(Text))
    return error(Text);
  return parseFleetConfig(value(Text));
}

Result<HostView> HostClient::inspect() const {
  const Result<std::string> Text = get("/inspect");
  if (!ok(Text))
    return error(Text);
  const Json Root = parseJson<Json>(value(Text));
  HostView View;
  View.Json = value(Text);
  View.Name = field(Root, "host", std::string());
  View.Zone = field(Root, "zone", std::string());
  View.Rev = static_cast<Revision>(field<std::uint64_t>(Root, "revision", 0));
  View.Draining = field(Root, "draining", false);
  if (!Root.is_object() || !Root.contains("members"))
    return View;
  for (const Json &Row : Root["members"])
    View.Members.push_back(
        {field(Row, "address", std::string()),
         field(Row, "state", std::string()),
         static_cast<Revision>(field<std::uint64_t>(Row, "revision", 0))});
  return View;
}

Result<Revision> HostClient::propose(const FleetConfig &Config) const {
  const Result<std::string> Text =
      call("PUT", "/config", printFleetConfig(Config),
           std::to_string(number(Config.Rev)));
  if (!ok(Text))
    return error(Text);
  const Json Root = parseJson<Json>(value(Text));
  return static_cast<Revision>(field<std::uint64_t>(Root, "revision", 0));
}

} // namespace marjorambay
