/// Reservations that wait for a slot: strict tiers; within a tier, client
/// accounts by weighted virtual token counters; within an account, the latest
/// start that still meets the deadline first.
///
/// Costs: push, take and cancel are logarithmic in the length of the queue.
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

/// A reservation in the queue, with what was worked out on its arrival.
struct Waiting {
  Reservation Request{};
  TokenCost Cost{};      ///< expected
  TokenCost LeastCost{}; ///< few are cheaper; what exceeds it is hopeless
  TokenCost SafeCost{};  ///< few are dearer; must fit before the deadline
  double Work = 0;       ///< the cost as decode tokens; charged to the account
  TimePoint Queued{};    ///< arrival
  TimePoint Deadline{};  ///< answers after this are of no use
  TimePoint LatestStart{}; ///< a grant after this can't meet the deadline
};

/// Work that is served before a reservation, in decode tokens.
struct WorkAhead {
  double HigherTiers = 0;
  double SameTier = 0; ///< by its fair share: other accounts and its own
};

/// Queue of one pool. Entries are addressed by their request's key.
class FairQueue {
public:
  std::size_t size() const { return Places.size(); }
  std::size_t size(TierRank Tier) const { return tierAt(Tier).Length; }
  double work(TierRank Tier) const { return tierAt(Tier).Work; }
  bool contains(const RequestKey &Key) const { return Places.count(Key) != 0; }

  /// Adds \p Entry. An account that comes back after idling starts at the
  /// tier's virtual time: it can't claim service for the time it was away.
  void push(const Waiting &Entry);

  /// Removes the entry of \p Key without a charge.
  std::optional<Waiting> cancel(const RequestKey &Key);

  /// Removes the entry of \p Key, and charges its work to its account.
  std::optional<Waiting> take(const RequestKey &Key);

  /// Adds \p Work, which may be negative, to what an account has used.
  void charge(TierRank Tier, AccountId Account, double Work);

  /// Takes effect for what is charged from now on.
  void setWeight(AccountId Account, double Weight);

  /// Returns the highest tier in which something waits.
  std::optional<TierRank> highestWaiting() const;

  /// Returns the work that comes before a reservation of \p Account with
  /// \p LatestStart, queued or about to be.
  WorkAhead workAhead(TierRank Tier, AccountId Account,
                      TimePoint LatestStart) const;

  /// Returns the most urgent entry of each of the first \p Limit accounts of
  /// \p Tier, in the order in which they are due.
  std::vector<const Waiting *> heads(TierRank Tier, std::size_t Limit) const;

  /// Returns the keys whose latest start is before \p Now.
  std::vector<RequestKey> overdue(TimePoint Now) const;

  /// Returns the entries of an account in the order of service.
  std::vector<const Waiting *> entriesOf(TierRank Tier,
                                         AccountId Account) const;

  /// Returns the accounts with entries in \p Tier, in the order of service.
  std::vector<AccountId> waitingAccounts(TierRank Tier) const;

  /// Returns the keys of all entries that \p Matches accepts.
  template <typename Predicate>
  std::vector<RequestKey> keysWhere(const Predicate &Matches) const {
    std::vector<RequestKey> Keys;
    for (const auto &[Key, Place] : Places)
      if (Matches(Entries[Place]))
        Keys.push_back(Key);
    return Keys;
  }

  /// Forgets idle accounts that owe nothing.
  void forgetIdleAccounts();

private:
  struct AccountLane {
    double Virtual = 0; ///< work used, divided by the account's weight
    double Weight = 1.0;
    DeadlineIndex::Tree Entries{};
  };
  struct TierQueue {
    std::unordered_map<AccountId, AccountLane> Lanes{};
    std::set<std::pair<double, AccountId>> Active{}; ///< lanes with entries
    double Virtual = 0; ///< of the account that was served last
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
  std::uint32_t place(const Waiting &Entry);
  void activate(TierQueue &Queue, AccountId Account, AccountLane &Lane);
  void deactivate(TierQueue &Queue, AccountId Account, AccountLane &Lane);
  std::optional<Waiting> remove(const RequestKey &Key);

  std::array<TierQueue, MaxTiers> Tiers{};
  std::unordered_map<AccountId, double> Weights{};
  std::vector<Waiting> Entries{};
  std::vector<std::uint32_t> Free{};
  std::unordered_map<RequestKey, std::uint32_t> Places{};
  DeadlineIndex Index{};
  std::set<std::pair<TimePoint, std::uint32_t>> ByLatestStart{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_FAIR_QUEUE_H
