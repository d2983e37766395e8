/// Text of a settings file: its sections, keys and values, and whether it is
/// complete.
#ifndef MARJORAMBAY_STATE_SETTINGS_TEXT_H
#define MARJORAMBAY_STATE_SETTINGS_TEXT_H

#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

struct SettingsText {
  struct Entry {
    std::string FullKey{}; ///< "section.key"
    std::string Value{};
  };
  std::vector<Entry> Entries{};
  std::vector<std::string> MalformedLines{};
  bool Begins = false; ///< has the line "# begin of settings"
  bool Ends = false;   ///< has the line "# end of settings"

  /// Whether the file is still being written: it says where it ends, and the
  /// end is missing.
  bool truncated() const { return Begins && !Ends; }
};

/// Splits INI text into entries. A comment begins with '#' or ';' at the start
/// of a line, or with '#' after a blank.
SettingsText splitSettings(std::string_view Text);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_SETTINGS_TEXT_H
