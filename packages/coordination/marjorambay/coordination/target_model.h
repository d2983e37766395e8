/// Model of one target: its estimated speed and request limit.
#ifndef MARJORAMBAY_COORDINATION_TARGET_MODEL_H
#define MARJORAMBAY_COORDINATION_TARGET_MODEL_H

#include "marjorambay/coordination/requests.h"

#include <cstdint>

namespace marjorambay {

/// Predicts the latency of a target. With continuous batching, an engine's step
/// time grows with the number of concurrent streams: step(n) = Fixed +
/// PerStream * n. The model fits this line slowly, and a slowdown relative to
/// it quickly.
class TargetModel {
public:
  /// Sets the initial estimate of the decode speed, in tokens per second with
  /// \p BatchWidth streams.
  void configure(double TokensPerSecond, std::uint32_t BatchWidth);

  /// Adds a sample: one stream received \p Tokens in \p Elapsed while the
  /// target served \p Streams.
  void recordDecode(std::uint32_t Tokens, Duration Elapsed, double Streams,
                    TimePoint Now);

  /// Adds a sample of the time to first token: the prompt had \p Prompt
  /// uncached tokens, and the requests before it \p PromptAhead.
  void recordPrefill(std::uint32_t Prompt, std::uint32_t PromptAhead,
                     Duration Elapsed, TimePoint Now);

  /// Evaluates how long a request, granted as one of \p Streams, waited for its
  /// first token beyond its prefill. A wait of many steps means that the engine
  /// queues requests internally, where their order cannot be controlled: its
  /// batch is narrower than declared, and the limit is lowered until the engine
  /// queues none. Returns whether the engine queued this request.
  bool recordFirstTokenWait(Duration Elapsed, double PromptTokens,
                            double Streams, TimePoint Now);

  /// Returns the seconds between two tokens of a stream when the target serves
  /// \p Streams.
  double stepSeconds(double Streams, TimePoint Now) const;

  /// Returns the prefill seconds per uncached prompt token.
  double prefillSeconds() const { return PrefillSeconds; }

  /// Returns the seconds from dispatch to the first token.
  double firstTokenSeconds(double Prompt, double PromptAhead,
                           TimePoint Now) const;

  /// Returns the seconds from dispatch to the end of the answer.
  double totalSeconds(const TokenCost &Cost, double PromptAhead, double Streams,
                      TimePoint Now) const;

  /// Returns the target's decode tokens per second with \p Streams.
  double throughput(double Streams, TimePoint Now) const;

  /// Returns the factor by which the target is slower than usual; below 1 if it
  /// is faster. A slowdown decays when no samples arrive.
  double slowdown(TimePoint Now) const;

  /// Returns how many requests the target may have in flight: the declared or
  /// detected batch width, reduced in proportion to a slowdown.
  std::uint32_t requestLimit(TimePoint Now) const;

  bool calibrated() const { return Samples >= MinSamples; }
  /// Returns whether firstTokenSeconds() is based on enough answers.
  bool firstTokenCalibrated() const { return PrefillSamples >= MinSamples; }

private:
  static constexpr std::uint32_t MinSamples = 8;

  double decayed(double Measured, double Guess, TimePoint Now) const;
  double initialStepAt(double Streams) const;
  double fittedStepAt(double Streams) const;
  void fitLine(double Step, double Streams, TimePoint Now);

  double DeclaredWidth = 32; ///< declared batch width
  double Window = 32;        ///< detected batch width, at most DeclaredWidth
  TimePoint NextReduction{}; ///< earliest time of the next reduction of Window
  /// Least seen seconds to a first token beyond its prefill.
  double MinExtraWait = 1e9;
  double GuessedStep = 0.032; ///< seconds, with a full batch
  std::uint32_t Samples = 0;
  double MeanStep = 0;    ///< seconds
  double MeanStreams = 0; ///< streams
  double Covariance = 0;
  double Variance = 0;
  double StepRatio = 1.0; ///< ratio of recent step times to the fitted line
  double GuessedPrefill = 0.0001;
  double Overhead = 0.005; ///< seconds to the first token of an empty prompt
  double PrefillSeconds = 0.0001; ///< per uncached prompt token
  std::uint32_t PrefillSamples = 0;
  TimePoint LastSample{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_MODEL_H
