/// Tests of the rates that targets name.
#include "marjorambay/protocol/rate_limit.h"

#include <doctest/doctest.h>

#include <string>

namespace marjorambay {
namespace {

TEST_CASE("a rate limit") {
  SUBCASE("is a decimal number") {
    CHECK(parseRateLimit("2.8") == 2.8);
    CHECK(parseRateLimit("0") == 0.0);
    CHECK(parseRateLimit("0.05") == 0.05);
    CHECK(parseRateLimit("1000000") == 1e6);
    CHECK(parseRateLimit(" 3 ") == 3.0);
  }
  SUBCASE("is nothing else") {
    for (const char *Text : {"", " ", "-1", "+1", "nan", "inf", "1e3", "2,5",
                             "2.5/s", "1 2", ".", "1.2.3", "0x10"}) {
      CAPTURE(std::string(Text));
      CHECK_FALSE(parseRateLimit(Text));
    }
    CHECK_FALSE(parseRateLimit(std::string(400, '9')));
  }
}

} // namespace
} // namespace marjorambay
