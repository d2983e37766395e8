/// Paces of streams, and the comparison of two versions by them.
#include "marjorambay/coordination/pace_comparison.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

/// Events that arrive within this time were read together.
constexpr Duration SameRead = milliseconds(1);

/// Streams that count, of a target and of the new version as a whole.
constexpr std::size_t RecentStreams = 32;
constexpr std::size_t RecentNewStreams = 64;
/// The pace of a target is known from this many streams on.
constexpr std::size_t MinTargetStreams = 2;
constexpr std::size_t MinOldTargets = 2;

/// A version that takes longer by this factor is slower.
constexpr double SlowerFactor = 1.25;
/// Targets of the same hardware have paces within this factor of each other.
constexpr double SameHardwareFactor = 1.15;
/// Single old targets that are loaded all the time don't count as hardware of
/// their own.
constexpr double MinHardwareShare = 0.1;
/// One new target may be slow for a reason of its own.
constexpr std::size_t MinOwnPaces = 2;

/// Returns the value below which one in \p Parts lie.
Duration lowerTail(const std::deque<Duration> &Samples, std::size_t Parts) {
  std::vector<Duration> Values(Samples.begin(), Samples.end());
  const auto At =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / Parts);
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

Duration typicalPace(const std::deque<Duration> &Samples) {
  return lowerTail(Samples, 2);
}

/// Returns the pace of the fastest hardware. Of many targets, single ones look
/// faster than they are.
Duration fastestHardware(const std::vector<Duration> &Sorted) {
  const auto Index = static_cast<std::size_t>(
      MinHardwareShare * static_cast<double>(Sorted.size()));
  return Sorted[Index];
}

/// Single streams may look faster than they are.
Duration fastestPace(const std::deque<Duration> &Samples) {
  return lowerTail(Samples, 12);
}

bool isSlowerBy(double Factor, Duration Pace, Duration Reference) {
  return toSeconds(Pace) > Factor * toSeconds(Reference);
}

} // namespace

// ---- One stream -------------------------------------------------------------

void EventPace::add(std::uint32_t Count, TimePoint Now) {
  if (Count == 0 || complete())
    return;
  if (Size == 0 || (ReadBegin == 0 && Now - ReadAt < SameRead)) {
    Size = 1; // when the others were sent is not known
    Arrivals[0] = ReadAt = Now;
    return;
  }
  if (Now - ReadAt >= SameRead)
    ReadBegin = Size;
  ReadAt = Now;
  Size = std::min(Arrivals.size(), Size + Count);
  // Events that are read together were sent one after the other.
  const TimePoint Last = Arrivals[ReadBegin - 1];
  const auto Events = static_cast<std::int64_t>(Size - ReadBegin);
  for (std::int64_t Index = 1; Index <= Events; ++Index)
    Arrivals[ReadBegin + static_cast<std::size_t>(Index) - 1] =
        Last + (Now - Last) * Index / Events;
}

std::optional<Duration> EventPace::pace() const {
  if (Size <= MinIntervals)
    return std::nullopt;
  Duration Fastest = Duration::max();
  for (std::size_t Begin = 0; Begin + RunLength < Size; ++Begin)
    Fastest = std::min(Fastest, Arrivals[Begin + RunLength] - Arrivals[Begin]);
  return Fastest / static_cast<std::int64_t>(RunLength);
}

// ---- Two versions -----------------------------------------------------------

void PaceComparison::add(const PaceSamples &Batch) {
  for (const PaceSample &Sample : Batch) {
    TargetPaces &Known = Targets[Sample.Target];
    if (Known.IsNew != Sample.IsNew) // it runs another version than before
      Known = TargetPaces{Sample.IsNew, {}};
    Known.Recent.push_back(Sample.Pace);
    if (Known.Recent.size() > RecentStreams)
      Known.Recent.pop_front();
    if (!Sample.IsNew)
      continue;
    RecentNew.push_back(Sample.Pace);
    if (RecentNew.size() > RecentNewStreams)
      RecentNew.pop_front();
  }
}

std::vector<Duration> PaceComparison::paces(bool IsNew) const {
  std::vector<Duration> Paces;
  for (const auto &[Target, Known] : Targets)
    if (Known.IsNew == IsNew && Known.Recent.size() >= MinTargetStreams)
      Paces.push_back(typicalPace(Known.Recent));
  std::sort(Paces.begin(), Paces.end());
  return Paces;
}

std::optional<double> PaceComparison::ratio() const {
  const std::vector<Duration> Old = paces(false);
  if (Old.empty() || RecentNew.empty())
    return std::nullopt;
  return toSeconds(fastestPace(RecentNew)) / toSeconds(fastestHardware(Old));
}

bool PaceComparison::isSlower(std::size_t MinStreams) const {
  if (RecentNew.size() < MinStreams)
    return false;
  const std::vector<Duration> Old = paces(false);
  if (Old.size() < MinOldTargets ||
      !isSlowerBy(SlowerFactor, fastestPace(RecentNew), fastestHardware(Old)))
    return false;
  const auto HasOwnPace = [&Old](Duration Pace) {
    const auto Alike =
        std::count_if(Old.begin(), Old.end(), [Pace](Duration Reference) {
          return !isSlowerBy(SlowerFactor, Pace, Reference) &&
                 !isSlowerBy(SameHardwareFactor, Reference, Pace);
        });
    return static_cast<double>(Alike) <=
           MinHardwareShare * static_cast<double>(Old.size());
  };
  const std::vector<Duration> New = paces(true);
  const auto Own = static_cast<std::size_t>(
      std::count_if(New.begin(), New.end(), HasOwnPace));
  return Own >= MinOwnPaces || 2 * Own > New.size();
}

} // namespace marjorambay
