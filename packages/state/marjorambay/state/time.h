/// Time types. Times are passed in with each event; the core reads no clock.
#ifndef MARJORAMBAY_STATE_TIME_H
#define MARJORAMBAY_STATE_TIME_H

#include <chrono>
#include <cstdint>

namespace marjorambay {

using Duration = std::chrono::microseconds;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Clock tags without now(), so that code can store times but not read clocks.
struct MonotonicClock {
  using duration = Duration;       // NOLINT(readability-identifier-naming)
  using rep = duration::rep;       // NOLINT(readability-identifier-naming)
  using period = duration::period; // NOLINT(readability-identifier-naming)
  using time_point =               // NOLINT(readability-identifier-naming)
      std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true; // NOLINT
};
struct UnixClock {
  using duration = Duration;       // NOLINT(readability-identifier-naming)
  using rep = duration::rep;       // NOLINT(readability-identifier-naming)
  using period = duration::period; // NOLINT(readability-identifier-naming)
  using time_point =               // NOLINT(readability-identifier-naming)
      std::chrono::time_point<UnixClock>;
  static constexpr bool is_steady = false; // NOLINT
};

/// Monotonic time of this process; not comparable between processes.
using TimePoint = MonotonicClock::time_point;

/// Wall-clock time in microseconds since the Unix epoch. Used only for
/// deadlines shared between processes and for timestamps in logs and objects.
using WallTime = UnixClock::time_point;

/// Returns \p Time as a number of seconds.
constexpr double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Returns the duration of \p Value seconds.
constexpr Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_TIME_H
