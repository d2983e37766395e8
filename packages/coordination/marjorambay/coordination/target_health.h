/// Outlier ejection: rates a target by its answers and keeps requests away from
/// a failing one for a limited time.
///
/// A health check shows a target's own view; its answers show what callers get.
/// An ejected target returns automatically, on probation, so that a recovered
/// one is used again.
#ifndef MARJORAMBAY_COORDINATION_TARGET_HEALTH_H
#define MARJORAMBAY_COORDINATION_TARGET_HEALTH_H

#include "marjorambay/state/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace marjorambay {

struct TargetHealthSettings {
  double Gain = 0.15; ///< weight of one answer in the failure share
  /// A target is ejected if its failure share exceeds the pool's by this.
  double EjectAbove = 0.35;
  double ProbationShare = 0.25; ///< failure share of a target after an ejection
  /// Minimum number of failures before the first ejection.
  std::uint32_t MinFailures = 3;
  Duration InitialEjection = milliseconds(1000);
  /// After a refused connection; doubles with each further one.
  Duration InitialBackOff = milliseconds(200);
  Duration MaxEjection = seconds(8);
};

class TargetHealth {
public:
  explicit TargetHealth(TargetHealthSettings Given = {}) : Settings(Given) {}

  /// Records an answer, or the lack of one. \p PoolShare is the failure share
  /// among all targets of the pool.
  void recordAnswer(bool Success, double PoolShare, TimePoint Now) {
    FailureShare += Settings.Gain * ((Success ? 0.0 : 1.0) - FailureShare);
    Failures = Success ? Failures : Failures + 1;
    if (Success) {
      Refusals = 0;
      OnProbation = false;
      if (FailureShare < Settings.Gain)
        Ejections = 0;
      return;
    }
    const bool Outlier =
        OnProbation || (Failures >= Settings.MinFailures &&
                        FailureShare > Settings.EjectAbove + PoolShare);
    if (!Outlier || Now < EjectedUntil)
      return;
    EjectedUntil = Now + backOff(Settings.InitialEjection, Ejections++);
    FailureShare = Settings.ProbationShare;
    OnProbation = true;
  }

  /// Records that a connection was refused.
  void recordRefusal(TimePoint Now) {
    // Concurrent refusals count once.
    if (Now < EjectedUntil)
      return;
    EjectedUntil = Now + backOff(Settings.InitialBackOff, Refusals++);
  }

  bool usable(TimePoint Now) const { return Now >= EjectedUntil; }
  /// Returns whether no answer succeeded since the last ejection. Such a target
  /// gets one request at a time, which is enough to detect recovery and limits
  /// the failed requests if there is none.
  bool onProbation() const { return OnProbation; }
  double failureShare() const { return FailureShare; }

private:
  Duration backOff(Duration Initial, std::uint32_t Previous) const {
    return std::min(Initial * (1U << std::min(Previous, 6U)),
                    Settings.MaxEjection);
  }

  TargetHealthSettings Settings;
  double FailureShare = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Ejections = 0;
  std::uint32_t Refusals = 0;
  bool OnProbation = false;
  TimePoint EjectedUntil{};
};

/// Failure share of a pool, and the check that enough of its targets remain
/// usable when others are ejected.
class PoolHealth {
public:
  /// Records an answer of \p Target, a target of the pool.
  void recordAnswer(TargetHealth &Target, bool Success, TimePoint Now) {
    // Weight of one answer in the pool's failure share.
    constexpr double Gain = 0.03;
    Target.recordAnswer(Success, FailureShare, Now);
    FailureShare += Gain * ((Success ? 0.0 : 1.0) - FailureShare);
  }

  /// Returns whether ejection is allowed. If more than half of the targets
  /// fail, the cause is likely not the targets.
  static bool mayEject(std::size_t Usable, std::size_t All) {
    constexpr double MinUsable = 0.5;
    return static_cast<double>(Usable) >= MinUsable * static_cast<double>(All);
  }

private:
  double FailureShare = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_HEALTH_H
