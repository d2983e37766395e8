/// Learns how long answers are, for each client account, model and size of
/// prompt, within bounded memory.
#ifndef MARJORAMBAY_COORDINATION_COST_MODEL_H
#define MARJORAMBAY_COORDINATION_COST_MODEL_H

#include "marjorambay/coordination/requests.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace marjorambay {

/// Estimates a reservation's cost. Requests of one account and model differ a
/// hundredfold in length, and long prompts go with long answers; so each power
/// of four of the prompt's length is learned apart.
class CostModel {
public:
  explicit CostModel(std::size_t MaxEntries = 4096) : Capacity(MaxEntries) {}

  /// Returns the reservation's cost; its own guess where nothing is learned.
  TokenCost estimate(const Reservation &Request);

  /// Learns from a complete answer.
  void learn(const Reservation &Request, const Usage &Used);

  std::size_t size() const { return Entries.size(); }

private:
  struct Key {
    AccountId Account{};
    ModelId Model{};
    std::uint8_t PromptClass = 0;
    bool operator==(const Key &) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key &Which) const;
  };
  struct Entry {
    double MeanOutput = 0; ///< tokens
    std::uint32_t Samples = 0;
    std::list<Key>::iterator Use{};
  };
  static Key keyOf(const Reservation &Request);
  void touch(Entry &Found);

  std::size_t Capacity;
  std::unordered_map<Key, Entry, KeyHash> Entries{};
  std::list<Key> ByUse{}; ///< least recently used first
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_COST_MODEL_H
