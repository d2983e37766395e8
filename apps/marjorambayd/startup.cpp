/// Waits at start for what the surroundings of a process don't provide yet.
#include "startup.h"

#include "marjorambay/transport/log.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace marjorambay {

namespace {

constexpr Duration MaxWait = seconds(8);
constexpr Duration RetryInterval = milliseconds(50);

} // namespace

void openStandardStreams() {
  for (int Stream = STDIN_FILENO; Stream <= STDERR_FILENO; ++Stream)
    if (fcntl(Stream, F_GETFD) < 0 && errno == EBADF)
      open("/dev/null", O_RDWR); // gets the lowest free number
}

void raiseDescriptorLimit(std::uint64_t Wanted) {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  const rlim_t Target =
      Wanted == 0 ? Limit.rlim_max : std::min<rlim_t>(Wanted, Limit.rlim_max);
  if (Target <= Limit.rlim_cur)
    return;
  const rlim_t Before = Limit.rlim_cur;
  Limit.rlim_cur = Target;
  if (setrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  LogLine("descriptor_limit_raised")
      .with("was", static_cast<std::int64_t>(Before))
      .with("limit", static_cast<std::int64_t>(Target));
}

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

void exitOutOfMemory() {
  constexpr std::string_view Line = "marjorambayd: out of memory\n";
  const ssize_t Written = write(STDERR_FILENO, Line.data(), Line.size());
  _exit(Written < 0 ? 1 : traitsOf(ErrorKind::Internal).ExitCode);
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
