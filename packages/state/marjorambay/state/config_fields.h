/// The field names of the fleet configuration, as used in documents and
/// exceptions. All codecs and checks use this one list.
#ifndef MARJORAMBAY_STATE_CONFIG_FIELDS_H
#define MARJORAMBAY_STATE_CONFIG_FIELDS_H

#include "marjorambay/state/fleet_config.h"

#include <concepts>
#include <type_traits>

namespace marjorambay {

/// Matches ConfigType and const ConfigType.
template <typename T, typename ConfigType>
concept MaybeConst = std::same_as<std::remove_const_t<T>, ConfigType>;

/// Allowed range of a numeric field, in the unit of the configuration document
/// (milliseconds for durations).
struct FieldRange {
  double Min = 0;
  double Max = 0;
};

// Each visitFields() calls Visit(Name, Field) for every field in printing
// order. Fields of FleetDefaults also pass their FieldRange.

template <typename Visitor, MaybeConst<TierConfig> Config>
void visitFields(Visitor &Visit, Config &Tier) {
  Visit("name", Tier.Name);
  Visit("rank", Tier.Rank);
}

template <typename Visitor, MaybeConst<AccountConfig> Config>
void visitFields(Visitor &Visit, Config &Account) {
  Visit("name", Account.Name);
  Visit("api_key_hash", Account.ApiKeyHash);
  Visit("tier", Account.Tier);
  Visit("weight", Account.Weight);
  Visit("max_queued", Account.MaxQueued);
}

template <typename Visitor, MaybeConst<PoolConfig> Config>
void visitFields(Visitor &Visit, Config &Pool) {
  Visit("name", Pool.Name);
  Visit("kind", Pool.Kind);
  Visit("version", Pool.Version);
  Visit("models", Pool.Models);
}

template <typename Visitor, MaybeConst<TargetConfig> Config>
void visitFields(Visitor &Visit, Config &Target) {
  Visit("name", Target.Name);
  Visit("address", Target.Address);
  Visit("pool", Target.Pool);
  Visit("zone", Target.Zone);
  Visit("version", Target.Version);
  Visit("tokens_per_second", Target.TokensPerSecond);
  Visit("max_tokens_in_flight", Target.MaxTokensInFlight);
  Visit("max_requests_in_flight", Target.MaxRequestsInFlight);
  Visit("checks_fencing", Target.ChecksFencing);
  Visit("deduplicates_keys", Target.DeduplicatesKeys);
  Visit("draining", Target.Draining);
}

template <typename Visitor, MaybeConst<RouteConfig> Config>
void visitFields(Visitor &Visit, Config &Route) {
  Visit("name", Route.Name);
  Visit("path_prefix", Route.PathPrefix);
  Visit("kind", Route.Kind);
  Visit("pool", Route.Pool);
  Visit("tier", Route.Tier);
}

template <typename Visitor, MaybeConst<ExceptionConfig> Config>
void visitFields(Visitor &Visit, Config &Exception) {
  Visit("scope", Exception.Scope);
  Visit("scope_name", Exception.ScopeName);
  Visit("key", Exception.Key);
  Visit("value", Exception.Value);
  Visit("reason", Exception.Reason);
  Visit("author", Exception.Author);
  Visit("created_ms", Exception.Created);
}

template <typename Visitor, MaybeConst<FleetDefaults> Config>
void visitFields(Visitor &Visit, Config &Defaults) {
  constexpr double DayMs = 24.0 * 3600 * 1000;
  Visit("request_deadline_ms", Defaults.RequestDeadline,
        FieldRange{100, DayMs});
  Visit("max_deadline_ms", Defaults.MaxDeadline, FieldRange{100, DayMs});
  Visit("dispatch_timeout_ms", Defaults.DispatchTimeout,
        FieldRange{100, DayMs});
  Visit("retry_budget_ratio", Defaults.RetryBudgetRatio, FieldRange{0, 1});
  Visit("default_output_tokens", Defaults.DefaultOutputTokens,
        FieldRange{1, 1e6});
  Visit("target_fill_seconds", Defaults.TargetFillSeconds,
        FieldRange{0.01, 3600});
  Visit("canary_share_cap", Defaults.CanaryShareCap, FieldRange{0, 0.5});
  Visit("idempotency_retention_ms", Defaults.IdempotencyRetention,
        FieldRange{1000, 7 * DayMs});
  Visit("spill_across_zones", Defaults.SpillAcrossZones, FieldRange{0, 1});
}

template <typename Visitor, MaybeConst<FleetConfig> Config>
void visitFields(Visitor &Visit, Config &Fleet) {
  Visit("revision", Fleet.Rev);
  Visit("tiers", Fleet.Tiers);
  Visit("accounts", Fleet.Accounts);
  Visit("pools", Fleet.Pools);
  Visit("targets", Fleet.Targets);
  Visit("routes", Fleet.Routes);
  Visit("defaults", Fleet.Defaults);
  Visit("exceptions", Fleet.Exceptions);
}

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_CONFIG_FIELDS_H
