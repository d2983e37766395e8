/// Caps the requests that go to versions under rollout.
#ifndef MARJORAMBAY_COORDINATION_VERSION_SHARE_H
#define MARJORAMBAY_COORDINATION_VERSION_SHARE_H

#include "marjorambay/state/ids.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace marjorambay {

/// Of n grants, at most floor(Share * n) go to a version under rollout, from
/// the first one on, and the same share of the slots in flight, or one. Counted
/// in integers. Credit that was not used does not pile up.
class VersionShare {
public:
  /// Names the version that needs no share. Until one is named, every version
  /// without a share is open.
  void setServing(VersionId Version) { Serving = Version; }
  void setShare(VersionId Version, double Share);
  void trip(VersionId Version) { Tripped.insert(Version); }
  bool tripped(VersionId Version) const { return Tripped.count(Version) != 0; }

  /// Returns whether \p Version needs no share: most of the pool's capacity.
  bool uncapped(VersionId Version) const;

  /// Returns whether \p Version may get any requests, now or in its turn.
  bool usable(VersionId Version) const;

  /// Returns whether the next request may go to \p Version.
  bool allows(VersionId Version) const;

  /// Returns whether \p Version is under rollout and its turn has come, so that
  /// the next request should go to it whatever its kind: a choice by load
  /// would bias the comparison with the old version.
  bool due(VersionId Version) const {
    return !uncapped(Version) && allows(Version);
  }

  /// Counts a request that was granted to \p Version.
  void recordGrant(VersionId Version);
  void recordCompletion(VersionId Version);

private:
  struct Rollout {
    std::uint64_t PartsPerMillion = 0;
    std::uint64_t Credit = 0; ///< in millionths of a request
    std::uint64_t InFlight = 0;
  };
  std::optional<VersionId> Serving{};
  std::unordered_map<VersionId, Rollout> Rollouts{};
  std::unordered_set<VersionId> Tripped{};
  std::uint64_t InFlight = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_VERSION_SHARE_H
