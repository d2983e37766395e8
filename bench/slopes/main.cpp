/// Measures the slopes that docs/CAPACITY.md uses; see scripts/capacity.
#include "slopes.h"

#include <cstdlib>

int main(int ArgCount, char **Args) {
  constexpr int DefaultRuns = 5;
  const int Runs = ArgCount > 1 ? std::atoi(Args[1]) : DefaultRuns;
  using namespace marjorambay::bench;
  printPoints(metricsSlopes(), Runs);
  printPoints(peerSlopes(), Runs);
  printPoints(rolloutSlopes(), Runs);
  return 0;
}
