/// Strict tiers, weighted fair sharing between accounts, deadline order.
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
  Lane.VirtualTime = Queue.VirtualTime;
  Lane.Weight = weightOf(Account);
  return Queue.Lanes.emplace(Account, Lane).first->second;
}

std::uint32_t FairQueue::store(const QueuedReservation &Entry) {
  if (FreePlaces.empty()) {
    Entries.push_back(Entry);
    InUse.push_back(true);
    return static_cast<std::uint32_t>(Entries.size() - 1);
  }
  const std::uint32_t Place = FreePlaces.back();
  FreePlaces.pop_back();
  Entries[Place] = Entry;
  InUse[Place] = true;
  return Place;
}

void FairQueue::activate(TierQueue &Queue, AccountId Account,
                         AccountLane &Lane) {
  Lane.VirtualTime = std::max(Lane.VirtualTime, Queue.VirtualTime);
  Queue.Active.emplace(Lane.VirtualTime, Account);
  Queue.ActiveWeight += Lane.Weight;
}

void FairQueue::deactivate(TierQueue &Queue, AccountId Account,
                           AccountLane &Lane) {
  Queue.Active.erase({Lane.VirtualTime, Account});
  Queue.ActiveWeight -= Lane.Weight;
  // Removes rounding errors.
  if (Queue.Active.empty())
    Queue.ActiveWeight = 0;
}

void FairQueue::push(const QueuedReservation &Entry) {
  const AccountId Account = Entry.Request.Account;
  TierQueue &Queue = tierAt(Entry.Request.Tier);
  AccountLane &Lane = laneAt(Queue, Account);
  if (Lane.Entries.empty())
    activate(Queue, Account, Lane);
  const std::uint32_t Place = store(Entry);
  Index.insert(Lane.Entries, Place, Entry.LatestStart, Entry.Work);
  ByGiveUp.emplace(Entry.GiveUpAt, Place);
  Places.emplace(Entry.Request.Key, Place);
  Queue.Work += Entry.Work;
  ++Queue.Length;
}

std::optional<QueuedReservation> FairQueue::remove(const RequestKey &Key) {
  const auto Found = Places.find(Key);
  if (Found == Places.end())
    return std::nullopt;
  const std::uint32_t Place = Found->second;
  Places.erase(Found);
  QueuedReservation Entry = Entries[Place];
  TierQueue &Queue = tierAt(Entry.Request.Tier);
  AccountLane &Lane = laneAt(Queue, Entry.Request.Account);
  Index.erase(Lane.Entries, Place);
  ByGiveUp.erase({Entry.GiveUpAt, Place});
  FreePlaces.push_back(Place);
  InUse[Place] = false;
  --Queue.Length;
  Queue.Work = Queue.Length == 0 ? 0 : Queue.Work - Entry.Work;
  if (Lane.Entries.empty())
    deactivate(Queue, Entry.Request.Account, Lane);
  return Entry;
}

std::optional<QueuedReservation> FairQueue::cancel(const RequestKey &Key) {
  return remove(Key);
}

std::optional<QueuedReservation> FairQueue::dequeue(const RequestKey &Key) {
  std::optional<QueuedReservation> Entry = remove(Key);
  if (!Entry)
    return Entry;
  TierQueue &Queue = tierAt(Entry->Request.Tier);
  const AccountLane &Lane = laneAt(Queue, Entry->Request.Account);
  Queue.VirtualTime = std::max(Queue.VirtualTime, Lane.VirtualTime);
  charge(Entry->Request.Tier, Entry->Request.Account, Entry->Work);
  return Entry;
}

void FairQueue::charge(TierRank Tier, AccountId Account, double Work) {
  TierQueue &Queue = tierAt(Tier);
  AccountLane &Lane = laneAt(Queue, Account);
  const bool Active = !Lane.Entries.empty();
  if (Active)
    Queue.Active.erase({Lane.VirtualTime, Account});
  Lane.VirtualTime += Work / Lane.Weight;
  if (Active)
    Queue.Active.emplace(Lane.VirtualTime, Account);
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

std::optional<TierRank> FairQueue::highestTier() const {
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
  double Debt = 0; // virtual time until the account's turn
  double OtherWeight = Queue.ActiveWeight;
  if (Known) {
    Own = Index.workUpTo(Found->second.Entries, LatestStart);
    Debt = std::max(0.0, Found->second.VirtualTime - Queue.VirtualTime);
    OtherWeight -= Found->second.Entries.empty() ? 0 : Weight;
  }
  // While the account is served Own, each other account gets its share of the
  // same virtual time, but no more than it has queued.
  const double Served = Own + OtherWeight * (Own / Weight + Debt);
  Ahead.SameTier = std::min(Queue.Work, Served);
  return Ahead;
}

std::vector<const QueuedReservation *>
FairQueue::heads(TierRank Tier, std::size_t Limit) const {
  std::vector<const QueuedReservation *> Heads;
  const TierQueue &Queue = tierAt(Tier);
  for (const auto &[VirtualTime, Account] : Queue.Active) {
    if (Heads.size() == Limit)
      break;
    const AccountLane &Lane = Queue.Lanes.find(Account)->second;
    Heads.push_back(&Entries[Index.first(Lane.Entries)]);
  }
  return Heads;
}

std::vector<RequestKey> FairQueue::overdue(TimePoint Now) const {
  std::vector<RequestKey> Keys;
  for (const auto &[GiveUpAt, Place] : ByGiveUp) {
    if (GiveUpAt >= Now)
      break;
    Keys.push_back(Entries[Place].Request.Key);
  }
  return Keys;
}

std::vector<RequestKey> FairQueue::nextInRotation(std::size_t Count) {
  std::vector<RequestKey> Keys;
  const std::size_t Visits = std::min(Count, Entries.size());
  for (std::size_t Visit = 0; Visit < Visits; ++Visit) {
    Rotation = (Rotation + 1) % Entries.size();
    if (InUse[Rotation])
      Keys.push_back(Entries[Rotation].Request.Key);
  }
  return Keys;
}

const QueuedReservation *FairQueue::find(const RequestKey &Key) const {
  const auto Found = Places.find(Key);
  return Found == Places.end() ? nullptr : &Entries[Found->second];
}

void FairQueue::removeIdleAccounts() {
  for (TierQueue &Queue : Tiers)
    std::erase_if(Queue.Lanes, [&Queue](const auto &Item) {
      const AccountLane &Lane = Item.second;
      return Lane.Entries.empty() && Lane.VirtualTime <= Queue.VirtualTime;
    });
}

} // namespace marjorambay
