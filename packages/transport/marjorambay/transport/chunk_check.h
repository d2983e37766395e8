/// Checks that http_parser does not make of the chunks of a response.
#ifndef MARJORAMBAY_TRANSPORT_CHUNK_CHECK_H
#define MARJORAMBAY_TRANSPORT_CHUNK_CHECK_H

#include "marjorambay/transport/response_head_check.h"

#include <cstdint>
#include <string_view>

namespace marjorambay {

/// Follows a chunked body and its trailers beside http_parser, which accepts
/// any two bytes after the data of a chunk, and any byte for the line feed of a
/// size line.
class ChunkCheck {
public:
  /// Takes the next bytes of the body; those after its trailers are ignored.
  /// Returns false as soon as the chunks are malformed.
  bool feed(std::string_view Bytes);

private:
  enum class State : std::uint8_t {
    Size,
    SizePadding, ///< blanks after the digits
    Extension,
    SizeEnd, ///< expects the line feed of the size line
    Data,
    DataReturn, ///< expects the carriage return after the data
    DataEnd,    ///< expects the line feed after it
    Trailers,
  };

  bool addByte(char C);
  bool addToSize(char C);
  bool endSize(char C);

  State Now = State::Size;
  bool HasDigit = false;
  std::uint64_t Remaining = 0; ///< bytes of the chunk
  ResponseHeadCheck Trailers = ResponseHeadCheck::ofTrailers();
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_CHUNK_CHECK_H
