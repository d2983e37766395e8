/// Parsing and formatting of socket addresses.
#include "marjorambay/state/address.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace marjorambay {

namespace {

bool isIpNumber(const std::string &Ip) {
  if (Ip.find('\0') != std::string::npos)
    return false; // inet_pton() reads up to it
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return inet_pton(AF_INET, Ip.c_str(), Bytes.data()) == 1 ||
         inet_pton(AF_INET6, Ip.c_str(), Bytes.data()) == 1;
}

Error notAnAddress(std::string_view Text) {
  return Error{ErrorKind::BadSettings,
               "\"" + std::string(Text) +
                   "\" is not an IP address and port, as in 10.0.0.1:8000"};
}

} // namespace

Result<SocketAddress> parseAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return notAnAddress(Text);

  std::string_view Ip = Text.substr(0, Colon);
  const bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  else if (Ip.find(':') != std::string_view::npos)
    return notAnAddress(Text);

  SocketAddress Address;
  Address.Ip = std::string(Ip);
  const std::string_view Port = Text.substr(Colon + 1);
  const char *End = Port.data() + Port.size();
  const auto Parsed = std::from_chars(Port.data(), End, Address.Port);
  const bool PortIsNumber =
      !Port.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
  if (!PortIsNumber || !isIpNumber(Address.Ip))
    return notAnAddress(Text);
  return Address;
}

std::string formatAddress(const SocketAddress &Address) {
  const bool IsIpv6 = Address.Ip.find(':') != std::string::npos;
  const std::string Host = IsIpv6 ? "[" + Address.Ip + "]" : Address.Ip;
  return Host + ":" + std::to_string(Address.Port);
}

} // namespace marjorambay
