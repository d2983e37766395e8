/// Umbrella header of the decision logic: pure state machines that take typed
/// events and the current time, and return typed actions. They use no sockets,
/// clocks or threads.
///
/// [SECTION] Index
///   1. coordination/requests.h       values exchanged about requests
///   2. coordination/origin.h         dispatch of one caller's request
///        retry_budget.h              limits retries to a share of requests
///        local_share.h               slots granted without an arbiter
///   3. coordination/arbiter.h        slots of one pool in one zone
///        arbiter_events.h            its events and actions
///        fair_queue.h                queue by tier, account and deadline
///        target_table.h              target choice
///        target_model.h              speed of a target
///        cost_model.h                learned lengths of answers
///        version_share.h             cap of a version under rollout
///        zone_lending.h              zones that serve each other's requests
///   4. coordination/intent_log.h     intents of non-idempotent calls
///        intent_codec.h              encoding of a segment of intents
///        intent_index.h              intents by idempotency key
///        token_bucket.h              budget of platform writes
///   5. coordination/membership.h     live hosts, arbiters, leaving notices
///   6. coordination/config_sync.h    one configuration revision for all hosts
///   7. coordination/rollout.h        steps of one pool's rollout
///   8. coordination/version_guard.h  circuit breaker of a version
///        version_comparison.h        sequential test behind it
#ifndef MARJORAMBAY_COORDINATION_H
#define MARJORAMBAY_COORDINATION_H

#include "marjorambay/coordination/arbiter.h"
#include "marjorambay/coordination/config_sync.h"
#include "marjorambay/coordination/intent_log.h"
#include "marjorambay/coordination/membership.h"
#include "marjorambay/coordination/origin.h"
#include "marjorambay/coordination/requests.h"
#include "marjorambay/coordination/rollout.h"
#include "marjorambay/coordination/version_guard.h"

#endif // MARJORAMBAY_COORDINATION_H
