/// Events and actions of configuration: one accepted revision, in force on
/// every host within seconds, never a lower one after a higher.
#ifndef MARJORAMBAY_COORDINATION_CONFIG_SYNC_H
#define MARJORAMBAY_COORDINATION_CONFIG_SYNC_H

#include "marjorambay/coordination/idempotency.h"
#include "marjorambay/state/error.h"
#include "marjorambay/state/ids.h"

#include <string>
#include <variant>
#include <vector>

namespace marjorambay {

// ---- Events -----------------------------------------------------------------

/// An operator proposes a whole configuration on top of a revision it has read.
struct ConfigProposed {
  std::uint64_t Proposal = 0; ///< tells the operator's calls apart
  Revision Base{};
  std::string Document{}; ///< JSON; valid, but for its revision
};
/// A peer sent its configuration document.
struct ConfigReceived {
  Revision Rev{};
  std::string Document{};
};
/// A peer or its heartbeat holds a newer revision.
struct NewerConfigSeen {
  HostId Holder{};
  Revision Rev{};
};
/// This host became, or ceased to be, the zone's watcher.
struct WatcherRoleChanged {
  bool Watching = false;
};
/// The watched object changed, or the waiting watch ended without a change.
struct WatchReturned {
  ObjectRead Read{};
};
struct ConfigTicked {};

using ConfigSyncEvent =
    std::variant<ConfigProposed, ConfigReceived, NewerConfigSeen,
                 WatcherRoleChanged, WatchReturned, ObjectRead, ObjectWritten,
                 ConfigTicked>;

// ---- Actions ----------------------------------------------------------------

/// Puts a configuration in force on this host.
struct AdoptConfig {
  Revision Rev{};
  std::string Document{};
};
struct FetchConfigFromPeer {
  HostId Holder{};
  Revision AtLeast{};
};
/// Waits at the platform for a version above Above.
struct WatchObject {
  PlatformCallId Call{};
  std::string Name{};
  ObjectVersion Above = 0;
};
/// Answers an operator: accepted under a revision, or why not.
struct AnswerProposal {
  std::uint64_t Proposal = 0;
  Result<Revision> Outcome{Error{}};
};

using ConfigSyncAction =
    std::variant<AdoptConfig, FetchConfigFromPeer, WatchObject, ReadObject,
                 WriteObject, AnswerProposal>;
using ConfigSyncActions = std::vector<ConfigSyncAction>;

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_CONFIG_SYNC_H
