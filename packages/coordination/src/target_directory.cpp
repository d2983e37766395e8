/// Targets by name, with those that may only be missing.
#include "marjorambay/coordination/target_directory.h"

#include <set>

namespace marjorambay {

void TargetDirectory::put(const ListedTarget &Target) {
  Missing.erase(Target.Name);
  const auto [Place, New] = Known.try_emplace(Target.Name, Target);
  if (!New && Place->second == Target)
    return;
  ListedTarget Next = Target;
  // A life that has begun to leave does not come back.
  Next.Leaving =
      Next.Leaving || (!New && Place->second.Leaving &&
                       Place->second.Incarnation == Target.Incarnation);
  if (!New && Next == Place->second)
    return;
  Place->second = Next;
  ++Changes;
}

void TargetDirectory::remove(const std::string &Name, TimePoint Now) {
  if (Known.count(Name) == 0)
    return;
  if (Now < SettledAt) {
    Missing.emplace(Name, SettledAt);
    return;
  }
  Missing.erase(Name);
  Known.erase(Name);
  ++Changes;
}

void TargetDirectory::replaceAll(const std::vector<ListedTarget> &Listed,
                                 TimePoint Now) {
  std::set<std::string> Names;
  for (const ListedTarget &Each : Listed) {
    Names.insert(Each.Name);
    put(Each);
  }
  std::vector<std::string> Gone;
  for (const auto &[Name, Each] : Known)
    if (Names.count(Name) == 0)
      Gone.push_back(Name);
  for (const std::string &Name : Gone)
    remove(Name, Now);
}

bool TargetDirectory::expireMissing(TimePoint Now) {
  const std::uint64_t Before = Changes;
  for (auto Each = Missing.begin(); Each != Missing.end();) {
    if (Now < Each->second) {
      ++Each;
      continue;
    }
    Known.erase(Each->first);
    ++Changes;
    Each = Missing.erase(Each);
  }
  return Changes != Before;
}

} // namespace marjorambay
