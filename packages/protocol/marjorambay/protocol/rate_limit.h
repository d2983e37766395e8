/// The header in which a target names the rate that it takes.
#ifndef MARJORAMBAY_PROTOCOL_RATE_LIMIT_H
#define MARJORAMBAY_PROTOCOL_RATE_LIMIT_H

#include <optional>
#include <string_view>

namespace marjorambay {

/// Parses a decimal number of requests a second, with a fraction or without.
/// Spaces around it don't count. Returns nullopt for anything else: negative
/// numbers, infinity, exponents, and text after the number.
std::optional<double> parseRateLimit(std::string_view Text);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_RATE_LIMIT_H
