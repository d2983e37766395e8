/// Calls of the platform's object API for the intent log, the configuration and
/// rollouts.
#include "actions.h"
#include "components.h"
#include "rollouts.h"

#include "marjorambay/protocol/platform_api.h"
#include "marjorambay/protocol/rollout_json.h"

namespace marjorambay {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNoContent = 204;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;
constexpr std::size_t MaxObjectBytes = 2 << 20;

HttpCall platformCall(const Daemon &D, std::string Method, std::string Path) {
  const Result<SocketAddress> Address =
      parseAddress(D.Settings.PlatformAddress);
  HttpCall Request;
  if (ok(Address)) {
    Request.Address = value(Address).Ip;
    Request.Port = value(Address).Port;
  }
  Request.Method = std::move(Method);
  Request.Path = std::move(Path);
  Request.ConnectTimeout = D.Settings.PlatformTimeout;
  Request.ResponseTimeout = D.Settings.PlatformTimeout;
  Request.MaxBodyBytes = MaxObjectBytes;
  return Request;
}

ObjectRead parseReadResponse(PlatformCallId Call, int Status,
                             const HttpResponseView &View,
                             const std::string &Body) {
  ObjectRead Read;
  Read.Call = Call;
  Read.Found = Status == HttpOk;
  Read.Reachable =
      Read.Found || Status == HttpNotFound || Status == HttpNoContent;
  if (!Read.Found)
    return Read;
  Read.Version = parseObjectVersion(View.header("Object-Version"));
  Read.Bytes = Body;
  return Read;
}

ObjectWritten parseWriteResponse(PlatformCallId Call, int Status,
                                 const HttpResponseView &View) {
  ObjectWritten Written;
  Written.Call = Call;
  if (Status == HttpConflict)
    Written.Result = WriteResult::Conflict;
  if (Status != HttpOk)
    return Written;
  Written.Result = WriteResult::Committed;
  Written.Version = parseObjectVersion(View.header("Object-Version"));
  return Written;
}

/// Reads an object and passes the result to \p OnRead.
template <typename Receiver>
void read(Daemon &D, const ReadObject &Action, Receiver OnRead) {
  D.Stats.add(HostCounter::PlatformReads);
  D.Client.fetch(platformCall(D, "GET", objectPath(Action.Name)),
                 [OnRead, Call = Action.Call](
                     int Status, const HttpResponseView &View,
                     const std::string &Body, CallOutcome /*Outcome*/) {
                   OnRead(parseReadResponse(Call, Status, View, Body));
                 });
}

/// Writes an object by a conditional update and passes the result to \p
/// OnWritten.
template <typename Receiver>
void write(Daemon &D, const WriteObject &Action, Receiver OnWritten) {
  D.Stats.add(HostCounter::PlatformWrites);
  HttpCall Request = platformCall(D, "PUT", objectPath(Action.Name));
  Request.Headers = {{"If-Version", std::to_string(Action.IfVersion)}};
  Request.Body = Action.Bytes;
  D.Client.fetch(std::move(Request),
                 [OnWritten, Call = Action.Call](
                     int Status, const HttpResponseView &View,
                     const std::string & /*Body*/, CallOutcome /*Outcome*/) {
                   OnWritten(parseWriteResponse(Call, Status, View));
                 });
}

void handleHostList(Daemon &D, int Status, const std::string &Body) {
  const Result<std::vector<PlatformHost>> Hosts = parseHosts(Body);
  if (Status != HttpOk || !ok(Hosts))
    return;
  HostListRead List;
  for (const PlatformHost &Host : value(Hosts))
    if (!Host.Leaving && ok(parseAddress(Host.Address)))
      List.Live.push_back({idOf<HostId>(Host.Name), Host.Address,
                           idOf<ZoneId>(Host.Zone),
                           idOf<RegionId>(Host.Region)});
  post(D, MembershipEvent(std::move(List)));
}

void fetchHosts(Daemon &D) {
  D.Stats.add(HostCounter::PlatformReads);
  D.Client.fetch(platformCall(D, "GET", "/v1/hosts"),
                 [&D](int Status, const HttpResponseView & /*View*/,
                      const std::string &Body, CallOutcome /*Outcome*/) {
                   handleHostList(D, Status, Body);
                 });
}

} // namespace

void startPlatformClient(Daemon &D) {
  fetchHosts(D);
  // One host of a zone polls the list; the others learn of hosts by heartbeats.
  D.Subscriptions.push_back(D.Timers.every(D.Settings.HostListInterval, [&D]() {
    if (D.Members.watchesConfig())
      fetchHosts(D);
  }));
}

void performIntentLog(Daemon &D, const ReadObject &Action) {
  read(D, Action,
       [&D](const ObjectRead &Read) { post(D, IntentLogInput{Read}); });
}

void performIntentLog(Daemon &D, const WriteObject &Action) {
  write(D, Action, [&D](const ObjectWritten &Written) {
    post(D, IntentLogInput{Written});
  });
}

void performConfig(Daemon &D, const ReadObject &Action) {
  read(D, Action, [&D](const ObjectRead &Read) { post(D, ConfigInput{Read}); });
}

void performConfig(Daemon &D, const WriteObject &Action) {
  write(D, Action,
        [&D](const ObjectWritten &Written) { post(D, ConfigInput{Written}); });
}

namespace {

std::string rolloutObject(const Daemon &D, PoolId Pool) {
  const PoolConfig *Config = D.Config.pool(Pool);
  return "rollouts/" + (Config ? Config->Name : "");
}

RolloutRead rolloutRead(const ObjectRead &Object) {
  RolloutRead Read;
  Read.Reachable = Object.Reachable;
  if (!Object.Found)
    return Read;
  const Result<RolloutState> State = parseRolloutState(Object.Bytes);
  Read.Reachable = ok(State); // an unreadable state is handled like an outage
  if (!ok(State))
    return Read;
  Read.Found = true;
  Read.Version = Object.Version;
  Read.State = value(State);
  return Read;
}

} // namespace

void readRollout(Daemon &D, PoolId Pool,
                 std::function<void(const RolloutRead &)> OnRead) {
  read(D, ReadObject{{}, rolloutObject(D, Pool)},
       [OnRead = std::move(OnRead)](const ObjectRead &Object) {
         OnRead(rolloutRead(Object));
       });
}

void writeRollout(Daemon &D, PoolId Pool, const WriteRollout &Action) {
  write(D,
        WriteObject{{},
                    rolloutObject(D, Pool),
                    Action.IfVersion,
                    printRolloutState(Action.State)},
        [&D, Pool](const ObjectWritten &Written) {
          stepLeader(D, Pool, RolloutWritten{Written.Result, Written.Version});
        });
}

void performConfig(Daemon &D, const WatchObject &Action) {
  D.Stats.add(HostCounter::PlatformWatches);
  HttpCall Request = platformCall(
      D, "GET",
      watchPath(Action.Name, Action.AfterVersion, D.Settings.WatchWait));
  Request.ResponseTimeout += D.Settings.WatchWait;
  D.Client.fetch(std::move(Request),
                 [&D, Call = Action.Call](
                     int Status, const HttpResponseView &View,
                     const std::string &Body, CallOutcome /*Outcome*/) {
                   post(D, ConfigInput{WatchReturned{
                               parseReadResponse(Call, Status, View, Body)}});
                 });
}

} // namespace marjorambay
