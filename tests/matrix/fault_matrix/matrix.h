/// What a scenario must offer to be run through the fault matrix.
///
/// [SECTION] Index
///   1. Fault        what can be injected
///   2. StepInfo     one step of a run, and the faults that fit it
///   3. Scenario     a scripted run of one model; see request_scenarios.h
///   4. RunReport    its steps and what they broke
#ifndef MARJORAMBAY_TESTS_MATRIX_MATRIX_H
#define MARJORAMBAY_TESTS_MATRIX_MATRIX_H

#include "marjorambay/state/enum_names.h"

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay::matrix {

enum class Fault : std::uint8_t {
  Crash,             ///< the receiver dies; a host comes back empty
  Pause,             ///< the receiver freezes past lease, deadline, retention
  FreezeBeforeWrite, ///< it freezes between its decision and the first byte
  Drop,
  ShortDelay, ///< longer than the next time-out
  LongDelay,  ///< longer than the request's deadline
  Duplicate,
  Reorder,
  CutZones,
  PlatformDown,
  LostAnswer, ///< the write took effect
  StaleRead,
  OperatorRace,
  SlowTarget,
  BadVersion,
  LeavingTarget, ///< the target declines, saying that it leaves
};
inline constexpr std::size_t FaultCount = 16;
using FaultSet = std::bitset<FaultCount>;

enum class Invariant : std::uint8_t {
  DispatchOnce,
  WholeAnswer,
  NotRunIsTrue,
  ApplyOnce,
  ReplayIsTrue, ///< a replayed outcome is that of a call that ran
  AnsweredInTime,
  TierOrder,
  LeavingTargetIdle,
  StopCutsNothing,
  DispatchInTime, ///< no first byte after the request's deadline
  Completes,      ///< without a fault, every request succeeds
  RevisionRises,  ///< on each host, for as long as it lives
  AcceptedStands, ///< an accepted change overwrote nothing that was not read
  RefusedIsOut,   ///< what was told as not accepted is in force nowhere
  InForceSoon,    ///< on every reachable host within 5 s
  SignSpreads,    ///< a leaving target is known everywhere within 3 s
  TripStays,      ///< a trip that a host knew is never undone
};
inline constexpr std::size_t InvariantCount = 17;

struct StepInfo {
  std::string What{};
  FaultSet Fits{};
};

struct Injection {
  std::size_t Step = 0;
  Fault Kind = Fault::Crash;
};

struct Violation {
  Invariant Broken = Invariant::DispatchOnce;
  std::size_t Step = 0; ///< after which it was seen
  std::string Detail{};
};

struct RunReport {
  std::vector<StepInfo> Steps{};
  std::vector<Violation> Violations{};
  std::size_t Injected = 0; ///< injections that met a step they fit
};

struct Scenario {
  std::string Name{};
  std::function<RunReport(const std::vector<Injection> &)> Run{};
};

/// A version of the system that is run through the cells.
struct Model {
  std::string Name{};
  std::vector<Scenario> Scenarios{};
};

/// Why \p Kind can't be injected at steps that it doesn't fit.
std::string_view whyNotApplicable(Fault Kind);

} // namespace marjorambay::matrix

namespace marjorambay {
template <>
inline constexpr std::array
    NamesOf<matrix::Fault> = std::to_array<std::string_view>(
        {"crash", "pause", "freeze-before-write", "drop", "short-delay",
         "long-delay", "duplicate", "reorder", "cut-zones", "platform-down",
         "lost-answer", "stale-read", "operator-race", "slow-target",
         "bad-version", "leaving-target"});
static_assert(NamesOf<matrix::Fault>.size() == matrix::FaultCount);
template <>
inline constexpr std::array
    NamesOf<matrix::Invariant> = std::to_array<std::string_view>(
        {"dispatch-once", "whole-answer", "not-run-is-true", "apply-once",
         "replay-is-true", "answered-in-time", "tier-order",
         "leaving-target-idle", "stop-cuts-nothing", "dispatch-in-time",
         "completes", "revision-rises", "accepted-stands", "refused-is-out",
         "in-force-soon", "sign-spreads", "trip-stays"});
static_assert(NamesOf<matrix::Invariant>.size() == matrix::InvariantCount);
} // namespace marjorambay

#endif // MARJORAMBAY_TESTS_MATRIX_MATRIX_H
