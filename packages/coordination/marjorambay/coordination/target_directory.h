/// Targets that a host may send requests to, from the platform's list.
///
/// A removed entry means that its target is leaving, except shortly after a
/// platform outage: entries expire during the outage and are written again
/// after it, so that a missing entry is ignored until SettleTime has passed.
///
/// A target may also say itself that it is leaving. That holds for its
/// incarnation whatever the platform lists, now or later, because a list may be
/// older.
#ifndef MARJORAMBAY_COORDINATION_TARGET_DIRECTORY_H
#define MARJORAMBAY_COORDINATION_TARGET_DIRECTORY_H

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/state/address.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjorambay {

/// A target as listed by the platform.
struct ListedTarget {
  std::string Name{}; ///< unique; usually names one incarnation of a target
  TargetId Id{};      ///< hash of Name
  PoolId Pool{};
  SocketAddress Address{};
  ZoneId Zone{};
  std::string VersionName{};
  VersionId Version{}; ///< hash of VersionName
  std::uint32_t Slots = 1;
  IncarnationId Incarnation{};
  bool Leaving = false;
  std::optional<Duration> WarmupLeft{}; ///< when the entry was written
  std::uint64_t Revision = 0;           ///< of the entry; 0 if unknown
  /// Without the remaining time and the revision, which change often and
  /// concern no one but those that pace the target.
  bool operator==(const ListedTarget &Other) const;
};

struct TargetDirectorySettings {
  /// The platform guarantees that expired entries are written again within this
  /// time after an outage.
  Duration SettleTime = seconds(2);
};

class TargetDirectory {
public:
  explicit TargetDirectory(TargetDirectorySettings InitialSettings = {})
      : Settings(InitialSettings) {}

  /// Replaces the directory by the full list, as read now.
  void replaceAll(const std::vector<ListedTarget> &Listed, TimePoint Now);
  /// Adds or updates one entry.
  void put(const ListedTarget &Target);
  /// Removes one entry, or marks it as missing while entries settle.
  void remove(const std::string &Name, TimePoint Now);
  /// Marks a target as leaving because it said so itself, and whatever is
  /// listed of this incarnation or an earlier one from now on. Returns whether
  /// that is new.
  bool markLeaving(const std::string &Name, IncarnationId Incarnation);
  /// The platform responds again after an outage. Entries that go missing from
  /// now on are kept until SettleTime has passed.
  void platformReturned(TimePoint Now) {
    settleUntil(Now + Settings.SettleTime);
  }
  /// Like platformReturned(), as reported by a host that has observed the end
  /// of the outage.
  void settleUntil(TimePoint Then) { SettledAt = std::max(SettledAt, Then); }
  /// The platform has responded to some host without an outage since \p Since.
  /// An entry that is missing later than the settle time after that is gone,
  /// however long another host has been cut off.
  void platformRespondedSince(TimePoint Since);
  /// Remaining time for which missing entries are kept.
  Duration settlingTime(TimePoint Now) const {
    return std::max(Duration(0), SettledAt - Now);
  }
  /// Removes entries that are missing for longer than the settle time. Returns
  /// whether the directory changed.
  bool expireMissing(TimePoint Now);

  const std::map<std::string, ListedTarget> &targets() const { return Targets; }
  /// Increases with each change.
  std::uint64_t revision() const { return Changes; }

private:
  TargetDirectorySettings Settings;
  std::map<std::string, ListedTarget> Targets{};
  /// The last incarnation of each target that has said that it is leaving.
  std::map<std::string, IncarnationId> SaidLeaving{};
  /// Missing entries, and the time until which they are kept.
  std::map<std::string, TimePoint> MissingUntil{};
  TimePoint SettledAt{};
  std::uint64_t Changes = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_DIRECTORY_H
