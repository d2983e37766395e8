/// What is said: messages of callers, targets, the platform, operators and
/// peers, to and from typed structs. No socket.
///
/// [SECTION] Index
///   1. protocol/fleet_config_json.h     the configuration document
///      protocol/config_manifest_json.h  its parts at the platform
///   2. protocol/completion.h            requests in the OpenAI form
///      protocol/sse_scanner.h           server-sent events of an answer
///      protocol/error_body.h            what a caller is told of an error
///   3. protocol/load_report.h           what an engine tells of itself
///   4. protocol/platform_api.h          paths and answers of the object API
///   5. protocol/rollout_json.h          rollouts, commands, orders
///   6. protocol/peer.proto              messages between entry hosts
///
/// Only the first is included here; the others serve one side each.
#ifndef MARJORAMBAY_PROTOCOL_H
#define MARJORAMBAY_PROTOCOL_H

#include "marjorambay/protocol/fleet_config_json.h"

#endif // MARJORAMBAY_PROTOCOL_H
