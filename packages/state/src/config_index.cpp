/// Lookups in an accepted configuration, and effective values.
#include "marjorambay/state/config_index.h"

#include "marjorambay/state/config_fields.h"
#include "marjorambay/state/config_rules.h"
#include "marjorambay/state/evacuated_zones.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace marjorambay {

namespace {

template <typename EntryType, typename KeyType>
const EntryType *find(const std::unordered_map<KeyType, std::size_t> &Index,
                      const std::vector<EntryType> &Entries,
                      const KeyType &Key) {
  const auto Found = Index.find(Key);
  return Found == Index.end() ? nullptr : &Entries[Found->second];
}

/// Scopes from wide to narrow; a later one overrides an earlier one.
constexpr auto WideToNarrow = std::to_array<ScopeKind>(
    {ScopeKind::Pool, ScopeKind::Zone, ScopeKind::Host, ScopeKind::Route,
     ScopeKind::Account, ScopeKind::Target});
static_assert(WideToNarrow.size() == NamesOf<ScopeKind>.size());

std::string_view nameOfScope(const ScopeNames &Scopes, ScopeKind Scope) {
  switch (Scope) {
  case ScopeKind::Zone:
    return Scopes.Zone;
  case ScopeKind::Host:
    return Scopes.Host;
  case ScopeKind::Target:
    return Scopes.Target;
  case ScopeKind::Account:
    return Scopes.Account;
  case ScopeKind::Route:
    return Scopes.Route;
  case ScopeKind::Pool:
    return Scopes.Pool;
  }
  return {};
}

/// Calls \p Apply for each exception that applies to \p Scopes, widest scope
/// first.
template <typename Function>
void forEachException(const FleetConfig &Config, const ScopeNames &Scopes,
                      Function Apply) {
  for (ScopeKind Scope : WideToNarrow) {
    const std::string_view Name = nameOfScope(Scopes, Scope);
    if (Name.empty())
      continue;
    for (const ExceptionConfig &Exception : Config.Exceptions)
      if (Exception.Scope == Scope && Exception.ScopeName == Name)
        Apply(Exception);
  }
}

std::string printValue(bool Value) { return Value ? "true" : "false"; }
std::string printValue(std::uint32_t Value) { return std::to_string(Value); }
std::string printValue(Duration Value) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(Value).count());
}
std::string printValue(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.10g", Value);
  return Text.data();
}

struct ValueLister {
  std::vector<EffectiveValue> Values{};

  template <typename T>
  void operator()(const char *Name, const T &Field, FieldRange /*Range*/) {
    Values.push_back({Name, printValue(Field)});
  }
};

} // namespace

ConfigIndex::ConfigIndex(FleetConfig Fleet) : Config(std::move(Fleet)) {
  for (std::size_t Index = 0; Index < Config.Accounts.size(); ++Index) {
    const AccountConfig &Account = Config.Accounts[Index];
    Accounts.emplace(idOf<AccountId>(Account.Name), Index);
    AccountsByKeyHash.emplace(Account.ApiKeyHash, Index);
  }
  for (std::size_t Index = 0; Index < Config.Pools.size(); ++Index) {
    Pools.emplace(idOf<PoolId>(Config.Pools[Index].Name), Index);
    for (const std::string &Model : Config.Pools[Index].Models)
      PoolsByModel.emplace(idOf<ModelId>(Model), Index);
  }
  indexTargets();
  indexRoutes();
}

void ConfigIndex::indexTargets() {
  for (std::size_t Index = 0; Index < Config.Targets.size(); ++Index) {
    const TargetConfig &Target = Config.Targets[Index];
    const auto Id = idOf<TargetId>(Target.Name);
    const auto Pool = idOf<PoolId>(Target.Pool);
    const auto Zone = idOf<ZoneId>(Target.Zone);
    Targets.emplace(Id, Index);
    std::vector<TargetId> &InZone = TargetsByPlace[Pool][Zone];
    if (InZone.empty())
      ZonesByPool[Pool].push_back(Zone);
    InZone.push_back(Id);
  }
}

void ConfigIndex::indexRoutes() {
  for (std::size_t Index = 0; Index < Config.Routes.size(); ++Index) {
    Routes.emplace(idOf<RouteId>(Config.Routes[Index].Name), Index);
    RoutesByLength.push_back(Index);
  }
  std::stable_sort(RoutesByLength.begin(), RoutesByLength.end(),
                   [this](std::size_t Left, std::size_t Right) {
                     return Config.Routes[Left].PathPrefix.size() >
                            Config.Routes[Right].PathPrefix.size();
                   });
}

const AccountConfig *ConfigIndex::account(AccountId Id) const {
  return find(Accounts, Config.Accounts, Id);
}

const AccountConfig *
ConfigIndex::accountByKeyHash(std::string_view ApiKeyHash) const {
  return find(AccountsByKeyHash, Config.Accounts, std::string(ApiKeyHash));
}

const PoolConfig *ConfigIndex::pool(PoolId Id) const {
  return find(Pools, Config.Pools, Id);
}

const PoolConfig *ConfigIndex::poolOfModel(ModelId Id) const {
  return find(PoolsByModel, Config.Pools, Id);
}

const TargetConfig *ConfigIndex::target(TargetId Id) const {
  return find(Targets, Config.Targets, Id);
}

const RouteConfig *ConfigIndex::route(RouteId Id) const {
  return find(Routes, Config.Routes, Id);
}

const RouteConfig *ConfigIndex::routeForPath(std::string_view Path) const {
  for (std::size_t Index : RoutesByLength)
    if (Path.starts_with(Config.Routes[Index].PathPrefix))
      return &Config.Routes[Index];
  return nullptr;
}

const TierConfig *ConfigIndex::tier(std::string_view Name) const {
  for (const TierConfig &Tier : Config.Tiers)
    if (Tier.Name == Name)
      return &Tier;
  return nullptr;
}

const std::vector<TargetId> &ConfigIndex::targets(PoolId Pool,
                                                  ZoneId Zone) const {
  static const std::vector<TargetId> None;
  const auto InPool = TargetsByPlace.find(Pool);
  if (InPool == TargetsByPlace.end())
    return None;
  const auto InZone = InPool->second.find(Zone);
  return InZone == InPool->second.end() ? None : InZone->second;
}

const std::vector<ZoneId> &ConfigIndex::zonesOfPool(PoolId Pool) const {
  static const std::vector<ZoneId> None;
  const auto Found = ZonesByPool.find(Pool);
  return Found == ZonesByPool.end() ? None : Found->second;
}

FleetDefaults ConfigIndex::effective(const ScopeNames &Scopes) const {
  FleetDefaults Values = Config.Defaults;
  forEachException(Config, Scopes, [&](const ExceptionConfig &Exception) {
    setDefault(Values, Exception.Key, Exception.Value);
  });
  return Values;
}

std::vector<EffectiveValue>
ConfigIndex::explain(const ScopeNames &Scopes) const {
  ValueLister Lister;
  visitFields(Lister, Config.Defaults);
  forEachException(Config, Scopes, [&](const ExceptionConfig &Exception) {
    if (Exception.Key == EvacuatedKey) // has no default
      Lister.Values.push_back({Exception.Key, Exception.Value});
    for (EffectiveValue &Value : Lister.Values)
      if (Value.Key == Exception.Key)
        Value = {Exception.Key,   Exception.Value,     true,
                 Exception.Scope, Exception.ScopeName, Exception.Reason,
                 Exception.Author};
  });
  return std::move(Lister.Values);
}

} // namespace marjorambay
