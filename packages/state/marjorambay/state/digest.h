/// SHA-256 of API keys, so that neither configuration nor memory holds a key in
/// clear text.
#ifndef MARJORAMBAY_STATE_DIGEST_H
#define MARJORAMBAY_STATE_DIGEST_H

#include <string>
#include <string_view>

namespace marjorambay {

/// Returns the SHA-256 of \p Bytes as 64 hexadecimal digits (FIPS 180-4).
std::string sha256Hex(std::string_view Bytes);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_DIGEST_H
