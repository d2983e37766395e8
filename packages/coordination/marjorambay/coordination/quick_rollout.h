/// Judges a version that must be in force within seconds, or taken back.
///
/// A bad version may get a small part of all requests until its deadline, plus
/// a few. A constant share as a canary uses less than half of that; the rest is
/// kept for the last moments, in which all new requests go to the version so
/// that few are still on the old one when it ends.
///
/// [SECTION] Index
///   1. QuickRolloutSettings  the bounds
///   2. QuickRollout          one pool's version
#ifndef MARJORAMBAY_COORDINATION_QUICK_ROLLOUT_H
#define MARJORAMBAY_COORDINATION_QUICK_ROLLOUT_H

#include "marjorambay/coordination/fleet_heartbeat.h"
#include "marjorambay/coordination/version_comparison.h"

#include <optional>

namespace marjorambay {

struct QuickRolloutSettings {
  double CanaryShare = 0.1; ///< of all requests until the deadline
  double CanaryExtra = 50;  ///< requests beyond that
  double CanaryPart = 0.4;  ///< of both, as a canary
  double SwitchPart = 0.35; ///< of both, in the last moments
  Duration LongestSwitch = milliseconds(1200);
  Duration WriteMargin = milliseconds(600); ///< for the platform's answer
  std::uint32_t LeastAnswers = 6; ///< of the new version, before it may switch
};

class QuickRollout {
public:
  QuickRollout(PoolId Pool, VersionId To, Duration Window, TimePoint Seen,
               QuickRolloutSettings Given = {})
      : Settings(Given), Pool(Pool), To(To), Window(Window), Seen(Seen) {}

  /// Takes answers of any host in.
  void add(const Evidence &Cells);
  /// Another host's decision that this one must not fall behind.
  void merge(const VersionDecision &Order);

  /// Moves on, and returns what is in force from now on.
  VersionDecision step(TimePoint Now);

  VersionId version() const { return To; }
  VersionStage stage() const { return Stage; }
  TimePoint seen() const { return Seen; }
  std::uint64_t newAnswers() const { return NewAnswers; }
  std::uint64_t newFailures() const { return NewFailures; }

private:
  double budget(TimePoint Now) const;
  double requestRate(TimePoint Now) const;
  double canaryShare(TimePoint Now) const;

  QuickRolloutSettings Settings;
  PoolId Pool{};
  VersionId To{};
  Duration Window{};
  TimePoint Seen{};
  VersionComparison Test{};
  VersionStage Stage = VersionStage::Canary;
  std::uint64_t Answers = 0; ///< of both versions
  std::uint64_t NewAnswers = 0;
  std::uint64_t NewFailures = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_QUICK_ROLLOUT_H
