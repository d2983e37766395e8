/// Lookup index of forwarded routes.
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

/// An account without a priority has the highest.
std::uint32_t priorityOf(const ForwardAccount *Account) {
  return Account == nullptr ? 0 : Account->Priority.value_or(0);
}

template <typename MapType, typename KeyType, typename Items>
auto findIn(const MapType &Indices, const KeyType &Key, const Items &All)
    -> decltype(All.data()) {
  const auto Found = Indices.find(Key);
  return Found == Indices.end() ? nullptr : &All[Found->second];
}

} // namespace

ForwardTable::ForwardTable(ForwardConfig Source) : Config(std::move(Source)) {
  for (std::size_t Index = 0; Index < Config.Routes.size(); ++Index)
    ByHost[hostKey(Config.Routes[Index].Host)].push_back(Index);
  for (auto &[Host, Indices] : ByHost)
    std::stable_sort(Indices.begin(), Indices.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return Config.Routes[Left].PathPrefix.size() >
                              Config.Routes[Right].PathPrefix.size();
                     });
  for (std::size_t Index = 0; Index < Config.Accounts.size(); ++Index) {
    ByAccount.emplace(Config.Accounts[Index].Id, Index);
    for (const std::string &Key : Config.Accounts[Index].Keys)
      ByKey.emplace(Key, Index);
  }
  for (std::size_t Index = 0; Index < Config.Pools.size(); ++Index)
    ByPool.emplace(Config.Pools[Index].Id, Index);
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
  for (const std::size_t Index : Found->second)
    if (Path.starts_with(Config.Routes[Index].PathPrefix))
      return &Config.Routes[Index];
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
  for (const PoolWeight &Entry : Route.Pools)
    Sum += Entry.Weight;
  double Remaining = Point * static_cast<double>(Sum);
  for (const PoolWeight &Entry : Route.Pools) {
    if (Remaining < Entry.Weight)
      return Entry.Pool;
    Remaining -= Entry.Weight;
  }
  return Route.Pools.empty() ? PoolId{} : Route.Pools.back().Pool;
}

} // namespace marjorambay
