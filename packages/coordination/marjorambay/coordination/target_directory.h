/// Which targets a host may send work to, from what the platform lists.
///
/// An entry that goes away means that its target leaves, except just after the
/// platform was out of reach: entries lapse meanwhile and are written again, so
/// that a missing one proves nothing until SettleTime later.
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

/// A target as the platform lists it.
struct ListedTarget {
  std::string Name{}; ///< unique; one life of a target mostly
  TargetId Id{};      ///< hash of Name
  PoolId Pool{};
  SocketAddress Address{};
  ZoneId Zone{};
  std::string VersionName{};
  VersionId Version{}; ///< hash of VersionName
  std::uint32_t Slots = 1;
  IncarnationId Incarnation{};
  bool Leaving = false;
  bool operator==(const ListedTarget &) const = default;
};

struct TargetDirectorySettings {
  /// The platform's word: lapsed entries are back this long after its return.
  Duration SettleTime = seconds(2);
};

class TargetDirectory {
public:
  explicit TargetDirectory(TargetDirectorySettings Given = {})
      : Settings(Given) {}

  /// The whole list, as read now.
  void replaceAll(const std::vector<ListedTarget> &Listed, TimePoint Now);
  /// One entry was written.
  void put(const ListedTarget &Target);
  /// One entry was removed.
  void remove(const std::string &Name, TimePoint Now);
  /// The platform answers again after \p Away. Entries that are missing from
  /// now on are kept until it has settled.
  void platformReturned(TimePoint Now) {
    settleUntil(Now + Settings.SettleTime);
  }
  /// As platformReturned(), from a host that has seen the return.
  void settleUntil(TimePoint Then) { SettledAt = std::max(SettledAt, Then); }
  /// Time for which entries that are missing are still kept.
  Duration settlingTime(TimePoint Now) const {
    return std::max(Duration(0), SettledAt - Now);
  }
  /// Drops what was missing for long enough. True: something changed.
  bool expireMissing(TimePoint Now);

  const std::map<std::string, ListedTarget> &targets() const { return Known; }
  /// Rises with each change.
  std::uint64_t revision() const { return Changes; }

private:
  TargetDirectorySettings Settings;
  std::map<std::string, ListedTarget> Known{};
  std::map<std::string, TimePoint> Missing{}; ///< and until when they are kept
  TimePoint SettledAt{};
  std::uint64_t Changes = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_DIRECTORY_H
