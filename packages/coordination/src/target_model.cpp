/// Robust moving estimates of a target's speed.
#include "marjorambay/coordination/target_model.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

constexpr double LineSeconds = 300;     // time constant of the slow line
constexpr double WarmUpSamples = 20;    // averaged plainly before that
constexpr double RatioGain = 0.2;       // of a sample in the quick ratio
constexpr double LargestJump = 8.0;     // samples are clipped to this factor
constexpr double SlowdownHalfLife = 10; // seconds without samples
constexpr double FixedShare = 0.5;      // of a full step, before any sample
constexpr double PriorVariance = 4.0;   // streams^2; holds the first slope
constexpr double PrefillGain = 0.1;
constexpr std::uint32_t LongPrompt = 256; // tokens; shorter ones show overhead
constexpr double QueuedSteps = 12;        // waited beyond the least seen
constexpr double LeastDrift = 0.001;      // of the least wait, towards others
constexpr double SmallestWindow = 2;      // requests
constexpr double WindowCut = 0.9;    // of the window, when an engine queues
constexpr double WindowGrowth = 0.5; // requests, for each that waited not
constexpr Duration CutInterval = milliseconds(500);
constexpr double IdleSeconds = 30;        // before a slow line is forgotten
constexpr double GuessedOverhead = 0.005; // seconds
constexpr double GuessedPrefillGain = 10; // prefill speed over decode speed

} // namespace

void TargetModel::configure(double TokensPerSecond, std::uint32_t BatchWidth) {
  const bool Redeclared = Width != std::max(1U, BatchWidth);
  Width = std::max(1U, BatchWidth);
  if (Redeclared)
    Window = Width;
  if (Samples != 0)
    return; // what was learned is better than the guess
  GuessedStep = Width / std::max(1e-3, TokensPerSecond);
  GuessedPrefill = 1.0 / (GuessedPrefillGain * std::max(1e-3, TokensPerSecond));
  PrefillSeconds = GuessedPrefill;
}

// A target that looks too slow gets no work, and so no samples that could show
// otherwise: what is worse than the guess is forgotten while it idles.
double TargetModel::relaxed(double Learned, double Guess, TimePoint Now) const {
  const double Idle = std::max(0.0, toSeconds(Now - LastSample) - IdleSeconds);
  if (Learned <= Guess || Idle == 0)
    return Learned;
  return Guess + (Learned - Guess) * std::exp2(-Idle / IdleSeconds);
}

double TargetModel::guessAt(double Streams) const {
  const double Slope = GuessedStep * (1 - FixedShare) / Width;
  return GuessedStep * FixedShare + Slope * Streams;
}

double TargetModel::lineAt(double Streams) const {
  const double GuessedSlope = GuessedStep * (1 - FixedShare) / Width;
  if (Samples == 0)
    return guessAt(Streams);
  // The slope of the first guess, scaled to the mean seen, holds until the
  // number of streams has varied enough to show another.
  const double PriorSlope = GuessedSlope * MeanStep / guessAt(MeanStreams);
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

bool TargetModel::learnQueueing(Duration Took, double PromptTokens,
                                double Streams, TimePoint Now) {
  const double Extra =
      std::max(0.0, toSeconds(Took) - PromptTokens * PrefillSeconds);
  LeastExtra += (Extra < LeastExtra ? 1.0 : LeastDrift) * (Extra - LeastExtra);
  const double Patience = QueuedSteps * stepSeconds(Streams, Now);
  const bool Queued = Extra > LeastExtra + Patience;
  const bool OfThisWindow = Streams <= Window + 1;
  if (Queued && OfThisWindow && Now >= NextCut) {
    Window = std::max(SmallestWindow, WindowCut * std::min(Window, Streams));
    NextCut = Now + CutInterval;
  }
  if (!Queued && Streams + 1 >= Window)
    Window = std::min(Width, Window + WindowGrowth);
  return Queued;
}

double TargetModel::slowdown(TimePoint Now) const {
  if (Ratio <= 1.0 || !learned())
    return std::max(0.5, Ratio);
  const double Idle = std::max(0.0, toSeconds(Now - LastSample) - 1.0);
  return 1 + (Ratio - 1) * std::exp2(-Idle / SlowdownHalfLife);
}

double TargetModel::stepSeconds(double Streams, TimePoint Now) const {
  const double Held = std::max(1.0, Streams);
  return relaxed(lineAt(Held), guessAt(Held), Now) * slowdown(Now);
}

double TargetModel::firstTokenSeconds(double Prompt, double PromptAhead,
                                      TimePoint Now) const {
  const double Each = relaxed(PrefillSeconds, GuessedPrefill, Now);
  return relaxed(Overhead, GuessedOverhead, Now) +
         (Prompt + PromptAhead) * Each;
}

double TargetModel::totalSeconds(const TokenCost &Cost, double PromptAhead,
                                 double Streams, TimePoint Now) const {
  const double Rest = Cost.Output == 0 ? 0.0 : Cost.Output - 1.0;
  return firstTokenSeconds(Cost.Prompt, PromptAhead, Now) +
         Rest * stepSeconds(Streams, Now);
}

double TargetModel::throughput(double Streams, TimePoint Now) const {
  return Streams / stepSeconds(Streams, Now);
}

std::uint32_t TargetModel::requestLimit(TimePoint Now) const {
  const double Slower = std::max(1.0, slowdown(Now));
  const double Limit = std::ceil(std::min(Window, Width / Slower) - 1e-9);
  return static_cast<std::uint32_t>(std::max(std::min(2.0, Width), Limit));
}

} // namespace marjorambay
