/// Checks that http_parser does not make of the chunks of a response.
#include "marjorambay/transport/chunk_check.h"

#include <algorithm>
#include <charconv>

namespace marjorambay {

bool ChunkCheck::feed(std::string_view Bytes) {
  while (!Bytes.empty()) {
    if (Now == State::Trailers)
      return Trailers.feed(Bytes);
    if (Now == State::Data) {
      const std::uint64_t Taken =
          std::min<std::uint64_t>(Remaining, Bytes.size());
      Bytes.remove_prefix(Taken);
      Remaining -= Taken;
      if (Remaining == 0)
        Now = State::DataReturn;
      continue;
    }
    if (!addByte(Bytes.front()))
      return false;
    Bytes.remove_prefix(1);
  }
  return true;
}

bool ChunkCheck::addByte(char C) {
  switch (Now) {
  case State::Size:
    return addToSize(C);
  case State::SizePadding:
    return endSize(C);
  case State::Extension:
    if (C == '\r')
      Now = State::SizeEnd;
    return C == '\r' || isLineByte(C);
  case State::SizeEnd:
    Now = Remaining == 0 ? State::Trailers : State::Data;
    return C == '\n';
  case State::DataReturn:
    Now = State::DataEnd;
    return C == '\r';
  case State::DataEnd:
    Now = State::Size;
    HasDigit = false;
    return C == '\n';
  case State::Data:
  case State::Trailers:
    break;
  }
  return false;
}

bool ChunkCheck::addToSize(char C) {
  constexpr int Base = 16;
  unsigned Digit = 0;
  if (std::from_chars(&C, &C + 1, Digit, Base).ec != std::errc())
    return HasDigit && endSize(C);
  HasDigit = true;
  if (Remaining > UINT64_MAX / Base)
    return false;
  Remaining = Remaining * Base + Digit;
  return true;
}

bool ChunkCheck::endSize(char C) {
  switch (C) {
  case ' ':
  case '\t':
    Now = State::SizePadding;
    return true;
  case ';':
    Now = State::Extension;
    return true;
  case '\r':
    Now = State::SizeEnd;
    return true;
  default:
    return false;
  }
}

} // namespace marjorambay
