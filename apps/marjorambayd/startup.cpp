/// Waits at start for what the surroundings of a process don't provide yet.
#include "startup.h"

#include "marjorambay/transport/log.h"

#include <cstdio>
#include <thread>

namespace marjorambay {

namespace {

constexpr Duration MaxWait = seconds(8);
constexpr Duration RetryInterval = milliseconds(50);

} // namespace

Result<Done> awaitAddress(std::string_view Listener,
                          const std::function<Result<Done>()> &Bind) {
  std::string Logged;
  Duration Waited{};
  Result<Done> Bound = Bind();
  for (; !ok(Bound) && error(Bound).Kind == ErrorKind::AddressUnavailable &&
         Waited < MaxWait;
       Waited += RetryInterval) {
    if (error(Bound).Message != Logged) {
      Logged = error(Bound).Message;
      LogLine("address_awaited", LogLevel::Warning)
          .with("listener", Listener)
          .with("problem", Logged);
      flushStdoutLog();
    }
    std::this_thread::sleep_for(RetryInterval);
    Bound = Bind();
  }
  if (!ok(Bound))
    return Error{error(Bound).Kind,
                 std::string(Listener) + ": " + error(Bound).Message};
  if (!Logged.empty())
    LogLine("address_bound")
        .with("listener", Listener)
        .with("waited_ms",
              std::chrono::duration_cast<milliseconds>(Waited).count());
  return Bound;
}

int reportFailedStart(const Error &Reason) {
  const int Code = traitsOf(Reason.Kind).ExitCode;
  LogLine("start_failed", LogLevel::Error)
      .with("kind", nameOf(Reason.Kind))
      .with("exit_code", Code)
      .with("reason", Reason.Message);
  stopStdoutLogging();
  std::fprintf(stderr, "marjorambayd: %s\n", Reason.Message.c_str());
  return Code;
}

} // namespace marjorambay
