/// Tests of the intent log over a fake platform: several hosts, lost responses
/// and outages.
#include "marjorambay/coordination/intent_log.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <optional>

using namespace marjorambay;

namespace {

constexpr KeyHash Key{0, 77};

/// A store of versioned objects that can be down or lose the responses to
/// writes.
struct Platform {
  std::map<std::string, std::vector<std::string>> Objects{};
  bool Down = false;
  bool LosesResponses = false;
  /// Number of next reads that return the previous version.
  std::size_t StaleReads = 0;

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
    if (LosesResponses)
      return {Call.Call, WriteResult::Unknown, 0};
    return {Call.Call, WriteResult::Committed, Versions.size()};
  }
};

IntentLogSettings settingsOf(std::uint64_t Number) {
  IntentLogSettings Settings;
  Settings.Self = HostId{Number};
  Settings.Incarnation = IncarnationId{1};
  Settings.Shards = 1;
  Settings.SegmentBytes = 400;
  return Settings;
}

/// One host with an intent log; its platform calls are answered immediately.
struct Host {
  Platform &Store;
  IntentLog Log;
  TimePoint Now{hours(1)};
  std::map<RequestKey, AnswerIntent> Answers{};
  std::deque<WriteObject> PendingWrites{};
  bool DelaysWrites = false; ///< keeps writes in flight

  Host(Platform &Objects, std::uint64_t Number)
      : Store(Objects), Log(settingsOf(Number)) {
    tick();
  }
  void step(const IntentLogEvent &Event) {
    for (const IntentLogAction &Each : Log.step(Event, Now))
      std::visit([this](const auto &Typed) { perform(Typed); }, Each);
  }
  void perform(const ReadObject &Call) { step(Store.read(Call)); }
  void perform(const WriteObject &Call) {
    if (DelaysWrites)
      return PendingWrites.push_back(Call);
    step(Store.write(Call));
  }
  void perform(const AnswerIntent &Answer) { Answers[Answer.Request] = Answer; }
  void tick() {
    step(IntentLogTicked{WallTime(Now.time_since_epoch() + hours(1000))});
  }
  void wait(Duration Time) {
    for (const TimePoint End = Now + Time; Now < End; Now += milliseconds(50))
      tick();
    tick();
  }
  std::optional<IntentDecision> decision(const RequestKey &Request) const {
    const auto Found = Answers.find(Request);
    if (Found == Answers.end())
      return std::nullopt;
    return Found->second.Decision;
  }
  void requestIntent(const RequestKey &Request, std::uint64_t Body = 5) {
    step(IntentRequested{Request, Key, Body, seconds(30)});
  }
  void reportOutcome(const RequestKey &Request, bool Released, int Status) {
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

TEST_CASE("a key is recorded once, whichever host records it") {
  Platform Store;
  Host A(Store, 1);
  Host B(Store, 2);
  A.requestIntent(R1);
  REQUIRE(A.decision(R1) == Fresh);

  SUBCASE("a repeated request for it gets Fresh, at this host and others") {
    A.Answers.clear();
    A.requestIntent(R1);
    B.requestIntent(R1);
    CHECK(A.decision(R1) == Fresh);
    CHECK(B.decision(R1) == Fresh);
  }
  SUBCASE("another request with it gets InProgress") {
    A.requestIntent(R2);
    B.requestIntent(R2);
    CHECK(A.decision(R2) == InProgress);
    CHECK(B.decision(R2) == InProgress);
  }
  SUBCASE("a different body is detected") {
    B.requestIntent(R2, 6);
    CHECK(B.decision(R2) == IntentDecision::BodyDiffers);
  }
  SUBCASE("its outcome is found by a third host") {
    B.reportOutcome(R1, false, 201); // B has not read the intent yet
    Host C(Store, 3);
    C.requestIntent(R2);
    CHECK(C.decision(R2) == IntentDecision::Applied);
    CHECK(C.Answers[R2].AppliedStatus == 201);
  }
  SUBCASE("released by its request, it is free for the next") {
    B.reportOutcome(R1, true, 0);
    A.requestIntent(R2); // A's index is outdated
    CHECK(A.decision(R2) == InProgress);
    B.requestIntent(R2);
    CHECK(B.decision(R2) == Fresh);
  }
  SUBCASE("a release by another request changes nothing") {
    A.reportOutcome(R2, true, 0);
    A.requestIntent(R2);
    CHECK(A.decision(R2) == Unavailable); // that request has ended
    A.requestIntent(request(3));
    CHECK(A.decision(request(3)) == InProgress);
  }
  SUBCASE("it expires after the retention, not before") {
    A.wait(minutes(59));
    A.requestIntent(R2);
    CHECK(A.decision(R2) == InProgress);
    A.wait(minutes(2));
    A.requestIntent(request(3));
    CHECK(A.decision(request(3)) == Fresh);
  }
}

TEST_CASE("two hosts append at the same time") {
  Platform Store;
  Host A(Store, 1);
  Host B(Store, 2);
  A.DelaysWrites = true;
  A.requestIntent(R1);
  REQUIRE(A.PendingWrites.size() == 1);
  B.requestIntent(R2);
  CHECK(B.decision(R2) == Fresh);
  A.DelaysWrites = false;
  A.step(Store.write(A.PendingWrites.front()));
  CHECK(A.decision(R1) == InProgress);
}

TEST_CASE("the response to a write is lost") {
  Platform Store;
  Host A(Store, 1);
  A.DelaysWrites = true;
  A.requestIntent(R1);
  const WriteObject Sent = A.PendingWrites.front();

  SUBCASE("it was committed: the retry conflicts with it, and it is found") {
    Store.write(Sent);
    A.DelaysWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK(A.decision(R1) == Fresh);
    CHECK(Store.Objects["intents/0/0"].size() == 1);
  }
  SUBCASE("it is found even if the first reads are stale") {
    Store.write(Sent);
    Store.StaleReads = 2;
    A.DelaysWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK_FALSE(A.decision(R1).has_value());
    A.wait(seconds(1));
    CHECK(A.decision(R1) == Fresh);
  }
  SUBCASE("it is still in flight and arrives after its retry") {
    A.DelaysWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK(A.decision(R1) == Fresh);
    CHECK(Store.write(Sent).Result == WriteResult::Conflict);
  }
  SUBCASE("the platform goes down at the same time") {
    Store.write(Sent);
    Store.Down = true;
    A.DelaysWrites = false;
    A.step(ObjectWritten{Sent.Call, WriteResult::Unknown, 0});
    CHECK(A.decision(R1) == Unavailable); // at once: it will not be dispatched

    SUBCASE("the host releases no key on its own: the origin may ask another "
            "host") {
      Store.Down = false;
      A.wait(seconds(10));
      Host B(Store, 2);
      B.requestIntent(R1);
      CHECK(B.decision(R1) == Fresh);
      B.requestIntent(R2);
      CHECK(B.decision(R2) == InProgress);
    }
    SUBCASE("after the end of the request it releases the key once it can") {
      A.reportOutcome(R1, true, 0);
      Store.Down = false;
      A.wait(seconds(10));
      Host B(Store, 2);
      B.requestIntent(R2);
      CHECK(B.decision(R2) == Fresh);
    }
    SUBCASE("meanwhile new intents are refused at once") {
      A.requestIntent(R2);
      CHECK(A.decision(R2) == Unavailable);
    }
  }
}

TEST_CASE("a request that has ended is no longer recorded") {
  Platform Store;
  Host A(Store, 1);
  A.reportOutcome(R1, true, 0);
  A.requestIntent(R1); // overtaken in transit
  CHECK(A.decision(R1) == Unavailable);

  SUBCASE("and is released when another host's record of it is read") {
    Host B(Store, 2);
    B.requestIntent(R1);
    CHECK(B.decision(R1) == Fresh);
    A.requestIntent(R2); // conflicts, reads B's record, and answers from it
    A.wait(seconds(1));
    CHECK(A.decision(R2) == Fresh); // after the release, in the same write
  }
}

TEST_CASE("nothing is recorded before the wall clock is known") {
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

TEST_CASE("a shard grows over many segments, and a new host reads them") {
  Platform Store;
  Host A(Store, 1);
  for (std::uint64_t Row = 1; Row <= 300; ++Row) {
    A.step(IntentRequested{request(Row), {0, Row}, 5, seconds(30)});
    A.wait(milliseconds(100));
    REQUIRE(A.decision(request(Row)) == Fresh);
  }
  CHECK(Store.Objects.size() > 20);
  Host B(Store, 2);
  for (std::uint64_t Row = 1; Row <= 300; ++Row) {
    B.step(IntentRequested{request(1000 + Row), {0, Row}, 5, seconds(30)});
    CHECK(B.decision(request(1000 + Row)) == InProgress);
  }

  SUBCASE("a corrupt segment blocks all intents") {
    for (auto &[Name, Versions] : Store.Objects)
      if (Name == "intents/0/3")
        Versions.push_back(Versions.back().substr(1));
    Host C(Store, 3);
    C.step(IntentRequested{request(2001), {0, 999}, 5, seconds(30)});
    C.wait(seconds(3));
    CHECK(C.decision(request(2001)) == Unavailable);
  }
  SUBCASE("a host that was paused continues from the new tail") {
    for (std::uint64_t Row = 301; Row <= 400; ++Row) {
      B.step(IntentRequested{request(Row), {0, Row}, 5, seconds(30)});
      B.wait(milliseconds(100));
    }
    A.step(IntentRequested{request(5000), {0, 400}, 5, seconds(30)});
    A.wait(seconds(1));
    CHECK(A.decision(request(5000)) == InProgress);
  }
}

TEST_CASE("operators change the retention of keys") {
  Platform Store;
  Host A(Store, 1);
  A.requestIntent(R1);
  REQUIRE(A.decision(R1) == Fresh);
  A.reportOutcome(R1, false, 200);

  SUBCASE("a shorter one does not apply to keys recorded under a longer one") {
    A.step(RetentionChanged{minutes(5)});
    A.wait(minutes(10));
    A.requestIntent(R2);
    CHECK(A.decision(R2) == IntentDecision::Applied);
  }
  SUBCASE("and takes effect once those have expired") {
    A.step(RetentionChanged{minutes(5)});
    A.Now += hours(1);
    A.tick();
    A.requestIntent(R2);
    REQUIRE(A.decision(R2) == Fresh);
    A.reportOutcome(R2, false, 200);
    A.Now += minutes(6);
    A.tick();
    A.requestIntent(request(3));
    CHECK(A.decision(request(3)) == Fresh);
  }
  SUBCASE("a longer one applies to stored keys") {
    A.step(RetentionChanged{hours(3)});
    A.Now += hours(2);
    A.tick();
    A.requestIntent(R2);
    CHECK(A.decision(R2) == IntentDecision::Applied);
  }
}

TEST_CASE("a shard's ring is full of keys within the retention") {
  Platform Store;
  Host A(Store, 1);
  std::uint64_t Row = 0;
  while (A.decision(request(Row)).value_or(Fresh) == Fresh && Row < 20000) {
    ++Row;
    A.step(IntentRequested{request(Row), {0, Row}, 5, seconds(30)});
    A.wait(milliseconds(100));
  }
  CHECK(A.decision(request(Row)) == Unavailable);
  CHECK(Row > 5 * SegmentSlots);
  SUBCASE("and accepts intents again once the oldest have expired") {
    A.wait(minutes(59));
    A.requestIntent(request(6000));
    A.wait(seconds(1));
    CHECK(A.decision(request(6000)) == Fresh);
  }
}

TEST_CASE("writes stay within the budget, and intents are batched") {
  Platform Store;
  Host A(Store, 1);
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
