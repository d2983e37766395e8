/// SHA-256 by libsodium.
#include "marjorambay/state/digest.h"

#include <sodium.h>

#include <array>

namespace marjorambay {

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> Hash{};
  crypto_hash_sha256(Hash.data(),
                     reinterpret_cast<const unsigned char *>(Bytes.data()),
                     Bytes.size());
  std::array<char, 2 * crypto_hash_sha256_BYTES + 1> Hex{};
  sodium_bin2hex(Hex.data(), Hex.size(), Hash.data(), Hash.size());
  return Hex.data();
}

} // namespace marjorambay
