/// A host's copy of the platform objects of one kind, with a bounded log of
/// recent changes.
///
/// A few hosts watch the platform; the other hosts receive changes from them.
/// Changes carry positions, so that a host may receive them from different
/// hosts in turn, and applying a change twice has no effect.
///
/// After the store was restored from an older copy, an object may be lacking or
/// outdated until its writer has written it again. The mirror retains the newer
/// object that it has for a while, and takes over the restored state only if
/// nobody has written the object by then.
#ifndef MARJORAMBAY_COORDINATION_OBJECT_MIRROR_H
#define MARJORAMBAY_COORDINATION_OBJECT_MIRROR_H

#include "marjorambay/coordination/store_position.h"
#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace marjorambay {

/// Kinds of platform objects that every host mirrors.
/// New kinds are appended: digests refer to kinds by position.
enum class ObjectKind : std::uint8_t {
  Config,
  Targets,
  Rollouts,
  Hosts,
  Evacuations ///< only where the settings ask for it
};
template <>
inline constexpr std::array NamesOf<ObjectKind> =
    std::to_array<std::string_view>({"config", "targets", "rollouts", "hosts",
                                     "evacuations"});
inline constexpr std::size_t ObjectKindCount = 5;
static_assert(NamesOf<ObjectKind>.size() == ObjectKindCount);

struct ObjectRecord {
  std::string Name{};
  /// Position of the last change or the removal of the object.
  StorePosition At{};
  bool Removed = false;
  /// As stored by the platform; parsed only by the platform adapter.
  std::string Text{};
  /// From a restored copy, while the sender retains a newer state.
  bool Provisional = false;
};

/// Changes up to a position, or a snapshot of all objects.
struct ObjectFeed {
  StorePosition At{};      ///< all changes up to this position are included
  bool IsSnapshot = false; ///< objects that are not included do not exist
  /// Time for which removals may still be an effect of a platform outage.
  Duration SettlingTime{};
  std::vector<ObjectRecord> Records{};
};

class ObjectMirror {
public:
  /// Retains objects until they are written again, however long that takes.
  static constexpr Duration RetainForever = Duration::max();

  /// \p RetainTime is how long newer objects are retained after a restore of
  /// the store; 0 takes over the restored state at once.
  explicit ObjectMirror(Duration RetainTime = seconds(2))
      : RetainTime(RetainTime) {}

  /// Applies a feed. Returns the changes that it made to this copy. Ignores
  /// feeds of an earlier era, and changes of a later era without a snapshot.
  std::vector<ObjectRecord> apply(const ObjectFeed &Feed, TimePoint Now);

  /// Takes over the restored state of objects that were retained for long
  /// enough. \p HeardAt is when the store last answered: what was written until
  /// then has been applied. Returns the changes.
  std::vector<ObjectRecord> expireRetained(TimePoint HeardAt);

  /// Returns the changes after \p Known, or a snapshot if the log does not
  /// reach back that far, lacks changes after \p Known, or \p Known is of
  /// another era.
  ObjectFeed since(StorePosition Known) const;

  /// Returns a hash of the names and positions of all objects, which is the
  /// same for equal copies however they came to be. 0 if it says nothing:
  /// before the first feed, and while objects are retained.
  std::uint32_t contentHash() const;

  /// Returns whether this copy lacks changes of a host whose lastChange() is
  /// \p Reported.
  bool lacks(StorePosition Reported) const { return Reported > Current; }

  StorePosition position() const { return Current; }
  /// Position of the last change, known or in a gap of the log; 0 if no feed
  /// was applied yet.
  StorePosition lastChange() const { return LastChange; }
  bool initialized() const { return Current.Revision != 0; }
  std::size_t size() const { return Objects.size(); }
  /// Number of objects whose restored state is not in force yet.
  std::size_t retained() const { return Retained.size(); }

private:
  /// Changes kept for hosts that are behind.
  static constexpr std::size_t MaxLog = 512;
  /// Of the texts in the log; another writer may change a long object often.
  static constexpr std::size_t MaxLogBytes = 4 << 20;

  struct RestoredState {
    ObjectRecord Record{}; ///< in the store since its restore
    TimePoint RetainUntil{};
  };

  bool isOutdated(const ObjectRecord &Restored) const;
  bool isRetained(const ObjectRecord &Record) const;
  void retain(const ObjectRecord &Restored, TimePoint Now);
  bool precedesRemoval(const ObjectRecord &Record) const;
  bool isUnknownRemoval(const ObjectRecord &Record,
                        const ObjectFeed &Feed) const;
  bool isChange(const ObjectRecord &Record, bool Restored, TimePoint Now);
  std::vector<ObjectRecord> removalsOf(const ObjectFeed &Feed, bool Restored,
                                       TimePoint Now);
  void retainProvisional(const ObjectFeed &Feed, TimePoint Now);
  void store(const ObjectRecord &Change);
  void setPosition(ObjectRecord &Known, StorePosition At);
  void recordGap(StorePosition Until);
  void startLog(const ObjectFeed &Feed);
  void appendToLog(const ObjectRecord &Change);

  Duration RetainTime;
  std::map<std::string, ObjectRecord> Objects{};
  std::uint64_t HashSum = 0; ///< of the hashes of all objects
  std::map<std::string, RestoredState> Retained{}; ///< by object name
  std::deque<ObjectRecord> Log{};                  ///< oldest first
  std::size_t LogBytes = 0;
  StorePosition LogStart{}; ///< the log is complete after this position
  /// But for objects that were created and removed between these positions.
  StorePosition GapStart{};
  StorePosition GapEnd{};
  StorePosition Current{};
  StorePosition LastChange{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_OBJECT_MIRROR_H
