/// Arbiters by availability zone: when a pool is divided, which host arbitrates
/// for a zone, and which other zone serves a reservation that its own zone
/// can't serve in time.
///
/// [SECTION] Index
///   1. ZoneAggregate   what an arbiter tells the pool's other arbiters
///   2. ZoneLending     choice of another zone for a reservation
///   3. PoolDivision    whether a pool is divided by zone
///   4. zoneCandidates  hosts that may arbitrate for a zone
#ifndef MARJORAMBAY_COORDINATION_ZONE_LENDING_H
#define MARJORAMBAY_COORDINATION_ZONE_LENDING_H

#include "marjorambay/coordination/requests.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marjorambay {

// ---- [SECTION] ZoneAggregate ------------------------------------------------

/// Interval at which an arbiter of a divided pool that has work sends its
/// aggregate to the pool's other arbiters, and also after its work has ended as
/// long as theirs are received.
inline constexpr Duration ZoneAggregateInterval = milliseconds(100);
/// An aggregate is not used beyond this age: four lost ones.
inline constexpr Duration MaxZoneAggregateAge = milliseconds(500);

/// The state of one zone of a divided pool. All counts are of slots.
struct ZoneAggregate {
  ZoneId Zone{};
  std::uint32_t FreeSlots = 0;     ///< that its own queue leaves
  std::uint32_t DeclaredSlots = 0; ///< of usable targets; 0: none is usable
  std::uint32_t Queued = 0;
  /// Slots that become free in a second while all are in use; 0 if unknown.
  std::uint32_t SlotsPerSecond = 0;
  /// Expected wait of a request that is queued now, by tier.
  std::array<Duration, MaxTiers> ExpectedWait{};
};

// ---- [SECTION] ZoneLending --------------------------------------------------

/// Wait of a zone that serves nothing.
inline constexpr Duration EndlessWait = Duration::max();

/// What one arbiter knows of the pool's other zones.
class ZoneLending {
public:
  /// Records the aggregate of another zone. \p Age: since it was made, at
  /// least the time that it spent in transit. One that is older than what is
  /// known of the zone is ignored.
  void learn(const ZoneAggregate &Aggregate, Duration Age, TimePoint Now);

  /// Returns the zone with the earliest expected start for \p Request, if it
  /// starts within a quarter of \p OwnLimit and earlier than \p OwnWait, the
  /// expected wait in this zone. If \p OwnWait is EndlessWait, some zone with
  /// usable targets is returned, in proportion to what the zones have free.
  /// Counts the request against the zone's free slots until its next aggregate.
  ///
  /// Returns nothing for a request that was redirected before.
  std::optional<ZoneId> choose(const Reservation &Request, Duration OwnWait,
                               Duration OwnLimit, TimePoint Now);

  /// Counts a request that is redirected to \p Zone for another reason.
  void recordRedirect(ZoneId Zone);

  /// Returns the zones whose aggregate may be used and that have usable
  /// targets, in order of their ids.
  std::vector<ZoneId> usableZones(TimePoint Now) const;

  /// Returns the expected wait of a request of \p Tier that is redirected to
  /// \p Zone now, or EndlessWait.
  Duration expectedWait(ZoneId Zone, TierRank Tier, TimePoint Now) const;

private:
  struct ZoneState {
    ZoneAggregate Latest{};
    TimePoint MadeAt{};
    std::uint32_t Redirected = 0; ///< since MadeAt
    /// Share of the proportional redirects that the zone is owed.
    double Credit = 0;
  };
  std::optional<ZoneId> chooseInProportion(const Reservation &Request,
                                           Duration OwnLimit, TimePoint Now);
  static bool isUsable(const ZoneState &State, TimePoint Now);
  static Duration waitAt(const ZoneState &State, TierRank Tier);

  std::map<ZoneId, ZoneState> Zones{};
};

// ---- [SECTION] PoolDivision -------------------------------------------------

/// Whether a pool is divided by zone, by the number of its listed targets. A
/// pool that is divided remains so until it has lost a fifth of the minimum, so
/// that targets that come and go do not move its arbiters.
class PoolDivision {
public:
  /// \p MinTargets: 0 if no pool is divided.
  explicit PoolDivision(std::size_t MinTargets = 0) : Minimum(MinTargets) {}

  /// Returns whether the pool is divided now that \p Listed targets are listed.
  bool update(std::size_t Listed);
  bool divided() const { return Divided; }

private:
  std::size_t Minimum;
  bool Divided = false;
};

// ---- [SECTION] zoneCandidates -----------------------------------------------

/// A host that may arbitrate for its zone.
struct ZoneHost {
  HostId Id{};
  ZoneId Zone{};
  double Capacity = 1; ///< relative
};

/// Number of hosts of a zone that may arbitrate for it.
inline constexpr std::size_t MaxZoneCandidates = 3;

/// Returns the candidates of \p Zone among \p Hosts, largest capacity class
/// first: hosts within a factor of two are equal, and their order is by hash.
/// \p Hosts should include this host, and none that is draining.
std::vector<HostId> zoneCandidates(const std::vector<ZoneHost> &Hosts,
                                   ZoneId Zone);

/// Returns the arbiter of (\p Pool, \p Zone) among the candidates that respond;
/// nothing if there is none.
std::optional<HostId> zoneArbiter(PoolId Pool, ZoneId Zone,
                                  const std::vector<HostId> &Responding);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ZONE_LENDING_H
