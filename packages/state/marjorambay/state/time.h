/// Time as the core sees it: passed in with each event, never read.
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

/// Clock tags without a now(): the core can hold times, not read them.
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

/// Steady time of this process; meaningless to any other process.
using TimePoint = MonotonicClock::time_point;

/// Microseconds since the Unix epoch; used only for deadlines that several
/// processes share, and for stamps that people read.
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
