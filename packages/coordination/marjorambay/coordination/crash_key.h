/// What requests under which targets crash may have in common.
#ifndef MARJORAMBAY_COORDINATION_CRASH_KEY_H
#define MARJORAMBAY_COORDINATION_CRASH_KEY_H

#include "marjorambay/state/enum_names.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace marjorambay {

enum class CrashKeyKind : std::uint8_t {
  Segment, ///< a segment of the prompt
  Request, ///< the request as a whole
};
template <>
inline constexpr std::array NamesOf<CrashKeyKind> =
    std::to_array<std::string_view>({"segment", "request"});
static_assert(NamesOf<CrashKeyKind>.size() == 2);

struct CrashKey {
  CrashKeyKind Kind = CrashKeyKind::Segment;
  /// A segment's number as the caller gives it, or a hash. Below 2^63.
  std::uint64_t Value = 0;

  // clang-tidy 14 reports compiler-generated names here.
  auto operator<=>(const CrashKey &) const = default; // NOLINT
};

/// Returns the value in hexadecimal, at least eight digits, as callers write
/// segments.
std::string formatCrashKey(const CrashKey &Key);

} // namespace marjorambay

template <> struct std::hash<marjorambay::CrashKey> {
  std::size_t operator()(const marjorambay::CrashKey &Key) const noexcept {
    return static_cast<std::size_t>(
        (Key.Value * 2 + static_cast<std::uint64_t>(Key.Kind)) *
        0x9E3779B97F4A7C15);
  }
};

#endif // MARJORAMBAY_COORDINATION_CRASH_KEY_H
