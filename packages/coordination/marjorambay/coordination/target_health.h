/// Judges a target by its answers, and keeps work away from it for a while.
///
/// A health check says what a target thinks of itself; its answers say what
/// callers get. An ejected target comes back by itself, on probation, so that
/// one which has recovered is found again.
#ifndef MARJORAMBAY_COORDINATION_TARGET_HEALTH_H
#define MARJORAMBAY_COORDINATION_TARGET_HEALTH_H

#include "marjorambay/state/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace marjorambay {

struct TargetHealthSettings {
  double Gain = 0.15;          ///< of one answer in the share of failures
  double EjectAbove = 0.35;    ///< share of failures, plus that of the pool
  double Probation = 0.25;     ///< share that a target comes back with
  std::uint32_t LeastSeen = 3; ///< failures before the first ejection
  Duration FirstEjection = milliseconds(1000);
  Duration FirstBackOff = milliseconds(200); ///< after a refused connection
  Duration LongestEjection = seconds(8);
};

class TargetHealth {
public:
  explicit TargetHealth(TargetHealthSettings Given = {}) : Settings(Given) {}

  /// Learns from an answer, or from the want of one. \p PoolShare: share of
  /// failures among all targets of the pool.
  void recordAnswer(bool Good, double PoolShare, TimePoint Now) {
    Share += Settings.Gain * ((Good ? 0.0 : 1.0) - Share);
    Failures = Good ? Failures : Failures + 1;
    if (Good) {
      Refusals = 0;
      OnTrial = false;
      if (Share < Settings.Gain)
        Ejections = 0;
      return;
    }
    const bool Outlier = OnTrial || (Failures >= Settings.LeastSeen &&
                                     Share > Settings.EjectAbove + PoolShare);
    if (!Outlier || Now < Until)
      return;
    Until = Now + backOff(Settings.FirstEjection, Ejections++);
    Share = Settings.Probation;
    OnTrial = true;
  }

  /// Learns that no connection came about.
  void recordRefusal(TimePoint Now) {
    if (Now < Until)
      return; // requests that were on their way together count once
    Until = Now + backOff(Settings.FirstBackOff, Refusals++);
  }

  bool usable(TimePoint Now) const { return Now >= Until; }
  /// Whether no answer was good since the last ejection. One request at a time
  /// is enough to find out, and all that a target which is still broken costs.
  bool onTrial() const { return OnTrial; }
  double failureShare() const { return Share; }

private:
  Duration backOff(Duration First, std::uint32_t Before) const {
    return std::min(First * (1U << std::min(Before, 6U)),
                    Settings.LongestEjection);
  }

  TargetHealthSettings Settings;
  double Share = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Ejections = 0;
  std::uint32_t Refusals = 0;
  bool OnTrial = false;
  TimePoint Until{};
};

/// How often the targets of one pool fail, and whether enough of them answer
/// well for the others to be left out.
class PoolHealth {
public:
  /// Learns from an answer of \p Target, a target of the pool.
  void recordAnswer(TargetHealth &Target, bool Good, TimePoint Now) {
    constexpr double Gain = 0.03; // of one answer in the pool's share
    Target.recordAnswer(Good, FailureShare, Now);
    FailureShare += Gain * ((Good ? 0.0 : 1.0) - FailureShare);
  }

  /// With more than half of the targets failing, it is not they who are at
  /// fault.
  static bool mayEject(std::size_t Usable, std::size_t All) {
    constexpr double LeastUsable = 0.5;
    return static_cast<double>(Usable) >=
           LeastUsable * static_cast<double>(All);
  }

private:
  double FailureShare = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_HEALTH_H
