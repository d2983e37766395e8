/// Parser of rates that targets name.
#include "marjorambay/protocol/rate_limit.h"

#include <charconv>

namespace marjorambay {

std::optional<double> parseRateLimit(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == std::string_view::npos)
    return std::nullopt;
  Text = Text.substr(Begin, Text.find_last_not_of(Blanks) - Begin + 1);
  if (Text.find_first_not_of("0123456789.") != std::string_view::npos)
    return std::nullopt;
  double Value = 0;
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const bool Whole =
      Read.ec == std::errc() && Read.ptr == Text.data() + Text.size();
  return Whole ? std::optional(Value) : std::nullopt;
}

} // namespace marjorambay
