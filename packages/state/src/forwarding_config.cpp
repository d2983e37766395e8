/// Lookups of forwarded routes.
#include "marjorambay/state/forwarding_config.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace marjorambay {

namespace {

std::string hostKey(std::string_view Host) {
  std::string Key(Host.substr(0, Host.find(':')));
  std::transform(Key.begin(), Key.end(), Key.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Key;
}

/// An account without a priority counts as one of the highest.
std::uint32_t priorityOf(const ForwardAccount *Account) {
  return Account == nullptr ? 0 : Account->Priority.value_or(0);
}

template <typename Map, typename Key, typename Items>
auto findIn(const Map &Places, const Key &Which, const Items &All)
    -> decltype(All.data()) {
  const auto Found = Places.find(Which);
  return Found == Places.end() ? nullptr : &All[Found->second];
}

} // namespace

ForwardTable::ForwardTable(ForwardConfig Given) : Config(std::move(Given)) {
  for (std::size_t Place = 0; Place < Config.Routes.size(); ++Place)
    ByHost[hostKey(Config.Routes[Place].Host)].push_back(Place);
  for (auto &[Host, Places] : ByHost)
    std::stable_sort(Places.begin(), Places.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return Config.Routes[Left].PathPrefix.size() >
                              Config.Routes[Right].PathPrefix.size();
                     });
  for (std::size_t Place = 0; Place < Config.Accounts.size(); ++Place) {
    ByAccount.emplace(Config.Accounts[Place].Id, Place);
    for (const std::string &Key : Config.Accounts[Place].Keys)
      ByKey.emplace(Key, Place);
  }
  for (std::size_t Place = 0; Place < Config.Pools.size(); ++Place)
    ByPool.emplace(Config.Pools[Place].Id, Place);
  std::set<std::pair<std::uint32_t, std::uint32_t>> Pairs;
  for (const ForwardRoute &Route : Config.Routes) {
    Pairs.emplace(priorityOf(nullptr), Route.Priority);
    for (const ForwardAccount &Account : Config.Accounts)
      Pairs.emplace(priorityOf(&Account), Route.Priority);
  }
  Ranks.assign(Pairs.begin(), Pairs.end());
}

TierRank ForwardTable::tierOf(const ForwardAccount *Account,
                              const ForwardRoute &Route) const {
  const std::pair Pair(priorityOf(Account), Route.Priority);
  const auto Found = std::lower_bound(Ranks.begin(), Ranks.end(), Pair);
  const auto Rank = static_cast<std::size_t>(Found - Ranks.begin());
  return TierRank{static_cast<std::uint8_t>(std::min(Rank, MaxTiers - 1))};
}

const ForwardRoute *ForwardTable::match(std::string_view Host,
                                        std::string_view Path) const {
  const auto Found = ByHost.find(hostKey(Host));
  if (Found == ByHost.end())
    return nullptr;
  for (const std::size_t Place : Found->second)
    if (Path.starts_with(Config.Routes[Place].PathPrefix))
      return &Config.Routes[Place];
  return nullptr;
}

const ForwardAccount *ForwardTable::accountByKey(const std::string &Key) const {
  return findIn(ByKey, Key, Config.Accounts);
}

const ForwardAccount *ForwardTable::account(AccountId Id) const {
  return findIn(ByAccount, Id, Config.Accounts);
}

const ForwardPool *ForwardTable::pool(PoolId Id) const {
  return findIn(ByPool, Id, Config.Pools);
}

PoolId selectPool(const ForwardRoute &Route, double Point) {
  std::uint64_t Sum = 0;
  for (const PoolWeight &Each : Route.Pools)
    Sum += Each.Weight;
  double Left = Point * static_cast<double>(Sum);
  for (const PoolWeight &Each : Route.Pools) {
    if (Left < Each.Weight)
      return Each.Pool;
    Left -= Each.Weight;
  }
  return Route.Pools.empty() ? PoolId{} : Route.Pools.back().Pool;
}

} // namespace marjorambay
