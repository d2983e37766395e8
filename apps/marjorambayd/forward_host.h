/// Context of a host that serves forwarded routes on the users' platform, and
/// the functions that an adapter for the platform calls.
///
/// [SECTION] Index
///   1. ForwardHeaders   names of headers, set by the adapter
///   2. ForwardSettings  fleet-wide limits
///   3. ForwardCall      a request in progress
///   4. State            state of pools, versions and peers
///   5. ForwardHost      the context
///   6. For adapters     entry points for data of the platform
///   7. Between files    functions that the files forward_*.cpp share
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_HOST_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_HOST_H

#include "forward_memory.h"
#include "peer_codec.h"

#include "marjorambay/coordination.h"
#include "marjorambay/coordination/account_ledger.h"
#include "marjorambay/coordination/crash_suspects.h"
#include "marjorambay/coordination/descriptor_budget.h"
#include "marjorambay/coordination/drain_policy.h"
#include "marjorambay/coordination/mirror_comparison.h"
#include "marjorambay/coordination/pace_lease.h"
#include "marjorambay/coordination/quick_rollout.h"
#include "marjorambay/coordination/retry_budget.h"
#include "marjorambay/coordination/target_directory.h"
#include "marjorambay/coordination/target_health.h"
#include "marjorambay/coordination/target_hold_offs.h"
#include "marjorambay/coordination/target_limits.h"
#include "marjorambay/coordination/target_warmup.h"
#include "marjorambay/coordination/zone_evacuations.h"
#include "marjorambay/coordination/zone_lending.h"
#include "marjorambay/protocol/sse_splitter.h"
#include "marjorambay/state.h"
#include "marjorambay/state/forwarding_config.h"
#include "marjorambay/state/random.h"
#include "marjorambay/state/zone_regions.h"
#include "marjorambay/transport.h"
#include "marjorambay/transport/caller_server.h"
#include "marjorambay/transport/datagram_link.h"
#include "marjorambay/transport/keep_alive_client.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjorambay {

// ---- Names of headers -------------------------------------------------------

/// Names of the headers of callers and targets. They belong to the platform, so
/// only the adapter knows them.
struct ForwardHeaders {
  std::string RequestId{};    ///< request id; echoed by targets
  std::string DeadlineMs{};   ///< remaining time, in milliseconds
  std::string AccountKey{};   ///< API key of callers; never forwarded
  std::string Account{};      ///< name of the client account; sent to targets
  std::string ExpectTarget{}; ///< name of the target; sent to it, others
                              ///< respond with 421
  std::string NotRun{};    ///< sent by targets that did not execute the request
  std::string Leaving{};   ///< sent by targets that are leaving
  std::string RateLimit{}; ///< sent by targets that limit their requests
  std::string WarmupMs{};  ///< sent by targets that are cold: the remaining
                           ///< time, in milliseconds
  std::string LastEventId{};
  std::string TokenCounts{};    ///< token counts: "PROMPT,MAX_OUTPUT"
  std::string LengthHint{};     ///< expected output tokens
  std::string PromptSegments{}; ///< segments of the prompt, "ID:TOKENS" each
  /// Headers of callers that are not forwarded, because only the scheduler sets
  /// them.
  std::vector<std::string> Stripped{};
  /// Headers of callers that are forwarded even if the Connection header names
  /// them.
  std::vector<std::string> AlwaysForwarded{};
};

// ---- Fleet-wide limits ------------------------------------------------------

/// Limits that hold over the whole fleet; see docs/CONFIGURATION.md.
struct ForwardSettings {
  /// Limits on the share of a version under rollout.
  QuickRolloutSettings Rollout{};
  /// Limits on the requests that reach a cold target.
  WarmupBounds Warmup{};
};

// ---- Requests in progress ---------------------------------------------------

enum class CallStage : std::uint8_t {
  Waiting,    ///< waits for a slot
  Dispatched, ///< was sent to a target
};

/// A reservation of a slot of an engine pool.
struct SlotReservation {
  RequestId Id{};       ///< 0 if there is none
  HostId ArbiterHost{}; ///< host of the arbiter that was asked; 0 if the slot
                        ///< comes from this host's local share
  ZoneId Zone{};        ///< of that arbiter; 0 if the pool is not divided
  bool Redirected = false; ///< by the arbiter of this host's zone
  TimePoint OpenedAt{};    ///< when it was first sent
  TimePoint SentAt{};
  bool Acknowledged = false;
  bool Retried = false;
};

/// A dispatch of a call to a target.
struct TargetAttempt {
  CallId HttpCall{};            ///< 0 if it has ended
  std::uint64_t Connection = 0; ///< number of the connection; logged only
  SlotReservation Slot{};       ///< held until it ends
  TargetId Target{};
  ZoneId TargetZone{};
  std::string TargetName{};
  IncarnationId TargetIncarnation{};
  VersionId Version{};
  TimePoint DispatchedAt{};
  TimePoint LastBytesAt{};
  /// When the target last sent its head, a completed event or, if it responds
  /// with something else, any byte.
  TimePoint ProgressAt{};
  // Head of the target's response.
  int Status = 0;
  BodyFraming Framing = BodyFraming::Length;
  bool ReceivingEvents = false; ///< the target responds with events
  bool Declined = false; ///< the target did not execute the request, by its own
                         ///< report
  bool HoldsOff = false; ///< the target asks this host to hold off
  bool Answers = false;  ///< the response is one for the caller
  bool ConnectionLost = false; ///< ended with its connection, without an end
  bool WasCold = false;        ///< the target, when the request was sent
  std::uint32_t InFlight = 1;  ///< of this host at the target when it was sent
  bool WasSilent = false;      ///< ended because the target sent nothing
  /// Latencies passed to the guard of the pool's versions.
  bool FirstEventObserved = false;
  bool EventTimeObserved = false;
  bool PaceObserved = false;
  EventPace Pace{}; ///< of its events
};

/// A caller's request while it is in progress.
struct ForwardCall {
  RequestId Id{};
  ExchangeId Exchange{};
  std::string Name{}; ///< request id from the caller
  // The request as received.
  /// Configuration in force on arrival.
  std::shared_ptr<const ForwardTable> Table{};
  const ForwardRoute *Route = nullptr; ///< matching route of Table
  AccountId Account{};
  std::string AccountName{};
  TierRank Tier{};
  PoolId Pool{};
  std::string Method{};
  std::string RequestTarget{}; ///< path and query
  HttpHeaders Headers{};
  /// Never null; shared with the connections that send it.
  std::shared_ptr<const std::string> Body{};
  std::string LastEventId{}; ///< last event that the caller has; the stream
                             ///< resumes after it
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutput = 0;
  std::uint32_t OutputHint = 0;
  std::uint64_t PrefixHash = 0; ///< hash of the prompt's first segment
  /// Segments that the prompt may share with others, which are all but its
  /// last, and the request as a whole.
  std::vector<CrashKey> CrashKeys{};
  double QuotaCharge = 0; ///< quota charged to the account
  TimePoint Arrived{};
  TimePoint Deadline{}; ///< the earlier one of the caller's deadline and the
                        ///< route's timeout
  CallStage Stage = CallStage::Waiting;
  SlotReservation Pending{}; ///< waits for a grant
  TargetAttempt Current{};   ///< the latest dispatch
  /// A second dispatch, while the current target is silent. The first of the
  /// two that responds goes on.
  std::optional<TargetAttempt> Replacement{};
  TimePoint ReplaceAfter{}; ///< no replacement is sought earlier
  /// Since when this host has had no connection for the call; 0 if it has not
  /// lacked one. No slot is reserved before NoConnectionUntil.
  TimePoint NoConnectionSince{};
  TimePoint NoConnectionUntil{};
  std::uint32_t Attempts = 0;   ///< dispatches that may have reached a target
  bool VersionSelected = false; ///< by the share of a version under rollout
  VersionId FailedVersion{};    ///< of the last attempt that failed; 0 if none
  std::vector<TargetId> TriedTargets{};
  std::vector<TargetId> SilentTargets{}; ///< replaced because of their silence
  /// Granted, and returned because of their zone. Arbiters of earlier releases
  /// don't know of closed zones and would grant them again.
  std::vector<TargetId> ReturnedTargets{};
  TimePoint FirstEventAt{};
  bool MayHaveRun = false; ///< some target may have started to execute it
  // Response to the caller.
  bool Relaying = false; ///< the response is relayed event by event
  bool ResponseStarted =
      false;                  ///< the response headers were sent to the caller
  bool CallerStalled = false; ///< the caller's unread bytes exceed the limit
  HttpHeaders ResponseHeaders{};
  std::string BufferedBody{};
  SseSplitter Events{};
  std::uint32_t EventsBefore = 0; ///< events that earlier targets sent
};

// ---- State of pools, versions and peers -------------------------------------

/// This host's view of a target of a plain pool.
struct LocalTarget {
  std::uint32_t InFlight = 0;
  double MeanSeconds = 0; ///< moving average of the response time; 0 if unknown
};

/// A ramp of this host's requests to a target of a plain pool.
struct PlainRamp {
  StartRamp Ramp{};
  double PastSeconds = 0; ///< response time before it; 0 if unknown
  TimePoint StartedAt{};
};

/// When this host first saw an incarnation of a target in the directory.
struct FirstListing {
  IncarnationId Incarnation{};
  /// Nothing if it was in the first list.
  std::optional<TimePoint> At{};
  TimePoint LastListedAt{};
};

/// Ramps of targets that this host has started and ended, by reason.
struct RampCounts {
  std::array<std::uint64_t, NamesOf<RampStart>.size()> Started{};
  std::array<std::uint64_t, NamesOf<RampEnd>.size()> Ended{};
};

/// The versions of a pool and their rollout.
struct PoolVersions {
  VersionId Serving{};
  std::set<VersionId> RolledBack{};
  std::optional<QuickRollout> Rollout{};
  std::string RolloutName{};  ///< name of the new version on the platform
  VersionDecision Decision{}; ///< decision in force for Rollout
  double Credit = 0; ///< requests that the new version's share has accumulated
  VersionGuard Guard{};
  std::uint64_t ViewSequence = 0; ///< number of the last view passed to Guard
  /// Stage last written to the platform.
  VersionStage WrittenStage = VersionStage::Canary;
  bool HasWrittenStage = false;
};

/// Where a host gets the platform's objects from.
enum class ObjectSource : std::uint8_t {
  Hubs,
  Platform,
  PlatformWithoutHubs, ///< because no hub has objects that are up to date
};
template <>
inline constexpr std::array NamesOf<ObjectSource> =
    std::to_array<std::string_view>({"hubs", "platform",
                                     "platform_without_hubs"});
static_assert(NamesOf<ObjectSource>.size() == 3);

/// A request for objects to a host that watches the platform.
struct ObjectPull {
  CallId Call{};
  bool InFlight = false;
  SocketAddress Hub{}; ///< that was asked last
  /// Since when a hub has had newer objects; 0 if none has.
  TimePoint BehindSince{};
  std::uint32_t Failures = 0; ///< consecutive
  std::string Body{};
  int Status = 0;
};

/// An arbiter that this host runs for a pool, or for one zone of it.
struct PoolArbiter {
  std::unique_ptr<Arbiter> Policy{};
  TimePoint ReservedAt{}; ///< when it last received a reservation
  /// When another arbiter of the pool last reported that it has work.
  TimePoint OthersWorkAt{};
  TimePoint AggregateSentAt{};
};

/// The arbiter of another zone of a divided pool, as it reported itself.
struct KnownZoneArbiter {
  HostId Host{};
  TimePoint HeardAt{};
};

struct PoolState {
  PoolDivision Division{};
  bool DivisionInitialized = false;
  /// Number of listed targets by the zone of their arbiter, if the pool may be
  /// divided.
  std::map<ZoneId, std::size_t> TargetsByZone{};
  /// Arbiters on this host by zone; zone 0 if the pool is not divided.
  std::map<ZoneId, PoolArbiter> Arbiters{};
  /// Since when this host has been the arbiter of its own zone; 0 if it is not.
  TimePoint ElectedAt{};
  /// Arbiters of other zones that sent an aggregate or that a redirect named.
  std::map<ZoneId, KnownZoneArbiter> ZoneArbiters{};
  /// Arbiter of this host's local share of the slots.
  std::unique_ptr<Arbiter> LocalShareArbiter{};
  RetryBudget Retries{}; ///< this host's share of the fleet's budget
  bool RetriesInitialized = false;
  PoolHealth Health{};
  PoolVersions Versions{};
  /// Hosts of the arbiters that this host's slots were reported to, by zone.
  std::map<ZoneId, HostId> SlotsReportedTo{};
  /// Keys under which targets crash, as far as this host knows.
  CrashSuspects Suspects{};
  AnsweredRequests Answered{}; ///< of plain pools
  /// Until then the arbiter is told of first events of answers.
  TimePoint WatchAnswersUntil{};
};

/// Hosts by availability zone, as the platform lists them.
struct ZoneMap {
  std::map<ZoneId, std::size_t> Hosts{};
  /// Those that may arbitrate for their zone; see zoneCandidates().
  std::map<ZoneId, std::vector<HostId>> Candidates{};
};

/// Requests that went to another zone than their host's, or came from one.
struct ZoneTraffic {
  std::uint64_t RedirectsOut = 0; ///< to the zone, by arbiters here
  std::uint64_t RedirectsIn = 0;  ///< received by the zone's arbiter here
  std::uint64_t Served =
      0; ///< by a target of the zone, which isn't this host's
  std::uint64_t LoggedOut = 0; ///< part of RedirectsOut that was logged
};

/// A host as the platform lists it.
struct ListedHost {
  HostInfo Host{};
  double Capacity = 1; ///< see relativeCapacity()
  std::string ZoneName{};
};

/// Another host of the fleet.
struct ForwardPeer {
  HostInfo Host{};
  SocketAddress Address{};
  bool Listed = false; ///< whether the platform lists the host
  double Capacity = 1; ///< see relativeCapacity()
  IncarnationId Incarnation{};
  TimePoint HeardAt{};    ///< when the last message arrived
  TimePoint AnsweredAt{}; ///< when the last digest with Ready arrived
  TimePoint
      HeartbeatAt{}; ///< when the last heartbeat to this host as a hub arrived
  TimePoint FreshAt{}; ///< when the last digest arrived, if it had
                       ///< WatchHealthy; else 0
  /// Since when the platform has responded to it without an outage, if its last
  /// digest had WatchHealthy; 0 if unknown.
  TimePoint PlatformContactSince{};
  TimePoint DrainingAt{}; ///< when the last heartbeat with Draining arrived; 0
                          ///< if none has
  TimePoint ZoneBeatAnsweredAt{}; ///< when the last reply to a ZoneBeat with
                                  ///< Ready arrived
  bool ReportedLost = false; ///< to the arbiters here, since it was last heard
  /// Last digest that answered a heartbeat, and when it arrived.
  std::uint64_t DigestSequence = 0;
  TimePoint DigestAt{};
};

/// A rollout that an operator ordered.
struct RolloutSpec {
  PoolId Pool{};
  std::string Version{};
  Duration Window{};
  std::optional<VersionStage> Stage{}; ///< stage stored on the platform
};

/// An arbiter of this host.
struct ArbiterSource {
  PoolId Pool{};
  ZoneId Zone{};
  bool IsLocalShare = false;
};

/// An action of an arbiter of this host that is still to be performed.
struct ArbiterResult {
  ArbiterSource Source{};
  ArbiterAction Action{};
};

// ---- The context ------------------------------------------------------------

struct ForwardHost {
  ForwardHost(HostSettings Given, ForwardHeaders Headers);
  ~ForwardHost();

  HostSettings Settings;
  ForwardHeaders HeaderNames;
  ForwardSettings Bounds;
  EventLoop Loop{};
  TimerService Timers{Loop};
  HostInfo Self{};
  IncarnationId Incarnation{};
  TimePoint StartedAt{};
  SplitMix64 Random;
  Metrics Stats{};
  bool Draining = false;
  DrainPolicy Drain{}; ///< stages of the stop; only if Draining
  DrainPhase LoggedDrainPhase = DrainPhase::Accepting;
  std::uint64_t DrainRejections = 0; ///< requests
  RecentDurations Durations{};       ///< of served requests, by route
  std::vector<TimerConnection> Subscriptions{};

  BodyMemory Memory; ///< before all that holds bodies
  DescriptorShares Descriptors;
  CallerServer Callers;
  HttpServer Probes;    ///< readiness probes
  HttpServer Operators; ///< metrics for operators
  KeepAliveClient Client{Loop};
  DatagramLink Peers{Loop};
  CallerServer ObjectServer; ///< serves objects to hosts that follow this one

  // Configuration and targets.
  std::shared_ptr<const ForwardTable> Table{}; ///< null if there is none yet
  TargetDirectory Directory{};
  std::unordered_map<TargetId, ListedTarget> Targets{};
  std::set<ZoneId> TargetZones{}; ///< zones of Targets
  ZoneEvacuations Evacuations{};
  ZoneRegions Regions{};
  bool TargetsKnown = false;
  std::uint64_t AppliedDirectory = 0; ///< revision that was applied last
  bool RolloutsKnown = false;

  // Requests in progress.
  std::uint64_t LastRequest = 0;
  std::unordered_map<RequestId, ForwardCall> Calls{};
  std::unordered_map<ExchangeId, RequestId> CallsByExchange{};
  std::unordered_map<RequestId, RequestId> CallsByReservation{};
  std::unordered_map<CallId, RequestId> CallsByDispatch{};

  // Pools.
  std::map<PoolId, PoolState> Pools{};
  std::deque<ArbiterResult> ArbiterResults{}; ///< in the order to perform them
  bool PerformingActions = false;
  std::unordered_map<TargetId, LocalTarget> LocalTargets{};
  std::unordered_map<TargetId, TargetHealth> Health{};
  std::unordered_map<TargetId, FirstListing> FirstListings{};
  std::unordered_map<TargetId, PlainRamp> PlainRamps{}; ///< while they last
  RampCounts Ramps{};
  TargetHoldOffs HoldOffs;
  TargetLimits Limits{};
  TargetWarmups Warmups{};
  PacePledges Pledges{};
  PaceLeases Leases{};
  HeartbeatLog Heartbeats{};
  /// Until then, this host reserves no slot at these targets: their arbiter
  /// does not know yet that they are cold.
  std::unordered_map<TargetId, TimePoint> ColdUnknownUntil{};
  bool NoticesDue = false; ///< a heartbeat and digests with notices are due
  bool FirstSightsDropped = false; ///< see trustOtherHosts()
  TimePoint NoticesSentAt{};
  TimePoint WarmupsTickedAt{};
  TimerConnection NoticeTimer{};
  TimerConnection OperatorRetry{}; ///< while operators can't be listened for
  std::uint64_t PacedRequests = 0; ///< that waited or went elsewhere

  // The fleet.
  std::map<HostId, ForwardPeer> Fleet{}; ///< all other hosts
  std::unordered_map<HostId, EnvelopeWriter> Outgoing{};
  bool FlushDue = false;
  /// The message that is being received arrived before the end of a pause of
  /// this process. What it permits may be permitted no longer.
  bool ReceivingOutdated = false;
  std::uint64_t HeartbeatSequence = 0;
  AccountLedger Ledger{};
  AccountMeter Meter{};

  // Availability zones; unused unless pools may be divided.
  ZoneMap Zones{};
  bool AnyDivided = false; ///< some pool is divided by zone
  std::map<ZoneId, std::string> ZoneNames{};
  std::map<ZoneId, ZoneTraffic> TrafficByZone{};

  // Objects of the platform.
  /// By ObjectKind. The newest configuration stays until another one is
  /// written. The restored status of a rollout is taken over at once, because
  /// its coordinator must notice that the outcome is to be written again.
  std::array<ObjectMirror, ObjectKindCount> Mirrors{
      ObjectMirror(ObjectMirror::RetainForever), ObjectMirror(),
      ObjectMirror(Duration(0)), ObjectMirror(), ObjectMirror()};
  std::uint64_t StoreEra = 0; ///< latest era of the platform's store; 0 if none
  std::array<ObjectPull, ObjectKindCount> Pulls{};
  std::array<MirrorComparison, ObjectKindCount> Comparisons{};
  ObjectSource Source = ObjectSource::Platform;
  TimePoint PlatformRespondedAt{}; ///< when the platform last responded
  /// Since when it has responded without an outage; 0 before the first
  /// response.
  TimePoint PlatformContactSince{};
  TimePoint WatchUntil{}; ///< until then this host watches the platform,
                          ///< because pulls from hubs failed
  bool DigestDue = false;
  bool DigestHeard = false; ///< since the start of this process

  // Signals to the adapter.
  /// Objects have changed; the adapter translates them and calls the functions
  /// below.
  sigc::signal<void(ObjectKind, const std::vector<ObjectRecord> &)>
      ObjectsChanged{};
  /// The adapter should start or stop watching the platform.
  sigc::signal<void(ObjectSource)> WatchRequested{};
  /// The adapter should list the objects of a kind, if it watches them.
  sigc::signal<void(ObjectKind)> ListRequested{};
  /// A rollout has reached a stage that is to be written to the platform.
  sigc::signal<void(PoolId, const std::string &Version, VersionStage)>
      StageReached{};
  /// The platform's store was restored from an older copy; what this host wrote
  /// may be lost.
  sigc::signal<void()> StoreRestored{};
  /// This host is stopping; the platform should no longer list it.
  sigc::signal<void()> DeregisterRequested{};
};

// ---- For adapters -----------------------------------------------------------

Result<Done> startForwarding(ForwardHost &H);
/// Applies objects from the platform or from a host that watches it. \p Sender
/// is "store" or the address of that host, for the log.
void applyFeed(ForwardHost &H, ObjectKind Kind, const ObjectFeed &Feed,
               std::string_view Sender);
/// Records that the platform has responded to a call.
void recordPlatformResponse(ForwardHost &H);
/// Records that the platform responds again after an outage.
void recordPlatformReturn(ForwardHost &H);
/// Puts a configuration in force, unless that version or a newer one is.
void applyConfig(ForwardHost &H, ForwardConfig Config);
/// Applies a change of the target directory.
void applyTargets(ForwardHost &H);
/// Sends a target no more requests, because it has said that it is leaving.
void markTargetLeaving(ForwardHost &H, const ForwardCall &Call,
                       const TargetAttempt &Attempt);
/// Applies the list of evacuated zones; \p Zones has the names of all of them.
void applyEvacuations(ForwardHost &H, const std::set<std::string> &Zones);
/// Whether this host mirrors objects of this kind.
bool mirrorsKind(const ForwardHost &H, ObjectKind Kind);
/// Applies the rollouts stored on the platform; \p Specs has all of them.
void applyRollouts(ForwardHost &H, const std::vector<RolloutSpec> &Specs);
/// Applies the platform's list of hosts; \p Listed has all of them.
void applyHosts(ForwardHost &H, const std::vector<ListedHost> &Listed);
/// Capacity of a host to work for others: the scarcer of its CPU share and its
/// link rate, relative to a quarter of a core and 50 Mbit/s.
double relativeCapacity(const HostSettings &Settings);

// ---- Between the files forward_*.cpp ----------------------------------------

bool isReady(const ForwardHost &H);
/// Recomputes this host's share of the fleet's retry budget.
void updateRetryBudgets(ForwardHost &H);
RequestKey reservationKey(const ForwardHost &H, RequestId Slot);
ForwardCall *findCall(ForwardHost &H, RequestId Id);

// forward_memory.cpp
void startMemory(ForwardHost &H);
/// Answers the requests that wait for memory, and those that would.
void stopWaitingForMemory(ForwardHost &H);
/// Returns the metrics of memory in the Prometheus text format.
std::string memoryMetrics(const ForwardHost &H);
// forward_descriptors.cpp
/// Divides the descriptors that this process may open.
DescriptorShares descriptorShares(const HostSettings &Settings);
CallerServerLimits callerLimits(const HostSettings &Settings,
                                const DescriptorShares &Shares,
                                const MemoryBudget &Budget);
HttpServerLimits probeLimits(const DescriptorShares &Shares);
CallerServerLimits objectServerLimits(const DescriptorShares &Shares);
void logDescriptorShares(const ForwardHost &H);
/// Open connections by share, their limits, and what was refused.
std::string descriptorMetrics(const ForwardHost &H);

// forward_requests.cpp
/// Returns the time that the caller allows, or the default.
Duration requestedTime(const ForwardHost &H, const HttpHead &Head);
/// Outcome of requests whose complete response was sent to the caller.
inline constexpr std::string_view ServedOutcome = "served";
void startRequests(ForwardHost &H);
/// Responds to the caller with an error and ends the call.
void failCall(ForwardHost &H, ForwardCall &Call, ErrorKind Why,
              Duration RetryAfter = Duration(0));
/// Ends a call whose response is complete or whose caller has disconnected.
void endCall(ForwardHost &H, ForwardCall &Call, std::string_view Outcome);
/// Enforces the time limits of calls.
void checkTimeouts(ForwardHost &H);

// forward_drain.cpp
/// Retry-After while this host stops: another host accepts the request at once.
inline constexpr Duration DrainRetryAfter = milliseconds(50);
/// Completes what can be completed within the drain timeout, then stops the
/// loop.
void startDrain(ForwardHost &H);
/// Returns why a new request is rejected, if this host stops too early for it.
std::optional<Error> refuseWhileDraining(ForwardHost &H,
                                         const ForwardCall &Call);
/// Whether a further dispatch may be expected to end before the host does.
bool mayRepeatWhileDraining(const ForwardHost &H, const ForwardCall &Call);

// forward_dispatch.cpp
/// Sends the call to \p Target, as a replacement if it has a dispatch already.
/// \p Slot: granted for it; without an id in plain pools.
void dispatch(ForwardHost &H, ForwardCall &Call, const ListedTarget &Target,
              const SlotReservation &Slot);
/// Cancels the call's dispatch, if there is one, and releases its slot.
void cancelDispatch(ForwardHost &H, ForwardCall &Call, DispatchOutcome How);
/// Seeks a replacement for a target that has sent nothing within its timeout.
void replaceSilentTarget(ForwardHost &H, ForwardCall &Call);
/// Whether a replacement may be dispatched; withdraws it from the retry budget.
bool admitReplacement(ForwardHost &H, ForwardCall &Call);
/// Decides between the current target and its replacement.
void checkReplacement(ForwardHost &H, ForwardCall &Call);
/// Cancels the replacement, or the reservation for one.
void cancelReplacement(ForwardHost &H, ForwardCall &Call);

// forward_pools.cpp
void requestSlot(ForwardHost &H, ForwardCall &Call);
/// Retries a reservation that its arbiter has not answered.
void retryReservation(ForwardHost &H, ForwardCall &Call);
/// Cancels the call's reservation, if it waits for one.
void cancelReservation(ForwardHost &H, ForwardCall &Call);
/// Returns the slot of \p Attempt, if it has one.
void releaseSlot(ForwardHost &H, PoolId Pool, TargetId Target,
                 const SlotReservation &Held, const Usage &Used);
/// \p Unreachable: the target took no connection.
void reportTargetRefusal(ForwardHost &H, PoolId Pool, TargetId Target,
                         bool Unreachable = false);
/// Tells the arbiter of a plain pool that the connection was lost under a
/// request that had no slot.
void reportAttemptLost(ForwardHost &H, const ForwardCall &Call,
                       const TargetAttempt &Attempt);
/// Whether this host may send a request to \p Target at present.
bool isOpen(const ForwardHost &H, const ListedTarget &Target);
/// Tells the pool's arbiter that a target is leaving.
void reportTargetLeaving(ForwardHost &H, PoolId Pool, TargetId Target,
                         IncarnationId Incarnation);
/// Applies an arbiter's answer to a reservation of this host. \p Host: for a
/// redirect, the host of the arbiter to ask; 0 if it is not known.
void handleArbiterAction(ForwardHost &H, const ArbiterAction &Action,
                         HostId Host = HostId{});
/// Tells the arbiters that granted it of the first event of an answer.
void reportAnswerBegan(ForwardHost &H, const ForwardCall &Call);
/// Reports the slots in use on this host in \p Zone to an arbiter that has no
/// report yet.
void reportSlots(ForwardHost &H, PoolId Pool, ZoneId Zone, HostId To);
/// Tells all arbiters which slots this host uses; called once a second.
void confirmSlots(ForwardHost &H);

// forward_arbiters.cpp
bool isEngine(const ForwardHost &H, PoolId Pool);
/// Steps the arbiter of \p Zone on this host, and starts it if it doesn't run.
void stepArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone,
                 const ArbiterEvent &Event);
/// Passes an event to the arbiter of \p Zone at \p To.
void sendToArbiter(ForwardHost &H, HostId To, PoolId Pool, ZoneId Zone,
                   const ArbiterEvent &Event);
/// Whether an arbiter of \p Pool for \p Zone runs here.
bool runsArbiter(const ForwardHost &H, PoolId Pool, ZoneId Zone);
/// Returns the zones of \p State whose arbiters run here.
std::vector<ZoneId> hostedZones(const PoolState &State);
/// Steps the local-share arbiter and performs its actions.
void stepLocalShare(ForwardHost &H, PoolId Pool, const ArbiterEvent &Event);
void publishTargets(ForwardHost &H, PoolId Pool);
/// Takes over another host's decision on a crash key.
void learnCrashHold(ForwardHost &H, const PoolCrashHold &Learned);
void tickArbiters(ForwardHost &H);
/// Ends the arbiters that are no longer used, and reports origins that are not
/// heard from to the others; called once a second.
void reviewArbiters(ForwardHost &H);

// forward_zones.cpp
/// Decides which pools are divided by zone, and the zones of their arbiters;
/// called after a change of targets, hosts or configuration.
void updateDivision(ForwardHost &H);
/// Returns the zone whose arbiter grants the targets in \p Zone: another one if
/// no host is listed there.
ZoneId servingZone(const ForwardHost &H, ZoneId Zone);
/// Returns the zone whose arbiter grants the slots of \p Target; 0 if the pool
/// is not divided. \p Otherwise: if the target is not listed.
ZoneId arbiterZoneOf(const ForwardHost &H, PoolId Pool, TargetId Target,
                     ZoneId Otherwise = ZoneId{});
/// Returns the number of hosts whose local share includes targets in \p Zone.
std::size_t sharingHosts(const ForwardHost &H, PoolId Pool, ZoneId Zone);
/// Returns the zone of the arbiter that this host reserves at; 0 if \p Pool is
/// not divided.
ZoneId reservationZone(const ForwardHost &H, PoolId Pool);
/// Returns the host of the arbiter of \p Pool in \p Zone; of the region-wide
/// one if \p Zone is 0. Empty if none is reachable.
std::optional<HostId> arbiterOf(const ForwardHost &H, PoolId Pool, ZoneId Zone);
/// Records where the arbiter of another zone runs.
void learnZoneArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone, HostId Host);
/// Makes sure that the arbiter of \p Zone has a report of this host's slots,
/// and still runs where it is expected; called once a second.
void checkZoneArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone);
void handleZoneBeat(ForwardHost &H, HostId From, const ZoneBeat &Beat);
void handleZoneAggregate(ForwardHost &H, HostId From,
                         const ZoneAggregateMessage &Message);
/// Whether a message of another zone's arbiter concerns this host: an arbiter
/// of \p Zone runs here, or \p Starts and it would run here.
bool acceptsZoneMessage(const ForwardHost &H, PoolId Pool, ZoneId Zone,
                        bool Starts);
/// Tells the pool's other arbiters of attempts that were lost in \p Zone.
void shareLostAttempts(ForwardHost &H, PoolId Pool, ZoneId Zone,
                       Arbiter &Recorder);
/// Records a reservation at the arbiter of \p Zone here.
void recordReservation(ForwardHost &H, PoolId Pool, ZoneId Zone,
                       const Reservation &Request);
/// Records a redirect to \p Zone. Returns the host of the arbiter there; 0 if
/// it is not known.
HostId recordRedirect(ForwardHost &H, PoolId Pool, ZoneId Zone);
/// Returns the zone's name for log lines and metrics.
std::string zoneName(const ForwardHost &H, ZoneId Zone);
/// Returns the counters by zone in the Prometheus text format.
std::string zoneMetrics(const ForwardHost &H);
void startZones(ForwardHost &H);

// forward_suspects.cpp
/// Logs the decisions of an arbiter of this host on crash keys, and tells
/// the other hosts.
void publishCrashDecisions(ForwardHost &H, PoolId Pool, Arbiter &Decider);
/// Returns what other hosts should know of all pools.
std::vector<PoolCrashHold> crashHolds(const ForwardHost &H);

// forward_limits.cpp
/// Takes over what the head of an answer says of its target's limit.
void recordTargetLimit(ForwardHost &H, const TargetAttempt &Attempt,
                       const HttpHead &Head);
/// Takes over what another host passes on.
void learnTargetLimits(ForwardHost &H,
                       const std::vector<TargetLimitNotice> &Notices);
std::vector<TargetLimitNotice> limitsToPassOn(ForwardHost &H);
/// Drops the limits of targets that are gone or have started again.
void dropOutdatedLimits(ForwardHost &H);
/// Returns the events that tell a new arbiter of the limits of its targets.
/// Of \p Zone only, unless it is 0.
std::vector<ArbiterEvent> paceEvents(const ForwardHost &H, PoolId Pool,
                                     ZoneId Zone, bool IsLocalShare);
/// Whether some target of the pool has named a limit or is cold.
bool hasLimitedTargets(const ForwardHost &H, PoolId Pool);
/// Tells the arbiters of this host how \p Target is paced.
void updatePace(ForwardHost &H, TargetId Target);

// forward_warmup.cpp
/// Whether the target is cold and its pool has a warm-up.
bool isCold(const ForwardHost &H, TargetId Target);
bool hasColdTargets(const ForwardHost &H, PoolId Pool);
/// For how long this host will have heard from the fleet, so that it knows of
/// targets that become cold.
Duration inTouchTime(const ForwardHost &H);
bool hasWarmup(const ForwardHost &H, PoolId Pool);
/// Whether requests of the pool need a slot because of its warm-up.
bool needsWarmupSlot(const ForwardHost &H, PoolId Pool);
/// Whether this host would know of every target that is cold.
bool knowsColdTargets(const ForwardHost &H);
/// A digest of a host that knows of all cold targets has arrived. From the
/// first one on, targets that were listed before the start are not assumed to
/// be cold.
void trustOtherHosts(ForwardHost &H);
/// Takes over what entries state, as compared to the targets known before.
void recordWarmupEntry(ForwardHost &H, const ListedTarget &Target,
                       const ListedTarget *Before);
/// Takes over what the head of an answer says, or does not say.
void recordWarmupResponse(ForwardHost &H, const TargetAttempt &Attempt,
                          const HttpHead &Head);
/// The target may have restarted under the same name.
void recordTargetLost(ForwardHost &H, TargetId Target,
                      IncarnationId Incarnation);
/// All targets of a zone are cold, because its evacuation has ended.
void markZoneCold(ForwardHost &H, ZoneId Zone);
/// Takes over what another host passes on.
void learnTargetWarmups(ForwardHost &H,
                        const std::vector<TargetWarmupNotice> &Notices);
/// Applies changes, including those by time alone; called often.
void tickWarmups(ForwardHost &H);
void dropOutdatedWarmups(ForwardHost &H);
/// How this host's arbiters pace a cold target; nothing if it is not cold.
std::optional<TargetPace> warmupPace(const ForwardHost &H, TargetId Target,
                                     bool IsLocalShare);
/// Returns the pools that a heartbeat to \p Hub pledges to it.
std::vector<PoolId> poolsPledgedTo(ForwardHost &H, HostId Hub);
/// What a new arbiter of the pool may assume.
PaceLeaseChanged initialPaceLease(const ForwardHost &H, PoolId Pool);
/// Renews the permission of this host's arbiters to grant cold targets.
void renewPaceLeases(ForwardHost &H);
/// Logs and counts a request that waited, was refused or went to another target
/// than the first choice because its pool has cold targets.
void recordPaced(ForwardHost &H, const ForwardCall &Call, std::string_view How);
/// Whether a granted slot may still be used: a grant at a cold target must be
/// recent, and its arbiter must know that the target is cold.
bool mayUseGrant(ForwardHost &H, const SlotReservation &Granted,
                 const GrantSlot &Grant);

// forward_evacuations.cpp
/// Retry-After when no target of a pool may get a request.
inline constexpr Duration NoTargetRetryAfter = milliseconds(800);
/// Reads the regions of zones from the settings.
void readZoneRegions(ForwardHost &H);
/// Whether the evacuated zones are known, or none are to be followed.
bool knowsEvacuations(const ForwardHost &H);
/// Whether any request may be sent to \p Target: it is not leaving, and its
/// zone is not evacuated.
bool isServing(const ForwardHost &H, const ListedTarget &Target);
/// Like isServing(), and the home regions of the call allow the target.
bool isInReach(const ForwardHost &H, const ForwardCall &Call,
               const ListedTarget &Target);
/// Whether this host may send the call to \p Target now. Each path to a target
/// asks this.
bool maySend(const ForwardHost &H, const ForwardCall &Call,
             const ListedTarget &Target);
/// Returns the zones that the call must not reach.
std::vector<ZoneId> closedZones(const ForwardHost &H, const ForwardCall &Call);
/// Refuses a call whose pool has targets in closed zones only. Returns whether
/// that is so; a call that was dispatched goes on.
bool refuseOutOfReach(ForwardHost &H, ForwardCall &Call);
/// Records that the grant of a target is returned because of the target's zone.
void recordReturnedGrant(ForwardHost &H, ForwardCall &Call,
                         const ListedTarget &Target);
/// Whether a version has targets, all of them in evacuated zones.
bool isVersionEvacuated(const ForwardHost &H, PoolId Pool, VersionId Version);
/// Returns metrics of evacuated zones.
std::string evacuationMetrics(const ForwardHost &H);

// forward_ramps.cpp
/// Notes new targets and incarnations of the directory. \p FirstList: this host
/// has had no list before.
void recordListings(ForwardHost &H, bool FirstList);
/// Returns the time since the target's incarnation was first listed; nothing
/// unless ramps are enabled.
std::optional<Duration> listedFor(const ForwardHost &H, TargetId Target);
/// Logs and counts the ramps that an arbiter of this host has started and
/// ended.
void publishRampChanges(ForwardHost &H, PoolId Pool, Arbiter &Decider);
/// Starts a ramp of a target of a plain pool; no effect in engine pools.
void startPlainRamp(ForwardHost &H, TargetId Target, RampStart Reason);
/// Whether the ramp of a target of a plain pool, if any, allows a request.
bool plainRampAllows(const ForwardHost &H, TargetId Target,
                     std::uint32_t InFlight);
/// Passes the end of an attempt to the ramp of its target in a plain pool.
void recordPlainRamp(ForwardHost &H, const TargetAttempt &Attempt,
                     const Usage &Used);
/// Returns the metrics of ramps in the Prometheus text format.
std::string rampMetrics(const ForwardHost &H);

// forward_fleet.cpp
Result<Done> startFleet(ForwardHost &H);
/// Whether this process was paused and has not had the time to hear from the
/// other hosts since. It takes no role meanwhile.
bool isResuming(const ForwardHost &H);
/// Returns the hub that arbitrates \p Pool; empty if none is reachable.
std::optional<HostId> arbiterOf(const ForwardHost &H, PoolId Pool);
std::size_t fleetSize(const ForwardHost &H);
/// Sends a heartbeat and digests, because targets have become cold or warm.
void sendNotices(ForwardHost &H);
/// Sends an unsolicited digest to all hosts that send heartbeats to this one.
void sendDigests(ForwardHost &H);
void sendTo(ForwardHost &H, HostId To, const PeerMessage &Message);

// forward_objects.cpp
Result<Done> startObjects(ForwardHost &H);
/// Pulls the objects that are newer at a hub, by its digest.
void pullFromHub(ForwardHost &H, HostId Hub, const FleetDigest &Digest);
/// Compares this host's objects with those of a hub, by its digest, and copies
/// them anew if they differ; see mirror_comparison.h.
void compareWithHub(ForwardHost &H, HostId Hub, const FleetDigest &Digest);
std::array<std::uint32_t, ObjectKindCount> contentHashes(const ForwardHost &H);
/// Decides whether this host watches the platform itself.
void selectObjectSource(ForwardHost &H, bool IsHub);
std::array<StorePosition, ObjectKindCount> feedPositions(const ForwardHost &H);
/// Takes over restored objects that nobody has written again in time.
void expireRetainedObjects(ForwardHost &H);
/// Whether the sender of \p Digest knows the store's latest era.
bool knowsLatestEra(const ForwardHost &H, const FleetDigest &Digest);
bool isWatchHealthy(const ForwardHost &H);
/// Returns for how long the platform has responded to this host without an
/// outage; 0 if its watch is not healthy.
Duration platformContact(const ForwardHost &H);
/// Ends the time for which missing targets are kept if another host had contact
/// with the platform meanwhile: entries lapse while it is away from all only.
void limitSettling(ForwardHost &H);

// forward_versions.cpp
/// Whether the target runs the serving version of its pool, or none is known.
bool runsServingVersion(const ForwardHost &H, const ListedTarget &Target);
/// Selects the version for a request of a plain pool by the rollout's share; 0
/// stands for the serving version. The share is one of requests: their further
/// attempts go to the serving version.
VersionId selectVersion(ForwardHost &H, ForwardCall &Call);
void publishVersions(ForwardHost &H, PoolId Pool, Arbiter &To);
void observeVersion(ForwardHost &H, ForwardCall &Call,
                    const TargetAttempt &Attempt, const Usage &Used,
                    bool Failed);
void observeLatency(ForwardHost &H, const ForwardCall &Call, LatencyKind Kind,
                    TimePoint StartedAt, Duration Elapsed);
void observePace(ForwardHost &H, const ForwardCall &Call, Duration Pace);
void handleEvidence(ForwardHost &H, const EvidenceArrived &Arrived);
void mergeDecision(ForwardHost &H, const VersionDecision &Decision);
std::vector<VersionDecision> coordinatedDecisions(const ForwardHost &H);
void updateServingVersions(ForwardHost &H);
void tickVersions(ForwardHost &H);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_FORWARD_HOST_H
