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

/// Opens /dev/null for standard descriptors that are closed. Otherwise a socket
/// gets such a number, and log lines are written to its peer.
void openStandardStreams();

/// Raises the soft limit of descriptors to \p Wanted, or to the hard limit if
/// that is lower or \p Wanted is 0.
void raiseDescriptorLimit(std::uint64_t Wanted);

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

/// Says that there is no memory, and exits. Allocates nothing.
[[noreturn]] void exitOutOfMemory();

/// Logs that the process can't start, and returns its exit code.
int reportFailedStart(const Error &Reason);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_STARTUP_H
