/// Structured log lines through glog: one event per line, "event=NAME
/// key=value ...". Callers never pass API keys, prompt or answer text.
#ifndef MARJORAMBAY_TRANSPORT_LOG_H
#define MARJORAMBAY_TRANSPORT_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

enum class LogLevel : std::uint8_t { Info, Warning, Error };

/// Sends log lines of \p Level ("info", "warning", "error") and above to
/// standard error.
void startLogging(const char *ProgramName, std::string_view Level);

class TimerService;

/// Sends log lines of \p Level and above to standard output instead: gathered,
/// written when the descriptor takes them and never waited for. Lines beyond a
/// bound are left out, expendable ones first, and how many is said in a line of
/// its own.
void startStdoutLogging(TimerService &Timers, std::string_view Level = "info");
/// Writes what is gathered, as far as that goes, and ends startLineLog().
void stopStdoutLogging();

/// One line, written when it goes out of scope.
class LogLine {
public:
  explicit LogLine(std::string_view Event, LogLevel Level = LogLevel::Info);
  ~LogLine();
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// Adds key=value; a value with blanks, quotes or "=" is quoted.
  LogLine &with(std::string_view Key, std::string_view Value);
  LogLine &with(std::string_view Key, std::int64_t Value);
  /// Left out before others are, when not all find room: it tells of nothing
  /// that anyone will have to explain.
  LogLine &expendable();

private:
  std::string Line{};
  LogLevel Level;
  bool Expendable = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_LOG_H
