/// Caps the share of requests that go to versions under rollout.
#ifndef MARJORAMBAY_COORDINATION_VERSION_SHARE_H
#define MARJORAMBAY_COORDINATION_VERSION_SHARE_H

#include "marjorambay/state/ids.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace marjorambay {

/// Of n grants, at most floor(Share * n) go to a version under rollout, for
/// every n from the first grant on. Of the requests in flight it gets the same
/// share, but at least one. Shares are counted in integers, and unused credit
/// is bounded.
class VersionShare {
public:
  /// Sets the version that needs no share. Until it is set, every version
  /// without a share is uncapped.
  void setServing(VersionId Version) { Serving = Version; }
  void setShare(VersionId Version, double Share);
  void trip(VersionId Version) { Tripped.insert(Version); }
  bool tripped(VersionId Version) const { return Tripped.count(Version) != 0; }

  /// Returns whether \p Version gets requests without a cap; true of the
  /// versions that provide most of the pool's capacity.
  bool uncapped(VersionId Version) const;

  /// Returns whether \p Version may get any requests, now or later.
  bool usable(VersionId Version) const;

  /// Returns whether the next request may go to \p Version.
  bool allows(VersionId Version) const;

  /// Returns whether \p Version is under rollout and has credit, so that the
  /// next request of any kind should go to it: a choice by load would bias the
  /// comparison with the old version.
  bool due(VersionId Version) const {
    return !uncapped(Version) && allows(Version);
  }

  /// Records a grant to \p Version.
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
