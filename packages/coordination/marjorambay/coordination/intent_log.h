/// Events and actions of the intent log, which ensures that a non-idempotent
/// call runs at most once without a database of the scheduler's own.
///
/// Keys hash to shards. The intents of a shard are stored in platform objects,
/// segments of bounded size, that are changed by conditional updates only. A
/// host that was paused or replaced fails the condition, whatever its clock
/// says.
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

/// Version of a platform object; 0 if the object does not exist.
using ObjectVersion = std::uint64_t;

/// Identifies a platform call of the intent log.
enum class PlatformCallId : std::uint64_t {};

// ---- Events -----------------------------------------------------------------

/// A request, of this host or another, asks to have its intent recorded.
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
/// Result of ReadObject.
struct ObjectRead {
  PlatformCallId Call{};
  bool Reachable = true; ///< false if the platform did not respond
  bool Found = false;
  ObjectVersion Version = 0;
  std::string Bytes{};
};
enum class WriteResult : std::uint8_t {
  Committed, ///< the update took effect
  Conflict,  ///< the condition failed, and nothing was written
  Unknown,   ///< no response; the update may have taken effect
};
/// Result of WriteObject.
struct ObjectWritten {
  PlatformCallId Call{};
  WriteResult Result = WriteResult::Unknown;
  ObjectVersion Version = 0; ///< the new version, if the write was committed
};
/// A timer tick, sent at least every 10 ms while work is pending.
struct IntentLogTicked {
  /// Time since the Unix epoch, used as the time stamp of intents, so that all
  /// hosts agree on the age of an intent within the error of their clocks.
  /// Nothing is recorded before the first tick that carries it.
  WallTime WallClock{};
};

/// Changes the retention of keys. A longer retention applies at once, also to
/// the keys that are still stored. A shorter one takes effect only after the
/// old retention has passed, so that no request outlives its intent record.
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
/// Conditional update that takes effect only while the object has version
/// IfVersion; 0 means only if the object does not exist.
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

/// Returns the shard of \p Key. All hosts must use the same \p Shards.
constexpr std::uint32_t shardOf(const KeyHash &Key, std::uint32_t Shards) {
  return static_cast<std::uint32_t>(Key.High % Shards);
}

struct IntentLogSettings {
  HostId Self{};
  IncarnationId Incarnation{};
  std::uint32_t Shards = 64;         ///< must be equal at all hosts
  std::uint32_t SegmentBytes = 4096; ///< size at which a segment is sealed
  double WritesPerSecond = 20;       ///< platform write budget of this host
  double WriteBurst = 4;             ///< writes allowed at once after a pause
  /// Reads at once while a shard is loaded.
  std::uint32_t MaxConcurrentReads = 8;
  std::uint32_t MaxPendingIntents = 10000; ///< pending intents of one shard
  Duration Retention = hours(1);           ///< must be equal at all hosts
  /// Time until an intent is answered Unavailable.
  Duration IntentTimeout = seconds(2);
  /// Time that an outcome waits to be batched with another write.
  Duration OutcomeBatchDelay = milliseconds(500);
  Duration CallTimeout = seconds(3); ///< of a platform call
  /// After a failed call; doubles with each failure.
  Duration InitialRetryDelay = milliseconds(50);
  Duration MaxRetryDelay = seconds(5);
  /// Time until an unused shard is dropped from memory.
  Duration IdleUnloadDelay = minutes(10);
};

/// Counters since the start, for metrics and benchmarks.
struct IntentLogStats {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t BytesRead = 0;
  std::uint64_t BytesWritten = 0;
  /// Writes that failed because another host wrote the shard.
  std::uint64_t Conflicts = 0;
  /// Writes that ended with WriteResult::Unknown.
  std::uint64_t UnknownResults = 0;
  std::uint64_t CorruptReads = 0;
};

/// Records intents in any shard. Several hosts may write to one shard at the
/// same time; conditional updates resolve conflicts between them.
class IntentLog {
public:
  explicit IntentLog(const IntentLogSettings &Settings)
      : Settings(Settings),
        WriteBudget(Settings.WritesPerSecond, Settings.WriteBurst) {}

  IntentLogActions step(const IntentLogEvent &Event, TimePoint Now);

  const IntentLogStats &stats() const { return Counts; }
  std::size_t size() const { return Shards.size(); }
  std::size_t keys() const;
  /// Returns whether work is pending, so that IntentLogTicked must be sent.
  bool busy() const;

private:
  struct PendingIntent {
    IntentRequested Request{};
    RequestTag Tag{};
    TimePoint Deadline{};
    /// Answered Unavailable while the result of its write was unknown.
    bool Answered = false;
  };
  /// The append of a shard that is in progress; there is at most one.
  struct Append {
    WriteId Id{};
    std::uint64_t Sequence = 0;
    ObjectVersion IfVersion = 0;
    std::string Bytes{};
    IntentBatch Batch{};
    std::vector<PendingIntent> Intents{};
    bool Sealed = false;
    bool Sent = false; ///< a platform call for it is in flight
    std::uint32_t UnknownResults = 0;
  };
  struct Outcome {
    IntentRecord Record{};
    /// Compared with a tail that was read after the outcome arrived.
    bool Checked = false;
  };
  enum class Phase : std::uint8_t {
    Unloaded,       ///< not loaded
    FindingTail,    ///< reading forward to the segment that takes appends
    ReadingEarlier, ///< reading the earlier segments within the retention
    Ready,          ///< loaded up to the last tail that this host has read
  };
  struct Shard {
    std::uint32_t Id = 0;
    Phase Stage = Phase::Unloaded;
    bool Indexed = false; ///< the earlier segments are in Index
    IntentIndex Index{};
    /// Sequence number of the segment that takes appends.
    std::uint64_t Tail = 0;
    ObjectVersion SlotVersion = 0; ///< version of the object in the tail's slot
    ObjectVersion MinSlotVersion = 0; ///< reads of a lower version are stale
    std::string TailBytes{}; ///< empty if the segment does not exist yet
    /// Batches of the tail that are in Index already.
    std::size_t TailBatches = 0;
    WallTime LastWritten{};
    ObjectVersion HeadVersion = 0;
    /// Segments read so far, until Indexed.
    std::map<std::uint64_t, IntentSegment> Loaded{};
    std::vector<PendingIntent> Intents{};
    std::vector<Outcome> Outcomes{};
    TimePoint OutcomesSince{};
    std::optional<Append> Writing{};
    std::uint32_t CallsInFlight = 0;
    std::uint32_t Failures = 0; ///< failed calls since the last success
    bool Unreachable = false;
    TimePoint RetryAt{};
    TimePoint LastUsedAt{};
  };
  enum class CallKind : std::uint8_t {
    ReadHead,
    ReadTail,
    ReadEarlier,
    Append,
    WriteHead,
    ReadHeadVersion, ///< after a head write failed
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
  void advance(Shard &S);
  void startLoad(Shard &S);
  void readTail(Shard &S);
  void readEarlier(Shard &S);
  void onHeadRead(Shard &S, const ObjectRead &Read);
  void onTailRead(Shard &S, const ObjectRead &Read);
  void onTailSegmentRead(Shard &S, const ObjectRead &Read,
                         const IntentSegment &Segment);
  void onFreeSlotRead(Shard &S, ObjectVersion Version,
                      std::optional<WallTime> LastUse);
  void onEarlierRead(Shard &S, std::uint64_t Sequence, const ObjectRead &Read);
  void dropBelowGap(Shard &S);
  bool earlierComplete(const Shard &S) const;
  void finishLoad(Shard &S);
  void onTailFound(Shard &S);
  void moveTail(Shard &S, std::uint64_t Sequence);
  void write(Shard &S);
  bool writeDue(const Shard &S) const;
  void fillBatch(Shard &S, Append &Next);
  void sendAppend(Shard &S);
  void onAppendWritten(Shard &S, const ObjectWritten &Written);
  void appendCommitted(Shard &S, ObjectVersion Version);
  void answerCommitted(const Append &Done);
  void requeue(Shard &S, Append &Failed);
  void writeHead(Shard &S);
  void readHeadVersion(Shard &S);
  bool hasCallInFlight(const Shard &S) const;
  bool needsFreshTail(Shard &S) const;
  const IntentRecord *pendingOutcome(const Shard &S, const KeyHash &Key) const;
  void handleLostCall(PlatformCallId Id);
  void fail(Shard &S, bool Unreachable);
  void failPending(Shard &S);
  void expirePending(Shard &S);
  void resetBackoff(Shard &S);
  void applyBatch(Shard &S, const IntentBatch &Batch);
  void addOutcome(Shard &S, const IntentRecord &Record);
  bool relevant(const Shard &S, const IntentRecord &Record) const;
  void answerDecided(Shard &S);
  std::optional<AnswerIntent> decide(const Shard &S,
                                     const PendingIntent &Intent) const;
  void answer(const PendingIntent &Intent, IntentDecision Decision);
  PlatformCallId newCall(Shard &S, CallKind Kind, std::uint64_t Sequence);
  std::string slotName(const Shard &S, std::uint64_t Sequence) const;
  std::string headName(const Shard &S) const;
  WallTime wallClockNow() const;
  WallTime retentionStart() const;

  IntentLogSettings Settings;
  TokenBucket WriteBudget;
  IntentLogStats Counts{};
  std::map<std::uint32_t, Shard> Shards{};
  std::map<PlatformCallId, Call> Calls{};
  /// Requests that ended without being dispatched. If an intent of such a
  /// request turns up later, it is released, and no new one is recorded.
  std::unordered_map<RequestTag, TimePoint> Ended{};
  std::deque<std::pair<TimePoint, RequestTag>> EndedUntil{};
  std::uint64_t LastCall = 0;
  std::uint64_t LastWrite = 0;
  std::optional<Duration> WallClockOffset{}; ///< Unix time minus steady time
  /// Longer retention that applies until PreviousRetentionUntil.
  Duration PreviousRetention{};
  TimePoint PreviousRetentionUntil{};
  // State of the current step.
  IntentLogActions Actions{};
  TimePoint Now{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_INTENT_LOG_H
