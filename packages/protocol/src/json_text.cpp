/// Cutting of JSON text at quotes and brackets.
#include "marjorambay/protocol/json_text.h"

#include <algorithm>

namespace marjorambay {

namespace {

bool isBlank(char C) { return C == ' ' || C == '\t' || C == '\n' || C == '\r'; }

/// Position in a text, moved over whole values.
class JsonCursor {
public:
  explicit JsonCursor(std::string_view Text) : Text(Text) {}

  /// Skips blanks, then \p Expected. Returns whether it was there.
  bool take(char Expected) {
    skipBlanks();
    if (At == Text.size() || Text[At] != Expected)
      return false;
    ++At;
    return true;
  }

  bool atEnd() {
    skipBlanks();
    return At == Text.size();
  }

  /// Returns the content of the string at this position.
  std::optional<std::string_view> takeString() {
    skipBlanks();
    const std::size_t Begin = At;
    if (!skipString())
      return std::nullopt;
    return Text.substr(Begin + 1, At - Begin - 2);
  }

  /// Returns the text of the value at this position.
  std::optional<std::string_view> takeValue() {
    skipBlanks();
    const std::size_t Begin = At;
    if (!skipValue())
      return std::nullopt;
    return Text.substr(Begin, At - Begin);
  }

  /// Moves over strings and brackets to the end of the text. Returns the number
  /// of levels.
  std::size_t countLevels() {
    std::size_t Most = 0;
    std::size_t Open = 0;
    while (At < Text.size()) {
      if (Text[At] == '"') {
        if (!skipString())
          return Most;
        continue;
      }
      Open = levelAfter(Text[At], Open);
      Most = std::max(Most, Open);
      ++At;
    }
    return Most;
  }

private:
  static std::size_t levelAfter(char C, std::size_t Open) {
    if (C == '[' || C == '{')
      return Open + 1;
    return (C == ']' || C == '}') && Open != 0 ? Open - 1 : Open;
  }

  void skipBlanks() {
    while (At < Text.size() && isBlank(Text[At]))
      ++At;
  }

  bool skipString() {
    if (At == Text.size() || Text[At] != '"')
      return false;
    for (++At; At < Text.size(); ++At) {
      if (Text[At] == '\\')
        ++At;
      else if (Text[At] == '"') {
        ++At;
        return true;
      }
    }
    At = Text.size();
    return false;
  }

  bool skipScalar() {
    constexpr std::string_view Ends = ",:]} \t\r\n";
    const std::size_t Begin = At;
    At = std::min(Text.find_first_of(Ends, At), Text.size());
    return At != Begin;
  }

  bool skipValue() {
    if (At == Text.size())
      return false;
    if (Text[At] == '"')
      return skipString();
    if (Text[At] != '[' && Text[At] != '{')
      return skipScalar();
    std::size_t Open = 0;
    while (At < Text.size()) {
      if (Text[At] == '"') {
        if (!skipString())
          return false;
        continue;
      }
      Open = levelAfter(Text[At], Open);
      ++At;
      if (Open == 0)
        return true;
    }
    return false;
  }

  std::string_view Text;
  std::size_t At = 0;
};

/// Calls \p TakeEntry for each entry between \p Open and \p Close. Returns
/// whether the whole text is one such value.
template <typename Function>
bool takeEntries(std::string_view Text, char Open, char Close,
                 Function TakeEntry) {
  JsonCursor Cursor(Text);
  if (!Cursor.take(Open))
    return false;
  if (Cursor.take(Close))
    return Cursor.atEnd();
  do {
    if (!TakeEntry(Cursor))
      return false;
  } while (Cursor.take(','));
  return Cursor.take(Close) && Cursor.atEnd();
}

} // namespace

std::optional<std::vector<JsonMember>> jsonMembers(std::string_view Text) {
  std::vector<JsonMember> Members;
  const bool Whole = takeEntries(Text, '{', '}', [&](JsonCursor &Cursor) {
    const auto Name = Cursor.takeString();
    if (!Name || !Cursor.take(':'))
      return false;
    const auto Value = Cursor.takeValue();
    if (Value)
      Members.push_back({*Name, *Value});
    return Value.has_value();
  });
  return Whole ? std::optional(std::move(Members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>>
jsonElements(std::string_view Text) {
  std::vector<std::string_view> Elements;
  const bool Whole = takeEntries(Text, '[', ']', [&](JsonCursor &Cursor) {
    const auto Value = Cursor.takeValue();
    if (Value)
      Elements.push_back(*Value);
    return Value.has_value();
  });
  return Whole ? std::optional(std::move(Elements)) : std::nullopt;
}

std::string_view memberValue(const std::vector<JsonMember> &Members,
                             std::string_view Name) {
  const auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [&](const JsonMember &Each) { return Each.Name == Name; });
  return Found == Members.end() ? std::string_view() : Found->Value;
}

std::size_t jsonDepth(std::string_view Text) {
  return JsonCursor(Text).countLevels();
}

} // namespace marjorambay
