/// The fake network, platform and hosts.
#include "support/fake_fleet.h"

#include <algorithm>
#include <optional>
#include <sstream>

namespace marjorambay {

namespace {

constexpr Duration Tick = milliseconds(100);
constexpr Duration WatchLength = seconds(30);
constexpr Duration PlatformDelay = milliseconds(4);
constexpr Duration PlatformTimeout = seconds(1);

Result<ConfigManifest> parseFake(std::string_view Bytes) {
  ConfigManifest Manifest;
  if (!Bytes.starts_with("manifest ")) {
    Manifest.Document = Bytes;
    return Manifest;
  }
  std::istringstream In{std::string(Bytes.substr(9))};
  std::size_t Records = 0;
  std::size_t Parts = 0;
  In >> Records >> Parts;
  for (std::size_t Index = 0; Index < Records; ++Index) {
    std::uint64_t Id = 0;
    std::uint64_t Base = 0;
    In >> Id >> Base;
    Manifest.RecentProposals.push_back({Id, static_cast<Revision>(Base)});
  }
  for (std::size_t Index = 0; Index < Parts; ++Index) {
    ConfigPart Part;
    In >> Part.Digest >> Part.Size;
    Manifest.Parts.push_back(Part);
  }
  In.get();
  Manifest.Document.assign(std::istreambuf_iterator<char>(In), {});
  return Manifest;
}

std::string printFake(const ConfigManifest &Manifest) {
  std::ostringstream Text;
  Text << "manifest " << Manifest.RecentProposals.size() << ' '
       << Manifest.Parts.size();
  for (const ProposalRecord &Record : Manifest.RecentProposals)
    Text << ' ' << Record.Id << ' ' << number(Record.Base);
  for (const ConfigPart &Part : Manifest.Parts)
    Text << ' ' << Part.Digest << ' ' << Part.Size;
  Text << '\n' << Manifest.Document;
  return Text.str();
}

} // namespace

ConfigManifestCodec fakeManifestCodec() { return {parseFake, printFake}; }

// ---- Platform ---------------------------------------------------------------

ObjectRead FakePlatform::read(const ReadObject &Wanted) {
  ++Reads;
  if (!Up)
    return {Wanted.Call, false};
  const auto &Shown = shown();
  const auto Found = Shown.find(Wanted.Name);
  if (Found == Shown.end())
    return {Wanted.Call, true, false};
  return {Wanted.Call, true, true, Found->second.Version, Found->second.Bytes};
}

ObjectWritten FakePlatform::write(const WriteObject &Wanted) {
  ++Writes;
  if (!Up)
    return {Wanted.Call, WriteResult::Unknown};
  if (LoseRequests > 0) {
    --LoseRequests;
    return {Wanted.Call, WriteResult::Unknown};
  }
  Object &Target = Objects[Wanted.Name];
  if (Target.Version != Wanted.IfVersion && Wanted.IfVersion != AnyVersion)
    return {Wanted.Call, WriteResult::Conflict, Target.Version};
  if (Target.Version > 0)
    Before[Wanted.Name] = Target;
  ++Target.Version;
  Target.Bytes = Wanted.Bytes;
  if (LoseAnswers > 0) {
    --LoseAnswers;
    if (OnLostAnswer)
      OnLostAnswer();
    return {Wanted.Call, WriteResult::Unknown};
  }
  return {Wanted.Call, WriteResult::Committed, Target.Version};
}

const std::map<std::string, FakePlatform::Object> &FakePlatform::shown() const {
  if (Lags)
    return Before;
  return Stale ? Frozen : Objects;
}

ObjectVersion FakePlatform::versionOf(const std::string &Name) const {
  const auto &Shown = shown();
  const auto Found = Shown.find(Name);
  return Found == Shown.end() ? 0 : Found->second.Version;
}

const FakePlatform::Object *FakePlatform::find(const std::string &Name) const {
  const auto Found = Objects.find(Name);
  return Found == Objects.end() ? nullptr : &Found->second;
}

// ---- Fleet ------------------------------------------------------------------

FakeFleet::FakeFleet(FakeFleetOptions Wanted)
    : Options(std::move(Wanted)), Random(Options.Seed) {
  Hosts.resize(Options.Zones * Options.HostsPerZone);
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const std::size_t Zone = Index / Options.HostsPerZone;
    HostInfo &Info = Hosts[Index].Info;
    Info.Id = idOf<HostId>("entry-" + std::to_string(Index));
    Info.Address = "10." + std::to_string(Zone) + ".1." +
                   std::to_string(Index % Options.HostsPerZone) + ":7400";
    Info.Zone = idOf<ZoneId>("zone-" + std::to_string(Zone));
    Info.Region = idOf<RegionId>("region-" +
                                 std::to_string(Zone / Options.ZonesPerRegion));
    Indexes[Info.Id] = Index;
  }
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    start(Index);
}

void FakeFleet::start(std::size_t Index) {
  FakeHost &Host = Hosts[Index];
  Host.Life = static_cast<IncarnationId>(
      1 + static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  Host.Up = true;
  MembershipSettings Settings;
  Settings.Self = Host.Info;
  Settings.Incarnation = Host.Life;
  for (std::size_t Other = 0; Other < Hosts.size(); ++Other) {
    const bool IsSeed = Other % Options.HostsPerZone < Options.SeedHosts;
    if (Other != Index && (Options.JoinKnown || IsSeed))
      Settings.Seeds.push_back(Hosts[Other].Info);
  }
  Host.Members = std::make_unique<Membership>(std::move(Settings),
                                              SplitMix64(Random.next()));
  ConfigSyncSettings Sync;
  Sync.Self = Host.Info.Id;
  Sync.Incarnation = Host.Life;
  Sync.Codec = fakeManifestCodec();
  Host.Config = Options.MakeConfig(Sync);
  assignWatcher(Index);
  const Duration Phase = Duration(Random.next() % Tick.count());
  const IncarnationId Life = Host.Life;
  schedule(Index, Phase, [this, Index, Life] { tick(Index, Life); });
}

void FakeFleet::restart(std::size_t Index) {
  Hosts[Index].Adopted.clear();
  Hosts[Index].Leaving.clear();
  Hosts[Index].Tripped.clear();
  start(Index);
}

void FakeFleet::resume(std::size_t Index) {
  Hosts[Index].Paused = false;
  const IncarnationId Life = Hosts[Index].Life;
  schedule(Index, Duration(0), [this, Index, Life] { tick(Index, Life); });
}

void FakeFleet::cut(ZoneId Zone) {
  for (const FakeHost &Host : Hosts)
    if (Host.Info.Zone != Zone)
      CutZones.insert({Zone, Host.Info.Zone});
}

void FakeFleet::schedule(std::size_t Host, Duration After,
                         std::function<void()> Act) {
  Queue.push({Now + After, ++Order, Host, std::move(Act)});
}

void FakeFleet::run(Duration Length) {
  const TimePoint End = Now + Length;
  while (!Queue.empty() && Queue.top().At <= End) {
    const Item Next = Queue.top();
    Queue.pop();
    Now = Next.At;
    Next.Act();
  }
  Now = End;
}

Duration FakeFleet::runUntil(const std::function<bool()> &Condition,
                             Duration Limit) {
  const TimePoint Begin = Now;
  while (!Condition()) {
    if (Now - Begin >= Limit)
      return Duration(-1);
    run(milliseconds(20));
  }
  return Now - Begin;
}

void FakeFleet::tick(std::size_t Index, IncarnationId Life) {
  FakeHost &Host = Hosts[Index];
  if (!Host.Up || Host.Paused || Host.Life != Life)
    return;
  schedule(Index, Tick, [this, Index, Life] { tick(Index, Life); });
  feed(Index, MembershipEvent(MembershipTicked{}));
  feed(Index, ConfigSyncEvent(ConfigTicked{}));
  answerWatches();
}

void FakeFleet::feed(std::size_t Index, const MembershipEvent &Event) {
  perform(Index, Hosts[Index].Members->step(Event, Now));
  if (AfterStep)
    AfterStep(Hosts[Index]);
}

void FakeFleet::feed(std::size_t Index, const ConfigSyncEvent &Event) {
  perform(Index, Hosts[Index].Config->step(Event, Now));
  if (AfterStep)
    AfterStep(Hosts[Index]);
}

void FakeFleet::assignWatcher(std::size_t Index) {
  FakeHost &Host = Hosts[Index];
  const bool Watches = Host.Members->watchesConfig();
  if (Watches != Host.Config->watching())
    feed(Index, ConfigSyncEvent(WatcherRoleChanged{Watches}));
}

bool FakeFleet::reaches(std::size_t From, std::size_t To) const {
  const ZoneId Here = Hosts[From].Info.Zone;
  const ZoneId There = Hosts[To].Info.Zone;
  return !CutZones.contains({Here, There}) && !CutZones.contains({There, Here});
}

bool FakeFleet::reachesPlatform(std::size_t Index) const {
  return !NoPlatform.contains(Hosts[Index].Info.Zone);
}

/// Messages to a paused host wait for it, as bytes in its sockets do.
void FakeFleet::deliver(std::size_t From, std::size_t To,
                        const std::function<void()> &Act) {
  if (!reaches(From, To) || drawLoss())
    return;
  const bool Near = Hosts[From].Info.Region == Hosts[To].Info.Region;
  const auto Jitter = static_cast<std::uint64_t>(ExtraJitter.count()) + 1000;
  const Duration Delay =
      (Near ? milliseconds(1) : milliseconds(40)) + ExtraDelay;
  for (int Copy = 0; Copy < (Duplicates ? 2 : 1); ++Copy)
    schedule(To, Delay + Duration(Random.next() % Jitter), [this, To, Act] {
      if (Hosts[To].Up && !Hosts[To].Paused)
        Act();
    });
}

void FakeFleet::perform(std::size_t Index, const MembershipActions &Actions) {
  for (const MembershipAction &Action : Actions) {
    FakeHost &Host = Hosts[Index];
    if (const auto *Send = std::get_if<SendHeartbeat>(&Action)) {
      const std::size_t To = Indexes.at(Send->To.Id);
      const std::uint64_t Size =
          HeartbeatSize ? HeartbeatSize(Send->Message) : 0;
      Host.BytesSent += Size;
      ++Host.MessagesSent;
      Heartbeat Beat = Send->Message;
      if (Options.ForgetSigns != Duration(0)) {
        Beat.LeavingNotices.clear();
        Beat.TrippedVersions.clear();
      }
      deliver(Index, To, [this, To, Size, Beat = std::move(Beat)] {
        Hosts[To].BytesReceived += Size;
        ++Hosts[To].MessagesReceived;
        feed(To, MembershipEvent(HeartbeatReceived{Beat}));
      });
    }
    if (const auto *Seen = std::get_if<NewerRevisionSeen>(&Action))
      feed(Index, ConfigSyncEvent(
                      NewerConfigSeen{Seen->Holder, Seen->ConfigRevision}));
    if (std::holds_alternative<ZoneViewChanged>(Action))
      assignWatcher(Index);
    if (const auto *Gone = std::get_if<HostLost>(&Action))
      Host.Lost.push_back(Gone->Host);
    if (std::holds_alternative<LocalPauseDetected>(Action))
      ++Host.Pauses;
    if (const auto *Trip = std::get_if<TripRecorded>(&Action))
      Host.Tripped.insert(Trip->Trip.Version);
    if (const auto *Sign = std::get_if<LeavingNoticeRecorded>(&Action)) {
      if (Sign->Notice.Cleared)
        Host.Leaving.erase(Sign->Notice.Target);
      else
        Host.Leaving.insert(Sign->Notice.Target);
    }
    if (Options.ForgetSigns != Duration(0))
      learnOnce(Index, Action);
  }
}

/// The naive way with signs: told to every host once, forgotten by a timer.
void FakeFleet::learnOnce(std::size_t Index, const MembershipAction &Action) {
  const auto *Sign = std::get_if<LeavingNoticeRecorded>(&Action);
  const auto *Trip = std::get_if<TripRecorded>(&Action);
  if (!Sign && !Trip)
    return;
  for (std::size_t To = 0; To < Hosts.size(); ++To)
    deliver(Index, To, [this, To, Action] {
      if (const auto *Told = std::get_if<LeavingNoticeRecorded>(&Action))
        Hosts[To].Leaving.insert(Told->Notice.Target);
      if (const auto *Told = std::get_if<TripRecorded>(&Action))
        Hosts[To].Tripped.insert(Told->Trip.Version);
      schedule(To, Options.ForgetSigns, [this, To] {
        Hosts[To].Leaving.clear();
        Hosts[To].Tripped.clear();
      });
    });
}

void FakeFleet::perform(std::size_t Index, const ConfigSyncActions &Actions) {
  const IncarnationId Life = Hosts[Index].Life;
  const auto Answer = [&](Duration After, ConfigSyncEvent Event) {
    schedule(Index, After, [this, Index, Life, Event = std::move(Event)] {
      if (Hosts[Index].Up && Hosts[Index].Life == Life)
        feed(Index, Event);
    });
  };
  const bool Reachable = reachesPlatform(Index) && Platform.Up;
  const Duration Delay = Reachable ? PlatformDelay : PlatformTimeout;
  for (const ConfigSyncAction &Action : Actions) {
    FakeHost &Host = Hosts[Index];
    if (const auto *Adopt = std::get_if<AdoptConfig>(&Action)) {
      Host.Adopted.push_back(Adopt->Rev);
      feed(Index, MembershipEvent(RevisionAdopted{Adopt->Rev}));
    }
    if (const auto *Fetch = std::get_if<FetchConfigFromPeer>(&Action)) {
      const std::size_t To = Indexes.at(Fetch->Holder);
      const ConfigRequested Asked{Host.Info.Id, Fetch->KnownRevision};
      deliver(Index, To,
              [this, To, Asked] { feed(To, ConfigSyncEvent(Asked)); });
    }
    if (const auto *Send = std::get_if<SendConfig>(&Action)) {
      const std::size_t To = Indexes.at(Send->To);
      const std::uint64_t Size = ConfigSize ? ConfigSize(Send->Content) : 0;
      Host.BytesSent += Size;
      deliver(Index, To, [this, To, Size, Content = Send->Content] {
        Hosts[To].BytesReceived += Size;
        feed(To, ConfigSyncEvent(Content));
      });
    }
    if (const auto *Read = std::get_if<ReadObject>(&Action))
      Answer(Delay,
             Reachable ? Platform.read(*Read) : ObjectRead{Read->Call, false});
    if (const auto *Write = std::get_if<WriteObject>(&Action))
      Answer(Delay, Reachable
                        ? Platform.write(*Write)
                        : ObjectWritten{Write->Call, WriteResult::Unknown});
    if (const auto *Wanted = std::get_if<WatchObject>(&Action))
      Watches.push_back({Index, *Wanted, Now + WatchLength});
    if (const auto *Told = std::get_if<AnswerProposal>(&Action))
      Host.Answers[Told->ProposalId] = Told->Outcome;
  }
  answerWatches();
}

void FakeFleet::answerWatches() {
  std::vector<Watch> Waiting;
  Waiting.swap(Watches);
  for (const Watch &Watched : Waiting) {
    const bool Reachable = reachesPlatform(Watched.Host) && Platform.Up;
    const bool Changed =
        Platform.versionOf(Watched.Wanted.Name) > Watched.Wanted.AfterVersion;
    if (Reachable && !Changed && Now < Watched.Until) {
      Watches.push_back(Watched);
      continue;
    }
    ObjectRead Read{Watched.Wanted.Call, Reachable};
    if (Reachable && Changed)
      Read = Platform.read({Watched.Wanted.Call, Watched.Wanted.Name});
    const IncarnationId Life = Hosts[Watched.Host].Life;
    schedule(Watched.Host, PlatformDelay,
             [this, Host = Watched.Host, Life, Read = std::move(Read)] {
               if (Hosts[Host].Up && Hosts[Host].Life == Life)
                 feed(Host, ConfigSyncEvent(WatchReturned{Read}));
             });
  }
}

} // namespace marjorambay
