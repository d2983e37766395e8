/// Notices of targets on their limits, and token buckets by target.
#include "marjorambay/coordination/target_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorambay {

namespace {

/// A target that wants fewer gets this many, because only its answers show when
/// its need is over.
constexpr double MinPerSecond = 0.5;
/// Seconds of its rate that a target may get at once, beside one request.
constexpr double BurstSeconds = 0.5;
/// Length of a host's turn at a target of which it grants a part.
constexpr double TurnSeconds = 1;
/// A target that has answered within this time is assumed to be the same
/// process. A start takes longer.
constexpr Duration AnswerTrust = milliseconds(300);
/// Length of a slot in which sent requests are counted.
constexpr Duration RecentSlot = milliseconds(50);
/// Time that usually passes from the moment at which a target becomes cold
/// until its arbiter knows.
constexpr Duration UnnoticedColdTime = milliseconds(300);

} // namespace

// ---- What a host knows ------------------------------------------------------

LimitChange TargetLimits::merge(const TargetLimitNotice &Notice,
                                TimePoint Now) {
  const auto Known = Entries.find(Notice.Target);
  if (Known == Entries.end() && !Notice.PerSecond)
    return LimitChange::None;
  const Entry New{Notice.Incarnation, Notice.PerSecond, Now - Notice.Age};
  if (Known == Entries.end()) {
    Entries.emplace(Notice.Target, New);
    return LimitChange::Learned;
  }
  Entry &Old = Known->second;
  const bool Later =
      New.Incarnation > Old.Incarnation ||
      (New.Incarnation == Old.Incarnation && New.SentAt > Old.SentAt);
  // A notice that is passed around must not become newer with each host.
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

LimitChange TargetLimits::observe(const TargetLimitNotice &Notice,
                                  TimePoint Now) {
  const LimitChange Change = merge(Notice, Now);
  const auto Known = Entries.find(Notice.Target);
  if (Known == Entries.end() || Known->second.Incarnation != Notice.Incarnation)
    return Change;
  if (Known->second.PerSecond == Notice.PerSecond)
    Known->second.SentAt = std::max(Known->second.SentAt, Now - Notice.Age);
  Unsent.insert(Notice.Target);
  ChangeUnsent = ChangeUnsent || Change != LimitChange::None;
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
      Unsent.erase(Known.first);
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

TargetLimitNotice TargetLimits::noticeOf(TargetId Target, const Entry &Known,
                                         TimePoint Now) const {
  return {Target, Known.Incarnation, Known.PerSecond, Now - Known.SentAt};
}

std::vector<TargetLimitNotice> TargetLimits::takeUnsent(std::size_t Old,
                                                        TimePoint Now) {
  std::vector<TargetLimitNotice> Notices = nextNotices(Old, Now);
  for (const TargetId Target : Unsent)
    Notices.push_back(noticeOf(Target, Entries.at(Target), Now));
  Unsent.clear();
  ChangeUnsent = false;
  return Notices;
}

std::vector<TargetLimitNotice> TargetLimits::nextNotices(std::size_t Count,
                                                         TimePoint Now) {
  std::vector<TargetLimitNotice> Notices;
  auto Next = Entries.upper_bound(LastSent);
  for (std::size_t Index = 0; Index < std::min(Count, Entries.size());
       ++Index) {
    if (Next == Entries.end())
      Next = Entries.begin();
    Notices.push_back(noticeOf(Next->first, Next->second, Now));
    LastSent = Next->first;
    ++Next;
  }
  return Notices;
}

// ---- Pacing -----------------------------------------------------------------

void TargetPacer::RecentSends::record(TimePoint Now) {
  const std::int64_t Slot = Now.time_since_epoch() / RecentSlot;
  const std::int64_t Passed = std::clamp<std::int64_t>(
      Slot - LastSlot, 0, static_cast<std::int64_t>(Slots));
  for (std::int64_t Next = 1; Next <= Passed; ++Next)
    Counts[static_cast<std::size_t>(LastSlot + Next) % Slots] = 0;
  if (Passed == static_cast<std::int64_t>(Slots))
    Counts.fill(0);
  LastSlot = std::max(LastSlot, Slot);
  std::uint16_t &Count = Counts[static_cast<std::size_t>(LastSlot) % Slots];
  if (Count < std::numeric_limits<std::uint16_t>::max())
    ++Count;
}

double TargetPacer::RecentSends::since(TimePoint Then, TimePoint Now) const {
  const std::int64_t Current = Now.time_since_epoch() / RecentSlot;
  const std::int64_t First =
      std::max({Then.time_since_epoch() / RecentSlot,
                Current - static_cast<std::int64_t>(Slots) + 1,
                LastSlot - static_cast<std::int64_t>(Slots) + 1});
  double Sum = 0;
  for (std::int64_t Slot = First; Slot <= LastSlot; ++Slot)
    Sum += Counts[static_cast<std::size_t>(Slot) % Slots];
  return Sum;
}

double TargetPacer::rateOf(const Bucket &Entry) {
  if (Entry.Pace.IsCold)
    return Entry.Pace.PerSecond;
  return std::max(Entry.Pace.PerSecond, MinPerSecond) * Entry.Pace.Share;
}

double TargetPacer::maxTokens(const Bucket &Entry) {
  if (!Entry.Pace.IsCold)
    return 1 + BurstSeconds * rateOf(Entry);
  // Hosts that have a part each could use what they saved up together.
  return Entry.Pace.Share < 1 ? 1 : 1 + toSeconds(ColdBurst) * rateOf(Entry);
}

double TargetPacer::tokensOf(const Bucket &Entry, TimePoint Now) {
  const double Rate = rateOf(Entry);
  return std::min(maxTokens(Entry),
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

bool TargetPacer::hasLease(const Bucket &Entry, TimePoint Now) const {
  return !Entry.Pace.NeedsLease || Now < LeaseUntil;
}

/// Returns the tokens of a new bucket. It is empty, so that successive arbiters
/// do not grant a burst each. The requests that a target got just before it was
/// known to be cold are counted as if it had been.
double TargetPacer::tokensAtStart(TargetId Target, const TargetPace &Pace,
                                  TimePoint Now) const {
  const auto Sends = Recent.find(Target);
  if (!Pace.IsCold || Sends == Recent.end())
    return 0;
  const double Got = Sends->second.since(Now - UnnoticedColdTime, Now);
  return std::min(0.0, Pace.PerSecond * toSeconds(UnnoticedColdTime) - Got);
}

void TargetPacer::set(TargetId Target, const std::optional<TargetPace> &Pace,
                      TimePoint Now) {
  if (!Pace) {
    Buckets.erase(Target);
    return;
  }
  const auto [Known, IsNew] = Buckets.try_emplace(Target);
  Bucket &Entry = Known->second;
  const double Before = IsNew ? 0 : tokensOf(Entry, Now);
  const bool BecomesCold = Pace->IsCold && !Entry.Pace.IsCold;
  Entry.Tokens = BecomesCold
                     ? std::min(Before, tokensAtStart(Target, *Pace, Now))
                     : Before;
  Entry.At = Now;
  Entry.Pace = *Pace;
}

/// Whether \p Target may have restarted unnoticed, and has got as many requests
/// as a cold target accepts.
bool TargetPacer::mayBeNew(TargetId Target, std::uint32_t InFlight,
                           TimePoint Now) const {
  // An answer shows nothing if this process was suspended: it may have waited.
  if (Now >= InTouchUntil)
    return InFlight != 0;
  const auto Sent = Recent.find(Target);
  if (Sent != Recent.end() && Now - Sent->second.AnsweredAt <= AnswerTrust)
    return false;
  return UnconfirmedRate > 0 && Sent != Recent.end() &&
         Sent->second.since(Now - seconds(1), Now) >= 1 + UnconfirmedRate;
}

bool TargetPacer::allows(TargetId Target, std::uint32_t InFlight,
                         TimePoint Now) const {
  if (mayBeNew(Target, InFlight, Now))
    return false;
  const auto Known = Buckets.find(Target);
  if (Known == Buckets.end())
    return true;
  const Bucket &Entry = Known->second;
  if (Entry.Pace.IsCold)
    return hasLease(Entry, Now) && tokensOf(Entry, Now) >= 1;
  return Entry.Pace.Share < 1 ? hasTurn(Entry, Now) : tokensOf(Entry, Now) >= 1;
}

void TargetPacer::recordSend(TargetId Target, TimePoint Now) {
  Recent[Target].record(Now);
  const auto Known = Buckets.find(Target);
  if (Known == Buckets.end())
    return;
  Known->second.Tokens = tokensOf(Known->second, Now) - 1;
  Known->second.At = Now;
  Known->second.LastSend = Now;
}

bool TargetPacer::isCold(TargetId Target) const {
  const auto Known = Buckets.find(Target);
  return Known != Buckets.end() && Known->second.Pace.IsCold;
}

std::optional<double> TargetPacer::rate(TargetId Target, TimePoint Now) const {
  const auto Known = Buckets.find(Target);
  if (Known == Buckets.end())
    return std::nullopt;
  return hasLease(Known->second, Now) ? rateOf(Known->second) : 0;
}

TimePoint TargetPacer::endsAt(TargetId Target) const {
  const auto Known = Buckets.find(Target);
  return Known == Buckets.end() ? TimePoint{} : Known->second.Pace.EndsAt;
}

bool TargetPacer::hasSpare(TargetId Target, TimePoint Now) const {
  const auto Known = Buckets.find(Target);
  return Known != Buckets.end() && Known->second.Pace.Share >= 1 &&
         !Known->second.Pace.IsCold &&
         tokensOf(Known->second, Now) >= maxTokens(Known->second);
}

double TargetPacer::allowance(TargetId Target, TimePoint Now) const {
  const auto Known = Buckets.find(Target);
  return Known == Buckets.end() || !hasLease(Known->second, Now)
             ? 0
             : std::max(0.0, tokensOf(Known->second, Now));
}

void TargetPacer::retain(
    const std::unordered_map<TargetId, std::size_t> &Listed) {
  std::erase_if(Recent, [&Listed](const auto &Known) {
    return Listed.count(Known.first) == 0;
  });
}

} // namespace marjorambay
