/// Shared data types: ids, errors, configuration, settings and histograms.
///
/// [SECTION] Index
///   1. ids.h           identifiers, derived from names by hashing
///   2. time.h          time types; the clock is never read here
///   3. enum_names.h    tables of enumerator names
///   4. error.h         error kinds, their HTTP status codes, Result<T>
///   5. fleet_config.h  the fleet configuration that operators write
///   6. settings.h      settings of one entry host, from an INI file
///   7. metrics.h       histograms and counters, Prometheus text
///   8. address.h       IP address and port
///   9. digest.h        SHA-256 of API keys
///   10. config_fields.h  field names of the configuration, for all codecs
///   11. config_rules.h  validation of a configuration
///   12. config_index.h  lookups by id, and effective values
///   13. config_manifest.h  a large document split into parts
///   14. rollout_state.h  one rollout, and the summary sent between hosts
///   15. random.h        random number source, passed in by the caller
///
/// This package depends on no other package and does no I/O except reading the
/// settings file.
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
