/// Zones that requests must not reach: evacuated ones, and those outside of a
/// request's home regions.
#include "forward_host.h"

#include <algorithm>

namespace marjorambay {

namespace {

struct ZoneContent {
  std::set<PoolId> Pools{};
  std::int64_t Targets = 0;
  std::int64_t Slots = 0;
  std::int64_t SlotsElsewhere = 0; ///< of these pools, in zones not evacuated
  std::int64_t InProgress = 0;     ///< requests of this host
};

ZoneContent contentOf(const ForwardHost &H, ZoneId Zone) {
  ZoneContent Content;
  for (const auto &[Id, Target] : H.Targets)
    if (Target.Zone == Zone) {
      Content.Pools.insert(Target.Pool);
      ++Content.Targets;
      Content.Slots += Target.Slots;
      const auto Local = H.LocalTargets.find(Id);
      Content.InProgress +=
          Local == H.LocalTargets.end() ? 0 : Local->second.InFlight;
    }
  for (const auto &[Id, Target] : H.Targets)
    if (Target.Zone != Zone && isServing(H, Target) &&
        Content.Pools.count(Target.Pool) != 0)
      Content.SlotsElsewhere += Target.Slots;
  return Content;
}

void addContent(const ForwardHost &H, const ZoneContent &Content,
                LogLine &Line) {
  const ObjectMirror &Mirror =
      H.Mirrors[static_cast<std::size_t>(ObjectKind::Evacuations)];
  Line.with("targets", Content.Targets)
      .with("slots", Content.Slots)
      .with("pools", static_cast<std::int64_t>(Content.Pools.size()))
      .with("slots_elsewhere", Content.SlotsElsewhere)
      .with("in_progress", Content.InProgress)
      .with("era", static_cast<std::int64_t>(Mirror.position().Era))
      .with("revision", static_cast<std::int64_t>(Mirror.position().Revision));
}

bool hasHomeRegions(const ForwardCall &Call) {
  const ForwardAccount *Account = Call.Table->account(Call.Account);
  return !Call.Route->AllowedRegions.empty() ||
         (Account != nullptr && !Account->AllowedRegions.empty());
}

/// Whether the home regions of the call's route and of its account allow a
/// target in \p Zone.
bool isHome(const ForwardHost &H, const ForwardCall &Call, ZoneId Zone) {
  const ForwardAccount *Account = Call.Table->account(Call.Account);
  return H.Regions.allows(Zone, Call.Route->AllowedRegions) &&
         (Account == nullptr ||
          H.Regions.allows(Zone, Account->AllowedRegions));
}

/// Refuses the requests that wait for a slot and may no longer get one.
void refuseWaiting(ForwardHost &H) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Call] : H.Calls)
    if (Call.Stage == CallStage::Waiting)
      Ids.push_back(Id);
  for (const RequestId Id : Ids)
    if (ForwardCall *Call = findCall(H, Id))
      refuseOutOfReach(H, *Call);
}

} // namespace

bool mirrorsKind(const ForwardHost &H, ObjectKind Kind) {
  return Kind != ObjectKind::Evacuations || H.Settings.Evacuations;
}

void readZoneRegions(ForwardHost &H) {
  for (const std::string &Text : H.Settings.ZoneRegions)
    for (const std::string &Entry : H.Regions.add(Text))
      LogLine("zone_region_skipped", LogLevel::Warning).with("entry", Entry);
}

bool knowsEvacuations(const ForwardHost &H) {
  return !H.Settings.Evacuations || H.Evacuations.known();
}

bool isServing(const ForwardHost &H, const ListedTarget &Target) {
  return !Target.Leaving && !H.Evacuations.evacuated(Target.Zone);
}

bool isInReach(const ForwardHost &H, const ForwardCall &Call,
               const ListedTarget &Target) {
  return isServing(H, Target) && isHome(H, Call, Target.Zone);
}

bool maySend(const ForwardHost &H, const ForwardCall &Call,
             const ListedTarget &Target) {
  return isInReach(H, Call, Target) && isOpen(H, Target);
}

std::vector<ZoneId> closedZones(const ForwardHost &H, const ForwardCall &Call) {
  std::vector<ZoneId> Closed = H.Evacuations.zones();
  if (!hasHomeRegions(Call))
    return Closed;
  for (const ZoneId Zone : H.TargetZones)
    if (!isHome(H, Call, Zone) && !H.Evacuations.evacuated(Zone))
      Closed.push_back(Zone);
  return Closed;
}

bool refuseOutOfReach(ForwardHost &H, ForwardCall &Call) {
  if (H.Evacuations.empty() && !hasHomeRegions(Call))
    return false;
  std::int64_t Evacuated = 0;
  std::int64_t Elsewhere = 0; // outside of the home regions
  for (const auto &[Id, Target] : H.Targets) {
    if (Target.Pool != Call.Pool || Target.Leaving)
      continue;
    if (isInReach(H, Call, Target))
      return false;
    ++(H.Evacuations.evacuated(Target.Zone) ? Evacuated : Elsewhere);
  }
  if (Evacuated + Elsewhere == 0)
    return false; // the pool has no targets at all
  if (Call.Stage != CallStage::Waiting)
    return true; // it was for a replacement
  LogLine("request_out_of_reach")
      .with("request", Call.Name)
      .with("route", Call.Route->Name)
      .with("account", Call.AccountName)
      .with("evacuated_targets", Evacuated)
      .with("targets_outside_home", Elsewhere);
  H.Stats.add(HostCounter::ZoneRefusals);
  failCall(H, Call, ErrorKind::NoTarget, NoTargetRetryAfter);
  return true;
}

void recordReturnedGrant(ForwardHost &H, ForwardCall &Call,
                         const ListedTarget &Target) {
  LogLine("zone_grant_returned")
      .with("request", Call.Name)
      .with("target", Target.Name)
      .with("cause", H.Evacuations.evacuated(Target.Zone) ? "evacuated"
                                                          : "home_regions");
  H.Stats.add(HostCounter::ZoneGrantsReturned);
  Call.ReturnedTargets.push_back(Target.Id);
}

bool isVersionEvacuated(const ForwardHost &H, PoolId Pool, VersionId Version) {
  bool AnyEvacuated = false;
  for (const auto &[Id, Target] : H.Targets) {
    if (Target.Pool != Pool || Target.Version != Version || Target.Leaving)
      continue;
    if (!H.Evacuations.evacuated(Target.Zone))
      return false;
    AnyEvacuated = true;
  }
  return AnyEvacuated;
}

void applyEvacuations(ForwardHost &H, const std::set<std::string> &Zones) {
  const TimePoint Now = H.Loop.now();
  const ZoneEvacuations Before = H.Evacuations;
  const EvacuationChanges Changes = H.Evacuations.replaceAll(Zones, Now);
  if (Changes.empty())
    return;
  std::set<PoolId> Pools;
  const auto Describe = [&](LogLine &Line, const std::string &Zone) {
    const ZoneContent Content = contentOf(H, idOf<ZoneId>(Zone));
    addContent(H, Content, Line);
    Pools.insert(Content.Pools.begin(), Content.Pools.end());
  };
  for (const std::string &Zone : Changes.Began)
    Describe(LogLine("zone_evacuated", LogLevel::Warning).with("zone", Zone),
             Zone);
  for (const std::string &Zone : Changes.Ended) {
    const TimePoint Since = Before.since(idOf<ZoneId>(Zone)).value_or(Now);
    const auto Lasted = std::chrono::duration_cast<milliseconds>(Now - Since);
    Describe(LogLine("zone_evacuation_ended", LogLevel::Warning)
                 .with("zone", Zone)
                 .with("lasted_ms", Lasted.count()),
             Zone);
    // They may have become cold while they got no requests.
    markZoneCold(H, idOf<ZoneId>(Zone));
  }
  for (const PoolId Pool : Pools)
    publishTargets(H, Pool);
  if (!Changes.Began.empty())
    refuseWaiting(H);
}

std::string evacuationMetrics(const ForwardHost &H) {
  const auto Targets = std::count_if(
      H.Targets.begin(), H.Targets.end(), [&H](const auto &Entry) {
        return H.Evacuations.evacuated(Entry.second.Zone);
      });
  return "# TYPE marjorambay_evacuated_zones gauge\n"
         "marjorambay_evacuated_zones " +
         std::to_string(H.Evacuations.size()) +
         "\n# TYPE marjorambay_evacuated_targets gauge\n"
         "marjorambay_evacuated_targets " +
         std::to_string(Targets) + "\n";
}

} // namespace marjorambay
