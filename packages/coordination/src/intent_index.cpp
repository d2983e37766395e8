/// Index of the idempotency keys of a shard.
#include "marjorambay/coordination/intent_index.h"

namespace marjorambay {

void IntentIndex::apply(const IntentRecord &Record, WallTime Written) {
  if (Record.Kind == IntentRecordKind::Released) {
    const auto Found = Keys.find(Record.Key);
    if (Found != Keys.end() && Found->second.Request == Record.Request)
      Keys.erase(Found);
    return;
  }
  KeyRecord &Entry = Keys[Record.Key];
  Entry.Request = Record.Request;
  Entry.State = Record.Kind;
  Entry.HttpStatus = Record.HttpStatus;
  if (Record.Kind == IntentRecordKind::Intent)
    Entry.BodyHash = Record.BodyHash;
  Entry.Written = Written;
  ByAge.emplace_back(Written, Record.Key);
}

const KeyRecord *IntentIndex::find(const KeyHash &Key, WallTime Since) const {
  const auto Found = Keys.find(Key);
  if (Found == Keys.end() || Found->second.Written < Since)
    return nullptr;
  return &Found->second;
}

void IntentIndex::expire(WallTime Since) {
  while (!ByAge.empty() && ByAge.front().first < Since) {
    const auto Found = Keys.find(ByAge.front().second);
    if (Found != Keys.end() && Found->second.Written < Since)
      Keys.erase(Found);
    ByAge.pop_front();
  }
}

} // namespace marjorambay
