/// The Retry-After header as targets send it.
#ifndef MARJORAMBAY_PROTOCOL_RETRY_AFTER_H
#define MARJORAMBAY_PROTOCOL_RETRY_AFTER_H

#include "marjorambay/state/time.h"

#include <optional>
#include <string_view>

namespace marjorambay {

/// Parses a number of seconds, which may have a fraction. Returns nullopt for
/// anything else, dates included, and for negative numbers. Numbers of more
/// than a day count as a day.
std::optional<Duration> parseRetryAfter(std::string_view Text);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_RETRY_AFTER_H
