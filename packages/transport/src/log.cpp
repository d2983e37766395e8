/// Log lines on glog.
#include "marjorambay/transport/log.h"

#include <glog/logging.h>

namespace marjorambay {

namespace {

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (const char Each : Value)
    if (Each <= ' ' || Each == '"' || Each == '=' || Each == '\\')
      return true;
  return false;
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line += '"';
  for (const char Each : Value) {
    if (Each == '"' || Each == '\\')
      Line += '\\';
    // A control character could forge a line of its own.
    Line += static_cast<unsigned char>(Each) < ' ' ? ' ' : Each;
  }
  Line += '"';
}

} // namespace

void startLogging(const char *ProgramName, std::string_view Level) {
  FLAGS_logtostderr = true;
  if (Level == "warning")
    FLAGS_minloglevel = google::GLOG_WARNING;
  if (Level == "error")
    FLAGS_minloglevel = google::GLOG_ERROR;
  google::InitGoogleLogging(ProgramName);
}

LogLine::LogLine(std::string_view Event, LogLevel Level) : Level(Level) {
  Line = "event=";
  Line += Event;
}

LogLine::~LogLine() {
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
