/// Accepts connections of a listening socket.
#include "marjorambay/transport/acceptor.h"

#include "marjorambay/transport/descriptors.h"
#include "marjorambay/transport/log.h"

#include <event2/event.h>

#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

namespace {

/// Connections accepted in one loop turn before other events are handled.
constexpr int MaxAcceptsPerTurn = 64;
constexpr Duration LogInterval = seconds(5);

} // namespace

AcceptFailure classifyAcceptError(int Errno) {
  switch (Errno) {
  case EAGAIN:
    return AcceptFailure::NoneWaiting;
  case EMFILE:
  case ENFILE:
  case ENOBUFS:
  case ENOMEM:
    return AcceptFailure::Shortage;
  case EBADF:
  case EINVAL:
  case ENOTSOCK:
  case EOPNOTSUPP:
  case EFAULT:
    return AcceptFailure::Broken;
  default:
    // accept() also reports errors of the new connection, such as
    // ECONNABORTED, EPROTO or EHOSTUNREACH, and of firewall rules, EPERM.
    return AcceptFailure::ConnectionLost;
  }
}

void AcceptFailureLog::report(TimePoint Now, std::string_view Listener,
                              int Errno, std::size_t Open) {
  ++Unreported;
  if (LastLine != TimePoint{} && Now - LastLine < LogInterval)
    return;
  LogLine("accept_failed", LogLevel::Warning)
      .with("listener", Listener)
      .with("why", std::strerror(Errno))
      .with("errno", Errno)
      .with("connections", static_cast<std::int64_t>(Open))
      .with("descriptor_limit", static_cast<std::int64_t>(descriptorLimit()))
      .with("times", static_cast<std::int64_t>(Unreported));
  LastLine = Now;
  Unreported = 0;
}

void Acceptor::start(int Listener) {
  Descriptor = Listener;
  Event.reset(event_new(Loop.base(), Descriptor, EV_READ | EV_PERSIST,
                        &Acceptor::onAcceptable, this));
  event_add(Event.get(), nullptr);
}

void Acceptor::stop() {
  Retry.disconnect();
  Event.reset();
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
}

void Acceptor::pause() {
  if (Paused || !Event)
    return;
  Paused = true;
  ++Counters.Pauses;
  event_del(Event.get());
  Retry = Timers.once(RetryInterval, [this]() { resume(); });
}

void Acceptor::resume() {
  if (!Paused || !Event)
    return;
  Paused = false;
  Retry.disconnect();
  event_add(Event.get(), nullptr);
}

void Acceptor::onAcceptable(int, short, void *Self) {
  static_cast<Acceptor *>(Self)->acceptPending();
}

void Acceptor::acceptPending() {
  for (int Count = 0; Count < MaxAcceptsPerTurn && listening(); ++Count) {
    if (!HasRoom())
      return pause();
    const int New =
        accept4(Descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (New < 0) {
      const int Errno = errno;
      if (classifyAcceptError(Errno) == AcceptFailure::NoneWaiting)
        return;
      handleFailure(Errno);
      if (Paused)
        return;
      continue;
    }
    ++Counters.Accepted;
    Accepted(New);
  }
}

void Acceptor::handleFailure(int Errno) {
  const AcceptFailure Failure = classifyAcceptError(Errno);
  if (Failure == AcceptFailure::ConnectionLost) {
    ++Counters.Lost;
    return;
  }
  if (Failure == AcceptFailure::Shortage)
    ++Counters.Shortages;
  // Freeing a descriptor may resume accepting, so the pause comes first.
  pause();
  FailureLog.report(Loop.now(), Name, Errno, Shortage());
}

} // namespace marjorambay
