/// The groups of slopes, one source file each.
#ifndef MARJORAMBAY_BENCH_SLOPES_SLOPES_H
#define MARJORAMBAY_BENCH_SLOPES_SLOPES_H

#include "bench/support/slope.h"

#include <vector>

namespace marjorambay::bench {

std::vector<Slope> metricsSlopes();

} // namespace marjorambay::bench

#endif // MARJORAMBAY_BENCH_SLOPES_SLOPES_H
