/// Events and actions of membership: which entry hosts live, who arbitrates
/// which pool, and what spreads with the heartbeats.
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

/// An entry host as its settings, a seed list or a heartbeat name it.
struct HostInfo {
  HostId Id{};
  std::string Address{}; ///< IP number and port of its peer socket
  ZoneId Zone{};
  RegionId Region{};
};

/// A host as another host last knew it.
struct KnownHost {
  HostInfo Host{};
  IncarnationId Incarnation{};
  Duration Age{}; ///< since the host itself was heard, over all hops
  bool Draining = false;
  Revision ConfigRevision{}; ///< that it had then
};

/// What is known of a target's life; spreads until every host has it. A larger
/// life wins; within one life, leaving wins.
struct LeavingNotice {
  TargetId Target{};
  IncarnationId Incarnation{}; ///< of the target; 0: not known
  bool Cleared = false; ///< this life is not leaving; it replaced one that left

  bool operator==(const LeavingNotice &) const = default;
};

/// A version whose fault has shown within a rollout; never untripped.
struct TrippedVersion {
  RolloutId Rollout{};
  VersionId Version{};
  WallTime RolloutStart{}; ///< start of the rollout; the oldest are dropped
                           ///< when full

  bool operator==(const TrippedVersion &) const = default;
  /// By age, the oldest first.
  bool operator<(const TrippedVersion &Other) const {
    return std::tie(RolloutStart, Rollout, Version) <
           std::tie(Other.RolloutStart, Other.Rollout, Other.Version);
  }
};

/// What a host tells of itself and of what it has heard.
struct Heartbeat {
  HostInfo Sender{};
  IncarnationId Incarnation{};
  std::uint64_t Sequence = 0; ///< rises with each heartbeat of a life
  Revision ConfigRevision{};
  bool Draining = false; ///< hands its arbiters over, takes no new requests
  std::uint64_t NoticesDigest = 0; ///< over all signs and trips of the sender
  std::uint8_t Hop = 0; ///< 0: on its own account; 1, 2: answers a heartbeat
  std::vector<LeavingNotice> LeavingNotices{}; ///< only while digests differ
  std::vector<TrippedVersion> TrippedVersions{};
  std::vector<KnownHost> KnownHosts{}; ///< a few other hosts, in rotation
  std::vector<RolloutView> Rollouts{}; ///< filled in by the sending daemon
};

// ---- Events -----------------------------------------------------------------

struct HeartbeatReceived {
  Heartbeat Message{};
};
/// The platform's list of live hosts; lags, so it is a hint.
struct HostListRead {
  std::vector<HostInfo> Live{};
};
struct LeavingNoticeReceived {
  LeavingNotice Notice{};
};
struct VersionFaultDetected {
  TrippedVersion Trip{};
};
/// A target showed the incarnation that it now has.
struct TargetIncarnationSeen {
  TargetId Target{};
  IncarnationId Incarnation{};
};
/// The targets of the configuration in force; signs of others are dropped.
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
  IncarnationId Incarnation{}; ///< lives up to this one are gone
};
/// A pool's arbiter, here or in another zone, may have changed: ask
/// arbiterOf().
struct ZoneViewChanged {};
/// A target is leaving, or is back in a newer life (Sign.Back).
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
/// This host did not run for a while: others may have taken its place, and
/// what it knows of them is old.
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
  std::vector<HostInfo> Seeds{}; ///< hosts to try first; any zone
  Duration HeartbeatInterval = milliseconds(500);
  /// Heartbeats a second to the own zone; larger zones beat more slowly.
  std::uint32_t MaxZoneHeartbeatsPerSecond = 32;
  std::uint32_t MissedToSuspect = 4;       ///< intervals of silence: no arbiter
  std::uint32_t MissedToLose = 10;         ///< intervals of silence: lost
  Duration RemoteLostAfter = seconds(120); ///< silence of hosts beyond the zone
  Duration ForgetAfter = minutes(10);      ///< a lost host is no longer probed
  std::uint32_t LinksPerInterval = 1;      ///< heartbeats beyond the zone
  std::uint32_t UrgentLinks = 3; ///< more of them at once when there is news
  std::uint32_t ProbesPerInterval = 2; ///< of hosts not heard, or lost
  std::uint32_t KnownPerHeartbeat = 2; ///< remote hosts relayed in the zone
  std::uint32_t KnownPerLink = 3;      ///< zone mates told beyond the zone
  std::uint32_t MaxSignsPerHeartbeat = 64;
  std::size_t MaxHosts = 2048;
  std::size_t MaxTrips = 256;
};

/// How surely a host is known to live.
enum class HostState : std::uint8_t {
  Live,
  Suspect, ///< silent for a while: arbitrates nothing, is still heard
  Lost,    ///< silent for long: its lives are over; probed until forgotten
};
template <>
inline constexpr std::array NamesOf<HostState> =
    std::to_array<std::string_view>({"live", "suspect", "lost"});
static_assert(NamesOf<HostState>.size() == 3);

/// A host as this one knows it.
struct Member {
  HostInfo Host{};
  IncarnationId Incarnation{};
  std::uint64_t Sequence = 0; ///< of the last heartbeat of this life
  HostState State = HostState::Live;
  bool Draining = false;
  bool Heard = false; ///< by a heartbeat of its own, not by hearsay
  Revision ConfigRevision{};
  std::uint64_t NoticesDigest = 0;
  TimePoint LastHeard{}; ///< from the host itself, over all hops
};

/// Membership as one host sees it. Random is drawn for links and probes.
///
/// Use: feed every event to step(), a MembershipTicked every 100 ms; perform
/// the actions in order; ask arbiterOf() again after ZoneViewChanged.
template <RandomSource Random> class BasicMembership {
public:
  BasicMembership(MembershipSettings Wanted, Random Source);

  MembershipActions step(const MembershipEvent &Event, TimePoint Now);

  /// Returns the host that arbitrates \p Pool in the own zone.
  HostId arbiterOf(PoolId Pool) const;
  /// Returns the host that probably arbitrates \p Pool in \p Zone, or nothing
  /// when no host of that zone is known. What is known of other zones lags.
  std::optional<HostId> arbiterOf(PoolId Pool, ZoneId Zone) const;
  /// Returns whether this host holds its zone's configuration watch.
  bool watchesConfig() const;

  const Member *member(HostId Id) const; ///< null: not known
  /// Returns every host but this one, lost ones included, by id.
  const std::map<HostId, Member> &members() const { return Members; }
  bool isLeaving(TargetId Target) const;
  bool isTripped(RolloutId Rollout, VersionId Version) const;
  bool draining() const { return Draining; }
  const MembershipSettings &settings() const { return Settings; }

private:
  MembershipSettings Settings;
  Random Source;
  std::map<HostId, Member> Members{};
  std::map<HostId, HostInfo> Candidates{}; ///< addresses not yet heard
  std::map<TargetId, LeavingNotice> Signs{};
  std::set<TrippedVersion> Trips{};
  std::vector<TargetId> RecentSigns{};       ///< newest last, bounded
  std::map<TargetId, IncarnationId> Lives{}; ///< as targets showed them here
  std::optional<std::set<TargetId>> Configured{};
  std::uint64_t SignsDigest = 0;
  std::uint64_t Sequence = 0;
  std::size_t SignCursor = 0;
  HostId KnownCursor{};
  std::vector<HostId> Relays{}; ///< remote hosts heard since the last round
  Revision ConfigRevision{};
  bool Draining = false;
  bool HasNews = false; ///< something urgent was learned since the last tick
  std::optional<TimePoint> LastTick{};
  TimePoint NextHeartbeat{};
  TimePoint NextUrgent{};
  std::vector<ZoneId> LinkOrder{}; ///< zones still to be linked to this round
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
  Admission admitSender(const Heartbeat &Beat, TimePoint Now);
  void joinSender(Member &Peer, const Heartbeat &Beat, TimePoint Now);
  void learnKnown(const Heartbeat &Beat, TimePoint Now);
  bool isSilent(Duration Silence) const;
  void suspectRemote(const KnownHost &Known, TimePoint Now);
  void learnRemote(const KnownHost &Known, TimePoint Now);
  void offerCandidate(const HostInfo &Host);
  bool learnSign(const LeavingNotice &Sign);
  bool learnTrip(const TrippedVersion &Trip);
  void eraseSign(TargetId Target);
  void learnSigns(const Heartbeat &Beat);
  void answerIfBehind(const Heartbeat &Beat, bool Joined, TimePoint Now);

  void noticePause(TimePoint Now);
  void judgeSilence(TimePoint Now);
  void judgeZoneMate(Member &Peer, Duration Silence, Duration Interval);
  void setState(Member &Peer, HostState State);
  void heartbeatRound(TimePoint Now);
  void heartbeatZone(TimePoint Now, bool OnlyBehind);
  bool isBehind(const Member &Peer) const;
  void heartbeatLinks(std::uint32_t Count, TimePoint Now);
  void probe(std::size_t Count, TimePoint Now);
  void spreadNews(TimePoint Now);
  const Member *drawLink();
  void refillLinkOrder();

  Heartbeat composeHeartbeat() const;
  void addSigns(Heartbeat &Beat);
  void addRelays(Heartbeat &Beat, TimePoint Now) const;
  static KnownHost knownAs(const Member &Peer, TimePoint Now);
  void addZoneMates(Heartbeat &Beat, std::size_t Count, TimePoint Now);
  const Member *newestSilentMate(TimePoint Now) const;
  void send(const HostInfo &To, Heartbeat Beat);
  std::optional<HostId> chooseIn(ZoneId Zone, std::uint64_t Key) const;
  std::optional<HostId> chooseIn(ZoneId Zone, std::uint64_t Key,
                                 bool AlsoDraining) const;
};

/// Draws from a SplitMix64 that the daemon seeds.
using Membership = BasicMembership<SplitMix64>;
extern template class BasicMembership<SplitMix64>;

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_MEMBERSHIP_H
