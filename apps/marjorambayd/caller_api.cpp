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

Error makeError(ErrorKind Kind, std::string Message) {
  return Error{Kind, std::move(Message)};
}

bool isModelRoute(RouteKind Kind) {
  return Kind == RouteKind::Completions || Kind == RouteKind::ChatCompletions;
}

/// Results of the checks of a request, which fill it in one after the other.
struct CheckedRequest {
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
    return makeError(ErrorKind::TooManyConnections,
                     "this entry host has too many connections; try again");
  if (D.Draining)
    return makeError(ErrorKind::ShuttingDown,
                     "this entry host is shutting down; reconnect");
  if (D.Config.revision() == Revision{})
    return makeError(ErrorKind::NotReady,
                     "this entry host has no configuration yet");
  if (View.Body.size() > D.Settings.MaxBodyBytes)
    return makeError(ErrorKind::TooLarge,
                     "the body is over " +
                         std::to_string(D.Settings.MaxBodyBytes) + " bytes");
  if (D.Calls.size() >= D.Settings.MaxRequests)
    return makeError(
        ErrorKind::Overloaded,
        "this entry host has reached its limit of concurrent requests");
  return std::nullopt;
}

Check findAccount(const Daemon &D, const HttpRequestView &View,
                  CheckedRequest &Checked) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Given = View.header("Authorization");
  if (Given.substr(0, Scheme.size()) == Scheme)
    Checked.Account =
        D.Config.accountByKeyHash(sha256Hex(Given.substr(Scheme.size())));
  if (!Checked.Account)
    return makeError(ErrorKind::Unauthenticated,
                     "send \"Authorization: Bearer KEY\" with a known API key");
  return std::nullopt;
}

Check findRoute(const Daemon &D, const HttpRequestView &View,
                CheckedRequest &Checked) {
  Checked.Route = D.Config.routeForPath(View.Path);
  if (!Checked.Route)
    return makeError(ErrorKind::UnknownRoute, "no route has this path");
  Checked.Pool = D.Config.pool(idOf<PoolId>(Checked.Route->Pool));
  Checked.Tier =
      D.Config.tier(Checked.Route->Tier.empty() ? Checked.Account->Tier
                                                : Checked.Route->Tier);
  if (!Checked.Pool || !Checked.Tier)
    return makeError(ErrorKind::UnknownRoute,
                     "the route has an unknown pool or tier");
  Checked.Defaults = D.Config.effective({.Host = D.Settings.HostName,
                                         .Zone = D.Settings.ZoneName,
                                         .Account = Checked.Account->Name,
                                         .Route = Checked.Route->Name,
                                         .Pool = Checked.Pool->Name});
  return std::nullopt;
}

Check readDeadline(const HttpRequestView &View, CheckedRequest &Checked) {
  Checked.TimeLeft = Checked.Defaults.RequestDeadline;
  const std::string_view Given = View.header("Deadline-Ms");
  if (Given.empty())
    return std::nullopt;
  std::int64_t Millis = 0;
  const char *End = Given.data() + Given.size();
  const auto [Parsed, Failure] = std::from_chars(Given.data(), End, Millis);
  if (Failure != std::errc() || Parsed != End)
    return makeError(ErrorKind::BadRequest,
                     "Deadline-Ms must be a whole number of milliseconds");
  if (Millis <= 0)
    return makeError(ErrorKind::DeadlinePassed,
                     "Deadline-Ms must be above 0; the deadline has passed");
  const auto Max =
      std::chrono::duration_cast<milliseconds>(Checked.Defaults.MaxDeadline)
          .count();
  Checked.TimeLeft = milliseconds(std::min<std::int64_t>(Millis, Max));
  return std::nullopt;
}

Check readCompletion(const HttpRequestView &View, CheckedRequest &Checked) {
  if (!isModelRoute(Checked.Route->Kind))
    return std::nullopt;
  if (View.Method != "POST")
    return makeError(ErrorKind::BadRequest, "this route takes POST");
  Result<CompletionRequest> Read =
      parseCompletion(Checked.Route->Kind, View.Body);
  if (!ok(Read))
    return error(Read);
  Checked.Completion = std::move(value(Read));
  const auto &Models = Checked.Pool->Models;
  if (std::find(Models.begin(), Models.end(), Checked.Completion.Model) ==
      Models.end())
    return makeError(ErrorKind::UnknownModel, "this route has no such model");
  return std::nullopt;
}

Check checkIdempotencyKey(const HttpRequestView &View,
                          const CheckedRequest &Checked) {
  if (Checked.Route->Kind != RouteKind::NonIdempotentCall)
    return std::nullopt;
  const std::string_view Key = View.header("Idempotency-Key");
  const bool Printable =
      std::all_of(Key.begin(), Key.end(), [](char Character) {
        return Character > ' ' && Character < 127;
      });
  if (Key.empty() || Key.size() > MaxIdempotencyKey || !Printable)
    return makeError(
        ErrorKind::MissingIdempotencyKey,
        "send an Idempotency-Key of 1 to 200 printable characters");
  return std::nullopt;
}

Check checkRequest(const Daemon &D, const HttpRequestView &View,
                   CheckedRequest &Checked) {
  if (Check Failure = checkHost(D, View))
    return Failure;
  if (Check Failure = findAccount(D, View, Checked))
    return Failure;
  if (Check Failure = findRoute(D, View, Checked))
    return Failure;
  if (Check Failure = readDeadline(View, Checked))
    return Failure;
  if (Check Failure = checkIdempotencyKey(View, Checked))
    return Failure;
  return readCompletion(View, Checked);
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
HttpHeaders forwardedHeaders(const HttpRequestView &View) {
  HttpHeaders Headers = View.endToEndHeaders();
  std::erase_if(Headers, [](const HttpHeader &Header) {
    return isHeader(Header, "Authorization") ||
           isHeader(Header, "Deadline-Ms") || isHeader(Header, "Request-Id");
  });
  return Headers;
}

CallerCall &createCall(Daemon &D, const HttpRequestView &View,
                       const CheckedRequest &Checked) {
  const auto Id = static_cast<RequestId>(++D.LastRequest);
  CallerCall &Call = D.Calls[Id];
  Call.Id = Id;
  Call.Exchange = View.Id;
  Call.Name = formatKey({D.Self.Id, D.Incarnation, Id});
  Call.Kind = Checked.Route->Kind;
  Call.Streamed = Checked.Completion.Stream;
  Call.Method = View.Method;
  Call.Path = View.Path;
  if (!View.Query.empty())
    Call.Path.append("?").append(View.Query);
  Call.IdempotencyKey = View.header("Idempotency-Key");
  if (!isModelRoute(Call.Kind))
    Call.ForwardedHeaders = forwardedHeaders(View);
  Call.AccountName = Checked.Account->Name;
  Call.Account = idOf<AccountId>(Checked.Account->Name);
  Call.Tier = Checked.Tier->Rank;
  Call.TierName = Checked.Tier->Name;
  Call.Pool = idOf<PoolId>(Checked.Pool->Name);
  Call.PromptTokens = Checked.Completion.PromptTokens;
  Call.Arrived = D.Loop.now();
  Call.Deadline = Call.Arrived + Checked.TimeLeft;
  D.CallsByExchange[View.Id] = Id;
  return Call;
}

bool targetsDeduplicate(const Daemon &D, PoolId Pool, ZoneId Zone) {
  const std::vector<TargetId> &Targets = D.Config.targets(Pool, Zone);
  return !Targets.empty() &&
         std::all_of(Targets.begin(), Targets.end(), [&D](TargetId Id) {
           return D.Config.target(Id)->DeduplicatesKeys;
         });
}

CallerRequested describeRequest(const Daemon &D, const CallerCall &Call,
                                const HttpRequestView &View,
                                const CheckedRequest &Checked) {
  CallerRequested Event;
  Event.Id = Call.Id;
  Event.Kind = Call.Kind;
  Event.Account = Call.Account;
  Event.Route = idOf<RouteId>(Checked.Route->Name);
  Event.Tier = Call.Tier;
  Event.Pool = Call.Pool;
  Event.Model = idOf<ModelId>(Checked.Completion.Model);
  Event.PromptTokens = Checked.Completion.PromptTokens;
  Event.MaxOutputTokens = Checked.Completion.MaxOutputTokens;
  Event.PrefixHash = Checked.Completion.PrefixHash;
  Event.TimeLeft = Checked.TimeLeft;
  if (Call.Kind != RouteKind::NonIdempotentCall)
    return Event;
  Event.Key = hashKey(Call.AccountName, Call.IdempotencyKey);
  Event.BodyHash =
      hash64(Call.Method + ' ' + Call.Path + '\n' + std::string(View.Body));
  Event.TargetsDeduplicate = targetsDeduplicate(D, Call.Pool, D.Self.Zone);
  return Event;
}

void handleRequest(Daemon &D, const HttpRequestView &View) {
  CheckedRequest Checked;
  if (const Check Failure = checkRequest(D, View, Checked)) {
    if (Failure->Kind == ErrorKind::TooManyConnections)
      D.Stats.add(HostCounter::ConnectionsRefused);
    rejectRequest(D, View.Id, *Failure);
    return;
  }
  const CallerCall &Call = createCall(D, View, Checked);
  D.Stats.add(TierCounter::Received, Call.Tier);
  post(D, OriginEvent(describeRequest(D, Call, View, Checked)));
}

void handleDisconnect(Daemon &D, ExchangeId Exchange) {
  const auto Found = D.CallsByExchange.find(Exchange);
  if (Found == D.CallsByExchange.end())
    return;
  const RequestId Id = Found->second;
  D.CallsByExchange.erase(Found);
  CallerCall &Call = D.Calls.at(Id);
  Call.CallerConnected = false;
  post(D, OriginEvent(CallerDisconnected{Id}));
  // A non-idempotent call that was dispatched continues, so that its outcome is
  // recorded.
  const auto Remaining = D.Calls.find(Id);
  if (Remaining != D.Calls.end() && !Remaining->second.Call)
    removeCall(D, Id, "caller_gone");
}

void resumeAfterDrain(Daemon &D, ExchangeId Exchange) {
  const auto Found = D.CallsByExchange.find(Exchange);
  if (Found != D.CallsByExchange.end())
    resumeTarget(D, D.Calls.at(Found->second));
}

} // namespace

Result<Done> startCallerApi(Daemon &D) {
  const auto Address = parseAddress(D.Settings.CallerAddress);
  if (!ok(Address))
    return error(Address);
  const auto Port = D.Callers.listen(value(Address).Ip, value(Address).Port);
  if (!ok(Port))
    return error(Port);
  D.Callers.RequestArrived.connect(
      [&D](const HttpRequestView &View) { handleRequest(D, View); });
  D.Callers.CallerDisconnected.connect(
      [&D](ExchangeId Id) { handleDisconnect(D, Id); });
  D.Callers.Drained.connect([&D](ExchangeId Id) { resumeAfterDrain(D, Id); });
  return Done{};
}

} // namespace marjorambay
