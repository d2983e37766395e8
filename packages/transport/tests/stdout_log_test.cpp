/// Tests of logging to standard output, including a reader that stops reading.
#include "loop_fixture.h"

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace marjorambay {
namespace {

/// Redirects standard output into a pipe during its lifetime.
class CapturedOutput {
public:
  CapturedOutput() : Saved(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(Ends.data()) == 0);
    dup2(Ends[1], STDOUT_FILENO);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~CapturedOutput() {
    dup2(Saved, STDOUT_FILENO);
    for (const int Descriptor : {Saved, Ends[0], Ends[1]})
      close(Descriptor);
  }
  CapturedOutput(const CapturedOutput &) = delete;
  CapturedOutput &operator=(const CapturedOutput &) = delete;

  std::string read() const {
    std::string Text;
    std::array<char, 65536> Buffer;
    ssize_t Length = 0;
    while ((Length = ::read(Ends[0], Buffer.data(), Buffer.size())) > 0)
      Text.append(Buffer.data(), static_cast<std::size_t>(Length));
    return Text;
  }

private:
  int Saved;
  std::array<int, 2> Ends{};
};

TEST_CASE_FIXTURE(LoopFixture, "log lines on standard output") {
  std::string Lines;
  {
    const CapturedOutput Output;
    startStdoutLogging(Timers);
    SUBCASE("contain time, level, event and fields") {
      LogLine("happened", LogLevel::Warning).with("what", "a b").with("n", 3);
      stopStdoutLogging();
      Lines = Output.read();
    }
    SUBCASE("of successes are dropped before those of failures") {
      const std::string LongText(200, 'x');
      for (int Line = 0; Line < 20'000; ++Line)
        LogLine("served").with("text", LongText).expendable();
      LogLine("failed").with("request", "r1");
      const auto Has = [&](std::string_view Text) {
        return Lines.find(Text) != std::string::npos;
      };
      runUntil([&]() {
        Lines += Output.read();
        return Has("event=failed request=r1\n");
      });
      runUntil([&]() {
        Lines += Output.read();
        return Lines.find("event=log_lines_dropped") != std::string::npos;
      });
      stopStdoutLogging();
    }
    SUBCASE("are those of the configured level and above") {
      stopStdoutLogging();
      startStdoutLogging(Timers, "warning");
      LogLine("quiet").with("n", 1);
      LogLine("happened", LogLevel::Warning).with("what", "a b").with("n", 3);
      stopStdoutLogging();
      Lines = Output.read();
      CHECK(Lines.find("event=quiet") == std::string::npos);
    }
    SUBCASE("do not block without a reader, and dropped ones are counted") {
      const std::string LongText(200, 'x');
      for (int Line = 0; Line < 20'000; ++Line)
        LogLine("flood").with("text", LongText);
      // The reader resumes.
      Lines = Output.read();
      runUntil([&]() {
        Lines += Output.read();
        return Lines.find("event=log_lines_dropped") != std::string::npos;
      });
      stopStdoutLogging();
    }
  }
  CHECK(Lines.find("t=") == 0);
  if (Lines.find("event=happened") != std::string::npos)
    CHECK(Lines.find("level=warning event=happened what=\"a b\" n=3\n") !=
          std::string::npos);
  else
    CHECK(Lines.find("event=log_lines_dropped count=") != std::string::npos);
}

} // namespace
} // namespace marjorambay
