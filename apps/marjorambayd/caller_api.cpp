/// Requests of callers: checks, request ids, and delivery to the origin.
#include "actions.h"
#include "components.h"
#include "responses.h"

#include "marjorambay/protocol/completion.h"

#include <sodium.h>

#include <algorithm>
#include <charconv>

namespace marjorambay {

namespace {

constexpr std::size_t MaxIdempotencyKey = 200; ///< characters

Error fault(ErrorKind Kind, std::string Message) {
  return Error{Kind, std::move(Message)};
}

bool isModelRoute(RouteKind Kind) {
  return Kind == RouteKind::Completions || Kind == RouteKind::ChatCompletions;
}

/// Results of the checks of a request, which fill it in one after the other.
struct Arrival {
  const AccountConfig *Account = nullptr;
  const RouteConfig *Route = nullptr;
  const PoolConfig *Pool = nullptr;
  const TierConfig *Tier = nullptr;
  FleetDefaults Defaults{};
  CompletionRequest Completion{};
  Duration TimeLeft{};
};

using Check = std::optional<Error>;

Check checkHost(const Daemon &D, const HttpRequestView &View) {
  if (View.OverConnectionLimit)
    return fault(ErrorKind::TooManyConnections,
                 "this entry host has too many connections; try again");
  if (D.Draining)
    return fault(ErrorKind::ShuttingDown,
                 "this entry host is shutting down; reconnect");
  if (D.Config.revision() == Revision{})
    return fault(ErrorKind::NotReady,
                 "this entry host has no configuration yet");
  if (View.Body.size() > D.Settings.MaxBodyBytes)
    return fault(ErrorKind::TooLarge,
                 "the body is over " + std::to_string(D.Settings.MaxBodyBytes) +
                     " bytes");
  if (D.Calls.size() >= D.Settings.MaxRequests)
    return fault(
        ErrorKind::Overloaded,
        "this entry host has reached its limit of concurrent requests");
  return std::nullopt;
}

Check findAccount(const Daemon &D, const HttpRequestView &View, Arrival &A) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Given = View.header("Authorization");
  if (Given.substr(0, Scheme.size()) == Scheme)
    A.Account =
        D.Config.accountByKeyHash(sha256Hex(Given.substr(Scheme.size())));
  if (!A.Account)
    return fault(ErrorKind::Unauthenticated,
                 "send \"Authorization: Bearer KEY\" with a known API key");
  return std::nullopt;
}

Check findRoute(const Daemon &D, const HttpRequestView &View, Arrival &A) {
  A.Route = D.Config.routeForPath(View.Path);
  if (!A.Route)
    return fault(ErrorKind::UnknownRoute, "no route has this path");
  A.Pool = D.Config.pool(idOf<PoolId>(A.Route->Pool));
  A.Tier =
      D.Config.tier(A.Route->Tier.empty() ? A.Account->Tier : A.Route->Tier);
  if (!A.Pool || !A.Tier)
    return fault(ErrorKind::UnknownRoute,
                 "the route has an unknown pool or tier");
  A.Defaults = D.Config.effective({.Host = D.Settings.HostName,
                                   .Zone = D.Settings.ZoneName,
                                   .Account = A.Account->Name,
                                   .Route = A.Route->Name,
                                   .Pool = A.Pool->Name});
  return std::nullopt;
}

Check readDeadline(const HttpRequestView &View, Arrival &A) {
  A.TimeLeft = A.Defaults.RequestDeadline;
  const std::string_view Given = View.header("Deadline-Ms");
  if (Given.empty())
    return std::nullopt;
  std::int64_t Millis = 0;
  const char *End = Given.data() + Given.size();
  const auto [At, Failure] = std::from_chars(Given.data(), End, Millis);
  if (Failure != std::errc() || At != End)
    return fault(ErrorKind::BadRequest,
                 "Deadline-Ms must be a whole number of milliseconds");
  if (Millis <= 0)
    return fault(ErrorKind::DeadlinePassed,
                 "Deadline-Ms must be above 0; the deadline has passed");
  const auto Longest =
      std::chrono::duration_cast<milliseconds>(A.Defaults.MaxDeadline).count();
  A.TimeLeft = milliseconds(std::min<std::int64_t>(Millis, Longest));
  return std::nullopt;
}

Check readCompletion(const HttpRequestView &View, Arrival &A) {
  if (!isModelRoute(A.Route->Kind))
    return std::nullopt;
  if (View.Method != "POST")
    return fault(ErrorKind::BadRequest, "this route takes POST");
  Result<CompletionRequest> Read = parseCompletion(A.Route->Kind, View.Body);
  if (!ok(Read))
    return error(Read);
  A.Completion = std::move(value(Read));
  const auto &Models = A.Pool->Models;
  if (std::find(Models.begin(), Models.end(), A.Completion.Model) ==
      Models.end())
    return fault(ErrorKind::UnknownModel, "this route has no such model");
  return std::nullopt;
}

Check checkIdempotencyKey(const HttpRequestView &View, const Arrival &A) {
  if (A.Route->Kind != RouteKind::NonIdempotentCall)
    return std::nullopt;
  const std::string_view Key = View.header("Idempotency-Key");
  const bool Printable = std::all_of(Key.begin(), Key.end(), [](char Each) {
    return Each > ' ' && Each < 127;
  });
  if (Key.empty() || Key.size() > MaxIdempotencyKey || !Printable)
    return fault(ErrorKind::MissingIdempotencyKey,
                 "send an Idempotency-Key of 1 to 200 printable characters");
  return std::nullopt;
}

Check checkRequest(const Daemon &D, const HttpRequestView &View, Arrival &A) {
  if (Check Failure = checkHost(D, View))
    return Failure;
  if (Check Failure = findAccount(D, View, A))
    return Failure;
  if (Check Failure = findRoute(D, View, A))
    return Failure;
  if (Check Failure = readDeadline(View, A))
    return Failure;
  if (Check Failure = checkIdempotencyKey(View, A))
    return Failure;
  return readCompletion(View, A);
}

/// Hashes an idempotency key together with its account, so that keys of
/// different accounts can't collide.
KeyHash hashKey(const std::string &Account, std::string_view Key) {
  const std::string Text = Account + '\n' + std::string(Key);
  KeyHash Hash;
  static_assert(sizeof(Hash) == crypto_generichash_BYTES_MIN);
  crypto_generichash(reinterpret_cast<unsigned char *>(&Hash), sizeof(Hash),
                     reinterpret_cast<const unsigned char *>(Text.data()),
                     Text.size(), nullptr, 0);
  return Hash;
}

/// Returns the caller's headers that are forwarded to a plain service.
HttpHeaders relayedHeaders(const HttpRequestView &View) {
  HttpHeaders Headers = View.endToEndHeaders();
  std::erase_if(Headers, [](const HttpHeader &Each) {
    return isHeader(Each, "Authorization") || isHeader(Each, "Deadline-Ms") ||
           isHeader(Each, "Request-Id");
  });
  return Headers;
}

CallerCall &makeCall(Daemon &D, const HttpRequestView &View, const Arrival &A) {
  const auto Id = static_cast<RequestId>(++D.LastRequest);
  CallerCall &Call = D.Calls[Id];
  Call.Id = Id;
  Call.Exchange = View.Id;
  Call.Name = formatKey({D.Self.Id, D.Incarnation, Id});
  Call.Kind = A.Route->Kind;
  Call.Streamed = A.Completion.Stream;
  Call.Method = View.Method;
  Call.Path = View.Path;
  if (!View.Query.empty())
    Call.Path.append("?").append(View.Query);
  Call.IdempotencyKey = View.header("Idempotency-Key");
  if (!isModelRoute(Call.Kind))
    Call.Relayed = relayedHeaders(View);
  Call.AccountName = A.Account->Name;
  Call.Account = idOf<AccountId>(A.Account->Name);
  Call.Tier = A.Tier->Rank;
  Call.TierName = A.Tier->Name;
  Call.Pool = idOf<PoolId>(A.Pool->Name);
  Call.PromptTokens = A.Completion.PromptTokens;
  Call.Arrived = D.Loop.now();
  Call.Deadline = Call.Arrived + A.TimeLeft;
  D.ByExchange[View.Id] = Id;
  return Call;
}

bool targetsDeduplicate(const Daemon &D, PoolId Pool, ZoneId Zone) {
  const std::vector<TargetId> &Targets = D.Config.targets(Pool, Zone);
  return !Targets.empty() &&
         std::all_of(Targets.begin(), Targets.end(), [&D](TargetId Id) {
           return D.Config.target(Id)->DeduplicatesKeys;
         });
}

CallerRequested describe(const Daemon &D, const CallerCall &Call,
                         const HttpRequestView &View, const Arrival &A) {
  CallerRequested Event;
  Event.Id = Call.Id;
  Event.Kind = Call.Kind;
  Event.Account = Call.Account;
  Event.Route = idOf<RouteId>(A.Route->Name);
  Event.Tier = Call.Tier;
  Event.Pool = Call.Pool;
  Event.Model = idOf<ModelId>(A.Completion.Model);
  Event.PromptTokens = A.Completion.PromptTokens;
  Event.MaxOutputTokens = A.Completion.MaxOutputTokens;
  Event.PrefixHash = A.Completion.PrefixHash;
  Event.TimeLeft = A.TimeLeft;
  if (Call.Kind != RouteKind::NonIdempotentCall)
    return Event;
  Event.Key = hashKey(Call.AccountName, Call.IdempotencyKey);
  Event.BodyHash =
      hash64(Call.Method + ' ' + Call.Path + '\n' + std::string(View.Body));
  Event.TargetsDeduplicate = targetsDeduplicate(D, Call.Pool, D.Self.Zone);
  return Event;
}

void requestArrived(Daemon &D, const HttpRequestView &View) {
  Arrival A;
  if (const Check Failure = checkRequest(D, View, A)) {
    if (Failure->Kind == ErrorKind::TooManyConnections)
      D.Numbers.add(HostCounter::ConnectionsRefused);
    answerRefused(D, View.Id, *Failure);
    return;
  }
  const CallerCall &Call = makeCall(D, View, A);
  D.Numbers.add(TierCounter::Received, Call.Tier);
  post(D, OriginEvent(describe(D, Call, View, A)));
}

void callerGone(Daemon &D, ExchangeId Exchange) {
  const auto Found = D.ByExchange.find(Exchange);
  if (Found == D.ByExchange.end())
    return;
  const RequestId Id = Found->second;
  D.ByExchange.erase(Found);
  CallerCall &Call = D.Calls.at(Id);
  Call.CallerHere = false;
  post(D, OriginEvent(CallerDisconnected{Id}));
  // A non-idempotent call that was dispatched continues, so that its outcome is
  // recorded.
  const auto Left = D.Calls.find(Id);
  if (Left != D.Calls.end() && !Left->second.Call)
    forgetCall(D, Id, "caller_gone");
}

void callerDrained(Daemon &D, ExchangeId Exchange) {
  const auto Found = D.ByExchange.find(Exchange);
  if (Found != D.ByExchange.end())
    resumeTarget(D, D.Calls.at(Found->second));
}

} // namespace

Result<Done> startCallerSide(Daemon &D) {
  D.Callers.RequestArrived.connect(
      [&D](const HttpRequestView &View) { requestArrived(D, View); });
  D.Callers.CallerDisconnected.connect(
      [&D](ExchangeId Id) { callerGone(D, Id); });
  D.Callers.Drained.connect([&D](ExchangeId Id) { callerDrained(D, Id); });
  const auto Address = parseAddress(D.Settings.CallerAddress);
  if (!ok(Address))
    return error(Address);
  const auto Port = D.Callers.listen(value(Address).Ip, value(Address).Port);
  if (!ok(Port))
    return error(Port);
  return Done{};
}

} // namespace marjorambay
