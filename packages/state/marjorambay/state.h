/// What is known: ids, errors, configuration, settings and histograms.
///
/// [SECTION] Index
///   1. ids.h           identifiers; names become ids by hash
///   2. time.h          time points that are passed in, never read
///   3. enum_names.h    tables of enumerator names
///   4. error.h         error kinds, the table of their answers, Result<T>
///   5. fleet_config.h  the configuration that operators accept
///   6. config_fields.h the names of its fields, for all codecs
///   7. config_rules.h  what a configuration must meet as a whole
///   8. config_index.h  a configuration by ids, and values in force
///
/// This package includes none of the others and does no I/O.
#ifndef MARJORAMBAY_STATE_H
#define MARJORAMBAY_STATE_H

#include "marjorambay/state/config_fields.h"
#include "marjorambay/state/config_index.h"
#include "marjorambay/state/config_rules.h"
#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#endif // MARJORAMBAY_STATE_H
