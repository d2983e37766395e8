/// In-memory index of the committed records of a shard's idempotency keys.
#ifndef MARJORAMBAY_COORDINATION_INTENT_INDEX_H
#define MARJORAMBAY_COORDINATION_INTENT_INDEX_H

#include "marjorambay/coordination/intent_codec.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace marjorambay {

/// The last record of a key. A key without a record is free.
struct KeyRecord {
  RequestTag Request{};
  IntentRecordKind State = IntentRecordKind::Intent; ///< never Released
  std::uint16_t HttpStatus = 0;
  std::uint64_t BodyHash = 0; ///< 0 if the intent is older than the retention
  WallTime Written{};
};

/// Index from key to its last record. Uses about 130 bytes per key within the
/// retention.
class IntentIndex {
public:
  void apply(const IntentRecord &Record, WallTime Written);
  /// Returns the key's last record if it was written at \p Since or later.
  const KeyRecord *find(const KeyHash &Key, WallTime Since) const;
  /// Drops records written before \p Since.
  void expire(WallTime Since);
  std::size_t size() const { return Keys.size(); }

private:
  std::unordered_map<KeyHash, KeyRecord> Keys{};
  /// One entry per record, oldest first.
  std::deque<std::pair<WallTime, KeyHash>> ByAge{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_INTENT_INDEX_H
