/// Dispatch of a request to a target, and relay of the response.
#include "forward_host.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Maximum idle time of a connection for non-idempotent calls. The target may
/// be closing a connection that was idle for longer, which would leave the
/// outcome unknown.
constexpr Duration FreshEnough = milliseconds(250);
constexpr Duration KeptIdle = seconds(4);
/// Maximum size of a buffered response; all but event streams are buffered.
constexpr std::size_t MaxGathered = 8 << 20;
/// Unread bytes of a stream above which its caller counts as disconnected.
constexpr std::size_t MaxUnread = 1 << 20;

constexpr Duration ConnectTimeout = milliseconds(300);

Usage usageOf(const ForwardHost &H, const ForwardCall &Call,
              DispatchOutcome How) {
  const ForwardPool *Pool = Call.Table->pool(Call.Pool);
  const std::uint32_t Each = Pool == nullptr ? 1 : Pool->TokensPerEvent;
  Usage Used;
  Used.Outcome = How;
  Used.PromptTokens = Call.PromptTokens;
  Used.OutputTokens =
      std::max(1U, (Call.Events.events() - Call.EventsBefore) * Each);
  const TimePoint Now = H.Loop.now();
  Used.Total = Now - Call.DispatchedAt;
  Used.TimeToFirstToken = Call.LastBytesAt == TimePoint{} || !Call.Begun
                              ? Used.Total
                              : Call.FirstEventAt - Call.DispatchedAt;
  return Used;
}

/// Ends a dispatch: records its result, releases its slot and, with \p Cancel,
/// cancels the HTTP call.
void leave(ForwardHost &H, ForwardCall &Call, DispatchOutcome How,
           bool Cancel) {
  if (Call.Stage != CallStage::Dispatched)
    return;
  if (Cancel)
    H.Client.cancel(Call.Call);
  H.ByCall.erase(Call.Call);
  const Usage Used = usageOf(H, Call, How);
  LocalTarget &Local = H.Local[Call.At];
  Local.InFlight -= std::min(Local.InFlight, 1U);
  if (How == DispatchOutcome::Complete) {
    constexpr double Gain = 0.1;
    const double Took = toSeconds(Used.TimeToFirstToken);
    Local.Seconds = Local.Seconds == 0
                        ? Took
                        : Local.Seconds + Gain * (Took - Local.Seconds);
  }
  if (How == DispatchOutcome::Complete || How == DispatchOutcome::Failed) {
    const bool Failed = How == DispatchOutcome::Failed;
    H.Pools[Call.Pool].Health.recordAnswer(H.Health[Call.At], !Failed,
                                           H.Loop.now());
    observeVersion(H, Call, Used, Failed);
  }
  releaseSlot(H, Call, Used);
  Call.Stage = CallStage::Waiting;
  Call.Call = CallId{};
}

bool mayRepeat(ForwardHost &H, const ForwardCall &Call, bool NotRun) {
  const bool Allowed = NotRun || isRetryable(Call.Route->Kind);
  if (!Allowed || H.Loop.now() >= Call.Deadline)
    return false;
  if (Call.Attempts == 0)
    return true; // nothing has been sent yet
  return Call.Attempts < Call.Route->MaxAttempts &&
         H.Pools[Call.Pool].Repeats.tryWithdraw();
}

/// Retries a call that a target has not completed, or fails it. \p NotRun: the
/// target has certainly not executed it.
void repeatOrFail(ForwardHost &H, ForwardCall &Call, bool NotRun, ErrorKind Why,
                  std::string_view Cause) {
  LogLine("attempt_failed")
      .with("request", Call.Name)
      .with("target", Call.TargetName)
      .with("cause", Cause)
      .with("attempt", Call.Attempts)
      .with("not_run", NotRun ? "yes" : "no")
      .with("events", Call.Events.events());
  if (mayRepeat(H, Call, NotRun)) {
    if (Call.Relaying)
      Call.Events.resume();
    Call.EventsBefore = Call.Events.events();
    Call.Gathered.clear();
    return askForSlot(H, Call);
  }
  failCall(H, Call, Call.MayHaveRun ? Why : ErrorKind::Overloaded);
}

void answered(ForwardHost &H, CallId Id, const HttpHead &Head) {
  ForwardCall *Call = callOf(H, H.ByCall.at(Id));
  const TimePoint Now = H.Loop.now();
  Call->LastBytesAt = Now;
  Call->Status = Head.Status;
  const bool NotRun =
      !Head.header(H.Names.NotRun).empty() || Head.Status == 421;
  Call->TargetDeclined = NotRun;
  if (NotRun)
    return; // handled when the response is complete
  Call->MayHaveRun = true;
  const bool Events = isStream(Call->Route->Kind) && Head.Status / 100 == 2;
  if (Call->Relaying && !Events) // the stream could not be resumed
    return;
  if (!Call->Begun) {
    Call->AnswerHeaders.clear();
    for (const HttpHeader &Each : Head.Headers)
      if (!isHopByHop(Each.Name) &&
          !equalsIgnoringCase(Each.Name, "content-length"))
        Call->AnswerHeaders.push_back(Each);
  }
  Call->Relaying = Call->Relaying || Events;
}

void relayed(ForwardHost &H, ForwardCall &Call, std::string_view Whole) {
  if (Whole.empty())
    return;
  if (!Call.Begun) {
    Call.Begun = true;
    Call.FirstEventAt = H.Loop.now();
    H.Callers.beginResponse(Call.Exchange, Call.Status, Call.AnswerHeaders);
  }
  const std::size_t Unread = H.Callers.sendChunk(Call.Exchange, Whole);
  Call.Stalled = Unread > MaxUnread;
}

void bytesArrived(ForwardHost &H, CallId Id, std::string_view Bytes) {
  ForwardCall *Call = callOf(H, H.ByCall.at(Id));
  Call->LastBytesAt = H.Loop.now();
  if (Call->Relaying && Call->Status / 100 == 2)
    return relayed(H, *Call, Call->Events.feed(Bytes));
  if (Call->Gathered.size() + Bytes.size() <= MaxGathered)
    Call->Gathered.append(Bytes);
}

/// Handles a response which reports that the request was not executed.
void notRun(ForwardHost &H, ForwardCall &Call) {
  const bool Gone = Call.Status == 421;
  reportRefusal(H, Call.Pool, Call.At);
  leave(H, Call, DispatchOutcome::NotRun, false);
  repeatOrFail(H, Call, true, ErrorKind::Overloaded,
               Gone ? "another target uses the address"
                    : "target rejected the request");
}

/// Whether a status promises callers that the request was not executed. Only
/// the scheduler may send it: a target that did not report the request as not
/// executed may have executed it.
bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

void wholeAnswer(ForwardHost &H, ForwardCall &Call) {
  const bool Failed = Call.Status >= 500;
  const bool Again = Failed && isRetryable(Call.Route->Kind);
  const std::string Cause = "status " + std::to_string(Call.Status);
  leave(H, Call, Failed ? DispatchOutcome::Failed : DispatchOutcome::Complete,
        false);
  if (Call.Relaying && Failed) // the stream could not be resumed
    return repeatOrFail(H, Call, false, ErrorKind::AnswerCut, Cause);
  if (Again && mayRepeat(H, Call, false)) {
    Call.Gathered.clear();
    LogLine("attempt_failed")
        .with("request", Call.Name)
        .with("target", Call.TargetName)
        .with("cause", Cause)
        .with("attempt", Call.Attempts);
    return askForSlot(H, Call);
  }
  if (promisesNotRun(Call.Status) && !isRetryable(Call.Route->Kind))
    return failCall(H, Call, ErrorKind::TargetFailed);
  if (Call.FirstEventAt == TimePoint{})
    Call.FirstEventAt = H.Loop.now();
  H.Callers.answer(Call.Exchange, Call.Status, Call.AnswerHeaders,
                   Call.Gathered);
  H.Numbers.add(Failed ? TierCounter::Failed : TierCounter::Goodput, Call.Tier);
  endCall(H, Call, Failed ? "target_status" : ServedOutcome);
}

void finishRelay(ForwardHost &H, ForwardCall &Call) {
  const std::string Rest(Call.Events.partial());
  relayed(H, Call, Rest);
  leave(H, Call, DispatchOutcome::Complete, false);
  if (!Call.Begun)
    H.Callers.beginResponse(Call.Exchange, Call.Status, Call.AnswerHeaders);
  H.Callers.endResponse(Call.Exchange);
  H.Numbers.add(TierCounter::Goodput, Call.Tier);
  endCall(H, Call, ServedOutcome);
}

void brokenAnswer(ForwardHost &H, ForwardCall &Call, KeepAliveOutcome How) {
  if (neverSent(How)) {
    Call.Attempts -= std::min(Call.Attempts, 1U);
    H.Health[Call.At].recordRefusal(H.Loop.now());
    reportRefusal(H, Call.Pool, Call.At);
    leave(H, Call, DispatchOutcome::NotRun, false);
    return repeatOrFail(H, Call, true, ErrorKind::NoTarget, nameOf(How));
  }
  Call.MayHaveRun = true;
  leave(H, Call, DispatchOutcome::Failed, false);
  repeatOrFail(H, Call, false,
               How == KeepAliveOutcome::TimedOut ? ErrorKind::AnswerTimeout
                                                 : ErrorKind::OutcomeUnknown,
               nameOf(How));
}

void ended(ForwardHost &H, CallId Id, KeepAliveOutcome How) {
  ForwardCall *Call = callOf(H, H.ByCall.at(Id));
  if (How != KeepAliveOutcome::Complete)
    return brokenAnswer(H, *Call, How);
  if (Call->TargetDeclined)
    return notRun(H, *Call);
  if (Call->Relaying && Call->Status / 100 == 2)
    return finishRelay(H, *Call);
  wholeAnswer(H, *Call);
}

HttpHeaders headersFor(const ForwardHost &H, const ForwardCall &Call,
                       const ListedTarget &To) {
  HttpHeaders Sent = Call.Headers;
  const auto Left =
      std::chrono::duration_cast<milliseconds>(Call.Deadline - H.Loop.now());
  Sent.push_back({H.Names.DeadlineMs,
                  std::to_string(std::max<std::int64_t>(1, Left.count()))});
  Sent.push_back({H.Names.ExpectTarget, To.Name});
  if (!Call.AccountName.empty())
    Sent.push_back({H.Names.Account, Call.AccountName});
  const std::string &After =
      Call.Events.lastId().empty() ? Call.LastEventId : Call.Events.lastId();
  if (!After.empty())
    Sent.push_back({H.Names.LastEventId, After});
  return Sent;
}

} // namespace

void dispatch(ForwardHost &H, ForwardCall &Call, const ListedTarget &To) {
  const TimePoint Now = H.Loop.now();
  const bool Once = !isRetryable(Call.Route->Kind);
  KeepAliveCall Sent;
  Sent.Address = To.Address;
  Sent.Method = Call.Method;
  Sent.RequestTarget = Call.Target;
  Sent.Headers = headersFor(H, Call, To);
  Sent.Body = Call.Body;
  Sent.CorrelationHeader = H.Names.RequestId;
  Sent.CorrelationId = Call.Name;
  Sent.ConnectTimeout = ConnectTimeout;
  Sent.HeadTimeout = Call.Deadline - Now;
  Sent.MaxIdleTime = Once ? FreshEnough : KeptIdle;
  Sent.Timeouts.Unacknowledged = seconds(1);
  Sent.Timeouts.ProbeAfter = seconds(1);
  Sent.Timeouts.ProbeInterval = seconds(1);
  Sent.OnHead = [&H](CallId Id, const HttpHead &Head) {
    answered(H, Id, Head);
  };
  Sent.OnBody = [&H](CallId Id, std::string_view Bytes) {
    bytesArrived(H, Id, Bytes);
  };
  Sent.OnEnd = [&H](CallId Id, KeepAliveOutcome How) { ended(H, Id, How); };
  Call.Stage = CallStage::Dispatched;
  Call.At = To.Id;
  Call.TargetName = To.Name;
  Call.Version = To.Version;
  Call.Tried.push_back(To.Id);
  Call.DispatchedAt = Now;
  Call.LastBytesAt = Now;
  Call.Status = 0;
  Call.TargetDeclined = false;
  ++Call.Attempts;
  ++H.Local[To.Id].InFlight;
  Call.Call = H.Client.start(std::move(Sent));
  H.ByCall.emplace(Call.Call, Call.Id);
}

void leaveTarget(ForwardHost &H, ForwardCall &Call, DispatchOutcome How) {
  leave(H, Call, How, true);
}

void giveUpTarget(ForwardHost &H, ForwardCall &Call) {
  // Without budget for a retry, keep waiting: this attempt may still complete.
  if (Call.Attempts >= Call.Route->MaxAttempts ||
      H.Pools[Call.Pool].Repeats.left() < 1)
    return;
  Call.MayHaveRun = true;
  leave(H, Call, DispatchOutcome::Failed, true);
  repeatOrFail(H, Call, false, ErrorKind::AnswerTimeout, "target timed out");
}

} // namespace marjorambay
