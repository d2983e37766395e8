/// Verbs for the availability zones of the fleet configuration.
#include "verbs.h"

#include "marjorambay/state/evacuated_zones.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

/// Returns the zones that have targets or are evacuated.
std::set<std::string> zonesOf(const FleetConfig &Config) {
  std::set<std::string> Zones;
  for (const TargetConfig &Target : Config.Targets)
    Zones.insert(Target.Zone);
  for (const ExceptionConfig &Exception : Config.Exceptions)
    if (Exception.Key == EvacuatedKey)
      Zones.insert(Exception.ScopeName);
  return Zones;
}

/// Adds what a zone contains, and why it is evacuated if it is.
void describeZone(const FleetConfig &Config, const std::string &Zone,
                  std::ostringstream &Text, Json &Rows) {
  const ExceptionConfig *Evacuation = findEvacuation(Config, Zone);
  Json Row{{"zone", Zone}, {"evacuated", Evacuation != nullptr}};
  Text << Zone;
  if (Evacuation != nullptr) {
    Text << "  evacuated (by " << Evacuation->Author << ": "
         << Evacuation->Reason << ")";
    Row["reason"] = Evacuation->Reason;
    Row["author"] = Evacuation->Author;
  }
  Text << '\n';
  Row["pools"] = Json::array();
  for (const PoolInZone &Pool : poolsInZone(Config, Zone)) {
    Text << "  pool " << Pool.Pool << "  targets " << Pool.Targets << "  slots "
         << Pool.Slots << "  slots elsewhere " << Pool.SlotsElsewhere << '\n';
    Row["pools"].push_back({{"pool", Pool.Pool},
                            {"targets", Pool.Targets},
                            {"slots", Pool.Slots},
                            {"slots_elsewhere", Pool.SlotsElsewhere}});
  }
  Rows.push_back(std::move(Row));
}

Error unknownZone(const std::string &Zone) {
  return {ErrorKind::NotFound, "there is no zone " + Zone + " with targets"};
}

} // namespace

int runZoneList(const CommandLine &Line, const Arguments &Args,
                const Output &Out) {
  const Result<FleetConfig> Config = HostClient(Line).config();
  if (!ok(Config))
    return Out.fail(error(Config));
  const std::set<std::string> Known = zonesOf(value(Config));
  if (!Args.empty() && Known.count(Args[0]) == 0)
    return Out.fail(unknownZone(Args[0]));
  std::ostringstream Text;
  Json Rows = Json::array();
  for (const std::string &Zone : Known)
    if (Args.empty() || Args[0] == Zone)
      describeZone(value(Config), Zone, Text, Rows);
  Out.print(Rows.empty() ? "no zones" : Text.str(), Rows.dump());
  return 0;
}

int runZoneEvacuate(const CommandLine &Line, const Arguments &Args,
                    const Output &Out) {
  if (Line.Reason.empty())
    return Out.fail({ErrorKind::BadRequest,
                     "an evacuation requires a reason: --reason \"...\""});
  return editConfig(Line, Out, [&](FleetConfig &Config) -> Result<Done> {
    if (zonesOf(Config).count(Args[0]) == 0)
      return unknownZone(Args[0]);
    if (findEvacuation(Config, Args[0]) != nullptr)
      return Error{ErrorKind::BadRequest,
                   "zone " + Args[0] + " is evacuated already"};
    Config.Exceptions.push_back({ScopeKind::Zone, Args[0],
                                 std::string(EvacuatedKey), "true", Line.Reason,
                                 Line.Author, wallClockNow()});
    return Done{};
  });
}

int runZoneRestore(const CommandLine &Line, const Arguments &Args,
                   const Output &Out) {
  return editConfig(Line, Out, [&](FleetConfig &Config) -> Result<Done> {
    const auto Removed =
        std::erase_if(Config.Exceptions, [&](const ExceptionConfig &Exception) {
          return Exception.Key == EvacuatedKey &&
                 Exception.ScopeName == Args[0];
        });
    if (Removed == 0)
      return Error{ErrorKind::NotFound,
                   "zone " + Args[0] + " is not evacuated"};
    return Done{};
  });
}

} // namespace marjorambay
