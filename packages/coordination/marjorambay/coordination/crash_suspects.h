/// Finds what requests under which targets crash have in common, and limits
/// the requests that have it.
///
/// A target that crashes takes all its requests with it, so that one crash says
/// nothing about one key. Evidence against a key is a chain of crashes at
/// different targets: each with a request that had the key and no event yet,
/// granted after the crash before. Targets that crash at the same moment are
/// one link of it, and the first event of any answer with the key ends it.
/// Sound keys that many requests share are cleared by the next answer; one that
/// crashes whatever begins to answer it has none.
///
/// A request as a whole is one more key of it, and the better explanation of
/// crashes that a segment has been in as well. If several requests explain
/// crashes under one segment, the segment is.
///
/// Under suspicion, one request of the pool at a time may have such a key, and
/// none is repeated. A confirmed key is refused for a while; after that it gets
/// one request at a time again.
#ifndef MARJORAMBAY_COORDINATION_CRASH_SUSPECTS_H
#define MARJORAMBAY_COORDINATION_CRASH_SUSPECTS_H

#include "marjorambay/coordination/crash_key.h"
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
  /// Crashes in a chain until a key is suspected, and until it is
  /// confirmed.
  std::size_t CrashesToSuspect = 2;
  std::size_t CrashesToConfirm = 3;
  /// The same for a key that was answered recently: its requests are also
  /// bystanders when another key of theirs is the cause.
  std::size_t CrashesToSuspectServed = 3;
  std::size_t CrashesToConfirmServed = 5;
  /// The same for keys that have been in the same crashes, and for a segment
  /// that was in several crashes of a request as a whole.
  std::size_t CrashesToConfirmTogether = 5;
  /// The same if most crashes of that time were not under the key: then
  /// targets crash for another reason as well.
  std::size_t CrashesToConfirmAmongOthers = 8;
  /// The same for a request as a whole, and the most for one, whatever other
  /// keys have been in its crashes.
  std::size_t MostCrashesOfRequest = 6;
  /// Crashes of a segment that are explained by several requests as a whole,
  /// until the segment is the better explanation.
  std::size_t CrashesToConfirmOverRequests = 5;
  Duration ServedPeriod = seconds(60); ///< an answer counts as recent
  /// A lost connection counts as a crash if the target is found to be gone
  /// within this time.
  Duration ProofWindow = seconds(3);
  Duration EvidencePeriod = minutes(10); ///< a crash counts for this long
  Duration FirstHold = seconds(60);      ///< doubles with each confirmation
  Duration MaxHold = hours(1);
  std::size_t MaxKeys = 4096; ///< with evidence; bounds memory use
  std::size_t MaxHolds = 256; ///< decisions; bounds memory use
};

/// How the dispatch of a request ended, as far as crashes are concerned.
enum class AttemptEnd : std::uint8_t {
  Answered,       ///< the answer had at least one event
  LostInAnswer,   ///< the connection failed after the first event
  ConnectionLost, ///< the connection failed before the first event
  Other,
};

enum class CrashVerdict : std::uint8_t { Suspected, Confirmed, Cleared };
template <>
inline constexpr std::array NamesOf<CrashVerdict> =
    std::to_array<std::string_view>({"suspected", "confirmed", "cleared"});
static_assert(NamesOf<CrashVerdict>.size() == 3);

/// A decision on a key, for the log.
struct CrashDecision {
  CrashKey Key{};
  CrashVerdict Verdict = CrashVerdict::Suspected;
  std::vector<TargetId> Crashed{}; ///< evidence: targets in order of time
  Duration Hold{};                 ///< for how long the key is refused
};

/// A confirmed key, or a request that is suspected, as hosts tell each other.
struct CrashHold {
  CrashKey Key{};
  /// Orders the decisions on a key; 0 if it is suspected only.
  std::uint32_t Confirmations = 0;
  bool Cleared = false; ///< was answered after the decision
  Duration Remaining{}; ///< until one request at a time is admitted
};

/// Whether a request may be granted a slot.
struct CrashAdmission {
  enum class Kind : std::uint8_t { Admit, Wait, Refuse };
  Kind Decision = Kind::Admit;
  Duration RetryAfter{};
};

/// Evidence and decisions on the keys of one pool.
class CrashSuspects {
public:
  /// \p IsShared: evidence is exchanged with the arbiters of the pool's other
  /// zones.
  explicit CrashSuspects(CrashSuspectSettings Given = {}, bool IsShared = false)
      : Settings(Given), Shared(IsShared) {}

  /// Records that a request was sent to \p Target.
  void recordGrant(const RequestKey &Request, TargetId Target,
                   const std::vector<CrashKey> &Keys, TimePoint Now);
  /// Records the first event of an answer.
  void recordAnswer(const RequestKey &Request, TimePoint Now);
  /// Records that the request as a whole among \p Keys was sent at \p SentAt
  /// and then answered.
  void recordEarlierAnswer(const std::vector<CrashKey> &Keys, TimePoint SentAt,
                           TimePoint Now);
  /// Records that the connection to \p Target was lost under a request with
  /// \p Keys that was sent at \p GrantedAt and had no answer yet.
  void recordLost(const std::vector<CrashKey> &Keys, TargetId Target,
                  TimePoint GrantedAt, TimePoint Now);
  /// Records a loss that another zone's arbiter has counted at \p LostAt.
  void recordPassedOn(const std::vector<CrashKey> &Keys, TargetId Target,
                      TimePoint GrantedAt, TimePoint LostAt, bool Proven,
                      TimePoint Now);
  /// Records that requests with \p Keys were answered in another zone.
  void recordAnsweredElsewhere(const std::vector<CrashKey> &Keys,
                               TimePoint Now);
  void recordEnd(const RequestKey &Request, AttemptEnd How, TimePoint Now);
  /// Records that \p Target refuses connections or is no longer listed as it
  /// was.
  void recordGone(TargetId Target, TimePoint Now);

  /// Decides on a request. \p Repeat: it may have run at another target.
  CrashAdmission admit(const std::vector<CrashKey> &Keys, bool Repeat,
                       TimePoint Now) const;

  /// Whether some key of a request is suspected or confirmed.
  bool limits(const std::vector<CrashKey> &Keys, TimePoint Now) const;

  /// Whether first events are of interest, because some key has evidence.
  bool watching() const { return !Evidence.empty(); }

  /// Takes over a decision of another host, unless a newer one is known.
  /// Returns whether it was taken over.
  bool learn(const CrashHold &Hold, TimePoint Now);
  /// Returns all decisions that other hosts should know.
  std::vector<CrashHold> holds(TimePoint Now) const;

  /// Decides on what has settled, and drops what no longer counts. Should come
  /// every 50 to 250 ms while requests are in progress.
  void tick(TimePoint Now);

  /// A loss that the arbiters of other zones should count.
  struct LostReport {
    std::vector<CrashKey> Keys{};
    TargetId Target{};
    TimePoint GrantedAt{};
    TimePoint LostAt{};
    bool Proven = false;
  };
  /// Returns the losses since the last call, and those that have been proven
  /// since, each in two calls: a message with it may be lost.
  std::vector<LostReport> takeLost(TimePoint Now);
  /// Returns the keys with evidence that were answered since the last call.
  std::vector<CrashKey> takeAnswered();
  /// Returns the first of \p Keys that is suspected but not refused; nothing if
  /// there is none.
  std::optional<CrashKey> suspectedKey(const std::vector<CrashKey> &Keys,
                                       TimePoint Now) const;

  /// Returns the decisions since the last call.
  std::vector<CrashDecision> takeDecisions();

  std::size_t keys() const { return Evidence.size() + Holds.size(); }

private:
  struct Attempt {
    TargetId Target{};
    TimePoint GrantedAt{};
    std::vector<CrashKey> Keys{};
  };
  /// A crash under a request with the key.
  struct Crash {
    TargetId Target{};
    TimePoint GrantedAt{}; ///< of the latest request with the key
    TimePoint At{};
    bool Proven = false;
    /// The request as a whole that explains a crash of a segment.
    std::optional<CrashKey> ExplainedBy{};
  };
  struct KeyEvidence {
    std::vector<Crash> Crashes{};
    bool Suspected = false;
  };
  struct HoldState {
    std::uint32_t Confirmations = 0;
    bool Cleared = false;
    TimePoint Until{};
  };
  /// The one request with a suspected key.
  struct Trial {
    RequestKey Request{};
    TargetId Target{};
    TimePoint LostAt{}; ///< when its connection was lost; 0 while in flight
  };
  enum class Standing : std::uint8_t { Clear, Suspected, Held };

  Standing standing(const CrashKey &Key, TimePoint Now) const;
  bool servedRecently(const CrashKey &Key) const;
  void recordServed(const std::vector<CrashKey> &Keys, TimePoint Now);
  /// Records a crash of \p Target. Returns whether it is proven.
  bool recordCrash(TargetId Target, TimePoint Now);
  bool addUnexplained(const Crash &Added);
  /// Keeps a loss for the pool's other arbiters.
  void keepLost(const std::vector<CrashKey> &Keys, TargetId Target,
                TimePoint GrantedAt, bool Proven, TimePoint Now);
  static bool isSameCrash(const Crash &Left, const Crash &Right);
  void addCrash(const CrashKey &Key, const Crash &Added);
  std::vector<Crash> chainOf(const std::vector<Crash> &Crashes, bool ProvenOnly,
                             TimePoint Now) const;
  bool isSuspect(const CrashKey &Key, TimePoint Now) const;
  /// Whether a request as a whole was in several crashes of a segment.
  bool sharesCrashes(const CrashKey &Key, TimePoint Now) const;
  /// Whether a segment has been in crashes under many different requests.
  bool spansRequests(const CrashKey &Key, TimePoint Now) const;
  bool isConfirmed(const CrashKey &Key, TimePoint Now) const;
  std::size_t crashesToConfirm(const CrashKey &Key,
                               const std::vector<Crash> &Chain,
                               TimePoint Now) const;
  /// Whether the key was confirmed and has not been answered since.
  bool wasConfirmed(const CrashKey &Key) const;
  void judge(TimePoint Now);
  /// Lets other hosts know that a key is suspected.
  void publishSuspicion(const CrashKey &Key, TimePoint Now);
  /// Takes the suspicion of a key back, after its evidence was dropped.
  void withdrawSuspicion(const CrashKey &Key);
  /// Drops keys without crashes.
  void dropWithoutCrashes();
  /// Whether another key was in all crashes of a chain.
  enum class Rivalry : std::uint8_t {
    None,
    Equal,  ///< in as many crashes
    Better, ///< in more, so that it is the better explanation
  };
  Rivalry rivalry(const CrashKey &Key, TimePoint Now) const;
  /// Returns the keys to confirm. Requests with a key that crashes
  /// targets mostly have other keys in common as well.
  std::vector<CrashKey> culprits(TimePoint Now) const;
  void confirm(const CrashKey &Key, TimePoint Now);
  /// Drops the crashes of a confirmed key from the evidence on others.
  /// Segments keep those that a request as a whole explains.
  void explain(const CrashKey &Key, const std::vector<Crash> &Explained);
  void forgetOldest();
  HoldState &holdOf(const CrashKey &Key);
  bool trialUnderway(TimePoint Now) const;

  /// A loss of this zone, until it can no longer be proven.
  struct KeptLoss {
    LostReport Report{};
    std::size_t Taken = 0; ///< times, with the present proof
    bool TakenProven = false;
  };

  CrashSuspectSettings Settings;
  bool Shared;
  std::deque<KeptLoss> KeptLosses{};
  std::vector<CrashKey> Answered{};
  std::unordered_map<RequestKey, Attempt> Attempts{};
  std::unordered_map<CrashKey, KeyEvidence> Evidence{};
  std::unordered_map<CrashKey, HoldState> Holds{};
  /// Crashes of targets in order of time, but those that a confirmed key
  /// explains.
  std::deque<Crash> Unexplained{};
  /// When each target was last found to be gone.
  std::unordered_map<TargetId, TimePoint> GoneAt{};
  /// Keys that were answered in this period and in the one before.
  std::array<std::unordered_set<CrashKey>, 2> Served{};
  TimePoint ServedSince{};
  std::optional<Trial> CurrentTrial{};
  std::vector<CrashDecision> Decisions{};
};

/// When requests as a whole were last sent and then answered, at one host.
class AnsweredRequests {
public:
  void record(const std::vector<CrashKey> &Keys, TimePoint SentAt);
  /// Returns nothing if there was no answer of late.
  std::optional<TimePoint> sentAt(const std::vector<CrashKey> &Keys) const;

private:
  static constexpr std::size_t MaxRequests = 2048; ///< of each generation
  using Generation = std::unordered_map<CrashKey, TimePoint>;
  Generation Current{};
  Generation Previous{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_CRASH_SUSPECTS_H
