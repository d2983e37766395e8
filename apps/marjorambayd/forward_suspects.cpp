/// Keys of requests under which targets crash: decisions of arbiters of this
/// host, and what other hosts are told of them.
#include "forward_host.h"

namespace marjorambay {

namespace {

std::string targetNames(const ForwardHost &H,
                        const std::vector<TargetId> &Targets) {
  std::string Names;
  for (const TargetId Id : Targets) {
    const auto Listed = H.Targets.find(Id);
    Names += Names.empty() ? "" : ",";
    Names += Listed == H.Targets.end() ? "unlisted" : Listed->second.Name;
  }
  return Names;
}

} // namespace

void publishCrashDecisions(ForwardHost &H, PoolId Pool, Arbiter &Decider) {
  const std::vector<CrashDecision> Decisions = Decider.takeCrashDecisions();
  if (Decisions.empty())
    return;
  for (const CrashDecision &Decision : Decisions)
    LogLine("crash_verdict", LogLevel::Warning)
        .with("pool", static_cast<std::int64_t>(number(Pool)))
        .with("kind", nameOf(Decision.Key.Kind))
        .with("key", formatCrashKey(Decision.Key))
        .with("verdict", nameOf(Decision.Verdict))
        .with("crashed", targetNames(H, Decision.Crashed))
        .with("hold_ms",
              std::chrono::duration_cast<milliseconds>(Decision.Hold).count());
  bool Changed = false;
  for (const CrashHold &Hold : Decider.suspects().holds(H.Loop.now()))
    Changed = H.Pools[Pool].Suspects.learn(Hold, H.Loop.now()) || Changed;
  if (Changed)
    sendDigests(H);
}

std::vector<PoolCrashHold> crashHolds(const ForwardHost &H) {
  std::vector<PoolCrashHold> Known;
  for (const auto &[Pool, State] : H.Pools)
    for (const CrashHold &Hold : State.Suspects.holds(H.Loop.now()))
      Known.push_back({Pool, Hold});
  return Known;
}

} // namespace marjorambay
