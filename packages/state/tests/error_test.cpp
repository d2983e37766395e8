/// Tests of the error kinds and their traits, and of ids.
#include "marjorambay/state.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TEST_CASE("an error kind has one name and one set of traits") {
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index) {
    const auto Kind = static_cast<ErrorKind>(Index);

    SUBCASE("its name parses back to it") {
      CHECK(parseEnum<ErrorKind>(nameOf(Kind)) == Kind);
    }
    SUBCASE("it maps to an HTTP error status and a non-zero exit code") {
      CHECK(traitsOf(Kind).Kind == Kind);
      CHECK(traitsOf(Kind).HttpStatus >= 400);
      CHECK(traitsOf(Kind).ExitCode > 0);
    }
    SUBCASE("it advises no plain retry if the request may have run") {
      if (traitsOf(Kind).Ran == MayHaveRun::Maybe)
        CHECK(traitsOf(Kind).Retry != RetryAdvice::AfterWait);
    }
  }
}

TEST_CASE("ids are derived from names") {
  CHECK(idOf<HostId>("entry-1") == idOf<HostId>("entry-1"));
  CHECK(idOf<HostId>("entry-1") != idOf<HostId>("entry-2"));
}

} // namespace
} // namespace marjorambay
