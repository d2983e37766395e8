/// Tests of the fair queue and of the deadline index that it uses.
#include "arbiter_fixture.h"

#include "marjorambay/coordination/fair_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace marjorambay {
namespace {

using namespace marjorambay::testing;

QueuedReservation waiting(std::uint64_t Id, std::string_view Account,
                          double Work, Duration LatestStart = seconds(60),
                          int Rank = 0) {
  QueuedReservation Entry;
  Entry.Request = reservation(Id, Rank, Account);
  Entry.Work = Work;
  Entry.LatestStart = at(LatestStart);
  Entry.GiveUpAt = Entry.LatestStart;
  Entry.Deadline = at(LatestStart + seconds(1));
  return Entry;
}

/// Dequeues \p Count entries as an arbiter would, and sums their work by
/// account.
std::map<AccountId, double> serve(FairQueue &Queue, int Count) {
  std::map<AccountId, double> Served;
  for (int Turn = 0; Turn < Count && Queue.size() != 0; ++Turn) {
    const auto Heads = Queue.heads(*Queue.highestTier(), 1);
    const QueuedReservation Entry = *Queue.dequeue(Heads[0]->Request.Key);
    Served[Entry.Request.Account] += Entry.Work;
  }
  return Served;
}

TEST_CASE("accounts share a tier by the cost of their requests") {
  FairQueue Queue;
  for (std::uint64_t Id = 0; Id < 400; ++Id)
    Queue.push(waiting(Id, "bulletins", 100));
  for (std::uint64_t Id = 400; Id < 4400; ++Id)
    Queue.push(waiting(Id, "confirmations", 1));

  SUBCASE("a request that costs a hundred times more is served that much less "
          "often") {
    auto Served = serve(Queue, 2020);
    CHECK(Served[account("bulletins")] ==
          doctest::Approx(Served[account("confirmations")]).epsilon(0.1));
  }
  SUBCASE("a weight of three gets three times as much") {
    Queue.setWeight(account("bulletins"), 3);
    auto Served = serve(Queue, 1030);
    CHECK(Served[account("bulletins")] ==
          doctest::Approx(3 * Served[account("confirmations")]).epsilon(0.15));
  }
  SUBCASE("an account that was idle can't claim service for that time") {
    serve(Queue, 1010);
    for (std::uint64_t Id = 5000; Id < 5100; ++Id)
      Queue.push(waiting(Id, "newcomer", 10));
    auto Served = serve(Queue, 400);
    CHECK(Served[account("newcomer")] <=
          Served[account("confirmations")] + 110);
  }
  SUBCASE("an underestimated request is charged afterwards") {
    Queue.charge(tier(0), account("confirmations"), 1000);
    auto Served = serve(Queue, 10);
    CHECK(Served[account("bulletins")] == 1000);
  }
  SUBCASE("a debt remains while the account is idle") {
    Queue.charge(tier(0), account("confirmations"), 1e6);
    Queue.removeIdleAccounts();
    CHECK(serve(Queue, 400)[account("confirmations")] == 0);
  }
}

TEST_CASE("the order of a queue") {
  FairQueue Queue;

  SUBCASE("higher tiers first, whatever the accounts have used") {
    Queue.push(waiting(1, "a", 1, seconds(1), 2));
    Queue.push(waiting(2, "b", 1000, seconds(60), 0));
    CHECK(Queue.highestTier() == tier(0));
    Queue.cancel(key(2));
    CHECK(Queue.highestTier() == tier(2));
    Queue.cancel(key(1));
    CHECK(!Queue.highestTier());
  }
  SUBCASE("within an account the earliest latest start first") {
    Queue.push(waiting(1, "a", 1, seconds(30)));
    Queue.push(waiting(2, "a", 1, seconds(10)));
    Queue.push(waiting(3, "a", 1, seconds(20)));
    CHECK(Queue.heads(tier(0), 8)[0]->Request.Key == key(2));
    Queue.cancel(key(2));
    CHECK(Queue.heads(tier(0), 8)[0]->Request.Key == key(3));
  }
  SUBCASE("overdue entries are returned") {
    Queue.push(waiting(1, "a", 1, seconds(30)));
    Queue.push(waiting(2, "b", 1, seconds(10)));
    CHECK(Queue.overdue(at(seconds(9))).empty());
    CHECK(Queue.overdue(at(seconds(11))) == std::vector{key(2)});
  }
  SUBCASE("the wait of a small account does not include a large one's queue") {
    for (std::uint64_t Id = 0; Id < 100; ++Id)
      Queue.push(waiting(Id, "large", 10));
    const auto Newcomer =
        Queue.workAhead(tier(0), account("small"), at(seconds(60)));
    const auto Next =
        Queue.workAhead(tier(0), account("large"), at(seconds(60)));
    CHECK(Newcomer.SameTier < 20);
    CHECK(Next.SameTier == 1000);
    CHECK(Queue.workAhead(tier(1), account("small"), at(seconds(60)))
              .HigherTiers == 1000);
  }
}

TEST_CASE("the deadline index agrees with a plain map") {
  DeadlineIndex Index;
  DeadlineIndex::Tree Tree;
  std::map<std::uint32_t, std::pair<TimePoint, double>> Plain;
  std::mt19937 Random(7);
  for (int Turn = 0; Turn < 3000; ++Turn) {
    const std::uint32_t Entry = Random() % 200;
    if (Plain.erase(Entry) != 0) {
      Index.erase(Tree, Entry);
    } else {
      const TimePoint Time = at(milliseconds(Random() % 100));
      const double Work = Random() % 50;
      Plain[Entry] = {Time, Work};
      Index.insert(Tree, Entry, Time, Work);
    }
    const TimePoint Until = at(milliseconds(Random() % 100));
    double Expected = 0;
    for (const auto &[Each, Item] : Plain)
      Expected += Item.first <= Until ? Item.second : 0;
    REQUIRE(Index.workUpTo(Tree, Until) == Expected);
    REQUIRE(Tree.empty() == Plain.empty());
  }
  std::vector<std::uint32_t> Listed;
  Index.list(Tree, Listed);
  REQUIRE(Listed.size() == Plain.size());
  for (std::size_t At = 1; At < Listed.size(); ++At)
    CHECK(Plain[Listed[At - 1]].first <= Plain[Listed[At]].first);
}

} // namespace
} // namespace marjorambay
