/// Binary format of intent segments: versioned, little-endian, with a checksum.
///
/// A segment consists of a header, the batches in the order in which they were
/// written, and the 64-bit XXH3 hash of everything before it. Batches are only
/// appended, so that a reader of any version sees a prefix of the final
/// segment. An intent takes 33 bytes, an outcome 27, a batch 36, header and
/// checksum 30.
#ifndef MARJORAMBAY_COORDINATION_INTENT_CODEC_H
#define MARJORAMBAY_COORDINATION_INTENT_CODEC_H

#include "marjorambay/coordination/origin.h"
#include "marjorambay/state/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Number of slots in a shard's ring of segments; segment N is stored in slot N
/// modulo this. It is part of the format: hosts with different values would
/// miss each other's keys.
inline constexpr std::uint32_t SegmentSlots = 1024;

/// 64-bit hash that identifies a request among those with the same idempotency
/// key.
enum class RequestTag : std::uint64_t {};
RequestTag tagOf(const RequestKey &Key);

enum class IntentRecordKind : std::uint8_t {
  Intent,   ///< the request may be dispatched from now on
  Applied,  ///< the request ran and ended with HttpStatus
  Unknown,  ///< the request may have run
  Released, ///< the request provably did not run, and the key is free
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
  std::uint64_t BodyHash = 0;   ///< set for intents only
  std::uint16_t HttpStatus = 0; ///< set for Applied only
  bool operator==(const IntentRecord &) const = default;
};

/// Identifies a write, so that its writer can find out whether it was
/// committed.
struct WriteId {
  HostId Writer{};
  IncarnationId Incarnation{};
  std::uint64_t Number = 0;
  // clang-tidy 14 reports compiler-generated names here.
  auto operator<=>(const WriteId &) const = default; // NOLINT
};

/// Records that one conditional update appended.
struct IntentBatch {
  WriteId Id{};
  WallTime Written{}; ///< by the writer's clock; 0 if unknown
  std::vector<IntentRecord> Records{};
  bool operator==(const IntentBatch &) const = default;
};

struct IntentSegment {
  std::uint32_t Shard = 0;
  std::uint64_t Sequence = 0; ///< number of the segment within its shard
  bool Sealed = false;        ///< full; appends go to the next segment
  std::vector<IntentBatch> Batches{};
  bool operator==(const IntentSegment &) const = default;
};

std::string encodeSegment(const IntentSegment &Segment);

/// Returns the encoded segment \p Bytes with \p Batch appended.
std::string appendBatch(std::string_view Bytes, const IntentBatch &Batch,
                        bool Seal);

/// Returns an error if \p Bytes are truncated, corrupt or of an unknown
/// version. No conclusion may be drawn from such a segment.
Result<IntentSegment> decodeSegment(std::string_view Bytes);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_INTENT_CODEC_H
