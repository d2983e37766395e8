/// What the scheduler reads of an OpenAI-style completion request and answer.
/// The bytes themselves are relayed as they are.
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
  std::uint32_t MaxOutputTokens = 0; ///< 0: not given
  std::uint64_t PrefixHash = 0;      ///< of the prompt's head and the model
};

/// Bytes of text that are taken for one token.
inline constexpr std::size_t BytesPerToken = 4;
/// Bytes of the prompt's head that decide on prefix affinity.
inline constexpr std::size_t PrefixBytes = 1024;

/// Reads a completions or chat completions request. Errors never quote the
/// prompt.
Result<CompletionRequest> parseCompletion(RouteKind Kind,
                                          std::string_view Body);

/// Token counts as an engine reports them.
struct TokenUsage {
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
};

/// Reads the usage of a whole answer, or of the last event of a stream. Nothing
/// when \p Json is not a whole JSON object; zeros when it tells no usage.
std::optional<TokenUsage> parseUsage(std::string_view Json);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_COMPLETION_H
