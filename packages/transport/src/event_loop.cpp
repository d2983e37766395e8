/// The event loop on libevent.
#include "marjorambay/transport/event_loop.h"

#include <event2/event.h>

#include <cassert>
#include <chrono>
#include <ctime>
#include <utility>

namespace marjorambay {

struct EventLoop::SignalHandler {
  EventPtr Event{};
  sigc::slot<void()> Handler{};
};

void EventDeleter::operator()(event *Event) const { event_free(Event); }

namespace {

/// Makes libevent batch changes of the epoll interest set until it waits, so a
/// write event that is added and removed within one turn costs no system call.
event_base *newBase() {
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_base *Base = event_base_new_with_config(Config);
  event_config_free(Config);
  return Base;
}

} // namespace

EventLoop::EventLoop() : Base(newBase()) {
  assert(Base && "libevent has no usable back end on this machine");
  DeferredEvent.reset(event_new(
      Base, -1, 0,
      [](evutil_socket_t, short, void *Self) {
        static_cast<EventLoop *>(Self)->runDeferred();
      },
      this));
}

EventLoop::~EventLoop() {
  Signals.clear();
  DeferredEvent.reset();
  event_base_free(Base);
}

void EventLoop::run() { event_base_dispatch(Base); }

void EventLoop::stop() { event_base_loopbreak(Base); }

void EventLoop::defer(sigc::slot<void()> Work) {
  if (Deferred.empty())
    event_active(DeferredEvent.get(), EV_TIMEOUT, 0);
  Deferred.push_back(std::move(Work));
}

void EventLoop::runDeferred() {
  // Work that is deferred by this work runs in the next batch.
  std::vector<sigc::slot<void()>> Batch;
  Batch.swap(Deferred);
  for (auto &Work : Batch)
    Work();
}

void EventLoop::onSignal(int Signal, sigc::slot<void()> Handler) {
  auto Entry = std::make_unique<SignalHandler>();
  Entry->Handler = std::move(Handler);
  Entry->Event.reset(evsignal_new(
      Base, Signal,
      [](evutil_socket_t, short, void *Self) {
        static_cast<SignalHandler *>(Self)->Handler();
      },
      Entry.get()));
  event_add(Entry->Event.get(), nullptr);
  Signals.push_back(std::move(Entry));
}

TimePoint EventLoop::now() const {
  // Unlike the steady clock, CLOCK_BOOTTIME includes the time for which the
  // host is suspended, so leases and deadlines have expired when it resumes.
  timespec Since{};
  clock_gettime(CLOCK_BOOTTIME, &Since);
  const TimePoint Now(seconds(Since.tv_sec) +
                      microseconds(Since.tv_nsec / 1000));
  if (LastRead != TimePoint{} && Now - LastRead > MinPause)
    ResumedAt = Now;
  LastRead = Now;
  return Now;
}

WallTime EventLoop::wallClockNow() const {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Duration>(Since));
}

} // namespace marjorambay
