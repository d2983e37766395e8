/// Tests of the manifest of the fleet configuration.
#include "marjorambay/protocol/config_manifest_json.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TEST_CASE("the platform object of the configuration is read") {
  ConfigManifest Manifest;
  Manifest.RecentProposals = {{0xF00000000000000F, Revision(4)}};

  SUBCASE("a small document is held within it") {
    Manifest.Document = "{\n\"tiers\": [\"\\\"\"]}\n";
    const auto Parsed = parseConfigManifest(printConfigManifest(Manifest));
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Document == Manifest.Document);
    CHECK(value(Parsed).RecentProposals[0].Id == 0xF00000000000000F);
    CHECK(value(Parsed).RecentProposals[0].Base == Revision(4));
  }
  SUBCASE("a large document is named by its parts") {
    Manifest.Parts = {{0xABC, 8000}, {1, 20}};
    const auto Parsed = parseConfigManifest(printConfigManifest(Manifest));
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Parts == Manifest.Parts);
  }
  SUBCASE("a document that a person put there is taken as it is") {
    const auto Parsed = parseConfigManifest(R"({"tiers": []})");
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Document == R"({"tiers": []})");
  }
  SUBCASE("what is neither is refused") {
    CHECK_FALSE(ok(parseConfigManifest("[]")));
    CHECK_FALSE(ok(parseConfigManifest(R"({"manifest": 2})")));
    CHECK_FALSE(ok(parseConfigManifest(R"({"manifest": 1})")));
    CHECK_FALSE(ok(parseConfigManifest(
        R"({"manifest": 1, "parts": [{"digest": "x", "size": 1}]})")));
  }
}

} // namespace
} // namespace marjorambay
