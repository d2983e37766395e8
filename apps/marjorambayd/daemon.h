/// The one context of the daemon: every part, and everything they hold.
///
/// [SECTION] Index
///   1. CallerCall  a caller's request while it is in progress
///   2. Daemon      the context
///   3. post()      hands an event to a decision part; actions follow in turn
///
/// The parts in coordination/ decide; the files beside this one perform what
/// they decide: caller_side, target_side, peer_side, platform_side,
/// config_side, operator_side and lifecycle.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_DAEMON_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_DAEMON_H

#include "peer_codec.h"

#include "marjorambay/coordination.h"
#include "marjorambay/protocol/sse_scanner.h"
#include "marjorambay/state.h"
#include "marjorambay/state/random.h"
#include "marjorambay/transport.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>

struct evbuffer;

namespace marjorambay {

struct BufferDeleter {
  void operator()(evbuffer *Buffer) const;
};
using BufferPtr = std::unique_ptr<evbuffer, BufferDeleter>;

/// How an answer reaches its caller.
enum class RelayMode : std::uint8_t {
  Undecided, ///< no headers of the target yet
  Stream,    ///< event by event
  Whole,     ///< gathered, then sent at once
};

/// A caller's request while it is in progress. What was decided about it lies
/// in the origin under the same id.
struct CallerCall {
  RequestId Id{};
  ExchangeId Exchange{};
  std::string Name{}; ///< as callers and logs see it
  // As it arrived.
  RouteKind Kind = RouteKind::Completions;
  bool Streamed = false; ///< the caller asked for events
  std::string Method{};
  std::string Path{}; ///< with its query
  std::string IdempotencyKey{};
  HttpHeaders Relayed{}; ///< of the caller, for a plain service
  std::string AccountName{};
  AccountId Account{};
  TierRank Tier{};
  std::string TierName{};
  PoolId Pool{};
  std::uint32_t PromptTokens = 0;
  TimePoint Arrived{};
  TimePoint Deadline{};
  bool CallerHere = true;
  // Of its reservation.
  Reservation Asked{}; ///< as last sent
  std::uint32_t AskedAttempt = 0;
  HostId AskedHost{};              ///< arbiter that it was last sent to
  TimePoint AskedAt{};             ///< when it was last sent; 0: never
  ZoneId ReservedIn{};             ///< zone of the arbiter that holds it
  std::vector<ZoneId> RefusedIn{}; ///< zones whose arbiters are full
  // Of its intent, when it is not idempotent.
  HostId IntentHolder{}; ///< asked last
  bool IntentSettled = false;
  // Of its dispatch.
  std::optional<CallId> Call{};
  std::uint32_t Attempt = 0;
  std::string TargetName{};
  VersionId Granted{}; ///< version that the arbiter granted
  VersionId Version{};
  std::string VersionName{};
  TimePoint DispatchedAt{};
  // Of its answer.
  RelayMode Mode = RelayMode::Undecided;
  bool Begun = false;  ///< bytes were given to the caller
  bool Paused = false; ///< the target is not read until the caller has read
  int Status = 0;
  HttpHeaders AnswerHeaders{};
  BufferPtr Gathered{};
  SseScanner Scanner{};
  std::uint32_t EventsSeen = 0; ///< text events told to metrics
  std::uint32_t EventsTold = 0; ///< text events told to the origin
  TimePoint FirstEvent{};
  TimePoint LastEvent{};
  TimePoint ToldAt{}; ///< last AnswerProgressed
};

/// Words of one pool's arbiter.
struct ArbiterInput {
  PoolId Pool{};
  ArbiterEvent Event{};
};
/// ObjectRead and ObjectWritten go to two parts, so the parts are named.
struct IntentLogInput {
  IntentLogEvent Event{};
};
struct ConfigInput {
  ConfigSyncEvent Event{};
};
using CoreEvent = std::variant<OriginEvent, ArbiterInput, MembershipEvent,
                               IntentLogInput, ConfigInput>;

/// An arbiter that this host holds, and when it was last needed.
struct HeldArbiter {
  Arbiter Policy{};
  TimePoint UsedAt{};
};

/// A pool's rollout as this host sees it, and its part in it.
struct PoolRollout {
  explicit PoolRollout(const std::string &HostName) : Leader(HostName) {}

  RolloutLeader Leader;
  VersionGuard Guard{};
  std::optional<RolloutView> View{}; ///< newest known
  TimePoint MovedAt{};               ///< when the view's phase or share changed
  TimePoint LookedAt{};              ///< a leader's last look at other zones
};

/// Where a pool's reservations go.
struct ArbiterPlace {
  ZoneId Zone{};
  HostId Host{};
  auto operator<=>(const ArbiterPlace &) const = default;
};

/// A host whose envelopes arrive, and when the last one did.
struct HeardSender {
  PeerSender Sender{};
  TimePoint HeardAt{};
};

/// Everything. Made once by main(); parts get it by reference.
struct Daemon {
  explicit Daemon(HostSettings Given);
  ~Daemon();

  // Itself.
  HostSettings Settings;
  EventLoop Loop{};
  TimerService Timers{Loop};
  HostInfo Self{};
  IncarnationId Incarnation{};
  SplitMix64 Random;
  Metrics Numbers{};
  bool Draining = false;
  TimePoint DrainSince{};
  std::vector<TimerConnection> Subscriptions{};

  // Connections.
  HttpServer Callers;
  HttpServer Operators;
  HttpClient Client{Loop};
  PeerLink Peers;

  // Decision parts.
  Origin Requests;
  Membership Members;
  IntentLog Intents;
  ConfigSync ConfigState;
  std::map<PoolId, HeldArbiter> Arbiters{};
  std::deque<CoreEvent> Inbox{};
  bool Pumping = false;

  // Configuration in force; revision 0: none yet.
  ConfigIndex Config{};
  std::unordered_map<std::uint64_t, ExchangeId> Proposals{}; ///< of operators
  std::uint64_t LastProposal = 0;
  bool WatchesConfig = false; ///< as last told to ConfigState

  // Requests in progress.
  std::uint64_t LastRequest = 0;
  std::unordered_map<RequestId, CallerCall> Calls{};
  std::unordered_map<ExchangeId, RequestId> ByExchange{};

  // Other hosts.
  std::unordered_map<HostId, HeardSender> Senders{}; ///< by their envelopes
  std::unordered_set<HostId>
      SilentHosts{}; ///< of other zones; see arbiter_side
  std::unordered_map<std::string, EnvelopeWriter> Outgoing{}; ///< by address
  std::map<PoolId, ArbiterPlace> ArbiterOf{}; ///< as last told to the origin

  /// Intents whose holder may not answer; oldest first.
  std::deque<std::pair<TimePoint, IntentRequested>> AskedIntents{};

  // Targets.
  std::unordered_set<TargetId> LoadPolls{}; ///< answers that are awaited
  std::unordered_map<TargetId, IncarnationId> TargetLives{};
  std::unordered_map<TargetId, std::vector<VersionId>> ShownVersions{};

  // Rollouts.
  std::map<PoolId, PoolRollout> Rollouts{};
  std::unordered_map<std::uint64_t, ExchangeId> RolloutCalls{}; ///< operators'
  std::uint64_t LastRolloutCall = 0;
};

/// Hands an event to its decision part. Actions are performed in order, after
/// those that are being performed.
void post(Daemon &D, CoreEvent Event);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_DAEMON_H
