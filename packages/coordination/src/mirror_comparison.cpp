/// Comparison of a host's copy of objects with those of the hubs.
#include "marjorambay/coordination/mirror_comparison.h"

#include <algorithm>

namespace marjorambay {

void MirrorComparison::record(HostId Hub, std::uint32_t Own,
                              std::uint32_t Reported, TimePoint Now) {
  std::erase_if(Comparisons, [Now](const auto &Entry) {
    return Now - Entry.second.At >= ReportTimeout;
  });
  if (Own == 0 || Reported == 0) {
    Comparisons.erase(Hub);
    return;
  }
  Comparison &Last = Comparisons[Hub];
  const bool Same = Last.Own == Own && Last.Reported == Reported;
  Last = {Own, Reported, Same ? Last.Since : Now, Now};
  const bool AllEqual = std::all_of(
      Comparisons.begin(), Comparisons.end(), [](const auto &Entry) {
        return Entry.second.Own == Entry.second.Reported;
      });
  if (!AllEqual)
    return;
  RepairedAt = TimePoint{};
  RepairInterval = MinRepairInterval;
}

std::optional<HostId> MirrorComparison::repairDue(TimePoint Now) const {
  if (RepairedAt != TimePoint{} && Now - RepairedAt < RepairInterval)
    return std::nullopt;
  std::optional<HostId> Longest;
  for (const auto &[Hub, Each] : Comparisons)
    if (differedFor(Hub, Now) >= MinDifference &&
        (!Longest || Each.Since < Comparisons.at(*Longest).Since))
      Longest = Hub;
  return Longest;
}

bool MirrorComparison::anyEqual(TimePoint Now) const {
  return std::any_of(Comparisons.begin(), Comparisons.end(),
                     [Now](const auto &Entry) {
                       return Entry.second.Own == Entry.second.Reported &&
                              Now - Entry.second.At < ReportTimeout;
                     });
}

Duration MirrorComparison::differedFor(HostId Hub, TimePoint Now) const {
  const auto Found = Comparisons.find(Hub);
  if (Found == Comparisons.end() ||
      Found->second.Own == Found->second.Reported ||
      Now - Found->second.At >= ReportTimeout)
    return Duration(0);
  return Now - Found->second.Since;
}

void MirrorComparison::recordRepair(TimePoint Now) {
  if (RepairedAt != TimePoint{})
    RepairInterval = std::min(2 * RepairInterval, MaxRepairInterval);
  RepairedAt = Now;
}

} // namespace marjorambay
