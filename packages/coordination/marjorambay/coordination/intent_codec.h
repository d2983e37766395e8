/// Bytes of an intent segment: versioned, little-endian, with a checksum.
///
/// A segment is a header, batches in the order of their writes, and the 64-bit
/// XXH3 hash of all before it. Batches are only ever added, so that a reader of
/// any version sees a prefix of the final segment. An intent takes 33 bytes,
/// an outcome 27, a batch 36, header and checksum 30.
#ifndef MARJORAMBAY_COORDINATION_INTENT_CODEC_H
#define MARJORAMBAY_COORDINATION_INTENT_CODEC_H

#include "marjorambay/coordination/origin.h"
#include "marjorambay/state/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Slots of a shard's ring of segments; segment N lives in slot N modulo this.
/// Part of the format: hosts that disagreed would miss each other's keys.
inline constexpr std::uint32_t SegmentSlots = 1024;

/// 64 bits that tell a request from the others that use its key.
enum class RequestTag : std::uint64_t {};
RequestTag tagOf(const RequestKey &Key);

enum class IntentRecordKind : std::uint8_t {
  Intent,   ///< a request may be dispatched from now on
  Applied,  ///< it ran; HttpStatus says how it ended
  Unknown,  ///< it may have run
  Released, ///< it provably did not run; the key is free
};
template <>
inline constexpr std::array NamesOf<IntentRecordKind> =
    std::to_array<std::string_view>({"intent", "applied", "unknown",
                                     "released"});
static_assert(NamesOf<IntentRecordKind>.size() == 4);

struct IntentRecord {
  IntentRecordKind Kind = IntentRecordKind::Intent;
  KeyHash Key{};
  RequestTag Request{};
  std::uint64_t BodyHash = 0;   ///< of intents
  std::uint16_t HttpStatus = 0; ///< of applied ones
  bool operator==(const IntentRecord &) const = default;
};

/// Names one write, so that its writer can find out whether it stood.
struct WriteId {
  HostId Writer{};
  IncarnationId Incarnation{};
  std::uint64_t Number = 0;
  // clang-tidy 14 reports the names that the compiler invents here.
  auto operator<=>(const WriteId &) const = default; // NOLINT
};

/// What one conditional update added.
struct IntentBatch {
  WriteId Id{};
  WallTime Written{}; ///< by the writer's clock; 0: it had none
  std::vector<IntentRecord> Records{};
  bool operator==(const IntentBatch &) const = default;
};

struct IntentSegment {
  std::uint32_t Shard = 0;
  std::uint64_t Sequence = 0; ///< of the segment within its shard
  bool Sealed = false;        ///< full; the next segment follows
  std::vector<IntentBatch> Batches{};
  bool operator==(const IntentSegment &) const = default;
};

std::string encodeSegment(const IntentSegment &Segment);

/// Returns \p Bytes, an encoded segment, with \p Batch added.
std::string appendBatch(std::string_view Bytes, const IntentBatch &Batch,
                        bool Seal);

/// Error when \p Bytes are cut, corrupt or of an unknown version; nothing may
/// be concluded from such a segment.
Result<IntentSegment> decodeSegment(std::string_view Bytes);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_INTENT_CODEC_H
