/// Tests of the splitting of event streams at event boundaries.
#include "marjorambay/protocol/sse_splitter.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: text\n\n";
}

TEST_CASE("an event stream received in pieces") {
  SseSplitter Stream;

  SUBCASE("is forwarded in complete events") {
    const std::string All = event(1) + event(2) + event(3);
    std::string Forwarded;
    for (const char Byte : All)
      Forwarded += Stream.feed(std::string_view(&Byte, 1));
    CHECK(Forwarded == All);
    CHECK(Stream.events() == 3);
    CHECK(Stream.lastId() == "3");
  }
  SUBCASE("that ends within an event forwards no part of that event") {
    CHECK(Stream.feed(event(1) + "id: 2\ndata: te") == event(1));
    CHECK(Stream.lastId() == "1");
    CHECK(Stream.partial() == "id: 2\ndata: te");

    SUBCASE("and resumes at another target without duplicates") {
      Stream.resume();
      CHECK(Stream.feed(event(1) + event(2)) == event(2));
      CHECK(Stream.feed(event(3)) == event(3));
    }
  }
  SUBCASE("completes no event with comments, blank lines or parts") {
    Stream.feed(": ping\n\n\n\n: a\r\n: b\r\n\r\nid: 1\ndata: te");
    CHECK(Stream.completed() == 0);
    Stream.feed("xt\n\n: note\n" + event(2));
    CHECK(Stream.completed() == 2);
    Stream.resume();
    Stream.feed(event(2)); // a duplicate, but work of the target
    CHECK(Stream.completed() == 3);
  }
  SUBCASE("may have carriage returns") {
    CHECK(Stream.feed("id:5\r\ndata: a\r\n\r\n") == "id:5\r\ndata: a\r\n\r\n");
    CHECK(Stream.lastId() == "5");
  }
  SUBCASE("may have events without an id") {
    CHECK(Stream.feed("data: a\n\n") == "data: a\n\n");
    CHECK(Stream.lastId().empty());
  }
}

// Guards against the text of an error in the middle of a caller's stream.
TEST_CASE("a stream that is resumed at another target") {
  SseSplitter Stream;
  Stream.feed(event(1) + event(2) + event(3));
  SUBCASE("goes on after its last event") {
    Stream.resume();
    CHECK(Stream.feed(event(2) + event(3) + event(4)) == event(4));
    CHECK_FALSE(Stream.hasForeignEvent());
    CHECK_FALSE(Stream.fellShort());
  }
  SUBCASE("may have no event left") {
    Stream.resume();
    Stream.feed(": ping\n\n" + event(3));
    CHECK_FALSE(Stream.fellShort());
  }
  SUBCASE("has not got as far as before") {
    Stream.resume();
    Stream.feed(event(1) + event(2));
    CHECK(Stream.fellShort());
  }
  SUBCASE("ends where something else comes instead") {
    for (const std::string Other :
         {"event: error\ndata: {}\n\n", "HTTP/1.1 500 X\r\nA: b\r\n\r\n",
          "<html>\n\n", "id: x\ndata: a\n\n", "id:\ndata: a\n\n"}) {
      CAPTURE(Other);
      SseSplitter Next = Stream;
      Next.resume();
      CHECK(Next.feed(event(4) + Other + event(5)) == event(4));
      CHECK(Next.hasForeignEvent());
      CHECK(Next.feed(event(6)).empty());
      SUBCASE("and may be resumed once more") {
        Next.resume();
        CHECK(Next.feed(event(5)) == event(5));
        CHECK_FALSE(Next.hasForeignEvent());
      }
    }
  }
  SUBCASE("may have events without an id if it had some before") {
    Stream.feed("data: note\n\n");
    Stream.resume();
    CHECK(Stream.feed("data: note\n\n") == "data: note\n\n");
  }
  SUBCASE("begins anew if no event had arrived") {
    SseSplitter Empty;
    Empty.feed("id: 1\nda");
    Empty.resume();
    CHECK(Empty.feed("data: a\n\n") == "data: a\n\n");
  }
}

// Guards against a host that runs out of memory because a target sends an event
// without end.
TEST_CASE("an event that never ends") {
  SseSplitter Stream;
  CHECK(Stream.feed(event(1)) == event(1));
  const std::string Line = "data: " + std::string(16 << 10, 'x') + "\n";
  for (int Count = 0; Count < 1024; ++Count)
    CHECK(Stream.feed(Line).empty());
  CHECK(Stream.partial().size() <= 1 << 20);
  CHECK(Stream.hasOverlongEvent());

  SUBCASE("is forgotten when another target resumes the stream") {
    Stream.resume();
    CHECK(Stream.feed(event(1) + event(2)) == event(2));
    CHECK_FALSE(Stream.hasOverlongEvent());
  }
}

TEST_CASE("the size of an event") {
  SseSplitter Stream;
  const std::string Longest =
      "data: " + std::string(SseSplitter::MaxEventBytes - 8, 'x') + "\n\n";

  SUBCASE("may be at the limit") {
    CHECK(Stream.feed(Longest + event(1)) == Longest + event(1));
    CHECK_FALSE(Stream.hasOverlongEvent());
  }
  SUBCASE("may not be above it, even if the event has an end") {
    CHECK(Stream.feed(event(1) + "x" + Longest + event(2)) == event(1));
    CHECK(Stream.hasOverlongEvent());
    CHECK(Stream.feed(event(3)).empty());
  }
}

} // namespace
} // namespace marjorambay
