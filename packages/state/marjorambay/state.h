/// What is known: ids, errors, configuration, settings and histograms.
///
/// [SECTION] Index
///   1. ids.h           identifiers; names become ids by hash
///   2. time.h          time points that are passed in, never read
///   3. enum_names.h    tables of enumerator names
///   4. error.h         error kinds, the table of their answers, Result<T>
///   5. fleet_config.h  the configuration that operators accept
///   6. settings.h      settings of one entry host, from INI
///   7. metrics.h       histograms and counters, Prometheus text
///   8. address.h       IP number and port
///   9. digest.h        SHA-256 of API keys
///   10. config_fields.h the names of its fields, for all codecs
///   11. config_rules.h what a configuration must meet as a whole
///   12. config_index.h  a configuration by ids, and values in force
///   13. config_manifest.h  a large document in parts
///   14. rollout_state.h one rollout, and the view of it that spreads
///   15. random.h        a random source, passed to what needs one
///
/// This package includes none of the others and does no I/O.
#ifndef MARJORAMBAY_STATE_H
#define MARJORAMBAY_STATE_H

#include "marjorambay/state/address.h"
#include "marjorambay/state/config_fields.h"
#include "marjorambay/state/config_index.h"
#include "marjorambay/state/config_rules.h"
#include "marjorambay/state/digest.h"
#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/metrics.h"
#include "marjorambay/state/settings.h"
#include "marjorambay/state/time.h"

#endif // MARJORAMBAY_STATE_H
