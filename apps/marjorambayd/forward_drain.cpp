/// The stop of a host that serves forwarded routes.
#include "forward_host.h"

namespace marjorambay {

namespace {

constexpr Duration DrainCheck = milliseconds(25);

DrainCandidate candidateOf(const ForwardHost &H, const ForwardCall &Call) {
  return {isRetryable(Call.Route->Kind), Call.Route->LatencyObjective,
          Call.Deadline - H.Loop.now()};
}

bool endsInTime(const ForwardHost &H, const ForwardCall &Call) {
  return H.Drain.endsInTime(
      H.Durations.expected(Call.Route->Id, candidateOf(H, Call)), H.Loop.now());
}

void logPhase(const ForwardHost &H, DrainPhase Phase) {
  std::int64_t Waiting = 0;
  for (const auto &[Id, Call] : H.Calls)
    Waiting += Call.Stage == CallStage::Waiting ? 1 : 0;
  LogLine("drain_phase")
      .with("phase", nameOf(Phase))
      .with("waiting", Waiting)
      .with("dispatched", static_cast<std::int64_t>(H.Calls.size()) - Waiting)
      .with("rejected", static_cast<std::int64_t>(H.DrainRejections));
}

std::vector<RequestId> callsAt(const ForwardHost &H, CallStage Stage) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Call] : H.Calls)
    if (Call.Stage == Stage)
      Ids.push_back(Id);
  return Ids;
}

/// Rejects requests that wait and could not end in time. One that may be
/// repeated keeps its place until the phase Rejecting.
void rejectWaiting(ForwardHost &H, DrainPhase Phase) {
  for (const RequestId Id : callsAt(H, CallStage::Waiting)) {
    ForwardCall *Call = findCall(H, Id);
    if (Call == nullptr || Call->Stage != CallStage::Waiting ||
        (Call->ResponseStarted && Phase < DrainPhase::Ending) ||
        (Phase < DrainPhase::Rejecting &&
         (isRetryable(Call->Route->Kind) || endsInTime(H, *Call))))
      continue;
    ++H.DrainRejections;
    cancelReservation(H, *Call);
    failCall(H, *Call, ErrorKind::ShuttingDown, DrainRetryAfter);
  }
}

/// Gives up requests that targets execute.
void endDispatched(ForwardHost &H) {
  for (const RequestId Id : callsAt(H, CallStage::Dispatched)) {
    ForwardCall *Call = findCall(H, Id);
    if (Call == nullptr || Call->Stage != CallStage::Dispatched)
      continue;
    Call->MayHaveRun = true;
    cancelDispatch(H, *Call, DispatchOutcome::Cancelled);
    failCall(H, *Call, ErrorKind::OutcomeUnknown);
  }
}

void stop(ForwardHost &H) {
  LogLine("stopped").with("in_progress",
                          static_cast<std::int64_t>(H.Calls.size()));
  H.Callers.abortAll();
  H.Loop.stop();
}

void checkDrain(ForwardHost &H) {
  const DrainPhase Phase = H.Drain.phase(H.Loop.now());
  if (Phase != H.LoggedDrainPhase)
    logPhase(H, Phase);
  H.LoggedDrainPhase = Phase;
  if (Phase == DrainPhase::Over)
    return stop(H);
  rejectWaiting(H, Phase);
  if (Phase == DrainPhase::Accepting)
    return;
  H.Callers.stopListening();
  H.Callers.closeIdleConnections();
  if (Phase >= DrainPhase::Rejecting)
    H.Callers.rejectIncompleteRequests(ErrorKind::ShuttingDown);
  if (Phase >= DrainPhase::Ending)
    endDispatched(H);
  if (H.Calls.empty() && !H.Callers.busy())
    stop(H);
}

} // namespace

void startDrain(ForwardHost &H) {
  if (H.Draining)
    return;
  H.Draining = true;
  H.Drain = DrainPolicy(H.Settings.DrainTimeout, H.Loop.now());
  LogLine("drain_started")
      .with("in_progress", static_cast<std::int64_t>(H.Calls.size()))
      .with("grace_ms",
            std::chrono::duration_cast<milliseconds>(H.Settings.DrainTimeout)
                .count());
  H.Callers.disableKeepAlive();
  stopWaitingForMemory(H);
  H.DeregisterRequested.emit();
  H.Subscriptions.push_back(
      H.Timers.every(DrainCheck, [&H]() { checkDrain(H); }));
}

std::optional<Error> refuseWhileDraining(ForwardHost &H,
                                         const ForwardCall &Call) {
  if (!H.Draining || (H.Drain.phase(H.Loop.now()) == DrainPhase::Accepting &&
                      (Call.Route == nullptr || endsInTime(H, Call))))
    return std::nullopt;
  ++H.DrainRejections;
  return Error{ErrorKind::ShuttingDown,
               "this host is stopping; retry on another host", DrainRetryAfter};
}

bool mayRepeatWhileDraining(const ForwardHost &H, const ForwardCall &Call) {
  return !H.Draining || endsInTime(H, Call);
}

} // namespace marjorambay
