/// Strict tiers, fair accounts, deadlines.
#include "marjorambay/coordination/fair_queue.h"

#include <algorithm>

namespace marjorambay {

double FairQueue::weightOf(AccountId Account) const {
  const auto Found = Weights.find(Account);
  return Found == Weights.end() ? 1.0 : Found->second;
}

FairQueue::AccountLane &FairQueue::laneAt(TierQueue &Queue, AccountId Account) {
  const auto Found = Queue.Lanes.find(Account);
  if (Found != Queue.Lanes.end())
    return Found->second;
  AccountLane Lane;
  Lane.Virtual = Queue.Virtual;
  Lane.Weight = weightOf(Account);
  return Queue.Lanes.emplace(Account, Lane).first->second;
}

std::uint32_t FairQueue::place(const Waiting &Entry) {
  if (Free.empty()) {
    Entries.push_back(Entry);
    return static_cast<std::uint32_t>(Entries.size() - 1);
  }
  const std::uint32_t Place = Free.back();
  Free.pop_back();
  Entries[Place] = Entry;
  return Place;
}

void FairQueue::activate(TierQueue &Queue, AccountId Account,
                         AccountLane &Lane) {
  Lane.Virtual = std::max(Lane.Virtual, Queue.Virtual);
  Queue.Active.emplace(Lane.Virtual, Account);
  Queue.ActiveWeight += Lane.Weight;
}

void FairQueue::deactivate(TierQueue &Queue, AccountId Account,
                           AccountLane &Lane) {
  Queue.Active.erase({Lane.Virtual, Account});
  Queue.ActiveWeight -= Lane.Weight;
  if (Queue.Active.empty())
    Queue.ActiveWeight = 0; // drops what rounding left
}

void FairQueue::push(const Waiting &Entry) {
  const AccountId Account = Entry.Request.Account;
  TierQueue &Queue = tierAt(Entry.Request.Tier);
  AccountLane &Lane = laneAt(Queue, Account);
  if (Lane.Entries.empty())
    activate(Queue, Account, Lane);
  const std::uint32_t Place = place(Entry);
  Index.insert(Lane.Entries, Place, Entry.LatestStart, Entry.Work);
  ByLatestStart.emplace(Entry.LatestStart, Place);
  Places.emplace(Entry.Request.Key, Place);
  Queue.Work += Entry.Work;
  ++Queue.Length;
}

std::optional<Waiting> FairQueue::remove(const RequestKey &Key) {
  const auto Found = Places.find(Key);
  if (Found == Places.end())
    return std::nullopt;
  const std::uint32_t Place = Found->second;
  Places.erase(Found);
  Waiting Entry = Entries[Place];
  TierQueue &Queue = tierAt(Entry.Request.Tier);
  AccountLane &Lane = laneAt(Queue, Entry.Request.Account);
  Index.erase(Lane.Entries, Place);
  ByLatestStart.erase({Entry.LatestStart, Place});
  Free.push_back(Place);
  --Queue.Length;
  Queue.Work = Queue.Length == 0 ? 0 : Queue.Work - Entry.Work;
  if (Lane.Entries.empty())
    deactivate(Queue, Entry.Request.Account, Lane);
  return Entry;
}

std::optional<Waiting> FairQueue::cancel(const RequestKey &Key) {
  return remove(Key);
}

std::optional<Waiting> FairQueue::take(const RequestKey &Key) {
  std::optional<Waiting> Entry = remove(Key);
  if (!Entry)
    return Entry;
  TierQueue &Queue = tierAt(Entry->Request.Tier);
  const AccountLane &Lane = laneAt(Queue, Entry->Request.Account);
  Queue.Virtual = std::max(Queue.Virtual, Lane.Virtual);
  charge(Entry->Request.Tier, Entry->Request.Account, Entry->Work);
  return Entry;
}

void FairQueue::charge(TierRank Tier, AccountId Account, double Work) {
  TierQueue &Queue = tierAt(Tier);
  AccountLane &Lane = laneAt(Queue, Account);
  const bool Active = !Lane.Entries.empty();
  if (Active)
    Queue.Active.erase({Lane.Virtual, Account});
  Lane.Virtual += Work / Lane.Weight;
  if (Active)
    Queue.Active.emplace(Lane.Virtual, Account);
}

void FairQueue::setWeight(AccountId Account, double Weight) {
  Weights[Account] = Weight;
  for (TierQueue &Queue : Tiers) {
    const auto Found = Queue.Lanes.find(Account);
    if (Found == Queue.Lanes.end())
      continue;
    if (!Found->second.Entries.empty())
      Queue.ActiveWeight += Weight - Found->second.Weight;
    Found->second.Weight = Weight;
  }
}

std::optional<TierRank> FairQueue::highestWaiting() const {
  for (std::size_t Rank = 0; Rank < MaxTiers; ++Rank)
    if (Tiers[Rank].Length != 0)
      return static_cast<TierRank>(Rank);
  return std::nullopt;
}

WorkAhead FairQueue::workAhead(TierRank Tier, AccountId Account,
                               TimePoint LatestStart) const {
  WorkAhead Ahead;
  for (std::size_t Rank = 0; Rank < number(Tier); ++Rank)
    Ahead.HigherTiers += Tiers[Rank].Work;
  const TierQueue &Queue = tierAt(Tier);
  const auto Found = Queue.Lanes.find(Account);
  const bool Known = Found != Queue.Lanes.end();
  const double Weight = Known ? Found->second.Weight : weightOf(Account);
  double Own = 0;
  double Debt = 0; // virtual time until the account's turn comes
  double Rivals = Queue.ActiveWeight;
  if (Known) {
    Own = Index.workUpTo(Found->second.Entries, LatestStart);
    Debt = std::max(0.0, Found->second.Virtual - Queue.Virtual);
    Rivals -= Found->second.Entries.empty() ? 0 : Weight;
  }
  // While the account is served Own, each rival gets its share of the same
  // virtual time, and no more than it has queued.
  const double Served = Own + Rivals * (Own / Weight + Debt);
  Ahead.SameTier = std::min(Queue.Work, Served);
  return Ahead;
}

std::vector<const Waiting *> FairQueue::heads(TierRank Tier,
                                              std::size_t Limit) const {
  std::vector<const Waiting *> Heads;
  const TierQueue &Queue = tierAt(Tier);
  for (const auto &[Virtual, Account] : Queue.Active) {
    if (Heads.size() == Limit)
      break;
    const AccountLane &Lane = Queue.Lanes.find(Account)->second;
    Heads.push_back(&Entries[Index.first(Lane.Entries)]);
  }
  return Heads;
}

std::vector<RequestKey> FairQueue::overdue(TimePoint Now) const {
  std::vector<RequestKey> Keys;
  for (const auto &[LatestStart, Place] : ByLatestStart) {
    if (LatestStart >= Now)
      break;
    Keys.push_back(Entries[Place].Request.Key);
  }
  return Keys;
}

std::vector<const Waiting *> FairQueue::entriesOf(TierRank Tier,
                                                  AccountId Account) const {
  std::vector<const Waiting *> Found;
  const TierQueue &Queue = tierAt(Tier);
  const auto Lane = Queue.Lanes.find(Account);
  if (Lane == Queue.Lanes.end())
    return Found;
  std::vector<std::uint32_t> Ids;
  Index.list(Lane->second.Entries, Ids);
  for (const std::uint32_t Id : Ids)
    Found.push_back(&Entries[Id]);
  return Found;
}

std::vector<AccountId> FairQueue::waitingAccounts(TierRank Tier) const {
  std::vector<AccountId> Accounts;
  for (const auto &[Virtual, Account] : tierAt(Tier).Active)
    Accounts.push_back(Account);
  return Accounts;
}

void FairQueue::forgetIdleAccounts() {
  for (TierQueue &Queue : Tiers)
    std::erase_if(Queue.Lanes, [&Queue](const auto &Item) {
      const AccountLane &Lane = Item.second;
      return Lane.Entries.empty() && Lane.Virtual <= Queue.Virtual;
    });
}

} // namespace marjorambay
