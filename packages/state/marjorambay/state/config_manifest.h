/// Content of the platform object config/fleet: the configuration document, or
/// the list of parts into which a large document is split.
#ifndef MARJORAMBAY_STATE_CONFIG_MANIFEST_H
#define MARJORAMBAY_STATE_CONFIG_MANIFEST_H

#include "marjorambay/state/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjorambay {

/// One part of a document. Parts are stored as separate immutable objects named
/// by the hash of their content.
struct ConfigPart {
  std::uint64_t Digest = 0; ///< hash64() of its bytes
  std::uint32_t Size = 0;   ///< bytes

  bool operator==(const ConfigPart &) const = default;
};

/// One accepted proposal. Its resulting revision is the Base of the next
/// record.
struct ProposalRecord {
  std::uint64_t Id = 0; ///< unique; chosen at random by the proposing host
  Revision Base{};      ///< revision that the proposal is based on
};

struct ConfigManifest {
  std::string Document{}; ///< complete document; empty if there are parts
  std::vector<ConfigPart> Parts{}; ///< in document order
  /// Newest last. Shows whether a write was applied whose response was lost.
  std::vector<ProposalRecord> RecentProposals{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_CONFIG_MANIFEST_H
