/// Socket addresses by IP number; names are never looked up.
#ifndef MARJORAMBAY_STATE_ADDRESS_H
#define MARJORAMBAY_STATE_ADDRESS_H

#include "marjorambay/state/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

struct SocketAddress {
  std::string Ip{};       ///< IPv4 "10.0.0.1" or IPv6 "::1", no brackets
  std::uint16_t Port = 0; ///< 0: the system picks one when bound
  // clang-tidy 14 reports the names that the compiler invents here.
  auto operator<=>(const SocketAddress &) const = default; // NOLINT
};

/// Parses "10.0.0.1:8000" or "[::1]:8000". Anything but an IP number and a
/// port is BadSettings.
Result<SocketAddress> parseAddress(std::string_view Text);

/// Prints an address in the form that parseAddress() reads.
std::string formatAddress(const SocketAddress &Address);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ADDRESS_H
