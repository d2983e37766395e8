/// A host's copy of the platform objects of one kind, with a bounded log of
/// recent changes.
///
/// A few hosts watch the platform; the other hosts receive changes from them.
/// Changes carry revisions, so that a host may receive them from different
/// hosts in turn, and applying a change twice has no effect.
#ifndef MARJORAMBAY_COORDINATION_OBJECT_MIRROR_H
#define MARJORAMBAY_COORDINATION_OBJECT_MIRROR_H

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
enum class ObjectKind : std::uint8_t { Config, Targets, Rollouts, Hosts };
template <>
inline constexpr std::array NamesOf<ObjectKind> =
    std::to_array<std::string_view>({"config", "targets", "rollouts", "hosts"});
inline constexpr std::size_t ObjectKindCount = 4;
static_assert(NamesOf<ObjectKind>.size() == ObjectKindCount);

struct ObjectRecord {
  std::string Name{};
  /// Revision of the last change or the removal of the object.
  std::uint64_t Revision = 0;
  bool Removed = false;
  /// As stored by the platform; parsed only by the platform adapter.
  std::string Text{};
};

/// Changes up to a revision, or a snapshot of all objects.
struct ObjectFeed {
  std::uint64_t Revision = 0; ///< all changes up to this revision are included
  bool IsSnapshot = false;    ///< objects that are not included do not exist
  /// Time for which removals may still be an effect of a platform outage.
  Duration SettlingTime{};
  std::vector<ObjectRecord> Records{};
};

class ObjectMirror {
public:
  /// Applies a feed. Returns the changes that it made to this copy.
  std::vector<ObjectRecord> apply(const ObjectFeed &Feed);

  /// Returns the changes after \p KnownRevision, or a snapshot if the log does
  /// not reach back that far.
  ObjectFeed since(std::uint64_t KnownRevision) const;

  std::uint64_t revision() const { return CurrentRevision; }
  /// Revision of the last change; 0 if no feed was applied yet.
  std::uint64_t lastChangeRevision() const { return LastChange; }
  bool initialized() const { return CurrentRevision != 0; }
  std::size_t size() const { return Objects.size(); }

private:
  /// Changes kept for hosts that are behind.
  static constexpr std::size_t MaxLog = 512;

  void appendToLog(const ObjectRecord &Change);

  std::map<std::string, ObjectRecord> Objects{};
  std::deque<ObjectRecord> Log{}; ///< oldest first
  std::uint64_t LogStart = 0;     ///< the log is complete after this revision
  std::uint64_t CurrentRevision = 0;
  std::uint64_t LastChange = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_OBJECT_MIRROR_H
