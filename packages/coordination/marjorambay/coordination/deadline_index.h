/// Ordered sets of waiting entries that know the work before each deadline.
///
/// All sets share one pool of nodes; an entry's number is its node. Treaps,
/// whose priorities are hashes of the entry's number and order, so that the
/// same history gives the same shape.
#ifndef MARJORAMBAY_COORDINATION_DEADLINE_INDEX_H
#define MARJORAMBAY_COORDINATION_DEADLINE_INDEX_H

#include "marjorambay/state/time.h"

#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace marjorambay {

/// A pool of ordered sets. Insert, erase and workBefore are logarithmic.
class DeadlineIndex {
public:
  static constexpr std::uint32_t None =
      std::numeric_limits<std::uint32_t>::max();

  /// One ordered set; owned by whoever keeps it.
  struct Tree {
    std::uint32_t Root = None;
    bool empty() const { return Root == None; }
  };

  /// Adds \p Entry, which must be in no tree; equal times keep their order.
  void insert(Tree &Set, std::uint32_t Entry, TimePoint Time, double Work);
  void erase(Tree &Set, std::uint32_t Entry);

  /// Returns the earliest entry, or None.
  std::uint32_t first(const Tree &Set) const;

  /// Returns the sum of the work of entries at or before \p Time.
  double workUpTo(const Tree &Set, TimePoint Time) const;
  double work(const Tree &Set) const { return sumOf(Set.Root); }

  /// Appends the entries to \p Out in order.
  void list(const Tree &Set, std::vector<std::uint32_t> &Out) const;

private:
  struct Node {
    TimePoint Time{};
    std::uint64_t Order = 0; ///< of insertion
    std::uint64_t Priority = 0;
    double Work = 0;
    double Sum = 0; ///< of the work in this subtree
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
