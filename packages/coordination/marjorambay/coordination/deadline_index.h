/// Sets of queued entries ordered by deadline, which can sum the work up to a
/// given deadline.
///
/// All sets share one array of nodes, and an entry's number is the index of its
/// node. The sets are treaps. A node's priority is a hash of its insertion
/// number, so that the same sequence of operations always yields the same
/// shape.
#ifndef MARJORAMBAY_COORDINATION_DEADLINE_INDEX_H
#define MARJORAMBAY_COORDINATION_DEADLINE_INDEX_H

#include "marjorambay/state/time.h"

#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace marjorambay {

/// A collection of ordered sets. insert, erase and workUpTo take logarithmic
/// time.
class DeadlineIndex {
public:
  static constexpr std::uint32_t None =
      std::numeric_limits<std::uint32_t>::max();

  /// One ordered set, owned by the caller.
  struct Tree {
    std::uint32_t Root = None;
    bool empty() const { return Root == None; }
  };

  /// Adds \p Entry, which must not be in any tree. Entries with equal times
  /// stay in insertion order.
  void insert(Tree &Set, std::uint32_t Entry, TimePoint Time, double Work);
  void erase(Tree &Set, std::uint32_t Entry);

  /// Returns the earliest entry, or None.
  std::uint32_t first(const Tree &Set) const;

  /// Returns the total work of the entries at or before \p Time.
  double workUpTo(const Tree &Set, TimePoint Time) const;
  double work(const Tree &Set) const { return sumOf(Set.Root); }

  /// Appends the entries to \p Out in order.
  void list(const Tree &Set, std::vector<std::uint32_t> &Out) const;

private:
  struct Node {
    TimePoint Time{};
    std::uint64_t Order = 0; ///< sequence number of the insertion
    std::uint64_t Priority = 0;
    double Work = 0;
    double Sum = 0; ///< total work of this subtree
    std::uint32_t Left = None;
    std::uint32_t Right = None;
  };
  using Key = std::pair<TimePoint, std::uint64_t>;

  Key keyOf(std::uint32_t Id) const {
    return {Nodes[Id].Time, Nodes[Id].Order};
  }
  double sumOf(std::uint32_t Id) const {
    return Id == None ? 0 : Nodes[Id].Sum;
  }
  void update(std::uint32_t Id);
  std::pair<std::uint32_t, std::uint32_t> split(std::uint32_t Root, Key At);
  std::uint32_t merge(std::uint32_t Left, std::uint32_t Right);
  std::uint32_t eraseBelow(std::uint32_t Root, std::uint32_t Entry);

  std::vector<Node> Nodes{};
  std::uint64_t NextOrder = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_DEADLINE_INDEX_H
