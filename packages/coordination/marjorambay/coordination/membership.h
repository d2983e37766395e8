/// Fleet membership by gossip: which entry hosts are alive, which host
/// arbitrates which pool, and the leaving notices and trips that spread with
/// heartbeats.
#ifndef MARJORAMBAY_COORDINATION_MEMBERSHIP_H
#define MARJORAMBAY_COORDINATION_MEMBERSHIP_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/random.h"
#include "marjorambay/state/rollout_state.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace marjorambay {

/// Identity and address of an entry host, from settings, a seed list or a
/// heartbeat.
struct HostInfo {
  HostId Id{};
  std::string Address{}; ///< IP address and port of its peer socket
  ZoneId Zone{};
  RegionId Region{};
};

/// Indirect report of a host, relayed by another host.
struct KnownHost {
  HostInfo Host{};
  IncarnationId Incarnation{};
  /// Time since the host itself was heard, summed over all hops.
  Duration Age{};
  bool Draining = false;
  Revision ConfigRevision{}; ///< revision that the host had at that time
};

/// Notice that an incarnation of a target is leaving, or that a newer one has
/// replaced it; spreads until every host has it. A higher incarnation wins;
/// within one incarnation, leaving wins.
struct LeavingNotice {
  TargetId Target{};
  IncarnationId Incarnation{}; ///< of the target; 0 if unknown
  /// This incarnation is not leaving; it replaced one that left.
  bool Cleared = false;

  bool operator==(const LeavingNotice &) const = default;
};

/// A version found faulty within a rollout. A trip is never undone.
struct TrippedVersion {
  RolloutId Rollout{};
  VersionId Version{};
  /// When full, trips of the oldest rollouts are dropped.
  WallTime RolloutStart{};

  bool operator==(const TrippedVersion &) const = default;
  /// Orders by the start of the rollout, oldest first.
  bool operator<(const TrippedVersion &Other) const {
    return std::tie(RolloutStart, Rollout, Version) <
           std::tie(Other.RolloutStart, Other.Rollout, Other.Version);
  }
};

/// State of the sending host, and what it has received from others.
struct Heartbeat {
  HostInfo Sender{};
  IncarnationId Incarnation{};
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t Sequence = 0;
  Revision ConfigRevision{};
  /// Hands over its arbiters and accepts no new requests.
  bool Draining = false;
  /// Digest over all leaving notices and trips of the sender.
  std::uint64_t NoticesDigest = 0;
  std::uint8_t Hop = 0; ///< 0 if unsolicited; 1 or 2 in replies
  /// Sent only while the digests differ.
  std::vector<LeavingNotice> LeavingNotices{};
  std::vector<TrippedVersion> TrippedVersions{};
  std::vector<KnownHost> KnownHosts{};
  std::vector<RolloutView> Rollouts{}; ///< set by the sending daemon
};

// ---- Events -----------------------------------------------------------------

struct HeartbeatReceived {
  Heartbeat Message{};
};
/// The platform's list of live hosts. It lags behind, so it is only a hint.
struct HostListRead {
  std::vector<HostInfo> Live{};
};
struct LeavingNoticeReceived {
  LeavingNotice Notice{};
};
struct VersionFaultDetected {
  TrippedVersion Trip{};
};
/// A target reported its current incarnation.
struct TargetIncarnationSeen {
  TargetId Target{};
  IncarnationId Incarnation{};
};
/// The targets of the configuration in force; notices about other targets are
/// dropped.
struct TargetsConfigured {
  std::vector<TargetId> Targets{};
};
struct RevisionAdopted {
  Revision ConfigRevision{};
};
struct HostDrainStarted {};
struct MembershipTicked {};

using MembershipEvent =
    std::variant<HeartbeatReceived, HostListRead, LeavingNoticeReceived,
                 TargetIncarnationSeen, TargetsConfigured, VersionFaultDetected,
                 RevisionAdopted, HostDrainStarted, MembershipTicked>;

// ---- Actions ----------------------------------------------------------------

struct SendHeartbeat {
  HostInfo To{};
  Heartbeat Message{};
};
struct HostJoined {
  HostInfo Host{};
  IncarnationId Incarnation{};
};
struct HostLost {
  HostId Host{};
  IncarnationId Incarnation{}; ///< this and all lower incarnations are lost
};
/// A pool's arbiter, in this or another zone, may have changed: call
/// arbiterOf() again.
struct ZoneViewChanged {};
/// A target is leaving, or a newer incarnation has replaced it
/// (Notice.Cleared).
struct LeavingNoticeRecorded {
  LeavingNotice Notice{};
};
struct TripRecorded {
  TrippedVersion Trip{};
};
/// A peer holds a newer configuration than this host.
struct NewerRevisionSeen {
  HostId Holder{};
  Revision ConfigRevision{};
};
/// This host did not run for a while: other hosts may have taken over its
/// roles, and its state of them is outdated.
struct LocalPauseDetected {
  Duration Gap{};
};

using MembershipAction =
    std::variant<SendHeartbeat, HostJoined, HostLost, ZoneViewChanged,
                 LeavingNoticeRecorded, TripRecorded, NewerRevisionSeen,
                 LocalPauseDetected>;
using MembershipActions = std::vector<MembershipAction>;

// ---- State ------------------------------------------------------------------

struct MembershipSettings {
  HostInfo Self{};
  IncarnationId Incarnation{};
  std::vector<HostInfo> Seeds{}; ///< hosts to contact first, in any zone
  Duration HeartbeatInterval = milliseconds(500);
  /// Heartbeats per second to the own zone; larger zones use a longer interval.
  std::uint32_t MaxZoneHeartbeatsPerSecond = 32;
  std::uint32_t SuspectAfterMissed = 4; ///< missed intervals until Suspect
  std::uint32_t LostAfterMissed = 10;   ///< missed intervals until Lost
  /// Time without contact, for hosts of other zones.
  Duration RemoteLostAfter = seconds(120);
  Duration ForgetAfter = minutes(10); ///< lost hosts are probed until then
  std::uint32_t LinksPerInterval = 1; ///< heartbeats to other zones
  std::uint32_t UrgentLinks = 3; ///< additional ones sent with urgent updates
  std::uint32_t ProbesPerInterval = 2;   ///< of candidates and lost hosts
  std::uint32_t RelayedPerHeartbeat = 2; ///< remote hosts relayed to zone peers
  std::uint32_t ZonePeersPerLink = 3;    ///< zone peers reported to other zones
  std::uint32_t MaxNoticesPerHeartbeat = 64;
  std::size_t MaxHosts = 2048;
  std::size_t MaxTrips = 256;
};

/// Liveness of a host as seen from this one.
enum class HostState : std::uint8_t {
  Live,
  Suspect, ///< missed heartbeats: arbitrates nothing, but still gets heartbeats
  Lost,    ///< its incarnations are considered dead; probed until forgotten
};
template <>
inline constexpr std::array NamesOf<HostState> =
    std::to_array<std::string_view>({"live", "suspect", "lost"});
static_assert(NamesOf<HostState>.size() == 3);

/// State of another host, as seen from this one.
struct Member {
  HostInfo Host{};
  IncarnationId Incarnation{};
  std::uint64_t Sequence = 0; ///< of the last heartbeat of this incarnation
  HostState State = HostState::Live;
  bool Draining = false;
  /// Has sent a heartbeat itself; false if known from indirect reports only.
  bool HeardDirectly = false;
  Revision ConfigRevision{};
  std::uint64_t NoticesDigest = 0;
  /// Time of the last heartbeat of the host, also if reported indirectly.
  TimePoint LastHeard{};
};

/// Membership as one host sees it. Random numbers choose the destinations of
/// cross-zone heartbeats and probes.
///
/// Usage: pass every event to step(), with a MembershipTicked every 100 ms;
/// perform the actions in order; call arbiterOf() again after ZoneViewChanged.
template <RandomSource Random> class BasicMembership {
public:
  BasicMembership(MembershipSettings InitialSettings, Random Rng);

  MembershipActions step(const MembershipEvent &Event, TimePoint Now);

  /// Returns the host that arbitrates \p Pool in this host's zone.
  HostId arbiterOf(PoolId Pool) const;
  /// Returns the host that probably arbitrates \p Pool in \p Zone, or nothing
  /// if no host of that zone is known. The view of other zones may be outdated.
  std::optional<HostId> arbiterOf(PoolId Pool, ZoneId Zone) const;
  /// Returns whether this host holds its zone's configuration watch.
  bool watchesConfig() const;

  const Member *member(HostId Id) const; ///< null if unknown
  /// Returns all hosts except this one, including lost ones, by id.
  const std::map<HostId, Member> &members() const { return Members; }
  bool isLeaving(TargetId Target) const;
  bool isTripped(RolloutId Rollout, VersionId Version) const;
  bool draining() const { return Draining; }
  const MembershipSettings &settings() const { return Settings; }

private:
  MembershipSettings Settings;
  Random Rng;
  std::map<HostId, Member> Members{};
  std::map<HostId, HostInfo> Candidates{}; ///< hosts not heard from yet
  std::map<TargetId, LeavingNotice> Notices{};
  std::set<TrippedVersion> Trips{};
  /// Newest last; at most MaxRecentNotices.
  std::vector<TargetId> RecentNotices{};
  /// Incarnations that the targets reported to this host.
  std::map<TargetId, IncarnationId> KnownIncarnations{};
  std::optional<std::set<TargetId>> Configured{};
  std::uint64_t NoticesDigest = 0;
  std::uint64_t Sequence = 0;
  std::size_t NoticeCursor = 0;
  HostId ZonePeerCursor{};
  /// Remote hosts heard since the last heartbeat round.
  std::vector<HostId> Relays{};
  Revision ConfigRevision{};
  bool Draining = false;
  bool HasUrgentUpdates = false; ///< urgent updates are pending
  std::optional<TimePoint> LastTick{};
  TimePoint NextHeartbeat{};
  TimePoint NextUrgent{};
  /// Zones that still get a heartbeat in this rotation.
  std::vector<ZoneId> LinkOrder{};
  MembershipActions Out{};

  void on(const HeartbeatReceived &Event, TimePoint Now);
  void on(const HostListRead &Event, TimePoint Now);
  void on(const LeavingNoticeReceived &Event, TimePoint Now);
  void on(const TargetIncarnationSeen &Event, TimePoint Now);
  void on(const TargetsConfigured &Event, TimePoint Now);
  void on(const VersionFaultDetected &Event, TimePoint Now);
  void on(const RevisionAdopted &Event, TimePoint Now);
  void on(const HostDrainStarted &Event, TimePoint Now);
  void on(const MembershipTicked &Event, TimePoint Now);

  bool isSelf(HostId Id) const { return Id == Settings.Self.Id; }
  bool inOwnZone(const HostInfo &Host) const {
    return Host.Zone == Settings.Self.Zone;
  }
  Duration heartbeatInterval() const;
  std::size_t zonePeerCount() const;

  enum class Admission : std::uint8_t { Refused, Known, Joined };
  Admission admitSender(const Heartbeat &Message, TimePoint Now);
  void joinSender(Member &Peer, const Heartbeat &Message, TimePoint Now);
  void mergeKnownHosts(const Heartbeat &Message, TimePoint Now);
  bool exceedsSuspectTimeout(Duration SinceHeard) const;
  void suspectRemote(const KnownHost &Report, TimePoint Now);
  void mergeRemoteHost(const KnownHost &Report, TimePoint Now);
  void offerCandidate(const HostInfo &Host);
  bool recordNotice(const LeavingNotice &Notice);
  bool recordTrip(const TrippedVersion &Trip);
  void eraseNotice(TargetId Target);
  void recordUpdates(const Heartbeat &Message);
  void replyIfBehind(const Heartbeat &Message, bool Joined, TimePoint Now);

  void detectPause(TimePoint Now);
  void updateLiveness(TimePoint Now);
  void updateZonePeer(Member &Peer, Duration SinceHeard, Duration Interval);
  void setState(Member &Peer, HostState State);
  void heartbeatRound(TimePoint Now);
  void heartbeatZone(TimePoint Now, bool OnlyBehind);
  bool isBehind(const Member &Peer) const;
  void heartbeatLinks(std::uint32_t Count, TimePoint Now);
  void probe(std::size_t Count, TimePoint Now);
  void sendUrgentUpdates(TimePoint Now);
  const Member *pickLinkPeer();
  void refillLinkOrder();

  Heartbeat composeHeartbeat() const;
  void addNotices(Heartbeat &Message);
  void addRelays(Heartbeat &Message, TimePoint Now) const;
  static KnownHost toKnownHost(const Member &Peer, TimePoint Now);
  void addZonePeers(Heartbeat &Message, std::size_t Count, TimePoint Now);
  const Member *latestUnresponsivePeer(TimePoint Now) const;
  void send(const HostInfo &To, Heartbeat Message);
  std::optional<HostId> chooseIn(ZoneId Zone, std::uint64_t Key) const;
  std::optional<HostId> chooseIn(ZoneId Zone, std::uint64_t Key,
                                 bool AlsoDraining) const;
};

/// Uses a SplitMix64 generator that the daemon seeds.
using Membership = BasicMembership<SplitMix64>;
extern template class BasicMembership<SplitMix64>;

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_MEMBERSHIP_H
