/// Mirror of platform objects, with a bounded log of changes.
#include "marjorambay/coordination/object_mirror.h"

#include "marjorambay/state/ids.h"

#include <algorithm>
#include <limits>
#include <set>

namespace marjorambay {

namespace {

/// Hash of an object's name and position.
std::uint64_t hashOf(const ObjectRecord &Object) {
  return hash64(Object.Name + '@' + std::to_string(Object.At.Era) + '.' +
                std::to_string(Object.At.Revision));
}

} // namespace

void ObjectMirror::appendToLog(const ObjectRecord &Change) {
  Log.push_back(Change);
  LogBytes += Change.Text.size();
  LastChange = std::max(LastChange, Change.At);
  while (Log.size() > MaxLog || LogBytes > MaxLogBytes) {
    LogStart = std::max(LogStart, Log.front().At);
    LogBytes -= Log.front().Text.size();
    Log.pop_front();
  }
}

/// Returns whether this mirror has seen a later state of a restored object.
/// Both histories have the same revisions up to the copy, so that a higher
/// revision of the earlier era is a change that the restore has undone.
bool ObjectMirror::isOutdated(const ObjectRecord &Restored) const {
  const auto Found = Objects.find(Restored.Name);
  if (Found != Objects.end())
    return Restored.At.Revision < Found->second.At.Revision;
  const auto Removal =
      std::find_if(Log.rbegin(), Log.rend(), [&](const ObjectRecord &Change) {
        return Change.Name == Restored.Name && Change.Removed;
      });
  return Removal != Log.rend() && Restored.At.Revision < Removal->At.Revision;
}

/// Returns whether \p Record is the restored state of a retained object, as
/// opposed to a later change.
bool ObjectMirror::isRetained(const ObjectRecord &Record) const {
  const auto Found = Retained.find(Record.Name);
  return Found != Retained.end() &&
         (Record.Removed ? Found->second.Record.Removed
                         : Record.At <= Found->second.Record.At);
}

void ObjectMirror::retain(const ObjectRecord &Restored, TimePoint Now) {
  const TimePoint Until =
      RetainTime == RetainForever ? TimePoint::max() : Now + RetainTime;
  Retained.insert_or_assign(Restored.Name, RestoredState{Restored, Until});
}

/// Returns whether \p Record is a state of an object that has been removed
/// since: a copy has all objects that exist at its position.
bool ObjectMirror::precedesRemoval(const ObjectRecord &Record) const {
  return !Record.Removed && Record.At <= Current &&
         Objects.count(Record.Name) == 0;
}

/// Returns whether \p Record is the removal of an object that this copy never
/// had, as it was removed before its page of a list was read.
bool ObjectMirror::isUnknownRemoval(const ObjectRecord &Record,
                                    const ObjectFeed &Feed) const {
  return Record.Removed && !Feed.IsSnapshot && Record.At > Current &&
         Objects.count(Record.Name) == 0;
}

/// Returns whether \p Record changes this copy. \p Restored: it belongs to the
/// first snapshot after a restore.
bool ObjectMirror::isChange(const ObjectRecord &Record, bool Restored,
                            TimePoint Now) {
  const auto Found = Objects.find(Record.Name);
  const bool Exists = Found != Objects.end();
  if (isRetained(Record) || (Exists && Record.At <= Found->second.At))
    return false;
  if (!Exists && Record.Removed) {
    Retained.erase(Record.Name);
    return false;
  }
  if (!Restored)
    return true;
  if (Exists && Record.Text == Found->second.Text) {
    setPosition(Found->second, Record.At); // the same in both histories
    return false;
  }
  if (RetainTime.count() == 0 || !isOutdated(Record))
    return true;
  retain(Record, Now);
  return false;
}

/// Returns the removals of objects that the snapshot \p Feed lacks.
std::vector<ObjectRecord>
ObjectMirror::removalsOf(const ObjectFeed &Feed, bool Restored, TimePoint Now) {
  std::set<std::string> SeenNames;
  for (const ObjectRecord &Record : Feed.Records)
    if (!Record.Provisional)
      SeenNames.insert(Record.Name);
  std::vector<ObjectRecord> Removals;
  for (const auto &[Name, Record] : Objects) {
    const ObjectRecord Removal{Name, Feed.At, true, ""};
    if (SeenNames.count(Name) != 0 || Record.At > Feed.At ||
        isRetained(Removal))
      continue;
    if (Restored && RetainTime.count() != 0)
      retain(Removal, Now);
    else
      Removals.push_back(Removal);
  }
  return Removals;
}

/// Retains the objects for which the sender of \p Feed has a newer state than
/// the restored one.
void ObjectMirror::retainProvisional(const ObjectFeed &Feed, TimePoint Now) {
  for (const ObjectRecord &Record : Feed.Records) {
    const auto Found = Objects.find(Record.Name);
    const bool Exists = Found != Objects.end();
    const bool Differs =
        Exists ? Record.At > Found->second.At : !Record.Removed;
    if (Record.Provisional && Differs && !isRetained(Record))
      retain(Record, Now);
  }
}

void ObjectMirror::store(const ObjectRecord &Change) {
  Retained.erase(Change.Name);
  const auto Found = Objects.find(Change.Name);
  if (Found != Objects.end()) {
    HashSum -= hashOf(Found->second);
    Objects.erase(Found);
  }
  if (Change.Removed)
    return;
  HashSum += hashOf(Change);
  Objects.emplace(Change.Name, Change);
}

void ObjectMirror::setPosition(ObjectRecord &Known, StorePosition At) {
  HashSum -= hashOf(Known);
  Known.At = At;
  HashSum += hashOf(Known);
}

std::uint32_t ObjectMirror::contentHash() const {
  if (!initialized() || !Retained.empty())
    return 0;
  constexpr std::uint64_t Largest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(1 + HashSum % Largest);
}

std::vector<ObjectRecord> ObjectMirror::apply(const ObjectFeed &Feed,
                                              TimePoint Now) {
  const bool NewEra = Feed.At.Era > Current.Era;
  const bool Unusable = Feed.IsSnapshot ? Feed.At < Current
                        : NewEra        ? initialized()
                                        : Feed.At.Era < Current.Era;
  if (Unusable)
    return {};
  const bool IsFirstFeed = !initialized();
  const bool Restored = NewEra && !IsFirstFeed;
  if (Restored)
    Retained.clear(); // the snapshot has the state that is in the store now
  std::vector<ObjectRecord> Changes;
  const auto Apply = [this, &Changes](const ObjectRecord &Change) {
    store(Change);
    appendToLog(Change);
    Changes.push_back(Change);
  };
  // One by one: a feed may hold the creation and the removal of an object.
  for (const ObjectRecord &Record : Feed.Records) {
    if (isUnknownRemoval(Record, Feed))
      appendToLog(Record); // hosts that pull from this one may have the object
    if (!Record.Provisional && (Feed.IsSnapshot || !precedesRemoval(Record)) &&
        isChange(Record, Restored, Now))
      Apply(Record);
  }
  if (Feed.IsSnapshot)
    for (const ObjectRecord &Removal : removalsOf(Feed, Restored, Now))
      Apply(Removal);
  retainProvisional(Feed, Now);
  if (Feed.IsSnapshot && !IsFirstFeed && !NewEra)
    recordGap(Feed.At);
  Current = std::max(Current, Feed.At);
  if (IsFirstFeed || NewEra)
    startLog(Feed);
  return Changes;
}

/// Records that changes up to \p Until are known by a snapshot only. Hosts that
/// have seen some of them are to pull it.
void ObjectMirror::recordGap(StorePosition Until) {
  if (Until == Current)
    return;
  if (GapEnd <= LogStart)
    GapStart = Current;
  GapEnd = Until; // one gap for all snapshots in the log
  LastChange = std::max(LastChange, Until);
}

/// Starts the log at \p Feed. Entries of an earlier era remain, for removals
/// that a restore undoes.
void ObjectMirror::startLog(const ObjectFeed &Feed) {
  LogStart = Current;
  // The same on all hosts, whenever they listed the objects.
  StorePosition Latest{Current.Era, 1};
  for (const ObjectRecord &Record : Feed.Records)
    if (Record.At.Era == Current.Era && !Record.Removed)
      Latest = std::max(Latest, Record.At);
  LastChange = std::max(LastChange, Latest);
}

std::vector<ObjectRecord> ObjectMirror::expireRetained(TimePoint HeardAt) {
  std::vector<ObjectRecord> Changes;
  for (const auto &[Name, Restored] : Retained)
    if (Restored.RetainUntil <= HeardAt) {
      Changes.push_back(Restored.Record);
      Changes.back().Provisional = false;
    }
  for (const ObjectRecord &Change : Changes)
    store(Change);
  return Changes;
}

ObjectFeed ObjectMirror::since(StorePosition Known) const {
  ObjectFeed Feed;
  Feed.At = Current;
  // The host may have objects that were created and removed within the gap.
  const bool WithinGap = Known > GapStart && Known < GapEnd;
  Feed.IsSnapshot = Known.Revision == 0 || Known.Era != Current.Era ||
                    Known < LogStart || WithinGap;
  if (Feed.IsSnapshot) {
    for (const auto &[Name, Record] : Objects)
      Feed.Records.push_back(Record);
    for (const auto &[Name, Restored] : Retained) {
      Feed.Records.push_back(Restored.Record);
      Feed.Records.back().Provisional = true;
    }
    return Feed;
  }
  for (const ObjectRecord &Record : Log)
    if (Record.At > Known)
      Feed.Records.push_back(Record);
  return Feed;
}

} // namespace marjorambay
