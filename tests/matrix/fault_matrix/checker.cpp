/// The invariants on requests.
#include "checker.h"

#include <algorithm>
#include <utility>

namespace marjorambay::matrix {

void Checker::report(Invariant Broken, std::string Detail) {
  if (Reported.emplace(Broken, Detail).second)
    Violations.push_back({Broken, CurrentStep, std::move(Detail)});
}

void Checker::requested(const RequestKey &Key, TimePoint Now, Duration TimeLeft,
                        bool MayLose) {
  Seen &Request = Requests[Key];
  Request.Arrived = Now;
  Request.Deadline = Now + TimeLeft;
  Request.Due = Request.Deadline + AnswerMargin;
  Request.MayLose = MayLose;
}

void Checker::hostPaused(HostId Host, TimePoint Until) {
  for (auto &[Key, Request] : Requests)
    if (Key.Origin == Host)
      Request.Due = std::max(Request.Due, Until + milliseconds(500));
}

void Checker::ran(const RequestKey &Key) {
  Seen &Request = Requests[Key];
  if (++Request.Runs > 1)
    report(Invariant::DispatchOnce, "ran twice: " + formatKey(Key));
  if (Request.ToldNotRun)
    report(Invariant::NotRunIsTrue, "ran after its end: " + formatKey(Key));
}

/// A key that is sent again within the retention of its first use must not be
/// applied again.
void Checker::applied(const KeyHash &Key, const RequestKey &Request) {
  const TimePoint Arrived = Requests[Request].Arrived;
  std::vector<TimePoint> &Uses = Applications[Key];
  for (const TimePoint Other : Uses)
    if (std::max(Arrived, Other) - std::min(Arrived, Other) < Retention)
      report(Invariant::ApplyOnce, "key " + std::to_string(Key.Low));
  Uses.push_back(Arrived);
}

void Checker::wrote(const RequestKey &Key, TimePoint Now,
                    std::optional<TimePoint> KnownLeaving) {
  if (Now > Requests[Key].Deadline)
    report(Invariant::DispatchInTime, "too late: " + formatKey(Key));
  if (KnownLeaving && Now - *KnownLeaving > LeavingGrace)
    report(Invariant::LeavingTargetIdle, "new work: " + formatKey(Key));
}

void Checker::relayed(const RequestKey &To, const RequestKey &Owner,
                      std::uint32_t Part) {
  Seen &Request = Requests[To];
  if (Request.CallerGone)
    return;
  if (To != Owner)
    report(Invariant::WholeAnswer, "another's answer: " + formatKey(To));
  if (Request.Ended)
    report(Invariant::WholeAnswer, "part after the end: " + formatKey(To));
  if (Part != Request.PartsSeen++)
    report(Invariant::WholeAnswer, "part out of order: " + formatKey(To));
}

void Checker::end(const RequestKey &Key, TimePoint Now) {
  Seen &Request = Requests[Key];
  if (Request.Ended)
    report(Invariant::AnsweredInTime, "two ends: " + formatKey(Key));
  Request.Ended = true;
  if (!Request.CallerGone && Now > Request.Due)
    report(Invariant::AnsweredInTime, "late: " + formatKey(Key));
}

void Checker::finished(const RequestKey &Key) {
  Seen &Request = Requests[Key];
  end(Key, CurrentTime);
  Request.Succeeded = true;
  if (!Request.CallerGone && Request.PartsSeen != AnswerParts)
    report(Invariant::WholeAnswer, "short answer: " + formatKey(Key));
}

void Checker::failed(const RequestKey &Key, MayHaveRun Ran) {
  Seen &Request = Requests[Key];
  end(Key, CurrentTime);
  if (Ran == MayHaveRun::Maybe)
    return;
  Request.ToldNotRun = true;
  if (Request.Runs > 0)
    report(Invariant::NotRunIsTrue, "had run: " + formatKey(Key));
}

void Checker::replayed(const RequestKey &Key, const KeyHash &Once) {
  end(Key, CurrentTime);
  Requests[Key].Succeeded = true;
  if (Applications[Once].empty())
    report(Invariant::ReplayIsTrue, "never ran: " + std::to_string(Once.Low));
}

void Checker::drainCut(const RequestKey &Key) {
  report(Invariant::StopCutsNothing, "cut by a stop: " + formatKey(Key));
}

void Checker::slotWanted(HostId Arbiter, const Reservation &Request) {
  // A reservation that is sent again gets its grant told again: no decision.
  if (Holding[Arbiter].count(Request.Key) == 0)
    Waiting[Arbiter][Request.Key] = Request.Tier;
}

void Checker::slotHeld(HostId Arbiter, const RequestKey &Key) {
  Waiting[Arbiter].erase(Key);
  Holding[Arbiter].insert(Key);
}

void Checker::arbiterGone(HostId Arbiter) {
  Waiting.erase(Arbiter);
  Holding.erase(Arbiter);
}

void Checker::slotDropped(HostId Arbiter, const RequestKey &Key) {
  Waiting[Arbiter].erase(Key);
  Holding[Arbiter].erase(Key);
}

void Checker::slotGranted(HostId Arbiter, const RequestKey &Key) {
  auto &Queue = Waiting[Arbiter];
  const auto Granted = Queue.find(Key);
  if (Granted == Queue.end())
    return; // a grant that is told again
  const TierRank Tier = Granted->second;
  Queue.erase(Granted);
  Holding[Arbiter].insert(Key);
  for (const auto &[Other, Rank] : Queue)
    if (Rank < Tier)
      report(Invariant::TierOrder, "served before " + formatKey(Other));
}

void Checker::originLost(HostId Arbiter, HostId Origin, IncarnationId UpTo) {
  std::erase_if(Waiting[Arbiter], [&](const auto &Entry) {
    return Entry.first.Origin == Origin &&
           Entry.first.OriginIncarnation <= UpTo;
  });
}

void Checker::afterStep(std::size_t Step, TimePoint Now) {
  CurrentStep = Step;
  CurrentTime = Now;
  for (const auto &[Key, Request] : Requests)
    if (!Request.Ended && !Request.CallerGone && Now > Request.Due)
      report(Invariant::AnsweredInTime, "no end: " + formatKey(Key));
}

void Checker::atEnd(bool Faultless) {
  for (const auto &[Key, Request] : Requests) {
    if (!Request.Ended && !Request.CallerGone)
      report(Invariant::AnsweredInTime, "never: " + formatKey(Key));
    if (Faultless && !Request.Succeeded && !Request.MayLose &&
        !Request.CallerGone)
      report(Invariant::Completes, "failed: " + formatKey(Key));
  }
}

bool Checker::ended(const RequestKey &Key) const {
  const auto Found = Requests.find(Key);
  return Found != Requests.end() &&
         (Found->second.Ended || Found->second.CallerGone);
}

bool Checker::allEnded() const {
  return std::all_of(Requests.begin(), Requests.end(), [](const auto &Entry) {
    return Entry.second.Ended || Entry.second.CallerGone;
  });
}

} // namespace marjorambay::matrix
