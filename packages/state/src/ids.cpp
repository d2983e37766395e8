/// Hashing of names to ids, and formatting of request keys.
#include "marjorambay/state/ids.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace marjorambay {

std::uint64_t hash64(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

std::string formatKey(const RequestKey &Key) {
  std::array<char, 64> Text{};
  const int Length = std::snprintf(
      Text.data(), Text.size(), "%016llx-%llx-%llx",
      static_cast<unsigned long long>(number(Key.Origin)),
      static_cast<unsigned long long>(number(Key.OriginIncarnation)),
      static_cast<unsigned long long>(number(Key.Id)));
  return {Text.data(), static_cast<std::size_t>(Length)};
}

} // namespace marjorambay
