/// Tests of the host's settings: defaults, findings, and the page of them.
#include "marjorambay/state/settings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace marjorambay {
namespace {

constexpr const char *Enough = "[host]\nname = e1\nzone = z1\n"
                               "[platform]\naddress = 127.0.0.1:9000\n";

std::string findingsOf(const std::string &Text) {
  const auto Parsed = parseSettings(Text, "host.ini", {});
  return ok(Parsed) ? "" : error(Parsed).Message;
}

TEST_CASE("an entry host reads its settings") {
  SUBCASE("with only what is required, the rest has defaults") {
    const auto Parsed = parseSettings(Enough, "host.ini", {});
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).ZoneName == "z1");
    CHECK(value(Parsed).MaxBodyBytes == 1048576);

    SUBCASE("and the command line overrides the file") {
      const auto Again =
          parseSettings(Enough, "host.ini", {{"host.zone", "z2"}});
      REQUIRE(ok(Again));
      CHECK(value(Again).ZoneName == "z2");
    }
  }
  SUBCASE("seeds may be given several times") {
    const auto Parsed = parseSettings(
        std::string(Enough) + "[peer]\nseed = e2 z1 r1 127.0.0.1:1\n"
                              "seed = e3 z1 r1 127.0.0.1:2\n",
        "host.ini", {});
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Seeds.size() == 2);
  }
}

TEST_CASE("a mistake is named by file, section and key") {
  const std::string Base = Enough;
  SUBCASE("a missing zone") {
    CHECK(findingsOf("[host]\nname = e1\n[platform]\naddress = 1.2.3.4:5\n")
              .find("host.ini: [host] zone: is required") == 0);
  }
  SUBCASE("an unknown key") {
    CHECK(findingsOf(Base + "[caller]\nmax_conections = 5\n") ==
          "host.ini: [caller] max_conections: no such setting");
  }
  SUBCASE("a bad number") {
    CHECK(findingsOf(Base + "[caller]\nmax_connections = many\n") ==
          "host.ini: [caller] max_connections: \"many\" is not a whole "
          "number from 1 to 100000 connections");
  }
  SUBCASE("a number out of range") {
    CHECK_FALSE(findingsOf(Base + "[caller]\nmax_connections = 0\n").empty());
  }
  SUBCASE("an address that is not an IP number") {
    CHECK(findingsOf(Base + "[caller]\naddress = localhost:80\n")
              .find("[caller] address: \"localhost:80\" is not an IP number") !=
          std::string::npos);
  }
  SUBCASE("a key given twice") {
    CHECK(findingsOf(Base + "[log]\nlevel = info\nlevel = error\n") ==
          "host.ini: [log] level: given twice");
  }
  SUBCASE("a file that can't be read") {
    CHECK_FALSE(ok(readSettings("/nonexistent/host.ini", {})));
  }
}

TEST_CASE("the configuration page holds the table of settings") {
  std::ifstream File(MARJORAMBAY_SOURCE_DIR "/docs/CONFIGURATION.md");
  std::ostringstream Page;
  Page << File.rdbuf();
  CHECK(Page.str().find(settingsTable()) != std::string::npos);
}

} // namespace
} // namespace marjorambay
