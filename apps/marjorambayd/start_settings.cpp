/// Reading of the settings file.
#include "startup.h"

#include "marjorambay/transport/log.h"

namespace marjorambay {

Result<HostSettings>
awaitSettings(const std::string &Path,
              const std::vector<SettingOverride> &Overrides) {
  const auto Text = readSettingsText(Path);
  if (!Text)
    return Error{ErrorKind::BadSettings, Path + ": cannot be read"};
  Result<UsableSettings> Parsed = parseUsableSettings(*Text, Path, Overrides);
  if (!ok(Parsed))
    return error(Parsed);
  for (const std::string &Warning : value(Parsed).Warnings)
    LogLine("setting_adjusted", LogLevel::Warning).with("problem", Warning);
  return std::move(value(Parsed).Settings);
}

} // namespace marjorambay
