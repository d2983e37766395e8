/// Tests of the JSON codec of the fleet configuration.
#include "marjorambay/protocol/fleet_config_json.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

std::string errorMessage(std::string_view Json) {
  const auto Parsed = parseFleetConfig(Json);
  return ok(Parsed) ? "" : error(Parsed).Message;
}

TEST_CASE("a configuration document") {
  FleetConfig Config;
  Config.Rev = Revision(7);
  Config.Tiers = {{"sheet", TierRank(0)}, {"bulk", TierRank(1)}};
  Config.Accounts = {{"himal", std::string(64, 'a'), "sheet", 2.5, 40}};
  Config.Pools = {{"models", PoolKind::Model, "v1", {"small", "large"}}};
  Config.Targets = {{"w1", "127.0.0.1:24001", "models", "z1", "v1"}};
  Config.Routes = {{"chat", "/v1/chat", RouteKind::ChatCompletions, "models"}};
  Config.Exceptions = {{ScopeKind::Zone, "z1", "target_fill_seconds", "4",
                        "old engines", "anna", WallTime(seconds(5))}};

  SUBCASE("is unchanged by parsing and printing") {
    const std::string Printed = printFleetConfig(Config);
    const auto Parsed = parseFleetConfig(Printed);
    REQUIRE(ok(Parsed));
    CHECK(printFleetConfig(value(Parsed)) == Printed);
    CHECK(value(Parsed).Rev == Revision(7));
    CHECK(value(Parsed).Accounts[0].Weight == 2.5);
    CHECK(value(Parsed).Pools[0].Models.size() == 2);
    CHECK(value(Parsed).Routes[0].Kind == RouteKind::ChatCompletions);
    CHECK(value(Parsed).Exceptions[0].Created == WallTime(seconds(5)));
  }
  SUBCASE("may omit keys, which keep their defaults") {
    const auto Parsed = parseFleetConfig(R"({"targets": [{"name": "w1"}]})");
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Targets[0].MaxRequestsInFlight == 32);
    CHECK(value(Parsed).Defaults.RequestDeadline == seconds(60));
  }
  SUBCASE("has durations in milliseconds") {
    const auto Parsed =
        parseFleetConfig(R"({"defaults": {"request_deadline_ms": 1500}})");
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Defaults.RequestDeadline == milliseconds(1500));
  }
  SUBCASE("is rejected with the path of an invalid key") {
    CHECK(errorMessage("{") == "document: not JSON");
    CHECK(errorMessage("[]") == "document: must be an object");
    CHECK(errorMessage(R"({"tires": []})") == "tires: unknown key");
    CHECK(errorMessage(R"({"targets": [{}, {"adress": ""}]})") ==
          "targets[1].adress: unknown key");
    CHECK(errorMessage(R"({"tiers": [{"rank": -1}]})") ==
          "tiers[0].rank: must be a whole number from 0 to 7");
    CHECK(errorMessage(R"({"pools": [{"kind": "modle"}]})") ==
          "pools[0].kind: must be one of model, service");
    CHECK(errorMessage(R"({"defaults": {"spill_across_zones": 1}})") ==
          "defaults.spill_across_zones: must be true or false");
  }
}

} // namespace
} // namespace marjorambay
