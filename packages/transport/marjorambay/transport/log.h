/// Structured log lines through glog: one event per line, "event=NAME
/// key=value ...". Callers must not log API keys, prompts or answer texts.
#ifndef MARJORAMBAY_TRANSPORT_LOG_H
#define MARJORAMBAY_TRANSPORT_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

enum class LogLevel : std::uint8_t { Info, Warning, Error };

/// Sends log lines of \p Level ("info", "warning", "error") and above to
/// standard error.
void startLogging(const char *ProgramName, std::string_view Level = "info");
/// Changes the level of startLogging().
void setLogLevel(std::string_view Level);

class TimerService;

/// Sends log lines of \p Level and above to standard output instead. Lines are
/// buffered and written without blocking when the descriptor accepts them. When
/// the buffer is full, lines are dropped, expendable ones first, and a further
/// line reports how many.
void startStdoutLogging(TimerService &Timers, std::string_view Level = "info");
/// Writes the buffered lines as far as the descriptor accepts them.
void flushStdoutLog();
/// Writes the buffered lines in the same way and stops logging to standard
/// output.
void stopStdoutLogging();

/// One log line, written when the object goes out of scope.
class LogLine {
public:
  explicit LogLine(std::string_view Event, LogLevel Level = LogLevel::Info);
  ~LogLine();
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// Adds key=value; a value with blanks, quotes or "=" is quoted.
  LogLine &with(std::string_view Key, std::string_view Value);
  LogLine &with(std::string_view Key, std::int64_t Value);
  /// Marks the line as one that is dropped first when the buffer is full. Used
  /// for events that nobody will have to investigate.
  LogLine &expendable();

private:
  std::string Line{};
  LogLevel Level;
  bool Expendable = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_LOG_H
