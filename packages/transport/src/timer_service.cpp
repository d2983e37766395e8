/// Timers on libevent.
#include "marjorambay/transport/timer_service.h"

#include <event2/event.h>

namespace marjorambay {

struct TimerService::Timer {
  TimerService *Owner = nullptr;
  TimerId Id{};
  bool Repeats = false;
  EventPtr Event{};
  sigc::signal<void()> Fired{};
};

TimerService::TimerService(EventLoop &Loop) : Loop(Loop) {}

TimerService::~TimerService() = default;

TimerConnection TimerService::every(Duration Interval,
                                    sigc::slot<void()> Slot) {
  return add(Interval, true, std::move(Slot));
}

TimerConnection TimerService::once(Duration Delay, sigc::slot<void()> Slot) {
  return add(Delay, false, std::move(Slot));
}

TimerConnection TimerService::add(Duration Delay, bool Repeats,
                                  sigc::slot<void()> Slot) {
  const auto Id = static_cast<TimerId>(++LastId);
  auto Entry = std::make_unique<Timer>();
  Entry->Owner = this;
  Entry->Id = Id;
  Entry->Repeats = Repeats;
  const short Flags = Repeats ? EV_PERSIST : 0;
  Entry->Event.reset(event_new(
      Loop.base(), -1, Flags,
      [](evutil_socket_t, short, void *Arg) {
        auto *Self = static_cast<Timer *>(Arg);
        Self->Owner->fire(Self->Id);
      },
      Entry.get()));
  const auto Seconds = std::chrono::duration_cast<seconds>(Delay);
  const timeval Wait{Seconds.count(), (Delay - Seconds).count()};
  event_add(Entry->Event.get(), &Wait);
  TimerConnection Connection(Entry->Fired.connect(std::move(Slot)));
  Timers.emplace(Id, std::move(Entry));
  return Connection;
}

void TimerService::fire(TimerId Id) {
  auto Found = Timers.find(Id);
  if (Found == Timers.end())
    return;
  // The reference stays valid while the slot adds timers: they may rehash the
  // table, but a rehash moves no node.
  Timer &Current = *Found->second;
  Current.Fired.emit();
  if (!Current.Repeats || Current.Fired.empty())
    Timers.erase(Id);
}

} // namespace marjorambay
