/// A host's copy of the platform's objects of one kind, and what has changed in
/// it of late.
///
/// A few hosts watch the platform; the others take their changes from those.
/// What changed is told by revisions, so that a host may take it from any of
/// them in turn, and twice.
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

/// Kinds of objects that every host needs.
enum class ObjectKind : std::uint8_t { Config, Targets, Rollouts, Hosts };
template <>
inline constexpr std::array NamesOf<ObjectKind> =
    std::to_array<std::string_view>({"config", "targets", "rollouts", "hosts"});
inline constexpr std::size_t ObjectKindCount = 4;
static_assert(NamesOf<ObjectKind>.size() == ObjectKindCount);

struct ObjectRecord {
  std::string Name{};
  std::uint64_t Revision = 0; ///< of its last change, or of its removal
  bool Removed = false;
  std::string Text{}; ///< as the platform holds it; only its adapter reads it
};

/// Changes up to a revision, or all objects.
struct ObjectFeed {
  std::uint64_t Revision = 0; ///< revision that it is complete up to
  bool IsSnapshot = false;    ///< what is not in it does not exist
  Duration SettlingTime{};    ///< removals may still be the trace of an outage
  std::vector<ObjectRecord> Records{};
};

class ObjectMirror {
public:
  /// Takes a feed in. Returns what it changed here.
  std::vector<ObjectRecord> apply(const ObjectFeed &Feed);

  /// Returns what has changed after \p Have; all of it when that is too old.
  ObjectFeed since(std::uint64_t Have) const;

  std::uint64_t revision() const { return At; }
  /// Revision of the last change; 0: nothing was read yet.
  std::uint64_t lastChangeRevision() const { return ChangedAt; }
  bool initialized() const { return At != 0; }
  std::size_t size() const { return Objects.size(); }

private:
  /// Changes kept for hosts that lag.
  static constexpr std::size_t MaxLog = 512;

  void note(const ObjectRecord &Change);

  std::map<std::string, ObjectRecord> Objects{};
  std::deque<ObjectRecord> Log{}; ///< oldest first
  std::uint64_t LogFrom = 0;      ///< the log has all changes after this
  std::uint64_t At = 0;
  std::uint64_t ChangedAt = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_OBJECT_MIRROR_H
