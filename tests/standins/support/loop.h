/// One libevent loop with one-shot timers, for the stand-ins.
#ifndef MARJORAMBAY_STANDINS_LOOP_H
#define MARJORAMBAY_STANDINS_LOOP_H

#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <list>
#include <memory>
#include <utility>
#include <vector>

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
      event_add(
          Signals
              .emplace_back(evsignal_new(base(), Signal, stopOnSignal, base()),
                            event_free)
              .get(),
          nullptr);
  }

  event_base *base() const { return Base.get(); }
  void run() { event_base_dispatch(base()); }
  void stop() { event_base_loopbreak(base()); }

  /// Runs \p Task once, \p Delay from now.
  void after(microseconds Delay, std::function<void()> Task) {
    const timeval Wait = {Delay.count() / 1000000, Delay.count() % 1000000};
    Waiting.push_front({this, std::move(Task), {}});
    Waiting.front().Place = Waiting.begin();
    event_base_once(base(), -1, EV_TIMEOUT, runTask, &Waiting.front(), &Wait);
  }

private:
  struct Timer {
    Loop *Owner = nullptr;
    std::function<void()> Task{};
    std::list<Timer>::iterator Place{};
  };

  static event_base *makeBase() {
    event_config *Config = event_config_new();
    event_config_set_flag(Config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base *Made = event_base_new_with_config(Config);
    event_config_free(Config);
    return Made;
  }
  static void runTask(evutil_socket_t /*Fd*/, short /*What*/, void *Arg) {
    auto &Due = *static_cast<Timer *>(Arg);
    const std::function<void()> Task = std::move(Due.Task);
    Due.Owner->Waiting.erase(Due.Place);
    Task();
  }
  static void stopOnSignal(evutil_socket_t /*Fd*/, short /*What*/, void *Arg) {
    event_base_loopbreak(static_cast<event_base *>(Arg));
  }

  std::unique_ptr<event_base, void (*)(event_base *)> Base;
  std::vector<std::unique_ptr<event, void (*)(event *)>> Signals{};
  std::list<Timer> Waiting{};
};

} // namespace marjorambay::standins

#endif // MARJORAMBAY_STANDINS_LOOP_H
