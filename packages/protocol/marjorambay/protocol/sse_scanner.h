/// Watches a stream of server-sent events go by, without a copy of it.
#ifndef MARJORAMBAY_PROTOCOL_SSE_SCANNER_H
#define MARJORAMBAY_PROTOCOL_SSE_SCANNER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

/// Counts text events and finds the usage and the done mark, whatever the
/// boundaries of the pieces. Cost: one pass for the line ends and one search
/// in each line; no allocation for lines that lie within one piece.
class SseScanner {
public:
  void scan(std::string_view Piece);

  /// Events with text so far.
  std::uint32_t textEvents() const { return TextEvents; }
  /// Whether "data: [DONE]" went by.
  bool done() const { return Done; }
  /// JSON of the last event that told usage; empty before one.
  const std::string &usageJson() const { return UsageJson; }

private:
  void line(std::string_view Line);

  std::uint32_t TextEvents = 0;
  bool Done = false;
  bool Overlong = false; ///< the line under way lost its tail
  std::string Partial{}; ///< start of a line whose end has not come
  std::string UsageJson{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_SSE_SCANNER_H
