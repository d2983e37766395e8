/// Accepts connections of a listening socket, and waits when the system has
/// nothing left for them.
///
/// [SECTION] Index
///   1. AcceptFailure     what a failed accept calls for
///   2. AcceptorCounters  for metrics
///   3. Acceptor          the listening socket and its event
#ifndef MARJORAMBAY_TRANSPORT_ACCEPTOR_H
#define MARJORAMBAY_TRANSPORT_ACCEPTOR_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/timer_service.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

enum class AcceptFailure : std::uint8_t {
  NoneWaiting,    ///< all connections that were waiting are accepted
  ConnectionLost, ///< this connection can't be accepted, the next one may be
  Shortage,       ///< of descriptors or memory; the connection still waits
  Broken,         ///< the listening socket itself is unusable
};
template <>
inline constexpr std::array NamesOf<AcceptFailure> =
    std::to_array<std::string_view>({"none_waiting", "connection_lost",
                                     "shortage", "broken"});
static_assert(NamesOf<AcceptFailure>.size() == 4);

/// Returns what to do about \p Errno of accept().
AcceptFailure classifyAcceptError(int Errno);

struct AcceptorCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Lost = 0;      ///< connections that failed before they were
                               ///< accepted
  std::uint64_t Shortages = 0; ///< accepts that failed for lack of descriptors
                               ///< or memory
  std::uint64_t Pauses = 0;    ///< for any reason
};

/// Logs accepts that fail for lack of descriptors or memory, at most once in a
/// while.
class AcceptFailureLog {
public:
  /// \p Open: connections of this listener.
  void report(TimePoint Now, std::string_view Listener, int Errno,
              std::size_t Open);

private:
  TimePoint LastLine{};
  std::uint64_t Unreported = 0;
};

/// A listening socket. While it is paused it is not watched, since a listening
/// socket stays readable as long as connections wait.
class Acceptor {
public:
  /// After this time an accept is tried again, if nothing resumes it earlier.
  static constexpr Duration RetryInterval = milliseconds(100);

  Acceptor(EventLoop &Loop, TimerService &Timers, std::string Name)
      : Loop(Loop), Timers(Timers), Name(std::move(Name)) {}
  ~Acceptor() { stop(); }
  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  /// Takes ownership of a listening descriptor.
  void start(int Listener);
  /// Closes the listening socket.
  void stop();
  /// Resumes after a pause; called when a descriptor was freed.
  void resume();

  bool listening() const { return Descriptor >= 0; }
  bool paused() const { return Paused; }
  const AcceptorCounters &counters() const { return Counters; }

  /// Whether there is room for one more connection; if not, the acceptor
  /// pauses and connections wait in the backlog.
  sigc::slot<bool()> HasRoom{};
  /// Receives an accepted descriptor.
  sigc::slot<void(int)> Accepted{};
  /// The system has no descriptor or memory for one more connection. The slot
  /// may free some and returns the number of open connections.
  sigc::slot<std::size_t()> Shortage{};

private:
  static void onAcceptable(int Descriptor, short Events, void *Self);
  void acceptPending();
  void handleFailure(int Errno);
  void pause();

  EventLoop &Loop;
  TimerService &Timers;
  std::string Name; ///< in log lines
  int Descriptor = -1;
  bool Paused = false;
  EventPtr Event{};
  TimerConnection Retry{};
  AcceptFailureLog FailureLog{};
  AcceptorCounters Counters{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_ACCEPTOR_H
