/// What every verb of marjorambayctl shares: options, output and exit codes.
#ifndef MARJORAMBAYCTL_COMMAND_H
#define MARJORAMBAYCTL_COMMAND_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

inline constexpr int ExitUsage = 2;

/// The command line, as read. Options that a verb does not use are empty.
struct CommandLine {
  std::vector<std::string> Words{}; ///< of the verb and after it
  std::string Host = "127.0.0.1:8082";
  bool Json = false;
  Duration Timeout = seconds(60); ///< of a long wait
  std::uint64_t Base = 0;         ///< revision an edit is made on; 0: current
  bool Wait = false;              ///< until a change is in force everywhere
  std::string Reason{};
  std::string Author{};
  std::string Tier{};
  std::string KeyHash{};
  std::string KeyFile{};
  std::string Zone{};
  std::string Name{};                 ///< of a rollout
  std::uint64_t WithinSeconds = 3600; ///< a rollout's time to its deadline
  double Weight = 1.0;
  std::uint32_t MaxQueued = 1000;
};

/// Prints results: text for people, or one JSON document for programs.
class Output {
public:
  explicit Output(bool WantsJson) : Json(WantsJson) {}

  bool json() const { return Json; }
  /// Prints \p Text, or \p JsonText for programs.
  void print(const std::string &Text, const std::string &JsonText) const;
  /// Shows how far a long wait is; on standard error, so that output stays
  /// clean.
  void progress(const std::string &Text) const;
  /// Prints an error and returns its exit code.
  int fail(const Error &Reason) const;

private:
  bool Json;
};

/// One verb. Words after its name are Arguments.
struct Verb {
  std::string_view Name{};      ///< one or two words, "config get"
  std::string_view Arguments{}; ///< for the help
  std::string_view Help{};
  std::size_t MinArguments = 0;
  std::size_t MaxArguments = 0;
  int (*Run)(const CommandLine &Line, const std::vector<std::string> &Arguments,
             const Output &Out) = nullptr;
};

} // namespace marjorambay

#endif // MARJORAMBAYCTL_COMMAND_H
