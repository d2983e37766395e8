/// Tests of fleet-wide rate limits of client accounts.
#include "marjorambay/coordination/account_ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

namespace marjorambay {
namespace {

constexpr double Rate = 1000;  // tokens per second
constexpr double Burst = 1000; // tokens

TimePoint at(Duration SinceStart) { return TimePoint(hours(1)) + SinceStart; }

ForwardTable limits() {
  ForwardConfig Config;
  ForwardAccount Account;
  Account.Name = "hot";
  Account.Id = idOf<AccountId>("hot");
  Account.Keys = {"key"};
  Account.RatePerSecond = Rate;
  Account.Burst = Burst;
  Account.CountsTokens = true;
  Config.Accounts = {Account};
  return ForwardTable(Config);
}

/// Hosts that admit requests of one account, and the hubs that they report to.
struct Fleet {
  explicit Fleet(std::size_t Hosts = 8) : Hosts(Hosts), Meters(Hosts) {}

  std::size_t Hosts;
  ForwardTable Limits = limits();
  TimePoint StartedAt = at(seconds(0));
  std::vector<AccountMeter> Meters;
  std::array<AccountLedger, 3> Hubs;
  std::deque<std::pair<TimePoint, double>> Admitted{};
  /// Partitioned: hosts 0 to 3 reach hub 0 only, the others hub 1 only.
  bool Partitioned = false;
  std::size_t HubsInUse = 1; ///< unless partitioned
  std::size_t Heartbeats = 0;
  double RequestCost = 0; ///< of one request; 0: shares of the demand
  double Unsent = 0;      ///< demand that is not a whole request yet
  std::size_t NextHost = 0;

  static HostId host(std::size_t Place) {
    return HostId{static_cast<std::uint64_t>(Place + 1)};
  }

  /// All hosts and hubs lose what they know.
  void restart(TimePoint Now) {
    StartedAt = Now;
    Meters.assign(Hosts, AccountMeter());
    Hubs.fill(AccountLedger());
  }

  void sendHeartbeats(TimePoint Now) {
    const std::size_t Answering = Partitioned ? 2 : HubsInUse;
    ++Heartbeats; // each hub in turn answers last
    for (std::size_t Place = 0; Place < Answering; ++Place) {
      const std::size_t Hub = (Place + Heartbeats) % Answering;
      Hubs[Hub].setReachableFraction(Partitioned ? 0.5 : 1.0);
      for (std::size_t Host = 0; Host < Hosts; ++Host) {
        const bool Reaches = !Partitioned || (Host < Hosts / 2) == (Hub == 0);
        if (!Reaches)
          continue;
        Hubs[Hub].recordUsage(host(Host), IncarnationId{1}, Now - StartedAt,
                              Meters[Host].collectUsage(Limits, Now), Limits,
                              Now);
        for (const AccountLevel &Level :
             Hubs[Hub].levels(host(Host), Limits, Now))
          Meters[Host].updateLevel(Level, Now);
      }
    }
  }

  /// Requests \p PerSecond over all hosts from \p Begin to \p End.
  void request(double PerSecond, TimePoint Begin, TimePoint End,
               bool WithHeartbeats) {
    constexpr Duration Step = milliseconds(10);
    constexpr Duration HeartbeatInterval = milliseconds(250);
    const ForwardAccount &Account = Limits.config().Accounts[0];
    const double Demand = PerSecond * toSeconds(Step);
    TimePoint NextHeartbeat = Begin;
    for (TimePoint Now = Begin; Now < End; Now += Step) {
      const bool Early = std::any_of(Meters.begin(), Meters.end(),
                                     [this](const AccountMeter &Meter) {
                                       return Meter.reportDue(Limits, Hosts);
                                     });
      if (WithHeartbeats && (Now >= NextHeartbeat || Early)) {
        sendHeartbeats(Now);
        NextHeartbeat = Now + HeartbeatInterval;
      }
      const double Cost = RequestCost > 0 ? RequestCost : Demand / Hosts;
      for (Unsent += Demand; Unsent > Cost / 2; Unsent -= Cost) {
        NextHost = (NextHost + 1) % Hosts;
        if (!Meters[NextHost].admit(Account, Cost, Hosts, Now))
          Admitted.emplace_back(Now, Cost);
      }
    }
  }

  /// Returns the most that was admitted within any 8 s.
  double maxInWindow() const {
    double Most = 0;
    double Sum = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Admitted.size(); ++Last) {
      Sum += Admitted[Last].second;
      while (Admitted[Last].first - Admitted[First].first >= seconds(8))
        Sum -= Admitted[First++].second;
      Most = std::max(Most, Sum);
    }
    return Most;
  }
  double sum() const {
    double Sum = 0;
    for (const auto &[When, Cost] : Admitted)
      Sum += Cost;
    return Sum;
  }
};

constexpr double AllowedInWindow = 8 * Rate + Burst; // in a window of 8 s

TEST_CASE("an account that requests eight times its rate (hot tenant)") {
  Fleet All;
  All.request(8 * Rate, at(seconds(0)), at(seconds(20)), true);
  SUBCASE("gets its rate, over all hosts together") {
    CHECK(All.maxInWindow() < AllowedInWindow * 1.1 + 0.5 * Rate);
    CHECK(All.sum() > 0.9 * 20 * Rate);
  }
}

TEST_CASE("an account below its rate is never refused") {
  Fleet All;
  All.request(0.1 * Rate, at(seconds(0)), at(seconds(1)), true);
  const double Before = All.sum();
  All.request(0.9 * Rate, at(seconds(1)), at(seconds(11)), true);
  CHECK(All.sum() - Before > 0.999 * 0.9 * 10 * Rate);
}

TEST_CASE("a fleet that is partitioned into two halves") {
  Fleet All;
  All.request(8 * Rate, at(seconds(0)), at(seconds(10)), true);
  All.Partitioned = true;
  All.Admitted.clear();
  All.request(8 * Rate, at(seconds(10)), at(seconds(30)), true);
  SUBCASE("admits one rate, not two") {
    CHECK(All.maxInWindow() < AllowedInWindow * 1.25);
  }
}

TEST_CASE("hosts that reach no hub") {
  Fleet All;
  All.request(8 * Rate, at(seconds(0)), at(seconds(20)), false);
  SUBCASE("each admit their part of the rate") {
    CHECK(All.maxInWindow() < AllowedInWindow * 1.1);
    CHECK(All.sum() > 0.9 * 20 * Rate);
  }
}

TEST_CASE("hosts that all restart at the same time (herd restart)") {
  Fleet All;
  SUBCASE("admit the account's rate before a hub's first message") {
    All.request(0.9 * Rate, at(seconds(0)), at(milliseconds(250)), false);
    CHECK(All.sum() > 0.99 * 0.9 * 0.25 * Rate);
  }
}

TEST_CASE("hosts that all restart while an account is over its rate") {
  // Each of many hosts may admit a request of 1% of the rate before it hears
  // from a hub.
  Fleet All(200);
  All.RequestCost = 0.01 * Rate;
  All.request(0.1 * Rate, at(seconds(0)), at(seconds(4)), true);
  All.request(8 * Rate, at(seconds(4)), at(seconds(8)), true);
  All.restart(at(seconds(9)));
  All.request(8 * Rate, at(seconds(9)), at(milliseconds(9250)), false);
  All.request(8 * Rate, at(milliseconds(9250)), at(seconds(20)), true);
  SUBCASE("do not admit the account's burst anew") {
    CHECK(All.maxInWindow() < AllowedInWindow * 1.1);
  }
  SUBCASE("go on at the account's rate") {
    CHECK(All.sum() > 0.9 * (4 + 11) * Rate);
  }
}

// Guards against usage over an account's limit: each hub that restarted granted
// half of the burst again.
TEST_CASE("hubs that restart in turn while an account is over its rate") {
  Fleet All;
  All.HubsInUse = 3;
  All.request(8 * Rate, at(seconds(0)), at(seconds(10)), true);
  for (int Second = 10; Second < 22; ++Second) {
    All.Hubs[Second % 3] = AccountLedger();
    All.request(8 * Rate, at(seconds(Second)), at(seconds(Second + 1)), true);
  }
  SUBCASE("do not admit the account's burst anew") {
    CHECK(All.maxInWindow() < AllowedInWindow * 1.1);
  }
  SUBCASE("go on at the account's rate") {
    CHECK(All.sum() > 0.95 * 22 * Rate);
  }
}

TEST_CASE("a host that reports to a hub for the first time (hub failover)") {
  const ForwardTable Limits = limits();
  AccountLedger Hub;
  const AccountId Hot = idOf<AccountId>("hot");
  const auto Level = [&](TimePoint Now) {
    return Hub.levels(HostId{1}, Limits, Now)[0].Level;
  };
  // The hub has had a bucket since the fleet started.
  Hub.recordUsage(HostId{1}, IncarnationId{1}, milliseconds(250), {{Hot, 0}},
                  Limits, at(seconds(0)));
  const TimePoint Failover = at(minutes(5));
  const double Before = Level(Failover);

  SUBCASE("is not charged for all that it used at another hub") {
    Hub.recordUsage(HostId{2}, IncarnationId{1}, minutes(5),
                    {{Hot, 300 * Rate}}, Limits, Failover);
    CHECK(Level(Failover) == doctest::Approx(Before));
  }
  SUBCASE("is charged if it has just started") {
    Hub.recordUsage(HostId{2}, IncarnationId{1}, milliseconds(500),
                    {{Hot, 100}}, Limits, Failover);
    CHECK(Level(Failover) == doctest::Approx(Before - 100));
  }
}

TEST_CASE("a host that restarts") {
  const ForwardTable Limits = limits();
  AccountLedger Hub;
  const HostId Host{1};
  const AccountId Hot = idOf<AccountId>("hot");
  const auto Level = [&](TimePoint Now) {
    return Hub.levels(Host, Limits, Now)[0].Level;
  };
  Hub.recordUsage(Host, IncarnationId{1}, hours(1), {{Hot, 5000}}, Limits,
                  at(seconds(0)));
  const double Start = Level(at(seconds(0)));

  SUBCASE("is charged from zero again") {
    Hub.recordUsage(Host, IncarnationId{2}, milliseconds(200), {{Hot, 100}},
                    Limits, at(seconds(0)));
    CHECK(Level(at(seconds(0))) == doctest::Approx(Start - 100));
    SUBCASE("and a late datagram of its last incarnation changes nothing") {
      Hub.recordUsage(Host, IncarnationId{1}, hours(1), {{Hot, 5500}}, Limits,
                      at(seconds(0)));
      CHECK(Level(at(seconds(0))) == doctest::Approx(Start - 100));
    }
  }
}

} // namespace
} // namespace marjorambay
