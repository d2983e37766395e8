/// Mirror of platform objects, with a bounded log of changes.
#include "marjorambay/coordination/object_mirror.h"

#include <algorithm>
#include <set>

namespace marjorambay {

void ObjectMirror::appendToLog(const ObjectRecord &Change) {
  Log.push_back(Change);
  LastChange = std::max(LastChange, Change.Revision);
  if (Log.size() <= MaxLog)
    return;
  LogStart = std::max(LogStart, Log.front().Revision);
  Log.pop_front();
}

std::vector<ObjectRecord> ObjectMirror::apply(const ObjectFeed &Feed) {
  std::vector<ObjectRecord> Changes;
  if (Feed.IsSnapshot && Feed.Revision < CurrentRevision)
    return Changes; // older than this copy
  const bool IsFirstFeed = !initialized();
  std::set<std::string> SeenNames;
  for (const ObjectRecord &Record : Feed.Records) {
    SeenNames.insert(Record.Name);
    const auto Found = Objects.find(Record.Name);
    const bool Exists = Found != Objects.end();
    const bool IsNewer =
        Exists ? Record.Revision > Found->second.Revision : !Record.Removed;
    if (IsNewer)
      Changes.push_back(Record);
  }
  if (Feed.IsSnapshot)
    for (const auto &[Name, Record] : Objects)
      if (SeenNames.count(Name) == 0 && Record.Revision <= Feed.Revision)
        Changes.push_back({Name, Feed.Revision, true, ""});
  for (const ObjectRecord &Record : Changes) {
    if (Record.Removed)
      Objects.erase(Record.Name);
    else
      Objects[Record.Name] = Record;
    appendToLog(Record);
  }
  CurrentRevision = std::max(CurrentRevision, Feed.Revision);
  if (IsFirstFeed) {
    Log.clear();
    LogStart = CurrentRevision;
    LastChange = std::max<std::uint64_t>(LastChange, 1);
  }
  return Changes;
}

ObjectFeed ObjectMirror::since(std::uint64_t KnownRevision) const {
  ObjectFeed Feed;
  Feed.Revision = CurrentRevision;
  Feed.IsSnapshot = KnownRevision == 0 || KnownRevision < LogStart;
  if (Feed.IsSnapshot) {
    for (const auto &[Name, Record] : Objects)
      Feed.Records.push_back(Record);
    return Feed;
  }
  for (const ObjectRecord &Record : Log)
    if (Record.Revision > KnownRevision)
      Feed.Records.push_back(Record);
  return Feed;
}

} // namespace marjorambay
