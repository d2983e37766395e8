/// Division of the descriptors that a process may open.
///
/// Callers and targets each have a share, so that neither takes what the other
/// needs, and a reserve is left for the platform's store, other hosts, probes
/// and files, so that none of these depends on the number of callers.
#ifndef MARJORAMBAY_COORDINATION_DESCRIPTOR_BUDGET_H
#define MARJORAMBAY_COORDINATION_DESCRIPTOR_BUDGET_H

#include <cstddef>

namespace marjorambay {

struct DescriptorLimits {
  /// For the process, as the platform states it; 0 if it does not.
  std::size_t Stated = 0;
  std::size_t System = 0; ///< of the operating system
};

/// Numbers of descriptors. The shares add up to Limit at most.
struct DescriptorShares {
  std::size_t Limit = 0;   ///< for all sockets of the process
  std::size_t Callers = 0; ///< connections of callers
  /// Connections of callers above their share, whose requests are rejected.
  std::size_t CallersOverLimit = 0;
  std::size_t Targets = 0; ///< connections to targets
  std::size_t Probes = 0;  ///< of readiness probes, and the same of operators
  std::size_t Hosts = 0;   ///< connections of other hosts
  std::size_t Others = 0;  ///< the store, other hosts as hubs, and files
};

/// Divides the descriptors. \p MaxCallers: connections of callers, as set; what
/// they leave of their half goes to targets.
DescriptorShares divideDescriptors(const DescriptorLimits &Limits,
                                   std::size_t MaxCallers);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_DESCRIPTOR_BUDGET_H
