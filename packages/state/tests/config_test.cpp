/// Tests of the configuration checks and of the configuration index.
#include "marjorambay/state/config_index.h"
#include "marjorambay/state/config_rules.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

FleetConfig goodConfig() {
  FleetConfig Config;
  Config.Rev = Revision(3);
  Config.Tiers = {{"sheet", TierRank(0)}, {"bulk", TierRank(1)}};
  Config.Accounts = {{"himal", std::string(64, 'a'), "sheet"},
                     {"breton", std::string(64, 'b'), "bulk"}};
  Config.Pools = {{"models", PoolKind::Model, "v1", {"small"}},
                  {"ballots", PoolKind::Service}};
  Config.Targets = {{"w1", "127.0.0.1:24001", "models", "z1", "v1"},
                    {"w2", "127.0.0.1:24002", "models", "z2", "v1"},
                    {"w3", "127.0.0.1:24003", "models", "z1", "v1"}};
  Config.Routes = {
      {"chat", "/v1/", RouteKind::ChatCompletions, "models"},
      {"vote", "/v1/vote", RouteKind::NonIdempotentCall, "ballots"}};
  Config.Exceptions = {{ScopeKind::Zone, "z1", "target_fill_seconds", "4",
                        "old engines", "anna"},
                       {ScopeKind::Target, "w3", "target_fill_seconds", "1",
                        "shares its memory", "yann"}};
  return Config;
}

/// Returns the message of \p Config, which must have exactly one problem.
std::string onlyProblemOf(const FleetConfig &Config) {
  const auto Problems = findConfigProblems(Config);
  REQUIRE(Problems.size() == 1);
  return Problems[0];
}

TEST_CASE("an invalid configuration is rejected") {
  FleetConfig Config = goodConfig();
  REQUIRE(ok(checkFleetConfig(Config)));

  SUBCASE("two entries with the same name") {
    Config.Tiers.push_back({"sheet", TierRank(2)});
    CHECK(onlyProblemOf(Config) == "tier \"sheet\": name is used twice");
  }
  SUBCASE("two tiers with the same rank") {
    Config.Tiers[1].Rank = TierRank(0);
    CHECK(onlyProblemOf(Config) == "tier \"bulk\": another tier has this rank");
  }
  SUBCASE("a reference to an entry that doesn't exist") {
    Config.Accounts[0].Tier = "gold";
    CHECK(onlyProblemOf(Config) ==
          "account \"himal\": there is no tier \"gold\"");
  }
  SUBCASE("an address that is a host name") {
    Config.Targets[0].Address = "worker-1:8000";
    CHECK(onlyProblemOf(Config) ==
          "target \"w1\": address must be a numeric IP address with a port");
  }
  SUBCASE("a route whose kind doesn't match its pool") {
    Config.Routes[1].Pool = "models";
    CHECK(findConfigProblems(Config).size() == 1);
  }
  SUBCASE("an API key that is not hashed") {
    Config.Accounts[0].ApiKeyHash = "secret";
    CHECK(onlyProblemOf(Config).find("64 lower-case hex digits") !=
          std::string::npos);
  }
  SUBCASE("an exception without a reason") {
    Config.Exceptions[0].Reason = "  ";
    CHECK(onlyProblemOf(Config) == "exception \"zone z1 target_fill_seconds\": "
                                   "needs a written reason");
  }
  SUBCASE("an exception without an author") {
    Config.Exceptions[0].Author.clear();
    CHECK(findConfigProblems(Config).size() == 1);
  }
  SUBCASE("an exception for an unknown key") {
    Config.Exceptions[0].Key = "fill";
    CHECK(onlyProblemOf(Config) == "exception \"zone z1 fill\": unknown key");
  }
  SUBCASE("an exception whose value is out of range") {
    Config.Exceptions[0].Value = "-1";
    CHECK(onlyProblemOf(Config) == "exception \"zone z1 target_fill_seconds\": "
                                   "must be from 0.01 to 3600");
  }
  SUBCASE("an exception for an unknown target") {
    Config.Exceptions[1].ScopeName = "w9";
    CHECK(findConfigProblems(Config).size() == 1);
  }
  SUBCASE("a default out of range") {
    Config.Defaults.CanaryShareCap = 0.9;
    CHECK(onlyProblemOf(Config) ==
          "defaults.canary_share_cap: must be from 0 to "
          "0.5");
  }
  SUBCASE("a message with many problems is truncated") {
    for (auto &Target : Config.Targets)
      Target.Address = Target.Pool = "";
    const auto Checked = checkFleetConfig(Config);
    REQUIRE(!ok(Checked));
    CHECK(error(Checked).Message.find("more") != std::string::npos);
  }
}

TEST_CASE("addresses are numeric IP addresses with a port") {
  CHECK(isIpAddressWithPort("10.0.0.1:80"));
  CHECK(isIpAddressWithPort("[fd00::1]:80"));
  CHECK_FALSE(isIpAddressWithPort("10.0.0.1"));
  CHECK_FALSE(isIpAddressWithPort("10.0.0.1:0"));
  CHECK_FALSE(isIpAddressWithPort("10.0.0.1:70000"));
  CHECK_FALSE(isIpAddressWithPort("fd00::1:80"));
  CHECK_FALSE(isIpAddressWithPort("localhost:80"));
}

TEST_CASE("the index of an accepted configuration") {
  const ConfigIndex Index(goodConfig());

  SUBCASE("finds entries by id") {
    REQUIRE(Index.account(idOf<AccountId>("himal")));
    CHECK(Index.accountByKeyHash(std::string(64, 'b'))->Name == "breton");
    CHECK(Index.accountByKeyHash("none") == nullptr);
    CHECK(Index.poolOfModel(idOf<ModelId>("small"))->Name == "models");
    CHECK(Index.target(idOf<TargetId>("w2"))->Zone == "z2");
  }
  SUBCASE("finds the route with the longest path prefix") {
    CHECK(Index.routeForPath("/v1/chat/completions")->Name == "chat");
    CHECK(Index.routeForPath("/v1/vote/7")->Name == "vote");
    CHECK(Index.routeForPath("/other") == nullptr);
  }
  SUBCASE("finds targets by pool and zone") {
    const auto Pool = idOf<PoolId>("models");
    CHECK(Index.targets(Pool, idOf<ZoneId>("z1")).size() == 2);
    CHECK(Index.targets(Pool, idOf<ZoneId>("z9")).empty());
    CHECK(Index.zonesOfPool(Pool).size() == 2);
  }
  SUBCASE("applies the narrowest exception and gives its reason") {
    CHECK(Index.effective({}).TargetFillSeconds == 0.5);
    CHECK(Index.effective({.Zone = "z1"}).TargetFillSeconds == 4.0);
    const ScopeNames Worker{.Zone = "z1", .Target = "w3"};
    CHECK(Index.effective(Worker).TargetFillSeconds == 1.0);
    for (const EffectiveValue &Value : Index.explain(Worker)) {
      CHECK(Value.IsException == (Value.Key == "target_fill_seconds"));
      if (Value.IsException)
        CHECK(Value.Reason == "shares its memory");
    }
  }
}

} // namespace
} // namespace marjorambay
