/// What the platform object config/fleet holds: the configuration document
/// itself, or the list of the parts into which a large one is split.
#ifndef MARJORAMBAY_STATE_CONFIG_MANIFEST_H
#define MARJORAMBAY_STATE_CONFIG_MANIFEST_H

#include "marjorambay/state/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjorambay {

/// One part of a document, an object of its own that never changes: its name is
/// the digest of its bytes.
struct ConfigPart {
  std::uint64_t Digest = 0; ///< hash64() of its bytes
  std::uint32_t Size = 0;   ///< bytes

  bool operator==(const ConfigPart &) const = default;
};

/// One accepted proposal. The next record's Base is the revision it got.
struct ProposalRecord {
  std::uint64_t Id = 0; ///< unique; drawn by the host that wrote it
  Revision Base{};      ///< revision on which it was made
};

struct ConfigManifest {
  std::string Document{};          ///< whole, when there are no parts
  std::vector<ConfigPart> Parts{}; ///< in the order of the document
  std::vector<ProposalRecord>
      RecentProposals{}; ///< newest last; settles lost answers
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_CONFIG_MANIFEST_H
