/// Log lines on glog.
#include "marjorambay/transport/log.h"

#include "marjorambay/transport/timer_service.h"

#include <glog/logging.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace marjorambay {

namespace {

constexpr auto LevelNames =
    std::to_array<std::string_view>({"info", "warning", "error"});

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (const char Character : Value)
    if (Character <= ' ' || Character == '"' || Character == '=' ||
        Character == '\\')
      return true;
  return false;
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line += '"';
  for (const char Character : Value) {
    if (Character == '"' || Character == '\\')
      Line += '\\';
    // A control character, such as a line break, could forge another log line.
    Line += static_cast<unsigned char>(Character) < ' ' ? ' ' : Character;
  }
  Line += '"';
}

/// Lines that wait to be written to standard output. A process has one standard
/// output, so this state is global, like that of glog.
struct LineBuffer {
  static constexpr std::size_t MaxBytes = 256 << 10;
  static constexpr std::size_t WriteThresholdBytes = 32 << 10;
  static constexpr Duration WriteInterval = milliseconds(200);

  bool Active = false;
  LogLevel MinLevel = LogLevel::Info;
  std::string Lines{};
  std::uint64_t Dropped = 0;
  TimerConnection Timer{};

  void add(LogLevel Level, const std::string &Line, bool Expendable) {
    if (Level < MinLevel)
      return;
    const std::size_t Limit = Expendable ? MaxBytes / 2 : MaxBytes;
    if (Lines.size() + Line.size() > Limit) {
      ++Dropped;
      return;
    }
    timespec Now{};
    clock_gettime(CLOCK_REALTIME, &Now);
    std::array<char, 48> Stamp{};
    const int Size =
        std::snprintf(Stamp.data(), Stamp.size(),
                      "t=%lld.%03ld level=", static_cast<long long>(Now.tv_sec),
                      Now.tv_nsec / 1000000);
    Lines.append(Stamp.data(), static_cast<std::size_t>(Size));
    Lines += LevelNames[static_cast<std::size_t>(Level)];
    Lines += ' ';
    Lines += Line;
    Lines += '\n';
    if (Lines.size() >= WriteThresholdBytes)
      write();
  }

  void write() {
    if (Dropped != 0 && Lines.size() < MaxBytes / 2) {
      Lines += "level=warning event=log_lines_dropped count=" +
               std::to_string(Dropped) + "\n";
      Dropped = 0;
    }
    if (Lines.empty())
      return;
    const ssize_t Written = ::write(STDOUT_FILENO, Lines.data(), Lines.size());
    if (Written > 0)
      Lines.erase(0, static_cast<std::size_t>(Written));
  }
};

LineBuffer &lineBuffer() {
  static LineBuffer Buffer;
  return Buffer;
}

} // namespace

void startStdoutLogging(TimerService &Timers, std::string_view Level) {
  const int Flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  LineBuffer &Buffer = lineBuffer();
  Buffer.Active = true;
  Buffer.MinLevel = Level == "error"     ? LogLevel::Error
                    : Level == "warning" ? LogLevel::Warning
                                         : LogLevel::Info;
  Buffer.Timer =
      Timers.every(LineBuffer::WriteInterval, [&Buffer]() { Buffer.write(); });
}

void flushStdoutLog() {
  if (lineBuffer().Active)
    lineBuffer().write();
}

void stopStdoutLogging() {
  LineBuffer &Buffer = lineBuffer();
  if (!Buffer.Active)
    return;
  Buffer.write();
  Buffer.Active = false;
  Buffer.Timer.disconnect();
}

void setLogLevel(std::string_view Level) {
  FLAGS_minloglevel = Level == "error"     ? google::GLOG_ERROR
                      : Level == "warning" ? google::GLOG_WARNING
                                           : google::GLOG_INFO;
}

void startLogging(const char *ProgramName, std::string_view Level) {
  FLAGS_logtostderr = true;
  setLogLevel(Level);
  google::InitGoogleLogging(ProgramName);
}

LogLine::LogLine(std::string_view Event, LogLevel Level) : Level(Level) {
  Line = "event=";
  Line += Event;
}

LogLine::~LogLine() {
  if (lineBuffer().Active) {
    lineBuffer().add(Level, Line, Expendable);
    return;
  }
  switch (Level) {
  case LogLevel::Info:
    LOG(INFO) << Line;
    return;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    return;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    return;
  }
}

LogLine &LogLine::expendable() {
  Expendable = true;
  return *this;
}

LogLine &LogLine::with(std::string_view Key, std::string_view Value) {
  Line += ' ';
  Line += Key;
  Line += '=';
  if (needsQuotes(Value))
    appendQuoted(Line, Value);
  else
    Line += Value;
  return *this;
}

LogLine &LogLine::with(std::string_view Key, std::int64_t Value) {
  return with(Key, std::to_string(Value));
}

} // namespace marjorambay
