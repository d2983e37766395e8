/// Tests of rate limits over the whole fleet.
#include "marjorambay/coordination/account_ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>

namespace marjorambay {
namespace {

constexpr double Rate = 1000;  // tokens a second
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

/// Hosts that admit one account, and hubs that hear some of them.
struct Fleet {
  static constexpr std::size_t Hosts = 8;
  ForwardTable Limits = limits();
  std::array<AccountMeter, Hosts> Meters;
  std::array<AccountLedger, 2> Hubs;
  std::deque<std::pair<TimePoint, double>> Admitted{};
  bool Cut = false; ///< hosts 0 to 3 hear hub 0 only, the others hub 1 only

  static HostId host(std::size_t Place) {
    return HostId{static_cast<std::uint64_t>(Place + 1)};
  }

  void beat(TimePoint Now) {
    for (std::size_t Hub = 0; Hub < Hubs.size(); ++Hub) {
      Hubs[Hub].setReachableFraction(Cut ? 0.5 : 1.0);
      for (std::size_t Each = 0; Each < Hosts; ++Each) {
        const bool Hears = !Cut || (Each < Hosts / 2) == (Hub == 0);
        if (!Hears || (!Cut && Hub == 1))
          continue;
        Hubs[Hub].recordUsage(host(Each), IncarnationId{1},
                              Meters[Each].collectUsage(), Limits, Now);
        for (const AccountLevel &Level :
             Hubs[Hub].levels(host(Each), Limits, Now))
          Meters[Each].updateLevel(Level, Now);
      }
    }
  }

  /// Asks for \p PerSecond over all hosts until \p End.
  void ask(double PerSecond, TimePoint Begin, TimePoint End, bool Beats) {
    constexpr Duration Step = milliseconds(10);
    constexpr Duration Beat = milliseconds(250);
    const ForwardAccount &Account = Limits.config().Accounts[0];
    const double Each = PerSecond * toSeconds(Step) / Hosts;
    TimePoint NextBeat = Begin;
    for (TimePoint Now = Begin; Now < End; Now += Step) {
      const bool Early = std::any_of(Meters.begin(), Meters.end(),
                                     [this](const AccountMeter &One) {
                                       return One.reportDue(Limits, Hosts);
                                     });
      if (Beats && (Now >= NextBeat || Early)) {
        beat(Now);
        NextBeat = Now + Beat;
      }
      for (AccountMeter &Meter : Meters)
        if (!Meter.admit(Account, Each, Hosts, Now))
          Admitted.emplace_back(Now, Each);
    }
  }

  /// The most that was admitted within any 8 s.
  double mostInWindow() const {
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

constexpr double Owed = 8 * Rate + Burst; // in a window of 8 s

TEST_CASE("an account that asks for eight times its rate (hot tenant)") {
  Fleet All;
  All.ask(8 * Rate, at(seconds(0)), at(seconds(20)), true);
  SUBCASE("gets its rate, over all hosts together") {
    CHECK(All.mostInWindow() < Owed * 1.1 + 0.5 * Rate);
    CHECK(All.sum() > 0.9 * 20 * Rate);
  }
}

TEST_CASE("an account below its rate is never refused") {
  Fleet All;
  All.ask(0.1 * Rate, at(seconds(0)), at(seconds(1)), true);
  const double Before = All.sum();
  All.ask(0.9 * Rate, at(seconds(1)), at(seconds(11)), true);
  CHECK(All.sum() - Before > 0.999 * 0.9 * 10 * Rate);
}

TEST_CASE("a fleet that is cut in two halves") {
  Fleet All;
  All.ask(8 * Rate, at(seconds(0)), at(seconds(10)), true);
  All.Cut = true;
  All.Admitted.clear();
  All.ask(8 * Rate, at(seconds(10)), at(seconds(30)), true);
  SUBCASE("admits one rate, not two") {
    CHECK(All.mostInWindow() < Owed * 1.25);
  }
}

TEST_CASE("hosts that hear no hub") {
  Fleet All;
  All.ask(8 * Rate, at(seconds(0)), at(seconds(20)), false);
  SUBCASE("take their part of the rate each") {
    CHECK(All.mostInWindow() < Owed * 1.1);
    CHECK(All.sum() > 0.9 * 20 * Rate);
  }
}

TEST_CASE("hosts that all start anew together (herd restart)") {
  Fleet All;
  SUBCASE("admit what is owed before they hear of a hub") {
    All.ask(0.9 * Rate, at(seconds(0)), at(milliseconds(250)), false);
    CHECK(All.sum() > 0.99 * 0.9 * 0.25 * Rate);
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
  Hub.recordUsage(Host, IncarnationId{1}, {{Hot, 5000}}, Limits,
                  at(seconds(0)));
  const double Start = Level(at(seconds(0)));

  SUBCASE("is charged from zero again") {
    Hub.recordUsage(Host, IncarnationId{2}, {{Hot, 100}}, Limits,
                    at(seconds(0)));
    CHECK(Level(at(seconds(0))) == doctest::Approx(Start - 100));
    SUBCASE("and a late datagram of its last life changes nothing") {
      Hub.recordUsage(Host, IncarnationId{1}, {{Hot, 5500}}, Limits,
                      at(seconds(0)));
      CHECK(Level(at(seconds(0))) == doctest::Approx(Start - 100));
    }
  }
}

} // namespace
} // namespace marjorambay
