/// Timers that call slots once or at intervals.
#ifndef MARJORAMBAY_TRANSPORT_TIMER_SERVICE_H
#define MARJORAMBAY_TRANSPORT_TIMER_SERVICE_H

#include "marjorambay/transport/event_loop.h"

#include <cstdint>
#include <unordered_map>
#include <utility>

namespace marjorambay {

/// Owns one timer subscription and ends it on destruction.
class TimerConnection {
public:
  TimerConnection() = default;
  explicit TimerConnection(const sigc::connection &Subscription)
      : Subscription(Subscription) {}
  ~TimerConnection() { Subscription.disconnect(); }
  TimerConnection(TimerConnection &&Other) noexcept { swap(Other); }
  TimerConnection &operator=(TimerConnection &&Other) noexcept {
    TimerConnection Previous;
    Previous.swap(*this);
    swap(Other);
    return *this;
  }
  TimerConnection(const TimerConnection &) = delete;
  TimerConnection &operator=(const TimerConnection &) = delete;

  void disconnect() { Subscription.disconnect(); }
  bool connected() const { return Subscription.connected(); }

private:
  void swap(TimerConnection &Other) noexcept {
    std::swap(Subscription, Other.Subscription);
  }
  sigc::connection Subscription{};
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

  /// Number of pending timers; disconnected ones count until they would fire.
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
