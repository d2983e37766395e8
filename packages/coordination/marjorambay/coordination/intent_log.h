/// Events and actions of the intent log, which makes a non-idempotent call run
/// at most once without a store of our own.
///
/// Keys hash to shards. A shard's intents live in platform objects, segments of
/// bounded size, that are changed by conditional update only: a holder that was
/// paused or replaced fails the condition, whatever its clock says.
#ifndef MARJORAMBAY_COORDINATION_INTENT_LOG_H
#define MARJORAMBAY_COORDINATION_INTENT_LOG_H

#include "marjorambay/coordination/intent_codec.h"
#include "marjorambay/coordination/intent_index.h"
#include "marjorambay/coordination/origin.h"
#include "marjorambay/coordination/token_bucket.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace marjorambay {

/// Version of a platform object; 0 means that it does not exist.
using ObjectVersion = std::uint64_t;

/// Tells one platform call of the intent log from another.
enum class PlatformCallId : std::uint64_t {};

// ---- Events -----------------------------------------------------------------

/// A request, here or at another host, wants its intent recorded.
struct IntentRequested {
  RequestKey Request{};
  KeyHash Key{};
  std::uint64_t BodyHash = 0;
  Duration TimeLeft{};
};
struct OutcomeReported {
  RequestKey Request{};
  KeyHash Key{};
  bool Released = false;
  int HttpStatus = 0;
};
/// Answer to ReadObject. Found false: there is no such object.
struct ObjectRead {
  PlatformCallId Call{};
  bool Reachable = true; ///< false: the platform did not answer
  bool Found = false;
  ObjectVersion Version = 0;
  std::string Bytes{};
};
enum class WriteResult : std::uint8_t {
  Committed, ///< the update took effect
  Conflict,  ///< the condition failed; nothing was written
  Unknown,   ///< no answer: it may have taken effect
};
/// Answer to WriteObject.
struct ObjectWritten {
  PlatformCallId Call{};
  WriteResult Result = WriteResult::Unknown;
  ObjectVersion Version = 0; ///< the new one, when it stood
};
/// Time passed; sent at least every 10 ms while work is pending.
struct IntentLogTicked {
  /// Time since the Unix epoch. Stamps intents, so that every holder agrees on
  /// their age within the hosts' clock error. Nothing is recorded before the
  /// first tick that has it.
  WallTime WallClock{};
};

/// Keys are remembered for another time from now on. A longer one holds for
/// what is still known; before a shorter one takes effect, the old one runs
/// out, so that no request outlives the record that it began.
struct RetentionChanged {
  Duration Retention = hours(1);
};

using IntentLogEvent =
    std::variant<IntentRequested, OutcomeReported, ObjectRead, ObjectWritten,
                 RetentionChanged, IntentLogTicked>;

// ---- Actions ----------------------------------------------------------------

struct ReadObject {
  PlatformCallId Call{};
  std::string Name{};
};
/// Conditional update: takes effect only while the object has version IfVersion
/// (0: only if it does not exist).
struct WriteObject {
  PlatformCallId Call{};
  std::string Name{};
  ObjectVersion IfVersion = 0;
  std::string Bytes{};
};
struct AnswerIntent {
  RequestKey Request{};
  IntentDecision Decision = IntentDecision::Unavailable;
  int AppliedStatus = 0;
};

using IntentLogAction = std::variant<ReadObject, WriteObject, AnswerIntent>;
using IntentLogActions = std::vector<IntentLogAction>;

// ---- State machine ----------------------------------------------------------

/// Shard that \p Key belongs to. All hosts must agree on \p Shards.
constexpr std::uint32_t shardOf(const KeyHash &Key, std::uint32_t Shards) {
  return static_cast<std::uint32_t>(Key.High % Shards);
}

struct IntentLogSettings {
  HostId Self{};
  IncarnationId Incarnation{};
  std::uint32_t Shards = 64;           ///< the same at all hosts
  std::uint32_t SegmentBytes = 4096;   ///< a segment this large is sealed
  double WritesPerSecond = 20;         ///< platform writes of this host
  double WriteBurst = 4;               ///< writes at once after a pause
  std::uint32_t ReadsAtOnce = 8;       ///< while a shard is loaded
  std::uint32_t MaxWaiting = 10000;    ///< intents waiting for one shard
  Duration Retention = hours(1);       ///< the same at all hosts
  Duration IntentTimeout = seconds(2); ///< wait before Unavailable
  Duration OutcomeBatchDelay = milliseconds(500); ///< wait for a write to join
  Duration CallTimeout = seconds(3);      ///< a platform call without answer
  Duration RetryFirst = milliseconds(50); ///< after a failed call; doubles
  Duration RetryMost = seconds(5);
  Duration IdleUnload = minutes(10); ///< a shard without use is dropped
};

/// Counts since the start, for metrics and benches.
struct IntentLogStats {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t BytesRead = 0;
  std::uint64_t BytesWritten = 0;
  std::uint64_t Conflicts = 0;   ///< another holder wrote the shard
  std::uint64_t LostAnswers = 0; ///< writes whose verdict was Unknown
  std::uint64_t CorruptReads = 0;
};

/// Records intents of the shards that it is asked for. Any number of hosts may
/// hold one shard at once: the conditional update decides between them.
class IntentLog {
public:
  explicit IntentLog(const IntentLogSettings &Settings)
      : Settings(Settings),
        WriteBudget(Settings.WritesPerSecond, Settings.WriteBurst) {}

  IntentLogActions step(const IntentLogEvent &Event, TimePoint Now);

  const IntentLogStats &stats() const { return Counts; }
  std::size_t size() const { return Shards.size(); }
  std::size_t keys() const;
  /// Work waits for a platform call or for time: keep sending IntentLogTicked.
  bool busy() const;

private:
  struct Waiting {
    IntentRequested Request{};
    RequestTag Tag{};
    TimePoint Deadline{};
    bool Answered = false; ///< Unavailable was told while its write was unknown
  };
  /// The one append of a shard that is under way.
  struct Append {
    WriteId Id{};
    std::uint64_t Sequence = 0;
    ObjectVersion IfVersion = 0;
    std::string Bytes{};
    IntentBatch Batch{};
    std::vector<Waiting> Intents{};
    bool Sealed = false;
    bool Sent = false; ///< a call for it is outstanding
    std::uint32_t LostAnswers = 0;
  };
  struct Outcome {
    IntentRecord Record{};
    bool Checked = false; ///< against a tail that was read after it came
  };
  enum class Phase : std::uint8_t {
    Cold,        ///< nothing is known
    FindingTail, ///< reads forward to the segment that takes appends
    ReadingBack, ///< reads the earlier segments within the retention
    Ready,       ///< the tail is known, as far as this holder can know
  };
  struct Shard {
    std::uint32_t Id = 0;
    Phase Stage = Phase::Cold;
    bool Indexed = false; ///< the earlier segments are in Index
    IntentIndex Index{};
    std::uint64_t Tail = 0;        ///< sequence of the segment to append to
    ObjectVersion SlotVersion = 0; ///< of the tail's slot
    ObjectVersion SlotAtLeast = 0; ///< a read below this is stale
    std::string TailBytes{};       ///< empty: the segment is not created yet
    std::size_t TailBatches = 0;   ///< of the tail, already in Index
    WallTime LastWritten{};
    ObjectVersion HeadVersion = 0;
    std::map<std::uint64_t, IntentSegment> Loaded{}; ///< until Indexed
    std::vector<Waiting> Intents{};
    std::vector<Outcome> Outcomes{};
    TimePoint OutcomesSince{};
    std::optional<Append> Writing{};
    std::uint32_t CallsOut = 0;
    std::uint32_t Failures = 0; ///< since the last call that helped
    bool Unreachable = false;
    TimePoint RetryAt{};
    TimePoint UsedAt{};
  };
  enum class CallKind : std::uint8_t {
    ReadHead,
    ReadTail,
    ReadBack,
    Append,
    WriteHead,
    ReadHeadVersion, ///< after a head write that failed
  };
  struct Call {
    CallKind Kind = CallKind::ReadHead;
    std::uint32_t Shard = 0;
    std::uint64_t Sequence = 0;
    TimePoint SentAt{};
  };

  void on(const IntentRequested &Event);
  void on(const OutcomeReported &Event);
  void on(const ObjectRead &Event);
  void on(const ObjectWritten &Event);
  void on(const RetentionChanged &Event);
  void on(const IntentLogTicked &Event);

  Shard &shardFor(const KeyHash &Key);
  void advance(Shard &Held);
  void startLoad(Shard &Held);
  void readTail(Shard &Held);
  void readBack(Shard &Held);
  void headRead(Shard &Held, const ObjectRead &Read);
  void tailRead(Shard &Held, const ObjectRead &Read);
  void tailSegmentRead(Shard &Held, const ObjectRead &Read,
                       const IntentSegment &Segment);
  void freeSlotFound(Shard &Held, ObjectVersion Version,
                     std::optional<WallTime> LastUse);
  void backRead(Shard &Held, std::uint64_t Sequence, const ObjectRead &Read);
  void dropBelowGap(Shard &Held);
  bool backComplete(const Shard &Held) const;
  void finishLoad(Shard &Held);
  void tailFound(Shard &Held);
  void moveTail(Shard &Held, std::uint64_t Sequence);
  void write(Shard &Held);
  bool writeDue(const Shard &Held) const;
  void fillBatch(Shard &Held, Append &Next);
  void sendAppend(Shard &Held);
  void appendAnswered(Shard &Held, const ObjectWritten &Written);
  void appendStood(Shard &Held, ObjectVersion Version);
  void answerStood(const Append &Done);
  void requeue(Shard &Held, Append &Failed);
  void writeHead(Shard &Held);
  void readHeadVersion(Shard &Held);
  bool callOut(const Shard &Held) const;
  bool needsFreshTail(Shard &Held) const;
  const IntentRecord *nextOutcome(const Shard &Held, const KeyHash &Key) const;
  void callLost(PlatformCallId Id);
  void fail(Shard &Held, bool Unreachable);
  void giveUpWaiting(Shard &Held);
  void timeOutWaiting(Shard &Held);
  void worked(Shard &Held);
  void applyBatch(Shard &Held, const IntentBatch &Batch);
  void addOutcome(Shard &Held, const IntentRecord &Record);
  bool relevant(const Shard &Held, const IntentRecord &Record) const;
  void settleWaiting(Shard &Held);
  std::optional<AnswerIntent> settle(const Shard &Held,
                                     const Waiting &Intent) const;
  void answer(const Waiting &Intent, IntentDecision Verdict);
  PlatformCallId newCall(Shard &Held, CallKind Kind, std::uint64_t Sequence);
  std::string slotName(const Shard &Held, std::uint64_t Sequence) const;
  std::string headName(const Shard &Held) const;
  WallTime wallNow() const;
  WallTime oldestKept() const;

  IntentLogSettings Settings;
  TokenBucket WriteBudget;
  IntentLogStats Counts{};
  std::map<std::uint32_t, Shard> Shards{};
  std::map<PlatformCallId, Call> Calls{};
  /// Requests that ended without being dispatched. An intent of theirs that
  /// turns up later is released, and none is recorded any more.
  std::unordered_map<RequestTag, TimePoint> Ended{};
  std::deque<std::pair<TimePoint, RequestTag>> EndedUntil{};
  std::uint64_t LastCall = 0;
  std::uint64_t LastWrite = 0;
  std::optional<Duration> WallOffset{}; ///< Unix time less steady time
  Duration LongerRetention{};           ///< one before, which runs out
  TimePoint LongerUntil{};
  // Of the step that runs.
  IntentLogActions Actions{};
  TimePoint Now{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_INTENT_LOG_H
