/// Index of an accepted configuration for lookups on the request path.
#ifndef MARJORAMBAY_STATE_CONFIG_INDEX_H
#define MARJORAMBAY_STATE_CONFIG_INDEX_H

#include "marjorambay/state/fleet_config.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// Names that select the exceptions of a lookup. Scopes with an empty name are
/// skipped.
struct ScopeNames {
  std::string_view Host{};
  std::string_view Zone{};
  std::string_view Target{};
  std::string_view Account{};
  std::string_view Route{};
  std::string_view Pool{};
};

/// One effective value, and the exception that set it, if any.
struct EffectiveValue {
  std::string Key{};
  std::string Value{};
  bool IsException = false;
  // Copied from the exception; unset if IsException is false.
  ScopeKind Scope = ScopeKind::Zone;
  std::string ScopeName{};
  std::string Reason{};
  std::string Author{};
};

/// Owns one configuration and looks up its entries. Lookups return null if
/// there is no such entry; pointers must not be kept beyond the current
/// event-loop iteration. The configuration must have passed checkFleetConfig().
class ConfigIndex {
public:
  ConfigIndex() = default;
  explicit ConfigIndex(FleetConfig Fleet);

  const FleetConfig &config() const { return Config; }
  Revision revision() const { return Config.Rev; }

  const AccountConfig *account(AccountId Id) const;
  /// \p ApiKeyHash is 64 lower-case hex digits.
  const AccountConfig *accountByKeyHash(std::string_view ApiKeyHash) const;
  const PoolConfig *pool(PoolId Id) const;
  const PoolConfig *poolOfModel(ModelId Id) const;
  const TargetConfig *target(TargetId Id) const;
  const RouteConfig *route(RouteId Id) const;
  /// Returns the route with the longest prefix of \p Path.
  const RouteConfig *routeForPath(std::string_view Path) const;
  const TierConfig *tier(std::string_view Name) const;

  /// Returns the pool's targets in \p Zone, in document order.
  const std::vector<TargetId> &targets(PoolId Pool, ZoneId Zone) const;
  /// Returns the zones that have targets of \p Pool.
  const std::vector<ZoneId> &zonesOfPool(PoolId Pool) const;

  /// Returns the defaults as the exceptions for \p Scopes change them. Of
  /// several exceptions for one key the narrowest scope wins: pool, zone, host,
  /// route, account, target, from wide to narrow.
  FleetDefaults effective(const ScopeNames &Scopes) const;
  /// As effective(), with the source and the reason of every value.
  std::vector<EffectiveValue> explain(const ScopeNames &Scopes) const;

private:
  FleetConfig Config{};
  std::unordered_map<AccountId, std::size_t> Accounts{};
  std::unordered_map<std::string, std::size_t> AccountsByKeyHash{};
  std::unordered_map<PoolId, std::size_t> Pools{};
  std::unordered_map<ModelId, std::size_t> PoolsByModel{};
  std::unordered_map<TargetId, std::size_t> Targets{};
  std::unordered_map<RouteId, std::size_t> Routes{};
  std::vector<std::size_t> RoutesByLength{}; ///< longest path prefix first
  std::unordered_map<PoolId, std::unordered_map<ZoneId, std::vector<TargetId>>>
      TargetsByPlace{};
  std::unordered_map<PoolId, std::vector<ZoneId>> ZonesByPool{};

  void indexTargets();
  void indexRoutes();
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_CONFIG_INDEX_H
