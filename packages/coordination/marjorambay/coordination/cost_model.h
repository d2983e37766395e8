/// Learns how long answers are, within bounded memory.
#ifndef MARJORAMBAY_COORDINATION_COST_MODEL_H
#define MARJORAMBAY_COORDINATION_COST_MODEL_H

#include "marjorambay/coordination/requests.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace marjorambay {

/// Expected output tokens, and how sure that is.
struct LengthEstimate {
  std::uint32_t Mean = 1;
  std::uint32_t Least = 1; ///< few answers are shorter
  std::uint32_t Most = 1;  ///< few answers are longer; Least, if not learned
};

/// Estimates lengths of answers. Requests of one account and model differ a
/// hundredfold, and long prompts go with long answers; so lengths are learned
/// by account, model, route, tier and power of four of the prompt's length.
/// Where that has no samples yet, those of the account stand in for it, and
/// then those of all accounts.
class CostModel {
public:
  explicit CostModel(std::size_t MaxEntries = 8192) : Capacity(MaxEntries) {}

  /// Returns the reservation's own guess where nothing is learned; a guess
  /// alone must refuse nothing, so that its Least and Most are 1.
  LengthEstimate estimate(const Reservation &Request);

  /// Learns from a complete answer.
  void learn(const Reservation &Request, const Usage &Used);

  /// Notes that the reservation was refused for its estimated length alone.
  /// A refusal teaches nothing, so that the estimate shrinks a little; else a
  /// wrong one could refuse for good.
  void doubt(const Reservation &Request);

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
    std::size_t operator()(const Key &Which) const;
  };
  struct Entry {
    double Mean = 0;      ///< tokens
    double Deviation = 0; ///< mean absolute, tokens
    std::uint32_t Samples = 0;
    std::list<Key>::iterator Use{};
  };
  static std::array<Key, 3> keysOf(const Reservation &Request);
  Entry &entryAt(const Key &Which);
  void touch(Entry &Found);

  std::size_t Capacity;
  std::unordered_map<Key, Entry, KeyHash> Entries{};
  std::list<Key> ByUse{}; ///< least recently used first
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_COST_MODEL_H
