/// Parsing of the Retry-After header.
#include "marjorambay/protocol/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace marjorambay {

std::optional<Duration> parseRetryAfter(std::string_view Text) {
  constexpr double MaxSeconds = 24 * 3600.0;
  double Seconds = 0;
  const char *End = Text.data() + Text.size();
  const auto Read =
      std::from_chars(Text.data(), End, Seconds, std::chars_format::fixed);
  const bool IsNumber = Read.ec == std::errc() && Read.ptr == End;
  if (!IsNumber || std::isnan(Seconds) || std::signbit(Seconds))
    return std::nullopt;
  return fromSeconds(std::min(Seconds, MaxSeconds));
}

} // namespace marjorambay
