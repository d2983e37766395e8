/// The groups of slopes, one source file each.
#ifndef MARJORAMBAY_BENCH_SLOPES_SLOPES_H
#define MARJORAMBAY_BENCH_SLOPES_SLOPES_H

#include "bench/support/slope.h"

#include <vector>

namespace marjorambay::bench {

std::vector<Slope> metricsSlopes();
std::vector<Slope> peerSlopes();
std::vector<Slope> rolloutSlopes();

} // namespace marjorambay::bench

#endif // MARJORAMBAY_BENCH_SLOPES_SLOPES_H
