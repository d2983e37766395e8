/// How it travels: the libevent loop, HTTP, ZeroMQ and timers.
///
/// [SECTION] Index
///   1. transport/event_loop.h     one loop on one thread, clocks, signals
///   2. transport/timer_service.h  timers by slot
///   3. transport/http_server.h    callers and operators, with limits
///   4. transport/http_client.h    targets and the platform
///   5. transport/peer_link.h      other entry hosts, over ZeroMQ
///   6. transport/log.h            structured log lines
#ifndef MARJORAMBAY_TRANSPORT_H
#define MARJORAMBAY_TRANSPORT_H

#include "marjorambay/transport/event_loop.h"
#include "marjorambay/transport/http_client.h"
#include "marjorambay/transport/http_server.h"
#include "marjorambay/transport/log.h"
#include "marjorambay/transport/peer_link.h"
#include "marjorambay/transport/timer_service.h"

#endif // MARJORAMBAY_TRANSPORT_H
