/// Options, output and exit codes shared by the verbs of marjorambayctl.
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

/// The parsed command line. Options that are not given have their defaults.
struct CommandLine {
  std::vector<std::string> Words{}; ///< the verb and its arguments
  std::string Host = "127.0.0.1:8082";
  bool Json = false;
  Duration Timeout = seconds(60); ///< of verbs that wait
  std::uint64_t Base = 0; ///< revision that an edit is based on; 0: current
  bool Wait = false;      ///< wait until a change is in force on every host
  std::string Reason{};
  std::string Author{};
  std::string Tier{};
  std::string KeyHash{};
  std::string KeyFile{};
  std::string Zone{};
  std::string Name{};                 ///< name of a rollout
  std::uint64_t WithinSeconds = 3600; ///< time until a rollout's deadline
  double Weight = 1.0;
  std::uint32_t MaxQueued = 1000;
};

/// Prints results: text for people, or one JSON document for programs.
class Output {
public:
  explicit Output(bool WantsJson) : Json(WantsJson) {}

  bool json() const { return Json; }
  /// Prints \p Text, or \p JsonText with --json.
  void print(const std::string &Text, const std::string &JsonText) const;
  /// Shows the progress of a wait on standard error, so that standard output
  /// has results only.
  void progress(const std::string &Text) const;
  /// Prints an error and returns its exit code.
  int fail(const Error &Reason) const;

private:
  bool Json;
};

/// One verb. The words after its name are its arguments.
struct Verb {
  std::string_view Name{};      ///< one or two words, "config get"
  std::string_view Arguments{}; ///< as shown in the help
  std::string_view Help{};
  std::size_t MinArguments = 0;
  std::size_t MaxArguments = 0;
  int (*Run)(const CommandLine &Line, const std::vector<std::string> &Arguments,
             const Output &Out) = nullptr;
};

} // namespace marjorambay

#endif // MARJORAMBAYCTL_COMMAND_H
