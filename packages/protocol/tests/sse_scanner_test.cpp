/// Tests of the scanner of server-sent events.
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

TEST_CASE("a stream of events goes by") {
  SUBCASE("in two pieces, cut at any byte") {
    for (std::size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
      SseScanner Scanner;
      Scanner.scan(std::string_view(Stream).substr(0, Cut));
      Scanner.scan(std::string_view(Stream).substr(Cut));
      CAPTURE(Cut);
      CHECK(Scanner.textEvents() == 2);
      CHECK(Scanner.done());
      CHECK(Scanner.usageJson() ==
            "{\"choices\":[],\"usage\":{\"completion_tokens\":2}}");
    }
  }
  SUBCASE("byte by byte") {
    SseScanner Scanner;
    for (const char Each : Stream)
      Scanner.scan({&Each, 1});
    CHECK(Scanner.textEvents() == 2);
    CHECK(Scanner.done());
  }
  SUBCASE("and breaks off before its done mark") {
    for (std::size_t Length = 0; Length < Stream.size() - 2; ++Length) {
      SseScanner Scanner;
      Scanner.scan(std::string_view(Stream).substr(0, Length));
      CAPTURE(Length);
      CHECK_FALSE(Scanner.done());
    }
  }
  SUBCASE("with text that only speaks of the done mark") {
    SseScanner Scanner;
    Scanner.scan("data: {\"choices\":[{\"text\":\"data: [DONE]\"}]}\n\n");
    Scanner.scan("x data: [DONE]\n\n");
    CHECK_FALSE(Scanner.done());
    CHECK(Scanner.textEvents() == 1);
  }
  SUBCASE("with a line that never ends") {
    SseScanner Scanner;
    const std::string Long(100'000, 'x');
    for (int Count = 0; Count < 10; ++Count)
      Scanner.scan(Long);
    Scanner.scan("\ndata: [DONE]\n");
    CHECK(Scanner.done());
  }
}
