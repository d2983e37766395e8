/// Signals that arrive before the event loop handles them.
#include "startup.h"

#include <array>
#include <csignal>
#include <unistd.h>

namespace marjorambay {

namespace {

constexpr std::array IgnoredSignals{SIGHUP,    SIGUSR1, SIGUSR2, SIGPIPE,
                                    SIGALRM,   SIGPROF, SIGIO,   SIGVTALRM,
                                    SIGSTKFLT, SIGPWR,  SIGXCPU, SIGXFSZ};
constexpr std::array StopSignals{SIGTERM, SIGINT, SIGQUIT};

void exitBeforeStart(int) { _exit(0); }

void replaceDefaultAction(int Signal, void (*Handler)(int)) {
  struct sigaction Current {};
  if (sigaction(Signal, nullptr, &Current) != 0 ||
      (Current.sa_flags & SA_SIGINFO) != 0 || Current.sa_handler != SIG_DFL)
    return;
  Current.sa_handler = Handler;
  sigaction(Signal, &Current, nullptr);
}

// Runs before the constructors of libraries, while a signal would still end the
// process.
// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
__attribute__((section(".preinit_array"),
               used)) void (*SetSignalsEarly)() = &setStartSignals;

} // namespace

void setStartSignals() {
  for (const int Signal : IgnoredSignals)
    replaceDefaultAction(Signal, SIG_IGN);
  for (const int Signal : StopSignals)
    replaceDefaultAction(Signal, &exitBeforeStart);
}

} // namespace marjorambay
