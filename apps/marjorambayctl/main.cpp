/// Entry point of marjorambayctl: parses the options and runs the verb.
#include "verbs.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <variant>

namespace {

using namespace marjorambay;
namespace po = boost::program_options;

po::options_description optionTable(CommandLine &Line, std::uint64_t &Timeout) {
  po::options_description Table("Options");
  Table.add_options()("help", "shows this help")("version",
                                                 "shows the version")(
      "host", po::value(&Line.Host)->default_value(Line.Host),
      "operator port of an entry host")("json", po::bool_switch(&Line.Json),
                                        "prints JSON instead of text")(
      "timeout-ms", po::value(&Timeout)->default_value(Timeout),
      "longest time to wait")("wait", po::bool_switch(&Line.Wait),
                              "waits until a change is in force on every host")(
      "base", po::value(&Line.Base), "revision that a change is based on")(
      "reason", po::value(&Line.Reason), "reason for an exception")(
      "author", po::value(&Line.Author),
      "author of a change; $USER by default")("tier", po::value(&Line.Tier),
                                              "service tier of an account")(
      "weight", po::value(&Line.Weight)->default_value(1.0, "1"),
      "weight of an account")("max-queued",
                              po::value(&Line.MaxQueued)->default_value(1000),
                              "queue limit of an account")(
      "key-hash", po::value(&Line.KeyHash), "SHA-256 of an account's API key")(
      "key-file", po::value(&Line.KeyFile), "file with an account's API key")(
      "zone", po::value(&Line.Zone), "zone of a host, for config effective")(
      "name", po::value(&Line.Name),
      "name of a rollout; POOL-VERSION by default")(
      "within", po::value(&Line.WithinSeconds)->default_value(3600),
      "seconds from now to a rollout's deadline");
  return Table;
}

void printHelp(const po::options_description &Table) {
  std::cout << "marjorambayctl, the operator tool of the request scheduler\n"
               "\nVerbs\n";
  for (const Verb &Row : verbTable())
    std::cout << "  " << Row.Name << (Row.Arguments.empty() ? "" : " ")
              << Row.Arguments << "\n      " << Row.Help << '\n';
  std::cout << '\n'
            << Table
            << "\nExit codes: 0 done, 1 failed, 2 usage error, 3 bad input,\n"
               "4 conflict, 5 not available now, 6 timed out, 7 rolled back\n";
}

int usageError(const std::string &Message) {
  std::cerr << "marjorambayctl: " << Message << "; see --help\n";
  return ExitUsage;
}

/// Parses the command line. Returns an exit code if there is nothing more to
/// do.
std::variant<CommandLine, int> readCommandLine(int Count, char **Values) {
  CommandLine Line;
  std::uint64_t TimeoutMs = 60'000;
  const char *User = std::getenv("USER");
  Line.Author = User ? User : "";
  const po::options_description VisibleOptions = optionTable(Line, TimeoutMs);
  po::options_description AllOptions;
  AllOptions.add(VisibleOptions).add_options()("word", po::value(&Line.Words));
  po::positional_options_description Words;
  Words.add("word", -1);
  po::variables_map Parsed;
  try {
    po::store(po::command_line_parser(Count, Values)
                  .options(AllOptions)
                  .positional(Words)
                  .run(),
              Parsed);
    po::notify(Parsed);
  } catch (const po::error &Failure) {
    return usageError(Failure.what());
  }
  if (Parsed.count("help") != 0) {
    printHelp(VisibleOptions);
    return 0;
  }
  if (Parsed.count("version") != 0) {
    std::cout << "marjorambayctl " MARJORAMBAY_VERSION "\n";
    return 0;
  }
  Line.Timeout = milliseconds(TimeoutMs);
  return Line;
}

std::size_t countWords(std::string_view Name) {
  return Name.find(' ') == std::string_view::npos ? 1 : 2;
}

bool matchesName(const Verb &Row, const std::vector<std::string> &Words) {
  if (Words.size() < countWords(Row.Name))
    return false;
  const std::string CalledName =
      countWords(Row.Name) == 1 ? Words[0] : Words[0] + " " + Words[1];
  return CalledName == Row.Name;
}

int runVerb(const CommandLine &Line) {
  if (Line.Words.empty())
    return usageError("a verb is required");
  for (const Verb &Row : verbTable()) {
    if (!matchesName(Row, Line.Words))
      continue;
    const auto NameLength = static_cast<std::ptrdiff_t>(countWords(Row.Name));
    const Arguments Args(Line.Words.begin() + NameLength, Line.Words.end());
    if (Args.size() < Row.MinArguments || Args.size() > Row.MaxArguments)
      return usageError("usage: " + std::string(Row.Name) + " " +
                        std::string(Row.Arguments));
    return Row.Run(Line, Args, Output(Line.Json));
  }
  return usageError("unknown verb \"" + Line.Words[0] + "\"");
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto Parsed = readCommandLine(Count, Values);
  if (const int *Code = std::get_if<int>(&Parsed))
    return *Code;
  return runVerb(std::get<CommandLine>(Parsed));
}
