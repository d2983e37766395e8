/// Scans a stream of server-sent events without copying it.
#ifndef MARJORAMBAY_PROTOCOL_SSE_SCANNER_H
#define MARJORAMBAY_PROTOCOL_SSE_SCANNER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

/// Counts text events and finds the usage and the end marker, independent of
/// how the stream is split into pieces. Each byte is searched for line ends
/// once, and each line for its content once. Lines within one piece need no
/// allocation.
class SseScanner {
public:
  void scan(std::string_view Piece);

  /// Number of events with text so far.
  std::uint32_t textEvents() const { return TextEvents; }
  /// Whether "data: [DONE]" was received.
  bool done() const { return Done; }
  /// JSON of the last event with usage; empty if there was none.
  const std::string &usageJson() const { return UsageJson; }

private:
  void processLine(std::string_view Line);

  std::uint32_t TextEvents = 0;
  bool Done = false;
  bool Overlong = false; ///< the current line was truncated
  std::string Partial{}; ///< start of an incomplete line
  std::string UsageJson{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_SSE_SCANNER_H
