/// Calls to the operator port of one entry host, one after the other.
#ifndef MARJORAMBAYCTL_HOST_CLIENT_H
#define MARJORAMBAYCTL_HOST_CLIENT_H

#include "command.h"

#include "marjorambay/state/fleet_config.h"

#include <string>
#include <vector>

namespace marjorambay {

/// What one host knows of another.
struct HostRevision {
  std::string Address{}; ///< of its peer socket
  std::string State{};   ///< live, suspect or lost
  Revision Rev{};
};

/// What /inspect says, as far as the verbs read it.
struct HostView {
  std::string Name{};
  std::string Zone{};
  Revision Rev{};
  bool Draining = false;
  std::vector<HostRevision> Members{};
  std::string Json{}; ///< the whole answer
};

/// Each call waits for its answer. Errors keep the kind that the host gave;
/// a host that does not answer is NotReady.
class HostClient {
public:
  explicit HostClient(const CommandLine &Line) : Address(Line.Host) {}

  Result<std::string> get(const std::string &Path) const;
  Result<std::string> post(const std::string &Path,
                           const std::string &Body) const;
  Result<FleetConfig> config() const;
  Result<HostView> inspect() const;
  /// Proposes \p Config on its own revision; returns the accepted one.
  Result<Revision> propose(const FleetConfig &Config) const;

private:
  std::string Address;

  Result<std::string> call(const std::string &Method, const std::string &Path,
                           const std::string &Body,
                           const std::string &BaseRevision) const;
};

} // namespace marjorambay

#endif // MARJORAMBAYCTL_HOST_CLIENT_H
