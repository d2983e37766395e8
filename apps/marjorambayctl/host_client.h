/// Synchronous client of the operator port of one entry host.
#ifndef MARJORAMBAYCTL_HOST_CLIENT_H
#define MARJORAMBAYCTL_HOST_CLIENT_H

#include "command.h"

#include "marjorambay/state/fleet_config.h"

#include <string>
#include <vector>

namespace marjorambay {

/// The state of a host as another host reports it.
struct HostRevision {
  std::string Address{}; ///< address of its peer socket
  std::string State{};   ///< live, suspect or lost
  Revision Rev{};
};

/// The fields of /inspect that the verbs use.
struct HostView {
  std::string Name{};
  std::string Zone{};
  Revision Rev{};
  bool Draining = false;
  std::vector<HostRevision> Members{};
  std::string Json{}; ///< the complete response
};

/// Each call waits for its response. Errors keep the kind that the host
/// reported. If the host does not respond, a read fails as NotReady and a
/// change as OutcomeUnknown.
class HostClient {
public:
  explicit HostClient(const CommandLine &Line) : Address(Line.Host) {}

  Result<std::string> get(const std::string &Path) const;
  Result<std::string> post(const std::string &Path,
                           const std::string &Body) const;
  Result<FleetConfig> config() const;
  Result<HostView> inspect() const;
  /// Proposes \p Config based on its revision; returns the accepted revision.
  Result<Revision> propose(const FleetConfig &Config) const;

private:
  std::string Address;

  Result<std::string> call(const std::string &Method, const std::string &Path,
                           const std::string &Body,
                           const std::string &BaseRevision) const;
};

} // namespace marjorambay

#endif // MARJORAMBAYCTL_HOST_CLIENT_H
