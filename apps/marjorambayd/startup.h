/// Start of a process: signals, descriptors and settings, before a host exists.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_STARTUP_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_STARTUP_H

#include "marjorambay/state/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace marjorambay {

/// Ignores signals whose default action ends the process, and lets those that
/// stop a host exit with 0, until the event loop handles them. Leaves handlers
/// that are installed alone.
void setStartSignals();

/// Reads the settings file. A file that is missing, or incomplete because it is
/// still being written, is read again for a few seconds. Logs each setting that
/// is not used as given.
Result<HostSettings>
awaitSettings(const std::string &Path,
              const std::vector<SettingOverride> &Overrides);

/// Calls \p Bind, and again for a few seconds while it returns
/// AddressUnavailable. \p Listener names what is bound in the log.
Result<Done> awaitAddress(std::string_view Listener,
                          const std::function<Result<Done>()> &Bind);

/// Logs that the process can't start, and returns its exit code.
int reportFailedStart(const Error &Reason);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_STARTUP_H
