/// The naive parts.
#include "naive.h"

#include <algorithm>
#include <utility>

namespace marjorambay::matrix {

// ---- Origin -----------------------------------------------------------------

OriginActions NaiveOrigin::step(const OriginEvent &Event, TimePoint At) {
  Now = At;
  Actions.clear();
  std::visit([this](const auto &Known) { on(Known); }, Event);
  return std::exchange(Actions, {});
}

TimePoint NaiveOrigin::wakeAt() const {
  return Calls.empty() || Habits.WaitsForever ? TimePoint::max() : TimePoint{};
}

void NaiveOrigin::on(const CallerRequested &Event) {
  Held &Request = Calls[Event.Id];
  Request.Call = Event;
  Request.Deadline = Now + Event.TimeLeft;
  if (Event.Kind != RouteKind::NonIdempotentCall)
    return askSlot(Request);
  Actions.push_back(
      RecordIntent{Event.Id, Event.Key, Event.BodyHash, Event.TimeLeft});
}

void NaiveOrigin::askSlot(const Held &Request) {
  Reservation Wanted;
  Wanted.Key = {Settings.Self, Settings.Incarnation, Request.Call.Id};
  Wanted.Account = Request.Call.Account;
  Wanted.Tier = Request.Call.Tier;
  Wanted.Pool = Request.Call.Pool;
  Wanted.Remaining = Request.Deadline - Now;
  Actions.push_back(RequestSlot{Wanted});
}

void NaiveOrigin::on(const IntentDecided &Event) {
  const auto Found = Calls.find(Event.Id);
  if (Found == Calls.end())
    return;
  if (Event.Decision == IntentDecision::Fresh)
    return askSlot(Found->second);
  if (Event.Decision == IntentDecision::Applied) {
    Actions.push_back(ReplayOutcome{Event.Id, Event.AppliedStatus});
    Calls.erase(Found);
    return;
  }
  fail(Event.Id, ErrorKind::Conflict, MayHaveRun::No);
}

void NaiveOrigin::on(const SlotGranted &Event) {
  const auto Found = Calls.find(Event.Id);
  if (Found == Calls.end())
    return;
  Held &Request = Found->second;
  Request.Sent = true;
  Request.HeardAt = Now;
  Actions.push_back(
      Dispatch{Event.Id, Event.Target, ++Request.Attempt, TimePoint::max()});
}

void NaiveOrigin::on(const SlotRefused &Event) {
  fail(Event.Id, Event.Kind, MayHaveRun::No);
}

void NaiveOrigin::on(const AnswerProgressed &Event) {
  const auto Found = Calls.find(Event.Id);
  if (Found != Calls.end())
    Found->second.HeardAt = Now;
}

void NaiveOrigin::on(const AnswerCompleted &Event) {
  const auto Found = Calls.find(Event.Id);
  if (Found == Calls.end())
    return;
  const CallerRequested Call = Found->second.Call;
  if (Call.Kind == RouteKind::NonIdempotentCall)
    Actions.push_back(RecordOutcome{Event.Id, Call.Key, false, 200});
  Actions.push_back(ReleaseSlot{Call.Pool, Event.Id});
  Actions.push_back(CompleteRequest{Event.Id});
  Calls.erase(Found);
}

void NaiveOrigin::on(const AnswerInterrupted &Event) {
  if (!Habits.ShortIsWhole)
    return wentWrong(Event.Id);
  AnswerCompleted Whole;
  Whole.Id = Event.Id;
  on(Whole);
}

void NaiveOrigin::wentWrong(RequestId Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Actions.push_back(ReleaseSlot{Found->second.Call.Pool, Id});
  Found->second.Sent = false;
  if (Habits.RetriesAnyError)
    return askSlot(Found->second);
  fail(Id, ErrorKind::TargetFailed,
       Habits.SaysNotRun ? MayHaveRun::No : MayHaveRun::Maybe);
}

void NaiveOrigin::on(const ArbiterChanged &Event) {
  for (const auto &[Id, Request] : Calls)
    if (Event.Reachable && !Request.Sent)
      askSlot(Request);
}

void NaiveOrigin::on(const OriginTicked &) {
  for (const auto &[Id, Request] : std::map(Calls)) {
    if (Now >= Request.Deadline)
      fail(Id, ErrorKind::Timeout,
           Habits.SaysNotRun || !Request.Sent ? MayHaveRun::No
                                              : MayHaveRun::Maybe);
    else if (Request.Sent && Now - Request.HeardAt >= Settings.DispatchTimeout)
      wentWrong(Id);
  }
}

void NaiveOrigin::on(const DrainStarted &) {
  if (!Habits.CutsOnStop)
    return;
  for (const auto &[Id, Request] : std::map(Calls)) {
    Actions.push_back(CancelDispatch{Id});
    fail(Id, ErrorKind::ShuttingDown, MayHaveRun::Maybe);
  }
}

void NaiveOrigin::fail(RequestId Id, ErrorKind Kind, MayHaveRun Ran) {
  if (Calls.erase(Id) != 0)
    Actions.push_back(FailRequest{Id, {Kind, {}, {}}, Ran});
}

// ---- Logs -------------------------------------------------------------------

IntentLogActions MemoryLog::step(const IntentLogEvent &Event, TimePoint) {
  IntentLogActions Actions;
  if (const auto *Ended = std::get_if<OutcomeReported>(&Event)) {
    if (Ended->Released)
      Keys.erase(Ended->Key);
    else
      Keys[Ended->Key] = Ended->HttpStatus;
  }
  if (const auto *Asked = std::get_if<IntentRequested>(&Event)) {
    const auto [Known, New] = Keys.try_emplace(Asked->Key, 0);
    const IntentDecision Old = Known->second == 0 ? IntentDecision::InProgress
                                                  : IntentDecision::Applied;
    Actions.push_back(AnswerIntent{
        Asked->Request, New ? IntentDecision::Fresh : Old, Known->second});
  }
  return Actions;
}

IntentLogActions BlindLog::step(const IntentLogEvent &Event, TimePoint) {
  Actions.clear();
  std::visit([this](const auto &Known) { on(Known); }, Event);
  return std::exchange(Actions, {});
}

namespace {
std::string objectOf(const KeyHash &Key) {
  return "intents/0/" + std::to_string(Key.Low);
}
} // namespace

void BlindLog::on(const IntentRequested &Event) {
  const PlatformCallId Id{++LastCall};
  Reading[Id] = Event;
  Actions.push_back(ReadObject{Id, objectOf(Event.Key)});
}

void BlindLog::on(const OutcomeReported &Event) {
  const PlatformCallId Id{++LastCall};
  Actions.push_back(
      WriteObject{Id, objectOf(Event.Key), AnyVersion,
                  Event.Released ? "" : std::to_string(Event.HttpStatus)});
}

void BlindLog::on(const ObjectRead &Event) {
  const auto Found = Reading.find(Event.Call);
  if (Found == Reading.end())
    return;
  const IntentRequested Asked = Found->second;
  Reading.erase(Found);
  if (!Event.Bytes.empty()) {
    const int Status = std::stoi(Event.Bytes);
    Actions.push_back(AnswerIntent{Asked.Request,
                                   Status == 0 ? IntentDecision::InProgress
                                               : IntentDecision::Applied,
                                   Status});
    return;
  }
  const PlatformCallId Id{++LastCall};
  Writing[Id] = Asked.Request;
  Actions.push_back(WriteObject{Id, objectOf(Asked.Key), AnyVersion, "0"});
}

void BlindLog::on(const ObjectWritten &Event) {
  const auto Found = Writing.find(Event.Call);
  if (Found == Writing.end())
    return;
  Actions.push_back(AnswerIntent{Found->second, IntentDecision::Fresh, 0});
  Writing.erase(Found);
}

// ---- Arbiter ----------------------------------------------------------------

ArbiterActions FirstComeArbiter::step(const ArbiterEvent &Event, TimePoint) {
  if (const auto *List = std::get_if<TargetsChanged>(&Event))
    Targets = List->Targets;
  if (const auto *Wanted = std::get_if<SlotRequested>(&Event)) {
    const RequestKey &Key = Wanted->Request.Key;
    if (InFlight.count(Key) == 0 &&
        std::find(Queue.begin(), Queue.end(), Key) == Queue.end())
      Queue.push_back(Key);
  }
  if (const auto *Dropped = std::get_if<SlotRequestCancelled>(&Event))
    std::erase(Queue, Dropped->Key);
  if (const auto *Released = std::get_if<SlotReleased>(&Event))
    InFlight.erase(Released->Key);
  std::size_t Limit = 0;
  for (const TargetInfo &Target : Targets)
    Limit += Target.MaxRequestsInFlight;
  ArbiterActions Actions;
  while (!Queue.empty() && InFlight.size() < Limit) {
    const RequestKey Key = Queue.front();
    Queue.pop_front();
    InFlight.insert(Key);
    Actions.push_back(GrantSlot{Key, Targets[Turn++ % Targets.size()].Id});
  }
  return Actions;
}

} // namespace marjorambay::matrix
