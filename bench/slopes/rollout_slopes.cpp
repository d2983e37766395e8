/// Slopes of a rollout's guard: time for each answer, evidence for each batch.
#include "slopes.h"

#include "marjorambay/coordination/version_guard.h"

namespace marjorambay::bench {

namespace {

constexpr std::uint64_t Routes = 10;
constexpr std::uint8_t Loads = 3;
constexpr std::uint8_t SpeedClasses = 3;

AnswerObserved answer(std::uint64_t Number) {
  AnswerObserved Seen;
  Seen.Version = idOf<VersionId>(Number % 100 == 0 ? "v2" : "v1");
  Seen.Stratum = {RouteId{Number % Routes},
                  static_cast<std::uint8_t>(Number / Routes % Loads),
                  static_cast<std::uint8_t>(Number / 30 % SpeedClasses)};
  Seen.SecondsPerToken = 0.02 + 0.0001 * static_cast<double>(Number % 50);
  Seen.FirstTokenSeconds = 0.4;
  return Seen;
}

RolloutView canary() {
  RolloutView View;
  View.Id = idOf<RolloutId>("r1");
  View.From = idOf<VersionId>("v1");
  View.To = idOf<VersionId>("v2");
  View.ObjectVersion = 1;
  View.Phase = RolloutPhase::Canary;
  View.Share = 0.01;
  View.Deadline = WallTime(hours(1000));
  return View;
}

/// Feeds answers at 165 a second, with a tick each second.
void feed(VersionGuard &Guard, std::size_t Answers, std::size_t &Cells) {
  constexpr std::size_t PerSecond = 165;
  Guard.step(ViewUpdated{canary()});
  for (std::size_t Number = 0; Number < Answers; ++Number) {
    Guard.step(answer(Number));
    if (Number % PerSecond != 0)
      continue;
    for (const GuardAction &Action : Guard.step(GuardTicked{}))
      if (const auto *Ready = std::get_if<EvidenceReady>(&Action))
        Cells += Ready->Cells.size();
  }
}

double microsOfAnswers(std::size_t Answers) {
  VersionGuard Guard;
  std::size_t Cells = 0;
  return microsOf([&] { feed(Guard, Answers, Cells); });
}

double cellsOfAnswers(std::size_t Answers) {
  VersionGuard Guard;
  std::size_t Cells = 0;
  feed(Guard, Answers, Cells);
  return static_cast<double>(Cells);
}

double bytesOfGuards(std::size_t Guards) {
  constexpr std::size_t Answers = 20'000;
  const std::size_t Before = liveBytes();
  std::vector<VersionGuard> All(Guards);
  std::size_t Cells = 0;
  for (VersionGuard &Guard : All)
    feed(Guard, Answers, Cells);
  return static_cast<double>(liveBytes() - Before);
}

} // namespace

std::vector<Slope> rolloutSlopes() {
  return {
      {"guard_micros",
       "answer of a pool under rollout",
       "us",
       {10000, 40000, 160000},
       microsOfAnswers},
      {"guard_evidence_cells",
       "answer of a pool under rollout",
       "cells",
       {10000, 40000, 160000},
       cellsOfAnswers},
      {"guard_bytes", "pool under rollout", "B", {1, 4, 11}, bytesOfGuards},
  };
}

} // namespace marjorambay::bench
