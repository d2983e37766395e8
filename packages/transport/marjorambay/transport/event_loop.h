/// The libevent loop of a process, with its clocks, signal handlers and
/// deferred work.
#ifndef MARJORAMBAY_TRANSPORT_EVENT_LOOP_H
#define MARJORAMBAY_TRANSPORT_EVENT_LOOP_H

#include "marjorambay/state/time.h"
#include "marjorambay/transport/socket_signals.h"

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

/// Event loop that runs all work of a process on one thread.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop(). Events of one turn are handled before the next wait.
  void run();
  /// Makes run() return after the current event is handled.
  void stop();

  /// Calls \p Work once, after the current callback has returned and before the
  /// loop waits again. Used for calls that a library forbids inside its own
  /// callbacks.
  void defer(sigc::slot<void()> Work);

  /// Calls \p Handler in the loop when the process gets \p Signal.
  void onSignal(int Signal, sigc::slot<void()> Handler);

  /// Monotonic time that includes the time for which the host is suspended.
  /// Each call reads the clock.
  TimePoint now() const;
  /// A process whose clock was not read for longer than this was paused: its
  /// timers read it every few dozen milliseconds. Well above what a small CPU
  /// quota keeps a process from running.
  static constexpr Duration MinPause = seconds(1);
  /// End of the last pause, by the reads of now(): what was decided before may
  /// no longer hold, and neither may what arrived before. 0 if there was none.
  TimePoint resumedAt() const {
    now();
    return ResumedAt;
  }
  /// Unix time. Each call reads the clock.
  WallTime wallClockNow() const;

  event_base *base() const { return Base; } ///< for the transport package only
  SocketSignals &socketSignals() { return PeerSignalReader; } ///< the same

private:
  struct SignalHandler;
  void runDeferred();

  event_base *Base = nullptr;
  SocketSignals PeerSignalReader{};
  mutable TimePoint LastRead{}; ///< of the clock, by now()
  mutable TimePoint ResumedAt{};
  EventPtr DeferredEvent{};
  std::vector<sigc::slot<void()>> Deferred{};
  std::vector<std::unique_ptr<SignalHandler>> Signals;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_EVENT_LOOP_H
