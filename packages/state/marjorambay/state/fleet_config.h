/// The fleet configuration that operators accept: plain data, one revision.
#ifndef MARJORAMBAY_STATE_FLEET_CONFIG_H
#define MARJORAMBAY_STATE_FLEET_CONFIG_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// What a pool's targets are.
enum class PoolKind : std::uint8_t {
  Model,   ///< inference engines: streams, tokens, prefix caches, versions
  Service, ///< plain HTTP services
};
template <>
inline constexpr std::array
    NamesOf<PoolKind> = std::to_array<std::string_view>({"model", "service"});
static_assert(NamesOf<PoolKind>.size() == 2);

/// What a route accepts.
enum class RouteKind : std::uint8_t {
  Completions,       ///< OpenAI /v1/completions form
  ChatCompletions,   ///< OpenAI /v1/chat/completions form
  Call,              ///< plain service call that may be repeated
  NonIdempotentCall, ///< non-idempotent service call; needs an Idempotency-Key
};
template <>
inline constexpr std::array NamesOf<RouteKind> =
    std::to_array<std::string_view>({"completions", "chat_completions", "call",
                                     "once_call"});
static_assert(NamesOf<RouteKind>.size() == 4);

struct TierConfig {
  std::string Name{};
  TierRank Rank{}; ///< 0 is the highest; ranks are distinct
};

struct AccountConfig {
  std::string Name{};
  std::string ApiKeyHash{};       ///< SHA-256 of the API key, 64 hex digits
  std::string Tier{};             ///< name of the tier its calls have
  double Weight = 1.0;            ///< share against accounts of the same tier
  std::uint32_t MaxQueued = 1000; ///< requests waiting at one entry host
};

struct PoolConfig {
  std::string Name{};
  PoolKind Kind = PoolKind::Model;
  std::string Version{};             ///< version that serves by default
  std::vector<std::string> Models{}; ///< model names that callers may ask for
};

struct TargetConfig {
  std::string Name{};
  std::string Address{}; ///< IP number and port, "10.0.0.1:8000"
  std::string Pool{};
  std::string Zone{};
  std::string Version{};               ///< version it serves; "" for services
  double TokensPerSecond = 1000;       ///< first guess of decode speed
  std::uint32_t MaxTokensInFlight = 0; ///< 0: learned from its speed
  std::uint32_t MaxRequestsInFlight = 32;
  bool ChecksFencing = false;    ///< refuses orders with an old token
  bool DeduplicatesKeys = false; ///< applies an idempotency key once
  bool Draining = false;         ///< gets no new work
};

struct RouteConfig {
  std::string Name{};
  std::string PathPrefix{}; ///< the longest matching prefix wins
  RouteKind Kind = RouteKind::Completions;
  std::string Pool{};
  std::string Tier{}; ///< overrides the account's tier; "" keeps it
};

/// What an exception applies to.
enum class ScopeKind : std::uint8_t {
  Zone,
  Host,
  Target,
  Account,
  Route,
  Pool
};
template <>
inline constexpr std::array NamesOf<ScopeKind> =
    std::to_array<std::string_view>({"zone", "host", "target", "account",
                                     "route", "pool"});
static_assert(NamesOf<ScopeKind>.size() == 6);

/// A place that differs from the fleet-wide defaults, and why.
struct ExceptionConfig {
  ScopeKind Scope = ScopeKind::Zone;
  std::string ScopeName{}; ///< name of the zone, host, target, ...
  std::string Key{};       ///< name of a field of FleetDefaults, snake_case
  std::string Value{};
  std::string Reason{}; ///< required; written by a person
  std::string Author{}; ///< required
  WallTime Created{};
};

/// Values that hold everywhere, unless an exception names a place.
struct FleetDefaults {
  Duration RequestDeadline = seconds(60); ///< when the caller names none
  Duration MaxDeadline = minutes(30);     ///< longer ones are cut to this
  Duration DispatchTimeout = seconds(30); ///< silence of a target before a cut
  double RetryBudgetRatio = 0.1; ///< retries of proven NotRun per request
  std::uint32_t DefaultOutputTokens = 256; ///< guess before any is learned
  double TargetFillSeconds = 0.5; ///< of unread prompts that a target may hold
                                  ///< before it gets more; scripts/policy-bench
  double CanaryShareCap = 0.01;   ///< largest share of an unproven version
  Duration IdempotencyRetention = hours(1); ///< how long a key is remembered
  bool SpillAcrossZones = true; ///< use another zone before shedding
};

/// Everything operators set. Accepted as a whole under one revision.
struct FleetConfig {
  Revision Rev{};
  std::vector<TierConfig> Tiers{};
  std::vector<AccountConfig> Accounts{};
  std::vector<PoolConfig> Pools{};
  std::vector<TargetConfig> Targets{};
  std::vector<RouteConfig> Routes{};
  FleetDefaults Defaults{};
  std::vector<ExceptionConfig> Exceptions{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_FLEET_CONFIG_H
