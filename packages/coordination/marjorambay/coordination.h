/// What is decided: pure state machines that take typed events with the time
/// in them, and return typed actions. No socket, no clock, no thread.
///
/// [SECTION] Index
///   1. coordination/requests.h     values exchanged about requests
///   2. coordination/origin.h       one caller's request, dispatched once
///        retry_budget.h            retries as a share of requests
///        local_share.h             slots while no arbiter is in reach
///   3. coordination/arbiter.h      slots of one pool in one zone
///        arbiter_events.h          its events and actions
///        fair_queue.h              tiers, accounts, deadlines
///        target_table.h            which target; target_model.h its speed
///        cost_model.h              lengths of answers, as learned
///        version_share.h           cap of a version under rollout
///   4. coordination/idempotency.h  intents of non-idempotent calls
///        intent_codec.h            bytes of a segment of intents
///        intent_index.h            what a holder knows of its keys
///        token_bucket.h            budget of platform writes
///   5. coordination/membership.h   live hosts, arbiters, spreading of signs
///   6. coordination/config_sync.h  one configuration revision for all
///   7. coordination/rollout.h      moves of one pool's rollout
///   8. coordination/version_guard.h  watches a version where it answers
///        version_test.h            the sequential test behind it
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
