/// Objects of the platform: hubs watch the platform, the other hosts follow the
/// hubs.
///
/// Each watch costs calls of the platform, whose permitted rates grow more
/// slowly than the fleet. A digest has the revision of a hub's last change; a
/// host that lacks it pulls the newer objects from the hub over a keep-alive
/// connection.
#include "forward_host.h"

#include "marjorambay/coordination/rendezvous.h"

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

void handlePullEnd(ForwardHost &H, ObjectKind Kind, KeepAliveOutcome Outcome) {
  ObjectPull &Pull = pullOf(H, Kind);
  Pull.InFlight = false;
  const bool Complete =
      Outcome == KeepAliveOutcome::Complete && Pull.Status == 200;
  Result<ObjectFeed> Feed = parseFeed(Pull.Body);
  if (Complete && ok(Feed)) {
    Pull.Failures = 0;
    Pull.BehindSince = TimePoint{};
    return applyFeed(H, Kind, value(Feed));
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

void startPull(ForwardHost &H, const ForwardPeer &Hub, ObjectKind Kind) {
  ObjectPull &Pull = pullOf(H, Kind);
  Pull.InFlight = true;
  Pull.Status = 0;
  Pull.Body.clear();
  KeepAliveCall Request;
  Request.Address = Hub.Address;
  Request.RequestTarget = FeedPath + std::string(nameOf(Kind)) + "?since=" +
                          std::to_string(mirrorOf(H, Kind).revision());
  Request.Headers = {{"Host", "peer"}};
  Request.ConnectTimeout = PullTimeout;
  Request.HeadTimeout = PullTimeout;
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

/// Responds to a pull of a host that follows this one.
void handlePullRequest(ForwardHost &H, CallerRequest &Request) {
  std::string_view Target = Request.Head.RequestTarget;
  const std::size_t Query = Target.find("?since=");
  std::uint64_t KnownRevision = 0;
  const bool WellFormed =
      Target.starts_with(FeedPath) && Query != std::string_view::npos;
  const auto Kind = WellFormed ? parseEnum<ObjectKind>(Target.substr(
                                     FeedPath.size(), Query - FeedPath.size()))
                               : std::nullopt;
  if (!Kind || !mirrorOf(H, *Kind).initialized())
    return H.ObjectServer.answer(Request.Id, 404, {}, "");
  const std::string_view Since = Target.substr(Query + 7);
  std::from_chars(Since.data(), Since.data() + Since.size(), KnownRevision);
  ObjectFeed Feed = mirrorOf(H, *Kind).since(KnownRevision);
  Feed.SettlingTime = H.Directory.settlingTime(H.Loop.now());
  H.ObjectServer.answer(Request.Id, 200,
                        {{"Content-Type", "application/x-protobuf"}},
                        serializeFeed(Feed));
}

} // namespace

Result<Done> startObjects(ForwardHost &H) {
  const Result<SocketAddress> Address = parseAddress(H.Settings.PeerAddress);
  if (!ok(Address))
    return error(Address);
  H.ObjectServer.RequestArrived.connect(
      [&H](CallerRequest &Request) { handlePullRequest(H, Request); });
  H.ObjectServer.RequestRejected.connect(
      [&H](ExchangeId Exchange, const HttpHead &, ErrorKind Why) {
        H.ObjectServer.answer(Exchange, traitsOf(Why).HttpStatus, {}, "");
      });
  const auto Port = H.ObjectServer.listen(value(Address));
  if (!ok(Port))
    return error(Port);
  return Done{};
}

std::array<std::uint64_t, ObjectKindCount> feedRevisions(const ForwardHost &H) {
  std::array<std::uint64_t, ObjectKindCount> All{};
  for (std::size_t Kind = 0; Kind < ObjectKindCount; ++Kind)
    All[Kind] = H.Mirrors[Kind].lastChangeRevision();
  return All;
}

bool isWatchHealthy(const ForwardHost &H) {
  return H.Watching && H.PlatformRespondedAt != TimePoint{} &&
         H.Loop.now() - H.PlatformRespondedAt < PlatformTimeout;
}

void recordPlatformResponse(ForwardHost &H) {
  H.PlatformRespondedAt = H.Loop.now();
  H.Stats.add(HostCounter::PlatformReads);
}

void applyFeed(ForwardHost &H, ObjectKind Kind, const ObjectFeed &Feed) {
  const TimePoint Now = H.Loop.now();
  if (Feed.SettlingTime.count() > 0)
    H.Directory.settleUntil(Now + Feed.SettlingTime);
  ObjectMirror &Mirror = mirrorOf(H, Kind);
  const bool First = !Mirror.initialized();
  const std::vector<ObjectRecord> Changes = Mirror.apply(Feed);
  if (Changes.empty() && !First)
    return;
  H.ObjectsChanged.emit(Kind, Changes);
  if (H.DigestDue)
    return;
  H.DigestDue = true;
  H.Loop.defer([&H]() {
    H.DigestDue = false;
    sendDigests(H);
  });
}

void pullFromHub(ForwardHost &H, HostId Hub, const FleetDigest &Digest) {
  const TimePoint Now = H.Loop.now();
  const bool Preferred = preferredHub(H) == Hub;
  for (std::size_t Index = 0; Index < ObjectKindCount; ++Index) {
    const auto Kind = static_cast<ObjectKind>(Index);
    ObjectPull &Pull = pullOf(H, Kind);
    if (Digest.FeedRevisions[Index] <= mirrorOf(H, Kind).lastChangeRevision())
      continue;
    if (Pull.BehindSince == TimePoint{})
      Pull.BehindSince = Now;
    const bool Due = Preferred || Now - Pull.BehindSince > PreferredHubDelay;
    if (Due && !Pull.InFlight)
      startPull(H, H.Fleet[Hub], Kind);
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
  for (const ObjectMirror &Mirror : H.Mirrors)
    Initialized = Initialized && Mirror.initialized();
  const bool ShouldWatch =
      IsHub || !HubAvailable || !Initialized || Now < H.WatchUntil;
  if (ShouldWatch == H.Watching) {
    if (IsHub)
      H.WatchRequested.emit(true); // other hosts depend on this watch
    return;
  }
  H.Watching = ShouldWatch;
  LogLine("platform_source").with("from", ShouldWatch ? "platform" : "hubs");
  H.WatchRequested.emit(ShouldWatch);
}

} // namespace marjorambay
