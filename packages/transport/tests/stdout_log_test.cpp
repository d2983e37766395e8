/// Tests of log lines on standard output, with a reader that stops.
#include "loop_fixture.h"

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace marjorambay {
namespace {

/// Standard output led into a pipe for as long as it lives.
class CapturedOutput {
public:
  CapturedOutput() : Saved(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(Ends.data()) == 0);
    dup2(Ends[1], STDOUT_FILENO);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~CapturedOutput() {
    dup2(Saved, STDOUT_FILENO);
    for (const int Each : {Saved, Ends[0], Ends[1]})
      close(Each);
  }
  CapturedOutput(const CapturedOutput &) = delete;
  CapturedOutput &operator=(const CapturedOutput &) = delete;

  std::string read() const {
    std::string All;
    std::array<char, 65536> Piece;
    ssize_t Length = 0;
    while ((Length = ::read(Ends[0], Piece.data(), Piece.size())) > 0)
      All.append(Piece.data(), static_cast<std::size_t>(Length));
    return All;
  }

private:
  int Saved;
  std::array<int, 2> Ends{};
};

TEST_CASE_FIXTURE(LoopFixture, "lines on standard output") {
  std::string Seen;
  {
    const CapturedOutput Output;
    startStdoutLogging(Timers);
    SUBCASE("come with time, level, event and keys") {
      LogLine("happened", LogLevel::Warning).with("what", "a b").with("n", 3);
      stopStdoutLogging();
      Seen = Output.read();
    }
    SUBCASE("leave successes out before failures") {
      const std::string Long(200, 'x');
      for (int Line = 0; Line < 20'000; ++Line)
        LogLine("served").with("text", Long).expendable();
      LogLine("failed").with("request", "r1");
      const auto Has = [&](std::string_view Part) {
        return Seen.find(Part) != std::string::npos;
      };
      runUntil([&]() {
        Seen += Output.read();
        return Has("event=failed request=r1\n");
      });
      runUntil([&]() {
        Seen += Output.read();
        return Seen.find("event=log_lines_dropped") != std::string::npos;
      });
      stopStdoutLogging();
    }
    SUBCASE("are those of the level that is asked for") {
      stopStdoutLogging();
      startStdoutLogging(Timers, "warning");
      LogLine("quiet").with("n", 1);
      LogLine("happened", LogLevel::Warning).with("what", "a b").with("n", 3);
      stopStdoutLogging();
      Seen = Output.read();
      CHECK(Seen.find("event=quiet") == std::string::npos);
    }
    SUBCASE("don't block when nobody reads, and what is lost is counted") {
      const std::string Long(200, 'x');
      for (int Line = 0; Line < 20'000; ++Line)
        LogLine("flood").with("text", Long);
      // The reader comes back.
      Seen = Output.read();
      runUntil([&]() {
        Seen += Output.read();
        return Seen.find("event=log_lines_dropped") != std::string::npos;
      });
      stopStdoutLogging();
    }
  }
  CHECK(Seen.find("t=") == 0);
  if (Seen.find("event=happened") != std::string::npos)
    CHECK(Seen.find("level=warning event=happened what=\"a b\" n=3\n") !=
          std::string::npos);
  else
    CHECK(Seen.find("event=log_lines_dropped count=") != std::string::npos);
}

} // namespace
} // namespace marjorambay
