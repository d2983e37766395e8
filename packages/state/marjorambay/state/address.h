/// Socket addresses with numeric IPs; host names are never resolved.
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
  std::uint16_t Port = 0; ///< 0: the system picks a port on bind
  // clang-tidy 14 reports compiler-generated names here.
  auto operator<=>(const SocketAddress &) const = default; // NOLINT
};

/// Parses "10.0.0.1:8000" or "[::1]:8000". Returns BadSettings for anything but
/// a numeric IP address and a port.
Result<SocketAddress> parseAddress(std::string_view Text);

/// Formats an address so that parseAddress() can read it.
std::string formatAddress(const SocketAddress &Address);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ADDRESS_H
