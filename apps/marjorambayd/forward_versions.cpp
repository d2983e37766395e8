/// Versions under rollout: decisions of the rollout coordinator, evidence, and
/// the version that a request may be sent to.
#include "forward_host.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Returns the most common version among a pool's targets, without the one
/// under rollout and those rolled back.
VersionId commonVersion(const ForwardHost &H, PoolId Pool,
                        const PoolVersions &Versions) {
  std::map<VersionId, std::size_t> Counts;
  for (const auto &[Id, Each] : H.Targets) {
    const bool OnTrial =
        Versions.Rollout && Each.Version == Versions.Rollout->version();
    if (Each.Pool == Pool && !OnTrial &&
        Versions.TakenBack.count(Each.Version) == 0)
      ++Counts[Each.Version];
  }
  VersionId Most{};
  std::size_t Best = 0;
  for (const auto &[Version, Count] : Counts)
    if (Count > Best) {
      Best = Count;
      Most = Version;
    }
  return Most;
}

bool anyServes(const ForwardHost &H, PoolId Pool, VersionId Version) {
  return std::any_of(H.Targets.begin(), H.Targets.end(), [&](const auto &Each) {
    return Each.second.Pool == Pool && Each.second.Version == Version;
  });
}

bool stewardHere(const ForwardHost &H, PoolId Pool) {
  const auto Hub = arbiterOf(H, Pool);
  return Hub && *Hub == H.Self.Id;
}

RolloutId rolloutId(PoolId Pool, VersionId Version) {
  return RolloutId{number(Pool) ^ (number(Version) * 31)};
}

/// Passes the stage of a rollout to the guard, which compares the versions
/// until the rollout ends.
void tellGuard(PoolId Pool, PoolVersions &Versions) {
  RolloutView View;
  View.Id = rolloutId(Pool, Versions.Rollout->version());
  View.Pool = Pool;
  View.From = Versions.Serving;
  View.To = Versions.Rollout->version();
  View.ObjectVersion = ++Versions.Sequence;
  View.Phase = isFinal(Versions.Order.Stage) ? RolloutPhase::RolledBack
                                             : RolloutPhase::Canary;
  View.Share = Versions.Order.Share;
  View.Deadline = WallTime::max();
  Versions.Guard.step(ViewUpdated{View});
}

/// Applies a decision on this host.
void putInForce(ForwardHost &H, PoolId Pool, const VersionDecision &Order) {
  PoolVersions &Versions = H.Pools[Pool].Versions;
  const bool Moved = Versions.Order.Stage != Order.Stage ||
                     Versions.Order.Version != Order.Version;
  const bool Changed = Moved || Versions.Order.Share != Order.Share;
  Versions.Order = Order;
  if (!Changed)
    return;
  if (Order.Stage == VersionStage::Completed)
    Versions.Serving = Order.Version;
  if (Order.Stage == VersionStage::RolledBack)
    Versions.TakenBack.insert(Order.Version);
  if (Moved) {
    tellGuard(Pool, Versions);
    LogLine("version_stage")
        .with("pool", static_cast<std::int64_t>(number(Pool)))
        .with("version", Versions.RolloutName)
        .with("stage", nameOf(Order.Stage))
        .with("new_answers",
              static_cast<std::int64_t>(Versions.Rollout->newAnswers()))
        .with("new_failures",
              static_cast<std::int64_t>(Versions.Rollout->newFailures()));
  }
  tellTargets(H, Pool);
}

void spreadNow(ForwardHost &H, const VersionDecision &Order) {
  FleetDigest Digest;
  Digest.Ready = isReady(H);
  Digest.ConfigVersion = H.Table ? H.Table->version() : 0;
  Digest.Decisions.push_back(Order);
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.Listed)
      sendTo(H, Id, Digest);
}

void tellPlatform(ForwardHost &H, PoolId Pool, PoolVersions &Versions) {
  const VersionStage Stage = Versions.Order.Stage;
  const bool Told = Versions.WrittenAny && Versions.Written == Stage;
  if (Told || Stage == VersionStage::Switching)
    return;
  Versions.Written = Stage;
  Versions.WrittenAny = true;
  H.StageReached.emit(Pool, Versions.RolloutName, Stage);
}

void stepSteward(ForwardHost &H, PoolId Pool) {
  PoolVersions &Versions = H.Pools[Pool].Versions;
  const VersionStage Before = Versions.Order.Stage;
  const VersionDecision Order = Versions.Rollout->step(H.Loop.now());
  putInForce(H, Pool, Order);
  if (Order.Stage != Before)
    spreadNow(H, Order);
  tellPlatform(H, Pool, Versions);
}

void sendEvidenceOf(ForwardHost &H, PoolId Pool) {
  PoolVersions &Versions = H.Pools[Pool].Versions;
  for (const GuardAction &Action :
       Versions.Guard.step(GuardTicked{WallTime{}})) {
    const auto *Ready = std::get_if<EvidenceReady>(&Action);
    if (Ready == nullptr)
      continue;
    const EvidenceArrived Seen{Ready->Rollout, Ready->Cells};
    const auto Hub = arbiterOf(H, Pool);
    if (!Hub || *Hub == H.Self.Id)
      takeEvidence(H, Seen);
    else
      sendTo(H, *Hub, Seen);
  }
}

} // namespace

bool versionOpen(const ForwardHost &H, const ListedTarget &Target) {
  const auto Found = H.Pools.find(Target.Pool);
  if (Found == H.Pools.end())
    return true;
  const PoolVersions &Versions = Found->second.Versions;
  return number(Versions.Serving) == 0 || Target.Version == Versions.Serving;
}

VersionId drawVersion(ForwardHost &H, PoolId Pool) {
  PoolVersions &Versions = H.Pools[Pool].Versions;
  if (!Versions.Rollout || Versions.Order.Share <= 0 ||
      isFinal(Versions.Order.Stage))
    return VersionId{};
  Versions.Credit = std::min(2.0, Versions.Credit + Versions.Order.Share);
  if (Versions.Credit < 1)
    return VersionId{};
  Versions.Credit -= 1;
  return Versions.Rollout->version();
}

void tellVersions(ForwardHost &H, PoolId Pool, Arbiter &To) {
  const PoolVersions &Versions = H.Pools[Pool].Versions;
  const TimePoint Now = H.Loop.now();
  if (number(Versions.Serving) == 0)
    return;
  const bool Switching =
      Versions.Rollout && Versions.Order.Stage == VersionStage::Switching;
  To.step(ServingVersionChanged{Switching ? Versions.Rollout->version()
                                          : Versions.Serving},
          Now);
  To.step(VersionShareChanged{Versions.Serving, Switching ? 0.0 : 1.0}, Now);
  for (const VersionId Bad : Versions.TakenBack)
    To.step(VersionTripped{Bad}, Now);
  if (!Versions.Rollout || isFinal(Versions.Order.Stage))
    return;
  // The local-share arbiter has no count of other hosts' grants, so it must not
  // grant the new version.
  const bool Whole = &To == H.Pools[Pool].Whole.get();
  const double Share = Whole || Switching ? Versions.Order.Share : 0;
  To.step(VersionShareChanged{Versions.Rollout->version(), Share}, Now);
}

void observeVersion(ForwardHost &H, const ForwardCall &Call, const Usage &Used,
                    bool Failed) {
  PoolVersions &Versions = H.Pools[Call.Pool].Versions;
  AnswerObserved Seen;
  Seen.Version = Call.Version;
  Seen.Stratum.Route = Call.Route->Id;
  Seen.Failed = Failed;
  Seen.FirstTokenSeconds = toSeconds(Used.TimeToFirstToken);
  if (Used.OutputTokens > 1)
    Seen.SecondsPerToken =
        toSeconds(Used.Total - Used.TimeToFirstToken) / Used.OutputTokens;
  Versions.Guard.step(Seen);
}

void takeEvidence(ForwardHost &H, const EvidenceArrived &Arrived) {
  for (auto &[Pool, Held] : H.Pools) {
    PoolVersions &Versions = Held.Versions;
    if (!Versions.Rollout ||
        rolloutId(Pool, Versions.Rollout->version()) != Arrived.Rollout)
      continue;
    Versions.Rollout->add(Arrived.Cells);
    if (stewardHere(H, Pool))
      stepSteward(H, Pool);
  }
}

void learnOrder(ForwardHost &H, const VersionDecision &Order) {
  const auto Found = H.Pools.find(Order.Pool);
  if (Found == H.Pools.end())
    return;
  PoolVersions &Versions = Found->second.Versions;
  const bool Same = Versions.Rollout &&
                    Versions.Rollout->version() == Order.Version &&
                    !isFinal(Versions.Order.Stage);
  if (!Same || Order.Stage < Versions.Order.Stage)
    return;
  Versions.Rollout->merge(Order);
  putInForce(H, Order.Pool, Order);
}

std::vector<VersionDecision> ordersHere(const ForwardHost &H) {
  std::vector<VersionDecision> Orders;
  for (const auto &[Pool, Held] : H.Pools)
    if (Held.Versions.Rollout && stewardHere(H, Pool))
      Orders.push_back(Held.Versions.Order);
  return Orders;
}

void noteServingVersions(ForwardHost &H) {
  for (auto &[Pool, Held] : H.Pools) {
    PoolVersions &Versions = Held.Versions;
    const bool Gone = !anyServes(H, Pool, Versions.Serving);
    if (number(Versions.Serving) != 0 && !Gone)
      continue;
    const VersionId Common = commonVersion(H, Pool, Versions);
    if (number(Common) != 0)
      Versions.Serving = Common;
  }
}

void applyRollouts(ForwardHost &H, const std::vector<RolloutSpec> &Wanted) {
  H.OrdersKnown = true;
  for (const RolloutSpec &Each : Wanted) {
    PoolVersions &Versions = H.Pools[Each.Pool].Versions;
    const VersionId To = idOf<VersionId>(Each.Version);
    const bool Known = Versions.Rollout && Versions.Rollout->version() == To;
    if (!Known) {
      Versions.Rollout.emplace(Each.Pool, To, Each.Window, H.Loop.now(),
                               H.Bounds.Rollout);
      Versions.RolloutName = Each.Version;
      Versions.Order = VersionDecision{Each.Pool, To};
      Versions.Credit = 0;
      Versions.WrittenAny = false;
      LogLine("rollout_ordered")
          .with("pool", static_cast<std::int64_t>(number(Each.Pool)))
          .with("version", Each.Version)
          .with("window_ms",
                std::chrono::duration_cast<milliseconds>(Each.Window).count());
      if (Versions.Serving == To)
        Versions.Serving = commonVersion(H, Each.Pool, Versions);
      tellGuard(Each.Pool, Versions);
      tellTargets(H, Each.Pool);
    }
    if (!Each.Stage)
      continue;
    Versions.Written = *Each.Stage;
    Versions.WrittenAny = true;
    if (isFinal(*Each.Stage) && !isFinal(Versions.Order.Stage)) {
      VersionDecision Final{Each.Pool, To, *Each.Stage};
      Final.Share = *Each.Stage == VersionStage::Completed ? 1 : 0;
      Versions.Rollout->merge(Final);
      putInForce(H, Each.Pool, Final);
    }
  }
}

void tickVersions(ForwardHost &H) {
  std::vector<PoolId> Pools;
  for (const auto &[Pool, Held] : H.Pools)
    if (Held.Versions.Rollout)
      Pools.push_back(Pool);
  for (const PoolId Pool : Pools) {
    sendEvidenceOf(H, Pool);
    if (stewardHere(H, Pool))
      stepSteward(H, Pool);
  }
}

} // namespace marjorambay
