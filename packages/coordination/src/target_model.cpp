/// Robust moving estimates of a target's speed and batch width.
#include "marjorambay/coordination/target_model.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

constexpr double LineSeconds = 300; // time constant of the fitted line
// Samples that are averaged with equal weights.
constexpr double WarmUpSamples = 20;
constexpr double RatioGain = 0.2; // weight of a sample in the recent ratio
constexpr double MaxSampleFactor = 8.0; // samples are clipped to this factor
constexpr double SlowdownHalfLife = 10; // seconds without samples
// Fixed part of a full step, before any sample.
constexpr double FixedShare = 0.5;
constexpr double PriorVariance = 4.0; // streams^2; weight of the initial slope
constexpr double PrefillGain = 0.1;
// Tokens; shorter prompts measure the overhead.
constexpr std::uint32_t LongPrompt = 256;
// Extra wait, in steps, that shows a queue.
constexpr double QueuedStepThreshold = 12;
// Weight of a longer wait in the least wait.
constexpr double MinWaitDrift = 0.001;
constexpr double MinWindow = 2; // requests
// Factor on the window when an engine queues.
constexpr double WindowReduction = 0.9;
constexpr double WindowGrowth = 0.5; // requests, for each that was not queued
constexpr Duration ReductionInterval = milliseconds(500);
constexpr double IdleDecaySeconds = 30; // idle time before slow estimates decay
constexpr double GuessedOverhead = 0.005; // seconds
// Ratio of prefill speed to decode speed.
constexpr double GuessedPrefillGain = 10;

} // namespace

void TargetModel::configure(double TokensPerSecond, std::uint32_t BatchWidth) {
  const bool WidthChanged = DeclaredWidth != std::max(1U, BatchWidth);
  DeclaredWidth = std::max(1U, BatchWidth);
  if (WidthChanged)
    Window = DeclaredWidth;
  // Measured values are better than the guess.
  if (Samples != 0)
    return;
  GuessedStep = DeclaredWidth / std::max(1e-3, TokensPerSecond);
  GuessedPrefill = 1.0 / (GuessedPrefillGain * std::max(1e-3, TokensPerSecond));
  PrefillSeconds = GuessedPrefill;
}

// A target whose estimates are too slow gets no requests, and thus no samples
// that could correct them. Estimates that are worse than the guess therefore
// decay towards it while the target is idle.
double TargetModel::decayed(double Measured, double Guess,
                            TimePoint Now) const {
  const double Idle =
      std::max(0.0, toSeconds(Now - LastSample) - IdleDecaySeconds);
  if (Measured <= Guess || Idle == 0)
    return Measured;
  return Guess + (Measured - Guess) * std::exp2(-Idle / IdleDecaySeconds);
}

double TargetModel::initialStepAt(double Streams) const {
  const double Slope = GuessedStep * (1 - FixedShare) / DeclaredWidth;
  return GuessedStep * FixedShare + Slope * Streams;
}

double TargetModel::fittedStepAt(double Streams) const {
  const double GuessedSlope = GuessedStep * (1 - FixedShare) / DeclaredWidth;
  if (Samples == 0)
    return initialStepAt(Streams);
  // The initial slope, scaled to the measured mean, is used until the number of
  // streams has varied enough to measure the slope.
  const double PriorSlope =
      GuessedSlope * MeanStep / initialStepAt(MeanStreams);
  const double Slope = std::clamp((Covariance + PriorVariance * PriorSlope) /
                                      (Variance + PriorVariance),
                                  0.0, MeanStep / std::max(1.0, MeanStreams));
  return MeanStep + Slope * (Streams - MeanStreams);
}

void TargetModel::fitLine(double Step, double Streams, TimePoint Now) {
  ++Samples;
  const double Elapsed = std::max(0.0, toSeconds(Now - LastSample));
  const double TimeGain = 1 - std::exp(-Elapsed / LineSeconds);
  const double CountGain = Samples <= WarmUpSamples ? 1.0 / Samples : 0.0;
  const double Gain = std::clamp(std::max(TimeGain, CountGain), 1e-6, 1.0);
  const double OffStep = Step - MeanStep;
  const double OffStreams = Streams - MeanStreams;
  MeanStep += Gain * OffStep;
  MeanStreams += Gain * OffStreams;
  Covariance = (1 - Gain) * (Covariance + Gain * OffStep * OffStreams);
  Variance = (1 - Gain) * (Variance + Gain * OffStreams * OffStreams);
}

void TargetModel::recordDecode(std::uint32_t Tokens, Duration Elapsed,
                               double Streams, TimePoint Now) {
  if (Tokens == 0 || Elapsed.count() <= 0)
    return;
  double Step = toSeconds(Elapsed) / Tokens;
  if (calibrated()) {
    const double Line = fittedStepAt(Streams);
    Step = std::clamp(Step, Line / MaxSampleFactor, Line * MaxSampleFactor);
    const double Current = slowdown(Now);
    StepRatio = Current + RatioGain * (Step / Line - Current);
  }
  fitLine(Step, Streams, Now);
  LastSample = Now;
}

void TargetModel::recordPrefill(std::uint32_t Prompt, std::uint32_t PromptAhead,
                                Duration Elapsed, TimePoint Now) {
  if (Elapsed.count() <= 0)
    return;
  ++PrefillSamples;
  const double Gain = std::max(PrefillGain, 1.0 / PrefillSamples);
  const double Tokens = static_cast<double>(Prompt) + PromptAhead;
  const double Seconds = toSeconds(Elapsed);
  LastSample = std::max(LastSample, Now);
  if (Tokens < LongPrompt) {
    const double ExtraSeconds =
        std::max(0.0, Seconds - Tokens * PrefillSeconds);
    Overhead +=
        Gain * (std::min(ExtraSeconds, Overhead * MaxSampleFactor) - Overhead);
    return;
  }
  const double PerToken = std::max(1e-7, (Seconds - Overhead) / Tokens);
  PrefillSeconds +=
      Gain *
      (std::min(PerToken, PrefillSeconds * MaxSampleFactor) - PrefillSeconds);
}

bool TargetModel::recordFirstTokenWait(Duration Elapsed, double PromptTokens,
                                       double Streams, TimePoint Now) {
  const double ExtraWait =
      std::max(0.0, toSeconds(Elapsed) - PromptTokens * PrefillSeconds);
  MinExtraWait += (ExtraWait < MinExtraWait ? 1.0 : MinWaitDrift) *
                  (ExtraWait - MinExtraWait);
  const double Threshold = QueuedStepThreshold * stepSeconds(Streams, Now);
  const bool Queued = ExtraWait > MinExtraWait + Threshold;
  const bool InCurrentWindow = Streams <= Window + 1;
  if (Queued && InCurrentWindow && Now >= NextReduction) {
    Window = std::max(MinWindow, WindowReduction * std::min(Window, Streams));
    NextReduction = Now + ReductionInterval;
  }
  if (!Queued && Streams + 1 >= Window)
    Window = std::min(DeclaredWidth, Window + WindowGrowth);
  return Queued;
}

double TargetModel::slowdown(TimePoint Now) const {
  if (StepRatio <= 1.0 || !calibrated())
    return std::max(0.5, StepRatio);
  const double Idle = std::max(0.0, toSeconds(Now - LastSample) - 1.0);
  return 1 + (StepRatio - 1) * std::exp2(-Idle / SlowdownHalfLife);
}

double TargetModel::stepSeconds(double Streams, TimePoint Now) const {
  const double Active = std::max(1.0, Streams);
  return decayed(fittedStepAt(Active), initialStepAt(Active), Now) *
         slowdown(Now);
}

double TargetModel::firstTokenSeconds(double Prompt, double PromptAhead,
                                      TimePoint Now) const {
  const double PerToken = decayed(PrefillSeconds, GuessedPrefill, Now);
  return decayed(Overhead, GuessedOverhead, Now) +
         (Prompt + PromptAhead) * PerToken;
}

double TargetModel::totalSeconds(const TokenCost &Cost, double PromptAhead,
                                 double Streams, TimePoint Now) const {
  const double LaterTokens = Cost.Output == 0 ? 0.0 : Cost.Output - 1.0;
  return firstTokenSeconds(Cost.Prompt, PromptAhead, Now) +
         LaterTokens * stepSeconds(Streams, Now);
}

double TargetModel::throughput(double Streams, TimePoint Now) const {
  return Streams / stepSeconds(Streams, Now);
}

std::uint32_t TargetModel::requestLimit(TimePoint Now) const {
  const double Slowdown = std::max(1.0, slowdown(Now));
  const double Limit =
      std::ceil(std::min(Window, DeclaredWidth / Slowdown) - 1e-9);
  return static_cast<std::uint32_t>(
      std::max(std::min(2.0, DeclaredWidth), Limit));
}

} // namespace marjorambay
