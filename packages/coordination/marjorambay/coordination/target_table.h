/// The targets of a pool: their slots in flight, and the choice of a target for
/// a request.
#ifndef MARJORAMBAY_COORDINATION_TARGET_TABLE_H
#define MARJORAMBAY_COORDINATION_TARGET_TABLE_H

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/fair_queue.h"
#include "marjorambay/coordination/load_history.h"
#include "marjorambay/coordination/start_ramp.h"
#include "marjorambay/coordination/target_health.h"
#include "marjorambay/coordination/target_limits.h"
#include "marjorambay/coordination/target_model.h"
#include "marjorambay/coordination/version_share.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// A slot at a target that was granted to an origin.
struct Slot {
  Reservation Request{};
  TokenCost Cost{};
  double Work = 0; ///< decode tokens charged to the account
  TargetId Target{};
  VersionId Version{};
  TimePoint GrantedAt{};
  TimePoint Deadline{};
  /// The slot is freed at this time even without a release.
  TimePoint ExpiresAt{};
  double PromptAhead = 0; ///< uncached prompt tokens of the requests before it
  double Streams = 0;     ///< streams at the target when the slot was granted
  std::uint32_t Tokens = 0;    ///< output tokens at the last progress report
  TimePoint TokensAt{};        ///< time of the last progress report, or epoch
  bool FirstEventSeen = false; ///< counted by the target's ramp
};

/// Result of the choice of a target.
struct TargetChoice {
  /// Some target has a free slot, perhaps not for this request.
  bool AnyRoom = false;
  /// Some target with a free slot is not closed to the request.
  bool AnyOpen = false;
  bool Found = false;
  /// Targets with a free slot, regardless of version shares.
  std::size_t TargetsWithRoom = 0;
  TargetId Target{};
  /// Expected seconds from now to the end of the answer.
  double FinishSeconds = 0;
};

struct TargetTableSettings {
  /// After a refused request; doubles with each further one.
  Duration InitialBackOff = milliseconds(200);
  Duration MaxBackOff = seconds(5);
  /// Treat the declared slots as the requests that a target runs concurrently.
  /// A long wait for a first token then means that prompts are being prefilled,
  /// not that requests queue.
  bool TrustDeclaredSlots = false;
  /// Fraction of a target's limit that is granted before all origins have
  /// reported.
  double TakeoverFraction = 0.125;
  std::size_t MaxPrefixes = 4096; ///< prefixes stored for cache affinity
  /// Limit targets that have just started or recovered by a StartRamp.
  bool StartRamps = false;
  StartRampSettings Ramp{};
};

/// All targets of one pool.
class TargetTable {
public:
  explicit TargetTable(TargetTableSettings Given = {}) : Settings(Given) {}

  void setTargets(const std::vector<TargetInfo> &Targets, TimePoint Now);
  void markLeaving(TargetId Target, IncarnationId Incarnation);
  void recordRefusal(TargetId Target, TimePoint Now);
  /// Sets the pace of a target that has named a limit or is cold; nothing ends
  /// it.
  void setPace(TargetId Target, const std::optional<TargetPace> &Pace,
               TimePoint Now);
  /// See TargetPacer::setLease().
  void setPaceLease(TimePoint Until, TimePoint InTouch, double PerSecond) {
    Pacer.setLease(Until, InTouch, PerSecond);
  }
  bool isCold(TargetId Target) const { return Pacer.isCold(Target); }
  /// Counts a request that the target gets because of a grant.
  void recordSend(TargetId Target, double Work, TimePoint Now);
  /// Returns the seconds until \p Ahead + 1 requests may be sent, if all
  /// targets have named a limit or are cold; otherwise nothing.
  std::optional<double> secondsToSend(std::size_t Ahead,
                                      const VersionShare &Shares,
                                      TimePoint Now) const;
  void mergeReport(const LoadReported &Report, TimePoint Now);

  /// Returns whether some target may serve \p Request, now or after a backoff.
  /// Targets that its origin has closed for a while count.
  bool anyServing(const Reservation &Request, const VersionShare &Shares) const;

  /// Returns the target with the earliest expected finish that has a free slot
  /// and is expected to meet the deadline. A target that likely has the
  /// prompt's prefix cached is preferred, but only if it meets the deadline
  /// even without the cached prefix.
  TargetChoice choose(const QueuedReservation &Entry,
                      const VersionShare &Shares, bool Takeover,
                      TimePoint Now) const;

  /// Returns whether \p Target has a free slot.
  bool hasRoom(TargetId Target, const VersionShare &Shares, bool Takeover,
               TimePoint Now) const;

  /// Returns whether some target, with or without a free slot, is expected to
  /// meet the deadline under its current load.
  bool canMeet(const QueuedReservation &Entry, const VersionShare &Shares,
               TimePoint Now) const;

  /// Resets the count of slots that are granted before all origins have
  /// reported.
  void startTakeover();

  /// Counts a slot that was granted, or that an origin reports. \p Takeover
  /// means that it was granted before all origins have reported.
  void addSlot(Slot &Reserved, bool Takeover, TimePoint Now);

  void removeSlot(const Slot &Reserved, TimePoint Now);

  void recordProgress(Slot &Reserved, std::uint32_t Tokens, TimePoint Now);
  void recordRelease(const Slot &Reserved, const Usage &Used, TimePoint Now);

  /// Records that the first event of an answer has arrived.
  void recordAnswerBegan(Slot &Reserved, TimePoint Now);

  /// Starts a ramp of \p Target, which returns to use for \p Reason; no effect
  /// unless ramps are enabled.
  void startRamp(TargetId Target, RampStart Reason, TimePoint Now);
  /// Returns the ramp of \p Target; nullptr if it has none.
  const StartRamp *ramp(TargetId Target) const;
  std::size_t rampCount() const { return Ramps.size(); }
  /// Returns the ramps that started or ended since the last call.
  std::vector<RampChange> takeRampChanges();

  /// Returns whether \p Target is not ejected because of its answers; true for
  /// an unknown target.
  bool usable(TargetId Target, TimePoint Now) const;

  /// Updates the health of a target from the outcome of a request.
  void recordOutcome(TargetId Target, DispatchOutcome Outcome, TimePoint Now);

  /// Recomputes the values that fastestSeconds() and capacity() return.
  void refresh(const VersionShare &Shares, TimePoint Now);

  /// Returns the seconds that \p Cost takes on the fastest available target.
  /// \p Busy assumes a full batch, otherwise the request runs alone.
  double fastestSeconds(const TokenCost &Cost, bool Busy) const;

  /// Returns the decode tokens per second of all available targets, each at its
  /// request limit.
  double capacity() const { return Capacity; }

  /// Returns the cost of a prompt token in decode tokens, or \p Guess before
  /// any speed was measured.
  double promptWeight(double Guess) const {
    return PromptWeight > 0 ? PromptWeight : Guess;
  }

  /// Returns the seconds that \p Cost takes on \p Target under its current
  /// load.
  double expectedSeconds(TargetId Target, const TokenCost &Cost,
                         TimePoint Now) const;

  /// Returns the number of requests that all available targets may have in
  /// flight now.
  std::size_t slots(const VersionShare &Shares, TimePoint Now) const;
  /// Returns the number of requests that all available targets declare.
  std::size_t declaredSlots(const VersionShare &Shares) const;

  /// Returns the number of requests that may be sent at once to targets that
  /// have a free slot.
  std::size_t freeSlots(const VersionShare &Shares, bool Takeover,
                        TimePoint Now) const;
  /// Returns the requests per second that all available targets finish if they
  /// are busy; 0 before the first request.
  double requestsPerSecond(const VersionShare &Shares, TimePoint Now) const;

  std::size_t size() const { return Entries.size(); }
  std::uint32_t inFlight(TargetId Target) const;
  std::uint32_t limit(TargetId Target, TimePoint Now) const;

private:
  struct TargetState {
    TargetInfo Info{};
    bool Listed = false;
    bool WasListed = false;
    bool MarkedLeaving = false;
    IncarnationId LeavingIncarnation{};
    TargetModel Model{};
    std::uint32_t InFlight = 0;
    std::uint64_t TokensInFlight = 0;
    /// Slots granted here before all origins have reported.
    std::uint32_t SinceTakeover = 0;
    /// When the prompts granted so far are expected to be prefilled.
    TimePoint PrefillUntil{};
    TimePoint BackOffUntil{};
    std::uint32_t Refusals = 0; ///< consecutive refusals
    LoadHistory History{};
    TargetHealth Health{};
  };

  /// Speed of a target in seconds, computed by the last refresh().
  struct SpeedEstimate {
    double First = 0;  ///< to the first token, for an empty prompt
    double Prompt = 0; ///< per prompt token
    double BusyStep = 0;
    double AloneStep = 0;
  };

  /// A target's ramp, while it lasts.
  struct TargetRamp {
    StartRamp Ramp{};
    /// Speed before the start; empty if it was not known.
    std::optional<TargetModel> Past{};
    TimePoint StartedAt{};
  };

  /// Means of the targets without a ramp.
  struct PeerSpeeds {
    bool Known = false;    ///< else, there are none with a known speed
    double FirstEvent = 0; ///< seconds, for an empty prompt
    double PerToken = 0;   ///< seconds for each prompt token
    /// Load relative to the slots; empty if there are no such targets.
    std::optional<double> Load{};
    TimePoint ValidUntil{};
  };

  std::uint32_t limitOf(const TargetState &State, TimePoint Now) const;
  double secondsToFullRate(TargetId Target, TimePoint Now) const;
  /// Returns the limit on requests in flight with the target's ramp.
  std::uint32_t rampedLimit(const TargetState &State,
                            const VersionShare &Shares, TimePoint Now) const;
  /// \p Before: what the list said of the target before.
  void startRampIfNew(const TargetState &State, const TargetInfo &Before,
                      bool FirstList, TimePoint Now);
  void startRamp(const TargetState &State, RampStart Reason, TimePoint Now);
  void endRamp(TargetId Target, RampEnd End, TimePoint Now);
  void endUnlistedRamps(TimePoint Now);
  void recordFirstEvent(const TargetState &State, const Slot &Reserved,
                        Duration Waited, TimePoint Now);
  void recordRampFailure(TargetId Target, TimePoint SentAt, TimePoint Now);
  RampAnswer rampAnswer(const TargetState &State, const TargetRamp &Ramp,
                        const Slot &Reserved, Duration Waited, TimePoint Now);
  const PeerSpeeds &peerSpeeds(TimePoint Now);
  /// Passes a complete answer to the target's ramp.
  void recordRampRelease(const TargetState &State, const Slot &Reserved,
                         const Usage &Used, TimePoint Now);
  void removeUnlisted();
  void recordOverdue(TargetState &State, const Slot &Reserved,
                     const Usage &Used, TimePoint Now);
  void recordFirstProgress(TargetState &State, const Slot &Reserved,
                           std::uint32_t Tokens, TimePoint Now);
  bool available(const TargetState &State, const VersionShare &Shares) const;
  bool hasRoom(const TargetState &State, const VersionShare &Shares,
               bool Takeover, TimePoint Now) const;
  bool ejected(const TargetState &State, TimePoint Now) const;
  void updateMayEject(TimePoint Now);
  double promptAhead(const TargetState &State, TimePoint Now) const;
  double streams(const TargetState &State, TimePoint Now) const;
  bool meetsFirstTokenObjective(const TargetState &State,
                                const QueuedReservation &Entry,
                                TimePoint Now) const;
  double finishSeconds(const TargetState &State, const TokenCost &Cost,
                       TimePoint Now) const;
  const TargetState *find(TargetId Target) const;
  void recordPrefix(std::uint64_t Prefix, TargetId Target);

  TargetTableSettings Settings;
  std::vector<TargetState> Entries{};
  std::vector<SpeedEstimate> Speeds{};
  PoolHealth Health{};
  TargetPacer Pacer{};
  std::unordered_map<TargetId, TargetRamp> Ramps{};
  std::vector<RampChange> RampChanges{};
  PeerSpeeds Peers{};
  bool HasList = false;  ///< setTargets() was called
  double WholeShare = 0; ///< moving share of answers that came as a whole
  double MeanWork = 0;   ///< moving average of the work of requests sent
  bool MayEject = true; ///< enough targets are usable to eject the failing ones
  double Capacity = 0;
  double PromptWeight = 0; ///< 0 if not measured yet
  std::unordered_map<TargetId, std::size_t> Indices{};
  std::unordered_map<std::uint64_t, TargetId> Prefixes{};
  /// Prefixes in order of insertion, for eviction.
  std::vector<std::uint64_t> PrefixRing{};
  std::size_t NextPrefix = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_TABLE_H
