/// Verbs for the complete configuration.
#include "verbs.h"

#include "marjorambay/coordination/document_delta.h"
#include "marjorambay/protocol/fleet_config_json.h"
#include "marjorambay/state/config_index.h"
#include "marjorambay/state/config_rules.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <sstream>
#include <thread>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration PollInterval = milliseconds(200);
constexpr Duration ProgressInterval = seconds(2);

/// Reads and checks a configuration file.
Result<FleetConfig> readConfig(const std::string &Path) {
  const Result<std::string> Text = readFile(Path);
  if (!ok(Text))
    return error(Text);
  Result<FleetConfig> Config = parseFleetConfig(value(Text));
  if (!ok(Config))
    return Error{ErrorKind::BadConfig, Path + ": " + error(Config).Message};
  const Result<Done> Checked = checkFleetConfig(value(Config));
  if (!ok(Checked))
    return Error{ErrorKind::BadConfig, Path + ": " + error(Checked).Message};
  return Config;
}

/// Returns the lines that differ, with "-" before old lines and "+" before new
/// ones.
std::string showDifference(const std::string &Old, const std::string &New) {
  std::ostringstream Text;
  const auto Append = [&](char Prefix, const std::string &Lines) {
    std::istringstream In(Lines);
    for (std::string Line; std::getline(In, Line);)
      Text << Prefix << ' ' << Line << '\n';
  };
  for (const DocumentEdit &Edit : diffDocuments(Old, New)) {
    Append('-', Old.substr(Edit.Offset, Edit.Removed));
    Append('+', Edit.Inserted);
  }
  return Text.str();
}

std::size_t countBehind(const HostView &View, Revision Rev) {
  std::size_t Behind = View.Rev < Rev ? 1 : 0;
  for (const HostRevision &Member : View.Members)
    Behind += Member.State != "lost" && Member.Rev < Rev ? 1 : 0;
  return Behind;
}

std::size_t countReachable(const HostView &View) {
  std::size_t Count = 1;
  for (const HostRevision &Member : View.Members)
    Count += Member.State != "lost" ? 1 : 0;
  return Count;
}

Error timeoutError(const HostView &View, Revision Rev) {
  std::string Text =
      "revision " + std::to_string(number(Rev)) + " is not in force on:";
  if (View.Rev < Rev)
    Text += " " + View.Name;
  for (const HostRevision &Member : View.Members)
    if (Member.State != "lost" && Member.Rev < Rev)
      Text += " " + Member.Address + " (" + Member.State + ", revision " +
              std::to_string(number(Member.Rev)) + ")";
  return {ErrorKind::Timeout, Text};
}

/// Returns the names of the scopes that apply to the given one.
Result<ScopeNames> scopeNamesOf(const ConfigIndex &Index, ScopeKind Scope,
                                const std::string &Name,
                                const CommandLine &Line) {
  ScopeNames Names;
  Names.Zone = Line.Zone;
  switch (Scope) {
  case ScopeKind::Zone:
    Names.Zone = Name;
    return Names;
  case ScopeKind::Host:
    Names.Host = Name;
    return Names;
  case ScopeKind::Account:
    Names.Account = Name;
    return Names;
  case ScopeKind::Pool:
    Names.Pool = Name;
    return Names;
  case ScopeKind::Route:
    Names.Route = Name;
    if (const RouteConfig *Route = Index.route(idOf<RouteId>(Name)))
      Names.Pool = Route->Pool;
    return Names;
  case ScopeKind::Target:
    break;
  }
  const TargetConfig *Target = Index.target(idOf<TargetId>(Name));
  if (!Target)
    return Error{ErrorKind::NotFound, "there is no target " + Name};
  Names.Target = Name;
  Names.Zone = Target->Zone;
  Names.Pool = Target->Pool;
  return Names;
}

int printEffective(const std::vector<EffectiveValue> &Values,
                   const Output &Out) {
  std::ostringstream Text;
  Json Rows = Json::array();
  for (const EffectiveValue &Value : Values) {
    const std::string Source =
        Value.IsException
            ? std::string(nameOf(Value.Scope)) + " " + Value.ScopeName
            : "default";
    Text << Value.Key << " = " << Value.Value << "  (" << Source;
    if (Value.IsException)
      Text << ", by " << Value.Author << ": " << Value.Reason;
    Text << ")\n";
    Rows.push_back({{"key", Value.Key},
                    {"value", Value.Value},
                    {"source", Source},
                    {"author", Value.Author},
                    {"reason", Value.Reason}});
  }
  Out.print(Text.str(), Rows.dump());
  return 0;
}

} // namespace

int runConfigGet(const CommandLine &Line, const Arguments & /*Args*/,
                 const Output &Out) {
  const Result<std::string> Text = HostClient(Line).get("/config");
  if (!ok(Text))
    return Out.fail(error(Text));
  Out.print(value(Text), value(Text));
  return 0;
}

int runConfigSet(const CommandLine &Line, const Arguments &Args,
                 const Output &Out) {
  Result<FleetConfig> Config = readConfig(Args[0]);
  if (!ok(Config))
    return Out.fail(error(Config));
  if (Line.Base != 0)
    value(Config).Rev = static_cast<Revision>(Line.Base);
  return proposeAndReport(Line, value(Config), Out);
}

int runConfigDiff(const CommandLine &Line, const Arguments &Args,
                  const Output &Out) {
  Result<FleetConfig> Requested = readConfig(Args[0]);
  if (!ok(Requested))
    return Out.fail(error(Requested));
  const Result<FleetConfig> Current = HostClient(Line).config();
  if (!ok(Current))
    return Out.fail(error(Current));
  value(Requested).Rev = value(Current).Rev;
  const std::string Text = showDifference(printFleetConfig(value(Current)),
                                          printFleetConfig(value(Requested)));
  const Json Root{{"revision", number(value(Current).Rev)},
                  {"differs", !Text.empty()},
                  {"lines", Text}};
  Out.print(Text.empty() ? "no difference" : Text, Root.dump());
  return 0;
}

int runConfigWait(const CommandLine &Line, const Arguments &Args,
                  const Output &Out) {
  std::uint64_t Requested = 0;
  if (!Args.empty()) {
    const char *End = Args[0].data() + Args[0].size();
    const auto Parsed = std::from_chars(Args[0].data(), End, Requested);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      return Out.fail({ErrorKind::BadRequest, "REVISION must be a number"});
    return waitForRevision(Line, static_cast<Revision>(Requested), Out);
  }
  const Result<HostView> Host = HostClient(Line).inspect();
  if (!ok(Host))
    return Out.fail(error(Host));
  return waitForRevision(Line, value(Host).Rev, Out);
}

int runConfigEffective(const CommandLine &Line, const Arguments &Args,
                       const Output &Out) {
  const auto Scope = parseEnum<ScopeKind>(Args[0]);
  if (!Scope)
    return Out.fail(
        {ErrorKind::BadRequest,
         "SCOPE must be host, zone, target, account, route or pool"});
  Result<FleetConfig> Config = HostClient(Line).config();
  if (!ok(Config))
    return Out.fail(error(Config));
  const ConfigIndex Index(std::move(value(Config)));
  const Result<ScopeNames> Names = scopeNamesOf(Index, *Scope, Args[1], Line);
  if (!ok(Names))
    return Out.fail(error(Names));
  return printEffective(Index.explain(value(Names)), Out);
}

int proposeAndReport(const CommandLine &Line, const FleetConfig &Config,
                     const Output &Out) {
  const Result<Revision> Accepted = HostClient(Line).propose(Config);
  if (!ok(Accepted))
    return Out.fail(error(Accepted));
  const std::uint64_t Rev = number(value(Accepted));
  if (Line.Wait)
    return waitForRevision(Line, value(Accepted), Out);
  Out.print("accepted as revision " + std::to_string(Rev),
            Json({{"revision", Rev}}).dump());
  return 0;
}

int waitForRevision(const CommandLine &Line, Revision Rev, const Output &Out) {
  const auto Begin = std::chrono::steady_clock::now();
  Duration NextProgress = ProgressInterval;
  while (true) {
    const Result<HostView> Host = HostClient(Line).inspect();
    if (!ok(Host))
      return Out.fail(error(Host));
    const std::size_t Behind = countBehind(value(Host), Rev);
    const std::size_t Reachable = countReachable(value(Host));
    if (Behind == 0) {
      Out.print("revision " + std::to_string(number(Rev)) +
                    " is in force on all " + std::to_string(Reachable) +
                    " reachable hosts",
                Json({{"revision", number(Rev)}, {"hosts", Reachable}}).dump());
      return 0;
    }
    const auto Waited = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Begin);
    if (Waited >= Line.Timeout)
      return Out.fail(timeoutError(value(Host), Rev));
    if (Waited >= NextProgress) {
      NextProgress += ProgressInterval;
      Out.progress("waiting: " + std::to_string(Reachable - Behind) + " of " +
                   std::to_string(Reachable) + " hosts");
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace marjorambay
