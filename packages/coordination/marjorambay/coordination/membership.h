/// Events and actions of membership: which entry hosts live, who arbitrates
/// which pool, and what spreads with the heartbeats.
#ifndef MARJORAMBAY_COORDINATION_MEMBERSHIP_H
#define MARJORAMBAY_COORDINATION_MEMBERSHIP_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <cstdint>
#include <string>
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

/// A target sign that spreads until every host has it.
struct LeavingTarget {
  TargetId Target{};
  Incarnation Life{}; ///< of the target; 0: not known
};

/// A version whose fault has shown within a rollout; never untripped.
struct TrippedVersion {
  RolloutId Rollout{};
  VersionId Version{};
};

/// What a host tells of itself and of what it has heard.
struct Heartbeat {
  HostInfo Sender{};
  Incarnation Life{};
  std::uint64_t Sequence = 0; ///< rises with each heartbeat of a life
  Revision ConfigRevision{};
  bool Draining = false; ///< hands its arbiters over, takes no new requests
  std::vector<LeavingTarget> Leaving{};
  std::vector<TrippedVersion> Tripped{};
  std::vector<HostInfo> Known{}; ///< a few other hosts, in rotation
};

// ---- Events -----------------------------------------------------------------

struct HeartbeatReceived {
  Heartbeat Beat{};
};
/// The platform's list of live hosts; lags, so it is a hint.
struct HostListRead {
  std::vector<HostInfo> Live{};
};
struct TargetSignSeen {
  LeavingTarget Sign{};
};
struct VersionFaultSeen {
  TrippedVersion Trip{};
};
struct RevisionAdopted {
  Revision ConfigRevision{};
};
struct DrainBegun {};
struct MembershipTicked {};

using MembershipEvent =
    std::variant<HeartbeatReceived, HostListRead, TargetSignSeen,
                 VersionFaultSeen, RevisionAdopted, DrainBegun,
                 MembershipTicked>;

// ---- Actions ----------------------------------------------------------------

struct SendHeartbeat {
  HostInfo To{};
  Heartbeat Beat{};
};
struct HostJoined {
  HostInfo Host{};
  Incarnation Life{};
};
struct HostLost {
  HostId Host{};
  Incarnation Life{}; ///< lives up to this one are gone
};
/// A pool's arbiter in the own zone may have changed: ask arbiterOf() again.
struct ZoneViewChanged {};
struct LearnedLeaving {
  LeavingTarget Sign{};
};
struct LearnedTrip {
  TrippedVersion Trip{};
};
/// A peer holds a newer configuration than this host.
struct NewerRevisionSeen {
  HostId Holder{};
  Revision ConfigRevision{};
};

using MembershipAction =
    std::variant<SendHeartbeat, HostJoined, HostLost, ZoneViewChanged,
                 LearnedLeaving, LearnedTrip, NewerRevisionSeen>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_MEMBERSHIP_H
