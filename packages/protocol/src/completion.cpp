/// Parsing of completion requests and usage with nlohmann::json.
#include "marjorambay/protocol/completion.h"

#include "marjorambay/protocol/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace marjorambay {

namespace {

using Json = nlohmann::json;

Error badRequest(std::string Message) {
  return Error{ErrorKind::BadRequest, std::move(Message)};
}

/// Accumulates size and prefix of a prompt over its parts.
struct PromptSize {
  std::size_t Bytes = 0;
  std::size_t Tokens = 0;
  std::string Prefix{};

  void addText(const std::string &Text) {
    Bytes += Text.size();
    if (Prefix.size() < PrefixBytes)
      Prefix.append(Text, 0, PrefixBytes - Prefix.size());
  }
  void addToken(const Json &Token) {
    ++Tokens;
    if (Prefix.size() < PrefixBytes)
      Prefix += Token.dump() + ",";
  }
  std::uint32_t estimate() const {
    const std::size_t Sum =
        Tokens + (Bytes + BytesPerToken - 1) / BytesPerToken;
    constexpr std::size_t Max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(Sum, 1, Max));
  }
};

/// Adds a string, a token, or an array of either. Returns false for other
/// types.
bool addPrompt(PromptSize &Size, const Json &Prompt, int Depth = 0) {
  if (Prompt.is_string()) {
    Size.addText(Prompt.get_ref<const std::string &>());
    return true;
  }
  if (Prompt.is_number_integer() && Depth > 0) {
    Size.addToken(Prompt);
    return true;
  }
  if (!Prompt.is_array() || Prompt.empty() || Depth > 1)
    return false;
  return std::all_of(Prompt.begin(), Prompt.end(), [&](const Json &Part) {
    return addPrompt(Size, Part, Depth + 1);
  });
}

/// Adds the text of one chat message. Other content, such as images, is not
/// counted.
bool addMessage(PromptSize &Size, const Json &Message) {
  if (!Message.is_object() || !Message.contains("role"))
    return false;
  const auto Content = Message.find("content");
  if (Content == Message.end() || Content->is_null())
    return true;
  if (Content->is_string()) {
    Size.addText(Content->get_ref<const std::string &>());
    return true;
  }
  if (!Content->is_array())
    return false;
  for (const Json &Part : *Content) {
    const auto Text = Part.is_object() ? Part.find("text") : Part.end();
    if (Part.is_object() && Text != Part.end() && Text->is_string())
      Size.addText(Text->get_ref<const std::string &>());
  }
  return true;
}

std::optional<Error> readPrompt(RouteKind Kind, const Json &Root,
                                PromptSize &Size) {
  if (Kind == RouteKind::Completions) {
    const auto Prompt = Root.find("prompt");
    if (Prompt == Root.end() || !addPrompt(Size, *Prompt))
      return badRequest(
          "\"prompt\" must be a string, or an array of strings or "
          "tokens");
    return std::nullopt;
  }
  const auto Messages = Root.find("messages");
  if (Messages == Root.end() || !Messages->is_array() || Messages->empty())
    return badRequest(
        "\"messages\" must be an array with at least one message");
  for (const Json &Message : *Messages)
    if (!addMessage(Size, Message))
      return badRequest(
          "each of \"messages\" needs a \"role\" and a \"content\"");
  return std::nullopt;
}

std::optional<Error> readStream(const Json &Root, bool &Stream) {
  const auto Found = Root.find("stream");
  if (Found == Root.end() || Found->is_null())
    return std::nullopt;
  if (!Found->is_boolean())
    return badRequest("\"stream\" must be true or false");
  Stream = Found->get<bool>();
  return std::nullopt;
}

std::optional<Error> readMaxTokens(const Json &Root, std::uint32_t &Tokens) {
  for (const char *Name : {"max_completion_tokens", "max_tokens"}) {
    const auto Found = Root.find(Name);
    if (Found == Root.end() || Found->is_null())
      continue;
    constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() == 0 ||
        Found->get<std::uint64_t>() > Max)
      return badRequest("\"" + std::string(Name) +
                        "\" must be a whole number above "
                        "0");
    Tokens = Found->get<std::uint32_t>();
    return std::nullopt;
  }
  return std::nullopt;
}

std::uint32_t uint32Field(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return 0;
  constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Found->get<std::uint64_t>(), Max));
}

} // namespace

Result<CompletionRequest> parseCompletion(RouteKind Kind,
                                          std::string_view Body) {
  const Json Root = parseJson<Json>(Body);
  if (Root.is_discarded() || !Root.is_object())
    return badRequest("the request body is not a JSON object");
  CompletionRequest Request;
  const auto Model = Root.find("model");
  if (Model == Root.end() || !Model->is_string())
    return badRequest("\"model\" must be a string");
  Request.Model = Model->get<std::string>();
  PromptSize Size;
  if (auto Failure = readPrompt(Kind, Root, Size))
    return *Failure;
  if (auto Failure = readStream(Root, Request.Stream))
    return *Failure;
  if (auto Failure = readMaxTokens(Root, Request.MaxOutputTokens))
    return *Failure;
  Request.PromptTokens = Size.estimate();
  Request.PrefixHash = hash64(Request.Model + '\n' + Size.Prefix);
  return Request;
}

std::optional<TokenUsage> parseUsage(std::string_view Text) {
  const Json Root = parseJson<Json>(Text);
  if (Root.is_discarded() || !Root.is_object())
    return std::nullopt;
  TokenUsage Counts;
  const auto Usage = Root.find("usage");
  if (Usage == Root.end() || !Usage->is_object())
    return Counts;
  Counts.PromptTokens = uint32Field(*Usage, "prompt_tokens");
  Counts.OutputTokens = uint32Field(*Usage, "completion_tokens");
  const auto Details = Usage->find("prompt_tokens_details");
  if (Details != Usage->end() && Details->is_object())
    Counts.CachedTokens = uint32Field(*Details, "cached_tokens");
  return Counts;
}

} // namespace marjorambay
