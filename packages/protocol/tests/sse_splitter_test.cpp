/// Tests of the splitting of streams at event boundaries.
#include "marjorambay/protocol/sse_splitter.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: text\n\n";
}

TEST_CASE("a stream that comes in pieces") {
  SseSplitter Stream;

  SUBCASE("is passed on in whole events, whatever the pieces") {
    const std::string All = event(1) + event(2) + event(3);
    std::string Passed;
    for (const char Each : All)
      Passed += Stream.feed(std::string_view(&Each, 1));
    CHECK(Passed == All);
    CHECK(Stream.events() == 3);
    CHECK(Stream.lastId() == "3");
  }
  SUBCASE("that breaks off in the middle of an event passes none of it on") {
    CHECK(Stream.feed(event(1) + "id: 2\ndata: te") == event(1));
    CHECK(Stream.lastId() == "1");
    CHECK(Stream.partial() == "id: 2\ndata: te");

    SUBCASE("and goes on at another target, without repeats") {
      Stream.resume();
      CHECK(Stream.feed(event(1) + event(2)) == event(2));
      CHECK(Stream.feed(event(3)) == event(3));
    }
  }
  SUBCASE("with carriage returns is split as well") {
    CHECK(Stream.feed("id:5\r\ndata: a\r\n\r\n") == "id:5\r\ndata: a\r\n\r\n");
    CHECK(Stream.lastId() == "5");
  }
  SUBCASE("events without an id are passed on") {
    CHECK(Stream.feed("data: a\n\n") == "data: a\n\n");
    CHECK(Stream.lastId().empty());
  }
}

} // namespace
} // namespace marjorambay
