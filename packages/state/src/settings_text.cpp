/// Splitting of a settings file into entries.
#include "marjorambay/state/settings_text.h"

namespace marjorambay {

namespace {

constexpr std::string_view BeginLine = "# begin of settings";
constexpr std::string_view EndLine = "# end of settings";
constexpr std::string_view Blanks = " \t\r\f\v";

std::string_view trim(std::string_view Text) {
  const auto First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

std::string_view withoutComment(std::string_view Line) {
  for (std::size_t At = 0; At < Line.size(); ++At)
    if (Line[At] == '#' &&
        (At == 0 || Blanks.find(Line[At - 1]) != std::string_view::npos))
      return trim(Line.substr(0, At));
  return Line.starts_with(';') ? std::string_view() : Line;
}

} // namespace

SettingsText splitSettings(std::string_view Text) {
  SettingsText Split;
  std::string Section;
  while (!Text.empty()) {
    const auto Break = Text.find('\n');
    const std::string_view Whole = trim(Text.substr(0, Break));
    Text = Break == std::string_view::npos ? "" : Text.substr(Break + 1);
    Split.Begins = Split.Begins || Whole == BeginLine;
    Split.Ends = Split.Ends || Whole == EndLine;
    const std::string_view Line = withoutComment(Whole);
    if (Line.empty())
      continue;
    const auto Equals = Line.find('=');
    if (Line.size() > 2 && Line.front() == '[' && Line.back() == ']')
      Section = std::string(trim(Line.substr(1, Line.size() - 2))) + ".";
    else if (Equals == std::string_view::npos || Equals == 0)
      Split.MalformedLines.emplace_back(Line);
    else
      Split.Entries.push_back(
          {Section + std::string(trim(Line.substr(0, Equals))),
           std::string(trim(Line.substr(Equals + 1)))});
  }
  return Split;
}

} // namespace marjorambay
