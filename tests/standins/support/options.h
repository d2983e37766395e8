/// Command-line options of the stand-ins: a list of names with defaults.
#ifndef MARJORAMBAY_STANDINS_OPTIONS_H
#define MARJORAMBAY_STANDINS_OPTIONS_H

#include <boost/program_options.hpp>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace marjorambay::standins {

struct OptionRow {
  const char *Name = "";
  const char *Default = "";
  const char *Description = "";
};

/// Options as given; ends the program on an unknown one or on --help.
class Options {
public:
  Options(int Argc, char **Argv, const std::vector<OptionRow> &Rows) {
    namespace po = boost::program_options;
    po::options_description Known;
    Known.add_options()("help", "shows the options");
    for (const OptionRow &Row : Rows)
      Known.add_options()(Row.Name,
                          po::value<std::string>()->default_value(Row.Default),
                          Row.Description);
    try {
      po::store(po::parse_command_line(Argc, Argv, Known), Values);
    } catch (const po::error &Failure) {
      std::fprintf(stderr, "%s\n", Failure.what());
      std::exit(2);
    }
    if (Values.count("help") == 0)
      return;
    std::cout << Known;
    std::exit(0);
  }

  std::string text(const char *Name) const {
    return Values[Name].as<std::string>();
  }
  double number(const char *Name) const {
    return std::strtod(text(Name).c_str(), nullptr);
  }
  /// Returns the parts of a list with commas.
  std::vector<std::string> list(const char *Name) const {
    std::vector<std::string> Parts;
    std::istringstream Text(text(Name));
    for (std::string Part; std::getline(Text, Part, ',');)
      Parts.push_back(Part);
    return Parts;
  }

private:
  boost::program_options::variables_map Values{};
};

} // namespace marjorambay::standins

#endif // MARJORAMBAY_STANDINS_OPTIONS_H
