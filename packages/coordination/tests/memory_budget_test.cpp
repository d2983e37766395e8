/// Tests of reservations for request bodies.
#include "marjorambay/coordination/memory_budget.h"

#include <doctest/doctest.h>

#include <numeric>

namespace marjorambay {
namespace {

constexpr std::uint64_t Long = 4 << 20;
constexpr std::uint64_t Short = 64 << 10;
constexpr std::uint64_t LimitBytes = 110'000'000;

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

struct BudgetFixture {
  MemoryBudget Budget{LimitBytes};
  std::uint64_t LastId = 0;

  BodyDecision request(std::uint64_t Bytes, TimePoint Now = at(seconds(0)),
                       TierRank Tier = TierRank{0},
                       Duration TimeLeft = seconds(60)) {
    return Budget.request({BodyId{++LastId}, Bytes, Tier, TimeLeft}, Now);
  }
  /// Returns the number of admitted bodies.
  std::uint64_t fillWithLong() {
    while (request(Long) == BodyDecision::Admitted) {
    }
    Budget.release(BodyId{LastId});
    return LastId - 1;
  }
};

// Guards against owners whose bounds together exceed the limit of the process.
TEST_CASE("the shares of all owners stay below the limit") {
  for (const std::uint64_t Megabytes : {88, 110, 160, 260, 512, 4096}) {
    const MemoryShares Shares = divideMemory(Megabytes * 1'000'000);
    CHECK(std::accumulate(Shares.begin(), Shares.end(), std::uint64_t{0}) <
          Megabytes * 1'000'000);
    for (const std::uint64_t Share : Shares)
      CHECK(Share > 0);
  }
  CHECK(divideMemory(0) == divideMemory(128'000'000));
}

// Guards against long bodies that wait behind one that can never be read.
TEST_CASE_FIXTURE(BudgetFixture, "a body longer than the share of bodies") {
  const std::uint64_t TooLong = Budget.share(MemoryOwner::RequestBodies) + 1;
  CHECK(request(TooLong) == BodyDecision::Refused);
  CHECK(request(Long) == BodyDecision::Admitted);
}

// Guards against bodies that are read without a bound on all of them.
TEST_CASE_FIXTURE(BudgetFixture, "long bodies beyond their share") {
  const std::uint64_t Admitted = fillWithLong();
  CHECK(Admitted >= 3);
  CHECK(Budget.heldBodies() <= Budget.share(MemoryOwner::RequestBodies));
  SUBCASE("leave room for short ones") {
    CHECK(request(Short) == BodyDecision::Admitted);
  }
  SUBCASE("wait until one is released") {
    CHECK(request(Long) == BodyDecision::Waiting);
    CHECK(Budget.review(at(seconds(1))).Admitted.empty());
    Budget.release(BodyId{1});
    const auto Changes = Budget.review(at(seconds(1)));
    REQUIRE(Changes.Admitted.size() == 1);
    CHECK(Changes.Admitted[0] == BodyId{LastId});
    CHECK(Budget.waiting() == 0);
  }
  SUBCASE("are refused after the longest wait") {
    CHECK(request(Long) == BodyDecision::Waiting);
    CHECK(Budget.review(at(milliseconds(2999))).Refused.empty());
    CHECK(Budget.review(at(seconds(3))).Refused.size() == 1);
    CHECK(Budget.refused() == 1);
  }
  SUBCASE("wait for no more than half of their caller's time") {
    CHECK(request(Long, at(seconds(0)), TierRank{0}, seconds(2)) ==
          BodyDecision::Waiting);
    CHECK(Budget.review(at(seconds(1))).Refused.size() == 1);
  }
  SUBCASE("are not decided on after their caller has left") {
    CHECK(request(Long) == BodyDecision::Waiting);
    Budget.release(BodyId{LastId});
    Budget.release(BodyId{1});
    CHECK(Budget.review(at(seconds(1))).Admitted.empty());
  }
  SUBCASE("are refused at once when the host stops") {
    CHECK(request(Long) == BodyDecision::Waiting);
    Budget.stopWaiting();
    CHECK(Budget.review(at(seconds(0))).Refused.size() == 1);
    CHECK(request(Long) == BodyDecision::Refused);
  }
}

TEST_CASE_FIXTURE(BudgetFixture, "waiting bodies") {
  fillWithLong();
  SUBCASE("of higher tiers go first") {
    request(Long, at(seconds(0)), TierRank{3});
    const BodyId Low{LastId};
    request(Long, at(milliseconds(10)), TierRank{0});
    const BodyId High{LastId};
    Budget.release(BodyId{1});
    const auto Changes = Budget.review(at(milliseconds(20)));
    REQUIRE(Changes.Admitted.size() == 1);
    CHECK(Changes.Admitted[0] == High);
    CHECK(Budget.waiting() == 1);
    Budget.release(BodyId{2});
    CHECK(Budget.review(at(milliseconds(30))).Admitted[0] == Low);
  }
  // Guards against the receive buffers of waiting callers, which count as
  // memory of the process.
  SUBCASE("have a share of their own, beyond which the last are refused") {
    const std::uint64_t Before = LastId;
    while (request(Long, at(seconds(0)), TierRank{3}) == BodyDecision::Waiting)
      REQUIRE(LastId < Before + 1000);
    CHECK(Budget.waitingBytes() <= Budget.share(MemoryOwner::WaitingRequests));
    const std::size_t Waiting = Budget.waiting();
    CHECK(request(Long, at(seconds(0)), TierRank{0}) == BodyDecision::Waiting);
    CHECK(Budget.waiting() == Waiting);
    const auto Changes = Budget.review(at(seconds(0)));
    REQUIRE(Changes.Refused.size() == 1);
    CHECK(Changes.Refused[0] != BodyId{LastId});
  }
}

TEST_CASE_FIXTURE(BudgetFixture, "a body of unknown length") {
  CHECK(request(Short) == BodyDecision::Admitted);
  const BodyId Growing{LastId};
  CHECK(Budget.request({Growing, 2 * Short}, at(seconds(0))) ==
        BodyDecision::Admitted);
  CHECK(Budget.heldBodies() == 2 * Short);
  SUBCASE("keeps what it has while it waits for more") {
    fillWithLong();
    CHECK(Budget.request({Growing, Long}, at(seconds(0))) ==
          BodyDecision::Waiting);
    Budget.release(BodyId{2});
    CHECK(Budget.review(at(seconds(1))).Admitted.size() == 1);
  }
  Budget.release(Growing);
  Budget.release(Growing);
}

} // namespace
} // namespace marjorambay
