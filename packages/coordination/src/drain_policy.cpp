/// Stages of a stop.
#include "marjorambay/coordination/drain_policy.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// A load balancer removes a host after two failed probes one second apart; new
/// requests arrive until then.
constexpr Duration AcceptTime = milliseconds(2500);
/// Time for each of the last stages, and the part of a short grace that one
/// takes at most.
constexpr Duration StageTime = milliseconds(500);
constexpr int MaxStageDivisor = 8;
/// Part of its typical time that a request may take on top of that.
constexpr int MarginDivisor = 2;

} // namespace

Duration RecentDurations::expected(RouteId Route,
                                   const DrainCandidate &Candidate) const {
  const auto Found = Entries.find(Route);
  const Duration Typical = Found != Entries.end() ? Found->second
                           : Candidate.Repeatable ? Candidate.Objective
                                                  : Candidate.Remaining;
  return std::min(Typical + Typical / MarginDivisor, Candidate.Remaining);
}

DrainPolicy::DrainPolicy(Duration Grace, TimePoint Start) {
  const Duration Stage = std::min(StageTime, Grace / MaxStageDivisor);
  OverAt = Start + Grace - Stage / 2;
  EndAt = Start + Grace - Stage;
  RejectAt = EndAt - Stage;
  FinishAt = std::min(Start + AcceptTime, RejectAt);
}

DrainPhase DrainPolicy::phase(TimePoint Now) const {
  if (Now < FinishAt)
    return DrainPhase::Accepting;
  if (Now < RejectAt)
    return DrainPhase::Finishing;
  if (Now < EndAt)
    return DrainPhase::Rejecting;
  return Now < OverAt ? DrainPhase::Ending : DrainPhase::Over;
}

} // namespace marjorambay
