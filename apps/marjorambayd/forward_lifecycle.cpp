/// Start, timers and configuration of a host that serves
/// forwarded routes.
#include "forward_host.h"
#include "host_identity.h"
#include "startup.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>

namespace marjorambay {

namespace {

constexpr Duration CallTick = milliseconds(25);
constexpr Duration ArbiterTick = milliseconds(50);
constexpr Duration VersionTick = milliseconds(250);
constexpr Duration ConfirmInterval = milliseconds(1000);
/// Fraction of the fleet's permitted retries that the hosts use. The rest
/// covers hosts that have just started or are not listed yet, whose reserve the
/// others don't know.
constexpr double UsedRetryFraction = 0.6;

const HttpHeaders PlainText{{"Content-Type", "text/plain; charset=utf-8"}};

ForwardSettings boundsOf(const HostSettings &Settings) {
  ForwardSettings Bounds;
  Bounds.Rollout.CanaryShare = Settings.CanaryShare;
  Bounds.Rollout.CanaryExtra = Settings.CanaryExtra;
  Bounds.Warmup = {Settings.WarmupOverrun, Settings.WarmupSlack};
  return Bounds;
}

/// Adds half of the tolerated overrun of a rate to the account's burst. The
/// other half covers what hosts admit before they know of each other's usage.
void widenBurst(const HostSettings &Settings, ForwardAccount &Account) {
  constexpr double BurstFraction = 0.5;
  if (Account.RatePerSecond == 0)
    return;
  const double Permitted =
      Account.RatePerSecond * toSeconds(Settings.AccountWindow) + Account.Burst;
  const double Slack = Account.CountsTokens ? Settings.AccountSlack : 0;
  Account.Burst +=
      BurstFraction * (Settings.AccountOverrun * Permitted + Slack);
}

/// Whether this host knows what the others have decided, if there are any. One
/// that they don't reach serves nevertheless.
bool knowsDecisions(const ForwardHost &H) {
  constexpr Duration MaxWait = seconds(1);
  return H.DigestHeard || fleetSize(H) == 1 ||
         H.Loop.now() - H.StartedAt > MaxWait;
}

void handleProbe(ForwardHost &H, const HttpRequestView &View) {
  const bool Ready = isReady(H) && knowsDecisions(H) && !H.Draining;
  H.Probes.answer(View.Id, Ready ? 200 : 503, PlainText,
                  Ready ? "ready\n" : "not ready\n");
}

std::string warmupMetrics(const ForwardHost &H) {
  const auto Cold =
      std::count_if(H.Warmups.cold().begin(), H.Warmups.cold().end(),
                    [&H](TargetId Target) { return isCold(H, Target); });
  return "# TYPE marjorambay_cold_targets gauge\n"
         "marjorambay_cold_targets " +
         std::to_string(Cold) +
         "\n# TYPE marjorambay_paced_requests_total counter\n"
         "marjorambay_paced_requests_total " +
         std::to_string(H.PacedRequests) + "\n";
}

void handleOperatorRequest(ForwardHost &H, const HttpRequestView &View) {
  updateTrafficMetrics(H.Peers.traffic(), H.Stats);
  if (View.Path == "/metrics")
    return H.Operators.answer(View.Id, 200, PlainText,
                              H.Stats.prometheusText() +
                                  "# TYPE marjorambay_limited_targets gauge\n"
                                  "marjorambay_limited_targets " +
                                  std::to_string(H.Limits.size()) + "\n" +
                                  zoneMetrics(H) + evacuationMetrics(H) +
                                  rampMetrics(H) + warmupMetrics(H) +
                                  memoryMetrics(H) + descriptorMetrics(H));
  H.Operators.answer(View.Id, 404, PlainText, "no such path\n");
}

Result<Done> listen(HttpServer &Listener, const std::string &Text) {
  const Result<SocketAddress> Address = parseAddress(Text);
  if (!ok(Address))
    return error(Address);
  const auto Port = Listener.listen(value(Address).Ip, value(Address).Port);
  if (!ok(Port))
    return error(Port);
  return Done{};
}

Result<Done> listenForCallers(ForwardHost &H) {
  const Result<SocketAddress> Address = parseAddress(H.Settings.CallerAddress);
  if (!ok(Address))
    return error(Address);
  const auto Port = H.Callers.listen(value(Address));
  if (!ok(Port))
    return error(Port);
  return Done{};
}

/// Listens for operators; while that fails, tries again. Hosts serve callers
/// without it.
void listenForOperators(ForwardHost &H) {
  constexpr Duration RetryInterval = seconds(1);
  const Result<Done> Bound = listen(H.Operators, H.Settings.OperatorAddress);
  const bool Retried = H.OperatorRetry.connected();
  if (ok(Bound) && Retried) {
    LogLine("address_bound").with("listener", "operators");
    H.OperatorRetry.disconnect();
  }
  if (ok(Bound) || Retried)
    return;
  LogLine("address_awaited", LogLevel::Warning)
      .with("listener", "operators")
      .with("problem", error(Bound).Message);
  H.OperatorRetry =
      H.Timers.every(RetryInterval, [&H]() { listenForOperators(H); });
}

/// Listens everywhere. Callers come last, as they can connect from then on.
Result<Done> listenAll(ForwardHost &H) {
  struct Listener {
    std::string_view Name;
    std::function<Result<Done>()> Bind;
  };
  const std::array Listeners{
      Listener{"peers", [&H]() { return startFleet(H); }},
      Listener{"peer_objects", [&H]() { return startObjects(H); }},
      Listener{"probes",
               [&H]() { return listen(H.Probes, H.Settings.ReadyAddress); }},
      Listener{"callers", [&H]() { return listenForCallers(H); }}};
  for (const auto &[Name, Bind] : Listeners)
    if (Result<Done> Bound = awaitAddress(Name, Bind); !ok(Bound))
      return Bound;
  listenForOperators(H);
  return Done{};
}

} // namespace

ForwardHost::ForwardHost(HostSettings Given, ForwardHeaders Headers)
    : Settings(std::move(Given)), HeaderNames(std::move(Headers)),
      Bounds(boundsOf(Settings)), Self(hostInfoFrom(Settings)),
      Incarnation(incarnationAt(Loop.wallClockNow())), StartedAt(Loop.now()),
      Random(number(Self.Id) ^ number(Incarnation)),
      Memory(Loop, Settings.MemoryMb), Descriptors(descriptorShares(Settings)),
      Callers(Loop, Timers, callerLimits(Settings, Descriptors, Memory.Budget)),
      Probes(Loop, Timers, probeLimits(Descriptors)),
      Operators(Loop, Timers, probeLimits(Descriptors)),
      ObjectServer(Loop, Timers, objectServerLimits(Descriptors), "hosts"),
      HoldOffs(TargetHoldOffSettings{.MaxHoldOff = Settings.MaxHoldOff}) {
  Client.setMaxConnections(Descriptors.Targets);
}

ForwardHost::~ForwardHost() = default;

bool isReady(const ForwardHost &H) {
  return H.Table != nullptr && H.TargetsKnown && H.RolloutsKnown &&
         knowsEvacuations(H);
}

Result<Done> startForwarding(ForwardHost &H) {
  H.Probes.RequestArrived.connect(
      [&H](const HttpRequestView &View) { handleProbe(H, View); });
  H.Operators.RequestArrived.connect(
      [&H](const HttpRequestView &View) { handleOperatorRequest(H, View); });
  if (Result<Done> Listening = listenAll(H); !ok(Listening))
    return Listening;
  H.StartedAt = H.Loop.now(); // no peer was heard while addresses were awaited
  readZoneRegions(H);
  startRequests(H);
  startMemory(H);
  const auto AddTimer = [&H](Duration Interval, sigc::slot<void()> Work) {
    H.Subscriptions.push_back(H.Timers.every(Interval, std::move(Work)));
  };
  AddTimer(CallTick, [&H]() {
    checkTimeouts(H);
    if (H.Directory.expireMissing(H.Loop.now()))
      applyTargets(H);
  });
  AddTimer(ArbiterTick, [&H]() {
    tickWarmups(H);
    tickArbiters(H);
  });
  AddTimer(VersionTick, [&H]() {
    tickVersions(H);
    expireRetainedObjects(H);
  });
  AddTimer(ConfirmInterval, [&H]() {
    confirmSlots(H);
    reviewArbiters(H);
  });
  startZones(H);
  H.Loop.onSignal(SIGTERM, [&H]() { startDrain(H); });
  H.Loop.onSignal(SIGINT, [&H]() { startDrain(H); });
  H.Loop.onSignal(SIGQUIT, [&H]() { startDrain(H); });
  H.Loop.onSignal(SIGHUP, []() { LogLine("reload_asked").expendable(); });
  LogLine("started")
      .with("host", H.Settings.HostName)
      .with("zone", H.Settings.ZoneName)
      .with("callers", H.Settings.CallerAddress)
      .with("peers", H.Settings.PeerAddress)
      .with("platform", H.Settings.PlatformAddress)
      .with("version", MARJORAMBAY_VERSION);
  logDescriptorShares(H);
  return Done{};
}

void applyConfig(ForwardHost &H, ForwardConfig Config) {
  const std::uint64_t Current = H.Table ? H.Table->version() : 0;
  if (Config.Version <= Current)
    return;
  for (ForwardAccount &Account : Config.Accounts)
    widenBurst(H.Settings, Account);
  LogLine("config_in_force")
      .with("version", static_cast<std::int64_t>(Config.Version))
      .with("was", static_cast<std::int64_t>(Current))
      .with("routes", static_cast<std::int64_t>(Config.Routes.size()))
      .with("accounts", static_cast<std::int64_t>(Config.Accounts.size()));
  CallerServerLimits Limits =
      callerLimits(H.Settings, H.Descriptors, H.Memory.Budget);
  Limits.MaxHeaderBytes = Config.Limits.MaxHeaderBytes;
  Limits.MaxBodyBytes = Config.Limits.MaxBodyBytes;
  Limits.HeaderTimeout = Config.Limits.HeaderTimeout;
  Limits.IdleTimeout = Config.Limits.IdleTimeout;
  H.Callers.setLimits(Limits);
  H.Stats.setLabelName(LabelKind::Route, 0, "none");
  for (const ForwardRoute &Route : Config.Routes)
    H.Stats.setLabelName(LabelKind::Route, number(Route.Id), Route.Name);
  for (const ForwardAccount &Account : Config.Accounts) {
    H.Stats.setLabelName(LabelKind::Account, number(Account.Id), Account.Name);
    LogLine("account_limits")
        .with("account", Account.Name)
        .with("priority", Account.Priority
                              ? static_cast<std::int64_t>(*Account.Priority)
                              : -1)
        .with("rate", static_cast<std::int64_t>(Account.RatePerSecond))
        .with("burst", static_cast<std::int64_t>(Account.Burst));
  }
  H.Table = std::make_shared<const ForwardTable>(std::move(Config));
  for (const ForwardPool &Pool : H.Table->config().Pools)
    H.Pools.try_emplace(Pool.Id);
  updateRetryBudgets(H);
  updateServingVersions(H);
  updateDivision(H);
}

void updateRetryBudgets(ForwardHost &H) {
  const double Hosts = static_cast<double>(fleetSize(H));
  const double Reserve = UsedRetryFraction * H.Settings.RetryExtra / Hosts;
  for (auto &[Pool, State] : H.Pools) {
    if (State.RetriesInitialized)
      State.Retries.setReserve(Reserve);
    else
      State.Retries =
          RetryBudget({UsedRetryFraction * H.Settings.RetryRatio, Reserve});
    State.RetriesInitialized = true;
  }
}

void markTargetLeaving(ForwardHost &H, const ForwardCall &Call,
                       const TargetAttempt &Attempt) {
  if (!H.Directory.markLeaving(Attempt.TargetName, Attempt.TargetIncarnation))
    return;
  LogLine("target_said_leaving")
      .with("target", Attempt.TargetName)
      .with("request", Call.Name)
      .with("status", Attempt.Status);
  const PoolId Pool = Call.Pool;
  const TargetId Target = Attempt.Target;
  const IncarnationId Incarnation = Attempt.TargetIncarnation;
  applyTargets(H);
  reportTargetLeaving(H, Pool, Target, Incarnation);
}

namespace {

/// Takes over what entries state of the time that a target remains cold.
void applyWarmupEntries(ForwardHost &H) {
  for (const auto &[Name, Target] : H.Directory.targets()) {
    ListedTarget &Known = H.Targets.at(Target.Id);
    recordWarmupEntry(H, Target, &Known);
    Known.WarmupLeft = Target.WarmupLeft;
    Known.Revision = Target.Revision;
  }
  tickWarmups(H);
}

} // namespace

void applyTargets(ForwardHost &H) {
  // Remaining times change often. Nothing else depends on them.
  if (H.TargetsKnown && H.AppliedDirectory == H.Directory.revision())
    return applyWarmupEntries(H);
  H.AppliedDirectory = H.Directory.revision();
  std::set<PoolId> Pools;
  for (const auto &[Id, Target] : H.Targets)
    Pools.insert(Target.Pool);
  const auto Previous = std::move(H.Targets);
  H.Targets.clear();
  H.TargetZones.clear();
  for (const auto &[Name, Target] : H.Directory.targets()) {
    H.Targets.emplace(Target.Id, Target);
    H.TargetZones.insert(Target.Zone);
    Pools.insert(Target.Pool);
    const auto Before = Previous.find(Target.Id);
    recordWarmupEntry(H, Target,
                      Before == Previous.end() ? nullptr : &Before->second);
  }
  for (const auto &[Id, Target] : Previous) {
    const auto Current = H.Targets.find(Id);
    const bool Removed = Current == H.Targets.end();
    if (!Removed && Current->second.Leaving == Target.Leaving)
      continue;
    LogLine("target_left")
        .with("target", Target.Name)
        .with("how", Removed ? "unlisted" : "leaving");
    H.Client.closeIdleConnections(Target.Address);
    if (Removed)
      H.Health.erase(Id);
  }
  recordListings(H, !H.TargetsKnown);
  H.TargetsKnown = true;
  dropOutdatedLimits(H);
  dropOutdatedWarmups(H);
  updateServingVersions(H);
  updateDivision(H);
  for (const PoolId Pool : Pools)
    publishTargets(H, Pool);
}

} // namespace marjorambay
