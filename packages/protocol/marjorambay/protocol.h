/// Codecs between typed structs and the messages of callers, targets, the
/// platform, operators and peers. No network I/O.
///
/// [SECTION] Index
///   1. protocol/fleet_config_json.h     the configuration document
///      protocol/config_manifest_json.h  its parts on the platform
///   2. protocol/completion.h            OpenAI-style completion requests
///      protocol/sse_scanner.h           server-sent events of an answer
///      protocol/error_body.h            error responses to callers
///   3. protocol/load_report.h           load reports of engines
///   4. protocol/platform_api.h          paths and responses of the object API
///   5. protocol/rollout_json.h          rollouts, commands, orders
///   6. protocol/peer.proto              messages between entry hosts
///   7. protocol/json_text.h             JSON of other writers, of any depth
///
/// Only the first is included here; each of the others is needed by one part
/// of the daemon only.
#ifndef MARJORAMBAY_PROTOCOL_H
#define MARJORAMBAY_PROTOCOL_H

#include "marjorambay/protocol/fleet_config_json.h"

#endif // MARJORAMBAY_PROTOCOL_H
