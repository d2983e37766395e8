/// Dispatch of a request to a target, and relay of the response.
#include "forward_host.h"

#include "marjorambay/protocol/retry_after.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

/// Maximum idle time of a connection for non-idempotent calls. The target may
/// be closing a connection that was idle for longer, which would leave the
/// outcome unknown.
constexpr Duration MaxIdleNonIdempotent = milliseconds(250);
constexpr Duration MaxIdleIdempotent = seconds(4);
/// Maximum size of a buffered response; all but event streams are buffered.
constexpr std::size_t MaxBufferedBytes = 8 << 20;
/// Unread bytes of a stream above which its caller counts as disconnected.
constexpr std::size_t MaxUnreadBytes = 1 << 20;

constexpr Duration ConnectTimeout = milliseconds(300);

Usage usageOf(const ForwardHost &H, const ForwardCall &Call,
              DispatchOutcome Outcome) {
  const ForwardPool *Pool = Call.Table->pool(Call.Pool);
  const std::uint32_t TokensPerEvent =
      Pool == nullptr ? 1 : Pool->TokensPerEvent;
  Usage Used;
  Used.Outcome = Outcome;
  Used.PromptTokens = Call.PromptTokens;
  Used.OutputTokens =
      std::max(1U, (Call.Events.events() - Call.EventsBefore) * TokensPerEvent);
  const TimePoint Now = H.Loop.now();
  Used.Total = Now - Call.Current.DispatchedAt;
  Used.TimeToFirstToken =
      Call.Current.LastBytesAt == TimePoint{} || !Call.ResponseStarted
          ? Used.Total
          : Call.FirstEventAt - Call.Current.DispatchedAt;
  return Used;
}

/// Ends a dispatch: records its result, releases its slot and, with \p Cancel,
/// cancels the HTTP call.
void endDispatch(ForwardHost &H, ForwardCall &Call, DispatchOutcome Outcome,
                 bool Cancel) {
  if (Call.Stage != CallStage::Dispatched)
    return;
  if (Cancel)
    H.Client.cancel(Call.Current.HttpCall);
  H.CallsByDispatch.erase(Call.Current.HttpCall);
  const Usage Used = usageOf(H, Call, Outcome);
  LocalTarget &Local = H.LocalTargets[Call.Current.Target];
  Local.InFlight -= std::min(Local.InFlight, 1U);
  if (Outcome == DispatchOutcome::Complete) {
    constexpr double Gain = 0.1;
    const double Sample = toSeconds(Used.TimeToFirstToken);
    Local.MeanSeconds =
        Local.MeanSeconds == 0
            ? Sample
            : Local.MeanSeconds + Gain * (Sample - Local.MeanSeconds);
  }
  if (Outcome == DispatchOutcome::Complete ||
      Outcome == DispatchOutcome::Failed) {
    const bool Failed = Outcome == DispatchOutcome::Failed;
    H.Pools[Call.Pool].Health.recordAnswer(H.Health[Call.Current.Target],
                                           !Failed, H.Loop.now());
    observeVersion(H, Call, Used, Failed);
  }
  Call.Stage = CallStage::Waiting;
  Call.Current.HttpCall = CallId{};
  releaseSlot(H, Call.Pool, std::exchange(Call.Current.Slot, {}), Used);
}

bool mayRetry(ForwardHost &H, const ForwardCall &Call, bool NotRun) {
  const bool Allowed = NotRun || isRetryable(Call.Route->Kind);
  if (!Allowed || H.Loop.now() >= Call.Deadline)
    return false;
  if (Call.Attempts == 0)
    return true; // nothing has been sent yet
  return Call.Attempts < Call.Route->MaxAttempts &&
         H.Pools[Call.Pool].Retries.tryWithdraw();
}

/// Retries a call that a target has not completed, or fails it. \p NotRun: the
/// target has certainly not executed it.
void retryOrFail(ForwardHost &H, ForwardCall &Call, bool NotRun, ErrorKind Kind,
                 std::string_view Cause) {
  LogLine("attempt_failed")
      .with("request", Call.Name)
      .with("target", Call.Current.TargetName)
      .with("cause", Cause)
      .with("attempt", Call.Attempts)
      .with("not_run", NotRun ? "yes" : "no")
      .with("events", Call.Events.events())
      .with("framing", nameOf(Call.Current.Framing))
      .with("partial_bytes", Call.Events.partial().size())
      .with("silent_ms", std::chrono::duration_cast<milliseconds>(
                             H.Loop.now() - Call.Current.LastBytesAt)
                             .count());
  if (mayRetry(H, Call, NotRun)) {
    if (Call.Relaying)
      Call.Events.resume();
    Call.EventsBefore = Call.Events.events();
    Call.BufferedBody.clear();
    return requestSlot(H, Call);
  }
  failCall(H, Call, Call.MayHaveRun ? Kind : ErrorKind::Overloaded);
}

/// Whether a response on a route of streams consists of events; one without a
/// content type does.
bool isEventStream(const HttpHead &Head) {
  constexpr int NoContent = 204;
  if (Head.Status / 100 != 2 || Head.Status == NoContent)
    return false;
  constexpr std::string_view EventStream = "text/event-stream";
  const std::string_view Type = Head.header("content-type");
  return Type.empty() ||
         equalsIgnoringCase(Type.substr(0, EventStream.size()), EventStream);
}

void handleHeaders(ForwardHost &H, CallId Id, const HttpHead &Head) {
  ForwardCall *Call = findCall(H, H.CallsByDispatch.at(Id));
  const TimePoint Now = H.Loop.now();
  Call->Current.LastBytesAt = Now;
  Call->Current.Status = Head.Status;
  Call->Current.Framing = Head.Framing;
  const bool NotRun =
      !Head.header(H.HeaderNames.NotRun).empty() || Head.Status == 421;
  Call->Current.Declined = NotRun;
  if (NotRun)
    return; // handled when the response is complete
  Call->MayHaveRun = true;
  Call->Current.ReceivingEvents =
      isStream(Call->Route->Kind) && isEventStream(Head);
  if (Call->Relaying && !Call->Current.ReceivingEvents) // could not be resumed
    return;
  if (!Call->ResponseStarted) {
    Call->ResponseHeaders.clear();
    for (const HttpHeader &Header : Head.Headers)
      if (!isHopByHop(Header.Name) &&
          !equalsIgnoringCase(Header.Name, "content-length"))
        Call->ResponseHeaders.push_back(Header);
  }
  Call->Relaying = Call->Relaying || Call->Current.ReceivingEvents;
}

/// Closes a target to this host if it rejects a request and says for how long
/// it wants no more.
void recordHoldOff(ForwardHost &H, ForwardCall &Call, const HttpHead &Head) {
  constexpr int Unavailable = 503;
  const TimePoint Now = H.Loop.now();
  const std::string_view Text = Head.header("retry-after");
  if (Head.Status != Unavailable || Text.empty())
    return H.HoldOffs.recordAnswer(Call.Current.Target, Now);
  const auto Asked = parseRetryAfter(Text);
  if (!Asked) {
    LogLine("retry_after_ignored", LogLevel::Warning)
        .with("target", Call.Current.TargetName)
        .with("value", Text.substr(0, 40));
    return;
  }
  Call.Current.HoldsOff = true;
  const TimePoint OpensAt = H.HoldOffs.record(Call.Current.Target, *Asked,
                                              drawFraction(H.Random), Now);
  LogLine("target_holds_off")
      .with("target", Call.Current.TargetName)
      .with("request", Call.Name)
      .with("asked_ms",
            std::chrono::duration_cast<milliseconds>(*Asked).count())
      .with("opens_in_ms",
            std::chrono::duration_cast<milliseconds>(OpensAt - Now).count());
}

/// Applies what a target says of itself in the head of a response, of any
/// status. Only responses that belong to a request arrive here.
void applyTargetNotices(ForwardHost &H, CallId Id, const HttpHead &Head) {
  ForwardCall &Call = *findCall(H, H.CallsByDispatch.at(Id));
  recordHoldOff(H, Call, Head);
  if (!Head.header(H.HeaderNames.Leaving).empty())
    markTargetLeaving(H, Call);
}

void relayBytes(ForwardHost &H, ForwardCall &Call, std::string_view Bytes) {
  if (Bytes.empty())
    return;
  if (!Call.ResponseStarted) {
    Call.ResponseStarted = true;
    Call.FirstEventAt = H.Loop.now();
    H.Callers.beginResponse(Call.Exchange, Call.Current.Status,
                            Call.ResponseHeaders);
  }
  const std::size_t Unread = H.Callers.sendChunk(Call.Exchange, Bytes);
  Call.CallerStalled = Unread > MaxUnreadBytes;
}

/// Fails a call whose response exceeds the buffer. It is not retried, because
/// another target would send as much.
void failOversized(ForwardHost &H, ForwardCall &Call) {
  endDispatch(H, Call, DispatchOutcome::Cancelled, true);
  LogLine("attempt_failed")
      .with("request", Call.Name)
      .with("target", Call.Current.TargetName)
      .with("cause", "response too long")
      .with("attempt", Call.Attempts)
      .with("bytes", Call.BufferedBody.size());
  failCall(H, Call, ErrorKind::TargetFailed);
}

void handleBytes(ForwardHost &H, CallId Id, std::string_view Bytes) {
  ForwardCall *Call = findCall(H, H.CallsByDispatch.at(Id));
  Call->Current.LastBytesAt = H.Loop.now();
  if (Call->Current.ReceivingEvents)
    return relayBytes(H, *Call, Call->Events.feed(Bytes));
  if (Call->BufferedBody.size() + Bytes.size() > MaxBufferedBytes)
    return failOversized(H, *Call);
  Call->BufferedBody.append(Bytes);
}

/// Handles a response which reports that the request was not executed.
void handleNotRun(ForwardHost &H, ForwardCall &Call) {
  const bool Misdirected = Call.Current.Status == 421;
  if (!Call.Current.HoldsOff) // otherwise other hosts may still use it
    reportTargetRefusal(H, Call.Pool, Call.Current.Target);
  endDispatch(H, Call, DispatchOutcome::NotRun, false);
  retryOrFail(H, Call, true, ErrorKind::Overloaded,
              Misdirected ? "another target uses the address"
                          : "target rejected the request");
}

/// Whether a status promises callers that the request was not executed. Only
/// the scheduler may send it: a target that did not report the request as not
/// executed may have executed it.
bool promisesNotExecuted(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

void handleBufferedResponse(ForwardHost &H, ForwardCall &Call) {
  const bool Failed = Call.Current.Status >= 500;
  const bool MayRetry = Failed && isRetryable(Call.Route->Kind);
  const std::string Cause = "status " + std::to_string(Call.Current.Status);
  endDispatch(H, Call,
              Failed ? DispatchOutcome::Failed : DispatchOutcome::Complete,
              false);
  if (Call.Relaying) // the stream could not be resumed
    return retryOrFail(H, Call, false, ErrorKind::AnswerCut, Cause);
  if (MayRetry && mayRetry(H, Call, false)) {
    Call.BufferedBody.clear();
    LogLine("attempt_failed")
        .with("request", Call.Name)
        .with("target", Call.Current.TargetName)
        .with("cause", Cause)
        .with("attempt", Call.Attempts);
    return requestSlot(H, Call);
  }
  if (promisesNotExecuted(Call.Current.Status) &&
      !isRetryable(Call.Route->Kind))
    return failCall(H, Call, ErrorKind::TargetFailed);
  if (Call.FirstEventAt == TimePoint{})
    Call.FirstEventAt = H.Loop.now();
  H.Callers.answer(Call.Exchange, Call.Current.Status, Call.ResponseHeaders,
                   Call.BufferedBody);
  H.Stats.add(Failed ? TierCounter::Failed : TierCounter::Goodput, Call.Tier);
  endCall(H, Call, Failed ? "target_status" : ServedOutcome);
}

void finishStream(ForwardHost &H, ForwardCall &Call) {
  if (!Call.Events.partial().empty()) {
    endDispatch(H, Call, DispatchOutcome::Failed, false);
    return retryOrFail(H, Call, false, ErrorKind::AnswerCut,
                       "stream ended within an event");
  }
  endDispatch(H, Call, DispatchOutcome::Complete, false);
  if (!Call.ResponseStarted)
    H.Callers.beginResponse(Call.Exchange, Call.Current.Status,
                            Call.ResponseHeaders);
  H.Callers.endResponse(Call.Exchange);
  H.Stats.add(TierCounter::Goodput, Call.Tier);
  endCall(H, Call, ServedOutcome);
}

void handleFailedCall(ForwardHost &H, ForwardCall &Call,
                      KeepAliveOutcome Outcome) {
  if (neverSent(Outcome)) {
    Call.Attempts -= std::min(Call.Attempts, 1U);
    H.Health[Call.Current.Target].recordRefusal(H.Loop.now());
    reportTargetRefusal(H, Call.Pool, Call.Current.Target);
    endDispatch(H, Call, DispatchOutcome::NotRun, false);
    return retryOrFail(H, Call, true, ErrorKind::NoTarget, nameOf(Outcome));
  }
  Call.MayHaveRun = true;
  endDispatch(H, Call, DispatchOutcome::Failed, false);
  retryOrFail(H, Call, false,
              Outcome == KeepAliveOutcome::TimedOut ? ErrorKind::AnswerTimeout
                                                    : ErrorKind::OutcomeUnknown,
              nameOf(Outcome));
}

void handleEnd(ForwardHost &H, CallId Id, KeepAliveOutcome Outcome) {
  ForwardCall *Call = findCall(H, H.CallsByDispatch.at(Id));
  if (Outcome != KeepAliveOutcome::Complete)
    return handleFailedCall(H, *Call, Outcome);
  if (Call->Current.Declined)
    return handleNotRun(H, *Call);
  if (Call->Current.ReceivingEvents)
    return finishStream(H, *Call);
  handleBufferedResponse(H, *Call);
}

HttpHeaders headersFor(const ForwardHost &H, const ForwardCall &Call,
                       const ListedTarget &Target) {
  HttpHeaders Headers = Call.Headers;
  const auto Remaining =
      std::chrono::duration_cast<milliseconds>(Call.Deadline - H.Loop.now());
  Headers.push_back(
      {H.HeaderNames.DeadlineMs,
       std::to_string(std::max<std::int64_t>(1, Remaining.count()))});
  Headers.push_back({H.HeaderNames.ExpectTarget, Target.Name});
  if (!Call.AccountName.empty())
    Headers.push_back({H.HeaderNames.Account, Call.AccountName});
  const std::string &LastId =
      Call.Events.lastId().empty() ? Call.LastEventId : Call.Events.lastId();
  if (!LastId.empty())
    Headers.push_back({H.HeaderNames.LastEventId, LastId});
  return Headers;
}

} // namespace

void dispatch(ForwardHost &H, ForwardCall &Call, const ListedTarget &Target,
              const SlotReservation &Slot) {
  const TimePoint Now = H.Loop.now();
  const bool NonIdempotent = !isRetryable(Call.Route->Kind);
  KeepAliveCall Request;
  Request.Address = Target.Address;
  Request.Method = Call.Method;
  Request.RequestTarget = Call.RequestTarget;
  Request.Headers = headersFor(H, Call, Target);
  Request.Body = Call.Body;
  Request.CorrelationHeader = H.HeaderNames.RequestId;
  Request.CorrelationId = Call.Name;
  Request.ConnectTimeout = ConnectTimeout;
  Request.HeadTimeout = Call.Deadline - Now;
  Request.MaxIdleTime =
      NonIdempotent ? MaxIdleNonIdempotent : MaxIdleIdempotent;
  Request.Timeouts.Unacknowledged = seconds(1);
  Request.Timeouts.ProbeAfter = seconds(1);
  Request.Timeouts.ProbeInterval = seconds(1);
  Request.OnHead = [&H](CallId Id, const HttpHead &Head) {
    handleHeaders(H, Id, Head);
    applyTargetNotices(H, Id, Head);
  };
  Request.OnBody = [&H](CallId Id, std::string_view Bytes) {
    handleBytes(H, Id, Bytes);
  };
  Request.OnEnd = [&H](CallId Id, KeepAliveOutcome Outcome) {
    handleEnd(H, Id, Outcome);
  };
  Call.Stage = CallStage::Dispatched;
  Call.TriedTargets.push_back(Target.Id);
  Call.Current = TargetAttempt{};
  Call.Current.Slot = Slot;
  Call.Current.Target = Target.Id;
  Call.Current.TargetName = Target.Name;
  Call.Current.TargetIncarnation = Target.Incarnation;
  Call.Current.Version = Target.Version;
  Call.Current.DispatchedAt = Now;
  Call.Current.LastBytesAt = Now;
  ++Call.Attempts;
  ++H.LocalTargets[Target.Id].InFlight;
  Call.Current.HttpCall = H.Client.start(std::move(Request));
  H.CallsByDispatch.emplace(Call.Current.HttpCall, Call.Id);
}

void cancelDispatch(ForwardHost &H, ForwardCall &Call,
                    DispatchOutcome Outcome) {
  endDispatch(H, Call, Outcome, true);
}

void handleTargetTimeout(ForwardHost &H, ForwardCall &Call) {
  // Without budget for a retry, keep waiting: this attempt may still complete.
  if (Call.Attempts >= Call.Route->MaxAttempts ||
      H.Pools[Call.Pool].Retries.left() < 1)
    return;
  Call.MayHaveRun = true;
  endDispatch(H, Call, DispatchOutcome::Failed, true);
  retryOrFail(H, Call, false, ErrorKind::AnswerTimeout, "target timed out");
}

} // namespace marjorambay
