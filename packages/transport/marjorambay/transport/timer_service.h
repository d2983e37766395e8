/// Timers that parts subscribe to by slot.
#ifndef MARJORAMBAY_TRANSPORT_TIMER_SERVICE_H
#define MARJORAMBAY_TRANSPORT_TIMER_SERVICE_H

#include "marjorambay/transport/event_loop.h"

#include <cstdint>
#include <unordered_map>
#include <utility>

namespace marjorambay {

/// Holds one timer subscription, and ends it when destroyed.
class TimerConnection {
public:
  TimerConnection() = default;
  explicit TimerConnection(const sigc::connection &Held) : Held(Held) {}
  ~TimerConnection() { Held.disconnect(); }
  TimerConnection(TimerConnection &&Other) noexcept { swap(Other); }
  TimerConnection &operator=(TimerConnection &&Other) noexcept {
    TimerConnection Gone;
    Gone.swap(*this);
    swap(Other);
    return *this;
  }
  TimerConnection(const TimerConnection &) = delete;
  TimerConnection &operator=(const TimerConnection &) = delete;

  void disconnect() { Held.disconnect(); }
  bool connected() const { return Held.connected(); }

private:
  void swap(TimerConnection &Other) noexcept { std::swap(Held, Other.Held); }
  sigc::connection Held{};
};

/// Calls slots at intervals, or once. A slot may end its own subscription, or
/// add others, while it runs.
class TimerService {
public:
  explicit TimerService(EventLoop &Loop);
  ~TimerService();

  /// Calls \p Slot each \p Interval, first after one interval.
  [[nodiscard]] TimerConnection every(Duration Interval,
                                      sigc::slot<void()> Slot);
  /// Calls \p Slot once after \p Delay.
  [[nodiscard]] TimerConnection once(Duration Delay, sigc::slot<void()> Slot);

  /// Timers that are still pending; disconnected ones count until they fire.
  std::size_t size() const { return Timers.size(); }

private:
  enum class TimerId : std::uint64_t {};
  struct Timer;

  TimerConnection add(Duration Delay, bool Repeats, sigc::slot<void()> Slot);
  void fire(TimerId Id);

  EventLoop &Loop;
  std::uint64_t LastId = 0;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> Timers;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_TIMER_SERVICE_H
