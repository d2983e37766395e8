/// Reading of completion requests and usage with nlohmann::json.
#include "marjorambay/protocol/completion.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace marjorambay {

namespace {

using Json = nlohmann::json;

Error bad(std::string Message) {
  return Error{ErrorKind::BadRequest, std::move(Message)};
}

/// Gathers what is asked of a prompt while its parts are walked.
struct PromptSize {
  std::size_t Bytes = 0;
  std::size_t Tokens = 0;
  std::string Head{};

  void addText(const std::string &Text) {
    Bytes += Text.size();
    if (Head.size() < PrefixBytes)
      Head.append(Text, 0, PrefixBytes - Head.size());
  }
  void addToken(const Json &Token) {
    ++Tokens;
    if (Head.size() < PrefixBytes)
      Head += Token.dump() + ",";
  }
  std::uint32_t estimate() const {
    const std::size_t Sum =
        Tokens + (Bytes + BytesPerToken - 1) / BytesPerToken;
    constexpr std::size_t Most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(Sum, 1, Most));
  }
};

/// Adds a string, a token, or an array of either. False: something else.
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

/// Adds the text of one chat message; images and the like count nothing.
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
      return bad("\"prompt\" must be a string, or an array of strings or "
                 "tokens");
    return std::nullopt;
  }
  const auto Messages = Root.find("messages");
  if (Messages == Root.end() || !Messages->is_array() || Messages->empty())
    return bad("\"messages\" must be an array with at least one message");
  for (const Json &Message : *Messages)
    if (!addMessage(Size, Message))
      return bad("each of \"messages\" needs a \"role\" and a \"content\"");
  return std::nullopt;
}

std::optional<Error> readStream(const Json &Root, bool &Stream) {
  const auto Found = Root.find("stream");
  if (Found == Root.end() || Found->is_null())
    return std::nullopt;
  if (!Found->is_boolean())
    return bad("\"stream\" must be true or false");
  Stream = Found->get<bool>();
  return std::nullopt;
}

std::optional<Error> readMaxTokens(const Json &Root, std::uint32_t &Tokens) {
  for (const char *Name : {"max_completion_tokens", "max_tokens"}) {
    const auto Found = Root.find(Name);
    if (Found == Root.end() || Found->is_null())
      continue;
    constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() == 0 ||
        Found->get<std::uint64_t>() > Most)
      return bad("\"" + std::string(Name) +
                 "\" must be a whole number above "
                 "0");
    Tokens = Found->get<std::uint32_t>();
    return std::nullopt;
  }
  return std::nullopt;
}

std::uint32_t countIn(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return 0;
  constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::min(Found->get<std::uint64_t>(), Most));
}

} // namespace

Result<CompletionRequest> parseCompletion(RouteKind Kind,
                                          std::string_view Body) {
  const Json Root = Json::parse(Body, nullptr, false);
  if (Root.is_discarded() || !Root.is_object())
    return bad("the body is not a JSON object");
  CompletionRequest Request;
  const auto Model = Root.find("model");
  if (Model == Root.end() || !Model->is_string())
    return bad("\"model\" must be the name of a model");
  Request.Model = Model->get<std::string>();
  PromptSize Size;
  if (auto Failure = readPrompt(Kind, Root, Size))
    return *Failure;
  if (auto Failure = readStream(Root, Request.Stream))
    return *Failure;
  if (auto Failure = readMaxTokens(Root, Request.MaxOutputTokens))
    return *Failure;
  Request.PromptTokens = Size.estimate();
  Request.PrefixHash = hash64(Request.Model + '\n' + Size.Head);
  return Request;
}

std::optional<TokenUsage> parseUsage(std::string_view Text) {
  const Json Root = Json::parse(Text, nullptr, false);
  if (Root.is_discarded() || !Root.is_object())
    return std::nullopt;
  TokenUsage Counts;
  const auto Usage = Root.find("usage");
  if (Usage == Root.end() || !Usage->is_object())
    return Counts;
  Counts.PromptTokens = countIn(*Usage, "prompt_tokens");
  Counts.OutputTokens = countIn(*Usage, "completion_tokens");
  const auto Details = Usage->find("prompt_tokens_details");
  if (Details != Usage->end() && Details->is_object())
    Counts.CachedTokens = countIn(*Details, "cached_tokens");
  return Counts;
}

} // namespace marjorambay
