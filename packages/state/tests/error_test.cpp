/// Tests of the closed list of error kinds and its answer table.
#include "marjorambay/state.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TEST_CASE("an error kind has one name and one answer") {
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index) {
    const auto Kind = static_cast<ErrorKind>(Index);

    SUBCASE("its name parses back to it") {
      CHECK(parseEnum<ErrorKind>(nameOf(Kind)) == Kind);
    }
    SUBCASE("its answer is an HTTP error with a failing exit code") {
      CHECK(traitsOf(Kind).Kind == Kind);
      CHECK(traitsOf(Kind).HttpStatus >= 400);
      CHECK(traitsOf(Kind).ExitCode > 0);
    }
    SUBCASE("a kind that may have run never asks for a plain retry") {
      if (traitsOf(Kind).Ran == MayHaveRun::Maybe)
        CHECK(traitsOf(Kind).Retry != RetryAdvice::AfterWait);
    }
  }
}

TEST_CASE("ids come from names") {
  CHECK(idOf<HostId>("entry-1") == idOf<HostId>("entry-1"));
  CHECK(idOf<HostId>("entry-1") != idOf<HostId>("entry-2"));
}

} // namespace
} // namespace marjorambay
