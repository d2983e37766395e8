/// Division of the descriptors that a process may open.
#include "marjorambay/coordination/descriptor_budget.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Of the stated limit, what the platform keeps for files. A small limit keeps
/// a quarter.
constexpr std::size_t ReservedForFiles = 200;
/// A smaller limit keeps a quarter for all but callers and targets.
constexpr std::size_t MaxReserve = 320;
constexpr std::size_t ReserveDivisor = 4;
/// Parts of the reserve: callers over the limit, probes, operators and others.
constexpr std::size_t ReserveParts = 4;
/// Hosts that follow this one as a hub hold a connection for each kind of
/// object: 100 hosts, and half as many again without another hub.
constexpr std::size_t MaxForHosts = 1024;
constexpr std::size_t HostsDivisor = 8; ///< of the limit

} // namespace

DescriptorShares divideDescriptors(const DescriptorLimits &Limits,
                                   std::size_t MaxCallers) {
  DescriptorShares Shares;
  Shares.Limit = Limits.System;
  if (Limits.Stated != 0) {
    const std::size_t ForFiles = Limits.Stated > 2 * ReservedForFiles
                                     ? ReservedForFiles
                                     : Limits.Stated / ReserveDivisor;
    Shares.Limit = std::min(Limits.System, Limits.Stated - ForFiles);
  }
  const std::size_t Reserve =
      std::min(MaxReserve, Shares.Limit / ReserveDivisor);
  const std::size_t Part = Reserve / ReserveParts;
  Shares.CallersOverLimit = Part;
  Shares.Probes = Part;
  Shares.Others = Reserve - 3 * Part; // operators have as many as probes
  Shares.Hosts = std::min(MaxForHosts, Shares.Limit / HostsDivisor);
  const std::size_t Shared = Shares.Limit - Reserve - Shares.Hosts;
  Shares.Callers = std::min(MaxCallers, Shared / 2);
  Shares.Targets = Shared - Shares.Callers;
  return Shares;
}

} // namespace marjorambay
