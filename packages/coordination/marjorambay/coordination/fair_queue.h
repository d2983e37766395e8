/// Queue of reservations that wait for a slot. Tiers are strict. Within a tier,
/// client accounts share by weighted virtual token counters. Within an account,
/// the entry with the earliest latest start goes first.
///
/// push, dequeue and cancel take time logarithmic in the length of the queue.
#ifndef MARJORAMBAY_COORDINATION_FAIR_QUEUE_H
#define MARJORAMBAY_COORDINATION_FAIR_QUEUE_H

#include "marjorambay/coordination/deadline_index.h"
#include "marjorambay/coordination/requests.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambay {

/// A queued reservation, with the values computed on its arrival.
struct QueuedReservation {
  Reservation Request{};
  TokenCost Cost{}; ///< expected cost
  /// Few requests cost less; if even this cost exceeds the time left, the
  /// deadline cannot be met.
  TokenCost LeastCost{};
  /// Few requests cost more; this cost must fit before the deadline.
  TokenCost SafeCost{};
  double Work = 0; ///< expected cost in decode tokens, charged to the account
  TimePoint Queued{};   ///< time of arrival
  TimePoint Deadline{}; ///< answers after this time are of no use
  /// A grant after this time cannot meet the deadline or the objective.
  TimePoint LatestStart{};
  /// Until when the request may wait; LatestStart, or later if a late answer is
  /// of use.
  TimePoint GiveUpAt{};
};

/// Work that will be served before a reservation, in decode tokens.
struct WorkAhead {
  double HigherTiers = 0;
  /// Work of its own account, and of other accounts by fair share.
  double SameTier = 0;
};

/// Queue of one pool. Entries are identified by the request's key.
class FairQueue {
public:
  std::size_t size() const { return Places.size(); }
  std::size_t size(TierRank Tier) const { return tierAt(Tier).Length; }
  double work(TierRank Tier) const { return tierAt(Tier).Work; }
  bool contains(const RequestKey &Key) const { return Places.count(Key) != 0; }

  /// Adds \p Entry. An account that was idle starts at the tier's virtual time,
  /// so that it cannot claim service for the time it was idle.
  void push(const QueuedReservation &Entry);

  /// Removes the entry of \p Key without charging its account.
  std::optional<QueuedReservation> cancel(const RequestKey &Key);

  /// Removes the entry of \p Key and charges its work to its account.
  std::optional<QueuedReservation> dequeue(const RequestKey &Key);

  /// Adds \p Work, which may be negative, to the usage of an account.
  void charge(TierRank Tier, AccountId Account, double Work);

  /// Sets the weight for future charges.
  void setWeight(AccountId Account, double Weight);

  /// Returns the highest tier that is not empty.
  std::optional<TierRank> highestTier() const;

  /// Returns the work that will be served before a reservation of \p Account
  /// with \p LatestStart that is queued or about to be.
  WorkAhead workAhead(TierRank Tier, AccountId Account,
                      TimePoint LatestStart) const;

  /// Returns the most urgent entry of each of the first \p Limit accounts of
  /// \p Tier, in the order of their turns.
  std::vector<const QueuedReservation *> heads(TierRank Tier,
                                               std::size_t Limit) const;

  /// Returns the keys of entries that may wait no longer.
  std::vector<RequestKey> overdue(TimePoint Now) const;

  /// Returns the keys of the next \p Count places in a rotation over all
  /// entries.
  std::vector<RequestKey> nextInRotation(std::size_t Count);

  /// Returns the entry of \p Key, or nullptr; valid until the next change of
  /// the queue.
  const QueuedReservation *find(const RequestKey &Key) const;

  /// Returns the keys of all entries that satisfy \p Matches.
  template <typename Predicate>
  std::vector<RequestKey> keysWhere(const Predicate &Matches) const {
    std::vector<RequestKey> Keys;
    for (const auto &[Key, Place] : Places)
      if (Matches(Entries[Place]))
        Keys.push_back(Key);
    return Keys;
  }

  /// Removes idle accounts whose virtual time is not ahead of their tier's.
  void removeIdleAccounts();

private:
  struct AccountLane {
    double VirtualTime = 0; ///< work used, divided by the account's weight
    double Weight = 1.0;
    DeadlineIndex::Tree Entries{};
  };
  struct TierQueue {
    std::unordered_map<AccountId, AccountLane> Lanes{};
    /// Lanes that are not empty, by virtual time.
    std::set<std::pair<double, AccountId>> Active{};
    /// Virtual time of the account that was served last.
    double VirtualTime = 0;
    double ActiveWeight = 0;
    double Work = 0;
    std::size_t Length = 0;
  };

  const TierQueue &tierAt(TierRank Tier) const {
    return Tiers[number(Tier) % MaxTiers];
  }
  TierQueue &tierAt(TierRank Tier) { return Tiers[number(Tier) % MaxTiers]; }
  AccountLane &laneAt(TierQueue &Queue, AccountId Account);
  double weightOf(AccountId Account) const;
  std::uint32_t store(const QueuedReservation &Entry);
  void activate(TierQueue &Queue, AccountId Account, AccountLane &Lane);
  void deactivate(TierQueue &Queue, AccountId Account, AccountLane &Lane);
  std::optional<QueuedReservation> remove(const RequestKey &Key);

  std::array<TierQueue, MaxTiers> Tiers{};
  std::unordered_map<AccountId, double> Weights{};
  std::vector<QueuedReservation> Entries{};
  std::vector<bool> InUse{}; ///< which places of Entries are in use
  std::vector<std::uint32_t> FreePlaces{};
  std::size_t Rotation = 0;
  std::unordered_map<RequestKey, std::uint32_t> Places{};
  DeadlineIndex Index{};
  std::set<std::pair<TimePoint, std::uint32_t>> ByGiveUp{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_FAIR_QUEUE_H
