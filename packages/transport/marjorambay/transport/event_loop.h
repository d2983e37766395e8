/// The one libevent loop of a process, its clocks, and work put off by a turn.
#ifndef MARJORAMBAY_TRANSPORT_EVENT_LOOP_H
#define MARJORAMBAY_TRANSPORT_EVENT_LOOP_H

#include "marjorambay/state/time.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace marjorambay {

/// Frees libevent events.
struct EventDeleter {
  void operator()(event *Event) const;
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

/// Runs everything of a process on one thread.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop(). Events of one turn are handled before the next wait.
  void run();
  /// Ends run() after the event that is being handled.
  void stop();

  /// Calls \p Work once, outside the current callback, before the loop waits
  /// again. For what a library forbids inside its own callbacks.
  void defer(sigc::slot<void()> Work);

  /// Calls \p Handler in the loop when the process gets \p Signal.
  void onSignal(int Signal, sigc::slot<void()> Handler);

  /// Steady time that goes on while the host is suspended; one clock read.
  TimePoint now() const;
  /// Unix time; one clock read.
  WallTime wallClockNow() const;

  event_base *base() const { return Base; } ///< for the other transport files

private:
  struct SignalHandler;
  void runDeferred();

  event_base *Base = nullptr;
  EventPtr DeferredEvent{};
  std::vector<sigc::slot<void()>> Deferred{};
  std::vector<std::unique_ptr<SignalHandler>> Signals;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_EVENT_LOOP_H
