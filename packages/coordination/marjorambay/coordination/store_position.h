/// Positions in the history of the platform's store.
///
/// A store that is restored from an older copy gives out the revisions after
/// the copy again, for other changes. Its era rises with each restore, so that
/// positions of different histories remain comparable.
#ifndef MARJORAMBAY_COORDINATION_STORE_POSITION_H
#define MARJORAMBAY_COORDINATION_STORE_POSITION_H

#include <compare>
#include <cstdint>
#include <optional>

namespace marjorambay {

struct StorePosition {
  std::uint64_t Era = 0;      ///< 0 if the store reports none
  std::uint64_t Revision = 0; ///< 0 before the first answer
  bool operator==(const StorePosition &) const = default;
  constexpr std::strong_ordering operator<=>(const StorePosition &Other) const {
    const std::strong_ordering ByEra = Era <=> Other.Era;
    return ByEra == std::strong_ordering::equal ? Revision <=> Other.Revision
                                                : ByEra;
  }
};

/// How the history of an answer relates to the history of a view.
enum class HistoryOrder : std::uint8_t {
  Same,  ///< the answer extends the view
  Newer, ///< the store was restored; the view must be listed again
  Older, ///< the answer must not be mixed into the view
};

/// Compares the era of an answer with the era of a view. An answer without an
/// era is older than a view that has one.
constexpr HistoryOrder compareHistory(std::optional<std::uint64_t> AnswerEra,
                                      std::uint64_t ViewEra) {
  const std::uint64_t Era = AnswerEra.value_or(0);
  if (Era == ViewEra)
    return HistoryOrder::Same;
  return Era > ViewEra ? HistoryOrder::Newer : HistoryOrder::Older;
}

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_STORE_POSITION_H
