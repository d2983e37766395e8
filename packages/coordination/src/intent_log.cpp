/// The holder of intent shards: appends by conditional update, and proof of
/// what became of a write whose answer was lost.
#include "marjorambay/coordination/intent_log.h"

#include <algorithm>
#include <charconv>

namespace marjorambay {

namespace {

/// How long the end of an undispatched request is remembered: longer than any
/// message or platform call can be under way.
constexpr Duration EndedMemory = minutes(5);
/// An answer lost once is settled by asking again; twice means an outage.
constexpr std::uint32_t LostAnswersBeforeGivingUp = 2;

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
  std::visit([this](const auto &Known) { on(Known); }, Event);
  return std::exchange(Actions, {});
}

std::size_t IntentLog::keys() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Held] : Shards)
    Sum += Held.Index.size();
  return Sum;
}

bool IntentLog::busy() const {
  return !Calls.empty() ||
         std::any_of(Shards.begin(), Shards.end(), [](const auto &Entry) {
           const Shard &Held = Entry.second;
           return Held.Writing || !Held.Intents.empty() ||
                  !Held.Outcomes.empty();
         });
}

WallTime IntentLog::wallNow() const {
  return WallOffset ? WallTime(Now.time_since_epoch() + *WallOffset)
                    : WallTime{};
}

/// Without a clock nothing counts as old.
WallTime IntentLog::oldestKept() const {
  const Duration Kept = Now < LongerUntil
                            ? std::max(Settings.Retention, LongerRetention)
                            : Settings.Retention;
  return WallOffset ? wallNow() - Kept : WallTime::min();
}

// ---- Requests ---------------------------------------------------------------

IntentLog::Shard &IntentLog::shardFor(const KeyHash &Key) {
  const std::uint32_t Id = shardOf(Key, Settings.Shards);
  Shard &Held = Shards[Id];
  Held.Id = Id;
  Held.UsedAt = Now;
  return Held;
}

void IntentLog::on(const IntentRequested &Event) {
  Shard &Held = shardFor(Event.Key);
  Waiting Intent{Event, tagOf(Event.Request)};
  Intent.Deadline = Now + std::min(Event.TimeLeft, Settings.IntentTimeout);
  const bool Outage = Held.Unreachable && Now < Held.RetryAt;
  if (Ended.contains(Intent.Tag) || Event.TimeLeft <= Duration(0) || Outage ||
      Held.Intents.size() >= Settings.MaxWaiting)
    return answer(Intent, IntentDecision::Unavailable);
  if (Held.Stage == Phase::Ready) {
    const std::optional<AnswerIntent> Known = settle(Held, Intent);
    if (Known)
      return Actions.push_back(*Known);
  }
  Held.Intents.push_back(Intent);
  advance(Held);
}

void IntentLog::on(const OutcomeReported &Event) {
  Shard &Held = shardFor(Event.Key);
  IntentRecord Record;
  Record.Kind = outcomeKind(Event);
  Record.Key = Event.Key;
  Record.Request = tagOf(Event.Request);
  Record.HttpStatus = static_cast<std::uint16_t>(Event.HttpStatus);
  if (Event.Released) {
    Ended[Record.Request] = Now + EndedMemory;
    EndedUntil.emplace_back(Now + EndedMemory, Record.Request);
    std::erase_if(Held.Intents, [&](const Waiting &Intent) {
      return Intent.Tag == Record.Request;
    });
  }
  addOutcome(Held, Record);
  advance(Held);
}

void IntentLog::addOutcome(Shard &Held, const IntentRecord &Record) {
  if (Held.Outcomes.empty())
    Held.OutcomesSince = Now;
  if (Held.Outcomes.size() < Settings.MaxWaiting)
    Held.Outcomes.push_back({Record});
}

/// An outcome counts only for the request whose intent stands.
bool IntentLog::relevant(const Shard &Held, const IntentRecord &Record) const {
  const KnownKey *Known = Held.Index.find(Record.Key, oldestKept());
  return Known && Known->Request == Record.Request &&
         Known->State == IntentRecordKind::Intent;
}

void IntentLog::answer(const Waiting &Intent, IntentDecision Verdict) {
  if (!Intent.Answered)
    Actions.push_back(AnswerIntent{Intent.Request.Request, Verdict, 0});
}

/// The outcome of \p Key that the next write will record.
const IntentRecord *IntentLog::nextOutcome(const Shard &Held,
                                           const KeyHash &Key) const {
  for (const Outcome &Next : Held.Outcomes)
    if (Next.Record.Key == Key && relevant(Held, Next.Record))
      return &Next.Record;
  return nullptr;
}

/// What is known of an intent's key; nothing when it is free, or is released by
/// the outcome that goes into the next write before it.
std::optional<AnswerIntent> IntentLog::settle(const Shard &Held,
                                              const Waiting &Intent) const {
  const KnownKey *Known = Held.Index.find(Intent.Request.Key, oldestKept());
  if (!Known)
    return std::nullopt;
  const IntentRecord *Next = nextOutcome(Held, Intent.Request.Key);
  if (Next && Next->Kind == IntentRecordKind::Released)
    return std::nullopt;
  const IntentRecordKind State = Next ? Next->Kind : Known->State;
  AnswerIntent Answer{Intent.Request.Request, IntentDecision::InProgress, 0};
  if (State == IntentRecordKind::Intent && Known->Request == Intent.Tag)
    Answer.Decision = IntentDecision::Fresh; // asked again: its own record
  else if (Known->BodyHash != 0 && Known->BodyHash != Intent.Request.BodyHash)
    Answer.Decision = IntentDecision::BodyDiffers;
  else if (State == IntentRecordKind::Applied) {
    Answer.Decision = IntentDecision::Applied;
    Answer.AppliedStatus = Next ? Next->HttpStatus : Known->HttpStatus;
  }
  return Answer;
}

/// Answers the waiting intents whose key is known.
void IntentLog::settleWaiting(Shard &Held) {
  std::erase_if(Held.Intents, [&](const Waiting &Intent) {
    const std::optional<AnswerIntent> Known = settle(Held, Intent);
    if (Known)
      Actions.push_back(*Known);
    return Known.has_value();
  });
}

// ---- Reading a shard --------------------------------------------------------

std::string IntentLog::slotName(const Shard &Held,
                                std::uint64_t Sequence) const {
  return "intents/" + std::to_string(Held.Id) + "/" +
         std::to_string(Sequence % SegmentSlots);
}

std::string IntentLog::headName(const Shard &Held) const {
  return "intents/" + std::to_string(Held.Id) + "/head";
}

PlatformCallId IntentLog::newCall(Shard &Held, CallKind Kind,
                                  std::uint64_t Sequence) {
  const auto Id = static_cast<PlatformCallId>(++LastCall);
  Calls[Id] = {Kind, Held.Id, Sequence, Now};
  if (Kind != CallKind::WriteHead && Kind != CallKind::ReadHeadVersion)
    ++Held.CallsOut;
  return Id;
}

/// Sends what the shard needs next, if anything.
void IntentLog::advance(Shard &Held) {
  if (Held.CallsOut > 0 || Now < Held.RetryAt)
    return;
  const bool Wanted =
      Held.Writing || !Held.Intents.empty() || !Held.Outcomes.empty();
  if (!Wanted && Held.Failures > 0)
    return; // no calls for the sake of a shard that nobody needs
  switch (Held.Stage) {
  case Phase::Cold:
    return Wanted ? startLoad(Held) : void();
  case Phase::FindingTail:
    return readTail(Held);
  case Phase::ReadingBack:
    return readBack(Held);
  case Phase::Ready:
    return write(Held);
  }
}

void IntentLog::startLoad(Shard &Held) {
  ++Counts.Reads;
  const PlatformCallId Id = newCall(Held, CallKind::ReadHead, 0);
  Actions.push_back(ReadObject{Id, headName(Held)});
}

void IntentLog::readTail(Shard &Held) {
  ++Counts.Reads;
  const PlatformCallId Id = newCall(Held, CallKind::ReadTail, Held.Tail);
  Actions.push_back(ReadObject{Id, slotName(Held, Held.Tail)});
}

void IntentLog::on(const ObjectRead &Event) {
  const auto Found = Calls.find(Event.Call);
  if (Found == Calls.end())
    return;
  const Call Asked = Found->second;
  Calls.erase(Found);
  Shard &Held = Shards.at(Asked.Shard);
  Counts.BytesRead += Event.Bytes.size();
  if (Asked.Kind == CallKind::ReadHeadVersion) {
    if (Event.Reachable)
      Held.HeadVersion = Event.Version;
    return;
  }
  --Held.CallsOut;
  if (!Event.Reachable)
    fail(Held, true);
  else if (Asked.Kind == CallKind::ReadHead)
    headRead(Held, Event);
  else if (Asked.Kind == CallKind::ReadTail)
    tailRead(Held, Event);
  else
    backRead(Held, Asked.Sequence, Event);
  advance(Held);
}

/// The head names a recent segment. It is a hint: a lost or stale one costs
/// more reads forward.
void IntentLog::headRead(Shard &Held, const ObjectRead &Read) {
  std::uint64_t Sequence = 0;
  const char *Begin = Read.Bytes.data();
  std::from_chars(Begin, Begin + Read.Bytes.size(), Sequence);
  Held.HeadVersion = Read.Version;
  Held.Stage = Phase::FindingTail;
  moveTail(Held, Sequence);
  worked(Held);
}

void IntentLog::moveTail(Shard &Held, std::uint64_t Sequence) {
  Held.Tail = Sequence;
  Held.TailBytes.clear();
  Held.TailBatches = 0;
  Held.SlotVersion = 0;
  Held.SlotAtLeast = 0;
}

void IntentLog::tailRead(Shard &Held, const ObjectRead &Read) {
  if (Read.Version < Held.SlotAtLeast)
    return fail(Held, false); // stale: read again after a pause
  if (!Read.Found)
    return freeSlotFound(Held, 0, std::nullopt);
  const Result<IntentSegment> Decoded = decodeSegment(Read.Bytes);
  if (!ok(Decoded) || value(Decoded).Shard != Held.Id ||
      value(Decoded).Sequence % SegmentSlots != Held.Tail % SegmentSlots) {
    ++Counts.CorruptReads;
    return fail(Held, true);
  }
  const IntentSegment &Segment = value(Decoded);
  if (Segment.Sequence >= Held.Tail)
    return tailSegmentRead(Held, Read, Segment);
  std::optional<WallTime> LastUse;
  if (!Segment.Batches.empty())
    LastUse = Segment.Batches.back().Written;
  freeSlotFound(Held, Read.Version, LastUse);
}

/// The tail's slot is empty, or holds a segment of the ring's last round.
void IntentLog::freeSlotFound(Shard &Held, ObjectVersion Version,
                              std::optional<WallTime> LastUse) {
  if (LastUse && *LastUse >= oldestKept())
    return fail(Held, true); // the ring is full of keys within the retention
  Held.SlotVersion = Version;
  tailFound(Held);
}

void IntentLog::tailSegmentRead(Shard &Held, const ObjectRead &Read,
                                const IntentSegment &Segment) {
  if (Segment.Sequence > Held.Tail) {
    // The ring went round since this holder last read it: start over.
    moveTail(Held, Segment.Sequence);
    Held.Index = {};
    Held.Indexed = false;
    Held.Loaded.clear();
  }
  std::optional<Append> Mine = std::exchange(Held.Writing, std::nullopt);
  if (Held.Indexed)
    for (std::size_t Row = Held.TailBatches; Row < Segment.Batches.size();
         ++Row)
      applyBatch(Held, Segment.Batches[Row]);
  else
    Held.Loaded[Segment.Sequence] = Segment;
  Held.TailBatches = Segment.Batches.size();
  // Versions only rise, so that a write that is not in this version, which is
  // above its condition, can't take effect any more.
  if (Mine && contains(Segment, Mine->Id))
    answerStood(*Mine);
  else if (Mine)
    requeue(Held, *Mine);
  if (Segment.Sealed) {
    moveTail(Held, Segment.Sequence + 1);
    return worked(Held);
  }
  Held.TailBytes = Read.Bytes;
  Held.SlotVersion = Read.Version;
  tailFound(Held);
}

void IntentLog::tailFound(Shard &Held) {
  worked(Held);
  Held.Stage = Held.Indexed ? Phase::Ready : Phase::ReadingBack;
  if (!Held.Indexed && backComplete(Held))
    finishLoad(Held);
  if (Held.Stage == Phase::Ready)
    settleWaiting(Held);
}

bool IntentLog::backComplete(const Shard &Held) const {
  if (Held.Loaded.empty())
    return Held.Tail == 0;
  const auto &[Lowest, Segment] = *Held.Loaded.begin();
  if (Lowest == 0 || Held.Tail - Lowest + 1 >= SegmentSlots)
    return true;
  return !Segment.Batches.empty() &&
         Segment.Batches.back().Written < oldestKept();
}

/// Reads the next few segments before the lowest one that is loaded.
void IntentLog::readBack(Shard &Held) {
  dropBelowGap(Held);
  const std::uint64_t Above =
      Held.Loaded.empty() ? Held.Tail : Held.Loaded.begin()->first;
  for (std::uint64_t Down = 1; Down <= Settings.ReadsAtOnce; ++Down) {
    if (Down > Above || Held.Tail - (Above - Down) >= SegmentSlots)
      break;
    ++Counts.Reads;
    const PlatformCallId Id = newCall(Held, CallKind::ReadBack, Above - Down);
    Actions.push_back(ReadObject{Id, slotName(Held, Above - Down)});
  }
}

void IntentLog::backRead(Shard &Held, std::uint64_t Sequence,
                         const ObjectRead &Read) {
  if (Held.Stage != Phase::ReadingBack)
    return;
  const Result<IntentSegment> Decoded = decodeSegment(Read.Bytes);
  const bool Whole = ok(Decoded) && value(Decoded).Shard == Held.Id;
  if (Whole && value(Decoded).Sequence > Sequence) {
    // The ring went on meanwhile: the tail is out of date.
    Held.Stage = Phase::Cold;
    Held.Loaded.clear();
    return;
  }
  if (Read.Found && !Whole) {
    ++Counts.CorruptReads;
    return fail(Held, true);
  }
  // Earlier segments are sealed for good: anything else is a stale read.
  if (!Whole || value(Decoded).Sequence != Sequence || !value(Decoded).Sealed)
    return fail(Held, false);
  Held.Loaded[Sequence] = value(Decoded);
  if (Held.CallsOut > 0)
    return;
  dropBelowGap(Held);
  if (!backComplete(Held))
    return;
  worked(Held);
  finishLoad(Held);
}

/// After a failed read: what lies below the gap is read again with it.
void IntentLog::dropBelowGap(Shard &Held) {
  std::uint64_t Lowest =
      Held.Loaded.contains(Held.Tail) ? Held.Tail + 1 : Held.Tail;
  while (Lowest > 0 && Held.Loaded.contains(Lowest - 1))
    --Lowest;
  Held.Loaded.erase(Held.Loaded.begin(), Held.Loaded.lower_bound(Lowest));
}

void IntentLog::finishLoad(Shard &Held) {
  for (const auto &[Sequence, Segment] : Held.Loaded)
    for (const IntentBatch &Batch : Segment.Batches)
      applyBatch(Held, Batch);
  Held.Loaded.clear();
  Held.Indexed = true;
  Held.Stage = Phase::Ready;
  settleWaiting(Held);
}

void IntentLog::applyBatch(Shard &Held, const IntentBatch &Batch) {
  Held.LastWritten = std::max(Held.LastWritten, Batch.Written);
  for (const IntentRecord &Record : Batch.Records) {
    Held.Index.apply(Record, Batch.Written);
    if (Record.Kind == IntentRecordKind::Intent &&
        Ended.contains(Record.Request))
      addOutcome(Held,
                 {IntentRecordKind::Released, Record.Key, Record.Request});
  }
}

// ---- Appending --------------------------------------------------------------

bool IntentLog::writeDue(const Shard &Held) const {
  if (!Held.Intents.empty())
    return true;
  return !Held.Outcomes.empty() &&
         Now - Held.OutcomesSince >= Settings.OutcomeBatchDelay;
}

void IntentLog::write(Shard &Held) {
  // An intent stamped without a clock would count as old once there is one.
  if (!WallOffset)
    return;
  if (Held.Writing)
    return WriteBudget.take(Now) ? sendAppend(Held) : void();
  if (!writeDue(Held) || WriteBudget.readyAt(Now) > Now)
    return;
  if (needsFreshTail(Held)) {
    Held.SlotAtLeast = Held.SlotVersion;
    Held.Stage = Phase::FindingTail;
    return readTail(Held);
  }
  settleWaiting(Held);
  Append Next;
  Next.Id = {Settings.Self, Settings.Incarnation, ++LastWrite};
  Next.Sequence = Held.Tail;
  Next.IfVersion = Held.SlotVersion;
  fillBatch(Held, Next);
  if (Next.Batch.Records.empty())
    return;
  WriteBudget.borrow(Now);
  const IntentBatch &Batch = Next.Batch;
  const auto Encode = [&](bool Seal) {
    return Held.TailBytes.empty()
               ? encodeSegment({Held.Id, Held.Tail, Seal, {Batch}})
               : appendBatch(Held.TailBytes, Batch, Seal);
  };
  Next.Bytes = Encode(false);
  Next.Sealed = Next.Bytes.size() >= Settings.SegmentBytes;
  if (Next.Sealed)
    Next.Bytes = Encode(true);
  Held.Writing = std::move(Next);
  sendAppend(Held);
}

/// An outcome without its intent may belong to one that another holder has
/// recorded since: the tail is read once more before it is dropped.
bool IntentLog::needsFreshTail(Shard &Held) const {
  bool Needed = false;
  for (Outcome &Next : Held.Outcomes) {
    Needed = Needed || (!Next.Checked && !relevant(Held, Next.Record));
    Next.Checked = true;
  }
  return Needed;
}

/// Moves waiting outcomes and intents into one batch: outcomes first, so that a
/// released key is free for the intent that follows it.
void IntentLog::fillBatch(Shard &Held, Append &Next) {
  Next.Batch.Id = Next.Id;
  Next.Batch.Written = std::max(wallNow(), Held.LastWritten);
  std::map<KeyHash, const Waiting *> Taken;
  std::map<KeyHash, RequestTag> Ends;
  for (const Outcome &Ended : Held.Outcomes)
    if (relevant(Held, Ended.Record) &&
        Ends.try_emplace(Ended.Record.Key, Ended.Record.Request).second)
      Next.Batch.Records.push_back(Ended.Record);
  Held.Outcomes.clear();
  for (Waiting &Intent : Held.Intents) {
    const KeyHash &Key = Intent.Request.Key;
    const auto [First, New] = Taken.try_emplace(Key, &Intent);
    if (New) {
      Next.Batch.Records.push_back(
          {IntentRecordKind::Intent, Key, Intent.Tag, Intent.Request.BodyHash});
      continue;
    }
    const Waiting &Other = *First->second;
    if (Other.Tag == Intent.Tag)
      continue; // a doubled message; one answer serves both
    const bool Same = Other.Request.BodyHash == Intent.Request.BodyHash;
    answer(Intent,
           Same ? IntentDecision::InProgress : IntentDecision::BodyDiffers);
  }
  std::erase_if(Held.Intents, [&](const Waiting &Intent) {
    return Taken.at(Intent.Request.Key) != &Intent;
  });
  Next.Intents = std::exchange(Held.Intents, {});
}

void IntentLog::sendAppend(Shard &Held) {
  Append &Next = *Held.Writing;
  Next.Sent = true;
  ++Counts.Writes;
  Counts.BytesWritten += Next.Bytes.size();
  const PlatformCallId Id = newCall(Held, CallKind::Append, Next.Sequence);
  Actions.push_back(WriteObject{Id, slotName(Held, Next.Sequence),
                                Next.IfVersion, Next.Bytes});
}

void IntentLog::on(const ObjectWritten &Event) {
  const auto Found = Calls.find(Event.Call);
  if (Found == Calls.end())
    return;
  const Call Asked = Found->second;
  Calls.erase(Found);
  Shard &Held = Shards.at(Asked.Shard);
  if (Asked.Kind == CallKind::WriteHead) {
    if (Event.Result == WriteResult::Committed)
      Held.HeadVersion = Event.Version;
    else
      readHeadVersion(Held);
    return;
  }
  --Held.CallsOut;
  appendAnswered(Held, Event);
  advance(Held);
}

void IntentLog::appendAnswered(Shard &Held, const ObjectWritten &Written) {
  Append &Mine = *Held.Writing;
  Mine.Sent = false;
  switch (Written.Result) {
  case WriteResult::Committed:
    return appendStood(Held, Written.Version);
  case WriteResult::Conflict:
    // Another holder's write, or this one's own, sent before: read which.
    ++Counts.Conflicts;
    Held.SlotAtLeast = Mine.IfVersion + 1;
    Held.Stage = Phase::FindingTail;
    return worked(Held);
  case WriteResult::Unknown:
    // It may yet take effect. Sent again under the same condition, at most one
    // of the two can; reading alone would not show that the first is dead.
    ++Counts.LostAnswers;
    ++Mine.LostAnswers;
    if (Mine.LostAnswers >= LostAnswersBeforeGivingUp)
      fail(Held, true);
    return;
  }
}

void IntentLog::appendStood(Shard &Held, ObjectVersion Version) {
  Append Done = std::move(*Held.Writing);
  Held.Writing.reset();
  applyBatch(Held, Done.Batch);
  const bool Created = Held.TailBytes.empty();
  ++Held.TailBatches;
  Held.TailBytes = std::move(Done.Bytes);
  Held.SlotVersion = Version;
  worked(Held);
  answerStood(Done);
  if (Created)
    writeHead(Held);
  if (!Done.Sealed)
    return;
  moveTail(Held, Done.Sequence + 1);
  Held.Stage = Phase::FindingTail;
}

/// The intents of \p Done are recorded. A holder never releases one by itself:
/// while the origin has not said that the request ended, it may ask another
/// holder, be told Fresh, and dispatch.
void IntentLog::answerStood(const Append &Done) {
  for (const Waiting &Intent : Done.Intents)
    if (!Ended.contains(Intent.Tag))
      answer(Intent, IntentDecision::Fresh);
}

/// Puts back what a write that provably never takes effect has carried.
void IntentLog::requeue(Shard &Held, Append &Failed) {
  for (const IntentRecord &Record : Failed.Batch.Records)
    if (Record.Kind != IntentRecordKind::Intent)
      addOutcome(Held, Record);
  for (const Waiting &Intent : Failed.Intents)
    if (!Intent.Answered && !Ended.contains(Intent.Tag))
      Held.Intents.push_back(Intent);
}

/// Notes the new segment's number for the next holder; losing this is harmless.
void IntentLog::writeHead(Shard &Held) {
  WriteBudget.borrow(Now);
  ++Counts.Writes;
  const PlatformCallId Id = newCall(Held, CallKind::WriteHead, Held.Tail);
  std::string Bytes = std::to_string(Held.Tail);
  Counts.BytesWritten += Bytes.size();
  Actions.push_back(
      WriteObject{Id, headName(Held), Held.HeadVersion, std::move(Bytes)});
}

bool IntentLog::callOut(const Shard &Held) const {
  return std::any_of(Calls.begin(), Calls.end(), [&](const auto &Entry) {
    return Entry.second.Shard == Held.Id;
  });
}

void IntentLog::readHeadVersion(Shard &Held) {
  ++Counts.Reads;
  const PlatformCallId Id = newCall(Held, CallKind::ReadHeadVersion, 0);
  Actions.push_back(ReadObject{Id, headName(Held)});
}

// ---- Failure and time -------------------------------------------------------

void IntentLog::worked(Shard &Held) {
  Held.Failures = 0;
  Held.Unreachable = false;
  Held.RetryAt = TimePoint{};
}

/// Waits before the next call. While the platform is out of reach, intents are
/// answered at once.
void IntentLog::fail(Shard &Held, bool Unreachable) {
  const std::uint32_t Doubled = std::min(Held.Failures, 10U);
  ++Held.Failures;
  Held.RetryAt = Now + std::min<Duration>(Settings.RetryFirst * (1 << Doubled),
                                          Settings.RetryMost);
  Held.Unreachable = Held.Unreachable || Unreachable;
  if (Unreachable)
    giveUpWaiting(Held);
}

void IntentLog::giveUpWaiting(Shard &Held) {
  for (const Waiting &Intent : Held.Intents)
    answer(Intent, IntentDecision::Unavailable);
  Held.Intents.clear();
  if (!Held.Writing)
    return;
  for (Waiting &Intent : Held.Writing->Intents) {
    answer(Intent, IntentDecision::Unavailable);
    Intent.Answered = true;
  }
}

void IntentLog::timeOutWaiting(Shard &Held) {
  std::erase_if(Held.Intents, [&](const Waiting &Intent) {
    const bool Late = Now >= Intent.Deadline;
    if (Late)
      answer(Intent, IntentDecision::Unavailable);
    return Late;
  });
  if (!Held.Writing)
    return;
  for (Waiting &Intent : Held.Writing->Intents) {
    if (Intent.Answered || Now < Intent.Deadline)
      continue;
    answer(Intent, IntentDecision::Unavailable);
    Intent.Answered = true;
  }
}

/// A platform call that got no answer counts as one whose answer was lost.
void IntentLog::callLost(PlatformCallId Id) {
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
    LongerRetention = Now < LongerUntil
                          ? std::max(LongerRetention, Settings.Retention)
                          : Settings.Retention;
    LongerUntil = Now + LongerRetention;
  }
  Settings.Retention = Event.Retention;
}

void IntentLog::on(const IntentLogTicked &Event) {
  if (Event.WallClock != WallTime{})
    WallOffset = Event.WallClock.time_since_epoch() - Now.time_since_epoch();
  std::vector<PlatformCallId> Lost;
  for (const auto &[Id, Asked] : Calls)
    if (Now - Asked.SentAt >= Settings.CallTimeout)
      Lost.push_back(Id);
  for (const PlatformCallId Id : Lost)
    callLost(Id);
  while (!EndedUntil.empty() && EndedUntil.front().first <= Now) {
    const auto Found = Ended.find(EndedUntil.front().second);
    if (Found != Ended.end() && Found->second <= Now)
      Ended.erase(Found);
    EndedUntil.pop_front();
  }
  // The shard that has waited longest gets the next write.
  std::vector<Shard *> Due;
  for (auto &[Id, Held] : Shards) {
    timeOutWaiting(Held);
    Held.Index.expire(oldestKept());
    Due.push_back(&Held);
  }
  const auto WaitsSince = [](const Shard &Held) {
    return Held.Intents.empty() ? TimePoint::max()
                                : Held.Intents.front().Deadline;
  };
  std::sort(Due.begin(), Due.end(), [&](const Shard *A, const Shard *B) {
    return std::pair(WaitsSince(*A), A->Id) < std::pair(WaitsSince(*B), B->Id);
  });
  for (Shard *Held : Due)
    advance(*Held);
  std::erase_if(Shards, [&](const auto &Entry) {
    const Shard &Held = Entry.second;
    return !callOut(Held) && !Held.Writing && Held.Intents.empty() &&
           Held.Outcomes.empty() && Now - Held.UsedAt >= Settings.IdleUnload;
  });
}

} // namespace marjorambay
