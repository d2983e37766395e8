/// RolloutLeader: leadership, operator commands and writes.
#include "marjorambay/coordination/rollout.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Interval between reads of the object by a host that is not the leader.
constexpr Duration FollowerReadInterval = seconds(30);
/// Maximum age of the read on which a lease may be acquired.
constexpr Duration FreshRead = seconds(2);
/// A call without a response is considered lost after this.
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
  std::visit([&](const auto &Typed) { handle(Typed, Actions); }, Event);
  return Actions;
}

bool RolloutLeader::isLeader() const {
  return Latest && !isFinal(Latest->Phase) && Latest->Leader == HostName &&
         WallClock < Latest->LeaseUntil;
}

void RolloutLeader::handle(const RolloutRead &Read, RolloutActions &Actions) {
  CallPending = false;
  LastRead = LastNow;
  if (!Read.Reachable)
    return;
  ReadNeeded = false;
  resolvePendingWrite(Read, Actions);
  if (Read.Found && Read.Version >= LatestVersion)
    adopt(Read.State, Read.Version, Actions);
  runCommands(Actions);
}

/// A write of unknown result was committed if the state that was read contains
/// the last history line of the write.
void RolloutLeader::resolvePendingWrite(const RolloutRead &Read,
                                        RolloutActions &Actions) {
  if (!Pending)
    return;
  const PendingWrite Unresolved = std::move(*Pending);
  Pending.reset();
  const RolloutStep &Expected = Unresolved.State.History.back();
  const auto Matches = [&](const RolloutStep &Step) {
    return Step.At == Expected.At && Step.Note == Expected.Note;
  };
  const auto &History = Read.State.History;
  const bool Committed = Read.Found &&
                         Read.State.Name == Unresolved.State.Name &&
                         std::any_of(History.begin(), History.end(), Matches);
  for (const std::uint64_t Call : Unresolved.Calls) {
    if (Committed)
      Actions.push_back(AnswerCommand{Call, Done{}});
    else
      Actions.push_back(AnswerCommand{
          Call, Error{ErrorKind::Conflict,
                      "the rollout was changed concurrently; read it again"}});
  }
}

void RolloutLeader::handle(const RolloutWritten &Written,
                           RolloutActions &Actions) {
  CallPending = false;
  if (!Pending)
    return;
  if (Written.Result != WriteResult::Committed)
    return read(Actions);
  const PendingWrite Committed = std::move(*Pending);
  Pending.reset();
  adopt(Committed.State, Written.Version, Actions);
  for (const std::uint64_t Call : Committed.Calls)
    Actions.push_back(AnswerCommand{Call, Done{}});
}

void RolloutLeader::read(RolloutActions &Actions) {
  CallPending = true;
  CallStartedAt = LastNow;
  Actions.push_back(ReadRollout{});
}

void RolloutLeader::adopt(const RolloutState &State, ObjectVersion Version,
                          RolloutActions &Actions) {
  const bool IsNewer = Version > LatestVersion;
  const bool IsNewRollout = !Latest || Latest->Name != State.Name;
  const bool NewStep = IsNewRollout || Latest->Phase != State.Phase ||
                       Latest->Share != State.Share;
  const bool NewFencingToken =
      IsNewRollout || Latest->FencingToken != State.FencingToken;
  // The guards send all their counts to a leader that takes over, so that the
  // comparison restarts from them.
  const bool TakesOver =
      !IsNewRollout && State.Leader == HostName && Latest->Leader != HostName;
  Latest = State;
  LatestVersion = Version;
  if (IsNewRollout || TakesOver) {
    Comparison = VersionComparison{};
    AnswersAtStep = 0;
  }
  if (IsNewRollout) {
    TripReason.clear();
    OrderedAt.clear();
    EndReported = false;
  }
  if (NewStep)
    AnswersAtStep = Comparison.newAnswers();
  if (NewFencingToken)
    LeadingSince = LastNow;
  if (!IsNewer)
    return;
  Actions.push_back(PublishView{viewOf(State, Version)});
  if (isFinal(State.Phase) && !EndReported) {
    EndReported = true;
    Actions.push_back(RolloutEnded{State});
  }
}

void RolloutLeader::write(RolloutState State, RolloutActions &Actions) {
  Pending = PendingWrite{State, {}};
  CallPending = true;
  CallStartedAt = LastNow;
  Actions.push_back(WriteRollout{LatestVersion, std::move(State)});
}

void RolloutLeader::handle(const EvidenceArrived &Arrived,
                           RolloutActions &Actions) {
  // Evidence also counts if the lease has expired during an outage.
  const bool Leads = Latest && !isFinal(Latest->Phase) &&
                     Latest->Leader == HostName &&
                     Arrived.Rollout == idOf<RolloutId>(Latest->Name);
  if (!Leads)
    return;
  Comparison.add(Arrived.Cells);
  if (!Comparison.tripped() || !TripReason.empty())
    return;
  TripReason = "the new version shows " +
               std::string(nameOf(Comparison.trippedBy())) +
               " across all availability zones";
  Actions.push_back(
      TripVersion{Arrived.Rollout, idOf<VersionId>(Latest->ToVersion)});
}

void RolloutLeader::handle(const TargetsReported &Shown, RolloutActions &) {
  Targets = Shown.Targets;
}

void RolloutLeader::handle(const RolloutTripped &Trip, RolloutActions &) {
  if (Latest && Trip.Rollout == idOf<RolloutId>(Latest->Name))
    TripReason = Trip.Reason;
}

void RolloutLeader::handle(const ViewReceived &Seen, RolloutActions &) {
  if (Seen.View.ObjectVersion > LatestVersion)
    ReadNeeded = true;
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
  const bool Running = Latest && !isFinal(Latest->Phase);
  if (Commanded.Command == RolloutCommand::Start) {
    if (Running)
      return Error{ErrorKind::Conflict, "rollout " + Latest->Name +
                                            " of this pool is still running"};
    if (Latest && Latest->Name == Commanded.Requested.Name)
      return Error{ErrorKind::Conflict,
                   "rollout " + Latest->Name + " has ended; use another name"};
    RolloutState State = Commanded.Requested;
    State.Started = WallClock;
    State.PhaseSince = WallClock;
    State.FencingToken = Latest ? Latest->FencingToken : 0;
    State.History = {
        {WallClock, State.Phase, 0, "started by " + Commanded.Author}};
    return State;
  }
  if (!Running)
    return Error{ErrorKind::NotFound, "no rollout of this pool is running"};
  if (Commanded.Command == RolloutCommand::Abort)
    return withStep(RolloutPhase::RolledBack, 0,
                    "aborted by " + Commanded.Author);
  RolloutState State = *Latest;
  State.Paused = Commanded.Command == RolloutCommand::Pause;
  State.History.push_back(
      {WallClock, State.Phase, State.Share,
       std::string(nameOf(Commanded.Command)) + " by " + Commanded.Author});
  return State;
}

void RolloutLeader::runCommands(RolloutActions &Actions) {
  while (!Commands.empty() && !CallPending) {
    const RolloutCommanded Commanded = std::move(Commands.front());
    Commands.erase(Commands.begin());
    const Result<RolloutState> NewState = commandedState(Commanded);
    if (!ok(NewState)) {
      Actions.push_back(AnswerCommand{Commanded.Call, error(NewState)});
      continue;
    }
    write(value(NewState), Actions);
    Pending->Calls.push_back(Commanded.Call);
  }
}

void RolloutLeader::handle(const CanaryShareChanged &Changed,
                           RolloutActions &) {
  Pacing.CanaryShare = Changed.Share;
}

// ---- Ticks ------------------------------------------------------------------

void RolloutLeader::handle(const RolloutTicked &Ticked,
                           RolloutActions &Actions) {
  WallClock = Ticked.WallClock;
  if (LastNow - CallStartedAt > CallTimeout)
    CallPending = false;
  if (isLeader())
    orderLoads(Actions);
  if (CallPending)
    return;
  if (Pending || !Commands.empty())
    return read(Actions);
  if (isLeader())
    return advance(Actions);
  if (!Ticked.Preferred)
    return;
  const bool Stale = LastNow - LastRead >= FollowerReadInterval;
  const bool LeaseFree = canAcquireLease();
  if (ReadNeeded || Stale || (LeaseFree && LastNow - LastRead >= FreshRead))
    return read(Actions);
  if (LeaseFree)
    write(withRenewedLease(), Actions);
}

bool RolloutLeader::canAcquireLease() const {
  if (!Latest || isFinal(Latest->Phase))
    return false;
  return Latest->Leader.empty() || Latest->Leader == HostName ||
         WallClock > Latest->LeaseUntil + Pacing.MaxClockSkew;
}

RolloutState RolloutLeader::withRenewedLease() const {
  RolloutState State = *Latest;
  if (State.Leader != HostName || WallClock >= State.LeaseUntil)
    ++State.FencingToken;
  State.Leader = HostName;
  State.LeaseUntil = WallClock + Pacing.LeaseDuration;
  return State;
}

void RolloutLeader::advance(RolloutActions &Actions) {
  if (const auto Next = nextMove())
    return write(*Next, Actions);
  const bool LeaseHalfOver =
      Latest->LeaseUntil - WallClock < Pacing.LeaseDuration / 2;
  if (LeaseHalfOver)
    write(withRenewedLease(), Actions);
}

} // namespace marjorambay
