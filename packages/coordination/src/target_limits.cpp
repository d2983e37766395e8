/// Words of targets on their limits, and token buckets by target.
#include "marjorambay/coordination/target_limits.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

/// A target that wants fewer gets this many, because only its answers show when
/// its need is over.
constexpr double MinPerSecond = 0.5;
/// Seconds of its rate that a target may get at once, beside one request.
constexpr double BurstSeconds = 0.5;
/// Length of a host's turn at a target of which it grants a part.
constexpr double TurnSeconds = 1;

} // namespace

// ---- What a host knows ------------------------------------------------------

LimitChange TargetLimits::learn(const TargetLimitWord &Word, TimePoint Now) {
  const auto Known = Entries.find(Word.Target);
  if (Known == Entries.end() && !Word.PerSecond)
    return LimitChange::None;
  const Entry New{Word.Incarnation, Word.PerSecond, Now - Word.Age};
  if (Known == Entries.end()) {
    Entries.emplace(Word.Target, New);
    return LimitChange::Learned;
  }
  Entry &Old = Known->second;
  const bool Later =
      New.Incarnation > Old.Incarnation ||
      (New.Incarnation == Old.Incarnation && New.SentAt > Old.SentAt);
  // A word that is passed around must not become newer with each host.
  const bool Same =
      New.Incarnation == Old.Incarnation && New.PerSecond == Old.PerSecond;
  if (!Later || Same)
    return LimitChange::None;
  const bool Had = Old.PerSecond.has_value();
  Old = New;
  if (!New.PerSecond)
    return Had ? LimitChange::Ended : LimitChange::None;
  return Had ? LimitChange::Changed : LimitChange::Learned;
}

LimitChange TargetLimits::hear(const TargetLimitWord &Word, TimePoint Now) {
  const LimitChange Change = learn(Word, Now);
  const auto Known = Entries.find(Word.Target);
  if (Known == Entries.end() || Known->second.Incarnation != Word.Incarnation)
    return Change;
  if (Known->second.PerSecond == Word.PerSecond)
    Known->second.SentAt = std::max(Known->second.SentAt, Now - Word.Age);
  Heard.insert(Word.Target);
  NewsDue = NewsDue || Change != LimitChange::None;
  return Change;
}

std::vector<TargetId> TargetLimits::retain(
    const std::unordered_map<TargetId, IncarnationId> &Listed) {
  std::vector<TargetId> Dropped;
  std::erase_if(Entries, [&](const auto &Known) {
    const auto Found = Listed.find(Known.first);
    const bool Stays =
        Found != Listed.end() && Found->second <= Known.second.Incarnation;
    if (!Stays && Known.second.PerSecond)
      Dropped.push_back(Known.first);
    if (!Stays)
      Heard.erase(Known.first);
    return !Stays;
  });
  return Dropped;
}

std::optional<double> TargetLimits::limit(TargetId Target) const {
  const auto Known = Entries.find(Target);
  return Known == Entries.end() ? std::nullopt : Known->second.PerSecond;
}

std::size_t TargetLimits::size() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &Known) {
        return Known.second.PerSecond.has_value();
      }));
}

TargetLimitWord TargetLimits::wordOf(TargetId Target, const Entry &Known,
                                     TimePoint Now) const {
  return {Target, Known.Incarnation, Known.PerSecond, Now - Known.SentAt};
}

std::vector<TargetLimitWord> TargetLimits::takeNews(std::size_t Old,
                                                    TimePoint Now) {
  std::vector<TargetLimitWord> News = someWords(Old, Now);
  for (const TargetId Target : Heard)
    News.push_back(wordOf(Target, Entries.at(Target), Now));
  Heard.clear();
  NewsDue = false;
  return News;
}

std::vector<TargetLimitWord> TargetLimits::someWords(std::size_t Count,
                                                     TimePoint Now) {
  std::vector<TargetLimitWord> Words;
  auto Next = Entries.upper_bound(LastPassedOn);
  for (std::size_t Index = 0; Index < std::min(Count, Entries.size());
       ++Index) {
    if (Next == Entries.end())
      Next = Entries.begin();
    Words.push_back(wordOf(Next->first, Next->second, Now));
    LastPassedOn = Next->first;
    ++Next;
  }
  return Words;
}

// ---- Pacing -----------------------------------------------------------------

double TargetPacer::rateOf(const Bucket &Entry) {
  return std::max(Entry.Pace.PerSecond, MinPerSecond) * Entry.Pace.Share;
}

double TargetPacer::tokensOf(const Bucket &Entry, TimePoint Now) {
  const double Rate = rateOf(Entry);
  return std::min(1 + BurstSeconds * Rate,
                  Entry.Tokens + Rate * toSeconds(Now - Entry.At));
}

/// Whether this host has its turn, and has not used it. A turn that passes
/// unused is lost: hosts that saved it up could all use it at the same moment.
bool TargetPacer::hasTurn(const Bucket &Entry, TimePoint Now) {
  const double Period = 1 / rateOf(Entry);
  const double Length = std::min(Period, TurnSeconds);
  const double Since = std::fmod(
      toSeconds(Now.time_since_epoch()) + Entry.Pace.Phase * Period, Period);
  return Since < Length && (Entry.LastSend == TimePoint{} ||
                            toSeconds(Now - Entry.LastSend) > Since);
}

void TargetPacer::set(TargetId Target, const std::optional<TargetPace> &Pace,
                      TimePoint Now) {
  if (!Pace) {
    Buckets.erase(Target);
    return;
  }
  const auto [Known, IsNew] = Buckets.try_emplace(Target);
  Bucket &Entry = Known->second;
  Entry.Tokens = IsNew ? 0 : tokensOf(Entry, Now);
  Entry.At = Now;
  Entry.Pace = *Pace;
}

bool TargetPacer::allows(TargetId Target, TimePoint Now) const {
  const auto Known = Buckets.find(Target);
  if (Known == Buckets.end())
    return true;
  return Known->second.Pace.Share < 1 ? hasTurn(Known->second, Now)
                                      : tokensOf(Known->second, Now) >= 1;
}

void TargetPacer::recordSend(TargetId Target, TimePoint Now) {
  const auto Known = Buckets.find(Target);
  if (Known == Buckets.end())
    return;
  Known->second.Tokens = tokensOf(Known->second, Now) - 1;
  Known->second.At = Now;
  Known->second.LastSend = Now;
}

std::optional<double> TargetPacer::rate(TargetId Target) const {
  const auto Known = Buckets.find(Target);
  if (Known == Buckets.end())
    return std::nullopt;
  return rateOf(Known->second);
}

double TargetPacer::allowance(TargetId Target, TimePoint Now) const {
  const auto Known = Buckets.find(Target);
  return Known == Buckets.end() ? 0
                                : std::max(0.0, tokensOf(Known->second, Now));
}

} // namespace marjorambay
