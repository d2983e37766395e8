/// Limits that targets name for themselves: what their answers say, what other
/// hosts pass on, and the arbiters that keep them.
#include "forward_host.h"

#include "marjorambay/protocol/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace marjorambay {

namespace {

/// Words in one digest; more are passed on in rotation.
constexpr std::size_t MaxWordsInDigest = 16;

void logChange(const ForwardHost &H, TargetId Target, LimitChange Change) {
  const auto Listed = H.Targets.find(Target);
  LogLine("target_limit")
      .with("target",
            Listed == H.Targets.end() ? "unlisted" : Listed->second.Name)
      .with("change", nameOf(Change))
      .with("per_minute", std::lround(60 * H.Limits.limit(Target).value_or(0)));
}

void applyChange(const ForwardHost &H, TargetId Target, LimitChange Change) {
  if (Change != LimitChange::None)
    logChange(H, Target, Change);
}

/// Returns what the head says; nothing if it does not count.
std::optional<TargetLimitWord> readLimit(const ForwardHost &H,
                                         const TargetAttempt &Attempt,
                                         const HttpHead &Head) {
  constexpr int Misdirected = 421; // another target answers at this address
  if (Head.Status == Misdirected)
    return std::nullopt;
  TargetLimitWord Word{Attempt.Target, Attempt.TargetIncarnation};
  Word.Age = H.Loop.now() - Attempt.DispatchedAt;
  const auto Count = std::count_if(
      Head.Headers.begin(), Head.Headers.end(), [&H](const HttpHeader &Header) {
        return equalsIgnoringCase(Header.Name, H.HeaderNames.RateLimit);
      });
  // A target that rejects a request need not say more than that.
  if (Count == 0)
    return Attempt.Declined ? std::nullopt : std::optional(Word);
  const std::string_view Text = Head.header(H.HeaderNames.RateLimit);
  Word.PerSecond = Count == 1 ? parseRateLimit(Text) : std::nullopt;
  if (Word.PerSecond)
    return Word;
  LogLine("target_limit_ignored", LogLevel::Warning)
      .with("target", Attempt.TargetName)
      .with("value", Text.substr(0, 40));
  return std::nullopt;
}

} // namespace

void recordTargetLimit(ForwardHost &H, const TargetAttempt &Attempt,
                       const HttpHead &Head) {
  if (const auto Word = readLimit(H, Attempt, Head))
    applyChange(H, Word->Target, H.Limits.hear(*Word, H.Loop.now()));
}

void learnTargetLimits(ForwardHost &H,
                       const std::vector<TargetLimitWord> &Words) {
  for (const TargetLimitWord &Word : Words) {
    const auto Listed = H.Targets.find(Word.Target);
    const bool Current = Listed != H.Targets.end() &&
                         Listed->second.Incarnation <= Word.Incarnation;
    if (Current)
      applyChange(H, Word.Target, H.Limits.learn(Word, H.Loop.now()));
  }
}

std::vector<TargetLimitWord> limitsToPassOn(ForwardHost &H) {
  return H.Limits.someWords(MaxWordsInDigest, H.Loop.now());
}

void dropOutdatedLimits(ForwardHost &H) {
  std::unordered_map<TargetId, IncarnationId> Listed;
  for (const auto &[Id, Target] : H.Targets)
    Listed.emplace(Id, Target.Incarnation);
  for (const TargetId Target : H.Limits.retain(Listed))
    applyChange(H, Target, LimitChange::Ended);
}

} // namespace marjorambay
