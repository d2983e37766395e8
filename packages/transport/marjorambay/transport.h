/// Transport layer: the libevent event loop, timers, HTTP, ZeroMQ messages and
/// logging.
///
/// [SECTION] Index
///   1. transport/event_loop.h     event loop, clocks and process signals
///   2. transport/timer_service.h  timers that call slots
///   3. transport/http_server.h    HTTP server for callers and operators
///   4. transport/http_client.h    HTTP client for targets and the platform
///   5. transport/peer_link.h      messages to other entry hosts over ZeroMQ
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
