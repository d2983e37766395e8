/// Objects by name, and a bounded log of their changes.
#include "marjorambay/coordination/object_mirror.h"

#include <algorithm>
#include <set>

namespace marjorambay {

void ObjectMirror::note(const ObjectRecord &Change) {
  Log.push_back(Change);
  ChangedAt = std::max(ChangedAt, Change.Revision);
  if (Log.size() <= MaxLog)
    return;
  LogFrom = std::max(LogFrom, Log.front().Revision);
  Log.pop_front();
}

std::vector<ObjectRecord> ObjectMirror::apply(const ObjectFeed &Feed) {
  std::vector<ObjectRecord> Changes;
  if (Feed.IsSnapshot && Feed.Revision < At)
    return Changes; // older than what is known
  const bool First = !initialized();
  std::set<std::string> Named;
  for (const ObjectRecord &Each : Feed.Records) {
    Named.insert(Each.Name);
    const auto Found = Objects.find(Each.Name);
    const bool Exists = Found != Objects.end();
    const bool News =
        Exists ? Each.Revision > Found->second.Revision : !Each.Removed;
    if (News)
      Changes.push_back(Each);
  }
  if (Feed.IsSnapshot)
    for (const auto &[Name, Each] : Objects)
      if (Named.count(Name) == 0 && Each.Revision <= Feed.Revision)
        Changes.push_back({Name, Feed.Revision, true, ""});
  for (const ObjectRecord &Each : Changes) {
    if (Each.Removed)
      Objects.erase(Each.Name);
    else
      Objects[Each.Name] = Each;
    note(Each);
  }
  At = std::max(At, Feed.Revision);
  if (First) {
    Log.clear();
    LogFrom = At;
    ChangedAt = std::max<std::uint64_t>(ChangedAt, 1);
  }
  return Changes;
}

ObjectFeed ObjectMirror::since(std::uint64_t Have) const {
  ObjectFeed Feed;
  Feed.Revision = At;
  Feed.IsSnapshot = Have == 0 || Have < LogFrom;
  if (Feed.IsSnapshot) {
    for (const auto &[Name, Each] : Objects)
      Feed.Records.push_back(Each);
    return Feed;
  }
  for (const ObjectRecord &Each : Log)
    if (Each.Revision > Have)
      Feed.Records.push_back(Each);
  return Feed;
}

} // namespace marjorambay
