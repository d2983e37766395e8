/// Splits a stream of server-sent events at event boundaries, so that a caller
/// never receives part of an event, and records the id of the last event. Tells
/// the events of a target that resumes a stream from other bytes.
#ifndef MARJORAMBAY_PROTOCOL_SSE_SPLITTER_H
#define MARJORAMBAY_PROTOCOL_SSE_SPLITTER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

class SseSplitter {
public:
  /// Maximum size of an event, in bytes.
  static constexpr std::size_t MaxEventBytes = 256 << 10;

  /// Adds received bytes. Returns the events that are now complete and are to
  /// be forwarded; valid until the next call.
  std::string_view feed(std::string_view Bytes);

  /// Bytes of an incomplete event. A stream that ends with some was broken off,
  /// whatever its framing says.
  std::string_view partial() const { return Partial; }
  /// Whether an event exceeds MaxEventBytes. It is not returned, and neither is
  /// what follows it.
  bool hasOverlongEvent() const { return Overlong; }
  /// Discards an incomplete event, after its stream has ended.
  void dropPartial() { Partial.clear(); }

  /// Continues with the stream of another target, which resumes after lastId().
  /// Events with ids up to lastId() are dropped as duplicates.
  void resume();
  /// Whether the target that resumed has sent something else: an event without
  /// an id, or with one that is no number, where all events before had numbers.
  /// It is not returned, and neither is what follows it.
  bool hasForeignEvent() const { return Foreign; }
  /// Whether the target that resumed has sent duplicates only, and not the last
  /// event again: it has not got as far as the target before.
  bool fellShort() const {
    return Resumed && Repeated != 0 && !Continued && Repeated < LastNumber;
  }

  const std::string &lastId() const { return LastId; }
  /// Number of events returned so far.
  std::uint32_t events() const { return Events; }
  /// Number of events that targets have completed, with duplicates. Comments
  /// and blank lines alone are no events: they show that a target is connected,
  /// not that it works on the stream.
  std::uint64_t completed() const { return Completed; }

private:
  /// What becomes of an event.
  enum class Verdict : std::uint8_t { Forward, Drop, Stop };

  Verdict judge(std::string_view Event);

  std::string Partial{};
  std::string Complete{};
  std::string LastId{};
  std::uint64_t LastNumber = 0; ///< numeric value of LastId
  bool Resumed = false;
  bool Continued = false;     ///< events were returned since then
  std::uint64_t Repeated = 0; ///< highest id of the duplicates since then
  bool AllNumbered = true;    ///< of the events returned so far
  bool Foreign = false;
  bool Overlong = false;
  std::uint32_t Events = 0;
  std::uint64_t Completed = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_SSE_SPLITTER_H
