/// Ramp of a target that has just started or recovered and says nothing about
/// its pace: a limit on its requests in flight, learned from its answers.
///
/// A ramp begins with a few requests in flight. It grows with answers whose
/// first events are as early as a reference, and shrinks with failures,
/// refusals and late first events. It ends once the target answers like the
/// reference at the load of its peers, or has reached its declared slots.
/// Without traffic nothing changes: time alone neither grows nor ends a ramp.
///
/// [SECTION] Index
///   1. Names        reasons of starts and ends
///   2. Settings
///   3. Answers      what a ramp learns from
///   4. RampJudge    what an answer means, and whether the ramp is over
///   5. StartRamp    the ramp of one target
///   6. StartPolicy  concept, for comparison with other policies
#ifndef MARJORAMBAY_COORDINATION_START_RAMP_H
#define MARJORAMBAY_COORDINATION_START_RAMP_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marjorambay {

// ---- Names ------------------------------------------------------------------

/// Why a ramp started.
enum class RampStart : std::uint8_t {
  NewTarget,
  NewIncarnation,
  Ejection,
  BackOff,
  Silence,
  Evacuation,
};
template <>
inline constexpr std::array NamesOf<RampStart> =
    std::to_array<std::string_view>({"new_target", "new_incarnation",
                                     "ejection", "back_off", "silence",
                                     "evacuation"});
static_assert(NamesOf<RampStart>.size() == 6);

/// Why a ramp ended.
enum class RampEnd : std::uint8_t {
  LikePeers,     ///< answers like its peers, at their load
  LikePast,      ///< answers as before its start, at its peers' load
  DeclaredSlots, ///< the limit has reached the declared slots
  Replaced,      ///< another ramp of the target has started
  Unlisted,      ///< the target is no longer listed
};
template <>
inline constexpr std::array NamesOf<RampEnd> = std::to_array<std::string_view>(
    {"like_peers", "like_past", "declared_slots", "replaced", "unlisted"});
static_assert(NamesOf<RampEnd>.size() == 5);

// ---- Settings ---------------------------------------------------------------

/// The factors were chosen by the histories in docs/design/start-ramp.md.
struct StartRampSettings {
  double InitialLimit = 2; ///< requests in flight
  /// A first event is early up to this multiple of the expected time, and late
  /// from the second one on.
  double EarlyFactor = 1.5;
  double LateFactor = 2;
  /// Largest ratio of speeds between targets of one pool.
  double MaxSpeedRatio = 4;
  /// A target that stays slower than MaxSpeedRatio without failing is taken
  /// for a slow one at last: the ratio doubles each time this has passed.
  Duration SlowTargetTime = seconds(30);
  double LateReduction = 0.7;    ///< factor on the limit after a late answer
  double FailureReduction = 0.5; ///< factor on the limit after a failure
  /// Answers among which a second late one shows that the first was no chance:
  /// one in twenty is late at a target whose load is right.
  std::uint32_t LateWindow = 4;
  /// After this time without a reduction, the limit grows as at the start.
  Duration CautionTime = seconds(6);
  /// Early answers at the load of the peers that end a ramp, if no two late
  /// ones come between them.
  std::uint32_t EarlyAnswersToEnd = 8;
  /// Least load, relative to the declared slots, at which answers may end a
  /// ramp: answers of an idle target say little of its capacity.
  double MinLoadToEnd = 0.25;
};

// ---- Answers ----------------------------------------------------------------

/// The reference for a first event.
enum class RampReference : std::uint8_t {
  Self,  ///< the target's answers in this ramp, for lack of another reference
  Peers, ///< the pool's other targets
  Past,  ///< the target before its start
};
template <>
inline constexpr std::array NamesOf<RampReference> =
    std::to_array<std::string_view>({"self", "peers", "past"});
static_assert(NamesOf<RampReference>.size() == 3);

/// The first event of an answer.
struct RampAnswer {
  RampReference Reference = RampReference::Self;
  double Seconds = 0;         ///< from dispatch to the first event
  double ExpectedSeconds = 0; ///< what the reference takes for the same work
  TimePoint SentAt{};
  /// Requests in flight at the target when this one was sent, with it.
  double InFlight = 1;
  /// Mean load of the pool's other targets, relative to their slots; nothing
  /// if there are none without a ramp.
  std::optional<double> PeerLoad{};
};

/// Counts and figures of a ramp, for logs.
struct RampFigures {
  std::uint32_t Answers = 0;
  std::uint32_t Early = 0;
  std::uint32_t Late = 0;
  std::uint32_t Failures = 0; ///< with refusals
  RampReference Reference = RampReference::Self;
  double LastRatio = 0; ///< last first-event time, relative to the expected one
  double OwnRatio = 0;  ///< usual value of it for this target
};

// ---- RampJudge --------------------------------------------------------------

enum class RampVerdict : std::uint8_t { Early, Usual, Late };

/// Compares first events with the reference.
class RampJudge {
public:
  explicit RampJudge(const StartRampSettings &Given = {}) : Settings(Given) {}

  void start(std::uint32_t DeclaredSlots, TimePoint Now);
  /// \p Age: of the ramp. An answer is Late only with another one of the last
  /// few.
  RampVerdict judge(const RampAnswer &Answer, Duration Age);
  /// Returns whether the answers so far are like the reference at the load of
  /// the peers.
  bool likeReference() const {
    return EarlyAnswers >= Settings.EarlyAnswersToEnd;
  }
  /// Returns whether a late answer or failure of a request that was sent at
  /// \p SentAt is a new reason to send less: those sent before the last
  /// reduction show its cause again.
  bool mayReduce(TimePoint SentAt, TimePoint Now);
  void recordFailure() { ++Figures.Failures; }

  const RampFigures &figures() const { return Figures; }

private:
  double relative(const RampAnswer &Answer, Duration Age);
  bool atPeerLoad(const RampAnswer &Answer) const;

  StartRampSettings Settings;
  std::uint32_t Declared = 1;
  std::uint32_t EarlyAnswers = 0;
  /// Number of the last answer that was late; 0 if there was none.
  std::uint32_t LastLate = 0;
  TimePoint ReducedAt{};
  RampFigures Figures{};
};

// ---- StartRamp --------------------------------------------------------------

/// The ramp of one target; inactive until start().
class StartRamp {
public:
  explicit StartRamp(const StartRampSettings &Given = {})
      : Settings(Given), Judge(Given) {}

  void start(RampStart Reason, std::uint32_t DeclaredSlots, TimePoint Now);
  void cancel() { Active = false; }
  /// Takes over changed slots.
  void setDeclaredSlots(std::uint32_t Slots) { Declared = Slots; }

  bool active() const { return Active; }
  /// Returns the number of requests that may be in flight; only while active.
  std::uint32_t limit() const;
  /// Returns whether another request may be sent.
  bool allows(double InFlight, TimePoint /*Now*/) const {
    return !Active || InFlight + 1 <= limit() + 0.5;
  }

  void recordSend(TimePoint Now);
  /// Records a first event. Returns why the ramp has ended, if it has.
  std::optional<RampEnd> recordAnswer(const RampAnswer &Answer, TimePoint Now);
  /// Records a failure or a refusal of a request that was sent at \p SentAt.
  void recordFailure(TimePoint SentAt, TimePoint Now);

  RampStart reason() const { return Reason; }
  const RampFigures &figures() const { return Judge.figures(); }
  /// Returns the time since the first request of the ramp.
  Duration age(TimePoint Now) const;

private:
  void reduce(double Factor, TimePoint SentAt, TimePoint Now);
  void grow(double InFlight, TimePoint Now);

  StartRampSettings Settings;
  RampJudge Judge;
  bool Active = false;
  RampStart Reason = RampStart::NewTarget;
  double Limit = 0;
  std::uint32_t Declared = 1;
  std::optional<TimePoint> ReducedAt{};
  std::optional<TimePoint> FirstSentAt{};
};

/// A change of a target's ramp, for logs and metrics.
struct RampChange {
  TargetId Target{};
  RampStart Reason = RampStart::NewTarget;
  std::optional<RampEnd> End{}; ///< nothing: it has started
  Duration Took{};              ///< since its first request
  std::uint32_t Limit = 0;
  std::uint32_t DeclaredSlots = 0;
  RampFigures Figures{};
};

// ---- Comparison -------------------------------------------------------------

/// A policy for the start of a target; see docs/design/start-ramp.md.
template <typename Policy>
concept StartPolicy = requires(Policy Ramp, const Policy &Known,
                               const RampAnswer &Answer, std::uint32_t Slots,
                               double InFlight, TimePoint Time) {
  Ramp.start(RampStart::NewTarget, Slots, Time);
  { Known.active() } -> std::same_as<bool>;
  { Known.allows(InFlight, Time) } -> std::same_as<bool>;
  Ramp.recordSend(Time);
  Ramp.recordAnswer(Answer, Time);
  Ramp.recordFailure(Time, Time);
};

static_assert(StartPolicy<StartRamp>);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_START_RAMP_H
