/// Parsing of OpenAI-style completion requests and answers, as far as the
/// scheduler needs it. The bytes themselves are relayed unmodified.
#ifndef MARJORAMBAY_PROTOCOL_COMPLETION_H
#define MARJORAMBAY_PROTOCOL_COMPLETION_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/fleet_config.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambay {

struct CompletionRequest {
  std::string Model{};
  bool Stream = false;
  std::uint32_t PromptTokens = 0;    ///< estimate; exact for token arrays
  std::uint32_t MaxOutputTokens = 0; ///< 0 if unspecified
  std::uint64_t PrefixHash = 0;      ///< hash of model and prompt prefix
};

/// Bytes of text per token, for estimates.
inline constexpr std::size_t BytesPerToken = 4;
/// Length in bytes of the prompt prefix that is used for prefix affinity.
inline constexpr std::size_t PrefixBytes = 1024;

/// Parses a completions or chat completions request. Error messages never quote
/// the prompt.
Result<CompletionRequest> parseCompletion(RouteKind Kind,
                                          std::string_view Body);

/// Token counts as an engine reports them.
struct TokenUsage {
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
};

/// Parses the usage of a complete answer, or of the last event of a stream.
/// Returns nullopt if \p Json is not a complete JSON object, and zeros if it
/// has no usage.
std::optional<TokenUsage> parseUsage(std::string_view Json);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_COMPLETION_H
