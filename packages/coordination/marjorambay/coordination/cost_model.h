/// Estimates the lengths of answers from past ones, within bounded memory.
#ifndef MARJORAMBAY_COORDINATION_COST_MODEL_H
#define MARJORAMBAY_COORDINATION_COST_MODEL_H

#include "marjorambay/coordination/requests.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace marjorambay {

/// Expected output tokens, with a range.
struct LengthEstimate {
  std::uint32_t Mean = 1;
  std::uint32_t Low = 1; ///< few answers are shorter than this
  /// Few answers are longer than this; equal to Low without samples.
  std::uint32_t High = 1;
};

/// Estimates the lengths of answers. Requests of one account and model can
/// differ a hundredfold, and long prompts correlate with long answers. Moving
/// means are therefore kept by account, model, route, tier and power of four of
/// the prompt length. A key without enough samples falls back to its account,
/// then to all accounts.
class CostModel {
public:
  explicit CostModel(std::size_t MaxEntries = 8192) : Capacity(MaxEntries) {}

  /// Returns the estimate for a reservation. Without samples, Mean is the
  /// reservation's own guess, and Low and High are 1 so that no request is
  /// refused because of a guess alone.
  LengthEstimate estimate(const Reservation &Request);

  /// Updates the estimates from a complete answer.
  void recordAnswer(const Reservation &Request, const Usage &Used);

  /// Records that the reservation was refused because of its estimated length
  /// alone. A refused request yields no sample, so the estimate shrinks a
  /// little; otherwise a wrong estimate could refuse requests permanently.
  void recordLengthRefusal(const Reservation &Request);

  std::size_t size() const { return Entries.size(); }

private:
  struct Key {
    AccountId Account{};
    ModelId Model{};
    RouteId Route{};
    TierRank Tier{};
    std::uint8_t PromptClass = 0;
    bool operator==(const Key &) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key &K) const;
  };
  struct Entry {
    double Mean = 0;      ///< tokens
    double Deviation = 0; ///< mean absolute deviation, tokens
    std::uint32_t Samples = 0;
    std::list<Key>::iterator Position{};
  };
  static std::array<Key, 3> keysOf(const Reservation &Request);
  Entry &entryAt(const Key &K);
  void touch(Entry &Found);

  std::size_t Capacity;
  std::unordered_map<Key, Entry, KeyHash> Entries{};
  std::list<Key> ByLastUse{}; ///< least recently used key first
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_COST_MODEL_H
