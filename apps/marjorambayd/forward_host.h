/// The context of a host that serves forwarded routes on a users' platform, and
/// what an adapter for the platform calls.
///
/// [SECTION] Index
///   1. ForwardHeaders   the names of headers, as the adapter gives them
///   2. ForwardSettings  bounds of the fleet
///   3. ForwardCall      a request while it is in progress
///   4. Parts            pools, peers, versions
///   5. ForwardHost      the context
///   6. For adapters     what the platform says goes in here
///   7. Between parts    the files forward_*.cpp
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_HOST_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_HOST_H

#include "peer_codec.h"

#include "marjorambay/coordination.h"
#include "marjorambay/coordination/account_ledger.h"
#include "marjorambay/coordination/quick_rollout.h"
#include "marjorambay/coordination/retry_budget.h"
#include "marjorambay/coordination/target_directory.h"
#include "marjorambay/coordination/target_health.h"
#include "marjorambay/protocol/sse_splitter.h"
#include "marjorambay/state.h"
#include "marjorambay/state/forwarding_config.h"
#include "marjorambay/state/random.h"
#include "marjorambay/transport.h"
#include "marjorambay/transport/caller_server.h"
#include "marjorambay/transport/datagram_link.h"
#include "marjorambay/transport/keep_alive_client.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjorambay {

// ---- Names of headers -------------------------------------------------------

/// Headers of callers and targets. Only the adapter knows the names.
struct ForwardHeaders {
  std::string RequestId{};    ///< names the request; echoed by targets
  std::string DeadlineMs{};   ///< time left, in milliseconds
  std::string AccountKey{};   ///< from callers; never sent on
  std::string Account{};      ///< to targets
  std::string ExpectTarget{}; ///< to targets; others answer 421
  std::string NotRun{};       ///< from targets: the request did not run
  std::string LastEventId{};
  std::string TokenCounts{};    ///< "prompt,most output"
  std::string LengthHint{};     ///< expected output tokens
  std::string PromptSegments{}; ///< of the prompt, "ID:TOKENS" each
  /// Of a caller, not sent on: they are the scheduler's to set.
  std::vector<std::string> Stripped{};
  /// Of a caller, sent on whatever its Connection header says.
  std::vector<std::string> AlwaysForwarded{};
};

// ---- Bounds -----------------------------------------------------------------

/// Bounds that hold over the whole fleet; see docs/CONFIGURATION.md.
struct ForwardSettings {
  QuickRolloutSettings Rollout{}; ///< share of a version under rollout
};

// ---- A request --------------------------------------------------------------

enum class CallStage : std::uint8_t {
  Waiting,    ///< for a slot
  Dispatched, ///< at a target
};

/// A caller's request while it is in progress.
struct ForwardCall {
  RequestId Id{};
  ExchangeId Exchange{};
  std::string Name{}; ///< as the caller calls it
  // As it arrived.
  std::shared_ptr<const ForwardTable> Table{}; ///< in force on arrival
  const ForwardRoute *Route = nullptr;         ///< of Table
  AccountId Account{};
  std::string AccountName{};
  TierRank Tier{};
  PoolId Pool{};
  std::string Method{};
  std::string Target{}; ///< path and query
  HttpHeaders Headers{};
  std::string Body{};
  std::string LastEventId{}; ///< that the caller goes on after
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutput = 0;
  std::uint32_t OutputHint = 0;
  std::uint64_t Prefix = 0; ///< hash of the shared head of the prompt
  double Charged = 0;       ///< to the account
  TimePoint Arrived{};
  TimePoint Deadline{}; ///< of the caller or the route, the earlier one
  // Of its slot.
  CallStage Stage = CallStage::Waiting;
  RequestId Slot{}; ///< names one reservation
  HostId Arbiter{}; ///< that was asked; 0: this host's own share
  TimePoint AskedAt{};
  bool Acknowledged = false;
  bool AskedTwice = false;
  // At a target.
  CallId Call{};
  TargetId At{};
  std::string TargetName{};
  VersionId Version{};
  std::uint32_t Attempts = 0; ///< sends that may have reached a target
  std::vector<TargetId> Tried{};
  TimePoint DispatchedAt{};
  TimePoint FirstEventAt{};
  TimePoint LastBytesAt{};
  bool MayHaveRun = false;     ///< some target may have begun on it
  bool TargetDeclined = false; ///< this one says that it did not run it
  // Of its answer.
  int Status = 0;
  bool Relaying = false; ///< event by event
  bool Begun = false;    ///< bytes were given to the caller
  bool Stalled = false;  ///< the caller does not read what it is given
  HttpHeaders AnswerHeaders{};
  std::string Gathered{};
  SseSplitter Events{};
  std::uint32_t EventsBefore = 0; ///< of earlier targets
};

// ---- Parts ------------------------------------------------------------------

/// A target of a plain pool as this host sees it.
struct LocalTarget {
  std::uint32_t InFlight = 0;
  double Seconds = 0; ///< mean time of an answer; 0: none yet
};

/// What is known of a pool's versions.
struct PoolVersions {
  VersionId Serving{};
  std::set<VersionId> TakenBack{};
  std::optional<QuickRollout> Rollout{};
  std::string RolloutName{}; ///< version, as the platform calls it
  VersionDecision Order{};   ///< in force for Rollout
  double Credit = 0;         ///< of the new version, in requests
  VersionGuard Guard{};
  std::uint64_t Sequence = 0;                  ///< of views told to Guard
  VersionStage Written = VersionStage::Canary; ///< told to the platform
  bool WrittenAny = false;
};

/// A question for objects to a host that watches the platform.
struct ObjectPull {
  CallId Call{};
  bool Pending = false;
  TimePoint BehindSince{};    ///< a hub has news; 0: none
  std::uint32_t Failures = 0; ///< in a row
  std::string Gathered{};
  int Status = 0;
};

struct PoolState {
  std::unique_ptr<Arbiter> Whole{}; ///< while this host arbitrates
  TimePoint WholeUsedAt{};          ///< last reservation
  std::unique_ptr<Arbiter> Share{}; ///< this host's own part of the slots
  RetryBudget Repeats{};            ///< this host's part
  bool RepeatsShared = false;
  PoolHealth Health{};
  PoolVersions Versions{};
  HostId ReportedTo{}; ///< arbiter that knows this host's slots
};

/// A host as the platform lists it.
struct ListedHost {
  HostInfo Host{};
  double Capacity = 1; ///< see strengthOf()
};

/// Another host.
struct ForwardPeer {
  HostInfo Host{};
  SocketAddress Address{};
  bool Listed = false; ///< by the platform
  double Capacity = 1; ///< see strengthOf()
  IncarnationId Incarnation{};
  TimePoint HeardAt{};    ///< any message
  TimePoint AnsweredAt{}; ///< a digest that said it was ready
  TimePoint BeatAt{};     ///< last beat to this host as a hub
  TimePoint FreshAt{};    ///< a digest that said it watches the platform
  TimePoint DrainingAt{}; ///< last beat that said it stops; 0: none
};

/// A rollout that an operator ordered.
struct RolloutSpec {
  PoolId Pool{};
  std::string Version{};
  Duration Window{};
  std::optional<VersionStage> Stage{}; ///< as the platform holds it
};

// ---- The context ------------------------------------------------------------

struct ForwardHost {
  ForwardHost(HostSettings Given, ForwardHeaders Names);
  ~ForwardHost();

  HostSettings Settings;
  ForwardHeaders Names;
  ForwardSettings Bounds;
  EventLoop Loop{};
  TimerService Timers{Loop};
  HostInfo Self{};
  IncarnationId Incarnation{};
  SplitMix64 Random;
  Metrics Numbers{};
  bool Draining = false;
  TimePoint DrainSince{};
  bool Refusing = false; ///< stops so soon that it takes no more requests
  std::vector<TimerConnection> Subscriptions{};

  CallerServer Callers;
  HttpServer Probes;    ///< readiness
  HttpServer Operators; ///< metrics
  KeepAliveClient Client{Loop};
  DatagramLink Peers{Loop};
  CallerServer Feeds; ///< hosts that follow this one ask here for objects

  // Configuration and targets.
  std::shared_ptr<const ForwardTable> Table{}; ///< null: none yet
  TargetDirectory Directory{};
  std::unordered_map<TargetId, ListedTarget> Targets{};
  bool TargetsKnown = false;
  bool OrdersKnown = false;

  // Requests in progress.
  std::uint64_t LastRequest = 0;
  std::unordered_map<RequestId, ForwardCall> Calls{};
  std::unordered_map<ExchangeId, RequestId> ByExchange{};
  std::unordered_map<RequestId, RequestId> BySlot{};
  std::unordered_map<CallId, RequestId> ByCall{};

  // Pools.
  std::map<PoolId, PoolState> Pools{};
  std::unordered_map<TargetId, LocalTarget> Local{};
  std::unordered_map<TargetId, TargetHealth> Health{};

  // The fleet.
  std::map<HostId, ForwardPeer> Fleet{}; ///< without this host
  std::unordered_map<HostId, EnvelopeWriter> Outgoing{};
  bool FlushDue = false;
  std::uint64_t BeatSequence = 0;
  AccountLedger Ledger{};
  AccountMeter Meter{};

  // Objects of the platform.
  std::array<ObjectMirror, ObjectKindCount> Mirrors{};
  std::array<ObjectPull, ObjectKindCount> Pulls{};
  bool Watching = true;       ///< the platform itself; else hubs are followed
  TimePoint PlatformAnswer{}; ///< last answer of the platform
  TimePoint WatchUntil{};     ///< hubs did not feed this host: watches itself
  bool NoticeDue = false;

  // To the adapter.
  /// Objects have changed; it translates them and calls the functions below.
  sigc::signal<void(ObjectKind, const std::vector<ObjectRecord> &)>
      ObjectsChanged{};
  /// Whether the adapter should watch the platform from now on.
  sigc::signal<void(bool)> WatchRequested{};
  /// The stage of a rollout that the platform should be told.
  sigc::signal<void(PoolId, const std::string &Version, VersionStage)>
      StageReached{};
  /// This host stops: it should be taken off the platform's list.
  sigc::signal<void()> DeregisterRequested{};
};

// ---- For adapters -----------------------------------------------------------

Result<Done> startForwarding(ForwardHost &H);
/// The platform or a host that watches it tells of objects.
void applyFeed(ForwardHost &H, ObjectKind Kind, const ObjectFeed &Feed);
/// The platform answered a call.
void recordPlatformResponse(ForwardHost &H);
/// Puts a configuration in force, unless a newer one is.
void applyConfig(ForwardHost &H, ForwardConfig Config);
/// The directory has changed.
void applyTargets(ForwardHost &H);
/// All rollouts that the platform holds.
void applyRollouts(ForwardHost &H, const std::vector<RolloutSpec> &Wanted);
/// All hosts that the platform lists.
void applyHosts(ForwardHost &H, const std::vector<ListedHost> &Listed);
/// How much a host can do for others: the scarcer of its processor and its
/// link, 1 for a quarter of a core and 50 Mbit/s.
double relativeCapacity(const HostSettings &Settings);

// ---- Between parts ----------------------------------------------------------

bool isReady(const ForwardHost &H);
/// Works this host's part of the fleet's second sends out anew.
void shareRepeats(ForwardHost &H);
RequestKey slotKey(const ForwardHost &H, RequestId Slot);
ForwardCall *callOf(ForwardHost &H, RequestId Id);

// forward_requests.cpp
/// Outcome of requests whose answer reached their caller whole.
inline constexpr std::string_view ServedOutcome = "served";
void startRequests(ForwardHost &H);
/// Tells the caller that its request was not served, and ends it.
void failCall(ForwardHost &H, ForwardCall &Call, ErrorKind Why,
              Duration RetryAfter = Duration(0));
/// Ends a call whose answer is complete, or whose caller is gone.
void endCall(ForwardHost &H, ForwardCall &Call, std::string_view Outcome);
/// Looks after time limits of calls.
void watchCalls(ForwardHost &H);

// forward_answers.cpp
void dispatch(ForwardHost &H, ForwardCall &Call, const ListedTarget &To);
/// Breaks off what the call has at a target.
void leaveTarget(ForwardHost &H, ForwardCall &Call, DispatchOutcome How);
/// The target is silent for too long.
void giveUpTarget(ForwardHost &H, ForwardCall &Call);

// forward_pools.cpp
void askForSlot(ForwardHost &H, ForwardCall &Call);
/// Repeats a reservation that the arbiter left without a word.
void askAgain(ForwardHost &H, ForwardCall &Call);
void withdrawSlot(ForwardHost &H, ForwardCall &Call);
void releaseSlot(ForwardHost &H, ForwardCall &Call, const Usage &Used);
void reportRefusal(ForwardHost &H, PoolId Pool, TargetId Target);
void toArbiter(ForwardHost &H, PoolId Pool, const ArbiterEvent &Event);
void fromArbiter(ForwardHost &H, PoolId Pool, const ArbiterAction &Action);
void tellTargets(ForwardHost &H, PoolId Pool);
void tickArbiters(ForwardHost &H);
void confirmSlots(ForwardHost &H);

// forward_fleet.cpp
Result<Done> startFleet(ForwardHost &H);
/// The hub that arbitrates a pool; nothing: none is in reach.
std::optional<HostId> arbiterOf(const ForwardHost &H, PoolId Pool);
std::size_t fleetSize(const ForwardHost &H);
/// Tells all hosts that beat to this one of its state, without being asked.
void noticeFollowers(ForwardHost &H);
void sendTo(ForwardHost &H, HostId To, const PeerMessage &Message);

// forward_objects.cpp
Result<Done> startObjects(ForwardHost &H);
/// Takes in what a hub says of its objects.
void followHub(ForwardHost &H, HostId Hub, const FleetDigest &Digest);
/// Decides whether this host watches the platform itself.
void chooseSource(ForwardHost &H, bool IsHub);
std::array<std::uint64_t, ObjectKindCount> positions(const ForwardHost &H);
bool watchesWithAnswers(const ForwardHost &H);

// forward_versions.cpp
/// Whether a request may go to the target's version, by this host's word alone.
bool versionOpen(const ForwardHost &H, const ListedTarget &Target);
/// Counts one request of a plain pool; returns the version that it should go
/// to, or 0 for the serving one.
VersionId drawVersion(ForwardHost &H, PoolId Pool);
void tellVersions(ForwardHost &H, PoolId Pool, Arbiter &To);
void observeVersion(ForwardHost &H, const ForwardCall &Call, const Usage &Used,
                    bool Failed);
void takeEvidence(ForwardHost &H, const EvidenceArrived &Arrived);
void learnOrder(ForwardHost &H, const VersionDecision &Order);
std::vector<VersionDecision> ordersHere(const ForwardHost &H);
void noteServingVersions(ForwardHost &H);
void tickVersions(ForwardHost &H);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_HOST_H
