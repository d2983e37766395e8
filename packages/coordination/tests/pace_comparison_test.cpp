/// Tests of the pace of streams, and of the comparison of versions by it.
#include "marjorambay/coordination/pace_comparison.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

TimePoint atMs(int Ms) { return TimePoint(hours(1)) + milliseconds(Ms); }

TEST_CASE("the pace of a stream") {
  EventPace Pace;
  SUBCASE("is not known from its first events") {
    for (int Event = 0; Event < 4; ++Event)
      Pace.add(1, atMs(10 * Event));
    CHECK_FALSE(Pace.pace());
    Pace.add(1, atMs(40));
    CHECK(Pace.pace() == milliseconds(10));
    CHECK_FALSE(Pace.complete());
  }
  SUBCASE("is that of the events between which the target did little else") {
    int Ms = 0;
    for (const int Gap : {0, 60, 35, 90, 10, 10, 45, 80})
      Pace.add(1, atMs(Ms += Gap));
    CHECK(Pace.pace() == milliseconds(10));
  }
  SUBCASE("is the mean where a target sends at two intervals in turn") {
    int Ms = 0;
    for (const int Gap : {0, 8, 16, 8, 16, 8})
      Pace.add(1, atMs(Ms += Gap));
    CHECK(Pace.pace() == milliseconds(12));
  }
  SUBCASE("counts events that were read together one after the other") {
    Pace.add(3, atMs(0)); // when the first two were sent is not known
    Pace.add(4, atMs(80));
    CHECK(Pace.pace() == milliseconds(20));
  }
  SUBCASE("is settled after a dozen intervals") {
    for (int Event = 0; Event < 13; ++Event)
      Pace.add(1, atMs(10 * Event));
    CHECK(Pace.complete());
    Pace.add(1, atMs(121));
    Pace.add(1, atMs(122));
    CHECK(Pace.pace() == milliseconds(10));
  }
}

// Guards against a pace that no target has: each chunk of a response is passed
// on by itself, so that events of one read differ by microseconds.
TEST_CASE("the pace of a stream is not that at which one read is processed") {
  EventPace Pace;
  Pace.add(1, atMs(0));
  for (int Event = 0; Event < 4; ++Event)
    Pace.add(1, atMs(80) + microseconds(20 * Event));
  CHECK(Pace.pace() >= milliseconds(15));
}

// Guards against a stall of the host that makes a target look faster: events
// are read late and the next ones on time.
TEST_CASE("the pace of a stream leaves out events that were read late" *
          doctest::should_fail()) {
  EventPace Pace;
  Pace.add(1, atMs(0));
  Pace.add(4, atMs(95));
  for (const int Ms : {100, 120, 140, 160})
    Pace.add(1, atMs(Ms));
  CHECK(Pace.pace() >= milliseconds(18));
}

/// Old targets of two kinds of hardware, and new ones to be added.
struct PaceStory {
  PaceComparison Comparison{};
  std::uint64_t Targets = 0;

  PaceStory() {
    for (int Target = 0; Target < 4; ++Target)
      add(false, milliseconds(10), 8);
    for (int Target = 0; Target < 8; ++Target)
      add(false, milliseconds(30), 8);
  }

  /// Streams of a further target.
  void add(bool IsNew, Duration Pace, std::size_t Streams) {
    ++Targets;
    for (std::size_t Stream = 0; Stream < Streams; ++Stream)
      Comparison.add({{TargetId{Targets}, IsNew, Pace}});
  }
};

// Guards against the rollback of a good version that only has the slower
// hardware, beside old targets of that hardware which are loaded.
TEST_CASE("a version that is faster than loaded targets is not slower" *
          doctest::should_fail()) {
  PaceComparison Loaded;
  for (std::uint64_t Target = 1; Target <= 16; ++Target)
    for (int Stream = 0; Stream < 12; ++Stream)
      Loaded.add({{TargetId{Target}, Target > 12,
                   milliseconds(Target > 12 ? 30 : (Target > 4 ? 36 : 10))}});
  CHECK_FALSE(Loaded.isSlower(16));
}

TEST_CASE("a version's paces") {
  constexpr std::size_t Enough = 16;
  PaceStory S;
  SUBCASE("twice as slow on the same hardware") {
    S.add(true, milliseconds(20), 6);
    S.add(true, milliseconds(20), 6);
    CHECK_FALSE(S.Comparison.isSlower(Enough));
    S.add(true, milliseconds(60), 6);
    CHECK(S.Comparison.isSlower(Enough));
    CHECK(*S.Comparison.ratio() == doctest::Approx(2));

    SUBCASE("in spite of a stream that looks faster than it was") {
      S.add(true, milliseconds(4), 1);
      CHECK(S.Comparison.isSlower(Enough));
    }
  }
  SUBCASE("so slow that the fast hardware has the pace of the slow one") {
    S.add(true, milliseconds(30), 12);
    CHECK_FALSE(S.Comparison.isSlower(Enough));
    S.add(true, milliseconds(90), 2);
    S.add(true, milliseconds(90), 2);
    CHECK(S.Comparison.isSlower(Enough));
  }
  SUBCASE("equal") {
    S.add(true, milliseconds(10), 12);
    S.add(true, milliseconds(30), 12);
    CHECK_FALSE(S.Comparison.isSlower(Enough));
  }
  SUBCASE("equal, on the slower hardware only") {
    for (int Target = 0; Target < 4; ++Target)
      S.add(true, milliseconds(31), 12);
    CHECK_FALSE(S.Comparison.isSlower(Enough));
  }
  SUBCASE("equal, but for one target that is slow for a reason of its own") {
    S.add(true, milliseconds(10), 12);
    S.add(true, milliseconds(300), 12);
    CHECK_FALSE(S.Comparison.isSlower(Enough));
  }
  SUBCASE("faster than any old one") {
    S.add(true, milliseconds(5), 24);
    CHECK_FALSE(S.Comparison.isSlower(Enough));
  }
  SUBCASE("without old ones to compare with") {
    PaceComparison Comparison;
    for (int Stream = 0; Stream < 32; ++Stream)
      Comparison.add({{TargetId{1}, true, seconds(1)}});
    CHECK_FALSE(Comparison.isSlower(Enough));
    CHECK_FALSE(Comparison.ratio());
  }
}

} // namespace
} // namespace marjorambay
