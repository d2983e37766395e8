/// Dispatches to targets, and their responses.
#include "actions.h"
#include "components.h"
#include "responses.h"
#include "rollouts.h"

#include "marjorambay/protocol/completion.h"
#include "marjorambay/protocol/retry_after.h"

#include <event2/buffer.h>

namespace marjorambay {

namespace {

/// Maximum size of a response that is buffered before it is relayed.
constexpr std::size_t MaxBufferedBytes = 64 << 20;
/// Maximum size of all buffered responses together.
constexpr std::size_t MaxBufferedBytesInAll = 128 << 20;
/// A buffered response is compared with the others each time it has grown by
/// this much.
constexpr std::size_t BufferCheckBytes = 256 << 10;
/// Maximum size of a stream; only a faulty target sends this much.
constexpr std::size_t MaxStreamBytes = 1024 << 20;
/// Above the longest deadline that can be configured.
constexpr Duration MaxResponseTime = hours(25);

bool isModelCall(const CallerCall &Call) {
  return Call.Kind == RouteKind::Completions ||
         Call.Kind == RouteKind::ChatCompletions;
}

/// Returns the request if \p Attempt is still its current attempt, or else
/// null.
CallerCall *findCall(Daemon &D, RequestId Id, std::uint32_t Attempt) {
  const auto Found = D.Calls.find(Id);
  if (Found == D.Calls.end() || Found->second.Attempt != Attempt)
    return nullptr;
  return &Found->second;
}

/// Posts the end of a dispatch. Also removes the request if its caller has
/// disconnected, because nothing else would.
void postEnd(Daemon &D, RequestId Id, const OriginEvent &Event) {
  const auto Found = D.Calls.find(Id);
  if (Found != D.Calls.end())
    Found->second.Call.reset();
  post(D, Event);
  const auto Remaining = D.Calls.find(Id);
  if (Remaining != D.Calls.end() && !Remaining->second.CallerConnected)
    removeCall(D, Id, "ended_without_caller");
}

bool isDecline(const HttpResponseView &View) {
  constexpr int Unavailable = 503;
  constexpr int TooManyRequests = 429;
  const bool Refused =
      View.Status == Unavailable || View.Status == TooManyRequests;
  return Refused && View.header("Not-Run") == "true";
}

bool isEventStream(const HttpResponseView &View) {
  constexpr std::string_view Type = "text/event-stream";
  return View.header("Content-Type").substr(0, Type.size()) == Type;
}

void handleHeaders(Daemon &D, RequestId Id, std::uint32_t Attempt,
                   const HttpResponseView &View) {
  CallerCall *Call = findCall(D, Id, Attempt);
  if (!Call)
    return;
  if (isDecline(View)) {
    const TargetDeclined Event{
        Id, parseRetryAfter(View.header("Retry-After")).value_or(Duration(0)),
        View.header("Leaving") == "true", Attempt};
    D.Client.cancel(*Call->Call);
    postEnd(D, Id, Event);
    return;
  }
  Call->Status = View.Status;
  constexpr int Success = 200;
  if (isModelCall(*Call) && View.Status == Success && isEventStream(View)) {
    Call->Mode = RelayMode::Stream;
    return;
  }
  Call->Mode = RelayMode::Buffered;
  Call->ResponseHeaders = View.endToEndHeaders();
  std::erase_if(Call->ResponseHeaders, [](const HttpHeader &Header) {
    return isHeader(Header, "Date") || isHeader(Header, "Request-Id") ||
           isHeader(Header, "Model-Version");
  });
  Call->BufferedBody.reset(evbuffer_new());
}

std::size_t bufferedBytes(const CallerCall &Call) {
  return Call.BufferedBody ? evbuffer_get_length(Call.BufferedBody.get()) : 0;
}

/// Ends a dispatch whose response is too long.
void abandonResponse(Daemon &D, CallerCall &Call) {
  LogLine("response_too_long", LogLevel::Warning)
      .with("request", Call.Name)
      .with("target", Call.TargetName)
      .with("bytes", static_cast<std::int64_t>(bufferedBytes(Call)));
  Call.BufferedBody.reset();
  D.Client.cancel(*Call.Call);
  postEnd(D, Call.Id, AnswerInterrupted{Call.Id, Call.Attempt});
}

/// Abandons the longest buffered response if all of them together exceed their
/// limit.
void limitBuffers(Daemon &D) {
  std::size_t Total = 0;
  CallerCall *Longest = nullptr;
  for (auto &[Id, Call] : D.Calls) {
    Total += bufferedBytes(Call);
    if (Call.Call &&
        (Longest == nullptr || bufferedBytes(Call) > bufferedBytes(*Longest)))
      Longest = &Call;
  }
  if (Total > MaxBufferedBytesInAll && Longest != nullptr)
    abandonResponse(D, *Longest);
}

void handleBytes(Daemon &D, RequestId Id, std::uint32_t Attempt,
                 std::string_view Bytes) {
  CallerCall *Call = findCall(D, Id, Attempt);
  if (!Call)
    return;
  if (Call->Mode == RelayMode::Stream) {
    relayStream(D, *Call, Bytes);
    return;
  }
  const std::size_t Before = bufferedBytes(*Call);
  evbuffer_add(Call->BufferedBody.get(), Bytes.data(), Bytes.size());
  const std::size_t After = bufferedBytes(*Call);
  if (After > MaxBufferedBytes)
    return abandonResponse(D, *Call);
  if (After / BufferCheckBytes != Before / BufferCheckBytes)
    limitBuffers(D);
}

/// Reads the token counts of a response; empty if the response is incomplete.
std::optional<TokenUsage> usageOf(CallerCall &Call) {
  if (Call.Mode == RelayMode::Stream) {
    if (!Call.Scanner.done())
      return std::nullopt;
    TokenUsage Counts =
        parseUsage(Call.Scanner.usageJson()).value_or(TokenUsage{});
    if (Counts.OutputTokens == 0)
      Counts.OutputTokens = Call.Scanner.textEvents();
    return Counts;
  }
  constexpr int Success = 200;
  if (!isModelCall(Call) || Call.Status != Success)
    return TokenUsage{};
  evbuffer *Body = Call.BufferedBody.get();
  const std::size_t Length = evbuffer_get_length(Body);
  const auto *Text = reinterpret_cast<const char *>(evbuffer_pullup(Body, -1));
  std::optional<TokenUsage> Counts = parseUsage({Text, Length});
  if (Counts)
    Call.EventsSeen = Counts->OutputTokens;
  return Counts;
}

void handleEnd(Daemon &D, RequestId Id, std::uint32_t Attempt,
               CallOutcome Outcome) {
  CallerCall *Call = findCall(D, Id, Attempt);
  if (!Call)
    return;
  if (Outcome == CallOutcome::NotSent)
    return postEnd(D, Id, DispatchNotSent{Id, Attempt});
  if (Outcome != CallOutcome::Complete)
    return postEnd(D, Id, AnswerInterrupted{Id, Attempt});
  const std::optional<TokenUsage> Counts = usageOf(*Call);
  if (!Counts)
    return postEnd(D, Id, AnswerInterrupted{Id, Attempt});
  postEnd(D, Id,
          AnswerCompleted{Id, Call->Status, Counts->PromptTokens,
                          Counts->CachedTokens, Counts->OutputTokens, Attempt});
}

HttpHeaders dispatchHeaders(const CallerCall &Call) {
  HttpHeaders Headers = Call.ForwardedHeaders;
  if (isModelCall(Call))
    Headers.push_back({"Content-Type", "application/json"});
  Headers.push_back({"Request-Id", Call.Name});
  if (!Call.VersionName.empty())
    Headers.push_back({"Model-Version", Call.VersionName});
  return Headers;
}

/// Records the dispatch in the request.
void recordDispatch(Daemon &D, CallerCall &Call, const Dispatch &Action,
                    const TargetConfig &Target) {
  Call.Attempt = Action.Attempt;
  Call.TargetName = Target.Name;
  Call.VersionName = grantedVersionName(D, Call.Pool, Call.GrantedVersion);
  if (Call.VersionName.empty())
    Call.VersionName = Target.Version;
  Call.Version = Call.VersionName.empty() ? VersionId{}
                                          : idOf<VersionId>(Call.VersionName);
  Call.Mode = RelayMode::Undecided;
  Call.DispatchedAt = D.Loop.now();
  D.Stats.observe(LatencyMetric::QueueWait,
                  {Call.Tier, Call.Account, Call.Version},
                  Call.DispatchedAt - Call.Arrived);
}

HttpCall makeCall(Daemon &D, const CallerCall &Call,
                  const SocketAddress &Address) {
  HttpCall Request;
  Request.Address = Address.Ip;
  Request.Port = Address.Port;
  Request.Method = Call.Method;
  Request.Path = Call.Path;
  Request.Headers = dispatchHeaders(Call);
  Request.Body = D.Callers.body(Call.Exchange);
  Request.ConnectTimeout = D.Settings.ConnectTimeout;
  // The origin enforces the time limits; this one only ends calls that it has
  // abandoned.
  Request.ResponseTimeout = MaxResponseTime;
  Request.MaxBodyBytes = MaxStreamBytes;
  const RequestId Id = Call.Id;
  const std::uint32_t Attempt = Call.Attempt;
  Request.OnHeaders = [&D, Id, Attempt](CallId, const HttpResponseView &View) {
    handleHeaders(D, Id, Attempt, View);
  };
  Request.OnBytes = [&D, Id, Attempt](CallId, std::string_view Bytes) {
    handleBytes(D, Id, Attempt, Bytes);
  };
  Request.OnEnd = [&D, Id, Attempt](CallId, CallOutcome Outcome) {
    handleEnd(D, Id, Attempt, Outcome);
  };
  return Request;
}

} // namespace

void performOrigin(Daemon &D, const Dispatch &Action) {
  const auto Found = D.Calls.find(Action.Id);
  const TargetConfig *Target = D.Config.target(Action.Target);
  const auto Address = Target
                           ? parseAddress(Target->Address)
                           : Result<SocketAddress>(Error{ErrorKind::NoTarget});
  const bool Expired = D.Loop.now() > Action.NotAfter;
  if (Found == D.Calls.end() || !ok(Address) || Expired) {
    post(D, OriginEvent(DispatchNotSent{Action.Id, Action.Attempt}));
    return;
  }
  CallerCall &Call = Found->second;
  recordDispatch(D, Call, Action, *Target);
  Call.Call = D.Client.start(makeCall(D, Call, value(Address)));
}

void performOrigin(Daemon &D, const CancelDispatch &Action) {
  const auto Found = D.Calls.find(Action.Id);
  if (Found == D.Calls.end() || !Found->second.Call)
    return;
  CallerCall &Call = Found->second;
  D.Client.cancel(*Call.Call);
  Call.Call.reset();
  if (Call.CallerConnected)
    return; // FailRequest follows
  D.Stats.add(TierCounter::WastedPrefill, Call.Tier, Call.PromptTokens);
  removeCall(D, Action.Id, "cancelled");
}

void resumeTarget(Daemon &D, CallerCall &Call) {
  if (!Call.TargetPaused || !Call.Call)
    return;
  Call.TargetPaused = false;
  D.Client.resume(*Call.Call);
}

} // namespace marjorambay
