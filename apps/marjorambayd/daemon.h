/// The daemon's context: all components and the state that they share.
///
/// [SECTION] Index
///   1. CallerCall  a caller's request while it is in progress
///   2. Daemon      the context
///   3. post()      delivers an event to its decision component
///
/// The components in packages/coordination decide; the other files of this
/// directory perform their actions: caller_api, target_dispatch, peer_messages,
/// platform_client, config, operator_api and lifecycle.
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

/// How a target's response is relayed to the caller.
enum class RelayMode : std::uint8_t {
  Undecided, ///< no response headers have arrived yet
  Stream,    ///< relayed event by event
  Buffered,  ///< buffered, then sent in one piece
};

/// A caller's request while it is in progress. The origin keeps its scheduling
/// state under the same id.
struct CallerCall {
  RequestId Id{};
  ExchangeId Exchange{};
  std::string Name{}; ///< request id in responses and logs
  // The request as received.
  RouteKind Kind = RouteKind::Completions;
  bool Streamed = false; ///< the caller requested an event stream
  std::string Method{};
  std::string Path{}; ///< path and query
  std::string IdempotencyKey{};
  /// Caller's headers that are forwarded to a plain service.
  HttpHeaders ForwardedHeaders{};
  std::string AccountName{};
  AccountId Account{};
  TierRank Tier{};
  std::string TierName{};
  PoolId Pool{};
  std::uint32_t PromptTokens = 0;
  TimePoint Arrived{};
  TimePoint Deadline{};
  bool CallerConnected = true;
  // Reservation of a slot.
  Reservation LastReservation{}; ///< reservation as last sent
  std::uint32_t ReservationAttempt = 0;
  HostId ArbiterHost{}; ///< host of the arbiter that it was last sent to
  TimePoint ReservationSentAt{};      ///< when it was last sent; 0 if never
  ZoneId ReservedZone{};              ///< zone of the arbiter that has it
  std::vector<ZoneId> RefusedZones{}; ///< zones whose arbiters refused it
  // Intent record; for non-idempotent requests only.
  HostId IntentHolder{}; ///< host that was last asked to record the intent
  bool IntentSettled = false;
  // Dispatch to a target.
  std::optional<CallId> Call{};
  std::uint32_t Attempt = 0;
  std::string TargetName{};
  VersionId GrantedVersion{}; ///< version that the arbiter granted
  VersionId Version{};
  std::string VersionName{};
  TimePoint DispatchedAt{};
  // Response to the caller.
  RelayMode Mode = RelayMode::Undecided;
  bool ResponseStarted =
      false;                 ///< the response headers were sent to the caller
  bool TargetPaused = false; ///< reading from the target is paused until the
                             ///< caller has read more
  int Status = 0;
  HttpHeaders ResponseHeaders{};
  BufferPtr BufferedBody{};
  SseScanner Scanner{};
  std::uint32_t EventsSeen = 0;     ///< text events recorded in metrics
  std::uint32_t EventsReported = 0; ///< text events reported to the origin
  TimePoint FirstEventAt{};
  TimePoint LastEventAt{};
  TimePoint
      ProgressReportedAt{}; ///< when progress was last reported to the origin
};

/// An event for the arbiter of one pool.
struct ArbiterInput {
  PoolId Pool{};
  ArbiterEvent Event{};
};
/// IntentLogInput and ConfigInput name the receiver, because both the intent
/// log and the configuration sync take ObjectRead and ObjectWritten.
struct IntentLogInput {
  IntentLogEvent Event{};
};
struct ConfigInput {
  ConfigSyncEvent Event{};
};
using CoreEvent = std::variant<OriginEvent, ArbiterInput, MembershipEvent,
                               IntentLogInput, ConfigInput>;

/// An arbiter that runs on this host, and when it was last used.
struct HostedArbiter {
  Arbiter Policy{};
  TimePoint UsedAt{};
};

/// A pool's rollout as known to this host, with its leader and guard here.
struct PoolRollout {
  explicit PoolRollout(const std::string &HostName) : Leader(HostName) {}

  RolloutLeader Leader;
  VersionGuard Guard{};
  std::optional<RolloutView> View{}; ///< newest view; empty if none is known
  TimePoint ChangedAt{}; ///< when the view's phase, share, leader or id changed
  TimePoint
      RemotePolledAt{}; ///< when the leader last polled targets of other zones
};

/// The arbiter that receives a pool's reservations.
struct ArbiterLocation {
  ZoneId Zone{};
  HostId Host{};
  auto operator<=>(const ArbiterLocation &) const = default;
};

/// A host that has sent envelopes, and when the last one arrived.
struct KnownSender {
  PeerSender Sender{};
  TimePoint HeardAt{};
};

/// The complete state of the daemon. Created once by main() and passed to all
/// components by reference.
struct Daemon {
  explicit Daemon(HostSettings Given);
  ~Daemon();

  // This host.
  HostSettings Settings;
  EventLoop Loop{};
  TimerService Timers{Loop};
  HostInfo Self{};
  IncarnationId Incarnation{};
  SplitMix64 Random;
  Metrics Stats{};
  bool Draining = false;
  TimePoint DrainSince{};
  std::vector<TimerConnection> Subscriptions{};

  // Connections.
  HttpServer Callers;
  HttpServer Operators;
  HttpClient Client{Loop, Timers};
  PeerLink Peers;

  // Decision components.
  Origin Requests;
  Membership Members;
  IntentLog Intents;
  ConfigSync ConfigState;
  std::map<PoolId, HostedArbiter> Arbiters{};
  std::deque<CoreEvent> EventQueue{};
  bool ProcessingEvents = false;

  // Configuration in force; its revision is 0 if there is none yet.
  ConfigIndex Config{};
  /// Operators' exchanges that await the result, by proposal number.
  std::unordered_map<std::uint64_t, ExchangeId> PendingProposals{};
  std::uint64_t LastProposal = 0;
  bool WatchesConfig = false; ///< role as last reported to ConfigState

  // Requests in progress.
  std::uint64_t LastRequest = 0;
  std::unordered_map<RequestId, CallerCall> Calls{};
  std::unordered_map<ExchangeId, RequestId> CallsByExchange{};

  // Other hosts.
  /// Senders of received envelopes.
  std::unordered_map<HostId, KnownSender> Senders{};
  /// Hosts of other zones that left a reservation unanswered; see arbiters.cpp.
  std::unordered_set<HostId> UnresponsiveHosts{};
  /// Pending envelopes by address.
  std::unordered_map<std::string, EnvelopeWriter> Outgoing{};
  /// Arbiters as last reported to the origin.
  std::map<PoolId, ArbiterLocation> ArbiterLocations{};

  /// Intents sent to a holder on another host and the time of sending, oldest
  /// first. This host records those that are not settled in time.
  std::deque<std::pair<TimePoint, IntentRequested>> PendingIntents{};

  // Targets.
  /// Targets whose load report is awaited.
  std::unordered_set<TargetId> PendingLoadPolls{};
  std::unordered_map<TargetId, IncarnationId> TargetIncarnations{};
  std::unordered_map<TargetId, std::vector<VersionId>> LoadedVersions{};

  // Rollouts.
  std::map<PoolId, PoolRollout> Rollouts{};
  /// Operators' exchanges that await the result, by command number.
  std::unordered_map<std::uint64_t, ExchangeId> PendingCommands{};
  std::uint64_t LastCommand = 0;
};

/// Delivers an event to its decision component. While another event is
/// processed, it is queued, so that actions are performed in order.
void post(Daemon &D, CoreEvent Event);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_DAEMON_H
