/// Tests of the intent segment format: round trips, and rejection of invalid
/// input.
#include "marjorambay/coordination/intent_codec.h"

#include <doctest/doctest.h>

using namespace marjorambay;

namespace {

IntentBatch batchOf(std::uint64_t Number, std::size_t Intents) {
  IntentBatch Batch;
  Batch.Id = {HostId{7}, IncarnationId{8}, Number};
  Batch.Written = WallTime(seconds(1000 + Number));
  for (std::size_t Row = 0; Row < Intents; ++Row)
    Batch.Records.push_back({IntentRecordKind::Intent,
                             {Number, Row},
                             static_cast<RequestTag>(Row * 31),
                             Row * 17});
  Batch.Records.push_back(
      {IntentRecordKind::Applied, {Number, 0}, RequestTag{5}, 0, 201});
  return Batch;
}

} // namespace

TEST_CASE("an intent segment is encoded and decoded") {
  IntentSegment Segment;
  Segment.Shard = 3;
  Segment.Sequence = 700;
  Segment.Batches = {batchOf(1, 3)};
  const std::string Bytes = encodeSegment(Segment);
  const Result<IntentSegment> Read = decodeSegment(Bytes);
  REQUIRE(ok(Read));
  CHECK(value(Read) == Segment);

  SUBCASE("a batch is appended and the segment sealed") {
    const std::string Longer = appendBatch(Bytes, batchOf(2, 2), true);
    Segment.Batches.push_back(batchOf(2, 2));
    Segment.Sealed = true;
    CHECK(Longer == encodeSegment(Segment));
    CHECK(value(decodeSegment(Longer)) == Segment);
  }
  SUBCASE("its size is as documented in the header") {
    CHECK(encodeSegment({}).size() == 30);
    CHECK(Bytes.size() == 30 + 36 + 3 * 33 + 27);
  }
  SUBCASE("truncated at any byte, it is rejected") {
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CHECK_FALSE(ok(decodeSegment(Bytes.substr(0, Length))));
  }
  SUBCASE("with any bit flipped, it is rejected") {
    for (std::size_t Bit = 0; Bit < Bytes.size() * 8; ++Bit) {
      std::string Bad = Bytes;
      Bad[Bit / 8] = static_cast<char>(Bad[Bit / 8] ^ (1 << (Bit % 8)));
      CHECK_FALSE(ok(decodeSegment(Bad)));
    }
  }
  SUBCASE("random bytes with a valid checksum never crash the decoder") {
    std::uint64_t Draw = 42;
    for (int Round = 0; Round < 2000; ++Round) {
      std::string Bad = Bytes.substr(0, Bytes.size() - 8);
      for (int Change = 0; Change < 4; ++Change) {
        Draw = Draw * 6364136223846793005ULL + 1442695040888963407ULL;
        Bad[(Draw >> 33) % Bad.size()] = static_cast<char>(Draw >> 20);
      }
      Bad.resize(Bad.size() - (Draw >> 40) % 20);
      const std::uint64_t Sum = hash64(Bad);
      for (int Byte = 0; Byte < 8; ++Byte)
        Bad.push_back(static_cast<char>(Sum >> (8 * Byte)));
      const Result<IntentSegment> Maybe = decodeSegment(Bad);
      if (ok(Maybe)) // a valid segment must survive a round trip
        CHECK(ok(decodeSegment(encodeSegment(value(Maybe)))));
    }
  }
}
