/// Tests of the scanning of server-sent events.
#include "marjorambay/protocol/sse_scanner.h"

#include <doctest/doctest.h>

using namespace marjorambay;

namespace {

const std::string Stream =
    "data: {\"choices\":[{\"text\":\"a\"}],\"usage\":null}\n\n"
    ": a comment\r\n"
    "data:{\"choices\":[{\"text\":\"say \\\"usage\\\": {\"}]}\r\n\r\n"
    "event: message\n"
    "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n"
    "data: [DONE]\n\n";

} // namespace

TEST_CASE("a stream of events is scanned") {
  SUBCASE("in two pieces, split at any byte") {
    for (std::size_t Split = 0; Split <= Stream.size(); ++Split) {
      SseScanner Scanner;
      Scanner.scan(std::string_view(Stream).substr(0, Split));
      Scanner.scan(std::string_view(Stream).substr(Split));
      CAPTURE(Split);
      CHECK(Scanner.textEvents() == 2);
      CHECK(Scanner.done());
      CHECK(Scanner.usageJson() ==
            "{\"choices\":[],\"usage\":{\"completion_tokens\":2}}");
    }
  }
  SUBCASE("byte by byte") {
    SseScanner Scanner;
    for (const char Byte : Stream)
      Scanner.scan({&Byte, 1});
    CHECK(Scanner.textEvents() == 2);
    CHECK(Scanner.done());
  }
  SUBCASE("and ends before its end marker") {
    for (std::size_t Length = 0; Length < Stream.size() - 2; ++Length) {
      SseScanner Scanner;
      Scanner.scan(std::string_view(Stream).substr(0, Length));
      CAPTURE(Length);
      CHECK_FALSE(Scanner.done());
    }
  }
  SUBCASE("with the end marker quoted in a text") {
    SseScanner Scanner;
    Scanner.scan("data: {\"choices\":[{\"text\":\"data: [DONE]\"}]}\n\n");
    Scanner.scan("x data: [DONE]\n\n");
    CHECK_FALSE(Scanner.done());
    CHECK(Scanner.textEvents() == 1);
  }
  SUBCASE("with a line longer than the buffer") {
    SseScanner Scanner;
    const std::string Long(100'000, 'x');
    for (int Count = 0; Count < 10; ++Count)
      Scanner.scan(Long);
    Scanner.scan("\ndata: [DONE]\n");
    CHECK(Scanner.done());
  }
}
