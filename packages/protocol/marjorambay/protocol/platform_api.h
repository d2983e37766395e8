/// Paths and response bodies of the platform's object API.
#ifndef MARJORAMBAY_PROTOCOL_PLATFORM_API_H
#define MARJORAMBAY_PROTOCOL_PLATFORM_API_H

#include "marjorambay/state/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Returns whether \p Name consists of non-empty [a-z0-9._-] parts separated by
/// slashes.
bool isObjectName(std::string_view Name);

std::string objectPath(std::string_view Name);
/// Returns the path of a watch call. The platform responds with the object as
/// soon as its version is above \p Above, or with 204 after \p Wait.
std::string watchPath(std::string_view Name, std::uint64_t Above,
                      Duration Wait);

/// Parses the value of an Object-Version header; returns 0 if it is invalid.
std::uint64_t parseObjectVersion(std::string_view Header);

/// An entry host on the platform's host list, which may be out of date.
struct PlatformHost {
  std::string Name{};
  std::string Address{}; ///< numeric IP and port of its peer socket
  std::string Zone{};
  std::string Region{};
  bool Leaving = false;
};
Result<std::vector<PlatformHost>> parseHosts(std::string_view Json);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_PLATFORM_API_H
