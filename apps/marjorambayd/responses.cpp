/// Responses to callers: relayed streams, buffered responses, errors.
#include "responses.h"

#include "actions.h"
#include "components.h"

#include "marjorambay/protocol/error_body.h"

#include <event2/buffer.h>

#include <algorithm>
#include <array>
#include <strings.h>

namespace marjorambay {

namespace {

constexpr Duration ProgressInterval = seconds(1);
/// Bytes unread by the caller above which reading from the target is paused.
constexpr std::size_t PauseThresholdBytes = 128 << 10;
static_assert(PauseThresholdBytes >= DrainReportThresholdBytes,
              "the drain report must be able to end a pause");

/// Message to the caller for an error that has none of its own.
std::string_view messageFor(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::DeadlinePassed:
    return "the request can't be completed before its deadline";
  case ErrorKind::AccountQueueFull:
    return "the client account has too many requests waiting";
  case ErrorKind::Overloaded:
    return "the pool can't answer in time; retry later";
  case ErrorKind::NoTarget:
    return "no target of the pool accepts requests now";
  case ErrorKind::ShuttingDown:
    return "this entry host is shutting down; reconnect";
  case ErrorKind::PlatformUnavailable:
    return "the idempotency key can't be recorded now; the request was not "
           "executed";
  case ErrorKind::IdempotencyKeyReused:
    return "the idempotency key was used with another request";
  case ErrorKind::OutcomeUnknown:
    return "the request may have been executed; check before you retry with a "
           "new key";
  case ErrorKind::AnswerCut:
    return "the response was interrupted; the part received is incomplete";
  case ErrorKind::AnswerTimeout:
    return "the response was not completed in time";
  case ErrorKind::TargetFailed:
    return "the target responded with an error";
  default:
    return "";
  }
}

void addIdentity(const Daemon &D, const CallerCall &Call,
                 HttpHeaders &Headers) {
  Headers.push_back({"Request-Id", Call.Name});
  Headers.push_back({"Served-By", D.Settings.HostName});
  Headers.push_back({"Tier", Call.TierName});
  if (!Call.TargetName.empty())
    Headers.push_back({"Target", Call.TargetName});
  if (!Call.VersionName.empty())
    Headers.push_back({"Model-Version", Call.VersionName});
}

HttpHeaders errorHeaders(const Error &Reason) {
  HttpHeaders Headers{{"Content-Type", "application/json"}};
  const std::string RetryAfter = retryAfterHeader(Reason);
  if (!RetryAfter.empty())
    Headers.push_back({"Retry-After", RetryAfter});
  return Headers;
}

RequestLabels labelsOf(const CallerCall &Call) {
  return {Call.Tier, Call.Account, Call.Version};
}

/// Records the times of the events that have just arrived, and reports progress
/// to the origin at most once a second.
void recordEvents(Daemon &D, CallerCall &Call) {
  const std::uint32_t New = Call.Scanner.textEvents() - Call.EventsSeen;
  if (New == 0)
    return;
  const TimePoint Now = D.Loop.now();
  const bool First = Call.EventsSeen == 0;
  if (First)
    D.Stats.observe(LatencyMetric::FirstToken, labelsOf(Call),
                    Now - Call.Arrived);
  else
    D.Stats.observe(LatencyMetric::BetweenTokens, labelsOf(Call),
                    (Now - Call.LastEventAt) / New);
  if (First)
    Call.FirstEventAt = Now;
  Call.LastEventAt = Now;
  Call.EventsSeen += New;
  if (!First && Now - Call.ProgressReportedAt < ProgressInterval)
    return;
  Call.ProgressReportedAt = Now;
  const std::uint32_t Unreported = Call.EventsSeen - Call.EventsReported;
  Call.EventsReported = Call.EventsSeen;
  post(D, OriginEvent(AnswerProgressed{Call.Id, Unreported, Call.Attempt}));
}

void beginStream(Daemon &D, CallerCall &Call) {
  HttpHeaders Headers{{"Content-Type", "text/event-stream"},
                      {"Cache-Control", "no-cache"}};
  addIdentity(D, Call, Headers);
  D.Callers.beginResponse(Call.Exchange, Call.Status, Headers);
  Call.ResponseStarted = true;
}

void endWithError(Daemon &D, CallerCall &Call, const Error &Reason,
                  MayHaveRun Ran) {
  const std::string Body = printError(Reason, Call.Name, Ran);
  if (Call.ResponseStarted) {
    D.Callers.sendChunk(Call.Exchange, "data: " + Body + "\n\n");
    D.Callers.endResponse(Call.Exchange);
    return;
  }
  HttpHeaders Headers = errorHeaders(Reason);
  addIdentity(D, Call, Headers);
  D.Callers.answer(Call.Exchange, traitsOf(Reason.Kind).HttpStatus, Headers,
                   Body);
}

bool isModelCall(const CallerCall &Call) {
  return Call.Kind == RouteKind::Completions ||
         Call.Kind == RouteKind::ChatCompletions;
}

void endBuffered(Daemon &D, CallerCall &Call) {
  constexpr int FirstServerError = 500;
  if (isModelCall(Call) && Call.Status >= FirstServerError) {
    const Error Reason{ErrorKind::TargetFailed,
                       "the target responded with status " +
                           std::to_string(Call.Status)};
    return endWithError(D, Call, Reason, MayHaveRun::Maybe);
  }
  HttpHeaders Headers = Call.ResponseHeaders;
  addIdentity(D, Call, Headers);
  D.Callers.answer(Call.Exchange, Call.Status, Headers,
                   Call.BufferedBody.get());
}

void countAnswered(Daemon &D, const CallerCall &Call) {
  const TimePoint Now = D.Loop.now();
  D.Stats.observe(LatencyMetric::Total, labelsOf(Call), Now - Call.Arrived);
  D.Stats.add(TierCounter::OutputTokens, Call.Tier, Call.EventsSeen);
  constexpr int FirstServerError = 500;
  if (Call.Status >= FirstServerError)
    D.Stats.add(TierCounter::Failed, Call.Tier);
  else if (Now <= Call.Deadline)
    D.Stats.add(TierCounter::Goodput, Call.Tier);
  else
    D.Stats.add(TierCounter::Late, Call.Tier);
}

void countFailed(Daemon &D, const CallerCall &Call, MayHaveRun Ran) {
  if (Ran == MayHaveRun::No) {
    D.Stats.add(TierCounter::Shed, Call.Tier);
    return;
  }
  D.Stats.add(TierCounter::Failed, Call.Tier);
  D.Stats.add(TierCounter::WastedPrefill, Call.Tier, Call.PromptTokens);
}

} // namespace

bool isHeader(const HttpHeader &Header, const char *Name) {
  return strcasecmp(Header.Name.c_str(), Name) == 0;
}

void rejectRequest(Daemon &D, ExchangeId Exchange, const Error &Reason) {
  HttpHeaders Headers = errorHeaders(Reason);
  Headers.push_back({"Served-By", D.Settings.HostName});
  D.Callers.answer(Exchange, traitsOf(Reason.Kind).HttpStatus, Headers,
                   printError(Reason, "", MayHaveRun::No));
  LogLine("request_refused")
      .with("kind", nameOf(Reason.Kind))
      .with("host", D.Settings.HostName);
}

void relayStream(Daemon &D, CallerCall &Call, std::string_view Bytes) {
  Call.Scanner.scan(Bytes);
  const RequestId Id = Call.Id;
  recordEvents(D, Call);
  // The origin may have ended the request in reply to the report.
  const auto Found = D.Calls.find(Id);
  if (Found == D.Calls.end() || !Found->second.CallerConnected)
    return;
  if (!Call.ResponseStarted)
    beginStream(D, Call);
  const std::size_t Unread = D.Callers.sendChunk(Call.Exchange, Bytes);
  if (Unread > D.Settings.MaxUnreadBytes) {
    D.Stats.add(HostCounter::CallersCutOff);
    D.Callers.abort(Call.Exchange);
    return;
  }
  if (Unread <= PauseThresholdBytes)
    return;
  Call.TargetPaused = true;
  D.Client.pause(*Call.Call);
}

void performOrigin(Daemon &D, const FailRequest &Action) {
  const auto Found = D.Calls.find(Action.Id);
  if (Found == D.Calls.end())
    return;
  CallerCall &Call = Found->second;
  Error Reason = Action.Reason;
  if (Reason.Message.empty())
    Reason.Message = messageFor(Reason.Kind);
  countFailed(D, Call, Action.Ran);
  if (Call.CallerConnected)
    endWithError(D, Call, Reason, Action.Ran);
  removeCall(D, Action.Id, nameOf(Reason.Kind));
}

void performOrigin(Daemon &D, const CompleteRequest &Action) {
  const auto Found = D.Calls.find(Action.Id);
  if (Found == D.Calls.end())
    return;
  CallerCall &Call = Found->second;
  countAnswered(D, Call);
  if (Call.CallerConnected && Call.ResponseStarted)
    D.Callers.endResponse(Call.Exchange);
  else if (Call.CallerConnected)
    endBuffered(D, Call);
  removeCall(D, Action.Id, "answered");
}

void performOrigin(Daemon &D, const ReplayOutcome &Action) {
  const auto Found = D.Calls.find(Action.Id);
  if (Found == D.Calls.end())
    return;
  CallerCall &Call = Found->second;
  Call.Status = Action.HttpStatus;
  HttpHeaders Headers{{"Content-Type", "application/json"},
                      {"Idempotent-Replay", "true"}};
  addIdentity(D, Call, Headers);
  countAnswered(D, Call);
  if (Call.CallerConnected)
    D.Callers.answer(Call.Exchange, Action.HttpStatus, Headers,
                     R"({"replayed": true})");
  removeCall(D, Action.Id, "replayed");
}

void removeCall(Daemon &D, RequestId Id, std::string_view Ending) {
  const auto Found = D.Calls.find(Id);
  if (Found == D.Calls.end())
    return;
  const CallerCall &Call = Found->second;
  const auto Total =
      std::chrono::duration_cast<milliseconds>(D.Loop.now() - Call.Arrived);
  LogLine("request_ended")
      .with("request", Call.Name)
      .with("account", Call.AccountName)
      .with("tier", Call.TierName)
      .with("target", Call.TargetName)
      .with("attempt", Call.Attempt)
      .with("ending", Ending)
      .with("status", Call.Status)
      .with("total_ms", Total.count());
  D.CallsByExchange.erase(Call.Exchange);
  D.Calls.erase(Found);
}

} // namespace marjorambay
