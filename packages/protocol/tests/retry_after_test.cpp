/// Tests of the parsing of Retry-After.
#include "marjorambay/protocol/retry_after.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TEST_CASE("a target says for how long it wants no requests") {
  SUBCASE("in whole seconds or with a fraction") {
    CHECK(parseRetryAfter("3") == seconds(3));
    CHECK(parseRetryAfter("0") == Duration(0));
    CHECK(parseRetryAfter("0.25") == milliseconds(250));
  }
  SUBCASE("absurdly long, which is bounded") {
    CHECK(parseRetryAfter("1000000000000") == hours(24));
    CHECK(parseRetryAfter("inf") == hours(24));
  }
  SUBCASE("in a form that is not a number of seconds") {
    for (const char *Text : {"", " ", "soon", "-1", "-0.5", "1s", "1,5", "nan",
                             "1e3", "Fri, 31 Dec 1999 23:59:59 GMT"})
      CHECK_FALSE(parseRetryAfter(Text));
  }
}

} // namespace
} // namespace marjorambay
