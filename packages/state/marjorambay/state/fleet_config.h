/// The fleet configuration that operators write: plain data, one revision.
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

/// Kind of a pool's targets.
enum class PoolKind : std::uint8_t {
  Model,   ///< inference engines: streams, tokens, prefix caches, versions
  Service, ///< plain HTTP services
};
template <>
inline constexpr std::array
    NamesOf<PoolKind> = std::to_array<std::string_view>({"model", "service"});
static_assert(NamesOf<PoolKind>.size() == 2);

/// Kind of requests that a route accepts.
enum class RouteKind : std::uint8_t {
  Completions,       ///< OpenAI /v1/completions form
  ChatCompletions,   ///< OpenAI /v1/chat/completions form
  Call,              ///< idempotent service call
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
  std::string ApiKeyHash{}; ///< SHA-256 of the API key, 64 hex digits
  std::string Tier{};       ///< tier name of its requests
  double Weight = 1.0;      ///< fair-share weight among accounts of a tier
  std::uint32_t MaxQueued = 1000; ///< queued requests at one entry host
};

struct PoolConfig {
  std::string Name{};
  PoolKind Kind = PoolKind::Model;
  std::string Version{};             ///< default version
  std::vector<std::string> Models{}; ///< model names that callers may request
};

struct TargetConfig {
  std::string Name{};
  std::string Address{}; ///< numeric IP and port, "10.0.0.1:8000"
  std::string Pool{};
  std::string Zone{};
  std::string Version{};               ///< version it serves; "" for services
  double TokensPerSecond = 1000;       ///< initial estimate of decode speed
  std::uint32_t MaxTokensInFlight = 0; ///< 0: derived from measured speed
  std::uint32_t MaxRequestsInFlight = 32;
  bool ChecksFencing = false;    ///< rejects orders with a stale fencing token
  bool DeduplicatesKeys = false; ///< executes an idempotency key at most once
  bool Draining = false;         ///< gets no new requests
};

struct RouteConfig {
  std::string Name{};
  std::string PathPrefix{}; ///< the longest matching prefix wins
  RouteKind Kind = RouteKind::Completions;
  std::string Pool{};
  std::string Tier{}; ///< overrides the account's tier if not empty
};

/// Kind of entity that an exception applies to.
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

/// Overrides one fleet-wide default for one entity, and records why.
struct ExceptionConfig {
  ScopeKind Scope = ScopeKind::Zone;
  std::string ScopeName{}; ///< name of the zone, host, target, ...
  std::string Key{};       ///< name of a field of FleetDefaults, snake_case
  std::string Value{};
  std::string Reason{}; ///< required; free text
  std::string Author{}; ///< required
  WallTime Created{};
};

/// Fleet-wide defaults; exceptions override them for single entities.
struct FleetDefaults {
  Duration RequestDeadline = seconds(60); ///< if the caller gives none
  Duration MaxDeadline = minutes(30);     ///< longer deadlines are clamped
  Duration DispatchTimeout = seconds(30); ///< target inactivity limit
  double RetryBudgetRatio = 0.1; ///< retries per request; only requests that
                                 ///< provably did not run are retried
  std::uint32_t DefaultOutputTokens = 256; ///< estimate until one is measured
  double TargetFillSeconds = 0.5; ///< prompt backlog up to which a target gets
                                  ///< more requests; see scripts/policy-bench
  double CanaryShareCap = 0.01;   ///< maximum traffic share of a canary
  Duration IdempotencyRetention = hours(1); ///< for idempotency keys
  bool SpillAcrossZones = true; ///< use another zone before shedding
};

/// The complete configuration. A revision is accepted or rejected as a unit.
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
