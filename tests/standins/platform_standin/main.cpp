/// The platform's object API in memory: versions, conditional updates, watches,
/// and the lagging list of hosts. GET /calls at the control port counts calls
/// by kind; PUT /hosts there sets the list of hosts.
///
/// Faults of its own: "lose_answer" writes and closes the connection,
/// "stale" answers reads with the version before, "down" answers 503.
#include "standins/support/http_server.h"
#include "standins/support/options.h"

using namespace marjorambay::standins;

namespace {

constexpr std::size_t MaxObjectBytes = 1 << 20;
constexpr std::string_view ObjectPrefix = "/v1/objects/";

struct Revised {
  std::uint64_t Version = 0;
  std::string Bytes{};
};
struct Object {
  Revised Now{};
  Revised Before{}; ///< version 0: there was none
};
struct Watch {
  std::string Name{};
  std::uint64_t Above = 0;
};

struct Platform {
  Loop &Events;
  HttpServer &Server;
  milliseconds HostsLag{};
  std::map<std::string, Object> Objects{};
  std::map<CallId, Watch> Watches{};
  std::map<std::string, int> Counts{};
  Json Hosts = Json::array();

  void call(CallId Id, const Call &Received) {
    if (Server.faults().has("down"))
      return Server.reply(Id, 503, "down");
    if (Received.Path == "/v1/list")
      return list(Id, Received);
    if (Received.Path == "/v1/hosts")
      return listHosts(Id);
    if (!Received.Path.starts_with(ObjectPrefix))
      return Server.reply(Id, 404, "");
    const std::string Name = Received.Path.substr(ObjectPrefix.size());
    if (Received.Method == EVHTTP_REQ_PUT)
      return put(Id, Name, Received);
    if (Received.Query.contains("watch"))
      return watch(Id, Name, Received);
    ++Counts["get"];
    answer(Id, Name);
  }

  void put(CallId Id, const std::string &Name, const Call &Received) {
    ++Counts["put"];
    if (Received.Body.size() > MaxObjectBytes)
      return Server.reply(Id, 413, "");
    Object &Stored = Objects[Name];
    const std::string Condition = Received.header("If-Version");
    if (Condition != std::to_string(Stored.Now.Version))
      return Server.reply(Id, Condition.empty() ? 400 : 409, "",
                          versionHeader(Stored.Now));
    Stored.Before = Stored.Now;
    Stored.Now = {Stored.Now.Version + 1, Received.Body};
    if (Server.faults().take("lose_answer"))
      Server.breakOff(Id);
    else
      Server.reply(Id, 200, "", versionHeader(Stored.Now));
    wakeWatches(Name);
  }

  void watch(CallId Id, const std::string &Name, const Call &Received) {
    ++Counts["watch"];
    const std::uint64_t Above = Received.queryNumber("watch");
    if (visible(Name).Version > Above)
      return answer(Id, Name);
    Watches[Id] = {Name, Above};
    Events.after(milliseconds(Received.queryNumber("wait_ms")), [this, Id] {
      if (Watches.erase(Id) > 0)
        Server.reply(Id, 204, "");
    });
  }
  void wakeWatches(const std::string &Name) {
    std::vector<CallId> Due;
    for (const auto &[Id, Waiting] : Watches)
      if (Waiting.Name == Name && visible(Name).Version > Waiting.Above)
        Due.push_back(Id);
    for (const CallId Id : Due) {
      Watches.erase(Id);
      answer(Id, Name);
    }
  }
  /// After "stale" ends, watches that it held back are due.
  void wakeAll() {
    for (const auto &[Name, Stored] : Objects)
      wakeWatches(Name);
  }

  void answer(CallId Id, const std::string &Name) {
    const Revised Seen = visible(Name);
    if (Seen.Version == 0)
      return Server.reply(Id, 404, "");
    Server.reply(Id, 200, Seen.Bytes, versionHeader(Seen));
  }
  Revised visible(const std::string &Name) {
    const auto Found = Objects.find(Name);
    if (Found == Objects.end())
      return {};
    return Server.faults().has("stale") ? Found->second.Before
                                        : Found->second.Now;
  }
  static HeaderMap versionHeader(const Revised &Stored) {
    return {{"Object-Version", std::to_string(Stored.Version)}};
  }

  void list(CallId Id, const Call &Received) {
    ++Counts["list"];
    const auto Given = Received.Query.find("prefix");
    const std::string Prefix =
        Given == Received.Query.end() ? "" : Given->second;
    Json Found = Json::array();
    for (const auto &[Name, Stored] : Objects)
      if (Name.starts_with(Prefix) && visible(Name).Version > 0)
        Found.push_back({{"name", Name}, {"version", visible(Name).Version}});
    Server.replyJson(Id, 200, {{"objects", Found}});
  }
  void listHosts(CallId Id) {
    ++Counts["hosts"];
    Server.replyJson(Id, 200, {{"hosts", Hosts}});
  }

  void control(CallId Id, const Call &Received) {
    if (Received.Path == "/calls")
      return Server.replyJson(Id, 200, Counts);
    const Json Given = parseJson(Received.Body);
    if (Received.Path != "/hosts" || !Given.is_array())
      return Server.reply(Id, 400, "PUT /hosts takes an array");
    Events.after(HostsLag, [this, Given] { Hosts = Given; });
    Server.reply(Id, 200, "");
  }
};

} // namespace

int main(int Argc, char **Argv) {
  Options Given(Argc, Argv,
                {{"port", "0", "port of the object API, 0: any"},
                 {"hosts-lag-ms", "0", "lag of the list of hosts"}});
  Loop Events;
  HttpServer Server(Events, static_cast<std::uint16_t>(Given.number("port")));
  Platform Store{Events, Server,
                 milliseconds(static_cast<int>(Given.number("hosts-lag-ms")))};
  Server.onFault([&] { Store.wakeAll(); });
  Server.serve(
      [&](CallId Id, const Call &Received) { Store.call(Id, Received); },
      [&](CallId Id, const Call &Received) { Store.control(Id, Received); },
      [&](CallId Id) { Store.Watches.erase(Id); });
  return 0;
}
