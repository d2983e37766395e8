/// JSON text that this process has not written itself.
///
/// A text is cut into the texts of its values before any of them is parsed, so
/// that one value that can't be read leaves the others readable. Cutting looks
/// at quotes and brackets only, takes one pass and does not recurse. The JSON
/// library recurses once per level when it copies, compares or prints a value,
/// which is why the depth of a text is checked before it is parsed.
///
/// [SECTION] Index
///   1. JsonMember      member of an object
///   2. jsonMembers()   cuts an object or an array
///   3. parseJson()     parses a text of bounded depth
#ifndef MARJORAMBAY_PROTOCOL_JSON_TEXT_H
#define MARJORAMBAY_PROTOCOL_JSON_TEXT_H

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace marjorambay {

/// Levels of arrays and objects within each other; those that this project
/// reads have fewer than ten.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Views into the text that was cut. The value may be invalid JSON.
struct JsonMember {
  std::string_view Name{}; ///< as written, with its escapes
  std::string_view Value{};
};

/// Cuts an object into its members. Returns nullopt if \p Text is not one
/// object.
std::optional<std::vector<JsonMember>> jsonMembers(std::string_view Text);

/// Cuts an array into its elements. Returns nullopt if \p Text is not one
/// array.
std::optional<std::vector<std::string_view>>
jsonElements(std::string_view Text);

/// Returns the value of the first member named \p Name; empty if there is none.
std::string_view memberValue(const std::vector<JsonMember> &Members,
                             std::string_view Name);

/// Returns the number of levels of arrays and objects in \p Text.
std::size_t jsonDepth(std::string_view Text);

/// Parses \p Text. Returns a discarded value if it is not JSON in UTF-8, has a
/// number out of range, or more than MaxJsonDepth levels. \p Json is a
/// nlohmann::basic_json.
template <typename Json> Json parseJson(std::string_view Text) {
  if (jsonDepth(Text) > MaxJsonDepth)
    return Json(Json::value_t::discarded);
  return Json::parse(Text, /*cb=*/nullptr, /*allow_exceptions=*/false);
}

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_JSON_TEXT_H
