/// The intent log over a fake platform: many holders, lost answers, outages.
#include "marjorambay/coordination/intent_log.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <optional>

using namespace marjorambay;

namespace {

constexpr KeyHash Key{0, 77};

/// Versioned objects that can be down, or lose the answers to writes.
struct Platform {
  std::map<std::string, std::vector<std::string>> Objects{};
  bool Down = false;
  bool LosesAnswers = false;
  std::size_t StaleReads = 0; ///< next reads that see the version before

  ObjectRead read(const ReadObject &Call) {
    ObjectRead Answer;
    Answer.Call = Call.Call;
    Answer.Reachable = !Down;
    std::size_t Version = Objects[Call.Name].size();
    if (StaleReads > 0 && Version > 0) {
      --StaleReads;
      --Version;
    }
    if (Down || Version == 0)
      return Answer;
    Answer.Found = true;
    Answer.Version = Version;
    Answer.Bytes = Objects[Call.Name][Version - 1];
    return Answer;
  }
  ObjectWritten write(const WriteObject &Call) {
    if (Down)
      return {Call.Call, WriteResult::Unknown, 0};
    auto &Versions = Objects[Call.Name];
    if (Versions.size() != Call.IfVersion)
      return {Call.Call, WriteResult::Conflict, 0};
    Versions.push_back(Call.Bytes);
    if (LosesAnswers)
      return {Call.Call, WriteResult::Unknown, 0};
    return {Call.Call, WriteResult::Committed, Versions.size()};
  }
};

IntentLogSettings settingsOf(std::uint64_t Host) {
  IntentLogSettings Settings;
  Settings.Self = HostId{Host};
  Settings.Incarnation = IncarnationId{1};
  Settings.Shards = 1;
  Settings.SegmentBytes = 400;
  return Settings;
}

/// One holder; its platform calls are answered when they are made.
struct Holder {
  Platform &Store;
  IntentLog Log;
  TimePoint Now{hours(1)};
  std::map<RequestKey, AnswerIntent> Answers{};
  std::deque<WriteObject> HeldWrites{};
  bool HoldsWrites = false; ///< keeps writes under way

  Holder(Platform &Objects, std::uint64_t Host)
      : Store(Objects), Log(settingsOf(Host)) {
    tick();
  }
  void step(const IntentLogEvent &Event) {
    for (const IntentLogAction &Each : Log.step(Event, Now))
      std::visit([this](const auto &Known) { act(Known); }, Each);
  }
  void act(const ReadObject &Call) { step(Store.read(Call)); }
  void act(const WriteObject &Call) {
    if (HoldsWrites)
      return HeldWrites.push_back(Call);
    step(Store.write(Call));
  }
  void act(const AnswerIntent &Answer) { Answers[Answer.Request] = Answer; }
  void tick() {
    step(IntentLogTicked{WallTime(Now.time_since_epoch() + hours(1000))});
  }
  void wait(Duration Time) {
    for (const TimePoint End = Now + Time; Now < End; Now += milliseconds(50))
      tick();
    tick();
  }
  std::optional<IntentDecision> verdict(const RequestKey &Request) const {
    const auto Found = Answers.find(Request);
    if (Found == Answers.end())
      return std::nullopt;
    return Found->second.Decision;
  }
  void ask(const RequestKey &Request, std::uint64_t Body = 5) {
    step(IntentRequested{Request, Key, Body, seconds(30)});
  }
  void end(const RequestKey &Request, bool Released, int Status) {
    step(OutcomeReported{Request, Key, Released, Status});
    wait(seconds(1));
  }
};

RequestKey request(std::uint64_t Id) {
  return {HostId{50}, IncarnationId{1}, RequestId{Id}};
}

const RequestKey R1 = request(1);
const RequestKey R2 = request(2);
constexpr auto Fresh = IntentDecision::Fresh;
constexpr auto InProgress = IntentDecision::InProgress;
constexpr auto Unavailable = IntentDecision::Unavailable;

} // namespace

TEST_CASE("a key is recorded once, whoever holds its shard") {
  Platform Store;
  Holder A(Store, 1);
  Holder B(Store, 2);
  A.ask(R1);
  REQUIRE(A.verdict(R1) == Fresh);

  SUBCASE("asked again by the same request, it is fresh, here and elsewhere") {
    A.Answers.clear();
    A.ask(R1);
    B.ask(R1);
    CHECK(A.verdict(R1) == Fresh);
    CHECK(B.verdict(R1) == Fresh);
  }
  SUBCASE("another request with it is told that the first may be running") {
    A.ask(R2);
    B.ask(R2);
    CHECK(A.verdict(R2) == InProgress);
    CHECK(B.verdict(R2) == InProgress);
  }
  SUBCASE("another body is told apart") {
    B.ask(R2, 6);
    CHECK(B.verdict(R2) == IntentDecision::BodyDiffers);
  }
  SUBCASE("its outcome is found by a third holder") {
    B.end(R1, false, 201); // B has not read the intent yet
    Holder C(Store, 3);
    C.ask(R2);
    CHECK(C.verdict(R2) == IntentDecision::Applied);
    CHECK(C.Answers[R2].AppliedStatus == 201);
  }
  SUBCASE("released by its request, it is free for the next") {
    B.end(R1, true, 0);
    A.ask(R2); // A's own records are out of date
    CHECK(A.verdict(R2) == InProgress);
    B.ask(R2);
    CHECK(B.verdict(R2) == Fresh);
  }
  SUBCASE("a release by another request changes nothing") {
    A.end(R2, true, 0);
    A.ask(R2);
    CHECK(A.verdict(R2) == Unavailable); // that request has ended
    A.ask(request(3));
    CHECK(A.verdict(request(3)) == InProgress);
  }
  SUBCASE("it is forgotten after the retention, not before") {
    A.wait(minutes(59));
    A.ask(R2);
    CHECK(A.verdict(R2) == InProgress);
    A.wait(minutes(2));
    A.ask(request(3));
    CHECK(A.verdict(request(3)) == Fresh);
  }
}

TEST_CASE("two holders append at the same time") {
  Platform Store;
  Holder A(Store, 1);
  Holder B(Store, 2);
  A.HoldsWrites = true;
  A.ask(R1);
  REQUIRE(A.HeldWrites.size() == 1);
  B.ask(R2);
  CHECK(B.verdict(R2) == Fresh);
  A.HoldsWrites = false;
  A.step(Store.write(A.HeldWrites.front()));
  CHECK(A.verdict(R1) == InProgress);
}

TEST_CASE("the answer to a write is lost") {
  Platform Store;
  Holder A(Store, 1);
  A.HoldsWrites = true;
  A.ask(R1);
  const WriteObject Sent = A.HeldWrites.front();

  SUBCASE("it stood: sent again, it conflicts with itself and is found") {
    Store.write(Sent);
    A.HoldsWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK(A.verdict(R1) == Fresh);
    CHECK(Store.Objects["intents/0/0"].size() == 1);
  }
  SUBCASE("it is found also when the first reads are stale") {
    Store.write(Sent);
    Store.StaleReads = 2;
    A.HoldsWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK_FALSE(A.verdict(R1).has_value());
    A.wait(seconds(1));
    CHECK(A.verdict(R1) == Fresh);
  }
  SUBCASE("it is still under way, and arrives after the one sent again") {
    A.HoldsWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK(A.verdict(R1) == Fresh);
    CHECK(Store.write(Sent).Result == WriteResult::Conflict);
  }
  SUBCASE("the platform goes down with it") {
    Store.write(Sent);
    Store.Down = true;
    A.HoldsWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK(A.verdict(R1) == Unavailable); // at once: it will not be dispatched

    SUBCASE("the holder frees no key by itself: the origin may ask elsewhere") {
      Store.Down = false;
      A.wait(seconds(10));
      Holder B(Store, 2);
      B.ask(R1);
      CHECK(B.verdict(R1) == Fresh);
      B.ask(R2);
      CHECK(B.verdict(R2) == InProgress);
    }
    SUBCASE("told that the request has ended, it frees the key once it can") {
      A.end(R1, true, 0);
      Store.Down = false;
      A.wait(seconds(10));
      Holder B(Store, 2);
      B.ask(R2);
      CHECK(B.verdict(R2) == Fresh);
    }
    SUBCASE("meanwhile new intents are refused at once") {
      A.ask(R2);
      CHECK(A.verdict(R2) == Unavailable);
    }
  }
}

TEST_CASE("a request that has ended is not recorded any more") {
  Platform Store;
  Holder A(Store, 1);
  A.end(R1, true, 0);
  A.ask(R1); // overtaken on its way
  CHECK(A.verdict(R1) == Unavailable);

  SUBCASE("and is released when another holder's write of it turns up") {
    Holder B(Store, 2);
    B.ask(R1);
    CHECK(B.verdict(R1) == Fresh);
    A.ask(R2); // conflicts, reads B's record, and answers from it
    A.wait(seconds(1));
    CHECK(A.verdict(R2) == Fresh); // after the release, in the same write
  }
}

TEST_CASE("nothing is recorded before the wall time is known") {
  Platform Store;
  IntentLog Log(settingsOf(1));
  Log.step(IntentRequested{R1, Key, 5, seconds(30)}, TimePoint(seconds(1)));
  Log.step(ObjectRead{PlatformCallId{1}}, TimePoint(seconds(1)));
  const auto Actions =
      Log.step(ObjectRead{PlatformCallId{2}}, TimePoint(seconds(1)));
  CHECK(Actions.empty());
  const auto Later =
      Log.step(IntentLogTicked{WallTime(hours(1000))}, TimePoint(seconds(2)));
  REQUIRE(Later.size() == 1);
  CHECK(std::holds_alternative<WriteObject>(Later.front()));
}

TEST_CASE("a shard grows over many segments, and a new holder reads them") {
  Platform Store;
  Holder A(Store, 1);
  for (std::uint64_t Row = 1; Row <= 300; ++Row) {
    A.step(IntentRequested{request(Row), {0, Row}, 5, seconds(30)});
    A.wait(milliseconds(100));
    REQUIRE(A.verdict(request(Row)) == Fresh);
  }
  CHECK(Store.Objects.size() > 20);
  Holder B(Store, 2);
  for (std::uint64_t Row = 1; Row <= 300; ++Row) {
    B.step(IntentRequested{request(1000 + Row), {0, Row}, 5, seconds(30)});
    CHECK(B.verdict(request(1000 + Row)) == InProgress);
  }

  SUBCASE("a corrupt segment lets nothing through") {
    for (auto &[Name, Versions] : Store.Objects)
      if (Name == "intents/0/3")
        Versions.push_back(Versions.back().substr(1));
    Holder C(Store, 3);
    C.step(IntentRequested{request(2001), {0, 999}, 5, seconds(30)});
    C.wait(seconds(3));
    CHECK(C.verdict(request(2001)) == Unavailable);
  }
  SUBCASE("a holder that paused meanwhile goes on from the new tail") {
    for (std::uint64_t Row = 301; Row <= 400; ++Row) {
      B.step(IntentRequested{request(Row), {0, Row}, 5, seconds(30)});
      B.wait(milliseconds(100));
    }
    A.step(IntentRequested{request(5000), {0, 400}, 5, seconds(30)});
    A.wait(seconds(1));
    CHECK(A.verdict(request(5000)) == InProgress);
  }
}

TEST_CASE("operators change how long keys are remembered") {
  Platform Store;
  Holder A(Store, 1);
  A.ask(R1);
  REQUIRE(A.verdict(R1) == Fresh);
  A.end(R1, false, 200);

  SUBCASE("a shorter time leaves keys that were promised a longer one") {
    A.step(RetentionChanged{minutes(5)});
    A.wait(minutes(10));
    A.ask(R2);
    CHECK(A.verdict(R2) == IntentDecision::Applied);
  }
  SUBCASE("and is in force once those have run out") {
    A.step(RetentionChanged{minutes(5)});
    A.Now += hours(1);
    A.tick();
    A.ask(R2);
    REQUIRE(A.verdict(R2) == Fresh);
    A.end(R2, false, 200);
    A.Now += minutes(6);
    A.tick();
    A.ask(request(3));
    CHECK(A.verdict(request(3)) == Fresh);
  }
  SUBCASE("a longer time holds for what is known") {
    A.step(RetentionChanged{hours(3)});
    A.Now += hours(2);
    A.tick();
    A.ask(R2);
    CHECK(A.verdict(R2) == IntentDecision::Applied);
  }
}

TEST_CASE("a shard's ring is full of keys within the retention") {
  Platform Store;
  Holder A(Store, 1);
  std::uint64_t Row = 0;
  while (A.verdict(request(Row)).value_or(Fresh) == Fresh && Row < 20000) {
    ++Row;
    A.step(IntentRequested{request(Row), {0, Row}, 5, seconds(30)});
    A.wait(milliseconds(100));
  }
  CHECK(A.verdict(request(Row)) == Unavailable);
  CHECK(Row > 5 * SegmentSlots);
  SUBCASE("and takes intents again once the oldest are past it") {
    A.wait(minutes(59));
    A.ask(request(6000));
    A.wait(seconds(1));
    CHECK(A.verdict(request(6000)) == Fresh);
  }
}

TEST_CASE("writes stay within the budget, and intents share them") {
  Platform Store;
  Holder A(Store, 1);
  for (std::uint64_t Row = 1; Row <= 2000; ++Row) {
    A.step(IntentRequested{request(Row), {0, Row}, 5, seconds(30)});
    A.Now += milliseconds(1);
    if (Row % 10 == 0)
      A.tick();
  }
  A.wait(seconds(1));
  CHECK(A.Answers.size() == 2000);
  CHECK(A.Log.stats().Writes <= 3 * 20 + 4 + 1);
}
