/// The operator port: health, readiness, metrics, inspection, configuration.
#include "components.h"
#include "responses.h"
#include "rollouts.h"

#include "marjorambay/protocol/error_body.h"
#include "marjorambay/protocol/fleet_config_json.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

const HttpHeaders PlainText{{"Content-Type", "text/plain; charset=utf-8"}};
const HttpHeaders JsonText{{"Content-Type", "application/json"}};

void respondWithReadiness(Daemon &D, ExchangeId Id) {
  std::string Reason;
  const bool Ready = isReady(D, Reason);
  D.Operators.answer(Id, Ready ? 200 : 503, PlainText,
                     Ready ? "ready\n" : Reason + "\n");
}

Json inspectRequests(const Daemon &D) {
  Json Rows = Json::array();
  for (const RequestView &Request : D.Requests.requests(D.Loop.now())) {
    const auto Call = D.Calls.find(Request.Id);
    const bool Known = Call != D.Calls.end();
    Rows.push_back(
        {{"request", formatKey({D.Self.Id, D.Incarnation, Request.Id})},
         {"state", nameOf(Request.State)},
         {"account", Known ? Call->second.AccountName : ""},
         {"tier", Known ? Call->second.TierName : ""},
         {"target", Known ? Call->second.TargetName : ""},
         {"attempt", Request.Attempt},
         {"time_left_ms",
          std::chrono::duration_cast<milliseconds>(Request.TimeLeft).count()}});
  }
  return Rows;
}

Json inspectArbiters(const Daemon &D) {
  Json Rows = Json::array();
  for (const PoolConfig &Pool : D.Config.config().Pools) {
    const auto Hosted = D.Arbiters.find(idOf<PoolId>(Pool.Name));
    if (Hosted == D.Arbiters.end())
      continue;
    const ArbiterView View = Hosted->second.Policy.view(D.Loop.now());
    Rows.push_back({{"pool", Pool.Name},
                    {"queued", View.Queued},
                    {"in_flight", View.InFlight},
                    {"origins_awaited", View.PendingOrigins},
                    {"capacity_tokens_per_second", View.Capacity}});
  }
  return Rows;
}

Json inspectMembers(const Daemon &D) {
  Json Rows = Json::array();
  for (const auto &[Id, Peer] : D.Members.members())
    Rows.push_back({{"host", number(Id)},
                    {"address", Peer.Host.Address},
                    {"same_zone", Peer.Host.Zone == D.Self.Zone},
                    {"state", nameOf(Peer.State)},
                    {"draining", Peer.Draining},
                    {"revision", number(Peer.ConfigRevision)}});
  return Rows;
}

void respondWithInspection(Daemon &D, ExchangeId Id) {
  const PeerTraffic &Traffic = D.Peers.traffic();
  const Json Root{{"host", D.Settings.HostName},
                  {"zone", D.Settings.ZoneName},
                  {"region", D.Settings.RegionName},
                  {"version", MARJORAMBAY_VERSION},
                  {"incarnation", number(D.Incarnation)},
                  {"revision", number(D.Config.revision())},
                  {"draining", D.Draining},
                  {"caller_connections", D.Callers.connections()},
                  {"target_calls", D.Client.calls()},
                  {"peer_messages_sent", Traffic.MessagesSent},
                  {"peer_messages_received", Traffic.MessagesReceived},
                  {"watches_config", D.WatchesConfig},
                  {"requests", inspectRequests(D)},
                  {"arbiters", inspectArbiters(D)},
                  {"members", inspectMembers(D)},
                  {"intent_shards", D.Intents.size()},
                  {"intent_keys", D.Intents.keys()}};
  D.Operators.answer(Id, 200, JsonText, Root.dump(1) + "\n");
}

void respondWithConfig(Daemon &D, ExchangeId Id) {
  if (D.Config.revision() == Revision{})
    return respondOperatorError(
        D, Id, {ErrorKind::NotReady, "no configuration is in force yet"});
  D.Operators.answer(Id, 200, JsonText, printFleetConfig(D.Config.config()));
}

void handleConfigUpdate(Daemon &D, const HttpRequestView &View) {
  const std::string_view Given = View.header("Base-Revision");
  std::uint64_t Base = 0;
  const char *End = Given.data() + Given.size();
  const auto [At, Failure] = std::from_chars(Given.data(), End, Base);
  if (Given.empty() || Failure != std::errc() || At != End)
    return respondOperatorError(
        D, View.Id,
        {ErrorKind::BadRequest,
         "send Base-Revision: N, the revision that the change is based on"});
  proposeConfig(D, View.Id, Revision{Base}, View.Body);
}

void handleOperatorRequest(Daemon &D, const HttpRequestView &View) {
  const bool Get = View.Method == "GET";
  if (Get && View.Path == "/healthz")
    return D.Operators.answer(View.Id, 200, PlainText, "ok\n");
  if (Get && View.Path == "/readyz")
    return respondWithReadiness(D, View.Id);
  if (Get && View.Path == "/inspect")
    return respondWithInspection(D, View.Id);
  if (Get && View.Path == "/config")
    return respondWithConfig(D, View.Id);
  if (View.Method == "PUT" && View.Path == "/config")
    return handleConfigUpdate(D, View);
  constexpr std::string_view Rollouts = "/rollouts/";
  if (View.Path.starts_with(Rollouts)) {
    const std::string_view Pool =
        std::string_view(View.Path).substr(Rollouts.size());
    if (Get)
      return respondWithRollout(D, View.Id, Pool);
    if (View.Method == "POST")
      return handleRolloutCommand(D, View.Id, Pool, View.Body);
  }
  if (Get && View.Path == "/metrics") {
    updateTrafficMetrics(D.Peers.traffic(), D.Stats);
    return D.Operators.answer(View.Id, 200, PlainText,
                              D.Stats.prometheusText());
  }
  respondOperatorError(D, View.Id, {ErrorKind::NotFound, "no such path"});
}

} // namespace

void respondOperatorError(Daemon &D, ExchangeId Exchange, const Error &Reason) {
  D.Operators.answer(Exchange, traitsOf(Reason.Kind).HttpStatus, JsonText,
                     printError(Reason, "", MayHaveRun::No));
}

Result<Done> startOperatorApi(Daemon &D) {
  const auto Address = parseAddress(D.Settings.OperatorAddress);
  if (!ok(Address))
    return error(Address);
  const auto Port = D.Operators.listen(value(Address).Ip, value(Address).Port);
  if (!ok(Port))
    return error(Port);
  D.Operators.RequestArrived.connect(
      [&D](const HttpRequestView &View) { handleOperatorRequest(D, View); });
  return Done{};
}

} // namespace marjorambay
