/// Statements about cold targets, and the division of what they accept.
#include "marjorambay/coordination/target_warmup.h"

#include "marjorambay/coordination/target_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjorambay {

namespace {

/// Two statements whose ends differ by less are the same one, received on
/// different ways. Without this, a notice that is passed around would extend
/// itself by its travel time.
constexpr Duration EndTolerance = milliseconds(250);
constexpr Duration MadeTolerance = seconds(1);
/// An entry that arrives this soon after its target was lost may have been
/// written before. Entries are written every 1,200 ms.
constexpr Duration MaxEntryDelay = milliseconds(1500);
/// A statement that a target is warm is passed on for this long.
constexpr Duration WarmNoticeTime = seconds(3);
/// A statement this new is passed on in every digest.
constexpr Duration NewNoticeTime = milliseconds(500);
constexpr std::size_t MaxNewNotices = 48;

/// Requests kept for those that reach a target twice, as after a connection
/// that was lost while a request was sent.
constexpr double RetryMargin = 1;

bool differ(TimePoint One, TimePoint Other, Duration Tolerance) {
  return One - Other >= Tolerance || Other - One >= Tolerance;
}

} // namespace

// ---- What a host knows ------------------------------------------------------

bool TargetWarmups::isCold(const Entry &Known, TimePoint Now) {
  return Known.AwaitsResponse || Now < Known.ColdUntil;
}

bool TargetWarmups::isShared(const Entry &Known, TimePoint Now) {
  const bool Passed = Known.Source == WarmupSource::Response ||
                      Known.Source == WarmupSource::Lost;
  return Passed && (isCold(Known, Now) || Now - Known.MadeAt < WarmNoticeTime);
}

bool TargetWarmups::saysSame(const Entry &Known, const Entry &New) {
  return Known.Incarnation == New.Incarnation &&
         Known.AwaitsResponse == New.AwaitsResponse &&
         (Known.AwaitsResponse ||
          !differ(Known.ColdUntil, New.ColdUntil, EndTolerance)) &&
         !differ(Known.MadeAt, New.MadeAt, MadeTolerance);
}

void TargetWarmups::replace(TargetId Target, const Entry &New, bool Local) {
  const auto [Known, IsNew] = Entries.try_emplace(Target, New);
  const bool Same = !IsNew && saysSame(Known->second, New);
  const TimePoint ChangedAt = Known->second.ChangedAt;
  Known->second = New;
  if (Same)
    Known->second.ChangedAt = ChangedAt;
  else
    Dirty.insert(Target);
  const bool Shared =
      New.Source == WarmupSource::Response || New.Source == WarmupSource::Lost;
  if (Local && Shared && !Same)
    Unsent.insert(Target);
}

void TargetWarmups::recordEntry(TargetId Target, IncarnationId Incarnation,
                                Duration Left, TimePoint Now) {
  const auto Found = Entries.find(Target);
  if (Found != Entries.end()) {
    const Entry &Known = Found->second;
    const bool MayBeOlder = Incarnation == Known.Incarnation &&
                            Known.Source == WarmupSource::Lost &&
                            Now - Known.LostAt < MaxEntryDelay;
    if (Incarnation < Known.Incarnation || MayBeOlder)
      return;
  }
  replace(Target,
          {Incarnation, WarmupSource::Entry, false, Now, Now + Left, Now},
          true);
}

void TargetWarmups::recordStatement(TargetId Target, IncarnationId Incarnation,
                                    Duration Left, TimePoint SentAt,
                                    TimePoint Now) {
  // The statement was made between SentAt and now. One of a remaining time
  // counts from now, and one that there is none as of SentAt.
  const bool SaysCold = Left > Duration(0);
  Entry New{Incarnation,
            WarmupSource::Response,
            false,
            SaysCold ? Now : SentAt,
            SaysCold ? Now + Left : SentAt,
            Now};
  const auto Found = Entries.find(Target);
  if (Found != Entries.end()) {
    const Entry &Known = Found->second;
    if (Incarnation < Known.Incarnation)
      return;
    const bool Later = Incarnation > Known.Incarnation || SentAt > Known.MadeAt;
    const bool Extends =
        SaysCold && !Known.AwaitsResponse && New.ColdUntil > Known.ColdUntil;
    if (!Later && !Extends)
      return;
  } else if (!SaysCold) {
    return; // it was never cold, as far as this host knows
  }
  replace(Target, New, true);
}

void TargetWarmups::assumeCold(TargetId Target, IncarnationId Incarnation,
                               WarmupSource Source, Duration Warmup,
                               TimePoint Now) {
  const auto Known = Entries.find(Target);
  if (Known != Entries.end()) {
    const Entry &Old = Known->second;
    const bool Stated =
        Source == WarmupSource::FirstSight && Incarnation == Old.Incarnation;
    const bool Awaits = Old.AwaitsResponse && Incarnation == Old.Incarnation;
    if (Incarnation < Old.Incarnation || Stated || Awaits)
      return;
  }
  replace(Target, {Incarnation, Source, false, Now, Now + Warmup, Now}, true);
}

void TargetWarmups::dropFirstSights(TimePoint Now) {
  for (auto &[Target, Known] : Entries)
    if (Known.Source == WarmupSource::FirstSight && isCold(Known, Now)) {
      Known.ColdUntil = Now;
      Dirty.insert(Target);
    }
}

void TargetWarmups::recordLost(TargetId Target, IncarnationId Incarnation,
                               TimePoint Now) {
  const auto Known = Entries.find(Target);
  if (Known != Entries.end() && Incarnation < Known->second.Incarnation)
    return;
  replace(Target, {Incarnation, WarmupSource::Lost, true, Now, Now, Now, Now},
          true);
}

void TargetWarmups::recordResponse(TargetId Target, TimePoint SentAt,
                                   Duration Warmup, TimePoint Now) {
  const auto Known = Entries.find(Target);
  if (Known == Entries.end() || !Known->second.AwaitsResponse ||
      SentAt <= Known->second.MadeAt)
    return;
  replace(Target,
          {Known->second.Incarnation, WarmupSource::Lost, false, Now,
           Now + Warmup, Now, Known->second.LostAt},
          true);
}

void TargetWarmups::merge(const TargetWarmupNotice &Notice, TimePoint Now) {
  const TimePoint MadeAt = Now - Notice.Age;
  const Entry New{Notice.Incarnation,
                  Notice.Source,
                  Notice.AwaitsResponse,
                  MadeAt,
                  Now + Notice.Left,
                  Now,
                  MadeAt};
  const auto Known = Entries.find(Notice.Target);
  if (Known == Entries.end()) {
    if (isCold(New, Now))
      replace(Notice.Target, New, false);
    return;
  }
  const Entry &Old = Known->second;
  const bool Later =
      New.Incarnation > Old.Incarnation ||
      (New.Incarnation == Old.Incarnation && New.MadeAt > Old.MadeAt);
  if (Later && !saysSame(Old, New))
    replace(Notice.Target, New, false);
}

void TargetWarmups::retain(
    const std::unordered_map<TargetId, IncarnationId> &Listed) {
  std::erase_if(Entries, [&](const auto &Known) {
    const auto Found = Listed.find(Known.first);
    const bool Stays =
        Found != Listed.end() && Found->second <= Known.second.Incarnation;
    if (!Stays) {
      Unsent.erase(Known.first);
      Dirty.insert(Known.first);
    }
    return !Stays;
  });
}

bool TargetWarmups::isCold(TargetId Target, TimePoint Now) const {
  const auto Known = Entries.find(Target);
  return Known != Entries.end() && isCold(Known->second, Now);
}

bool TargetWarmups::awaitsResponse(TargetId Target) const {
  const auto Known = Entries.find(Target);
  return Known != Entries.end() && Known->second.AwaitsResponse;
}

std::optional<TimePoint> TargetWarmups::coldUntil(TargetId Target,
                                                  TimePoint Now) const {
  const auto Known = Entries.find(Target);
  if (Known == Entries.end() || Known->second.AwaitsResponse ||
      Now >= Known->second.ColdUntil)
    return std::nullopt;
  return Known->second.ColdUntil;
}

std::optional<WarmupSource> TargetWarmups::source(TargetId Target) const {
  const auto Known = Entries.find(Target);
  if (Known == Entries.end())
    return std::nullopt;
  return Known->second.Source;
}

std::vector<WarmupChange> TargetWarmups::takeChanges(TimePoint Now) {
  std::vector<WarmupChange> Changes;
  std::set<TargetId> Candidates = std::exchange(Dirty, {});
  for (const TargetId Target : Announced)
    if (!isCold(Target, Now))
      Candidates.insert(Target);
  for (const TargetId Target : Candidates) {
    const WarmupChange Change{Target, isCold(Target, Now),
                              Announced.count(Target) != 0};
    if (Change.IsCold || Change.WasCold)
      Changes.push_back(Change);
    if (Change.IsCold)
      Announced.insert(Target);
    else
      Announced.erase(Target);
  }
  return Changes;
}

TargetWarmupNotice TargetWarmups::noticeOf(TargetId Target, const Entry &Known,
                                           TimePoint Now) {
  return {Target,
          Known.Incarnation,
          Known.Source,
          Known.AwaitsResponse,
          std::max(Duration(0), Known.ColdUntil - Now),
          std::max(Duration(0), Now - Known.MadeAt)};
}

std::vector<TargetWarmupNotice> TargetWarmups::takeUnsent(std::size_t Old,
                                                          TimePoint Now) {
  std::vector<TargetWarmupNotice> Notices;
  for (const TargetId Target : Unsent)
    Notices.push_back(noticeOf(Target, Entries.at(Target), Now));
  Unsent.clear();
  for (const TargetWarmupNotice &Notice : nextNotices(Old, Now))
    Notices.push_back(Notice);
  return Notices;
}

std::vector<TargetWarmupNotice> TargetWarmups::nextNotices(std::size_t Count,
                                                           TimePoint Now) {
  std::vector<TargetWarmupNotice> Notices;
  for (const auto &[Target, Known] : Entries)
    if (isShared(Known, Now) && Now - Known.ChangedAt < NewNoticeTime &&
        Notices.size() < MaxNewNotices)
      Notices.push_back(noticeOf(Target, Known, Now));
  auto Next = Entries.upper_bound(LastSent);
  const std::size_t Most = Notices.size() + Count;
  for (std::size_t Seen = 0; Seen < Entries.size() && Notices.size() < Most;
       ++Seen, ++Next) {
    if (Next == Entries.end())
      Next = Entries.begin();
    const bool IsNew = Now - Next->second.ChangedAt < NewNoticeTime;
    if (!isShared(Next->second, Now) || IsNew)
      continue;
    Notices.push_back(noticeOf(Next->first, Next->second, Now));
    LastSent = Next->first;
  }
  return Notices;
}

// ---- Division of the permitted requests -------------------------------------

WarmupBudget warmupBudget(double PerSecond, const WarmupBounds &Bounds) {
  constexpr double RoundingError = 1e-9;
  const double All =
      std::floor(PerSecond * Bounds.Overrun + Bounds.Slack + RoundingError);
  // What one arbiter's bucket grants at once, in addition to its rate.
  constexpr double Burst = 1;
  const double Window =
      toSeconds(ColdGrantWindow) + toSeconds(TargetPacer::ColdBurst);
  const double Margin = All > 2 * Burst ? RetryMargin : 0;
  const double ForRate = All - Burst - Margin;
  WarmupBudget Budget;
  Budget.ArbiterRate = std::clamp(ForRate / Window, 0.0, PerSecond);
  Budget.Permits = static_cast<std::uint32_t>(std::max(
      0.0, std::floor(ForRate - Budget.ArbiterRate * Window + RoundingError)));
  return Budget;
}

double permitRate(std::uint32_t Permits) {
  // A little more than a second and the time to connect, so that each permit is
  // used at most once in any second at the target.
  constexpr double Period = 1.15;
  static_assert(Period > 1 + toSeconds(ColdConnectTimeout));
  return Permits / Period;
}

std::uint32_t permitsOf(std::size_t Rank, std::size_t Hosts,
                        std::uint32_t Permits) {
  const auto Count =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, Hosts));
  return Permits / Count + (Rank < Permits % Count ? 1 : 0);
}

} // namespace marjorambay
