/// Load reports of the model engines that this host's arbiters grant.
#include "components.h"
#include "rollouts.h"

#include "marjorambay/protocol/load_report.h"

#include <algorithm>

namespace marjorambay {

namespace {

void handleLoadReport(Daemon &D, PoolId Pool, TargetId Target, int Status,
                      const std::string &Body) {
  D.PendingLoadPolls.erase(Target);
  constexpr int Success = 200;
  const Result<LoadReport> Parsed = parseLoadReport(Body);
  if (Status != Success || !ok(Parsed))
    return;
  const LoadReport &Report = value(Parsed);
  if (Report.Incarnation != IncarnationId{}) {
    D.TargetIncarnations[Target] = Report.Incarnation;
    post(D, MembershipEvent(TargetIncarnationSeen{Target, Report.Incarnation}));
  }
  updateLoadedVersions(D, Target, Report.Versions);
  if (Report.Leaving)
    post(D,
         MembershipEvent(LeavingNoticeReceived{{Target, Report.Incarnation}}));
  if (!D.Arbiters.contains(Pool))
    return;
  const Duration Age =
      std::max<Duration>(D.Loop.wallClockNow() - Report.Written, Duration(0));
  post(D, ArbiterInput{Pool, LoadReported{Target, Age, Report.RequestsInFlight,
                                          Report.TokensInFlight,
                                          Report.CacheTokensFree}});
}

void pollLoads(Daemon &D) {
  for (const auto &[Pool, Location] : D.ArbiterLocations) {
    const PoolConfig *Config = D.Config.pool(Pool);
    if (Location.Host != D.Self.Id || !Config ||
        Config->Kind != PoolKind::Model)
      continue;
    for (const TargetId Target : D.Config.targets(Pool, D.Self.Zone))
      fetchLoadReport(D, Pool, Target);
  }
}

} // namespace

void fetchLoadReport(Daemon &D, PoolId Pool, TargetId Target) {
  const TargetConfig *Config = D.Config.target(Target);
  if (!Config)
    return;
  const Result<SocketAddress> Address = parseAddress(Config->Address);
  if (!ok(Address) || !D.PendingLoadPolls.insert(Target).second)
    return;
  HttpCall Request;
  Request.Address = value(Address).Ip;
  Request.Port = value(Address).Port;
  Request.Path = "/load";
  Request.ConnectTimeout = D.Settings.ConnectTimeout;
  Request.ResponseTimeout = std::max<Duration>(D.Settings.LoadPollInterval,
                                               D.Settings.ConnectTimeout);
  Request.MaxBodyBytes = 64 << 10;
  D.Client.fetch(std::move(Request),
                 [&D, Pool, Target](int Status, const HttpResponseView &,
                                    const std::string &Body, CallOutcome) {
                   handleLoadReport(D, Pool, Target, Status, Body);
                 });
}

void startLoadReports(Daemon &D) {
  D.Subscriptions.push_back(
      D.Timers.every(D.Settings.LoadPollInterval, [&D]() { pollLoads(D); }));
}

} // namespace marjorambay
