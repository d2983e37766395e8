/// What is learned of one target: its speed, and how much work it may hold.
#ifndef MARJORAMBAY_COORDINATION_TARGET_MODEL_H
#define MARJORAMBAY_COORDINATION_TARGET_MODEL_H

#include "marjorambay/coordination/requests.h"

#include <cstdint>

namespace marjorambay {

/// Predicts a target's times. An engine that batches continuously takes longer
/// for each step, the more streams share it: step(n) = Fixed + PerStream * n.
/// The line is learned slowly; a slowdown against it, quickly.
class TargetModel {
public:
  /// Starts from a first guess of the decode speed, in tokens a second with
  /// \p BatchWidth streams.
  void configure(double TokensPerSecond, std::uint32_t BatchWidth);

  /// Learns from \p Tokens that one stream got in \p Took, while the target
  /// held \p Streams.
  void learnDecode(std::uint32_t Tokens, Duration Took, double Streams,
                   TimePoint Now);

  /// Learns from a time to first token: \p Prompt uncached tokens of its own,
  /// \p PromptAhead of requests before it.
  void learnPrefill(std::uint32_t Prompt, std::uint32_t PromptAhead,
                    Duration Took, TimePoint Now);

  /// Learns from the time that a request waited for its first token beyond its
  /// prefill, when it was granted as one of \p Streams. A wait of many steps
  /// means that the engine queues requests, out of our reach: its batch is
  /// narrower than declared, and the limit comes down until it queues none.
  /// Returns whether the engine queued this one.
  bool learnQueueing(Duration Took, double PromptTokens, double Streams,
                     TimePoint Now);

  /// Returns the seconds between two tokens of a stream, of \p Streams.
  double stepSeconds(double Streams, TimePoint Now) const;

  /// Returns the seconds that each uncached prompt token takes.
  double prefillSeconds() const { return PrefillSeconds; }

  /// Returns the seconds from dispatch to the first token.
  double firstTokenSeconds(double Prompt, double PromptAhead,
                           TimePoint Now) const;

  /// Returns the seconds from dispatch to the end of the answer.
  double totalSeconds(const TokenCost &Cost, double PromptAhead, double Streams,
                      TimePoint Now) const;

  /// Returns the target's decode tokens a second with \p Streams.
  double throughput(double Streams, TimePoint Now) const;

  /// Returns how many times slower the target is than it used to be; below 1
  /// it is faster. A slowdown is forgotten when no samples come.
  double slowdown(TimePoint Now) const;

  /// Returns how many requests the target may hold: its batch as declared or
  /// found, and fewer in proportion to its slowdown.
  std::uint32_t requestLimit(TimePoint Now) const;

  bool learned() const { return Samples >= SamplesBeforeTrust; }

private:
  static constexpr std::uint32_t SamplesBeforeTrust = 8;

  double relaxed(double Learned, double Guess, TimePoint Now) const;
  double guessAt(double Streams) const;
  double lineAt(double Streams) const;
  void fitLine(double Step, double Streams, TimePoint Now);

  double Width = 32;          ///< of the batch, as declared
  double Window = 32;         ///< of the batch, as found; at most Width
  TimePoint NextCut{};        ///< of the window
  double LeastExtra = 1e9;    ///< seconds to a first token beyond its prefill
  double GuessedStep = 0.032; ///< seconds, with a full batch
  std::uint32_t Samples = 0;
  double MeanStep = 0;    ///< seconds
  double MeanStreams = 0; ///< streams
  double Covariance = 0;
  double Variance = 0;
  double Ratio = 1.0; ///< of recent steps to the line
  double GuessedPrefill = 0.0001;
  double Overhead = 0.005;        ///< seconds to the first token, empty prompt
  double PrefillSeconds = 0.0001; ///< for each uncached prompt token
  std::uint32_t PrefillSamples = 0;
  TimePoint LastSample{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_MODEL_H
