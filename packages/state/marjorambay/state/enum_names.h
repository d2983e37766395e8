/// Names of enumerators: one table beside each enum serves print and parse.
#ifndef MARJORAMBAY_STATE_ENUM_NAMES_H
#define MARJORAMBAY_STATE_ENUM_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marjorambay {

/// Names of the enumerators of EnumType, in order from 0. An enum specialises
/// this variable beside its definition and checks the size by static_assert.
template <typename EnumType>
inline constexpr std::array<std::string_view, 0> NamesOf{};

/// Returns the name of \p Value, or "?" when it is outside its table.
template <typename EnumType> constexpr std::string_view nameOf(EnumType Value) {
  const auto Index = static_cast<std::size_t>(Value);
  return Index < NamesOf<EnumType>.size() ? NamesOf<EnumType>[Index] : "?";
}

/// Returns the enumerator called \p Name, or nothing.
template <typename EnumType>
constexpr std::optional<EnumType> parseEnum(std::string_view Name) {
  for (std::size_t Index = 0; Index < NamesOf<EnumType>.size(); ++Index)
    if (NamesOf<EnumType>[Index] == Name)
      return static_cast<EnumType>(Index);
  return std::nullopt;
}

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_ENUM_NAMES_H
