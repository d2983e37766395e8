/// Encoding of intent segments.
#include "marjorambay/coordination/intent_codec.h"

#include <cstddef>

namespace marjorambay {

namespace {

constexpr std::string_view Magic = "MJIS";
constexpr std::uint8_t FormatVersion = 1;
constexpr std::size_t SealedOffset = 5;
constexpr std::size_t ChecksumBytes = 8;

template <typename Number> void put(std::string &Out, Number Value) {
  for (std::size_t Byte = 0; Byte < sizeof(Number); ++Byte)
    Out.push_back(static_cast<char>(
        (static_cast<std::uint64_t>(Value) >> (8 * Byte)) & 0xFF));
}

/// Reads numbers from the front of a byte string. Valid becomes false when too
/// few bytes remain.
struct Reader {
  std::string_view Remaining{};
  bool Valid = true;

  template <typename Number> Number read() {
    if (Remaining.size() < sizeof(Number)) {
      Valid = false;
      return Number{};
    }
    std::uint64_t Value = 0;
    for (std::size_t Byte = 0; Byte < sizeof(Number); ++Byte)
      Value |= static_cast<std::uint64_t>(
                   static_cast<unsigned char>(Remaining[Byte]))
               << (8 * Byte);
    Remaining.remove_prefix(sizeof(Number));
    return static_cast<Number>(Value);
  }
};

void putRecord(std::string &Out, const IntentRecord &Record) {
  put(Out, number(Record.Kind));
  put(Out, Record.Key.High);
  put(Out, Record.Key.Low);
  put(Out, number(Record.Request));
  if (Record.Kind == IntentRecordKind::Intent)
    put(Out, Record.BodyHash);
  else
    put(Out, Record.HttpStatus);
}

void putBatch(std::string &Out, const IntentBatch &Batch) {
  put(Out, number(Batch.Id.Writer));
  put(Out, number(Batch.Id.Incarnation));
  put(Out, Batch.Id.Number);
  put(Out,
      static_cast<std::uint64_t>(Batch.Written.time_since_epoch().count()));
  put(Out, static_cast<std::uint32_t>(Batch.Records.size()));
  for (const IntentRecord &Record : Batch.Records)
    putRecord(Out, Record);
}

IntentRecord readRecord(Reader &In) {
  IntentRecord Record;
  const auto Kind = In.read<std::uint8_t>();
  if (Kind >= NamesOf<IntentRecordKind>.size())
    In.Valid = false;
  Record.Kind = static_cast<IntentRecordKind>(Kind);
  Record.Key.High = In.read<std::uint64_t>();
  Record.Key.Low = In.read<std::uint64_t>();
  Record.Request = static_cast<RequestTag>(In.read<std::uint64_t>());
  if (Record.Kind == IntentRecordKind::Intent)
    Record.BodyHash = In.read<std::uint64_t>();
  else
    Record.HttpStatus = In.read<std::uint16_t>();
  return Record;
}

IntentBatch readBatch(Reader &In) {
  IntentBatch Batch;
  Batch.Id.Writer = static_cast<HostId>(In.read<std::uint64_t>());
  Batch.Id.Incarnation = static_cast<IncarnationId>(In.read<std::uint64_t>());
  Batch.Id.Number = In.read<std::uint64_t>();
  Batch.Written =
      WallTime(Duration(static_cast<Duration::rep>(In.read<std::uint64_t>())));
  const auto Count = In.read<std::uint32_t>();
  for (std::uint32_t Row = 0; Row < Count && In.Valid; ++Row)
    Batch.Records.push_back(readRecord(In));
  return Batch;
}

Error corrupt(const char *Reason) {
  return Error{ErrorKind::Internal, std::string("intent segment: ") + Reason};
}

} // namespace

RequestTag tagOf(const RequestKey &Key) {
  std::string Bytes;
  put(Bytes, number(Key.Origin));
  put(Bytes, number(Key.OriginIncarnation));
  put(Bytes, number(Key.Id));
  return static_cast<RequestTag>(hash64(Bytes));
}

std::string encodeSegment(const IntentSegment &Segment) {
  std::string Out(Magic);
  put(Out, FormatVersion);
  put(Out, static_cast<std::uint8_t>(Segment.Sealed ? 1 : 0));
  put(Out, SegmentSlots);
  put(Out, Segment.Shard);
  put(Out, Segment.Sequence);
  for (const IntentBatch &Batch : Segment.Batches)
    putBatch(Out, Batch);
  put(Out, hash64(Out));
  return Out;
}

std::string appendBatch(std::string_view Bytes, const IntentBatch &Batch,
                        bool Seal) {
  assert(Bytes.size() > SealedOffset + ChecksumBytes && "not a segment");
  std::string Out(Bytes.substr(0, Bytes.size() - ChecksumBytes));
  Out[SealedOffset] = Seal ? '\1' : '\0';
  putBatch(Out, Batch);
  put(Out, hash64(Out));
  return Out;
}

Result<IntentSegment> decodeSegment(std::string_view Bytes) {
  if (Bytes.size() < Magic.size() + ChecksumBytes ||
      Bytes.substr(0, Magic.size()) != Magic)
    return corrupt("not a segment");
  const std::string_view Body = Bytes.substr(0, Bytes.size() - ChecksumBytes);
  Reader Checksum{Bytes.substr(Body.size())};
  if (Checksum.read<std::uint64_t>() != hash64(Body))
    return corrupt("checksum mismatch");
  Reader In{Body.substr(Magic.size())};
  if (In.read<std::uint8_t>() != FormatVersion)
    return corrupt("unknown format version");
  IntentSegment Segment;
  Segment.Sealed = In.read<std::uint8_t>() != 0;
  if (In.read<std::uint32_t>() != SegmentSlots)
    return corrupt("unexpected number of ring slots");
  Segment.Shard = In.read<std::uint32_t>();
  Segment.Sequence = In.read<std::uint64_t>();
  while (In.Valid && !In.Remaining.empty())
    Segment.Batches.push_back(readBatch(In));
  if (!In.Valid)
    return corrupt("truncated");
  return Segment;
}

} // namespace marjorambay
