/// Read-only verbs: check, status, inspect.
#include "verbs.h"

#include "marjorambay/protocol/fleet_config_json.h"
#include "marjorambay/state/config_rules.h"
#include "marjorambay/state/settings.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

bool looksLikeJson(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t\r\n");
  return First != std::string::npos && Text[First] == '{';
}

Result<Done> checkText(const std::string &Text, const std::string &Path) {
  if (!looksLikeJson(Text)) {
    const Result<HostSettings> Settings = parseSettings(Text, Path, {});
    return ok(Settings) ? Result<Done>(Done{}) : error(Settings);
  }
  const Result<FleetConfig> Config = parseFleetConfig(Text);
  if (!ok(Config))
    return error(Config);
  const std::vector<std::string> Problems = findConfigProblems(value(Config));
  if (Problems.empty())
    return Done{};
  std::string ProblemLines;
  for (const std::string &Problem : Problems)
    ProblemLines += "\n  " + Problem;
  return Error{ErrorKind::BadConfig, Path + ":" + ProblemLines};
}

} // namespace

Result<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return Error{ErrorKind::NotFound, "can't read " + Path};
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

int runCheck(const CommandLine & /*Line*/, const Arguments &Args,
             const Output &Out) {
  const Result<std::string> Text = readFile(Args[0]);
  if (!ok(Text))
    return Out.fail(error(Text));
  const Result<Done> Checked = checkText(value(Text), Args[0]);
  if (!ok(Checked))
    return Out.fail(error(Checked));
  Out.print(Args[0] + ": valid", Json({{"valid", true}}).dump());
  return 0;
}

int runStatus(const CommandLine &Line, const Arguments & /*Args*/,
              const Output &Out) {
  const Result<HostView> Inspected = HostClient(Line).inspect();
  if (!ok(Inspected))
    return Out.fail(error(Inspected));
  const HostView &Host = value(Inspected);
  std::ostringstream Text;
  Text << "host " << Host.Name << " in zone " << Host.Zone << ", revision "
       << number(Host.Rev) << (Host.Draining ? ", draining" : "") << '\n';
  Json Members = Json::array();
  for (const HostRevision &Member : Host.Members) {
    Text << "  " << Member.Address << "  " << Member.State << "  revision "
         << number(Member.Rev) << '\n';
    Members.push_back({{"address", Member.Address},
                       {"state", Member.State},
                       {"revision", number(Member.Rev)}});
  }
  const Json Root{{"host", Host.Name},
                  {"zone", Host.Zone},
                  {"revision", number(Host.Rev)},
                  {"draining", Host.Draining},
                  {"members", Members}};
  Out.print(Text.str(), Root.dump());
  return 0;
}

int runInspect(const CommandLine &Line, const Arguments & /*Args*/,
               const Output &Out) {
  const Result<std::string> Text = HostClient(Line).get("/inspect");
  if (!ok(Text))
    return Out.fail(error(Text));
  Out.print(value(Text), value(Text));
  return 0;
}

} // namespace marjorambay
