/// Which arbiter of a pool may grant requests to cold targets.
///
/// While the choice of an arbiter changes, or the network is partitioned,
/// several hosts may act as arbiters of a pool. Only one of them may grant
/// requests to cold targets, because each grants at their full rate: the one to
/// which more than half of the listed hosts have pledged the pool. A host
/// pledges a pool to one arbiter at a time.
///
/// Clocks are not compared. A pledge is part of a heartbeat that names the last
/// digest of the hub that the host has received, and holds for a fixed time
/// since the hub sent that digest. The host counts the same time from its
/// receipt, which is later, before it pledges to another hub.
///
/// [SECTION] Index
///   1. PacePledges   the pledges of one host
///   2. PaceLeases    the pledges that one hub has received
///   3. HeartbeatLog  when a host sent its last heartbeats
#ifndef MARJORAMBAY_COORDINATION_PACE_LEASE_H
#define MARJORAMBAY_COORDINATION_PACE_LEASE_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace marjorambay {

/// Time for which a pledge holds. A host follows a hub for as long without a
/// digest, so that it may pledge to the next one as soon as it follows that.
inline constexpr Duration PledgeTime = milliseconds(700);
/// Allowance for clocks that run at different rates.
inline constexpr Duration PledgeMargin = milliseconds(10);

// ---- Of one host ------------------------------------------------------------

class PacePledges {
public:
  /// \p StartedAt: start of this process. What an earlier one pledged is not
  /// known, so that nothing is pledged for PledgeTime.
  explicit PacePledges(TimePoint StartedAt = {}) : Started(StartedAt) {}

  /// Pledges \p Pool to \p Arbiter, from which the digest that the heartbeat
  /// names was received at \p DigestAt. Returns false if an earlier pledge to
  /// another host may still hold.
  bool pledge(PoolId Pool, HostId Arbiter, TimePoint DigestAt, TimePoint Now);
  /// Pledges \p Pool to this host itself.
  bool pledgeToSelf(PoolId Pool, HostId Self, TimePoint Now) {
    return pledge(Pool, Self, Now, Now);
  }

private:
  struct Pledge {
    HostId Arbiter{};
    TimePoint Until{};
  };
  TimePoint Started;
  std::map<PoolId, Pledge> Pledges{};
};

// ---- Of one hub -------------------------------------------------------------

class PaceLeases {
public:
  /// Records that a digest is about to be sent to \p To, as a reply to its
  /// heartbeat \p Sequence.
  void recordDigest(HostId To, std::uint64_t Sequence, TimePoint Now);
  /// Records a heartbeat with the pledges in it. \p DigestSequence names the
  /// last digest that its sender has received from this hub; 0 if none.
  void recordHeartbeat(HostId From, IncarnationId Incarnation,
                       std::uint64_t Sequence, std::uint64_t DigestSequence,
                       const std::vector<PoolId> &Pledged);

  /// Returns the sequence of the last heartbeat of this incarnation of
  /// \p From; 0 if there is none.
  std::uint64_t heardSequence(HostId From, IncarnationId Incarnation) const;
  /// Returns until when the pledges for \p Pool that hold at \p Now are more
  /// than half of \p Listed, which includes this host. \p PledgesItself:
  /// whether this host pledges the pool to itself. Nothing if they are not.
  std::optional<TimePoint> leaseUntil(PoolId Pool,
                                      const std::vector<HostId> &Others,
                                      bool PledgesItself, TimePoint Now) const;

private:
  static constexpr std::size_t DigestsKept = 8;
  struct Origin {
    IncarnationId Incarnation{};
    std::uint64_t Sequence = 0;
    std::set<PoolId> Pledged{};
    TimePoint Until{}; ///< end of the pledges
    /// Sequence and time of the last digests.
    std::array<std::pair<std::uint64_t, TimePoint>, DigestsKept> Digests{};
    std::size_t NextDigest = 0;
  };
  std::map<HostId, Origin> Origins{};
};

// ---- Heartbeats of one host -------------------------------------------------

/// Shows how old a message from a hub may be: it names the last heartbeat that
/// the hub had received.
class HeartbeatLog {
public:
  void record(std::uint64_t Sequence, TimePoint Now) {
    Sent[Sequence % Kept] = {Sequence, Now};
  }
  /// Returns when the heartbeat was sent; nothing if that is no longer known.
  std::optional<TimePoint> sentAt(std::uint64_t Sequence) const {
    const auto &[Known, At] = Sent[Sequence % Kept];
    return Sequence != 0 && Known == Sequence ? std::optional(At)
                                              : std::nullopt;
  }

private:
  static constexpr std::size_t Kept = 32;
  std::array<std::pair<std::uint64_t, TimePoint>, Kept> Sent{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_PACE_LEASE_H
