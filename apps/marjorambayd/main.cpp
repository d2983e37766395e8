/// Entry point of marjorambayd: command line, settings and the event loop.
#include "components.h"
#include "forward_host.h"
#include "platform/adapter.h"
#include "platform/environment.h"
#include "startup.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>
#include <malloc.h>
#include <new>
#include <string>
#include <vector>

namespace {

using namespace marjorambay;
namespace po = boost::program_options;

constexpr int ExitUsage = 2;

struct Arguments {
  std::string ConfigPath{};
  bool CheckOnly = false;
  std::vector<SettingOverride> Overrides{};
};

po::options_description optionTable() {
  po::options_description Table("marjorambayd, an entry host of the request "
                                "scheduler\n\nOptions");
  Table.add_options()("help", "show this help")("version", "show the version")(
      "config", po::value<std::string>(),
      "settings file in INI format")("check-config", po::value<std::string>(),
                                     "check a settings file and exit");
  po::options_description Settings("Settings (override the settings file)");
  for (const SettingRow &Row : settingRows())
    Settings.add_options()(
        (std::string(Row.Section) + "." + std::string(Row.Key)).c_str(),
        po::value<std::vector<std::string>>(),
        std::string(Row.Description).c_str());
  return Table.add(Settings);
}

std::vector<SettingOverride> overridesIn(const po::variables_map &Given) {
  std::vector<SettingOverride> Overrides;
  for (const SettingRow &Row : settingRows()) {
    const std::string Name =
        std::string(Row.Section) + "." + std::string(Row.Key);
    if (Given.count(Name) == 0)
      continue;
    for (const auto &Value : Given[Name].as<std::vector<std::string>>())
      Overrides.emplace_back(Name, Value);
  }
  return Overrides;
}

/// Parses the command line. Returns an exit code if there is nothing more to
/// do.
std::variant<Arguments, int> readArguments(int Count, char **Values) {
  const po::options_description Table = optionTable();
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Count, Values, Table), Given);
  } catch (const po::error &Failure) {
    std::cerr << "marjorambayd: " << Failure.what() << "; see --help\n";
    return ExitUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << Table;
    return 0;
  }
  if (Given.count("version") != 0) {
    std::cout << "marjorambayd " MARJORAMBAY_VERSION "\n";
    return 0;
  }
  Arguments Read;
  Read.CheckOnly = Given.count("check-config") != 0;
  const char *Name = Read.CheckOnly ? "check-config" : "config";
  const std::string Default = Read.CheckOnly ? "" : platformSettingsPath();
  if (Given.count(Name) == 0 && Default.empty()) {
    std::cerr << "marjorambayd: --config FILE is missing; see --help\n";
    return ExitUsage;
  }
  Read.ConfigPath =
      Given.count(Name) == 0 ? Default : Given[Name].as<std::string>();
  std::error_code Ignored;
  if (!Default.empty() && !std::filesystem::exists(Read.ConfigPath, Ignored))
    Read.ConfigPath = Default;
  Read.Overrides = overridesIn(Given);
  return Read;
}

/// Returns long buffers to the system when they are freed: the allocator would
/// otherwise raise its threshold and keep them on a fragmented heap.
void limitAllocator() {
  constexpr int MappedBytes = 256 << 10; // longer ones are mapped
  constexpr int TrimBytes = 1 << 20;     // free memory at the end of the heap
  constexpr int Arenas = 2;              // the loop's and that of the log
  mallopt(M_MMAP_THRESHOLD, MappedBytes);
  mallopt(M_TRIM_THRESHOLD, TrimBytes);
  mallopt(M_ARENA_MAX, Arenas);
}

/// Serves forwarded routes on the users' platform.
int runForwarding(HostSettings Settings) {
  const Result<SocketAddress> Store = parseAddress(Settings.PlatformAddress);
  if (!ok(Store))
    return reportFailedStart(error(Store));
  ForwardHost Host(std::move(Settings), platformHeaders());
  startStdoutLogging(Host.Timers, Host.Settings.LogLevel);
  PlatformAdapter Adapter(Host, value(Store));
  const Result<Done> Started = startForwarding(Host);
  if (!ok(Started))
    return reportFailedStart(error(Started));
  Adapter.start();
  Host.Loop.run();
  stopStdoutLogging();
  return 0;
}

int run(HostSettings Settings) {
  setLogLevel(Settings.LogLevel);
  raiseDescriptorLimit(Settings.MaxOpenFiles);
  if (Settings.Serves == "forwarded_routes")
    return runForwarding(std::move(Settings));
  Daemon Context(std::move(Settings));
  const Result<Done> Started = startDaemon(Context);
  if (!ok(Started))
    return reportFailedStart(error(Started));
  Context.Loop.run();
  return 0;
}

int checkSettings(const Arguments &Given) {
  const Result<HostSettings> Settings =
      readSettings(Given.ConfigPath, Given.Overrides);
  if (!ok(Settings)) {
    std::cerr << error(Settings).Message << "\n";
    return traitsOf(error(Settings).Kind).ExitCode;
  }
  std::cout << Given.ConfigPath << ": settings are valid\n";
  return 0;
}

int start(const Arguments &Given) {
  startLogging("marjorambayd");
  Result<HostSettings> Settings =
      awaitSettings(Given.ConfigPath, Given.Overrides);
  if (!ok(Settings))
    return reportFailedStart(error(Settings));
  return run(std::move(value(Settings)));
}

} // namespace

int main(int Count, char **Values) {
  setStartSignals();
  openStandardStreams();
  limitAllocator();
  std::set_new_handler(&exitOutOfMemory);
  const auto Read = readArguments(Count, Values);
  if (const int *Code = std::get_if<int>(&Read))
    return *Code;
  const auto &Given = std::get<Arguments>(Read);
  return Given.CheckOnly ? checkSettings(Given) : start(Given);
}
