/// Runs every fault at every step of every scenario, then seeded pairs.
///
/// fault_matrix [--seed N] [--quick] [--naive] [--replay SCENARIO
/// FAULT@STEP...] Exit code 0: nothing broken (with --naive: every invariant
/// was broken by some naive version), 1 otherwise, 2 for bad usage.
#include "fleet_scenarios.h"
#include "matrix.h"
#include "request_scenarios.h"

#include "marjorambay/state/random.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay::matrix {

namespace {

struct Options {
  std::uint64_t Seed = 1;
  bool Quick = false;
  bool Naive = false;
  std::vector<std::string> Replay{};
};

constexpr std::size_t QuickPairs = 150; // for each scenario
constexpr std::size_t FullPairs = 2000;
constexpr std::size_t FailuresShown = 20;

std::string formatInjections(const std::vector<Injection> &Faults) {
  std::string Text;
  for (const Injection &Each : Faults)
    Text +=
        " " + std::string(nameOf(Each.Kind)) + "@" + std::to_string(Each.Step);
  return Text;
}

/// Counts of one model's run through all cells.
struct Tally {
  std::array<std::size_t, FaultCount> Cells{};
  std::array<std::size_t, FaultCount> NotApplicable{};
  std::size_t Pairs = 0;
  std::size_t PairsMissed = 0; ///< the second fault met no step that it fits
  std::size_t Failures = 0;
  std::map<Invariant, std::string> FirstBreak{};
};

class Runner {
public:
  explicit Runner(const Options &Wanted) : Wanted(Wanted) {}

  Tally run(const Model &Version) {
    Tally Sum;
    for (const Scenario &Each : Version.Scenarios) {
      const RunReport Plain = Each.Run({});
      note(Each, {}, Plain, Sum);
      runSingles(Each, Plain, Sum);
      runPairs(Each, Plain, Sum);
    }
    return Sum;
  }

private:
  void runSingles(const Scenario &Each, const RunReport &Plain, Tally &Sum) {
    for (std::size_t Step = 0; Step < Plain.Steps.size(); ++Step)
      for (std::size_t Kind = 0; Kind < FaultCount; ++Kind) {
        if (!Plain.Steps[Step].Fits.test(Kind)) {
          ++Sum.NotApplicable[Kind];
          continue;
        }
        const std::vector<Injection> Faults{{Step, static_cast<Fault>(Kind)}};
        ++Sum.Cells[Kind];
        note(Each, Faults, Each.Run(Faults), Sum);
      }
  }

  void runPairs(const Scenario &Each, const RunReport &Plain, Tally &Sum) {
    SplitMix64 Random(Wanted.Seed);
    const std::size_t Count = Wanted.Quick ? QuickPairs : FullPairs;
    for (std::size_t Pair = 0; Pair < Count; ++Pair) {
      std::vector<Injection> Faults;
      Faults.push_back(draw(Random, Plain, Plain.Steps.size()));
      // The run may grow longer under the first fault.
      Faults.push_back(draw(Random, Plain, Plain.Steps.size() * 3 / 2));
      const RunReport Report = Each.Run(Faults);
      if (Report.Injected < 2)
        ++Sum.PairsMissed;
      else
        ++Sum.Pairs;
      note(Each, Faults, Report, Sum);
    }
  }

  static Injection draw(SplitMix64 &Random, const RunReport &Plain,
                        std::size_t Steps) {
    const std::size_t Step = drawBelow(Random, Steps);
    Fault Kind = static_cast<Fault>(drawBelow(Random, FaultCount));
    while (Step < Plain.Steps.size() &&
           !Plain.Steps[Step].Fits.test(static_cast<std::size_t>(Kind)))
      Kind = static_cast<Fault>(drawBelow(Random, FaultCount));
    return {Step, Kind};
  }

  void note(const Scenario &Each, const std::vector<Injection> &Faults,
            const RunReport &Report, Tally &Sum) {
    if (Report.Violations.empty())
      return;
    ++Sum.Failures;
    for (const Violation &Broken : Report.Violations) {
      const std::string Where = Each.Name + formatInjections(Faults);
      Sum.FirstBreak.try_emplace(Broken.Broken, Where);
      if (Wanted.Naive || Shown >= FailuresShown)
        continue;
      ++Shown;
      std::printf("FAILED %s: --replay %s\n  after step %zu: %s\n",
                  std::string(nameOf(Broken.Broken)).c_str(), Where.c_str(),
                  Broken.Step, Broken.Detail.c_str());
    }
  }

  const Options &Wanted;
  std::size_t Shown = 0;
};

void printCells(const Tally &Sum) {
  std::printf("%-20s %8s %15s  %s\n", "fault", "cells", "not applicable",
              "why not");
  std::size_t All = 0;
  for (std::size_t Row = 0; Row < FaultCount; ++Row) {
    const auto Kind = static_cast<Fault>(Row);
    All += Sum.Cells[Row];
    std::printf("%-20s %8zu %15zu  %s\n", std::string(nameOf(Kind)).c_str(),
                Sum.Cells[Row], Sum.NotApplicable[Row],
                std::string(whyNotApplicable(Kind)).c_str());
  }
  std::printf("single faults: %zu cells; pairs: %zu cells, and %zu whose "
              "second fault met no step that it fits\n",
              All, Sum.Pairs, Sum.PairsMissed);
}

std::vector<Model> ourModels() { return {requestModel(), fleetModel()}; }

std::vector<Model> naiveModels() {
  std::vector<Model> Versions = naiveRequestModels();
  for (Model &Version : naiveFleetModels())
    Versions.push_back(std::move(Version));
  return Versions;
}

int runOurs(const Options &Wanted) {
  std::size_t Failures = 0;
  for (const Model &Ours : ourModels()) {
    const Tally Sum = Runner(Wanted).run(Ours);
    std::printf("%s\n", Ours.Name.c_str());
    printCells(Sum);
    Failures += Sum.Failures;
  }
  std::printf("seed %llu: %zu of the cells failed\n",
              static_cast<unsigned long long>(Wanted.Seed), Failures);
  return Failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int runNaive(const Options &Wanted) {
  std::map<Invariant, std::string> Rejected;
  for (const Model &Version : naiveModels()) {
    const Tally Sum = Runner(Wanted).run(Version);
    std::printf("%s: %zu cells failed\n", Version.Name.c_str(), Sum.Failures);
    for (const auto &[Broken, Where] : Sum.FirstBreak) {
      std::printf("  breaks %-20s first at: %s\n",
                  std::string(nameOf(Broken)).c_str(), Where.c_str());
      Rejected.try_emplace(Broken, Version.Name);
    }
  }
  bool All = true;
  for (std::size_t Row = 0; Row < InvariantCount; ++Row) {
    const auto Each = static_cast<Invariant>(Row);
    const auto Found = Rejected.find(Each);
    All = All && Found != Rejected.end();
    std::printf("%-20s %s\n", std::string(nameOf(Each)).c_str(),
                Found == Rejected.end() ? "NO NAIVE VERSION BREAKS IT"
                                        : Found->second.c_str());
  }
  return All ? EXIT_SUCCESS : EXIT_FAILURE;
}

std::optional<Injection> parseInjection(const std::string &Text) {
  const std::size_t Mark = Text.find('@');
  if (Mark == std::string::npos)
    return std::nullopt;
  const std::optional<Fault> Kind = parseEnum<Fault>(Text.substr(0, Mark));
  if (!Kind)
    return std::nullopt;
  return Injection{std::strtoull(Text.c_str() + Mark + 1, nullptr, 10), *Kind};
}

/// Prints each step of one cell.
int replay(const Options &Wanted) {
  const std::vector<Model> Versions =
      Wanted.Naive ? naiveModels() : ourModels();
  std::vector<Injection> Faults;
  for (std::size_t Row = 1; Row < Wanted.Replay.size(); ++Row) {
    const std::optional<Injection> Parsed = parseInjection(Wanted.Replay[Row]);
    if (!Parsed)
      return 2;
    Faults.push_back(*Parsed);
  }
  int Status = EXIT_SUCCESS;
  for (const Model &Version : Versions)
    for (const Scenario &Each : Version.Scenarios) {
      if (Each.Name != Wanted.Replay.front())
        continue;
      const RunReport Report = Each.Run(Faults);
      std::printf("%s, %s\n", Version.Name.c_str(), Each.Name.c_str());
      for (std::size_t Step = 0; Step < Report.Steps.size(); ++Step)
        std::printf("  %3zu %s\n", Step, Report.Steps[Step].What.c_str());
      for (const Violation &Broken : Report.Violations) {
        Status = EXIT_FAILURE;
        std::printf("  FAILED %s after step %zu: %s\n",
                    std::string(nameOf(Broken.Broken)).c_str(), Broken.Step,
                    Broken.Detail.c_str());
      }
    }
  return Status;
}

std::optional<Options> parse(int Count, char **Words) {
  Options Wanted;
  for (int Row = 1; Row < Count; ++Row) {
    const std::string Word = Words[Row];
    if (Word == "--quick") {
      Wanted.Quick = true;
    } else if (Word == "--naive") {
      Wanted.Naive = true;
    } else if (Word == "--seed" && Row + 1 < Count) {
      Wanted.Seed = std::strtoull(Words[++Row], nullptr, 10);
    } else if (Word == "--replay" && Row + 1 < Count) {
      Wanted.Replay.assign(Words + Row + 1, Words + Count);
      return Wanted;
    } else {
      return std::nullopt;
    }
  }
  return Wanted;
}

} // namespace

std::string_view whyNotApplicable(Fault Kind) {
  switch (Kind) {
  case Fault::Crash:
  case Fault::Pause:
    return "the platform is not ours; platform-down stands for it";
  case Fault::FreezeBeforeWrite:
    return "the receiver is not an entry host";
  case Fault::Drop:
  case Fault::ShortDelay:
  case Fault::LongDelay:
    return "a command of the script is not a message";
  case Fault::Duplicate:
  case Fault::Reorder:
    return "a script's command, or bytes of one TCP connection";
  case Fault::LostAnswer:
    return "not a platform write";
  case Fault::StaleRead:
    return "not a platform read";
  case Fault::SlowTarget:
  case Fault::BadVersion:
  case Fault::LeavingTarget:
    return "no request reaches a target in this step";
  case Fault::CutZones:
  case Fault::PlatformDown:
  case Fault::OperatorRace:
    break;
  }
  return "fits every step";
}

int run(int Count, char **Words) {
  const std::optional<Options> Wanted = parse(Count, Words);
  if (!Wanted) {
    std::fprintf(stderr, "usage: fault_matrix [--seed N] [--quick] [--naive] "
                         "[--replay SCENARIO FAULT@STEP...]\n");
    return 2;
  }
  if (!Wanted->Replay.empty())
    return replay(*Wanted);
  return Wanted->Naive ? runNaive(*Wanted) : runOurs(*Wanted);
}

} // namespace marjorambay::matrix

int main(int Count, char **Words) {
  return marjorambay::matrix::run(Count, Words);
}
