/// Tests of the origin: a request is dispatched and answered at most once.
#include "marjorambay/coordination/origin.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace marjorambay;

namespace {

constexpr PoolId Pool{3};
constexpr TargetId Fast{1};
constexpr TargetId Slow{2};
constexpr RequestId First{1};

CallerRequested completion(RequestId Id = First) {
  CallerRequested Call;
  Call.Id = Id;
  Call.Account = AccountId{9};
  Call.Pool = Pool;
  Call.TimeLeft = seconds(10);
  return Call;
}

CallerRequested confirmation(RequestId Id = First) {
  CallerRequested Call = completion(Id);
  Call.Kind = RouteKind::NonIdempotentCall;
  Call.Key = {1, 2};
  return Call;
}

template <typename Action> std::size_t count(const OriginActions &Actions) {
  return static_cast<std::size_t>(
      std::count_if(Actions.begin(), Actions.end(), [](const auto &Each) {
        return std::holds_alternative<Action>(Each);
      }));
}

template <typename Action> Action only(const OriginActions &Actions) {
  REQUIRE(count<Action>(Actions) == 1);
  for (const OriginAction &Each : Actions)
    if (const Action *Found = std::get_if<Action>(&Each))
      return *Found;
  return {};
}

/// An origin and its clock.
struct Fixture {
  Origin Tested{OriginSettings{HostId{1}, IncarnationId{1}}, SplitMix64(1)};
  TimePoint Now{hours(1)};

  OriginActions step(const OriginEvent &Event) {
    return Tested.step(Event, Now);
  }
  OriginActions after(Duration Wait) {
    Now += Wait;
    return step(OriginTicked{});
  }
  void dispatchFirst() {
    step(completion());
    REQUIRE(count<Dispatch>(step(SlotGranted{First, Fast, Pool})) == 1);
  }
};

DispatchNotSent notSent(std::uint32_t Attempt) { return {First, Attempt}; }

} // namespace

TEST_CASE("a completion reserves a slot, is dispatched and answered") {
  Fixture It;
  const auto Requested = only<RequestSlot>(It.step(completion()));
  CHECK(Requested.Request.Remaining == seconds(10));
  CHECK(Requested.Request.Cost.Output == 256);
  const auto Sent = only<Dispatch>(It.step(SlotGranted{First, Fast, Pool}));
  CHECK(Sent.NotAfter == It.Now + seconds(10));
  CHECK(It.Tested.heldGrants(Pool, It.Now).size() == 1);

  SUBCASE("a second grant of the same slot changes nothing") {
    CHECK(It.step(SlotGranted{First, Fast, Pool}).empty());
  }
  SUBCASE("a grant of another slot is released, not dispatched") {
    const auto Actions = It.step(SlotGranted{First, Slow, Pool});
    CHECK(only<ReleaseSlot>(Actions).Target == Slow);
    CHECK(count<Dispatch>(Actions) == 0);
  }
  SUBCASE("the answer streams to its end") {
    CHECK(It.step(AnswerProgressed{First, 1, 1}).empty());
    AnswerCompleted Completed;
    Completed.Id = First;
    Completed.OutputTokens = 40;
    const auto Actions = It.step(Completed);
    CHECK(count<CompleteRequest>(Actions) == 1);
    CHECK(only<ReleaseSlot>(Actions).Used.OutputTokens == 40);
    CHECK(It.Tested.idle());

    SUBCASE("a late part, end or grant has no effect on the caller") {
      CHECK(It.step(AnswerProgressed{First, 1, 1}).empty());
      CHECK(It.step(Completed).empty());
      CHECK(count<Dispatch>(It.step(SlotGranted{First, Slow, Pool})) == 0);
    }
    SUBCASE("the next answer is expected to be as long") {
      const auto Next = only<RequestSlot>(It.step(completion(RequestId{2})));
      CHECK(Next.Request.Cost.Output == 40);
    }
  }
  SUBCASE("an interrupted stream is an error and is not retried") {
    It.step(AnswerProgressed{First, 1, 1});
    const auto Actions = It.step(AnswerInterrupted{First, 1});
    CHECK(only<FailRequest>(Actions).Reason.Kind == ErrorKind::AnswerCut);
    CHECK(only<FailRequest>(Actions).Ran == MayHaveRun::Maybe);
    CHECK(count<RequestSlot>(Actions) == 0);
  }
  SUBCASE(
      "a connection that is lost before any answer has an unknown outcome") {
    const auto Actions = It.step(AnswerInterrupted{First, 1});
    CHECK(only<FailRequest>(Actions).Reason.Kind == ErrorKind::OutcomeUnknown);
  }
  SUBCASE(
      "it times out if the target stops sending; progress extends the time") {
    It.Now += seconds(9);
    It.step(AnswerProgressed{First, 1, 1});
    CHECK(It.after(milliseconds(900)).empty());
    const auto Actions = It.after(milliseconds(100)); // the deadline
    CHECK(only<FailRequest>(Actions).Reason.Kind == ErrorKind::AnswerTimeout);
    CHECK(count<CancelDispatch>(Actions) == 1);
  }
  SUBCASE(
      "the caller disconnects: the stream is cancelled, the slot released") {
    const auto Actions = It.step(CallerDisconnected{First});
    CHECK(count<CancelDispatch>(Actions) == 1);
    CHECK(only<ReleaseSlot>(Actions).Used.Outcome ==
          DispatchOutcome::Cancelled);
    CHECK(count<FailRequest>(Actions) == 0);
  }
}

TEST_CASE("a dispatch that provably did not run is retried, within limits") {
  Fixture It;
  It.dispatchFirst();
  const auto Actions = It.step(notSent(1));
  CHECK(only<ReportTargetUnavailable>(Actions).Target == Fast);
  CHECK(only<ReleaseSlot>(Actions).Used.Outcome == DispatchOutcome::NotRun);
  CHECK(count<RequestSlot>(It.after(milliseconds(30))) == 1);
  CHECK(only<Dispatch>(It.step(SlotGranted{First, Slow, Pool})).Attempt == 2);

  SUBCASE(
      "a duplicate report of the first attempt does not affect the second") {
    CHECK(It.step(notSent(1)).empty());
    CHECK(It.step(AnswerInterrupted{First, 1}).empty());
  }
  SUBCASE("after the last attempt the caller gets a Retry-After") {
    It.step(notSent(2));
    for (std::uint32_t Attempt = 3; Attempt <= 4; ++Attempt) {
      It.after(milliseconds(100));
      It.step(SlotGranted{First, Fast, Pool});
      const auto Final = It.step(notSent(Attempt));
      CHECK(count<FailRequest>(Final) == (Attempt == 4 ? 1 : 0));
      if (Attempt < 4)
        continue;
      CHECK(only<FailRequest>(Final).Ran == MayHaveRun::No);
      CHECK(only<FailRequest>(Final).Reason.RetryAfter > Duration(0));
    }
  }
  SUBCASE(
      "no grant is dispatched to a target that reported that it is leaving") {
    LocalTargetsChanged Local{Pool, {}, 1};
    Local.Targets.resize(1);
    Local.Targets.front().Id = Slow;
    It.step(Local);
    TargetDeclined Declined;
    Declined.Id = First;
    Declined.Leaving = true;
    Declined.Attempt = 2;
    CHECK(only<ReportTargetUnavailable>(It.step(Declined)).Leaving);
    It.after(milliseconds(100));
    const auto Again = It.step(SlotGranted{First, Slow, Pool});
    CHECK(count<Dispatch>(Again) == 0);
    CHECK(only<ReleaseSlot>(Again).Target == Slow);
    CHECK_FALSE(only<ReportTargetUnavailable>(Again).Leaving);
    CHECK(count<RequestSlot>(It.after(milliseconds(100))) == 1);
  }
}

TEST_CASE("retries of one account stay within its budget") {
  Fixture It;
  const auto RetriedOf200 = [&It]() {
    std::size_t Retried = 0;
    for (std::uint64_t Row = 1; Row <= 200; ++Row) {
      It.step(completion(RequestId{Row}));
      It.step(SlotGranted{RequestId{Row}, Fast, Pool});
      const auto Actions = It.step(DispatchNotSent{RequestId{Row}, 1});
      Retried += 1 - count<FailRequest>(Actions);
      It.step(CallerDisconnected{RequestId{Row}});
    }
    return Retried;
  };
  SUBCASE("a tenth of the requests plus a reserve") {
    const std::size_t Retried = RetriedOf200();
    CHECK(Retried >= 20); // a tenth of 200
    CHECK(Retried <= 30); // plus the reserve of 10
  }
  SUBCASE("or the ratio from the configuration") {
    DefaultsChanged Defaults;
    Defaults.RetryRatio = 0.3;
    It.step(Defaults);
    const std::size_t Retried = RetriedOf200();
    CHECK(Retried >= 60);
    CHECK(Retried <= 70);

    SUBCASE("and a later change applies as well") {
      Defaults.RetryRatio = 0;
      It.step(Defaults);
      CHECK(RetriedOf200() <= 10);
    }
  }
}

TEST_CASE("a queued request") {
  Fixture It;
  It.step(completion());
  SUBCASE("sends its reservation again with backoff if no answer arrives") {
    CHECK(count<RequestSlot>(It.after(seconds(1))) == 1);
    CHECK(count<RequestSlot>(It.after(seconds(1))) == 0);
    CHECK(count<RequestSlot>(It.after(seconds(1))) == 1);
  }
  SUBCASE("sends its reservation to a new arbiter") {
    CHECK(count<RequestSlot>(It.step(ArbiterChanged{Pool, true})) == 1);
  }
  SUBCASE("is refused at once, with a Retry-After") {
    const auto Actions =
        It.step(SlotRefused{First, ErrorKind::Overloaded, milliseconds(700)});
    CHECK(only<FailRequest>(Actions).Reason.RetryAfter == milliseconds(700));
    CHECK(only<FailRequest>(Actions).Ran == MayHaveRun::No);
  }
  SUBCASE("ends at its deadline, not run, and releases a late grant") {
    const auto Actions = It.after(seconds(10));
    CHECK(only<FailRequest>(Actions).Reason.Kind == ErrorKind::DeadlinePassed);
    CHECK(count<CancelSlotRequest>(Actions) == 1);
    const auto Late = It.step(SlotGranted{First, Fast, Pool});
    CHECK(only<ReleaseSlot>(Late).Pool == Pool);
    CHECK(count<Dispatch>(Late) == 0);
  }
  SUBCASE(
      "is not dispatched by a grant that a frozen origin receives too late") {
    It.Now += seconds(11);
    const auto Actions = It.step(SlotGranted{First, Fast, Pool});
    CHECK(count<Dispatch>(Actions) == 0);
    CHECK(count<FailRequest>(Actions) == 1);
  }
  SUBCASE("finishes on a draining host, which accepts no new one") {
    It.step(DrainStarted{});
    const auto Refused = It.step(completion(RequestId{2}));
    CHECK(only<FailRequest>(Refused).Reason.Kind == ErrorKind::ShuttingDown);
    CHECK(count<Dispatch>(It.step(SlotGranted{First, Fast, Pool})) == 1);
  }
  SUBCASE("times out after the dispatch timeout of the configuration") {
    DefaultsChanged Defaults;
    Defaults.DispatchTimeout = seconds(2);
    It.step(Defaults);
    It.step(SlotGranted{First, Fast, Pool});
    It.Now += seconds(3);
    const auto Cut = It.step(OriginTicked{});
    CHECK(only<FailRequest>(Cut).Reason.Kind == ErrorKind::AnswerTimeout);
  }
  SUBCASE("counts against its account's limit") {
    It.step(AccountLimitChanged{AccountId{9}, 1});
    const auto Refused = It.step(completion(RequestId{2}));
    CHECK(only<FailRequest>(Refused).Reason.Kind ==
          ErrorKind::AccountQueueFull);
    It.step(SlotGranted{First, Fast, Pool});
    CHECK(count<RequestSlot>(It.step(completion(RequestId{3}))) == 1);
  }
}

TEST_CASE(
    "without an arbiter the host uses its local share, highest tier first") {
  Fixture It;
  LocalTargetsChanged Local{Pool, {}, 2};
  Local.Targets.resize(1);
  Local.Targets.front().Id = Fast;
  Local.Targets.front().MaxRequestsInFlight = 2; // this host's share is one
  It.step(Local);
  CallerRequested Low = completion();
  Low.Tier = TierRank{2};
  It.step(Low);
  It.step(completion(RequestId{2}));
  const auto Actions = It.step(ArbiterChanged{Pool, false});
  CHECK(only<Dispatch>(Actions).Id == RequestId{2});
  CHECK(count<CancelSlotRequest>(Actions) == 1);

  SUBCASE("one by one, as its slots become free") {
    AnswerCompleted Completed;
    Completed.Id = RequestId{2};
    CHECK(only<Dispatch>(It.step(Completed)).Id == First);
  }
  SUBCASE("but not by a target list from before the host was frozen") {
    It.Now += seconds(4);
    AnswerCompleted Completed;
    Completed.Id = RequestId{2};
    CHECK(count<Dispatch>(It.step(Completed)) == 0);
    CHECK(count<Dispatch>(It.step(Local)) == 1);
  }
}

TEST_CASE(
    "a non-idempotent call is dispatched only after its intent is recorded") {
  Fixture It;
  const auto Actions = It.step(confirmation());
  CHECK(count<RecordIntent>(Actions) == 1);
  CHECK(count<RequestSlot>(Actions) == 0);

  SUBCASE("fresh: it reserves, runs, and its outcome is recorded") {
    CHECK(count<RequestSlot>(
              It.step(IntentDecided{First, IntentDecision::Fresh})) == 1);
    It.step(SlotGranted{First, Fast, Pool});
    SUBCASE("with its status") {
      AnswerCompleted Completed;
      Completed.Id = First;
      Completed.HttpStatus = 201;
      CHECK(only<RecordOutcome>(It.step(Completed)).HttpStatus == 201);
    }
    SUBCASE("as unknown, never released, when the answer is interrupted") {
      const auto Outcome =
          only<RecordOutcome>(It.step(AnswerInterrupted{First, 1}));
      CHECK_FALSE(Outcome.Released);
      CHECK(Outcome.HttpStatus == 0);
    }
    SUBCASE("also after its caller has disconnected") {
      CHECK(It.step(CallerDisconnected{First}).empty());
      AnswerCompleted Completed;
      Completed.Id = First;
      const auto Final = It.step(Completed);
      CHECK(only<RecordOutcome>(Final).HttpStatus == 200);
      CHECK(count<CompleteRequest>(Final) == 0);
    }
    SUBCASE("and a duplicate Fresh after its end releases nothing") {
      It.step(AnswerInterrupted{First, 1});
      CHECK(It.step(IntentDecided{First, IntentDecision::Fresh}).empty());
    }
  }
  SUBCASE("applied before: the recorded outcome is replayed") {
    const auto Final =
        It.step(IntentDecided{First, IntentDecision::Applied, 201});
    CHECK(only<ReplayOutcome>(Final).HttpStatus == 201);
    CHECK(count<RecordOutcome>(Final) == 0);
  }
  SUBCASE(
      "in progress elsewhere: it may have run, and its key is not released") {
    const auto Final =
        It.step(IntentDecided{First, IntentDecision::InProgress});
    CHECK(only<FailRequest>(Final).Ran == MayHaveRun::Maybe);
    CHECK(count<RecordOutcome>(Final) == 0);
  }
  SUBCASE("a different body: refused, not run") {
    const auto Final =
        It.step(IntentDecided{First, IntentDecision::BodyDiffers});
    CHECK(only<FailRequest>(Final).Reason.Kind ==
          ErrorKind::IdempotencyKeyReused);
  }
  SUBCASE("the platform is unreachable: not run, retry later, key released") {
    const auto Final =
        It.step(IntentDecided{First, IntentDecision::Unavailable});
    CHECK(only<FailRequest>(Final).Ran == MayHaveRun::No);
    CHECK(only<FailRequest>(Final).Reason.RetryAfter > Duration(0));
    CHECK(only<RecordOutcome>(Final).Released);
  }
  SUBCASE("the caller disconnects first: a late Fresh releases the key again") {
    CHECK(only<RecordOutcome>(It.step(CallerDisconnected{First})).Released);
    const auto Late = It.step(IntentDecided{First, IntentDecision::Fresh});
    CHECK(only<RecordOutcome>(Late).Released);
    CHECK(Late.size() == 1);
  }
}

TEST_CASE("targets that deduplicate keys serve without the platform") {
  Fixture It;
  CallerRequested Call = confirmation();
  Call.TargetsDeduplicate = true;
  It.step(Call);
  CHECK(count<RequestSlot>(
            It.step(IntentDecided{First, IntentDecision::Unavailable})) == 1);
}
