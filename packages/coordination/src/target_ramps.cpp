/// Start ramps of the targets of a pool: when they begin and end, and what
/// first events are compared with.
#include "marjorambay/coordination/target_table.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

/// A target that an arbiter gets in its first list is new if it was first
/// listed so recently: its ramp at an earlier arbiter may not have ended.
constexpr Duration NewTargetAge = seconds(10);
constexpr Duration PeerSpeedsValidity = milliseconds(100);

} // namespace

std::uint32_t TargetTable::rampedLimit(const TargetState &State,
                                       const VersionShare &Shares,
                                       TimePoint Now) const {
  const std::uint32_t Limit = limitOf(State, Now);
  const StartRamp *Ramp = ramp(State.Info.Id);
  // A version under rollout is limited by its share, which must be reached.
  if (Ramp == nullptr || !Shares.uncapped(State.Info.Version))
    return Limit;
  return std::min(Limit, Ramp->limit());
}

const StartRamp *TargetTable::ramp(TargetId Target) const {
  if (Ramps.empty())
    return nullptr;
  const auto Found = Ramps.find(Target);
  return Found == Ramps.end() ? nullptr : &Found->second.Ramp;
}

std::vector<RampChange> TargetTable::takeRampChanges() {
  return std::exchange(RampChanges, {});
}

void TargetTable::startRampIfNew(const TargetState &State,
                                 const TargetInfo &Before, bool FirstList,
                                 TimePoint Now) {
  const TargetInfo &Info = State.Info;
  const bool Restarted = State.WasListed && number(Before.Incarnation) != 0 &&
                         Info.Incarnation > Before.Incarnation;
  const bool New =
      !State.WasListed &&
      (Info.ListedFor ? *Info.ListedFor < NewTargetAge : !FirstList);
  if (New || Restarted)
    startRamp(State, New ? RampStart::NewTarget : RampStart::NewIncarnation,
              Now);
}

void TargetTable::startRamp(TargetId Target, RampStart Reason, TimePoint Now) {
  if (const TargetState *State = find(Target))
    startRamp(*State, Reason, Now);
}

void TargetTable::startRamp(const TargetState &State, RampStart Reason,
                            TimePoint Now) {
  if (!Settings.StartRamps)
    return;
  const TargetId Target = State.Info.Id;
  TargetRamp Next{StartRamp(Settings.Ramp), std::nullopt, Now};
  const auto Running = Ramps.find(Target);
  // Answers in a ramp are not those of a warm target.
  if (Running != Ramps.end())
    Next.Past = Running->second.Past;
  else if (State.Model.firstTokenCalibrated())
    Next.Past = State.Model;
  endRamp(Target, RampEnd::Replaced, Now);
  Next.Ramp.start(Reason, State.Info.MaxRequestsInFlight, Now);
  if (!Next.Ramp.active()) // one slot leaves nothing to learn
    return;
  RampChanges.push_back({Target,
                         Reason,
                         std::nullopt,
                         Duration(0),
                         Next.Ramp.limit(),
                         State.Info.MaxRequestsInFlight,
                         {}});
  Ramps.insert_or_assign(Target, Next);
  Peers.ValidUntil = {};
}

void TargetTable::endRamp(TargetId Target, RampEnd End, TimePoint Now) {
  const auto Found = Ramps.find(Target);
  if (Found == Ramps.end())
    return;
  const StartRamp &Ramp = Found->second.Ramp;
  const TargetState *State = find(Target);
  RampChanges.push_back(
      {Target, Ramp.reason(), End, Ramp.age(Now), Ramp.limit(),
       State == nullptr ? 0 : State->Info.MaxRequestsInFlight, Ramp.figures()});
  Ramps.erase(Found);
  Peers.ValidUntil = {};
}

void TargetTable::endUnlistedRamps(TimePoint Now) {
  std::vector<TargetId> Gone;
  for (const auto &[Target, Ramp] : Ramps) {
    const TargetState *State = find(Target);
    if (State == nullptr || !State->Listed)
      Gone.push_back(Target);
  }
  for (const TargetId Target : Gone)
    endRamp(Target, RampEnd::Unlisted, Now);
}

/// Returns the means of the targets without a ramp, computed at intervals:
/// answers are more frequent than their changes.
const TargetTable::PeerSpeeds &TargetTable::peerSpeeds(TimePoint Now) {
  if (Now < Peers.ValidUntil)
    return Peers;
  Peers = PeerSpeeds{};
  Peers.ValidUntil = Now + PeerSpeedsValidity;
  double Load = 0;
  double Targets = 0;
  double Calibrated = 0;
  for (const TargetState &State : Entries) {
    if (!State.Listed || Ramps.contains(State.Info.Id))
      continue;
    Load += streams(State, Now) / std::max(1U, limitOf(State, Now));
    ++Targets;
    if (!State.Model.firstTokenCalibrated())
      continue;
    Peers.FirstEvent += State.Model.firstTokenSeconds(0, 0, Now);
    Peers.PerToken += State.Model.prefillSeconds();
    ++Calibrated;
  }
  if (Targets > 0)
    Peers.Load = Load / Targets;
  Peers.Known = Calibrated > 0;
  Peers.FirstEvent /= std::max(1.0, Calibrated);
  Peers.PerToken /= std::max(1.0, Calibrated);
  return Peers;
}

RampAnswer TargetTable::rampAnswer(const TargetState &State,
                                   const TargetRamp &Ramp, const Slot &Reserved,
                                   Duration Waited, TimePoint Now) {
  RampAnswer Answer;
  Answer.Seconds = toSeconds(Waited);
  Answer.SentAt = Reserved.GrantedAt;
  Answer.InFlight = Reserved.Streams;
  const PeerSpeeds &Others = peerSpeeds(Now);
  Answer.PeerLoad = Others.Load;
  const double Prompt = Reserved.Cost.Prompt;
  const double Ahead = Reserved.PromptAhead;
  if (Ramp.Past) {
    Answer.Reference = RampReference::Past;
    Answer.ExpectedSeconds = Ramp.Past->firstTokenSeconds(Prompt, Ahead, Now);
  } else if (Others.Known) {
    Answer.Reference = RampReference::Peers;
    Answer.ExpectedSeconds =
        Others.FirstEvent + (Prompt + Ahead) * Others.PerToken;
  } else {
    Answer.ExpectedSeconds =
        State.Model.firstTokenCalibrated()
            ? State.Model.firstTokenSeconds(Prompt, Ahead, Now)
            : Answer.Seconds;
  }
  return Answer;
}

void TargetTable::recordFirstEvent(const TargetState &State,
                                   const Slot &Reserved, Duration Waited,
                                   TimePoint Now) {
  const auto Found = Ramps.find(Reserved.Target);
  if (Found == Ramps.end() || Reserved.FirstEventSeen)
    return;
  TargetRamp &Known = Found->second;
  // Sent before the start, perhaps to an earlier incarnation.
  if (Reserved.GrantedAt < Known.StartedAt)
    return;
  Known.Ramp.setDeclaredSlots(limitOf(State, Now));
  const RampAnswer Answer = rampAnswer(State, Known, Reserved, Waited, Now);
  if (const auto End = Known.Ramp.recordAnswer(Answer, Now))
    endRamp(Reserved.Target, *End, Now);
}

void TargetTable::recordRampRelease(const TargetState &State,
                                    const Slot &Reserved, const Usage &Used,
                                    TimePoint Now) {
  if (!Settings.StartRamps)
    return;
  constexpr double Gain = 0.05;
  const Duration First = Used.TimeToFirstToken;
  const bool Whole = First.count() <= 0 || First >= Used.Total;
  WholeShare += Gain * ((Whole ? 1.0 : 0.0) - WholeShare);
  // Where most answers are streams, one that is not has no first event to
  // compare: it would always be late.
  if (Whole && WholeShare < 0.5)
    return;
  recordFirstEvent(State, Reserved, Whole ? Used.Total : First, Now);
}

void TargetTable::recordRampFailure(TargetId Target, TimePoint SentAt,
                                    TimePoint Now) {
  if (const auto Found = Ramps.find(Target); Found != Ramps.end())
    Found->second.Ramp.recordFailure(SentAt, Now);
}

void TargetTable::recordAnswerBegan(Slot &Reserved, TimePoint Now) {
  const TargetState *State = find(Reserved.Target);
  if (State == nullptr)
    return;
  recordFirstEvent(*State, Reserved, Now - Reserved.GrantedAt, Now);
  Reserved.FirstEventSeen = true;
}

} // namespace marjorambay
