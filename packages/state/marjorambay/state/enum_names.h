/// Names of enumerators: one table per enum, used for printing and parsing.
#ifndef MARJORAMBAY_STATE_ENUM_NAMES_H
#define MARJORAMBAY_STATE_ENUM_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marjorambay {

/// Names of the enumerators of EnumType, in order from 0. Each enum specialises
/// this variable next to its definition and checks the size with static_assert.
template <typename EnumType>
inline constexpr std::array<std::string_view, 0> NamesOf{};

/// Returns the name of \p Value, or "?" if it is out of range.
template <typename EnumType> constexpr std::string_view nameOf(EnumType Value) {
  const auto Index = static_cast<std::size_t>(Value);
  return Index < NamesOf<EnumType>.size() ? NamesOf<EnumType>[Index] : "?";
}

/// Returns the enumerator named \p Name, or nullopt.
template <typename EnumType>
constexpr std::optional<EnumType> parseEnum(std::string_view Name) {
  for (std::size_t Index = 0; Index < NamesOf<EnumType>.size(); ++Index)
    if (NamesOf<EnumType>[Index] == Name)
      return static_cast<EnumType>(Index);
  return std::nullopt;
}

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ENUM_NAMES_H
