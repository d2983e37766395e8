/// Load reports of the model engines that this host's arbiters grant.
#include "components.h"
#include "rollouts.h"

#include "marjorambay/protocol/load_report.h"

#include <algorithm>

namespace marjorambay {

namespace {

void reportRead(Daemon &D, PoolId Pool, TargetId Target, int Status,
                const std::string &Body) {
  D.LoadPolls.erase(Target);
  constexpr int Success = 200;
  const Result<LoadReport> Read = parseLoadReport(Body);
  if (Status != Success || !ok(Read))
    return;
  const LoadReport &Report = value(Read);
  if (Report.Incarnation != IncarnationId{}) {
    D.TargetLives[Target] = Report.Incarnation;
    post(D, MembershipEvent(TargetIncarnationSeen{Target, Report.Incarnation}));
  }
  showVersions(D, Target, Report.Versions);
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
  for (const auto &[Pool, Place] : D.ArbiterOf) {
    const PoolConfig *Known = D.Config.pool(Pool);
    if (Place.Host != D.Self.Id || !Known || Known->Kind != PoolKind::Model)
      continue;
    for (const TargetId Target : D.Config.targets(Pool, D.Self.Zone))
      readLoadReport(D, Pool, Target);
  }
}

} // namespace

void readLoadReport(Daemon &D, PoolId Pool, TargetId Target) {
  const TargetConfig *Known = D.Config.target(Target);
  if (!Known)
    return;
  const Result<SocketAddress> Address = parseAddress(Known->Address);
  if (!ok(Address) || !D.LoadPolls.insert(Target).second)
    return;
  HttpCall What;
  What.Address = value(Address).Ip;
  What.Port = value(Address).Port;
  What.Path = "/load";
  What.ConnectTimeout = D.Settings.ConnectTimeout;
  What.IdleTimeout = std::max<Duration>(D.Settings.LoadPollInterval,
                                        D.Settings.ConnectTimeout);
  What.MaxBodyBytes = 64 << 10;
  D.Client.fetch(std::move(What),
                 [&D, Pool, Target](int Status, const HttpResponseView &,
                                    const std::string &Body, CallOutcome) {
                   reportRead(D, Pool, Target, Status, Body);
                 });
}

void startLoadReports(Daemon &D) {
  D.Subscriptions.push_back(
      D.Timers.every(D.Settings.LoadPollInterval, [&D]() { pollLoads(D); }));
}

} // namespace marjorambay
