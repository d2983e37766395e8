/// Slopes of histograms: memory for each client account, time for each value.
#include "slopes.h"

#include "marjorambay/state/metrics.h"

namespace marjorambay::bench {

namespace {

constexpr std::uint64_t Versions = 11;

void observeOnce(Metrics &Recorded, std::uint64_t Account) {
  const RequestLabels Labels{TierRank{0}, AccountId{Account + 1},
                             VersionId{Account % Versions + 1}};
  Recorded.observe(LatencyMetric::BetweenTokens, Labels, milliseconds(40));
}

double bytesOfAccounts(std::size_t Accounts) {
  const std::size_t Before = liveBytes();
  Metrics Recorded;
  for (std::size_t Account = 0; Account < Accounts; ++Account)
    observeOnce(Recorded, Account);
  return static_cast<double>(liveBytes() - Before);
}

double microsOfValues(std::size_t Values) {
  constexpr std::size_t Accounts = 1100;
  Metrics Recorded;
  for (std::size_t Account = 0; Account < Accounts; ++Account)
    observeOnce(Recorded, Account);
  return microsOf([&] {
    for (std::size_t Value = 0; Value < Values; ++Value)
      observeOnce(Recorded, Value * 7 % Accounts);
  });
}

} // namespace

std::vector<Slope> metricsSlopes() {
  return {
      {"histogram_bytes",
       "client account",
       "B",
       {100, 400, 1100, 2000},
       bytesOfAccounts},
      {"histogram_micros",
       "value recorded",
       "us",
       {10000, 40000, 160000},
       microsOfValues},
  };
}

} // namespace marjorambay::bench
