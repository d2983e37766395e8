/// Requests of forwarded routes: arrival, time limits and end.
#include "forward_host.h"

#include "marjorambay/protocol/error_body.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace marjorambay {

namespace {

/// Deadline of requests without the deadline header.
constexpr Duration DefaultDeadline = seconds(60);
/// Retry-After of rejections that have none of their own.
constexpr Duration DefaultRetryAfter = milliseconds(500);
/// An unacknowledged reservation is retried after this; a reachable arbiter
/// responds within a turn of its loop.
constexpr Duration ReservationRetryInterval = milliseconds(40);
/// Without an acknowledgement for this long, the host uses its local share.
constexpr Duration ArbiterTimeout = milliseconds(120);
/// An acknowledged reservation is sent again after this, in case its grant was
/// lost.
constexpr Duration AcknowledgedRetryInterval = milliseconds(300);

/// Segments of a prompt beyond these are not tracked.
constexpr std::size_t MaxSharedSegments = 16;

std::uint64_t parseNumber(std::string_view Text, std::uint64_t Default) {
  std::uint64_t Value = 0;
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Read.ec == std::errc() ? Value : Default;
}

bool containsName(const std::vector<std::string> &Names,
                  std::string_view Name) {
  return std::any_of(Names.begin(), Names.end(), [&](const std::string &Entry) {
    return equalsIgnoringCase(Entry, Name);
  });
}

/// Whether the caller's Connection header names \p Name.
bool isInConnectionHeader(const HttpHead &Head, std::string_view Name) {
  std::string_view Remaining = Head.header("connection");
  while (!Remaining.empty()) {
    const std::size_t End = std::min(Remaining.find(','), Remaining.size());
    std::string_view Token = Remaining.substr(0, End);
    while (!Token.empty() && Token.front() == ' ')
      Token.remove_prefix(1);
    while (!Token.empty() && Token.back() == ' ')
      Token.remove_suffix(1);
    if (equalsIgnoringCase(Token, Name))
      return true;
    Remaining.remove_prefix(std::min(End + 1, Remaining.size()));
  }
  return false;
}

HttpHeaders forwardedHeaders(const ForwardHost &H, const HttpHead &Head) {
  HttpHeaders Headers;
  for (const HttpHeader &Header : Head.Headers) {
    const bool IsHopByHop =
        isHopByHop(Header.Name) ||
        equalsIgnoringCase(Header.Name, "content-length") ||
        equalsIgnoringCase(Header.Name, "expect") ||
        (isInConnectionHeader(Head, Header.Name) &&
         !containsName(H.HeaderNames.AlwaysForwarded, Header.Name));
    if (!IsHopByHop && !containsName(H.HeaderNames.Stripped, Header.Name))
      Headers.push_back(Header);
  }
  return Headers;
}

/// Returns the request target in origin form; "" if it has none.
std::string originForm(const std::string &Target) {
  if (Target.starts_with("/"))
    return Target;
  const std::size_t Scheme = Target.find("://");
  if (Scheme == std::string::npos)
    return "";
  const std::size_t Path = Target.find('/', Scheme + 3);
  return Path == std::string::npos ? "/" : Target.substr(Path);
}

/// Returns the key of a segment "ID:TOKENS": the number that ID is in
/// hexadecimal, so that operators find it in their own records, or its hash.
CrashKey parseSegment(std::string_view Text) {
  const std::string_view Id = Text.substr(0, Text.find(':'));
  std::uint64_t Value = 0;
  constexpr int Hexadecimal = 16;
  const auto Read =
      std::from_chars(Id.data(), Id.data() + Id.size(), Value, Hexadecimal);
  const bool IsNumber =
      Read.ec == std::errc() && Read.ptr == Id.data() + Id.size();
  constexpr std::uint64_t MaxValue = ~0ULL >> 1;
  return {CrashKeyKind::Segment,
          IsNumber && Value <= MaxValue ? Value : hash64(Id) & MaxValue};
}

/// Returns all segments of a prompt but the last, which is its own.
std::vector<CrashKey> sharedSegments(std::string_view Segments) {
  std::vector<CrashKey> Shared;
  for (std::size_t End = Segments.find(',');
       End != std::string_view::npos && Shared.size() < MaxSharedSegments;
       End = Segments.find(',')) {
    std::string_view Segment = Segments.substr(0, End);
    while (Segment.starts_with(' '))
      Segment.remove_prefix(1);
    Shared.push_back(parseSegment(Segment));
    Segments.remove_prefix(End + 1);
  }
  return Shared;
}

void readTokens(const ForwardHost &H, const HttpHead &Head, ForwardCall &Call) {
  const std::string_view Tokens = Head.header(H.HeaderNames.TokenCounts);
  const std::size_t Comma = Tokens.find(',');
  if (Comma != std::string_view::npos) {
    Call.PromptTokens =
        static_cast<std::uint32_t>(parseNumber(Tokens.substr(0, Comma), 0));
    Call.MaxOutput =
        static_cast<std::uint32_t>(parseNumber(Tokens.substr(Comma + 1), 0));
  }
  Call.OutputHint = static_cast<std::uint32_t>(
      parseNumber(Head.header(H.HeaderNames.LengthHint), 0));
  const std::string_view Segments = Head.header(H.HeaderNames.PromptSegments);
  if (Segments.empty())
    return;
  Call.PrefixHash = hash64(Segments.substr(0, Segments.find(',')));
  Call.CrashKeys = sharedSegments(Segments);
}

/// Returns the key of the request as a whole: its method, host, path with
/// query, account and body. Other headers don't count. The body is complete
/// here, so that one that came in chunks equals one with a length.
CrashKey fingerprintOf(const ForwardCall &Call, std::string_view Host) {
  std::string Bytes;
  for (const std::string_view Part : {std::string_view(Call.Method), Host,
                                      std::string_view(Call.RequestTarget)}) {
    Bytes += Part;
    Bytes += '\n';
  }
  for (const std::uint64_t Part : {number(Call.Account), hash64(*Call.Body)})
    Bytes += std::to_string(Part) + '\n';
  return {CrashKeyKind::Request, hash64(Bytes) >> 1};
}

double quotaCost(const ForwardAccount &Account, const ForwardCall &Call) {
  if (!Account.CountsTokens)
    return 1;
  const double Tokens = double(Call.PromptTokens) + double(Call.MaxOutput);
  return Tokens > 0 ? Tokens : Account.DefaultTokens;
}

std::string secondsText(Duration Time) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                std::max(0.001, toSeconds(Time)));
  return Text.data();
}

/// Responds with an error of the scheduler, as opposed to a target's response.
void respondWithError(ForwardHost &H, ExchangeId Exchange, const Error &Reason,
                      const std::string &Name, MayHaveRun Ran) {
  const ErrorTraits &Traits = traitsOf(Reason.Kind);
  HttpHeaders Headers{{"Content-Type", "application/json"}};
  if (!Name.empty())
    Headers.push_back({H.HeaderNames.RequestId, Name});
  if (Traits.Retry == RetryAdvice::AfterWait)
    Headers.push_back({"Retry-After", secondsText(Reason.RetryAfter.count() > 0
                                                      ? Reason.RetryAfter
                                                      : DefaultRetryAfter)});
  H.Callers.answer(Exchange, Traits.HttpStatus, Headers,
                   printError(Reason, Name, Ran));
}

RequestLabels labelsOf(const ForwardCall &Call) {
  return {Call.Tier, Call.Account, Call.Current.Version,
          Call.Route == nullptr ? RouteId{} : Call.Route->Id};
}

void rejectOnArrival(ForwardHost &H, const CallerRequest &Request,
                     const ForwardCall &Call, const Error &Reason) {
  const std::string Name(Request.Head.header(H.HeaderNames.RequestId));
  LogLine("request_refused")
      .with("request", Name)
      .with("reason", nameOf(Reason.Kind))
      .with("target", Request.Head.RequestTarget)
      .with("account", Call.AccountName)
      .with("tier", number(Call.Tier))
      .with("quota_charge", static_cast<std::int64_t>(Call.QuotaCharge))
      .with("deadline_ms", Request.Head.header(H.HeaderNames.DeadlineMs))
      .with("config",
            H.Table ? static_cast<std::int64_t>(H.Table->version()) : 0)
      .with(
          "retry_after_ms",
          std::chrono::duration_cast<milliseconds>(Reason.RetryAfter).count());
  H.Stats.addOutcome(labelsOf(Call), nameOf(Reason.Kind));
  respondWithError(H, Request.Id, Reason, Name, MayHaveRun::No);
}

/// Finds the route and the account; returns an error if there is none.
std::optional<Error> identify(ForwardHost &H, const HttpHead &Head,
                              ForwardCall &Call) {
  if (auto Reason = refuseWhileDraining(H, Call))
    return Reason;
  if (!H.Table)
    return Error{ErrorKind::NotReady, "no configuration has been received yet",
                 seconds(1)};
  if (!knowsEvacuations(H))
    return Error{ErrorKind::NotReady, "evacuated zones are not known yet",
                 seconds(1)};
  Call.Table = H.Table;
  Call.RequestTarget = originForm(Head.RequestTarget);
  if (Call.RequestTarget.empty() || Head.Method == "CONNECT")
    return Error{ErrorKind::BadRequest, "the request target has no path"};
  const std::string_view Path = std::string_view(Call.RequestTarget)
                                    .substr(0, Call.RequestTarget.find('?'));
  Call.Route = H.Table->match(Head.header("host"), Path);
  if (Call.Route == nullptr)
    return Error{ErrorKind::UnknownRoute,
                 "no route matches this host and path"};
  Call.Tier = H.Table->tierOf(nullptr, *Call.Route);
  if (!H.Table->needsKeys() || Call.Route->Anonymous)
    return std::nullopt;
  const std::string Key(Head.header(H.HeaderNames.AccountKey));
  const ForwardAccount *Account = H.Table->accountByKey(Key);
  if (Account == nullptr)
    return Error{ErrorKind::Unauthenticated, "the account key is unknown"};
  Call.Account = Account->Id;
  Call.AccountName = Account->Name;
  Call.Tier = H.Table->tierOf(Account, *Call.Route);
  return std::nullopt;
}

std::optional<Error> chargeQuota(ForwardHost &H, ForwardCall &Call) {
  const ForwardAccount *Account = H.Table->account(Call.Account);
  if (Account == nullptr)
    return std::nullopt;
  Call.QuotaCharge = quotaCost(*Account, Call);
  const auto Wait =
      H.Meter.admit(*Account, Call.QuotaCharge, fleetSize(H), H.Loop.now());
  if (!Wait)
    return std::nullopt;
  return Error{ErrorKind::OverQuota, "the account exceeds its rate",
               std::max<Duration>(*Wait, DefaultRetryAfter)};
}

void handleRequest(ForwardHost &H, CallerRequest &Request) {
  ForwardCall Call;
  const HttpHead &Head = Request.Head;
  Call.Arrived = H.Loop.now();
  if (auto Reason = identify(H, Head, Call))
    return rejectOnArrival(H, Request, Call, *Reason);
  readTokens(H, Head, Call);
  Call.Deadline =
      Call.Arrived + std::min(requestedTime(H, Head), Call.Route->Timeout);
  if (auto Reason = refuseWhileDraining(H, Call))
    return rejectOnArrival(H, Request, Call, *Reason);
  if (auto Reason = chargeQuota(H, Call))
    return rejectOnArrival(H, Request, Call, *Reason);
  Call.Id = static_cast<RequestId>(++H.LastRequest);
  Call.Exchange = Request.Id;
  Call.Name = Head.header(H.HeaderNames.RequestId);
  Call.Method = Head.Method;
  Call.Headers = forwardedHeaders(H, Head);
  Call.Body = Request.Body;
  Call.LastEventId = Head.header(H.HeaderNames.LastEventId);
  Call.Pool = selectPool(*Call.Route, drawFraction(H.Random));
  Call.CrashKeys.push_back(fingerprintOf(Call, Head.header("host")));
  H.Stats.add(TierCounter::Received, Call.Tier);
  H.Pools[Call.Pool].Retries.deposit();
  const RequestId Id = Call.Id;
  H.CallsByExchange.emplace(Call.Exchange, Id);
  requestSlot(H, H.Calls.emplace(Id, std::move(Call)).first->second);
}

void handleRejection(ForwardHost &H, ExchangeId Exchange, const HttpHead &Head,
                     ErrorKind Kind) {
  const std::string Name(Head.header(H.HeaderNames.RequestId));
  LogLine("request_refused").with("request", Name).with("reason", nameOf(Kind));
  Error Reason{Kind, "the request can't be parsed"};
  if (Kind == ErrorKind::MemoryFull)
    Reason.Message = "too many long requests at present";
  else if (Kind == ErrorKind::TooManyConnections)
    Reason.Message = "this host has no connection left; retry on another host";
  else if (Kind == ErrorKind::ShuttingDown)
    Reason = {Kind, "this host is stopping", DrainRetryAfter};
  respondWithError(H, Exchange, Reason, Name, MayHaveRun::No);
}

void handleDisconnect(ForwardHost &H, ExchangeId Exchange) {
  const auto Found = H.CallsByExchange.find(Exchange);
  if (Found == H.CallsByExchange.end())
    return;
  ForwardCall &Call = H.Calls.at(Found->second);
  cancelDispatch(H, Call, DispatchOutcome::Cancelled);
  cancelReservation(H, Call);
  endCall(H, Call, "caller_gone");
}

/// Returns how long a target may take to the first event, or between two
/// completed events, before a replacement is sought. A sound target may be
/// silent for about a second.
Duration targetTimeout(const ForwardCall &Call) {
  constexpr Duration MinFirstEvent = milliseconds(150);
  constexpr Duration MinEventGap = milliseconds(1500);
  constexpr double EventGapFactor = 2.5;
  constexpr Duration TimePerPromptToken = microseconds(100);
  if (Call.ResponseStarted)
    return std::max(MinEventGap, std::chrono::duration_cast<Duration>(
                                     Call.Route->MaxEventGap * EventGapFactor));
  const Duration PromptTime = TimePerPromptToken * Call.PromptTokens;
  return std::max(MinFirstEvent,
                  Call.Route->LatencyObjective * 5 / 4 + PromptTime);
}

void checkWaiting(ForwardHost &H, ForwardCall &Call, TimePoint Now) {
  if (number(Call.Pending.Id) == 0)
    return Now < Call.NoConnectionUntil ? void() : requestSlot(H, Call);
  const Duration Elapsed = Now - Call.Pending.SentAt;
  if (number(Call.Pending.ArbiterHost) == 0)
    return;
  if (!Call.Pending.Acknowledged && Elapsed > ArbiterTimeout)
    return retryReservation(H, Call);
  if (Elapsed > (Call.Pending.Acknowledged ? AcknowledgedRetryInterval
                                           : ReservationRetryInterval))
    retryReservation(H, Call);
}

void checkDispatched(ForwardHost &H, ForwardCall &Call, TimePoint Now) {
  if (Call.CallerStalled) {
    cancelDispatch(H, Call, DispatchOutcome::Cancelled);
    return failCall(H, Call, ErrorKind::CallerGone);
  }
  if (Call.Replacement)
    return checkReplacement(H, Call);
  if (number(Call.Pending.Id) != 0)
    return checkWaiting(H, Call, Now);
  // What a target sent during a pause of this process may not have been read.
  const TimePoint SilentSince =
      std::max(Call.Current.ProgressAt, H.Loop.resumedAt());
  if (isRetryable(Call.Route->Kind) && Now - SilentSince > targetTimeout(Call))
    replaceSilentTarget(H, Call);
}

} // namespace

Duration requestedTime(const ForwardHost &H, const HttpHead &Head) {
  constexpr std::uint64_t MaxMs = 3'600'000;
  return milliseconds(std::min(
      parseNumber(
          Head.header(H.HeaderNames.DeadlineMs),
          std::chrono::duration_cast<milliseconds>(DefaultDeadline).count()),
      MaxMs));
}

void startRequests(ForwardHost &H) {
  H.Callers.RequestArrived.connect(
      [&H](CallerRequest &Request) { handleRequest(H, Request); });
  H.Callers.RequestRejected.connect(
      [&H](ExchangeId Exchange, const HttpHead &Head, ErrorKind Kind) {
        handleRejection(H, Exchange, Head, Kind);
      });
  H.Callers.CallerDisconnected.connect(
      [&H](ExchangeId Exchange) { handleDisconnect(H, Exchange); });
}

void failCall(ForwardHost &H, ForwardCall &Call, ErrorKind Kind,
              Duration RetryAfter) {
  if (!Call.MayHaveRun)
    H.Meter.refund(Call.Account, Call.QuotaCharge);
  // A request that may have been executed is never reported as not executed.
  if (Call.MayHaveRun && traitsOf(Kind).Ran == MayHaveRun::No)
    Kind = ErrorKind::TargetFailed;
  const MayHaveRun Ran = Call.MayHaveRun ? MayHaveRun::Maybe : MayHaveRun::No;
  if (Call.ResponseStarted)
    H.Callers.abort(Call.Exchange);
  else
    respondWithError(H, Call.Exchange, {Kind, "", RetryAfter}, Call.Name, Ran);
  H.Stats.add(Call.MayHaveRun ? TierCounter::Failed : TierCounter::Shed,
              Call.Tier);
  endCall(H, Call, nameOf(Kind));
}

/// Whether the end of a served request is logged. Hashes the request id, so
/// that all hosts decide the same for one request.
bool isSampled(const ForwardHost &H, const ForwardCall &Call) {
  constexpr std::uint64_t Buckets = 10'000;
  return static_cast<double>(hash64(Call.Name) % Buckets) <
         H.Settings.LogSuccessShare * static_cast<double>(Buckets);
}

void logEnd(const ForwardCall &Call, std::string_view Outcome, TimePoint Now) {
  const auto MsSince = [&Call](TimePoint At) {
    return At == TimePoint{}
               ? -1
               : std::chrono::duration_cast<milliseconds>(At - Call.Arrived)
                     .count();
  };
  LogLine Line("request_ended");
  Line.with("request", Call.Name)
      .with("outcome", Outcome)
      .with("status", Call.Current.Status)
      .with("route", Call.Route->Name)
      .with("account", Call.AccountName)
      .with("tier", number(Call.Tier))
      .with("target", Call.Current.TargetName)
      .with("attempts", Call.Attempts)
      .with("config", static_cast<std::int64_t>(Call.Table->version()))
      .with("wait_ms", MsSince(Call.Current.DispatchedAt))
      .with("first_ms", MsSince(Call.FirstEventAt))
      .with("total_ms", MsSince(Now))
      .with("events", Call.Events.events())
      .with("framing", nameOf(Call.Current.Framing))
      .with("partial_bytes", Call.Events.partial().size())
      .with("prompt", Call.PromptTokens)
      .with("quota_charge", static_cast<std::int64_t>(Call.QuotaCharge))
      .with("deadline_ms", std::chrono::duration_cast<milliseconds>(
                               Call.Deadline - Call.Arrived)
                               .count());
  if (Outcome == ServedOutcome)
    Line.expendable();
}

void endCall(ForwardHost &H, ForwardCall &Call, std::string_view Outcome) {
  const TimePoint Now = H.Loop.now();
  cancelReplacement(H, Call);
  cancelReservation(H, Call);
  if (Outcome != ServedOutcome || isSampled(H, Call))
    logEnd(Call, Outcome, Now);
  if (Outcome == ServedOutcome && H.Settings.ZoneArbitersMinTargets != 0 &&
      Call.Current.TargetZone != H.Self.Zone)
    ++H.TrafficByZone[Call.Current.TargetZone].Served;
  const RequestLabels Labels = labelsOf(Call);
  H.Stats.addOutcome(Labels, Outcome);
  H.Stats.observe(LatencyMetric::Total, Labels, Now - Call.Arrived);
  if (Outcome == ServedOutcome)
    H.Durations.record(Call.Route->Id, Now - Call.Arrived);
  if (Call.Current.DispatchedAt != TimePoint{})
    H.Stats.observe(LatencyMetric::QueueWait, Labels,
                    Call.Current.DispatchedAt - Call.Arrived);
  if (Call.FirstEventAt != TimePoint{})
    H.Stats.observe(LatencyMetric::FirstToken, Labels,
                    Call.FirstEventAt - Call.Arrived);
  H.CallsByExchange.erase(Call.Exchange);
  H.CallsByDispatch.erase(Call.Current.HttpCall);
  H.CallsByReservation.erase(Call.Pending.Id);
  H.Calls.erase(Call.Id);
}

void checkTimeouts(ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  H.Client.expire(Now);
  std::vector<RequestId> Ids;
  Ids.reserve(H.Calls.size());
  for (const auto &[Id, Call] : H.Calls)
    Ids.push_back(Id);
  for (const RequestId Id : Ids) {
    ForwardCall *Call = findCall(H, Id);
    if (Call == nullptr)
      continue;
    if (Now >= Call->Deadline) {
      const bool Dispatched = Call->Stage == CallStage::Dispatched;
      cancelDispatch(H, *Call, DispatchOutcome::Cancelled);
      cancelReservation(H, *Call);
      failCall(H, *Call,
               Dispatched || Call->MayHaveRun ? ErrorKind::AnswerTimeout
                                              : ErrorKind::Overloaded);
    } else if (Call->Stage == CallStage::Waiting) {
      checkWaiting(H, *Call, Now);
    } else {
      checkDispatched(H, *Call, Now);
    }
  }
}

} // namespace marjorambay
