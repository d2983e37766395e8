/// What is said: messages of callers, targets, the platform, operators and
/// peers, to and from typed structs. No socket.
///
/// [SECTION] Index
///   1. protocol/fleet_config_json.h  the configuration document
#ifndef MARJORAMBAY_PROTOCOL_H
#define MARJORAMBAY_PROTOCOL_H

#include "marjorambay/protocol/fleet_config_json.h"

#endif // MARJORAMBAY_PROTOCOL_H
