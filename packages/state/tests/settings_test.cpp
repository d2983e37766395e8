/// Tests of the host's settings: defaults, errors, and their documentation.
#include "marjorambay/state/settings.h"
#include "marjorambay/state/settings_text.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace marjorambay {
namespace {

constexpr const char *Minimal = "[host]\nname = e1\nzone = z1\n"
                                "[platform]\naddress = 127.0.0.1:9000\n";

std::string errorsOf(const std::string &Text) {
  const auto Parsed = parseSettings(Text, "host.ini", {});
  return ok(Parsed) ? "" : error(Parsed).Message;
}

TEST_CASE("an entry host reads its settings") {
  SUBCASE("with defaults for those that are not required") {
    const auto Parsed = parseSettings(Minimal, "host.ini", {});
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).ZoneName == "z1");
    CHECK(value(Parsed).MaxBodyBytes == 1048576);

    SUBCASE("and the command line overrides the file") {
      const auto Overridden =
          parseSettings(Minimal, "host.ini", {{"host.zone", "z2"}});
      REQUIRE(ok(Overridden));
      CHECK(value(Overridden).ZoneName == "z2");
    }
  }
  SUBCASE("with more than one seed") {
    const auto Parsed = parseSettings(
        std::string(Minimal) + "[peer]\nseed = e2 z1 r1 127.0.0.1:1\n"
                               "seed = e3 z1 r1 127.0.0.1:2\n",
        "host.ini", {});
    REQUIRE(ok(Parsed));
    CHECK(value(Parsed).Seeds.size() == 2);
  }
}

TEST_CASE("an error names the file, section and key") {
  const std::string Base = Minimal;
  SUBCASE("a missing zone") {
    CHECK(errorsOf("[host]\nname = e1\n[platform]\naddress = 1.2.3.4:5\n")
              .find("host.ini: [host] zone: is required") == 0);
  }
  SUBCASE("an unknown key") {
    CHECK(errorsOf(Base + "[caller]\nmax_conections = 5\n") ==
          "host.ini: [caller] max_conections: unknown setting");
  }
  SUBCASE("text that is not a number") {
    CHECK(errorsOf(Base + "[caller]\nmax_connections = many\n") ==
          "host.ini: [caller] max_connections: \"many\" is not a whole "
          "number from 1 to 100000 connections");
  }
  SUBCASE("a number out of range") {
    CHECK_FALSE(errorsOf(Base + "[caller]\nmax_connections = 0\n").empty());
  }
  SUBCASE("an address with a host name") {
    CHECK(
        errorsOf(Base + "[caller]\naddress = localhost:80\n")
            .find("[caller] address: \"localhost:80\" is not an IP address") !=
        std::string::npos);
  }
  SUBCASE("a flag that is neither true nor false") {
    CHECK(errorsOf(Base + "[forward]\nstart_ramp = yes\n") ==
          "host.ini: [forward] start_ramp: must be true or false");
  }
  SUBCASE("a key given twice") {
    CHECK(errorsOf(Base + "[log]\nlevel = info\nlevel = error\n") ==
          "host.ini: [log] level: is set more than once");
  }
  SUBCASE("a file that cannot be read") {
    CHECK_FALSE(ok(readSettings("/nonexistent/host.ini", {})));
  }
}

TEST_CASE("numbers are read in the units and forms in which they are stated") {
  const auto DrainOf = [](const std::string &Line) {
    const auto Parsed = parseSettings(
        std::string(Minimal) + "[drain]\n" + Line + "\n", "host.ini", {});
    return ok(Parsed) ? value(Parsed).DrainTimeout.count() : -1;
  };
  CHECK(DrainOf("timeout_ms = 8500") == 8'500'000);
  CHECK(DrainOf("timeout_ms = 8500.0") == 8'500'000);
  CHECK(DrainOf("timeout_s = 8") == 8'000'000);
  CHECK(DrainOf("timeout_s = 8.0") == 8'000'000);
  CHECK(DrainOf("timeout_s = 8.7") == 8'700'000);
  CHECK(DrainOf("timeout_s = 1e1") == 10'000'000);
  CHECK(DrainOf("timeout_s = 8\ntimeout_ms = 8000") == -1);
  CHECK(DrainOf("timeout_ms = 8.5") == -1);
}

// Guards against a host that doesn't start because of a setting that it can
// serve without.
TEST_CASE("a host serves although an optional setting is odd") {
  const auto Use = [](const std::string &Lines) {
    return parseUsableSettings(std::string(Minimal) + Lines, "host.ini", {});
  };
  SUBCASE("with the default") {
    for (const char *Odd : {"", "many", "-1", "inf", "nan", "8 s"}) {
      const auto Used =
          Use("[forward]\naccount_window_s = " + std::string(Odd) + "\n");
      REQUIRE(ok(Used));
      CHECK(value(Used).Settings.AccountWindow == seconds(8));
      CHECK(value(Used).Warnings.size() == 1);
    }
  }
  SUBCASE("with the nearest number of the range") {
    const auto Used = Use("[host]\nmemory_mb = 110.5\n[forward]\n"
                          "canary_share = 1e9\naccount_window_s = 1e30\n");
    REQUIRE(ok(Used));
    CHECK(value(Used).Settings.MemoryMb == 110);
    CHECK(value(Used).Settings.CanaryShare == 1);
    CHECK(value(Used).Settings.AccountWindow == hours(1));
    CHECK(value(Used).Warnings.size() == 3);
  }
  SUBCASE("with addresses completed from that for callers") {
    const auto Used = Use("[peer]\naddress = 10.0.0.1:\n[operator]\n"
                          "address = :9464\n[caller]\naddress = 10.0.0.2:80\n");
    REQUIRE(ok(Used));
    CHECK(value(Used).Settings.PeerAddress == "10.0.0.1:8081");
    CHECK(value(Used).Settings.OperatorAddress == "10.0.0.2:9464");
  }
  SUBCASE("without a key, section or line that it doesn't know") {
    const auto Used = Use("[new]\nkey = 1\nno value\n[log]\nlevel = info\n"
                          "level = error\n");
    REQUIRE(ok(Used));
    CHECK(value(Used).Settings.LogLevel == "info");
    CHECK(value(Used).Warnings.size() == 3);
  }
  SUBCASE("but not without an address for callers") {
    CHECK_FALSE(ok(Use("[caller]\naddress =\n")));
    CHECK_FALSE(ok(Use("[forward]\nready_address = here\n")));
  }
}

TEST_CASE("a settings file says where it ends") {
  const std::string Whole =
      "# begin of settings\n[host] # here\nname = a#b\n# end of settings";
  const SettingsText Split = splitSettings(Whole);
  CHECK_FALSE(Split.truncated());
  REQUIRE(Split.Entries.size() == 1);
  CHECK(Split.Entries.front().Value == "a#b");
  CHECK(splitSettings(Whole.substr(0, Whole.size() - 1)).truncated());
}

TEST_CASE("the configuration page has the table of settings") {
  std::ifstream File(MARJORAMBAY_SOURCE_DIR "/docs/CONFIGURATION.md");
  std::ostringstream Page;
  Page << File.rdbuf();
  CHECK(Page.str().find(settingsTable()) != std::string::npos);
}

} // namespace
} // namespace marjorambay
