/// Additive growth and multiplicative reduction of a limit, by first events.
#include "marjorambay/coordination/start_ramp.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

// Weights of an answer in the target's usual ratio. It follows falling ratios
// faster, since a target gets faster as it warms up and rising ones may be
// signs of overload.
constexpr double FallGain = 0.1;
constexpr double RiseGain = 0.05;
// Share of the limit that must be in flight for an answer to raise it.
constexpr double UsedShare = 0.5;

} // namespace

void RampJudge::start(std::uint32_t DeclaredSlots, TimePoint Now) {
  Declared = DeclaredSlots;
  EarlyAnswers = 0;
  LastLate = 0;
  ReducedAt = Now;
  Figures = RampFigures{};
}

/// Returns the time to the first event relative to what is usual for a target
/// of this speed.
double RampJudge::relative(const RampAnswer &Answer, Duration Age) {
  const double Ratio = Answer.Seconds / Answer.ExpectedSeconds;
  Figures.LastRatio = Ratio;
  double &Own = Figures.OwnRatio;
  // The past of a target needs no allowance for a different speed.
  if (Answer.Reference == RampReference::Past) {
    Own = 1;
    return Ratio;
  }
  const double Doublings = toSeconds(Age) / toSeconds(Settings.SlowTargetTime);
  const double Highest =
      Settings.MaxSpeedRatio * std::exp2(std::min(Doublings, 6.0));
  if (Own == 0)
    Own = std::clamp(Ratio, 1.0, Highest);
  const double Relative = Ratio / Own;
  if (Relative <= Settings.LateFactor)
    Own += (Ratio < Own ? FallGain : RiseGain) * (Ratio - Own);
  Own = std::clamp(Own, 1.0, Highest);
  return Relative;
}

bool RampJudge::atPeerLoad(const RampAnswer &Answer) const {
  if (!Answer.PeerLoad)
    return false;
  const double Load = std::max(Settings.MinLoadToEnd, *Answer.PeerLoad);
  return Answer.InFlight >= std::min(1.0, Load) * Declared;
}

RampVerdict RampJudge::judge(const RampAnswer &Answer, Duration Age) {
  ++Figures.Answers;
  Figures.Reference = Answer.Reference;
  const double Relative = relative(Answer, Age);
  if (Relative > Settings.LateFactor) {
    ++Figures.Late;
    const bool Again =
        LastLate != 0 && Figures.Answers - LastLate <= Settings.LateWindow;
    LastLate = Figures.Answers;
    return Again ? RampVerdict::Late : RampVerdict::Usual;
  }
  if (Relative > Settings.EarlyFactor)
    return RampVerdict::Usual;
  ++Figures.Early;
  if (Answer.Reference != RampReference::Self && atPeerLoad(Answer))
    ++EarlyAnswers;
  return RampVerdict::Early;
}

bool RampJudge::mayReduce(TimePoint SentAt, TimePoint Now) {
  EarlyAnswers = 0;
  if (SentAt < ReducedAt)
    return false;
  ReducedAt = Now;
  return true;
}

void StartRamp::start(RampStart Why, std::uint32_t DeclaredSlots,
                      TimePoint Now) {
  Active = DeclaredSlots > 1;
  Reason = Why;
  Declared = DeclaredSlots;
  Limit = std::min<double>(Settings.InitialLimit, DeclaredSlots);
  Judge.start(DeclaredSlots, Now);
  ReducedAt.reset();
  FirstSentAt.reset();
}

std::uint32_t StartRamp::limit() const {
  const double Whole = std::floor(std::min<double>(Limit, Declared));
  return static_cast<std::uint32_t>(std::max(1.0, Whole));
}

Duration StartRamp::age(TimePoint Now) const {
  return FirstSentAt ? Now - *FirstSentAt : Duration(0);
}

void StartRamp::recordSend(TimePoint Now) {
  if (Active && !FirstSentAt)
    FirstSentAt = Now;
}

void StartRamp::grow(double InFlight, TimePoint Now) {
  if (InFlight < UsedShare * Limit)
    return;
  const bool Cautious = ReducedAt && Now - *ReducedAt < Settings.CautionTime;
  Limit = std::min<double>(Declared, Limit + (Cautious ? 1 / Limit : 1));
}

void StartRamp::reduce(double Factor, TimePoint SentAt, TimePoint Now) {
  if (!Judge.mayReduce(SentAt, Now))
    return;
  Limit = std::max(1.0, Factor * Limit);
  ReducedAt = Now;
}

std::optional<RampEnd> StartRamp::recordAnswer(const RampAnswer &Answer,
                                               TimePoint Now) {
  if (!Active || Answer.ExpectedSeconds <= 0)
    return std::nullopt;
  const RampVerdict Verdict = Judge.judge(Answer, age(Now));
  if (Verdict == RampVerdict::Late)
    reduce(Settings.LateReduction, Answer.SentAt, Now);
  if (Verdict != RampVerdict::Early)
    return std::nullopt;
  grow(Answer.InFlight, Now);
  if (limit() >= Declared) {
    Active = false;
    return RampEnd::DeclaredSlots;
  }
  if (!Judge.likeReference())
    return std::nullopt;
  Active = false;
  return Answer.Reference == RampReference::Past ? RampEnd::LikePast
                                                 : RampEnd::LikePeers;
}

void StartRamp::recordFailure(TimePoint SentAt, TimePoint Now) {
  if (!Active)
    return;
  Judge.recordFailure();
  reduce(Settings.FailureReduction, SentAt, Now);
}

} // namespace marjorambay
