/// One libevent loop with one-shot timers, for the stand-ins.
#ifndef MARJORAMBAY_STANDINS_LOOP_H
#define MARJORAMBAY_STANDINS_LOOP_H

#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>

namespace marjorambay::standins {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// The event loop of a stand-in. SIGTERM and SIGINT end run().
class Loop {
public:
  Loop() : Base(makeBase(), event_base_free) {
    std::signal(SIGPIPE, SIG_IGN);
    for (int Signal : {SIGTERM, SIGINT})
      event_add(evsignal_new(base(), Signal, stopOnSignal, base()), nullptr);
  }

  event_base *base() const { return Base.get(); }
  void run() { event_base_dispatch(base()); }
  void stop() { event_base_loopbreak(base()); }

  /// Runs \p Task once, \p Delay from now.
  void after(microseconds Delay, std::function<void()> Task) {
    const timeval Wait = {Delay.count() / 1000000, Delay.count() % 1000000};
    auto Owned = std::make_unique<std::function<void()>>(std::move(Task));
    event_base_once(base(), -1, EV_TIMEOUT, runTask, Owned.release(), &Wait);
  }

private:
  static event_base *makeBase() {
    event_config *Config = event_config_new();
    event_config_set_flag(Config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base *Made = event_base_new_with_config(Config);
    event_config_free(Config);
    return Made;
  }
  static void runTask(evutil_socket_t /*Fd*/, short /*What*/, void *Arg) {
    std::unique_ptr<std::function<void()>> Task(
        static_cast<std::function<void()> *>(Arg));
    (*Task)();
  }
  static void stopOnSignal(evutil_socket_t /*Fd*/, short /*What*/, void *Arg) {
    event_base_loopbreak(static_cast<event_base *>(Arg));
  }

  std::unique_ptr<event_base, void (*)(event_base *)> Base;
};

} // namespace marjorambay::standins

#endif // MARJORAMBAY_STANDINS_LOOP_H
