/// Identity of this host, for both modes of operation.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_HOST_IDENTITY_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_HOST_IDENTITY_H

#include "marjorambay/coordination/membership.h"
#include "marjorambay/state/settings.h"

#include <cstdint>

namespace marjorambay {

inline HostInfo hostInfoFrom(const HostSettings &Settings) {
  return {idOf<HostId>(Settings.HostName), Settings.PeerAddress,
          idOf<ZoneId>(Settings.ZoneName), idOf<RegionId>(Settings.RegionName)};
}

/// Derives the incarnation from the start time, so that a restarted host has a
/// higher one.
inline IncarnationId incarnationAt(WallTime Now) {
  return IncarnationId{
      static_cast<std::uint64_t>(Now.time_since_epoch().count())};
}

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_HOST_IDENTITY_H
