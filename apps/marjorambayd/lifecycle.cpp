/// Start, graceful stop, and the ticks of the decision parts.
#include "components.h"
#include "rollouts.h"
#include "startup.h"

#include <csignal>

namespace marjorambay {

namespace {

constexpr Duration FineTick = milliseconds(10);
constexpr Duration DrainCheck = milliseconds(50);
/// Time for peers to receive the notice that this host hands over its arbiters.
constexpr Duration HandOverTime = seconds(1);
constexpr Duration PeerLinger = milliseconds(500);

/// Ticks the origin and the intent log, which need it only while they have
/// pending work.
void fineTick(Daemon &D) {
  if (D.Requests.wakeAt() <= D.Loop.now())
    post(D, OriginEvent(OriginTicked{}));
  if (D.Intents.busy())
    post(D, IntentLogInput{IntentLogTicked{D.Loop.wallClockNow()}});
}

void coarseTick(Daemon &D) {
  if (!D.Intents.busy())
    post(D, IntentLogInput{IntentLogTicked{D.Loop.wallClockNow()}});
}

void stopIfDrained(Daemon &D) {
  const TimePoint Now = D.Loop.now();
  const bool HandedOver = Now >= D.DrainSince + HandOverTime;
  const bool Idle = D.Requests.idle() && D.Calls.empty() &&
                    D.Callers.exchanges() == 0 && !D.Intents.busy();
  const bool TimedOut = Now >= D.DrainSince + D.Settings.DrainTimeout;
  if (!TimedOut && !(Idle && HandedOver))
    return;
  LogLine("stopped").with("in_progress",
                          static_cast<std::int64_t>(D.Calls.size()));
  D.Peers.closeGracefully(PeerLinger);
  D.Loop.stop();
}

} // namespace

Result<Done> startDaemon(Daemon &D) {
  struct Listener {
    std::string_view Name;
    Result<Done> (*Start)(Daemon &);
  };
  for (const auto &[Name, Start] : {Listener{"peers", startPeerMessages},
                                    Listener{"operators", startOperatorApi},
                                    Listener{"callers", startCallerApi}}) {
    const auto Bind = [&D, Start = Start]() { return Start(D); };
    if (Result<Done> Started = awaitAddress(Name, Bind); !ok(Started))
      return Started;
  }
  startArbiters(D);
  startLoadReports(D);
  startIntentRouting(D);
  startPlatformClient(D);
  startConfig(D);
  startRollouts(D);
  post(D, IntentLogInput{IntentLogTicked{D.Loop.wallClockNow()}});
  D.WatchesConfig = D.Members.watchesConfig();
  post(D, ConfigInput{WatcherRoleChanged{D.WatchesConfig}});
  D.Subscriptions.push_back(D.Timers.every(FineTick, [&D]() { fineTick(D); }));
  D.Subscriptions.push_back(
      D.Timers.every(seconds(1), [&D]() { coarseTick(D); }));
  D.Loop.onSignal(SIGTERM, [&D]() { startDrain(D); });
  D.Loop.onSignal(SIGINT, [&D]() { startDrain(D); });
  D.Loop.onSignal(SIGQUIT, [&D]() { startDrain(D); });
  LogLine("started")
      .with("host", D.Settings.HostName)
      .with("zone", D.Settings.ZoneName)
      .with("callers", D.Settings.CallerAddress)
      .with("peers", D.Settings.PeerAddress)
      .with("operators", D.Settings.OperatorAddress)
      .with("version", MARJORAMBAY_VERSION);
  return Done{};
}

void startDrain(Daemon &D) {
  if (D.Draining)
    return;
  D.Draining = true;
  D.DrainSince = D.Loop.now();
  LogLine("drain_started")
      .with("in_progress", static_cast<std::int64_t>(D.Calls.size()));
  D.Callers.stopListening();
  post(D, OriginEvent(DrainStarted{}));
  post(D, MembershipEvent(HostDrainStarted{}));
  D.Subscriptions.push_back(
      D.Timers.every(DrainCheck, [&D]() { stopIfDrained(D); }));
}

bool isReady(const Daemon &D, std::string &Reason) {
  if (D.Draining)
    Reason = "shutting down";
  else if (!D.ConfigState.ready() || D.Config.revision() == Revision{})
    Reason = "no configuration yet";
  return Reason.empty();
}

} // namespace marjorambay
