/// A pool under rollout in virtual time: requests, versions, a platform object
/// and the network between availability zones. Small fakes; every decision is
/// made by the product's own RolloutLeader and VersionGuard.
#ifndef MARJORAMBAY_BENCH_ROLLOUT_BENCH_FAKE_POOL_H
#define MARJORAMBAY_BENCH_ROLLOUT_BENCH_FAKE_POOL_H

#include "marjorambay/coordination/rollout.h"
#include "marjorambay/coordination/version_guard.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay::bench {

/// What is wrong with the new version.
enum class VersionFault : std::uint8_t {
  None,
  AllErrors,   ///< every answer fails, at once
  SomeErrors,  ///< one answer in ten fails, at once
  LaterErrors, ///< three in ten, from the middle of the time on
  LoadErrors,  ///< four in ten, on a target under high load only
  RouteErrors, ///< half, on one of four routes only
  Slow,        ///< twice the time for each token, at once
  LoadSlow,    ///< thrice, on a target under high load only
  LaterSlow,   ///< twice, from the middle of the time on
  Hang,        ///< answers never come
};
inline constexpr std::size_t VersionFaultCount = 10;
} // namespace marjorambay::bench

template <>
inline constexpr std::array
    marjorambay::NamesOf<marjorambay::bench::VersionFault> =
        std::to_array<std::string_view>({"none", "all errors", "some errors",
                                         "later errors", "errors under load",
                                         "errors on a route", "slow",
                                         "slow under load", "later slow",
                                         "hang"});

namespace marjorambay::bench {

struct PoolSize {
  std::string_view Name{};
  std::size_t Zones = 4;
  std::size_t Targets = 20;
  double RequestsPerSecond = 30;
};

struct Trouble {
  bool PlatformOutage = false; ///< a quarter of the time, from 30% on
  bool ZoneCut = false;        ///< zone 0 alone, from 40% to 60% of the time
};

struct Scenario {
  PoolSize Size{};
  VersionFault Fault = VersionFault::None;
  Duration Window = minutes(10); ///< from the start to the deadline
  Trouble Troubles{};
  bool Naive = false; ///< ramp by time only, last write wins
  std::uint64_t Seed = 1;
};

struct ScenarioResult {
  RolloutPhase End = RolloutPhase::Loading;
  bool InTime = false;
  std::uint64_t Requests = 0;
  std::uint64_t BadBeforeTrip = 0; ///< to a version while its fault is active
  std::uint64_t LateAfterTrip = 0; ///< later than 2 s, in a connected zone
  double DetectSeconds = 0;        ///< from fault onset to the first trip
};

ScenarioResult runScenario(const Scenario &Scene);

} // namespace marjorambay::bench

#endif // MARJORAMBAY_BENCH_ROLLOUT_BENCH_FAKE_POOL_H
