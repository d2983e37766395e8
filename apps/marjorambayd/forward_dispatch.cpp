/// Dispatch of a request to a target, and relay of the response.
#include "forward_host.h"

#include "marjorambay/protocol/retry_after.h"

#include <algorithm>
#include <array>
#include <cassert>
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
/// A target that acknowledges nothing for this long is lost. Well above the
/// second or so for which a sound one may be silent.
constexpr Duration UnacknowledgedTimeout = seconds(3);
constexpr Duration ProbeInterval = seconds(1);

/// A replacement that has not responded after this time is assumed to have the
/// request, and the silent target's dispatch ends: no request may go on at two
/// targets.
constexpr Duration MaxOverlap = milliseconds(250);
/// Shorter than MaxOverlap, so that a target that takes no connection does not
/// take over a request.
constexpr Duration ReplacementConnectTimeout = milliseconds(150);
/// How long a call waits for a connection that this host lacks, and the time
/// between two attempts.
constexpr Duration MaxConnectionWait = seconds(1);
constexpr Duration ConnectionRetryInterval = milliseconds(200);
/// Between two replacements of the same dispatch.
constexpr Duration ReplacementInterval = milliseconds(300);

Usage usageOf(const ForwardHost &H, const ForwardCall &Call,
              const TargetAttempt &Attempt, DispatchOutcome Outcome) {
  const ForwardPool *Pool = Call.Table->pool(Call.Pool);
  const std::uint32_t TokensPerEvent =
      Pool == nullptr ? 1 : Pool->TokensPerEvent;
  const bool IsCurrent = &Attempt == &Call.Current;
  const std::uint32_t Events =
      IsCurrent ? Call.Events.events() - Call.EventsBefore : 0;
  Usage Used;
  Used.Outcome = Outcome;
  Used.PromptTokens = Call.PromptTokens;
  Used.OutputTokens = std::max(1U, Events * TokensPerEvent);
  Used.Total = H.Loop.now() - Attempt.DispatchedAt;
  Used.TimeToFirstToken = IsCurrent && Call.ResponseStarted
                              ? Call.FirstEventAt - Attempt.DispatchedAt
                              : Used.Total;
  Used.AnswerBegan = Events != 0;
  Used.ConnectionLost = Attempt.ConnectionLost;
  return Used;
}

/// Passes the time to the first event to the guard. Streams that are resumed
/// are left out: the target does other work for them.
void observeFirstEvent(ForwardHost &H, ForwardCall &Call) {
  if (Call.Current.FirstEventObserved || Call.EventsBefore > 0 ||
      Call.Current.WasCold)
    return;
  Call.Current.FirstEventObserved = true;
  observeLatency(H, Call, LatencyKind::FirstEvent, Call.Current.DispatchedAt,
                 H.Loop.now() - Call.Current.DispatchedAt);
}

/// Passes the time between events to the guard, once the stream has more than
/// \p Intervals. Its end is not waited for: slow streams end last.
void observeEventTime(ForwardHost &H, ForwardCall &Call,
                      std::uint32_t Intervals) {
  const std::uint32_t Events = Call.Events.events();
  if (Call.Current.EventTimeObserved || Call.EventsBefore > 0 ||
      Call.Current.WasCold || Events <= Intervals || !Call.ResponseStarted)
    return;
  Call.Current.EventTimeObserved = true;
  const Duration Elapsed = H.Loop.now() - Call.FirstEventAt;
  observeLatency(H, Call, LatencyKind::PerEvent, Call.FirstEventAt,
                 Elapsed / (Events - 1));
}

/// Passes the pace of the events, once further ones change nothing or the
/// stream has ended.
void observeStreamPace(ForwardHost &H, ForwardCall &Call) {
  const std::optional<Duration> Pace = Call.Current.Pace.pace();
  if (Call.Current.PaceObserved || !Pace || Call.Current.WasCold)
    return;
  Call.Current.PaceObserved = true;
  observePace(H, Call, *Pace);
}

/// Passes what has not been observed when a dispatch ends. A call that was
/// given up without an event after its route's objective took at least that
/// long.
void observeLatencyAtEnd(ForwardHost &H, ForwardCall &Call,
                         DispatchOutcome Outcome) {
  constexpr std::uint32_t MinIntervals = 2;
  const Duration Elapsed = H.Loop.now() - Call.Current.DispatchedAt;
  if (Outcome == DispatchOutcome::Complete ||
      (Outcome == DispatchOutcome::Cancelled &&
       Elapsed >= Call.Route->LatencyObjective))
    observeFirstEvent(H, Call);
  if (Outcome == DispatchOutcome::Complete)
    observeEventTime(H, Call, MinIntervals);
  observeStreamPace(H, Call);
}

/// Ends a dispatch: records its result, releases its slot and, with \p Cancel,
/// cancels the HTTP call.
void endAttempt(ForwardHost &H, ForwardCall &Call, TargetAttempt &Attempt,
                DispatchOutcome Outcome, bool Cancel) {
  if (Cancel)
    H.Client.cancel(Attempt.HttpCall);
  H.CallsByDispatch.erase(Attempt.HttpCall);
  const Usage Used = usageOf(H, Call, Attempt, Outcome);
  recordPlainRamp(H, Attempt, Used);
  LocalTarget &Local = H.LocalTargets[Attempt.Target];
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
    TargetHealth &Health = H.Health[Attempt.Target];
    const bool WasUsable = Health.usable(H.Loop.now());
    H.Pools[Call.Pool].Health.recordAnswer(Health, !Failed, H.Loop.now());
    const bool Ejected = WasUsable && !Health.usable(H.Loop.now());
    if (Ejected)
      startPlainRamp(H, Attempt.Target, RampStart::Ejection);
    if (Ejected && Attempt.WasSilent)
      recordTargetLost(H, Attempt.Target, Attempt.TargetIncarnation);
    // A cold target is slow whatever version it runs, but may still fail.
    if (Failed || !Attempt.WasCold)
      observeVersion(H, Call, Attempt, Used, Failed);
  }
  Attempt.HttpCall = CallId{};
  if (Attempt.ConnectionLost)
    recordTargetLost(H, Attempt.Target, Attempt.TargetIncarnation);
  if (Attempt.ConnectionLost)
    reportAttemptLost(H, Call, Attempt);
  else if (Outcome == DispatchOutcome::Complete && number(Attempt.Slot.Id) == 0)
    H.Pools[Call.Pool].Answered.record(Call.CrashKeys, Attempt.DispatchedAt);
  releaseSlot(H, Call.Pool, Attempt.Target, std::exchange(Attempt.Slot, {}),
              Used);
}

/// Ends the call's current dispatch, if there is one.
void endDispatch(ForwardHost &H, ForwardCall &Call, DispatchOutcome Outcome,
                 bool Cancel) {
  if (Call.Stage != CallStage::Dispatched)
    return;
  observeLatencyAtEnd(H, Call, Outcome);
  // Releasing the slot steps the arbiter, which may decide on the reservation
  // of a replacement. Until the stage changes, that does not end the call.
  endAttempt(H, Call, Call.Current, Outcome, Cancel);
  Call.Stage = CallStage::Waiting;
}

void endReplacement(ForwardHost &H, ForwardCall &Call, DispatchOutcome Outcome,
                    bool Cancel) {
  TargetAttempt Ended = std::move(*Call.Replacement);
  Call.Replacement.reset();
  endAttempt(H, Call, Ended, Outcome, Cancel);
}

/// Returns how an attempt ends whose target was too late. A cold target is
/// expected to be slow, which does not count as a failure.
DispatchOutcome lateOutcome(const TargetAttempt &Attempt) {
  return Attempt.WasCold ? DispatchOutcome::Cancelled : DispatchOutcome::Failed;
}

/// Discards the buffered response and frees its memory.
void dropBufferedBody(ForwardCall &Call) {
  std::string().swap(Call.BufferedBody);
}

/// Makes the replacement the current dispatch, after the latter has ended.
void adoptReplacement(ForwardCall &Call) {
  Call.Current = std::move(*Call.Replacement);
  Call.Replacement.reset();
  Call.Stage = CallStage::Dispatched;
  if (Call.Relaying)
    Call.Events.resume();
  Call.EventsBefore = Call.Events.events();
  dropBufferedBody(Call);
}

/// Ends the current dispatch, whose target is silent, in favour of its
/// replacement.
void promoteReplacement(ForwardHost &H, ForwardCall &Call) {
  LogLine("attempt_replaced")
      .with("request", Call.Name)
      .with("target", Call.Current.TargetName)
      .with("by", Call.Replacement->TargetName)
      .with("attempt", Call.Attempts)
      .with("events", Call.Events.events())
      .with("silent_ms", std::chrono::duration_cast<milliseconds>(
                             H.Loop.now() - Call.Current.LastBytesAt)
                             .count())
      .with("stalled_ms", std::chrono::duration_cast<milliseconds>(
                              H.Loop.now() - Call.Current.ProgressAt)
                              .count());
  Call.MayHaveRun = true;
  Call.SilentTargets.push_back(Call.Current.Target);
  Call.Current.WasSilent = true;
  endDispatch(H, Call, lateOutcome(Call.Current), true);
  startPlainRamp(H, Call.Current.Target, RampStart::Silence);
  adoptReplacement(Call);
}

bool mayRetry(ForwardHost &H, const ForwardCall &Call, bool NotRun) {
  const bool Allowed = NotRun || isRetryable(Call.Route->Kind);
  if (!Allowed || H.Loop.now() >= Call.Deadline ||
      !mayRepeatWhileDraining(H, Call))
    return false;
  if (Call.Attempts == 0)
    return true; // nothing has been sent yet
  return Call.Attempts < Call.Route->MaxAttempts &&
         H.Pools[Call.Pool].Retries.tryWithdraw();
}

std::string formatCrashKeys(const std::vector<CrashKey> &Keys,
                            CrashKeyKind Kind) {
  std::string Text;
  for (const CrashKey &Key : Keys)
    if (Key.Kind == Kind)
      Text += (Text.empty() ? "" : ",") + formatCrashKey(Key);
  return Text;
}

void logFailedAttempt(const ForwardHost &H, const ForwardCall &Call,
                      const TargetAttempt &Attempt, bool NotRun,
                      std::string_view Cause) {
  LogLine("attempt_failed")
      .with("request", Call.Name)
      .with("target", Attempt.TargetName)
      .with("cause", Cause)
      .with("attempt", Call.Attempts)
      .with("connection", static_cast<std::int64_t>(Attempt.Connection))
      .with("not_run", NotRun ? "yes" : "no")
      .with("events", Call.Events.events())
      .with("framing", nameOf(Attempt.Framing))
      .with("partial_bytes", Call.Events.partial().size())
      .with("silent_ms", std::chrono::duration_cast<milliseconds>(
                             H.Loop.now() - Attempt.LastBytesAt)
                             .count())
      .with("segments", formatCrashKeys(Call.CrashKeys, CrashKeyKind::Segment))
      .with("fingerprint",
            formatCrashKeys(Call.CrashKeys, CrashKeyKind::Request));
}

/// Retries a call that a target has not completed, or fails it. \p NotRun: the
/// target has certainly not executed it.
void retryOrFail(ForwardHost &H, ForwardCall &Call, bool NotRun, ErrorKind Kind,
                 std::string_view Cause) {
  logFailedAttempt(H, Call, Call.Current, NotRun, Cause);
  const bool Failing = Call.Replacement && Call.Replacement->Status != 0;
  if (Call.Replacement && !Failing)
    return adoptReplacement(Call);
  if (Failing) // it has responded, but not with an answer
    endReplacement(H, Call, DispatchOutcome::Failed, true);
  if (mayRetry(H, Call, NotRun)) {
    if (Call.Relaying)
      Call.Events.resume();
    Call.EventsBefore = Call.Events.events();
    dropBufferedBody(Call);
    if (number(Call.Pending.Id) != 0)
      return; // the reservation of a replacement keeps its place
    if (H.Loop.now() < Call.NoConnectionUntil)
      return; // checkTimeouts() asks for another slot
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

std::string_view headerIn(const HttpHeaders &Headers, std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (equalsIgnoringCase(Header.Name, Name))
      return Header.Value;
  return {};
}

/// Whether a response may go on with the stream that the caller is receiving:
/// its events are in the same form. The caller has the head of the first one.
bool continuesStream(const ForwardCall &Call, const HttpHead &Head) {
  constexpr std::array<std::string_view, 2> FormHeaders{"content-type",
                                                        "content-encoding"};
  return isEventStream(Head) &&
         std::all_of(FormHeaders.begin(), FormHeaders.end(),
                     [&](std::string_view Name) {
                       return equalsIgnoringCase(
                           headerIn(Call.ResponseHeaders, Name),
                           Head.header(Name));
                     });
}

bool isReplacement(const ForwardCall &Call, CallId Id) {
  return Call.Replacement && Call.Replacement->HttpCall == Id;
}

/// Returns the dispatch that an HTTP call belongs to.
TargetAttempt &attemptOf(ForwardCall &Call, CallId Id) {
  return isReplacement(Call, Id) ? *Call.Replacement : Call.Current;
}

/// Records the head of a response. Returns whether the call goes on with it.
bool acceptHead(ForwardHost &H, ForwardCall &Call, CallId Id,
                const HttpHead &Head) {
  TargetAttempt &Attempt = attemptOf(Call, Id);
  Attempt.LastBytesAt = H.Loop.now();
  Attempt.ProgressAt = Attempt.LastBytesAt;
  Call.NoConnectionSince = TimePoint{};
  Attempt.Status = Head.Status;
  Attempt.Framing = Head.Framing;
  Attempt.Declined =
      !Head.header(H.HeaderNames.NotRun).empty() || Head.Status == 421;
  if (Attempt.Declined)
    return false; // handled when the response is complete
  Attempt.ReceivingEvents = isStream(Call.Route->Kind) &&
                            (Call.ResponseStarted ? continuesStream(Call, Head)
                                                  : isEventStream(Head));
  Call.MayHaveRun = true;
  // A stream that has begun can't go on with another kind of response.
  const bool Resumes = !Call.Relaying || Attempt.ReceivingEvents;
  Attempt.Answers = Resumes && Head.Status < 500;
  if (!isReplacement(Call, Id)) {
    if (Attempt.Answers)
      cancelReplacement(H, Call);
    return Resumes;
  }
  if (!Attempt.Answers)
    return false; // the current target may still do better
  promoteReplacement(H, Call);
  return true;
}

void handleHeaders(ForwardHost &H, CallId Id, const HttpHead &Head) {
  ForwardCall &Call = *findCall(H, H.CallsByDispatch.at(Id));
  if (!acceptHead(H, Call, Id, Head))
    return;
  if (!Call.ResponseStarted) {
    Call.ResponseHeaders.clear();
    for (const HttpHeader &Header : Head.Headers)
      if (!isHopByHop(Header.Name) &&
          !equalsIgnoringCase(Header.Name, "content-length"))
        Call.ResponseHeaders.push_back(Header);
  }
  Call.Relaying = Call.Relaying || Call.Current.ReceivingEvents;
}

/// Closes a target to this host if it rejects a request and says for how long
/// it wants no more.
void recordHoldOff(ForwardHost &H, const ForwardCall &Call,
                   TargetAttempt &Attempt, const HttpHead &Head) {
  constexpr int Unavailable = 503;
  const TimePoint Now = H.Loop.now();
  const std::string_view Text = Head.header("retry-after");
  if (Head.Status != Unavailable || Text.empty())
    return H.HoldOffs.recordAnswer(Attempt.Target, Now);
  const auto Asked = parseRetryAfter(Text);
  if (!Asked) {
    LogLine("retry_after_ignored", LogLevel::Warning)
        .with("target", Attempt.TargetName)
        .with("value", Text.substr(0, 40));
    return;
  }
  Attempt.HoldsOff = true;
  startPlainRamp(H, Attempt.Target, RampStart::BackOff);
  const TimePoint OpensAt =
      H.HoldOffs.record(Attempt.Target, *Asked, drawFraction(H.Random), Now);
  LogLine("target_holds_off")
      .with("target", Attempt.TargetName)
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
  TargetAttempt &Attempt = attemptOf(Call, Id);
  recordTargetLimit(H, Attempt, Head);
  recordWarmupResponse(H, Attempt, Head);
  recordHoldOff(H, Call, Attempt, Head);
  if (!Head.header(H.HeaderNames.Leaving).empty())
    markTargetLeaving(H, Call, Attempt);
}

void relayBytes(ForwardHost &H, ForwardCall &Call, std::string_view Bytes,
                std::uint32_t EventsBefore) {
  if (Bytes.empty())
    return;
  if (EventsBefore == Call.EventsBefore)
    reportAnswerBegan(H, Call);
  if (!Call.ResponseStarted) {
    Call.ResponseStarted = true;
    Call.FirstEventAt = H.Loop.now();
    H.Callers.beginResponse(Call.Exchange, Call.Current.Status,
                            Call.ResponseHeaders);
  }
  const std::size_t Unread = H.Callers.sendChunk(Call.Exchange, Bytes);
  Call.CallerStalled = Unread > MaxUnreadBytes;
}

/// Passes latencies to the guard as soon as they are known.
void observeEvents(ForwardHost &H, ForwardCall &Call) {
  constexpr std::uint32_t EnoughIntervals = 8;
  if (Call.Events.events() == 0)
    return;
  observeFirstEvent(H, Call);
  observeEventTime(H, Call, EnoughIntervals);
  if (Call.Current.Pace.complete())
    observeStreamPace(H, Call);
}

/// Gives up a response that exceeds the buffer. One without a length may have
/// no end: its target has failed, and another one may take the call. One with a
/// length would be as long from another target.
void failOversized(ForwardHost &H, ForwardCall &Call, std::string_view Cause) {
  if (Call.Current.Framing != BodyFraming::Length) {
    endDispatch(H, Call, DispatchOutcome::Failed, true);
    return retryOrFail(H, Call, false, ErrorKind::TargetFailed, Cause);
  }
  endDispatch(H, Call, DispatchOutcome::Cancelled, true);
  logFailedAttempt(H, Call, Call.Current, false, Cause);
  failCall(H, Call, ErrorKind::TargetFailed);
}

/// Gives up the largest buffered response if all of them together exceed their
/// limit.
void limitBuffers(ForwardHost &H) {
  std::size_t Total = 0;
  ForwardCall *Largest = nullptr;
  for (auto &[Id, Call] : H.Calls) {
    const std::size_t Size = Call.BufferedBody.capacity();
    Total += Size;
    if (Largest == nullptr || Size > Largest->BufferedBody.capacity())
      Largest = &Call;
  }
  if (Total > H.Memory.Budget.share(MemoryOwner::BufferedResponses))
    failOversized(H, *Largest, "responses too long in all");
}

void bufferBytes(ForwardHost &H, ForwardCall &Call, std::string_view Bytes) {
  if (Call.BufferedBody.size() + Bytes.size() > MaxBufferedBytes)
    return failOversized(H, Call, "response too long");
  const std::size_t Capacity = Call.BufferedBody.capacity();
  Call.BufferedBody.append(Bytes);
  if (Call.BufferedBody.capacity() != Capacity)
    limitBuffers(H);
}

/// Records that the current target works on its response, so that it needs no
/// replacement.
void recordProgress(ForwardHost &H, ForwardCall &Call) {
  Call.Current.ProgressAt = H.Loop.now();
  if (Call.Current.Answers)
    cancelReplacement(H, Call);
}

void handleEventBytes(ForwardHost &H, ForwardCall &Call,
                      std::string_view Bytes) {
  const std::uint32_t Before = Call.Events.events();
  const std::uint64_t CompletedBefore = Call.Events.completed();
  const std::string_view Complete = Call.Events.feed(Bytes);
  if (Call.Events.completed() != CompletedBefore)
    recordProgress(H, Call);
  Call.Current.Pace.add(Call.Events.events() - Before, H.Loop.now());
  relayBytes(H, Call, Complete, Before);
  const bool Foreign = Call.Events.hasForeignEvent();
  if (!Call.Events.hasOverlongEvent() && !Foreign)
    return observeEvents(H, Call);
  endDispatch(H, Call, DispatchOutcome::Failed, true);
  retryOrFail(H, Call, false, ErrorKind::AnswerCut,
              Foreign ? "resumed with another stream" : "event too long");
}

void handleBytes(ForwardHost &H, CallId Id, std::string_view Bytes) {
  ForwardCall *Call = findCall(H, H.CallsByDispatch.at(Id));
  if (isReplacement(*Call, Id))
    return; // of a failure; the current target goes on
  Call->Current.LastBytesAt = H.Loop.now();
  if (Call->Current.ReceivingEvents)
    return handleEventBytes(H, *Call, Bytes);
  recordProgress(H, *Call);
  bufferBytes(H, *Call, Bytes);
}

/// Handles a response which reports that the request was not executed.
void handleNotRun(ForwardHost &H, ForwardCall &Call) {
  const bool Misdirected = Call.Current.Status == 421;
  if (!Call.Current.HoldsOff) // otherwise other hosts may still use it
    reportTargetRefusal(H, Call.Pool, Call.Current.Target);
  endDispatch(H, Call, DispatchOutcome::NotRun, false);
  // A request that an earlier target may have run can't be refused. This one
  // has not run it, so that it does not count towards the route's attempts.
  if (Call.MayHaveRun)
    Call.Attempts -= std::min(Call.Attempts, 1U);
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
  // A stream that has begun could not be resumed, or a replacement goes on.
  if (Call.Relaying || Call.Replacement)
    return retryOrFail(H, Call, false, ErrorKind::AnswerCut, Cause);
  if (MayRetry && mayRetry(H, Call, false)) {
    dropBufferedBody(Call);
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
  H.Callers.answer(
      Call.Exchange, Call.Current.Status, Call.ResponseHeaders,
      std::make_shared<const std::string>(std::move(Call.BufferedBody)));
  H.Stats.add(Failed ? TierCounter::Failed : TierCounter::Goodput, Call.Tier);
  endCall(H, Call, Failed ? "target_status" : ServedOutcome);
}

void finishStream(ForwardHost &H, ForwardCall &Call) {
  const bool WithinEvent = !Call.Events.partial().empty();
  const bool NoEvent = Call.Events.events() == Call.EventsBefore;
  // A connection may end a response without a length, but not without an event:
  // a target that ends looks the same.
  Call.Current.ConnectionLost =
      Call.Current.Framing == BodyFraming::UntilClose &&
      (WithinEvent || NoEvent);
  const bool FellShort = Call.Events.fellShort();
  if (Call.Current.ConnectionLost || WithinEvent || FellShort) {
    endDispatch(H, Call, DispatchOutcome::Failed, false);
    return retryOrFail(H, Call, false, ErrorKind::AnswerCut,
                       WithinEvent ? "stream ended within an event"
                       : FellShort ? "resumed with an earlier end"
                                   : "connection closed before an event");
  }
  endDispatch(H, Call, DispatchOutcome::Complete, false);
  if (!Call.ResponseStarted)
    H.Callers.beginResponse(Call.Exchange, Call.Current.Status,
                            Call.ResponseHeaders);
  H.Callers.endResponse(Call.Exchange);
  H.Stats.add(TierCounter::Goodput, Call.Tier);
  endCall(H, Call, ServedOutcome);
}

/// Whether a target that took no connection may have restarted. While it is
/// cold, it has little time to take one.
bool mayHaveRestarted(const TargetAttempt &Attempt, KeepAliveOutcome Outcome) {
  return Outcome == KeepAliveOutcome::Refused || !Attempt.WasCold;
}

/// Handles a dispatch for which this host had no connection left. The target
/// is not to blame; the call waits for a while.
void handleNoResource(ForwardHost &H, ForwardCall &Call) {
  const TimePoint Now = H.Loop.now();
  const std::string_view Cause = nameOf(KeepAliveOutcome::NoResource);
  Call.Attempts -= std::min(Call.Attempts, 1U);
  std::erase(Call.TriedTargets, Call.Current.Target);
  if (Call.NoConnectionSince == TimePoint{})
    Call.NoConnectionSince = Now;
  Call.NoConnectionUntil = Now + ConnectionRetryInterval;
  endDispatch(H, Call, DispatchOutcome::NotRun, false);
  if (Now - Call.NoConnectionSince < MaxConnectionWait || Call.Replacement)
    return retryOrFail(H, Call, true, ErrorKind::OutcomeUnknown, Cause);
  logFailedAttempt(H, Call, Call.Current, true, Cause);
  failCall(H, Call,
           Call.MayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::Overloaded);
}

void handleFailedCall(ForwardHost &H, ForwardCall &Call,
                      KeepAliveOutcome Outcome) {
  if (Outcome == KeepAliveOutcome::NoResource)
    return handleNoResource(H, Call);
  Call.NoConnectionSince = TimePoint{};
  if (neverSent(Outcome)) {
    Call.Attempts -= std::min(Call.Attempts, 1U);
    H.Health[Call.Current.Target].recordRefusal(H.Loop.now());
    if (mayHaveRestarted(Call.Current, Outcome))
      recordTargetLost(H, Call.Current.Target, Call.Current.TargetIncarnation);
    startPlainRamp(H, Call.Current.Target, RampStart::BackOff);
    reportTargetRefusal(H, Call.Pool, Call.Current.Target,
                        Outcome == KeepAliveOutcome::Refused);
    endDispatch(H, Call, DispatchOutcome::NotRun, false);
    return retryOrFail(H, Call, true, ErrorKind::NoTarget, nameOf(Outcome));
  }
  Call.MayHaveRun = true;
  Call.Current.ConnectionLost = Outcome == KeepAliveOutcome::ConnectionLost;
  Call.Current.WasSilent = Outcome == KeepAliveOutcome::TimedOut;
  const bool IsLate = Outcome == KeepAliveOutcome::TimedOut ||
                      Outcome == KeepAliveOutcome::BodyTimedOut;
  endDispatch(H, Call,
              IsLate ? lateOutcome(Call.Current) : DispatchOutcome::Failed,
              false);
  retryOrFail(H, Call, false,
              Outcome == KeepAliveOutcome::TimedOut ? ErrorKind::AnswerTimeout
                                                    : ErrorKind::OutcomeUnknown,
              nameOf(Outcome));
}

/// Handles the end of a replacement that did not take the call.
void handleReplacementEnd(ForwardHost &H, ForwardCall &Call,
                          KeepAliveOutcome Outcome) {
  TargetAttempt &Attempt = *Call.Replacement;
  Attempt.ConnectionLost = Outcome == KeepAliveOutcome::ConnectionLost;
  const bool NotSent = neverSent(Outcome);
  const bool NoResource = Outcome == KeepAliveOutcome::NoResource;
  const bool NotRun = NotSent || Attempt.Declined;
  logFailedAttempt(H, Call, Attempt, NotRun,
                   NotSent            ? nameOf(Outcome)
                   : Attempt.Declined ? "target rejected the request"
                                      : "replacement failed");
  if (NotSent && !NoResource) {
    H.Health[Attempt.Target].recordRefusal(H.Loop.now());
    if (mayHaveRestarted(Attempt, Outcome))
      recordTargetLost(H, Attempt.Target, Attempt.TargetIncarnation);
    startPlainRamp(H, Attempt.Target, RampStart::BackOff);
  }
  if (NotRun && !NoResource && !Attempt.HoldsOff)
    reportTargetRefusal(H, Call.Pool, Attempt.Target,
                        Outcome == KeepAliveOutcome::Refused);
  if (NotRun)
    Call.Attempts -= std::min(Call.Attempts, 1U);
  else
    Call.MayHaveRun = true;
  Call.ReplaceAfter = H.Loop.now() + ReplacementInterval;
  endReplacement(H, Call,
                 NotRun ? DispatchOutcome::NotRun : DispatchOutcome::Failed,
                 false);
}

void handleEnd(ForwardHost &H, CallId Id, KeepAliveOutcome Outcome) {
  ForwardCall *Call = findCall(H, H.CallsByDispatch.at(Id));
  if (isReplacement(*Call, Id))
    return handleReplacementEnd(H, *Call, Outcome);
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
  assert(maySend(H, Call, Target) && "the caller has to ask maySend()");
  const TimePoint Now = H.Loop.now();
  const bool Replaces = Call.Stage == CallStage::Dispatched;
  const bool NonIdempotent = !isRetryable(Call.Route->Kind);
  KeepAliveCall Request;
  Request.Address = Target.Address;
  Request.Method = Call.Method;
  Request.RequestTarget = Call.RequestTarget;
  Request.Headers = headersFor(H, Call, Target);
  Request.SharedBody = Call.Body;
  Request.CorrelationHeader = H.HeaderNames.RequestId;
  Request.CorrelationId = Call.Name;
  const bool Cold = isCold(H, Target.Id);
  Request.ConnectTimeout = Cold       ? ColdConnectTimeout
                           : Replaces ? ReplacementConnectTimeout
                                      : ConnectTimeout;
  Request.HeadTimeout = Call.Deadline - Now;
  // A replacement must show that its target takes connections.
  Request.MaxIdleTime = Replaces        ? Duration(0)
                        : NonIdempotent ? MaxIdleNonIdempotent
                                        : MaxIdleIdempotent;
  Request.Timeouts.Unacknowledged = UnacknowledgedTimeout;
  Request.Timeouts.ProbeAfter = ProbeInterval;
  Request.Timeouts.ProbeInterval = ProbeInterval;
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
  TargetAttempt Attempt;
  Attempt.Slot = Slot;
  Attempt.Target = Target.Id;
  Attempt.TargetZone = Target.Zone;
  Attempt.TargetName = Target.Name;
  Attempt.TargetIncarnation = Target.Incarnation;
  Attempt.Version = Target.Version;
  Attempt.DispatchedAt = Now;
  Attempt.LastBytesAt = Now;
  Attempt.WasCold = Cold;
  Attempt.ProgressAt = Now;
  Call.TriedTargets.push_back(Target.Id);
  ++Call.Attempts;
  Attempt.InFlight = ++H.LocalTargets[Target.Id].InFlight;
  Attempt.HttpCall = H.Client.start(std::move(Request));
  Attempt.Connection = H.Client.connectionOf(Attempt.HttpCall);
  H.CallsByDispatch.emplace(Attempt.HttpCall, Call.Id);
  if (Replaces) {
    Call.Replacement = std::move(Attempt);
    return;
  }
  Call.Current = std::move(Attempt);
  Call.Stage = CallStage::Dispatched;
}

void cancelDispatch(ForwardHost &H, ForwardCall &Call,
                    DispatchOutcome Outcome) {
  endDispatch(H, Call, Outcome, true);
}

void replaceSilentTarget(ForwardHost &H, ForwardCall &Call) {
  // Without budget for a retry, keep waiting: this attempt may still complete.
  if (H.Loop.now() < Call.ReplaceAfter ||
      Call.Attempts >= Call.Route->MaxAttempts ||
      H.Pools[Call.Pool].Retries.left() < 1)
    return;
  Call.ReplaceAfter = H.Loop.now() + ReplacementInterval;
  requestSlot(H, Call);
}

bool admitReplacement(ForwardHost &H, ForwardCall &Call) {
  return Call.Attempts < Call.Route->MaxAttempts &&
         H.Pools[Call.Pool].Retries.tryWithdraw();
}

void checkReplacement(ForwardHost &H, ForwardCall &Call) {
  if (H.Loop.now() - Call.Replacement->DispatchedAt < MaxOverlap)
    return;
  if (Call.Replacement->Status == 0)
    return promoteReplacement(H, Call);
  endReplacement(H, Call,
                 Call.Replacement->Declined ? DispatchOutcome::NotRun
                                            : DispatchOutcome::Failed,
                 true);
}

void cancelReplacement(ForwardHost &H, ForwardCall &Call) {
  if (Call.Replacement)
    endReplacement(H, Call, DispatchOutcome::Cancelled, true);
  if (Call.Stage == CallStage::Dispatched)
    cancelReservation(H, Call);
}

} // namespace marjorambay
