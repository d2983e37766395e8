/// Leadership, commands and writes of a rollout.
#include "marjorambay/coordination/rollout.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Between reads of the object by a host that does not lead.
constexpr Duration FollowerReadInterval = seconds(30);
/// A lease is taken over only on the ground of a read this fresh.
constexpr Duration FreshRead = seconds(2);
/// After this a call whose answer never came is taken for lost.
constexpr Duration CallTimeout = seconds(10);

} // namespace

RolloutView viewOf(const RolloutState &State, ObjectVersion Version) {
  RolloutView View;
  View.Id = idOf<RolloutId>(State.Name);
  View.Pool = idOf<PoolId>(State.Pool);
  View.From = idOf<VersionId>(State.FromVersion);
  View.To = idOf<VersionId>(State.ToVersion);
  View.ObjectVersion = Version;
  View.Phase = State.Phase;
  View.Share = State.Share;
  View.Deadline = State.Deadline;
  View.ToName = State.ToVersion;
  if (!State.Leader.empty())
    View.Leader = idOf<HostId>(State.Leader);
  return View;
}

RolloutActions RolloutLeader::step(const RolloutEvent &Event, TimePoint Now) {
  LastNow = Now;
  RolloutActions Actions;
  std::visit([&](const auto &One) { handle(One, Actions); }, Event);
  return Actions;
}

bool RolloutLeader::isLeader() const {
  return Known && !isFinal(Known->Phase) && Known->Leader == HostName &&
         Wall < Known->LeaseUntil;
}

void RolloutLeader::handle(const RolloutRead &Read, RolloutActions &Actions) {
  CallPending = false;
  LastRead = LastNow;
  if (!Read.Reachable)
    return;
  ReadWanted = false;
  settlePending(Read, Actions);
  if (Read.Found && Read.Version >= KnownVersion)
    adopt(Read.State, Read.Version, Actions);
  runCommands(Actions);
}

/// A write of unknown fate stood if what is read has its last history line.
void RolloutLeader::settlePending(const RolloutRead &Read,
                                  RolloutActions &Actions) {
  if (!Pending)
    return;
  const PendingWrite Unsettled = std::move(*Pending);
  Pending.reset();
  const RolloutStep &Line = Unsettled.State.History.back();
  const auto IsLine = [&](const RolloutStep &One) {
    return One.At == Line.At && One.Note == Line.Note;
  };
  const auto &Lines = Read.State.History;
  const bool Stood = Read.Found && Read.State.Name == Unsettled.State.Name &&
                     std::any_of(Lines.begin(), Lines.end(), IsLine);
  for (const std::uint64_t Call : Unsettled.Calls) {
    if (Stood)
      Actions.push_back(AnswerCommand{Call, Done{}});
    else
      Actions.push_back(AnswerCommand{
          Call, Error{ErrorKind::Conflict,
                      "the rollout was changed by another; read it again"}});
  }
}

void RolloutLeader::handle(const RolloutWritten &Written,
                           RolloutActions &Actions) {
  CallPending = false;
  if (!Pending)
    return;
  if (Written.Result != WriteResult::Committed)
    return read(Actions);
  const PendingWrite Stood = std::move(*Pending);
  Pending.reset();
  adopt(Stood.State, Written.Version, Actions);
  for (const std::uint64_t Call : Stood.Calls)
    Actions.push_back(AnswerCommand{Call, Done{}});
}

void RolloutLeader::read(RolloutActions &Actions) {
  CallPending = true;
  CallSince = LastNow;
  Actions.push_back(ReadRollout{});
}

void RolloutLeader::adopt(const RolloutState &State, ObjectVersion Version,
                          RolloutActions &Actions) {
  const bool IsNews = Version > KnownVersion;
  const bool IsOther = !Known || Known->Name != State.Name;
  const bool NewStep =
      IsOther || Known->Phase != State.Phase || Known->Share != State.Share;
  const bool NewFence = IsOther || Known->FencingToken != State.FencingToken;
  // The guards send a leader that takes over all that they have counted.
  const bool TakesOver =
      !IsOther && State.Leader == HostName && Known->Leader != HostName;
  Known = State;
  KnownVersion = Version;
  if (IsOther || TakesOver) {
    Test = VersionComparison{};
    AnswersAtStep = 0;
  }
  if (IsOther) {
    TripReason.clear();
    OrderedAt.clear();
    Published = false;
  }
  if (NewStep)
    AnswersAtStep = Test.newAnswers();
  if (NewFence)
    LeadingSince = LastNow;
  if (!IsNews)
    return;
  Actions.push_back(PublishView{viewOf(State, Version)});
  if (isFinal(State.Phase) && !Published) {
    Published = true;
    Actions.push_back(RolloutEnded{State});
  }
}

void RolloutLeader::write(RolloutState State, RolloutActions &Actions) {
  Pending = PendingWrite{State, {}};
  CallPending = true;
  CallSince = LastNow;
  Actions.push_back(WriteRollout{KnownVersion, std::move(State)});
}

void RolloutLeader::handle(const EvidenceArrived &Arrived,
                           RolloutActions &Actions) {
  // A lease that has lapsed in an outage does not make the evidence less true.
  const bool Leads = Known && !isFinal(Known->Phase) &&
                     Known->Leader == HostName &&
                     Arrived.Rollout == idOf<RolloutId>(Known->Name);
  if (!Leads)
    return;
  Test.add(Arrived.Cells);
  if (!Test.tripped() || !TripReason.empty())
    return;
  TripReason = "the new version shows " +
               std::string(nameOf(Test.trippedBy())) +
               " over all availability zones";
  Actions.push_back(
      TripVersion{Arrived.Rollout, idOf<VersionId>(Known->ToVersion)});
}

void RolloutLeader::handle(const TargetsReported &Shown, RolloutActions &) {
  Targets = Shown.Targets;
}

void RolloutLeader::handle(const RolloutTripped &Trip, RolloutActions &) {
  if (Known && Trip.Rollout == idOf<RolloutId>(Known->Name))
    TripReason = Trip.Reason;
}

void RolloutLeader::handle(const ViewReceived &Seen, RolloutActions &) {
  if (Seen.View.ObjectVersion > KnownVersion)
    ReadWanted = true;
}

// ---- Commands ---------------------------------------------------------------

void RolloutLeader::handle(const RolloutCommanded &Commanded,
                           RolloutActions &Actions) {
  Commands.push_back(Commanded);
  if (!CallPending)
    read(Actions);
}

Result<RolloutState>
RolloutLeader::commandedState(const RolloutCommanded &Commanded) const {
  const bool Running = Known && !isFinal(Known->Phase);
  if (Commanded.Command == RolloutCommand::Start) {
    if (Running)
      return Error{ErrorKind::Conflict,
                   "rollout " + Known->Name + " of this pool is still running"};
    if (Known && Known->Name == Commanded.Requested.Name)
      return Error{ErrorKind::Conflict,
                   "rollout " + Known->Name + " has ended; take another name"};
    RolloutState State = Commanded.Requested;
    State.Started = Wall;
    State.PhaseSince = Wall;
    State.FencingToken = Known ? Known->FencingToken : 0;
    State.History = {{Wall, State.Phase, 0, "started by " + Commanded.Author}};
    return State;
  }
  if (!Running)
    return Error{ErrorKind::NotFound, "no rollout of this pool is running"};
  if (Commanded.Command == RolloutCommand::Abort)
    return moved(RolloutPhase::RolledBack, 0, "aborted by " + Commanded.Author);
  RolloutState State = *Known;
  State.Paused = Commanded.Command == RolloutCommand::Pause;
  State.History.push_back(
      {Wall, State.Phase, State.Share,
       std::string(nameOf(Commanded.Command)) + " by " + Commanded.Author});
  return State;
}

void RolloutLeader::runCommands(RolloutActions &Actions) {
  while (!Commands.empty() && !CallPending) {
    const RolloutCommanded Commanded = std::move(Commands.front());
    Commands.erase(Commands.begin());
    const Result<RolloutState> Wanted = commandedState(Commanded);
    if (!ok(Wanted)) {
      Actions.push_back(AnswerCommand{Commanded.Call, error(Wanted)});
      continue;
    }
    write(value(Wanted), Actions);
    Pending->Calls.push_back(Commanded.Call);
  }
}

void RolloutLeader::handle(const CanaryShareChanged &Changed,
                           RolloutActions &) {
  Pace.CanaryShare = Changed.Share;
}

// ---- Time -------------------------------------------------------------------

void RolloutLeader::handle(const RolloutTicked &Ticked,
                           RolloutActions &Actions) {
  Wall = Ticked.Wall;
  if (LastNow - CallSince > CallTimeout)
    CallPending = false;
  if (isLeader())
    orderTargets(Actions);
  if (CallPending)
    return;
  if (Pending || !Commands.empty())
    return read(Actions);
  if (isLeader())
    return lead(Actions);
  if (!Ticked.Preferred)
    return;
  const bool Stale = LastNow - LastRead >= FollowerReadInterval;
  const bool Free = mayTakeLease();
  if (ReadWanted || Stale || (Free && LastNow - LastRead >= FreshRead))
    return read(Actions);
  if (Free)
    write(renewed(), Actions);
}

bool RolloutLeader::mayTakeLease() const {
  if (!Known || isFinal(Known->Phase))
    return false;
  return Known->Leader.empty() || Known->Leader == HostName ||
         Wall > Known->LeaseUntil + Pace.ClockSkew;
}

RolloutState RolloutLeader::renewed() const {
  RolloutState State = *Known;
  if (State.Leader != HostName || Wall >= State.LeaseUntil)
    ++State.FencingToken;
  State.Leader = HostName;
  State.LeaseUntil = Wall + Pace.Lease;
  return State;
}

void RolloutLeader::lead(RolloutActions &Actions) {
  if (const auto Next = nextMove())
    return write(*Next, Actions);
  const bool LeaseHalfOver = Known->LeaseUntil - Wall < Pace.Lease / 2;
  if (LeaseHalfOver)
    write(renewed(), Actions);
}

} // namespace marjorambay
