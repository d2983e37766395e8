/// Runs rollouts of good and bad versions in virtual time and prints how they
/// ended. Exits 1 when an aim is missed, unless --naive is given.
#include "fake_pool.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

namespace marjorambay::bench {

namespace {

constexpr double GoodInTimeAim = 0.99;
constexpr double BadShareAim = 0.01;

/// Sums over the runs of one row.
struct Row {
  int Runs = 0;
  int Completed = 0;
  int TakenBack = 0;
  double WorstBadShare = 0;
  std::uint64_t LateAfterTrip = 0;
  std::vector<double> Detect{};
};

void add(Row &Sum, const ScenarioResult &Result) {
  ++Sum.Runs;
  Sum.Completed += Result.InTime ? 1 : 0;
  Sum.TakenBack += Result.End == RolloutPhase::RolledBack ? 1 : 0;
  const double Share = static_cast<double>(Result.BadBeforeTrip) /
                       static_cast<double>(Result.Requests);
  Sum.WorstBadShare = std::max(Sum.WorstBadShare, Share);
  Sum.LateAfterTrip += Result.LateAfterTrip;
  Sum.Detect.push_back(Result.DetectSeconds);
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values.empty() ? 0 : Values[Values.size() / 2];
}

const std::vector<PoolSize> Sizes = {{"consortium models", 4, 20, 30},
                                     {"cineclub models", 3, 20, 30},
                                     {"a pool of 5 targets", 3, 5, 6}};

std::vector<Scenario> scenarios(const PoolSize &Size, bool Naive) {
  const std::vector<Trouble> Troubles = {
      {false, false}, {true, false}, {false, true}, {true, true}};
  std::vector<Scenario> All;
  for (const Duration Window : {Duration(minutes(10)), Duration(minutes(60))})
    for (const Trouble &Troubled : Troubles) {
      Scenario One;
      One.Size = Size;
      One.Window = Window;
      One.Troubles = Troubled;
      One.Naive = Naive;
      All.push_back(One);
    }
  return All;
}

struct Totals {
  int Good = 0;
  int GoodInTime = 0;
  int Bad = 0;
  int BadTakenBack = 0;
  double WorstBadShare = 0;
  std::uint64_t LateAfterTrip = 0;
};

void runFault(const PoolSize &Size, VersionFault Fault, int Seeds, bool Naive,
              Totals &Sum) {
  Row All;
  for (Scenario Scene : scenarios(Size, Naive))
    for (int Seed = 1; Seed <= Seeds; ++Seed) {
      Scene.Fault = Fault;
      Scene.Seed = static_cast<std::uint64_t>(Seed);
      add(All, runScenario(Scene));
    }
  std::printf("%-18s %5d %9d %10d %12.3f%% %10llu %12.1f\n",
              std::string(nameOf(Fault)).c_str(), All.Runs, All.Completed,
              All.TakenBack, 100 * All.WorstBadShare,
              static_cast<unsigned long long>(All.LateAfterTrip),
              Fault == VersionFault::None ? 0 : median(All.Detect));
  if (Fault == VersionFault::None) {
    Sum.Good += All.Runs;
    Sum.GoodInTime += All.Completed;
    return;
  }
  Sum.Bad += All.Runs;
  Sum.BadTakenBack += All.TakenBack;
  Sum.WorstBadShare = std::max(Sum.WorstBadShare, All.WorstBadShare);
  Sum.LateAfterTrip += All.LateAfterTrip;
}

bool report(const char *Aim, bool Met) {
  std::printf("%-64s %s\n", Aim, Met ? "met" : "MISSED");
  return Met;
}

bool runSize(const PoolSize &Size, int Seeds, bool Naive) {
  std::printf("%s: %zu targets, %zu zones, %.0f requests/s\n", Size.Name.data(),
              Size.Targets, Size.Zones, Size.RequestsPerSecond);
  std::printf("%-18s %5s %9s %10s %13s %10s %12s\n", "fault", "runs",
              "completed", "taken back", "bad, worst", "late", "detect s");
  Totals Sum;
  for (std::size_t Fault = 0; Fault < VersionFaultCount; ++Fault)
    runFault(Size, static_cast<VersionFault>(Fault), Seeds, Naive, Sum);
  std::printf("\n");
  std::fflush(stdout);
  bool Met = report("good versions completed in time, at least 99%",
                    Sum.GoodInTime >= GoodInTimeAim * Sum.Good);
  Met &= report("bad versions taken back, all", Sum.BadTakenBack == Sum.Bad);
  Met &= report("requests to a bad version before its trip, at most 1%",
                Sum.WorstBadShare <= BadShareAim);
  Met &= report("requests to a bad version later than 2 s after, none",
                Sum.LateAfterTrip == 0);
  std::printf("\n");
  return Met;
}

int runAll(int Seeds, bool Naive) {
  bool Met = true;
  for (const PoolSize &Size : Sizes)
    Met &= runSize(Size, Seeds, Naive);
  return Met || Naive ? 0 : 1;
}

} // namespace

} // namespace marjorambay::bench

int main(int ArgCount, char **Args) {
  namespace options = boost::program_options;
  options::options_description Known("rollout_bench");
  int Seeds = 0;
  Known.add_options()("help", "print this")(
      "seeds", options::value<int>(&Seeds)->default_value(5),
      "runs of each scenario")("naive", "ramp by time alone");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(ArgCount, Args, Known), Given);
    options::notify(Given);
  } catch (const options::error &Caught) {
    std::cerr << Caught.what() << "\n";
    return 2;
  }
  if (Given.count("help") > 0) {
    std::cout << Known;
    return 0;
  }
  return marjorambay::bench::runAll(Seeds, Given.count("naive") > 0);
}
