/// Reading of the settings file, which may be written at the same time.
#include "startup.h"

#include "marjorambay/state/settings_text.h"
#include "marjorambay/transport/log.h"

#include <thread>

namespace marjorambay {

namespace {

constexpr Duration MaxWait = seconds(5);
constexpr Duration RetryInterval = milliseconds(50);

/// Text of a settings file, parsed, or why it can't be used yet.
struct SettingsAttempt {
  Result<UsableSettings> Parsed;
  std::string Pending{}; ///< why the file is read again; "" if it isn't
};

SettingsAttempt readOnce(const std::string &Path,
                         const std::vector<SettingOverride> &Overrides) {
  const auto Text = readSettingsText(Path);
  if (!Text)
    return {Error{ErrorKind::BadSettings, Path + ": cannot be read"},
            "missing"};
  SettingsAttempt Attempt{parseUsableSettings(*Text, Path, Overrides)};
  const SettingsText Split = splitSettings(*Text);
  const bool LineCut = !Text->empty() && Text->back() != '\n';
  if (Split.truncated())
    Attempt.Pending = "no end line";
  else if (!ok(Attempt.Parsed) && !Split.Ends)
    Attempt.Pending = LineCut ? "last line cut" : "incomplete";
  return Attempt;
}

} // namespace

Result<HostSettings>
awaitSettings(const std::string &Path,
              const std::vector<SettingOverride> &Overrides) {
  std::string Logged;
  SettingsAttempt Attempt = readOnce(Path, Overrides);
  for (Duration Waited{}; !Attempt.Pending.empty() && Waited < MaxWait;
       Waited += RetryInterval) {
    if (Attempt.Pending != Logged) {
      LogLine Line("settings_awaited", LogLevel::Warning);
      Line.with("file", Path).with("reason", Attempt.Pending);
      if (!ok(Attempt.Parsed))
        Line.with("problem", error(Attempt.Parsed).Message);
      Logged = Attempt.Pending;
    }
    std::this_thread::sleep_for(RetryInterval);
    Attempt = readOnce(Path, Overrides);
  }
  if (!ok(Attempt.Parsed))
    return error(Attempt.Parsed);
  auto &[Settings, Warnings] = value(Attempt.Parsed);
  if (!Attempt.Pending.empty())
    Warnings.push_back(Path + ": " + Attempt.Pending + "; it is used as it is");
  for (const std::string &Warning : Warnings)
    LogLine("setting_adjusted", LogLevel::Warning).with("problem", Warning);
  return std::move(Settings);
}

} // namespace marjorambay
