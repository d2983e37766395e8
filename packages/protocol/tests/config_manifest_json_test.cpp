/// Tests of the JSON codec of the configuration manifest.
#include "marjorambay/protocol/config_manifest_json.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TEST_CASE("the configuration manifest is parsed") {
  ConfigManifest Manifest;
  Manifest.RecentProposals = {{0xF00000000000000F, Revision(4)}};

  SUBCASE("with a small document inline") {
    Manifest.Document = "{\n\"tiers\": [\"\\\"\"]}\n";
    const auto Parsed = parseConfigManifest(printConfigManifest(Manifest));
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Document == Manifest.Document);
    CHECK(value(Parsed).RecentProposals[0].Id == 0xF00000000000000F);
    CHECK(value(Parsed).RecentProposals[0].Base == Revision(4));
  }
  SUBCASE("with a large document as a list of parts") {
    Manifest.Parts = {{0xABC, 8000}, {1, 20}};
    const auto Parsed = parseConfigManifest(printConfigManifest(Manifest));
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Parts == Manifest.Parts);
  }
  SUBCASE("from a plain document stored by hand") {
    const auto Parsed = parseConfigManifest(R"({"tiers": []})");
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Document == R"({"tiers": []})");
  }
  SUBCASE("and invalid manifests are rejected") {
    CHECK_FALSE(ok(parseConfigManifest("[]")));
    CHECK_FALSE(ok(parseConfigManifest(R"({"manifest": 2})")));
    CHECK_FALSE(ok(parseConfigManifest(R"({"manifest": 1})")));
    CHECK_FALSE(ok(parseConfigManifest(
        R"({"manifest": 1, "parts": [{"digest": "x", "size": 1}]})")));
  }
}

} // namespace
} // namespace marjorambay
