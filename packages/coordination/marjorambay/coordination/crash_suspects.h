/// Finds prompt segments under which targets crash, and limits the requests
/// that have them.
///
/// A target that crashes takes all its requests with it, so that one crash says
/// nothing about one segment. Evidence against a segment is a chain of crashes
/// at different targets: each with a request that had the segment and no event
/// yet, granted after the crash before. Targets that crash at the same moment
/// are one link of it, and the first event of any answer with the segment ends
/// it. Sound segments that many requests share are cleared by the next answer;
/// one that crashes whatever begins to answer it has none.
///
/// Under suspicion, one request of the pool at a time may have such a segment,
/// and none is repeated. A confirmed segment is refused for a while; after that
/// it gets one request at a time again.
#ifndef MARJORAMBAY_COORDINATION_CRASH_SUSPECTS_H
#define MARJORAMBAY_COORDINATION_CRASH_SUSPECTS_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace marjorambay {

struct CrashSuspectSettings {
  /// Crashes in a chain until a segment is suspected, and until it is
  /// confirmed.
  std::size_t CrashesToSuspect = 2;
  std::size_t CrashesToConfirm = 3;
  /// The same for a segment that was answered recently: its requests are also
  /// bystanders when another segment of their prompts is the cause.
  std::size_t CrashesToSuspectServed = 3;
  std::size_t CrashesToConfirmServed = 5;
  /// The same for segments that have been in the same crashes.
  std::size_t CrashesToConfirmTogether = 5;
  /// The same if most crashes of that time were not under the segment: then
  /// targets crash for another reason as well.
  std::size_t CrashesToConfirmAmongOthers = 8;
  Duration ServedPeriod = seconds(60); ///< an answer counts as recent
  /// A lost connection counts as a crash if the target is found to be gone
  /// within this time.
  Duration ProofWindow = seconds(3);
  Duration EvidencePeriod = minutes(10); ///< a crash counts for this long
  Duration FirstHold = seconds(60);      ///< doubles with each confirmation
  Duration MaxHold = hours(1);
  std::size_t MaxSegments = 4096; ///< with evidence; bounds memory use
  std::size_t MaxHolds = 256;     ///< decisions; bounds memory use
};

/// How the dispatch of a request ended, as far as crashes are concerned.
enum class AttemptEnd : std::uint8_t {
  Answered,       ///< the answer had at least one event
  LostInAnswer,   ///< the connection failed after the first event
  ConnectionLost, ///< the connection failed before the first event
  Other,
};

enum class SegmentVerdict : std::uint8_t { Suspected, Confirmed, Cleared };
template <>
inline constexpr std::array NamesOf<SegmentVerdict> =
    std::to_array<std::string_view>({"suspected", "confirmed", "cleared"});
static_assert(NamesOf<SegmentVerdict>.size() == 3);

/// A decision on a segment, for the log.
struct SegmentDecision {
  SegmentId Segment{};
  SegmentVerdict Verdict = SegmentVerdict::Suspected;
  std::vector<TargetId> Crashed{}; ///< evidence: targets in order of time
  Duration Hold{};                 ///< for how long the segment is refused
};

/// A confirmed segment, as hosts tell each other.
struct SegmentHold {
  SegmentId Segment{};
  std::uint32_t Confirmations = 0; ///< orders the decisions on a segment
  bool Cleared = false;            ///< was answered after it had been confirmed
  Duration Remaining{};            ///< until one request at a time is admitted
};

/// Whether a request may be granted a slot.
struct SegmentAdmission {
  enum class Kind : std::uint8_t { Admit, Wait, Refuse };
  Kind Decision = Kind::Admit;
  Duration RetryAfter{};
};

/// Evidence and decisions on the segments of one pool.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectSettings Given = {}) : Settings(Given) {}

  /// Records that a request was sent to \p Target.
  void recordGrant(const RequestKey &Key, TargetId Target,
                   const std::vector<SegmentId> &Segments, TimePoint Now);
  /// Records the first event of an answer.
  void recordAnswer(const RequestKey &Key, TimePoint Now);
  void recordEnd(const RequestKey &Key, AttemptEnd How, TimePoint Now);
  /// Records that \p Target refuses connections or is no longer listed as it
  /// was.
  void recordGone(TargetId Target, TimePoint Now);

  /// Decides on a request. \p Repeat: it may have run at another target.
  SegmentAdmission admit(const std::vector<SegmentId> &Segments, bool Repeat,
                         TimePoint Now) const;

  /// Whether first events are of interest, because some segment has evidence.
  bool watching() const { return !Evidence.empty(); }

  /// Takes over a decision of another host, unless a newer one is known.
  /// Returns whether it was taken over.
  bool learn(const SegmentHold &Hold, TimePoint Now);
  /// Returns all decisions that other hosts should know.
  std::vector<SegmentHold> holds(TimePoint Now) const;

  /// Decides on what has settled, and drops what no longer counts. Should come
  /// every 50 to 250 ms while requests are in progress.
  void tick(TimePoint Now);

  /// Returns the decisions since the last call.
  std::vector<SegmentDecision> takeDecisions();

  std::size_t segments() const { return Evidence.size() + Holds.size(); }

private:
  struct Attempt {
    TargetId Target{};
    TimePoint GrantedAt{};
    std::vector<SegmentId> Segments{};
  };
  /// A crash under a request with the segment.
  struct Crash {
    TargetId Target{};
    TimePoint GrantedAt{}; ///< of the latest request with the segment
    TimePoint At{};
    bool Proven = false;
  };
  struct SegmentEvidence {
    std::vector<Crash> Crashes{};
    bool Suspected = false;
  };
  struct HoldState {
    std::uint32_t Confirmations = 0;
    bool Cleared = false;
    TimePoint Until{};
  };
  /// The one request with a suspected segment.
  struct Trial {
    RequestKey Key{};
    TargetId Target{};
    TimePoint LostAt{}; ///< when its connection was lost; 0 while in flight
  };
  enum class Standing : std::uint8_t { Clear, Suspected, Held };

  Standing standing(SegmentId Segment, TimePoint Now) const;
  bool servedRecently(SegmentId Segment) const;
  void recordServed(const std::vector<SegmentId> &Segments, TimePoint Now);
  /// Records a crash of \p Target. Returns whether it is proven.
  bool recordCrash(TargetId Target, TimePoint Now);
  static bool isSameCrash(const Crash &Left, const Crash &Right);
  void addCrash(SegmentId Segment, const Crash &Added);
  std::vector<Crash> chainOf(const std::vector<Crash> &Crashes, bool ProvenOnly,
                             TimePoint Now) const;
  bool isSuspect(SegmentId Segment, TimePoint Now) const;
  bool isConfirmed(SegmentId Segment, TimePoint Now) const;
  std::size_t crashesToConfirm(SegmentId Segment,
                               const std::vector<Crash> &Chain) const;
  /// Whether the segment has not been answered since it was confirmed.
  bool wasConfirmed(SegmentId Segment) const;
  void judge(TimePoint Now);
  /// Whether another segment was in all crashes of a chain.
  enum class Rivalry : std::uint8_t {
    None,
    Equal,  ///< in as many crashes
    Better, ///< in more, so that it is the better explanation
  };
  Rivalry rivalry(SegmentId Segment, TimePoint Now) const;
  /// Returns the segments to confirm. Requests with a segment that crashes
  /// targets mostly have other segments in common as well.
  std::vector<SegmentId> culprits(TimePoint Now) const;
  void confirm(SegmentId Segment, TimePoint Now);
  /// Drops the crashes of confirmed segments from the evidence on others.
  void explain(const std::vector<Crash> &Explained);
  void forgetOldest();
  HoldState &holdOf(SegmentId Segment);
  bool trialUnderway(TimePoint Now) const;

  CrashSuspectSettings Settings;
  std::unordered_map<RequestKey, Attempt> Attempts{};
  std::unordered_map<SegmentId, SegmentEvidence> Evidence{};
  std::unordered_map<SegmentId, HoldState> Holds{};
  /// Crashes of targets in order of time, but those that a confirmed segment
  /// explains.
  std::deque<Crash> Unexplained{};
  /// When each target was last found to be gone.
  std::unordered_map<TargetId, TimePoint> GoneAt{};
  /// Segments that were answered in this period and in the one before.
  std::array<std::unordered_set<SegmentId>, 2> Served{};
  TimePoint ServedSince{};
  std::optional<Trial> CurrentTrial{};
  std::vector<SegmentDecision> Decisions{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_CRASH_SUSPECTS_H
