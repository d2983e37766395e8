/// Splits a stream of server-sent events at event boundaries, so that a caller
/// never gets part of an event, and knows the id of the last whole one.
#ifndef MARJORAMBAY_PROTOCOL_SSE_SPLITTER_H
#define MARJORAMBAY_PROTOCOL_SSE_SPLITTER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambay {

class SseSplitter {
public:
  /// Takes bytes in. Returns the whole events that they complete, to be sent
  /// on; valid until the next call.
  std::string_view feed(std::string_view Bytes);

  /// Bytes of an event that has not ended.
  std::string_view partial() const { return Partial; }
  /// Forgets a part whose rest will not come.
  void dropPartial() { Partial.clear(); }

  /// Starts on the answer of another target, which goes on after lastId():
  /// events up to it are dropped.
  void resume();

  const std::string &lastId() const { return LastId; }
  /// Whole events that were returned so far.
  std::uint32_t events() const { return Events; }

private:
  bool keep(std::string_view Event);

  std::string Partial{};
  std::string Whole{};
  std::string LastId{};
  std::uint64_t LastNumber = 0; ///< of LastId
  bool Resumed = false;
  std::uint32_t Events = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_SSE_SPLITTER_H
