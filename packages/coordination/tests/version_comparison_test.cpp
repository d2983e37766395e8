/// Tests of the sequential comparison of two versions.
#include "marjorambay/coordination/version_comparison.h"

#include <doctest/doctest.h>

#include <random>

namespace marjorambay {
namespace {

/// Feeds batches of one stratum, with given probabilities of a bad answer.
struct Feed {
  VersionComparison Test{};
  std::mt19937 Random{7};
  std::uint64_t NewAnswers = 0;

  std::uint32_t drawBad(std::uint32_t Count, double Chance) {
    return std::binomial_distribution<std::uint32_t>(Count, Chance)(Random);
  }
  void batch(double OldChance, double NewChance,
             FaultKind Kind = FaultKind::Errors, RouteId Route = {}) {
    EvidenceCell Cell;
    Cell.Stratum.Route = Route;
    Cell.Kind = Kind;
    Cell.OldAnswers = 99;
    Cell.OldBad = drawBad(Cell.OldAnswers, OldChance);
    Cell.NewAnswers = 1;
    Cell.NewBad = drawBad(1, NewChance);
    Test.add({Cell});
    ++NewAnswers;
  }
};

TEST_CASE("a new version is compared with the old one") {
  Feed Answers;

  SUBCASE("an equally good version does not trip in a long run") {
    for (int Batch = 0; Batch < 20000; ++Batch)
      Answers.batch(0.01, 0.01);
    CHECK_FALSE(Answers.Test.tripped());

    SUBCASE("and good earlier answers do not hide a fault that begins late") {
      Answers.NewAnswers = 0;
      while (!Answers.Test.tripped() && Answers.NewAnswers < 200)
        Answers.batch(0.01, 0.5);
      CHECK(Answers.Test.tripped());
      CHECK(Answers.NewAnswers < 30);
    }
  }
  SUBCASE("a version that always fails trips within six answers") {
    while (!Answers.Test.tripped() && Answers.NewAnswers < 100)
      Answers.batch(0.01, 1);
    CHECK(Answers.NewAnswers <= 6);
    CHECK(Answers.Test.trippedBy() == FaultKind::Errors);
  }
  SUBCASE("a version that fails on one route of five trips") {
    while (!Answers.Test.tripped() && Answers.NewAnswers < 400) {
      const RouteId Route{Answers.NewAnswers % 5};
      Answers.batch(0.01, Route == RouteId{3} ? 0.8 : 0.01, FaultKind::Errors,
                    Route);
    }
    CHECK(Answers.NewAnswers < 100);
  }
  SUBCASE("a fault of both versions does not trip the new one") {
    for (int Batch = 0; Batch < 500; ++Batch)
      Answers.batch(0.01, 0.01);
    for (int Batch = 0; Batch < 500; ++Batch)
      Answers.batch(0.4, 0.4);
    CHECK_FALSE(Answers.Test.tripped());
  }
  SUBCASE("slow answers trip as slowness") {
    while (!Answers.Test.tripped() && Answers.NewAnswers < 400)
      Answers.batch(0.25, 0.9, FaultKind::Slowness);
    CHECK(Answers.Test.trippedBy() == FaultKind::Slowness);
    CHECK(Answers.NewAnswers < 60);
  }
}

} // namespace
} // namespace marjorambay
