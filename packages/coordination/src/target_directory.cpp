/// Directory of targets by name, including missing entries that are still kept.
#include "marjorambay/coordination/target_directory.h"

#include <set>
#include <tuple>

namespace marjorambay {

bool ListedTarget::operator==(const ListedTarget &Other) const {
  const auto Compared = [](const ListedTarget &Of) {
    return std::tie(Of.Name, Of.Id, Of.Pool, Of.Address, Of.Zone,
                    Of.VersionName, Of.Version, Of.Slots, Of.Incarnation,
                    Of.Leaving);
  };
  return Compared(*this) == Compared(Other);
}

void TargetDirectory::put(const ListedTarget &Target) {
  MissingUntil.erase(Target.Name);
  ListedTarget Next = Target;
  const auto Said = SaidLeaving.find(Target.Name);
  Next.Leaving = Next.Leaving || (Said != SaidLeaving.end() &&
                                  Target.Incarnation <= Said->second);
  const auto [It, Inserted] = Targets.try_emplace(Target.Name, Next);
  // An incarnation that is leaving does not return.
  Next.Leaving = Next.Leaving || (It->second.Leaving &&
                                  It->second.Incarnation == Target.Incarnation);
  if (!Inserted && Next == It->second) {
    It->second = Next;
    return;
  }
  It->second = Next;
  ++Changes;
}

bool TargetDirectory::markLeaving(const std::string &Name,
                                  IncarnationId Incarnation) {
  const auto [Said, First] = SaidLeaving.emplace(Name, Incarnation);
  if (!First && Incarnation <= Said->second)
    return false;
  Said->second = Incarnation;
  const auto Found = Targets.find(Name);
  if (Found != Targets.end() && Found->second.Incarnation <= Incarnation) {
    Found->second.Leaving = true;
    ++Changes;
  }
  return true;
}

void TargetDirectory::remove(const std::string &Name, TimePoint Now) {
  if (Targets.count(Name) == 0)
    return;
  if (Now < SettledAt) {
    MissingUntil.emplace(Name, SettledAt);
    return;
  }
  MissingUntil.erase(Name);
  Targets.erase(Name);
  ++Changes;
}

void TargetDirectory::platformRespondedSince(TimePoint Since) {
  const TimePoint Settled = Since + Settings.SettleTime;
  SettledAt = std::min(SettledAt, Settled);
  for (auto &[Name, Until] : MissingUntil)
    Until = std::min(Until, Settled);
}

void TargetDirectory::replaceAll(const std::vector<ListedTarget> &Listed,
                                 TimePoint Now) {
  std::set<std::string> Names;
  for (const ListedTarget &Entry : Listed) {
    Names.insert(Entry.Name);
    put(Entry);
  }
  std::vector<std::string> Removed;
  for (const auto &[Name, Entry] : Targets)
    if (Names.count(Name) == 0)
      Removed.push_back(Name);
  for (const std::string &Name : Removed)
    remove(Name, Now);
}

bool TargetDirectory::expireMissing(TimePoint Now) {
  const std::uint64_t Before = Changes;
  for (auto Entry = MissingUntil.begin(); Entry != MissingUntil.end();) {
    if (Now < Entry->second) {
      ++Entry;
      continue;
    }
    Targets.erase(Entry->first);
    ++Changes;
    Entry = MissingUntil.erase(Entry);
  }
  return Changes != Before;
}

} // namespace marjorambay
