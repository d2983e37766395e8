/// Entry point of marjorambayctl: options, and the choice of the verb.
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
  Table.add_options()("help", "shows this")("version", "shows the version")(
      "host", po::value(&Line.Host)->default_value(Line.Host),
      "operator port of an entry host")("json", po::bool_switch(&Line.Json),
                                        "prints JSON, for programs")(
      "timeout-ms", po::value(&Timeout)->default_value(Timeout),
      "longest time that a wait takes")(
      "wait", po::bool_switch(&Line.Wait),
      "after a change: until it is in force on every host")(
      "base", po::value(&Line.Base), "revision that a change is made on")(
      "reason", po::value(&Line.Reason), "of an exception")(
      "author", po::value(&Line.Author), "of an exception; $USER by default")(
      "tier", po::value(&Line.Tier), "of an account")(
      "weight", po::value(&Line.Weight)->default_value(1.0, "1"),
      "of an account")("max-queued",
                       po::value(&Line.MaxQueued)->default_value(1000),
                       "of an account")("key-hash", po::value(&Line.KeyHash),
                                        "SHA-256 of an account's API key")(
      "key-file", po::value(&Line.KeyFile), "file with an account's API key")(
      "zone", po::value(&Line.Zone), "zone of a host, for config effective")(
      "name", po::value(&Line.Name), "of a rollout; POOL-VERSION by default")(
      "within", po::value(&Line.WithinSeconds)->default_value(3600),
      "seconds from now to a rollout's deadline");
  return Table;
}

void printHelp(const po::options_description &Table) {
  std::cout << "marjorambayctl, the operator's tool of the request scheduler\n"
               "\nVerbs\n";
  for (const Verb &Row : verbTable())
    std::cout << "  " << Row.Name << (Row.Arguments.empty() ? "" : " ")
              << Row.Arguments << "\n      " << Row.Help << '\n';
  std::cout << '\n'
            << Table
            << "\nExit codes: 0 done, 1 failed, 2 wrong use, 3 bad input,\n"
               "4 conflict, 5 not available now, 6 timed out, 7 taken back\n";
}

int wrongUse(const std::string &Message) {
  std::cerr << "marjorambayctl: " << Message << "; see --help\n";
  return ExitUsage;
}

/// Reads the command line. An exit code is returned when there is no more to
/// do.
std::variant<CommandLine, int> readCommandLine(int Count, char **Values) {
  CommandLine Line;
  std::uint64_t TimeoutMs = 60'000;
  const char *User = std::getenv("USER");
  Line.Author = User ? User : "";
  const po::options_description Shown = optionTable(Line, TimeoutMs);
  po::options_description All;
  All.add(Shown).add_options()("word", po::value(&Line.Words));
  po::positional_options_description Words;
  Words.add("word", -1);
  po::variables_map Given;
  try {
    po::store(po::command_line_parser(Count, Values)
                  .options(All)
                  .positional(Words)
                  .run(),
              Given);
    po::notify(Given);
  } catch (const po::error &Failure) {
    return wrongUse(Failure.what());
  }
  if (Given.count("help") != 0) {
    printHelp(Shown);
    return 0;
  }
  if (Given.count("version") != 0) {
    std::cout << "marjorambayctl " MARJORAMBAY_VERSION "\n";
    return 0;
  }
  Line.Timeout = milliseconds(TimeoutMs);
  return Line;
}

std::size_t wordsIn(std::string_view Name) {
  return Name.find(' ') == std::string_view::npos ? 1 : 2;
}

bool isCalled(const Verb &Row, const std::vector<std::string> &Words) {
  if (Words.size() < wordsIn(Row.Name))
    return false;
  const std::string Said =
      wordsIn(Row.Name) == 1 ? Words[0] : Words[0] + " " + Words[1];
  return Said == Row.Name;
}

int runVerb(const CommandLine &Line) {
  if (Line.Words.empty())
    return wrongUse("say what to do");
  for (const Verb &Row : verbTable()) {
    if (!isCalled(Row, Line.Words))
      continue;
    const auto Skipped = static_cast<std::ptrdiff_t>(wordsIn(Row.Name));
    const Arguments Args(Line.Words.begin() + Skipped, Line.Words.end());
    if (Args.size() < Row.MinArguments || Args.size() > Row.MaxArguments)
      return wrongUse("write: " + std::string(Row.Name) + " " +
                      std::string(Row.Arguments));
    return Row.Run(Line, Args, Output(Line.Json));
  }
  return wrongUse("there is no verb \"" + Line.Words[0] + "\"");
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto Read = readCommandLine(Count, Values);
  if (const int *Code = std::get_if<int>(&Read))
    return *Code;
  return runVerb(std::get<CommandLine>(Read));
}
