/// Calls of the platform's object API and what its answers hold.
#ifndef MARJORAMBAY_PROTOCOL_PLATFORM_API_H
#define MARJORAMBAY_PROTOCOL_PLATFORM_API_H

#include "marjorambay/state/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Whether \p Name is a path of [a-z0-9._-] parts.
bool isObjectName(std::string_view Name);

std::string objectPath(std::string_view Name);
/// Path of a watch: the object once its version is above \p Above, or 204.
std::string watchPath(std::string_view Name, std::uint64_t Above,
                      Duration Wait);

/// Reads the value of an Object-Version header; 0 when it is none.
std::uint64_t parseObjectVersion(std::string_view Header);

/// An entry host on the platform's lagging list.
struct PlatformHost {
  std::string Name{};
  std::string Address{}; ///< IP number and port of its peer socket
  std::string Zone{};
  std::string Region{};
  bool Leaving = false;
};
Result<std::vector<PlatformHost>> parseHosts(std::string_view Json);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_PLATFORM_API_H
