/// Objects of the platform: hubs watch the platform, the other hosts follow the
/// hubs.
///
/// Each watch costs calls of the platform, whose permitted rates grow more
/// slowly than the fleet. A digest has the revision of a hub's last change; a
/// host that lacks it pulls the newer objects from the hub over a keep-alive
/// connection.
#include "forward_host.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>
#include <charconv>

namespace marjorambay {

namespace {

const std::string FeedPath = "/objects/";

/// A watch without a response of the platform for this long is not healthy; a
/// watch waits for 0.7 s at most. Together with the heartbeat interval, this
/// bounds how long hosts follow hubs that the platform rejects; a configuration
/// must arrive within two seconds.
constexpr Duration PlatformTimeout = milliseconds(1200);
/// A hub that has not reported a healthy watch for this long is not followed.
constexpr Duration WatchReportTimeout = milliseconds(800);
/// A hub that does not respond to a pull in this time is down or unreachable.
constexpr Duration PullTimeout = milliseconds(600);
/// From the head to the last byte of a pull.
constexpr Duration PullBodyTimeout = seconds(2);
constexpr std::size_t MaxPullBytes = 8 << 20;
/// Changes that the preferred hub has not reported by then are pulled from
/// another hub.
constexpr Duration PreferredHubDelay = milliseconds(200);
constexpr std::uint32_t PullFailuresBeforeWatch = 3;
constexpr Duration WatchAfterFailures = seconds(5);

ObjectMirror &mirrorOf(ForwardHost &H, ObjectKind Kind) {
  return H.Mirrors[static_cast<std::size_t>(Kind)];
}

ObjectPull &pullOf(ForwardHost &H, ObjectKind Kind) {
  return H.Pulls[static_cast<std::size_t>(Kind)];
}

/// Logs which host, or the store, has said that objects are gone. One that is
/// dropped wrongly may not change again, and so not return.
void logRemovals(ObjectKind Kind, const ObjectFeed &Feed,
                 std::string_view Sender, StorePosition Known,
                 const std::vector<ObjectRecord> &Changes) {
  const auto Removed =
      std::count_if(Changes.begin(), Changes.end(),
                    [](const ObjectRecord &Change) { return Change.Removed; });
  if (Removed == 0)
    return;
  LogLine("objects_removed")
      .with("kind", nameOf(Kind))
      .with("objects", static_cast<std::int64_t>(Removed))
      .with("from", Sender)
      .with("by", Feed.IsSnapshot ? "snapshot" : "change")
      .with("revision", static_cast<std::int64_t>(Feed.At.Revision))
      .with("known", static_cast<std::int64_t>(Known.Revision));
}

void handlePullEnd(ForwardHost &H, ObjectKind Kind, KeepAliveOutcome Outcome) {
  ObjectPull &Pull = pullOf(H, Kind);
  Pull.InFlight = false;
  const bool Complete =
      Outcome == KeepAliveOutcome::Complete && Pull.Status == 200;
  Result<ObjectFeed> Feed = parseFeed(Pull.Body);
  if (Complete && ok(Feed)) {
    Pull.Failures = 0;
    Pull.BehindSince = TimePoint{};
    return applyFeed(H, Kind, value(Feed), formatAddress(Pull.Hub));
  }
  LogLine("feed_failed", LogLevel::Warning)
      .with("kind", nameOf(Kind))
      .with("end", nameOf(Outcome))
      .with("status", Pull.Status);
  if (++Pull.Failures < PullFailuresBeforeWatch)
    return;
  Pull.Failures = 0;
  H.WatchUntil = H.Loop.now() + WatchAfterFailures;
}

/// Pulls what \p Hub has after \p Known; a snapshot if its revision is 0.
void startPull(ForwardHost &H, const ForwardPeer &Hub, ObjectKind Kind,
               StorePosition Known) {
  ObjectPull &Pull = pullOf(H, Kind);
  Pull.InFlight = true;
  Pull.Hub = Hub.Address;
  Pull.Status = 0;
  Pull.Body.clear();
  KeepAliveCall Request;
  Request.Address = Hub.Address;
  Request.Reserved = true;
  Request.RequestTarget = FeedPath + std::string(nameOf(Kind)) +
                          "?since=" + std::to_string(Known.Revision) +
                          "&era=" + std::to_string(Known.Era);
  Request.Headers = {{"Host", "peer"}};
  Request.ConnectTimeout = PullTimeout;
  Request.HeadTimeout = PullTimeout;
  Request.BodyTimeout = PullBodyTimeout;
  Request.MaxBodyBytes = MaxPullBytes;
  Request.Timeouts.Unacknowledged = PullTimeout;
  Request.OnHead = [&Pull](CallId, const HttpHead &Head) {
    Pull.Status = Head.Status;
  };
  Request.OnBody = [&Pull](CallId, std::string_view Bytes) {
    Pull.Body.append(Bytes);
  };
  Request.OnEnd = [&H, Kind](CallId, KeepAliveOutcome Outcome) {
    handlePullEnd(H, Kind, Outcome);
  };
  Pull.Call = H.Client.start(std::move(Request));
}

/// Copies all objects of a kind anew if those of the hubs differ. Of two hosts
/// that watch the platform, either may be wrong, so both list the objects.
void repairMirror(ForwardHost &H, ObjectKind Kind) {
  const TimePoint Now = H.Loop.now();
  MirrorComparison &Comparison = H.Comparisons[static_cast<std::size_t>(Kind)];
  const std::optional<HostId> Hub = Comparison.repairDue(Now);
  const bool Lists = H.Source != ObjectSource::Hubs;
  if (!Hub || (Lists ? !isWatchHealthy(H) : Comparison.anyEqual(Now)))
    return;
  Comparison.recordRepair(Now);
  H.Stats.add(HostCounter::MirrorRepairs);
  const ObjectMirror &Mirror = mirrorOf(H, Kind);
  LogLine("mirrors_differ", LogLevel::Warning)
      .with("kind", nameOf(Kind))
      .with("hub", formatAddress(H.Fleet[*Hub].Address))
      .with("objects", static_cast<std::int64_t>(Mirror.size()))
      .with("revision", static_cast<std::int64_t>(Mirror.position().Revision))
      .with("differed_ms", std::chrono::duration_cast<milliseconds>(
                               Comparison.differedFor(*Hub, Now))
                               .count())
      .with("repair", Lists ? "list" : "snapshot");
  if (Lists)
    H.ListRequested.emit(Kind);
  else
    startPull(H, H.Fleet[*Hub], Kind, StorePosition{});
}

/// Returns the hub that this host pulls from first. It differs by host, so that
/// not all hosts pull from the fastest hub.
HostId preferredHub(const ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  RendezvousChoice<HostId> Choice(number(H.Self.Id));
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.FreshAt != TimePoint{} && Now - Peer.FreshAt < WatchReportTimeout)
      Choice.consider(Id);
  return Choice.found() ? Choice.best() : HostId{};
}

/// Parses "REVISION&era=ERA". Hosts of earlier releases send no era and are
/// served by revision alone, as before.
StorePosition parseKnownPosition(std::string_view Text,
                                 std::uint64_t DefaultEra) {
  constexpr std::string_view EraField = "&era=";
  StorePosition Known{DefaultEra, 0};
  const char *End = Text.data() + Text.size();
  std::from_chars(Text.data(), End, Known.Revision);
  const std::size_t Era = Text.find(EraField);
  if (Era != std::string_view::npos)
    std::from_chars(Text.data() + Era + EraField.size(), End, Known.Era);
  return Known;
}

/// Responds to a pull of a host that follows this one.
void handlePullRequest(ForwardHost &H, CallerRequest &Request) {
  std::string_view Target = Request.Head.RequestTarget;
  const std::size_t Query = Target.find("?since=");
  const bool WellFormed =
      Target.starts_with(FeedPath) && Query != std::string_view::npos;
  const auto Kind = WellFormed ? parseEnum<ObjectKind>(Target.substr(
                                     FeedPath.size(), Query - FeedPath.size()))
                               : std::nullopt;
  if (!Kind || !mirrorOf(H, *Kind).initialized())
    return H.ObjectServer.answer(Request.Id, 404, {}, "");
  const ObjectMirror &Mirror = mirrorOf(H, *Kind);
  ObjectFeed Feed = Mirror.since(
      parseKnownPosition(Target.substr(Query + 7), Mirror.position().Era));
  Feed.SettlingTime = H.Directory.settlingTime(H.Loop.now());
  H.ObjectServer.answer(Request.Id, 200,
                        {{"Content-Type", "application/x-protobuf"}},
                        serializeFeed(Feed));
}

/// Records that objects of a kind are of a new era of the store.
void recordRestore(ForwardHost &H, ObjectKind Kind, StorePosition Before) {
  const ObjectMirror &Mirror = mirrorOf(H, Kind);
  LogLine("store_restored", LogLevel::Warning)
      .with("kind", nameOf(Kind))
      .with("era", static_cast<std::int64_t>(Mirror.position().Era))
      .with("was_era", static_cast<std::int64_t>(Before.Era))
      .with("revision", static_cast<std::int64_t>(Mirror.position().Revision))
      .with("was_revision", static_cast<std::int64_t>(Before.Revision))
      .with("retained", static_cast<std::int64_t>(Mirror.retained()));
  if (Mirror.position().Era <= H.StoreEra)
    return; // another kind was listed first
  H.Stats.add(HostCounter::StoreRestores);
  // The coordinators write the stages of their rollouts again.
  for (auto &[Pool, State] : H.Pools)
    State.Versions.HasWrittenStage = false;
  H.StoreRestored.emit();
}

} // namespace

Result<Done> startObjects(ForwardHost &H) {
  const Result<SocketAddress> Address = parseAddress(H.Settings.PeerAddress);
  if (!ok(Address))
    return error(Address);
  const auto Port = H.ObjectServer.listen(value(Address));
  if (!ok(Port))
    return error(Port);
  H.ObjectServer.RequestArrived.connect(
      [&H](CallerRequest &Request) { handlePullRequest(H, Request); });
  H.ObjectServer.RequestRejected.connect(
      [&H](ExchangeId Exchange, const HttpHead &, ErrorKind Why) {
        H.ObjectServer.answer(Exchange, traitsOf(Why).HttpStatus, {}, "");
      });
  return Done{};
}

std::array<StorePosition, ObjectKindCount> feedPositions(const ForwardHost &H) {
  std::array<StorePosition, ObjectKindCount> All{};
  for (std::size_t Kind = 0; Kind < ObjectKindCount; ++Kind)
    All[Kind] = H.Mirrors[Kind].lastChange();
  return All;
}

std::array<std::uint32_t, ObjectKindCount> contentHashes(const ForwardHost &H) {
  std::array<std::uint32_t, ObjectKindCount> All{};
  for (std::size_t Kind = 0; Kind < ObjectKindCount; ++Kind)
    All[Kind] = H.Mirrors[Kind].contentHash();
  return All;
}

bool knowsLatestEra(const ForwardHost &H, const FleetDigest &Digest) {
  for (std::size_t Index = 0; Index < ObjectKindCount; ++Index) {
    const auto Kind = static_cast<ObjectKind>(Index);
    if (mirrorsKind(H, Kind) && Digest.FeedPositions[Index].Era < H.StoreEra)
      return false;
  }
  // A hub of an earlier release, or with other settings, has no evacuations.
  const auto Evacuations = static_cast<std::size_t>(ObjectKind::Evacuations);
  return !H.Settings.Evacuations ||
         Digest.FeedPositions[Evacuations].Revision != 0;
}

bool isWatchHealthy(const ForwardHost &H) {
  return H.Source != ObjectSource::Hubs &&
         H.PlatformRespondedAt != TimePoint{} &&
         H.Loop.now() - H.PlatformRespondedAt < PlatformTimeout;
}

Duration platformContact(const ForwardHost &H) {
  if (!isWatchHealthy(H))
    return Duration(0);
  // A suspended process doesn't notice an outage.
  return H.Loop.now() - std::max(H.PlatformContactSince, H.Loop.resumedAt());
}

void limitSettling(ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  if (isWatchHealthy(H))
    H.Directory.platformRespondedSince(Now - platformContact(H));
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.PlatformContactSince != TimePoint{} &&
        Now - Peer.FreshAt < WatchReportTimeout)
      H.Directory.platformRespondedSince(Peer.PlatformContactSince);
  if (H.Directory.expireMissing(Now))
    applyTargets(H);
}

void recordPlatformResponse(ForwardHost &H) {
  if (H.PlatformRespondedAt == TimePoint{} ||
      H.Loop.now() - H.PlatformRespondedAt >= PlatformTimeout)
    H.PlatformContactSince = H.Loop.now();
  H.PlatformRespondedAt = H.Loop.now();
  H.Stats.add(HostCounter::PlatformReads);
}

void recordPlatformReturn(ForwardHost &H) {
  H.PlatformContactSince = H.Loop.now();
}

void applyFeed(ForwardHost &H, ObjectKind Kind, const ObjectFeed &Feed,
               std::string_view Sender) {
  const TimePoint Now = H.Loop.now();
  if (Feed.SettlingTime.count() > 0) {
    H.Directory.settleUntil(Now + Feed.SettlingTime);
    limitSettling(H);
  }
  ObjectMirror &Mirror = mirrorOf(H, Kind);
  const bool First = !Mirror.initialized();
  const StorePosition Before = Mirror.position();
  const std::vector<ObjectRecord> Changes = Mirror.apply(Feed, Now);
  logRemovals(Kind, Feed, Sender, Before, Changes);
  // A hub that still has newer changes says so in its next digest. Without
  // this, a host whose own watch was faster than the pull would count as behind
  // until the next change, and would not give retained objects up meanwhile.
  pullOf(H, Kind).BehindSince = TimePoint{};
  const bool Restored = Mirror.position().Era > Before.Era;
  if (Restored && !First)
    recordRestore(H, Kind, Before);
  H.StoreEra = std::max(H.StoreEra, Mirror.position().Era);
  if (Changes.empty() && !First && !Restored)
    return;
  if (!Changes.empty() || First)
    H.ObjectsChanged.emit(Kind, Changes);
  if (H.DigestDue)
    return;
  H.DigestDue = true;
  H.Loop.defer([&H]() {
    H.DigestDue = false;
    sendDigests(H);
  });
}

void expireRetainedObjects(ForwardHost &H) {
  TimePoint HeardAt = H.PlatformRespondedAt;
  for (const auto &[Id, Peer] : H.Fleet)
    HeardAt = std::max(HeardAt, Peer.FreshAt);
  for (std::size_t Index = 0; Index < ObjectKindCount; ++Index) {
    const auto Kind = static_cast<ObjectKind>(Index);
    if (pullOf(H, Kind).BehindSince != TimePoint{})
      continue; // a hub has changes that this host lacks
    const auto Changes = mirrorOf(H, Kind).expireRetained(HeardAt);
    if (Changes.empty())
      continue;
    LogLine("restored_objects_in_force", LogLevel::Warning)
        .with("kind", nameOf(Kind))
        .with("objects", static_cast<std::int64_t>(Changes.size()));
    H.ObjectsChanged.emit(Kind, Changes);
  }
}

void pullFromHub(ForwardHost &H, HostId Hub, const FleetDigest &Digest) {
  const TimePoint Now = H.Loop.now();
  const bool Preferred = preferredHub(H) == Hub;
  for (std::size_t Index = 0; Index < ObjectKindCount; ++Index) {
    const auto Kind = static_cast<ObjectKind>(Index);
    ObjectPull &Pull = pullOf(H, Kind);
    if (!mirrorsKind(H, Kind))
      continue;
    if (!mirrorOf(H, Kind).lacks(Digest.FeedPositions[Index]))
      continue;
    if (Pull.BehindSince == TimePoint{})
      Pull.BehindSince = Now;
    const bool Due = Preferred || Now - Pull.BehindSince > PreferredHubDelay;
    if (Due && !Pull.InFlight)
      startPull(H, H.Fleet[Hub], Kind, mirrorOf(H, Kind).position());
  }
}

void compareWithHub(ForwardHost &H, HostId Hub, const FleetDigest &Digest) {
  const bool Fresh = H.Fleet[Hub].FreshAt != TimePoint{};
  for (std::size_t Index = 0; Index < ObjectKindCount; ++Index) {
    const auto Kind = static_cast<ObjectKind>(Index);
    if (!mirrorsKind(H, Kind))
      continue;
    H.Comparisons[Index].record(Hub, mirrorOf(H, Kind).contentHash(),
                                Fresh ? Digest.ContentHashes[Index] : 0,
                                H.Loop.now());
    if (!pullOf(H, Kind).InFlight &&
        !mirrorOf(H, Kind).lacks(Digest.FeedPositions[Index]))
      repairMirror(H, Kind);
  }
}

void selectObjectSource(ForwardHost &H, bool IsHub) {
  const TimePoint Now = H.Loop.now();
  bool HubAvailable = false;
  for (const auto &[Id, Peer] : H.Fleet)
    HubAvailable =
        HubAvailable || (Peer.FreshAt != TimePoint{} && Peer.Listed &&
                         Now - Peer.FreshAt < WatchReportTimeout);
  bool Initialized = true;
  for (std::size_t Kind = 0; Kind < ObjectKindCount; ++Kind)
    Initialized = Initialized && (H.Mirrors[Kind].initialized() ||
                                  !mirrorsKind(H, ObjectKind(Kind)));
  const ObjectSource Source =
      IsHub || !Initialized || Now < H.WatchUntil ? ObjectSource::Platform
      : HubAvailable                              ? ObjectSource::Hubs
                     : ObjectSource::PlatformWithoutHubs;
  if (Source == H.Source) {
    if (IsHub)
      H.WatchRequested.emit(Source); // other hosts depend on this watch
    return;
  }
  H.Source = Source;
  LogLine("platform_source").with("from", nameOf(Source));
  H.WatchRequested.emit(Source);
}

} // namespace marjorambay
