/// The index of a shard's keys.
#include "marjorambay/coordination/intent_index.h"

namespace marjorambay {

void IntentIndex::apply(const IntentRecord &Record, WallTime Written) {
  if (Record.Kind == IntentRecordKind::Released) {
    const auto Found = Keys.find(Record.Key);
    if (Found != Keys.end() && Found->second.Request == Record.Request)
      Keys.erase(Found);
    return;
  }
  KnownKey &Known = Keys[Record.Key];
  Known.Request = Record.Request;
  Known.State = Record.Kind;
  Known.HttpStatus = Record.HttpStatus;
  if (Record.Kind == IntentRecordKind::Intent)
    Known.BodyHash = Record.BodyHash;
  Known.Written = Written;
  Ages.emplace_back(Written, Record.Key);
}

const KnownKey *IntentIndex::find(const KeyHash &Key, WallTime Since) const {
  const auto Found = Keys.find(Key);
  if (Found == Keys.end() || Found->second.Written < Since)
    return nullptr;
  return &Found->second;
}

void IntentIndex::expire(WallTime Since) {
  while (!Ages.empty() && Ages.front().first < Since) {
    const auto Found = Keys.find(Ages.front().second);
    if (Found != Keys.end() && Found->second.Written < Since)
      Keys.erase(Found);
    Ages.pop_front();
  }
}

} // namespace marjorambay
