/// The intent log: appends by conditional update, and determines the fate of a
/// write whose response was lost.
#include "marjorambay/coordination/intent_log.h"

#include <algorithm>
#include <charconv>

namespace marjorambay {

namespace {

/// How long the end of an undispatched request is stored. Longer than any
/// message or platform call can be in flight.
constexpr Duration EndedRetention = minutes(5);
/// A single lost response is resolved by a retry; a second one means an outage.
constexpr std::uint32_t MaxUnknownResults = 2;

IntentRecordKind outcomeKind(const OutcomeReported &Event) {
  if (Event.Released)
    return IntentRecordKind::Released;
  return Event.HttpStatus == 0 ? IntentRecordKind::Unknown
                               : IntentRecordKind::Applied;
}

bool contains(const IntentSegment &Segment, const WriteId &Id) {
  return std::any_of(Segment.Batches.begin(), Segment.Batches.end(),
                     [&](const IntentBatch &Batch) { return Batch.Id == Id; });
}

} // namespace

IntentLogActions IntentLog::step(const IntentLogEvent &Event, TimePoint At) {
  Now = At;
  Actions.clear();
  std::visit([this](const auto &Typed) { on(Typed); }, Event);
  return std::exchange(Actions, {});
}

std::size_t IntentLog::keys() const {
  std::size_t Sum = 0;
  for (const auto &[Id, S] : Shards)
    Sum += S.Index.size();
  return Sum;
}

bool IntentLog::busy() const {
  return !Calls.empty() ||
         std::any_of(Shards.begin(), Shards.end(), [](const auto &Entry) {
           const Shard &S = Entry.second;
           return S.Writing || !S.Intents.empty() || !S.Outcomes.empty();
         });
}

WallTime IntentLog::wallClockNow() const {
  return WallClockOffset ? WallTime(Now.time_since_epoch() + *WallClockOffset)
                         : WallTime{};
}

/// Returns the start of the retention period. Nothing counts as expired while
/// the wall clock is unknown.
WallTime IntentLog::retentionStart() const {
  const Duration Retention =
      Now < PreviousRetentionUntil
          ? std::max(Settings.Retention, PreviousRetention)
          : Settings.Retention;
  return WallClockOffset ? wallClockNow() - Retention : WallTime::min();
}

// ---- Requests ---------------------------------------------------------------

IntentLog::Shard &IntentLog::shardFor(const KeyHash &Key) {
  const std::uint32_t Id = shardOf(Key, Settings.Shards);
  Shard &S = Shards[Id];
  S.Id = Id;
  S.LastUsedAt = Now;
  return S;
}

void IntentLog::on(const IntentRequested &Event) {
  Shard &S = shardFor(Event.Key);
  PendingIntent Intent{Event, tagOf(Event.Request)};
  Intent.Deadline = Now + std::min(Event.TimeLeft, Settings.IntentTimeout);
  const bool Outage = S.Unreachable && Now < S.RetryAt;
  if (Ended.contains(Intent.Tag) || Event.TimeLeft <= Duration(0) || Outage ||
      S.Intents.size() >= Settings.MaxPendingIntents)
    return answer(Intent, IntentDecision::Unavailable);
  if (S.Stage == Phase::Ready) {
    const std::optional<AnswerIntent> Answer = decide(S, Intent);
    if (Answer)
      return Actions.push_back(*Answer);
  }
  S.Intents.push_back(Intent);
  advance(S);
}

void IntentLog::on(const OutcomeReported &Event) {
  Shard &S = shardFor(Event.Key);
  IntentRecord Record;
  Record.Kind = outcomeKind(Event);
  Record.Key = Event.Key;
  Record.Request = tagOf(Event.Request);
  Record.HttpStatus = static_cast<std::uint16_t>(Event.HttpStatus);
  if (Event.Released) {
    Ended[Record.Request] = Now + EndedRetention;
    EndedUntil.emplace_back(Now + EndedRetention, Record.Request);
    std::erase_if(S.Intents, [&](const PendingIntent &Intent) {
      return Intent.Tag == Record.Request;
    });
  }
  addOutcome(S, Record);
  advance(S);
}

void IntentLog::addOutcome(Shard &S, const IntentRecord &Record) {
  if (S.Outcomes.empty())
    S.OutcomesSince = Now;
  if (S.Outcomes.size() < Settings.MaxPendingIntents)
    S.Outcomes.push_back({Record});
}

/// An outcome is valid only for the request whose intent is the key's current
/// record.
bool IntentLog::relevant(const Shard &S, const IntentRecord &Record) const {
  const KeyRecord *Current = S.Index.find(Record.Key, retentionStart());
  return Current && Current->Request == Record.Request &&
         Current->State == IntentRecordKind::Intent;
}

void IntentLog::answer(const PendingIntent &Intent, IntentDecision Decision) {
  if (!Intent.Answered)
    Actions.push_back(AnswerIntent{Intent.Request.Request, Decision, 0});
}

/// Returns the outcome of \p Key that the next write will record, or nullptr.
const IntentRecord *IntentLog::pendingOutcome(const Shard &S,
                                              const KeyHash &Key) const {
  for (const Outcome &Next : S.Outcomes)
    if (Next.Record.Key == Key && relevant(S, Next.Record))
      return &Next.Record;
  return nullptr;
}

/// Returns the decision on an intent from its key's record. Returns nothing if
/// the key is free or will be released by an outcome earlier in the next write.
std::optional<AnswerIntent>
IntentLog::decide(const Shard &S, const PendingIntent &Intent) const {
  const KeyRecord *Current = S.Index.find(Intent.Request.Key, retentionStart());
  if (!Current)
    return std::nullopt;
  const IntentRecord *Next = pendingOutcome(S, Intent.Request.Key);
  if (Next && Next->Kind == IntentRecordKind::Released)
    return std::nullopt;
  const IntentRecordKind State = Next ? Next->Kind : Current->State;
  AnswerIntent Answer{Intent.Request.Request, IntentDecision::InProgress, 0};
  // A retry finds its own record.
  if (State == IntentRecordKind::Intent && Current->Request == Intent.Tag)
    Answer.Decision = IntentDecision::Fresh;
  else if (Current->BodyHash != 0 &&
           Current->BodyHash != Intent.Request.BodyHash)
    Answer.Decision = IntentDecision::BodyDiffers;
  else if (State == IntentRecordKind::Applied) {
    Answer.Decision = IntentDecision::Applied;
    Answer.AppliedStatus = Next ? Next->HttpStatus : Current->HttpStatus;
  }
  return Answer;
}

/// Answers the pending intents whose key has a record.
void IntentLog::answerDecided(Shard &S) {
  std::erase_if(S.Intents, [&](const PendingIntent &Intent) {
    const std::optional<AnswerIntent> Answer = decide(S, Intent);
    if (Answer)
      Actions.push_back(*Answer);
    return Answer.has_value();
  });
}

// ---- Reading a shard --------------------------------------------------------

std::string IntentLog::slotName(const Shard &S, std::uint64_t Sequence) const {
  return "intents/" + std::to_string(S.Id) + "/" +
         std::to_string(Sequence % SegmentSlots);
}

std::string IntentLog::headName(const Shard &S) const {
  return "intents/" + std::to_string(S.Id) + "/head";
}

PlatformCallId IntentLog::newCall(Shard &S, CallKind Kind,
                                  std::uint64_t Sequence) {
  const auto Id = static_cast<PlatformCallId>(++LastCall);
  Calls[Id] = {Kind, S.Id, Sequence, Now};
  if (Kind != CallKind::WriteHead && Kind != CallKind::ReadHeadVersion)
    ++S.CallsInFlight;
  return Id;
}

/// Sends the next platform call that the shard needs, if any.
void IntentLog::advance(Shard &S) {
  if (S.CallsInFlight > 0 || Now < S.RetryAt)
    return;
  const bool HasWork = S.Writing || !S.Intents.empty() || !S.Outcomes.empty();
  // No retries for a shard without pending work.
  if (!HasWork && S.Failures > 0)
    return;
  switch (S.Stage) {
  case Phase::Unloaded:
    return HasWork ? startLoad(S) : void();
  case Phase::FindingTail:
    return readTail(S);
  case Phase::ReadingEarlier:
    return readEarlier(S);
  case Phase::Ready:
    return write(S);
  }
}

void IntentLog::startLoad(Shard &S) {
  ++Counts.Reads;
  const PlatformCallId Id = newCall(S, CallKind::ReadHead, 0);
  Actions.push_back(ReadObject{Id, headName(S)});
}

void IntentLog::readTail(Shard &S) {
  ++Counts.Reads;
  const PlatformCallId Id = newCall(S, CallKind::ReadTail, S.Tail);
  Actions.push_back(ReadObject{Id, slotName(S, S.Tail)});
}

void IntentLog::on(const ObjectRead &Event) {
  const auto Found = Calls.find(Event.Call);
  if (Found == Calls.end())
    return;
  const Call PlatformCall = Found->second;
  Calls.erase(Found);
  Shard &S = Shards.at(PlatformCall.Shard);
  Counts.BytesRead += Event.Bytes.size();
  if (PlatformCall.Kind == CallKind::ReadHeadVersion) {
    if (Event.Reachable)
      S.HeadVersion = Event.Version;
    return;
  }
  --S.CallsInFlight;
  if (!Event.Reachable)
    fail(S, true);
  else if (PlatformCall.Kind == CallKind::ReadHead)
    onHeadRead(S, Event);
  else if (PlatformCall.Kind == CallKind::ReadTail)
    onTailRead(S, Event);
  else
    onEarlierRead(S, PlatformCall.Sequence, Event);
  advance(S);
}

/// The head object contains the sequence number of a recent segment. It is only
/// a hint: a missing or stale one costs additional reads.
void IntentLog::onHeadRead(Shard &S, const ObjectRead &Read) {
  std::uint64_t Sequence = 0;
  const char *Begin = Read.Bytes.data();
  std::from_chars(Begin, Begin + Read.Bytes.size(), Sequence);
  S.HeadVersion = Read.Version;
  S.Stage = Phase::FindingTail;
  moveTail(S, Sequence);
  resetBackoff(S);
}

void IntentLog::moveTail(Shard &S, std::uint64_t Sequence) {
  S.Tail = Sequence;
  S.TailBytes.clear();
  S.TailBatches = 0;
  S.SlotVersion = 0;
  S.MinSlotVersion = 0;
}

void IntentLog::onTailRead(Shard &S, const ObjectRead &Read) {
  // A lower version is a stale read, which is repeated after a delay.
  if (Read.Version < S.MinSlotVersion)
    return fail(S, false);
  if (!Read.Found)
    return onFreeSlotRead(S, 0, std::nullopt);
  const Result<IntentSegment> Decoded = decodeSegment(Read.Bytes);
  if (!ok(Decoded) || value(Decoded).Shard != S.Id ||
      value(Decoded).Sequence % SegmentSlots != S.Tail % SegmentSlots) {
    ++Counts.CorruptReads;
    return fail(S, true);
  }
  const IntentSegment &Segment = value(Decoded);
  if (Segment.Sequence >= S.Tail)
    return onTailSegmentRead(S, Read, Segment);
  std::optional<WallTime> LastUse;
  if (!Segment.Batches.empty())
    LastUse = Segment.Batches.back().Written;
  onFreeSlotRead(S, Read.Version, LastUse);
}

/// Handles a tail slot that is empty or contains a segment of the ring's
/// previous round.
void IntentLog::onFreeSlotRead(Shard &S, ObjectVersion Version,
                               std::optional<WallTime> LastUse) {
  // The ring is full if the slot still contains keys within the retention.
  if (LastUse && *LastUse >= retentionStart())
    return fail(S, true);
  S.SlotVersion = Version;
  onTailFound(S);
}

void IntentLog::onTailSegmentRead(Shard &S, const ObjectRead &Read,
                                  const IntentSegment &Segment) {
  if (Segment.Sequence > S.Tail) {
    // The ring wrapped around since this host last read it: reload the shard.
    moveTail(S, Segment.Sequence);
    S.Index = {};
    S.Indexed = false;
    S.Loaded.clear();
  }
  std::optional<Append> Pending = std::exchange(S.Writing, std::nullopt);
  if (S.Indexed)
    for (std::size_t Row = S.TailBatches; Row < Segment.Batches.size(); ++Row)
      applyBatch(S, Segment.Batches[Row]);
  else
    S.Loaded[Segment.Sequence] = Segment;
  S.TailBatches = Segment.Batches.size();
  // Versions only increase. If the write is not in this version, which is newer
  // than its condition, it can no longer take effect.
  if (Pending && contains(Segment, Pending->Id))
    answerCommitted(*Pending);
  else if (Pending)
    requeue(S, *Pending);
  if (Segment.Sealed) {
    moveTail(S, Segment.Sequence + 1);
    return resetBackoff(S);
  }
  S.TailBytes = Read.Bytes;
  S.SlotVersion = Read.Version;
  onTailFound(S);
}

void IntentLog::onTailFound(Shard &S) {
  resetBackoff(S);
  S.Stage = S.Indexed ? Phase::Ready : Phase::ReadingEarlier;
  if (!S.Indexed && earlierComplete(S))
    finishLoad(S);
  if (S.Stage == Phase::Ready)
    answerDecided(S);
}

bool IntentLog::earlierComplete(const Shard &S) const {
  if (S.Loaded.empty())
    return S.Tail == 0;
  const auto &[Lowest, Segment] = *S.Loaded.begin();
  if (Lowest == 0 || S.Tail - Lowest + 1 >= SegmentSlots)
    return true;
  return !Segment.Batches.empty() &&
         Segment.Batches.back().Written < retentionStart();
}

/// Reads the next segments before the earliest one that is loaded.
void IntentLog::readEarlier(Shard &S) {
  dropBelowGap(S);
  const std::uint64_t Above =
      S.Loaded.empty() ? S.Tail : S.Loaded.begin()->first;
  for (std::uint64_t Down = 1; Down <= Settings.MaxConcurrentReads; ++Down) {
    if (Down > Above || S.Tail - (Above - Down) >= SegmentSlots)
      break;
    ++Counts.Reads;
    const PlatformCallId Id = newCall(S, CallKind::ReadEarlier, Above - Down);
    Actions.push_back(ReadObject{Id, slotName(S, Above - Down)});
  }
}

void IntentLog::onEarlierRead(Shard &S, std::uint64_t Sequence,
                              const ObjectRead &Read) {
  if (S.Stage != Phase::ReadingEarlier)
    return;
  const Result<IntentSegment> Decoded = decodeSegment(Read.Bytes);
  const bool Valid = ok(Decoded) && value(Decoded).Shard == S.Id;
  if (Valid && value(Decoded).Sequence > Sequence) {
    // The ring advanced meanwhile, so the tail is outdated.
    S.Stage = Phase::Unloaded;
    S.Loaded.clear();
    return;
  }
  if (Read.Found && !Valid) {
    ++Counts.CorruptReads;
    return fail(S, true);
  }
  // Earlier segments are sealed permanently, so anything else is a stale read.
  if (!Valid || value(Decoded).Sequence != Sequence || !value(Decoded).Sealed)
    return fail(S, false);
  S.Loaded[Sequence] = value(Decoded);
  if (S.CallsInFlight > 0)
    return;
  dropBelowGap(S);
  if (!earlierComplete(S))
    return;
  resetBackoff(S);
  finishLoad(S);
}

/// Drops the segments below a gap that a failed read left; they are read again
/// together with the missing one.
void IntentLog::dropBelowGap(Shard &S) {
  std::uint64_t Lowest = S.Loaded.contains(S.Tail) ? S.Tail + 1 : S.Tail;
  while (Lowest > 0 && S.Loaded.contains(Lowest - 1))
    --Lowest;
  S.Loaded.erase(S.Loaded.begin(), S.Loaded.lower_bound(Lowest));
}

void IntentLog::finishLoad(Shard &S) {
  for (const auto &[Sequence, Segment] : S.Loaded)
    for (const IntentBatch &Batch : Segment.Batches)
      applyBatch(S, Batch);
  S.Loaded.clear();
  S.Indexed = true;
  S.Stage = Phase::Ready;
  answerDecided(S);
}

void IntentLog::applyBatch(Shard &S, const IntentBatch &Batch) {
  S.LastWritten = std::max(S.LastWritten, Batch.Written);
  for (const IntentRecord &Record : Batch.Records) {
    S.Index.apply(Record, Batch.Written);
    if (Record.Kind == IntentRecordKind::Intent &&
        Ended.contains(Record.Request))
      addOutcome(S, {IntentRecordKind::Released, Record.Key, Record.Request});
  }
}

// ---- Appending --------------------------------------------------------------

bool IntentLog::writeDue(const Shard &S) const {
  if (!S.Intents.empty())
    return true;
  return !S.Outcomes.empty() &&
         Now - S.OutcomesSince >= Settings.OutcomeBatchDelay;
}

void IntentLog::write(Shard &S) {
  // An intent without a time stamp would count as expired once the wall clock
  // is known.
  if (!WallClockOffset)
    return;
  if (S.Writing)
    return WriteBudget.tryAcquire(Now) ? sendAppend(S) : void();
  if (!writeDue(S) || WriteBudget.readyAt(Now) > Now)
    return;
  if (needsFreshTail(S)) {
    S.MinSlotVersion = S.SlotVersion;
    S.Stage = Phase::FindingTail;
    return readTail(S);
  }
  answerDecided(S);
  Append Next;
  Next.Id = {Settings.Self, Settings.Incarnation, ++LastWrite};
  Next.Sequence = S.Tail;
  Next.IfVersion = S.SlotVersion;
  fillBatch(S, Next);
  if (Next.Batch.Records.empty())
    return;
  WriteBudget.borrow(Now);
  const IntentBatch &Batch = Next.Batch;
  const auto Encode = [&](bool Seal) {
    return S.TailBytes.empty() ? encodeSegment({S.Id, S.Tail, Seal, {Batch}})
                               : appendBatch(S.TailBytes, Batch, Seal);
  };
  Next.Bytes = Encode(false);
  Next.Sealed = Next.Bytes.size() >= Settings.SegmentBytes;
  if (Next.Sealed)
    Next.Bytes = Encode(true);
  S.Writing = std::move(Next);
  sendAppend(S);
}

/// An outcome without a matching intent may belong to an intent that another
/// host has recorded since. Before such an outcome is dropped, the tail is read
/// once more.
bool IntentLog::needsFreshTail(Shard &S) const {
  bool Needed = false;
  for (Outcome &Next : S.Outcomes) {
    Needed = Needed || (!Next.Checked && !relevant(S, Next.Record));
    Next.Checked = true;
  }
  return Needed;
}

/// Moves pending outcomes and intents into one batch. Outcomes go first, so
/// that a key that they release is free for a following intent.
void IntentLog::fillBatch(Shard &S, Append &Next) {
  Next.Batch.Id = Next.Id;
  Next.Batch.Written = std::max(wallClockNow(), S.LastWritten);
  std::map<KeyHash, const PendingIntent *> Taken;
  std::map<KeyHash, RequestTag> Ends;
  for (const Outcome &Item : S.Outcomes)
    if (relevant(S, Item.Record) &&
        Ends.try_emplace(Item.Record.Key, Item.Record.Request).second)
      Next.Batch.Records.push_back(Item.Record);
  S.Outcomes.clear();
  for (PendingIntent &Intent : S.Intents) {
    const KeyHash &Key = Intent.Request.Key;
    const auto [First, New] = Taken.try_emplace(Key, &Intent);
    if (New) {
      Next.Batch.Records.push_back(
          {IntentRecordKind::Intent, Key, Intent.Tag, Intent.Request.BodyHash});
      continue;
    }
    const PendingIntent &Other = *First->second;
    // Duplicate message; one answer serves both.
    if (Other.Tag == Intent.Tag)
      continue;
    const bool Same = Other.Request.BodyHash == Intent.Request.BodyHash;
    answer(Intent,
           Same ? IntentDecision::InProgress : IntentDecision::BodyDiffers);
  }
  std::erase_if(S.Intents, [&](const PendingIntent &Intent) {
    return Taken.at(Intent.Request.Key) != &Intent;
  });
  Next.Intents = std::exchange(S.Intents, {});
}

void IntentLog::sendAppend(Shard &S) {
  Append &Next = *S.Writing;
  Next.Sent = true;
  ++Counts.Writes;
  Counts.BytesWritten += Next.Bytes.size();
  const PlatformCallId Id = newCall(S, CallKind::Append, Next.Sequence);
  Actions.push_back(
      WriteObject{Id, slotName(S, Next.Sequence), Next.IfVersion, Next.Bytes});
}

void IntentLog::on(const ObjectWritten &Event) {
  const auto Found = Calls.find(Event.Call);
  if (Found == Calls.end())
    return;
  const Call PlatformCall = Found->second;
  Calls.erase(Found);
  Shard &S = Shards.at(PlatformCall.Shard);
  if (PlatformCall.Kind == CallKind::WriteHead) {
    if (Event.Result == WriteResult::Committed)
      S.HeadVersion = Event.Version;
    else
      readHeadVersion(S);
    return;
  }
  --S.CallsInFlight;
  onAppendWritten(S, Event);
  advance(S);
}

void IntentLog::onAppendWritten(Shard &S, const ObjectWritten &Written) {
  Append &Pending = *S.Writing;
  Pending.Sent = false;
  switch (Written.Result) {
  case WriteResult::Committed:
    return appendCommitted(S, Written.Version);
  case WriteResult::Conflict:
    // Either another host's write or an earlier send of this one took effect.
    // Reading the tail shows which.
    ++Counts.Conflicts;
    S.MinSlotVersion = Pending.IfVersion + 1;
    S.Stage = Phase::FindingTail;
    return resetBackoff(S);
  case WriteResult::Unknown:
    // The write may still take effect. It is sent again under the same
    // condition, so that at most one of the two can. Reading alone would not
    // show that the first one can no longer take effect.
    ++Counts.UnknownResults;
    ++Pending.UnknownResults;
    if (Pending.UnknownResults >= MaxUnknownResults)
      fail(S, true);
    return;
  }
}

void IntentLog::appendCommitted(Shard &S, ObjectVersion Version) {
  Append Done = std::move(*S.Writing);
  S.Writing.reset();
  applyBatch(S, Done.Batch);
  const bool Created = S.TailBytes.empty();
  ++S.TailBatches;
  S.TailBytes = std::move(Done.Bytes);
  S.SlotVersion = Version;
  resetBackoff(S);
  answerCommitted(Done);
  if (Created)
    writeHead(S);
  if (!Done.Sealed)
    return;
  moveTail(S, Done.Sequence + 1);
  S.Stage = Phase::FindingTail;
}

/// Answers the intents of \p Done, which are recorded now. A host never
/// releases an intent on its own: until the origin reports the end of the
/// request, the origin may ask another host, receive Fresh and dispatch.
void IntentLog::answerCommitted(const Append &Done) {
  for (const PendingIntent &Intent : Done.Intents)
    if (!Ended.contains(Intent.Tag))
      answer(Intent, IntentDecision::Fresh);
}

/// Queues the records of a write that provably never takes effect again.
void IntentLog::requeue(Shard &S, Append &Failed) {
  for (const IntentRecord &Record : Failed.Batch.Records)
    if (Record.Kind != IntentRecordKind::Intent)
      addOutcome(S, Record);
  for (const PendingIntent &Intent : Failed.Intents)
    if (!Intent.Answered && !Ended.contains(Intent.Tag))
      S.Intents.push_back(Intent);
}

/// Records the new segment's number for hosts that load the shard later. Losing
/// this write is harmless.
void IntentLog::writeHead(Shard &S) {
  WriteBudget.borrow(Now);
  ++Counts.Writes;
  const PlatformCallId Id = newCall(S, CallKind::WriteHead, S.Tail);
  std::string Bytes = std::to_string(S.Tail);
  Counts.BytesWritten += Bytes.size();
  Actions.push_back(
      WriteObject{Id, headName(S), S.HeadVersion, std::move(Bytes)});
}

bool IntentLog::hasCallInFlight(const Shard &S) const {
  return std::any_of(Calls.begin(), Calls.end(), [&](const auto &Entry) {
    return Entry.second.Shard == S.Id;
  });
}

void IntentLog::readHeadVersion(Shard &S) {
  ++Counts.Reads;
  const PlatformCallId Id = newCall(S, CallKind::ReadHeadVersion, 0);
  Actions.push_back(ReadObject{Id, headName(S)});
}

// ---- Failure and time -------------------------------------------------------

void IntentLog::resetBackoff(Shard &S) {
  S.Failures = 0;
  S.Unreachable = false;
  S.RetryAt = TimePoint{};
}

/// Backs off before the next call. While the platform is unreachable, intents
/// are answered Unavailable at once.
void IntentLog::fail(Shard &S, bool Unreachable) {
  const std::uint32_t Doubled = std::min(S.Failures, 10U);
  ++S.Failures;
  S.RetryAt =
      Now + std::min<Duration>(Settings.InitialRetryDelay * (1 << Doubled),
                               Settings.MaxRetryDelay);
  S.Unreachable = S.Unreachable || Unreachable;
  if (Unreachable)
    failPending(S);
}

void IntentLog::failPending(Shard &S) {
  for (const PendingIntent &Intent : S.Intents)
    answer(Intent, IntentDecision::Unavailable);
  S.Intents.clear();
  if (!S.Writing)
    return;
  for (PendingIntent &Intent : S.Writing->Intents) {
    answer(Intent, IntentDecision::Unavailable);
    Intent.Answered = true;
  }
}

void IntentLog::expirePending(Shard &S) {
  std::erase_if(S.Intents, [&](const PendingIntent &Intent) {
    const bool Late = Now >= Intent.Deadline;
    if (Late)
      answer(Intent, IntentDecision::Unavailable);
    return Late;
  });
  if (!S.Writing)
    return;
  for (PendingIntent &Intent : S.Writing->Intents) {
    if (Intent.Answered || Now < Intent.Deadline)
      continue;
    answer(Intent, IntentDecision::Unavailable);
    Intent.Answered = true;
  }
}

/// A platform call that timed out is handled like one whose response was lost.
void IntentLog::handleLostCall(PlatformCallId Id) {
  const CallKind Kind = Calls.at(Id).Kind;
  if (Kind == CallKind::Append || Kind == CallKind::WriteHead)
    return on(ObjectWritten{Id, WriteResult::Unknown, 0});
  ObjectRead Lost;
  Lost.Call = Id;
  Lost.Reachable = false;
  on(Lost);
}

void IntentLog::on(const RetentionChanged &Event) {
  if (Event.Retention < Settings.Retention) {
    PreviousRetention = Now < PreviousRetentionUntil
                            ? std::max(PreviousRetention, Settings.Retention)
                            : Settings.Retention;
    PreviousRetentionUntil = Now + PreviousRetention;
  }
  Settings.Retention = Event.Retention;
}

void IntentLog::on(const IntentLogTicked &Event) {
  if (Event.WallClock != WallTime{})
    WallClockOffset =
        Event.WallClock.time_since_epoch() - Now.time_since_epoch();
  std::vector<PlatformCallId> Lost;
  for (const auto &[Id, PlatformCall] : Calls)
    if (Now - PlatformCall.SentAt >= Settings.CallTimeout)
      Lost.push_back(Id);
  for (const PlatformCallId Id : Lost)
    handleLostCall(Id);
  while (!EndedUntil.empty() && EndedUntil.front().first <= Now) {
    const auto Found = Ended.find(EndedUntil.front().second);
    if (Found != Ended.end() && Found->second <= Now)
      Ended.erase(Found);
    EndedUntil.pop_front();
  }
  // The shard whose first intent expires first gets the next write.
  std::vector<Shard *> Due;
  for (auto &[Id, S] : Shards) {
    expirePending(S);
    S.Index.expire(retentionStart());
    Due.push_back(&S);
  }
  const auto WaitsSince = [](const Shard &S) {
    return S.Intents.empty() ? TimePoint::max() : S.Intents.front().Deadline;
  };
  std::sort(Due.begin(), Due.end(), [&](const Shard *A, const Shard *B) {
    return std::pair(WaitsSince(*A), A->Id) < std::pair(WaitsSince(*B), B->Id);
  });
  for (Shard *S : Due)
    advance(*S);
  std::erase_if(Shards, [&](const auto &Entry) {
    const Shard &S = Entry.second;
    return !hasCallInFlight(S) && !S.Writing && S.Intents.empty() &&
           S.Outcomes.empty() && Now - S.LastUsedAt >= Settings.IdleUnloadDelay;
  });
}

} // namespace marjorambay
