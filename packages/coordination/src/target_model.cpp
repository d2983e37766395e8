/// Robust moving estimates of a target's speed.
#include "marjorambay/coordination/target_model.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

constexpr double LineSeconds = 300;     // time constant of the slow line
constexpr double WarmUpSamples = 50;    // averaged plainly before that
constexpr double RatioGain = 0.2;       // of a sample in the quick ratio
constexpr double LargestJump = 8.0;     // samples are clipped to this factor
constexpr double SlowdownHalfLife = 10; // seconds without samples
constexpr double FixedShare = 0.5;      // of a full step, before any sample
constexpr double PriorVariance = 4.0;   // streams^2; holds the first slope
constexpr double PrefillGain = 0.1;
constexpr std::uint32_t LongPrompt = 256; // tokens; shorter ones show overhead
constexpr double GuessedPrefillGain = 10; // prefill speed over decode speed

} // namespace

void TargetModel::configure(double TokensPerSecond, std::uint32_t BatchWidth) {
  Width = std::max(1U, BatchWidth);
  if (Samples != 0)
    return; // what was learned is better than the guess
  GuessedStep = Width / std::max(1e-3, TokensPerSecond);
  PrefillSeconds = 1.0 / (GuessedPrefillGain * std::max(1e-3, TokensPerSecond));
}

double TargetModel::lineAt(double Streams) const {
  const double GuessedSlope = GuessedStep * (1 - FixedShare) / Width;
  if (Samples == 0)
    return GuessedStep * FixedShare + GuessedSlope * Streams;
  // The slope of the first guess, scaled to the mean seen, holds until the
  // number of streams has varied enough to show another.
  const double GuessAtMean =
      GuessedStep * FixedShare + GuessedSlope * MeanStreams;
  const double PriorSlope = GuessedSlope * MeanStep / GuessAtMean;
  const double Slope = std::clamp((Covariance + PriorVariance * PriorSlope) /
                                      (Variance + PriorVariance),
                                  0.0, MeanStep / std::max(1.0, MeanStreams));
  return MeanStep + Slope * (Streams - MeanStreams);
}

void TargetModel::fitLine(double Step, double Streams, TimePoint Now) {
  ++Samples;
  const double Elapsed = std::max(0.0, toSeconds(Now - LastSample));
  const double Timed = 1 - std::exp(-Elapsed / LineSeconds);
  const double Counted = Samples <= WarmUpSamples ? 1.0 / Samples : 0.0;
  const double Gain = std::clamp(std::max(Timed, Counted), 1e-6, 1.0);
  const double OffStep = Step - MeanStep;
  const double OffStreams = Streams - MeanStreams;
  MeanStep += Gain * OffStep;
  MeanStreams += Gain * OffStreams;
  Covariance = (1 - Gain) * (Covariance + Gain * OffStep * OffStreams);
  Variance = (1 - Gain) * (Variance + Gain * OffStreams * OffStreams);
}

void TargetModel::learnDecode(std::uint32_t Tokens, Duration Took,
                              double Streams, TimePoint Now) {
  if (Tokens == 0 || Took.count() <= 0)
    return;
  double Step = toSeconds(Took) / Tokens;
  if (learned()) {
    const double Line = lineAt(Streams);
    Step = std::clamp(Step, Line / LargestJump, Line * LargestJump);
    const double Current = slowdown(Now);
    Ratio = Current + RatioGain * (Step / Line - Current);
  }
  fitLine(Step, Streams, Now);
  LastSample = Now;
}

void TargetModel::learnPrefill(std::uint32_t Prompt, std::uint32_t PromptAhead,
                               Duration Took, TimePoint Now) {
  if (Took.count() <= 0)
    return;
  ++PrefillSamples;
  const double Gain = std::max(PrefillGain, 1.0 / PrefillSamples);
  const double Tokens = static_cast<double>(Prompt) + PromptAhead;
  const double Seconds = toSeconds(Took);
  LastSample = std::max(LastSample, Now);
  if (Tokens < LongPrompt) {
    const double Rest = std::max(0.0, Seconds - Tokens * PrefillSeconds);
    Overhead += Gain * (std::min(Rest, Overhead * LargestJump) - Overhead);
    return;
  }
  const double Each = std::max(1e-7, (Seconds - Overhead) / Tokens);
  PrefillSeconds +=
      Gain * (std::min(Each, PrefillSeconds * LargestJump) - PrefillSeconds);
}

double TargetModel::slowdown(TimePoint Now) const {
  if (Ratio <= 1.0 || !learned())
    return std::max(0.5, Ratio);
  const double Idle = std::max(0.0, toSeconds(Now - LastSample) - 1.0);
  return 1 + (Ratio - 1) * std::exp2(-Idle / SlowdownHalfLife);
}

double TargetModel::stepSeconds(double Streams, TimePoint Now) const {
  return lineAt(std::max(1.0, Streams)) * slowdown(Now);
}

double TargetModel::firstTokenSeconds(double Prompt, double PromptAhead) const {
  return Overhead + (Prompt + PromptAhead) * PrefillSeconds;
}

double TargetModel::totalSeconds(const TokenCost &Cost, double PromptAhead,
                                 double Streams, TimePoint Now) const {
  const double Rest = Cost.Output == 0 ? 0.0 : Cost.Output - 1.0;
  return firstTokenSeconds(Cost.Prompt, PromptAhead) +
         Rest * stepSeconds(Streams, Now);
}

double TargetModel::throughput(double Streams, TimePoint Now) const {
  return Streams / stepSeconds(Streams, Now);
}

std::uint32_t TargetModel::requestLimit(TimePoint Now) const {
  const double Slower = std::max(1.0, slowdown(Now));
  const double Limit = std::ceil(Width / Slower - 1e-9);
  return static_cast<std::uint32_t>(std::max(std::min(2.0, Width), Limit));
}

} // namespace marjorambay
