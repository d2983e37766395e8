/// What a holder knows of a shard's idempotency keys: the records that stood.
#ifndef MARJORAMBAY_COORDINATION_INTENT_INDEX_H
#define MARJORAMBAY_COORDINATION_INTENT_INDEX_H

#include "marjorambay/coordination/intent_codec.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace marjorambay {

/// The last record of a key. A key without one is free.
struct KnownKey {
  RequestTag Request{};
  IntentRecordKind State = IntentRecordKind::Intent; ///< never Released
  std::uint16_t HttpStatus = 0;
  std::uint64_t BodyHash = 0; ///< 0: its intent is older than the retention
  WallTime Written{};
};

/// About 130 bytes for each key within the retention.
class IntentIndex {
public:
  void apply(const IntentRecord &Record, WallTime Written);
  /// The key's last record that \p Since does not precede.
  const KnownKey *find(const KeyHash &Key, WallTime Since) const;
  /// Drops records written before \p Since.
  void expire(WallTime Since);
  std::size_t size() const { return Keys.size(); }

private:
  std::unordered_map<KeyHash, KnownKey> Keys{};
  std::deque<std::pair<WallTime, KeyHash>> Ages{}; ///< oldest first
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_INTENT_INDEX_H
