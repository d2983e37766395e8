/// Verbs that read the configuration, change entries and propose the result.
#include "verbs.h"

#include "marjorambay/protocol/fleet_config_json.h"
#include "marjorambay/state/config_rules.h"
#include "marjorambay/state/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <sstream>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

Error notFound(std::string_view Kind, const std::string &Name) {
  return {ErrorKind::NotFound, "there is no " + std::string(Kind) + " " + Name};
}

template <typename EntryType>
EntryType *findEntry(std::vector<EntryType> &Entries, const std::string &Name) {
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const EntryType &Entry) { return Entry.Name == Name; });
  return Found == Entries.end() ? nullptr : &*Found;
}

template <typename EntryType>
Result<Done> removeEntry(std::vector<EntryType> &Entries, std::string_view Kind,
                         const std::string &Name) {
  const auto Removed = std::erase_if(
      Entries, [&](const EntryType &Entry) { return Entry.Name == Name; });
  if (Removed == 0)
    return notFound(Kind, Name);
  return Done{};
}

/// Rows of a list, printed as one line each or as one JSON array.
struct Listing {
  std::ostringstream Text{};
  Json Rows = Json::array();

  int print(const Output &Out, const std::string &EmptyText) const {
    Out.print(Rows.empty() ? EmptyText : Text.str(), Rows.dump());
    return 0;
  }
};

int listConfig(const CommandLine &Line, const Output &Out,
               const std::string &EmptyText,
               const std::function<void(const FleetConfig &, Listing &)> &Add) {
  const Result<FleetConfig> Config = HostClient(Line).config();
  if (!ok(Config))
    return Out.fail(error(Config));
  Listing Rows;
  Add(value(Config), Rows);
  return Rows.print(Out, EmptyText);
}

bool isException(const ExceptionConfig &Entry, ScopeKind Scope,
                 const Arguments &Args) {
  return Entry.Scope == Scope && Entry.ScopeName == Args[1] &&
         Entry.Key == Args[2];
}

Result<std::string> keyHashOf(const CommandLine &Line) {
  if (!Line.KeyHash.empty())
    return Line.KeyHash;
  if (Line.KeyFile.empty())
    return Error{ErrorKind::BadRequest, "--key-hash or --key-file is required"};
  Result<std::string> Key = readFile(Line.KeyFile);
  if (!ok(Key))
    return Key;
  std::string &Text = value(Key);
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == '\r'))
    Text.pop_back();
  return sha256Hex(Text);
}

int setDraining(const CommandLine &Line, const Arguments &Args,
                const Output &Out, bool Draining) {
  return editConfig(Line, Out, [&](FleetConfig &Config) -> Result<Done> {
    for (const std::string &Name : Args) {
      TargetConfig *Target = findEntry(Config.Targets, Name);
      if (!Target)
        return notFound("target", Name);
      Target->Draining = Draining;
    }
    return Done{};
  });
}

} // namespace

int editConfig(const CommandLine &Line, const Output &Out, const Edit &Change) {
  Result<FleetConfig> Config = HostClient(Line).config();
  if (!ok(Config))
    return Out.fail(error(Config));
  const auto Current = value(Config).Rev;
  if (Line.Base != 0 && Line.Base != number(Current))
    return Out.fail({ErrorKind::StaleRevision,
                     "revision " + std::to_string(number(Current)) +
                         " is in force, which is not that of --base"});
  const Result<Done> Changed = Change(value(Config));
  if (!ok(Changed))
    return Out.fail(error(Changed));
  const Result<Done> Checked = checkFleetConfig(value(Config));
  if (!ok(Checked))
    return Out.fail(error(Checked));
  return proposeAndReport(Line, value(Config), Out);
}

WallTime wallClockNow() {
  return WallTime(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

// ---- Exceptions -------------------------------------------------------------

int runExceptionAdd(const CommandLine &Line, const Arguments &Args,
                    const Output &Out) {
  const auto Scope = parseEnum<ScopeKind>(Args[0]);
  if (!Scope)
    return Out.fail(
        {ErrorKind::BadRequest,
         "SCOPE must be zone, host, target, account, route or pool"});
  if (Line.Reason.empty())
    return Out.fail({ErrorKind::BadRequest,
                     "an exception requires a reason: --reason \"...\""});
  const ExceptionConfig Added{*Scope,      Args[1],     Args[2],       Args[3],
                              Line.Reason, Line.Author, wallClockNow()};
  return editConfig(Line, Out, [&](FleetConfig &Config) -> Result<Done> {
    std::erase_if(Config.Exceptions, [&](const ExceptionConfig &Entry) {
      return isException(Entry, *Scope, Args);
    });
    Config.Exceptions.push_back(Added);
    return Done{};
  });
}

int runExceptionRemove(const CommandLine &Line, const Arguments &Args,
                       const Output &Out) {
  const auto Scope = parseEnum<ScopeKind>(Args[0]);
  if (!Scope)
    return Out.fail(
        {ErrorKind::BadRequest,
         "SCOPE must be zone, host, target, account, route or pool"});
  return editConfig(Line, Out, [&](FleetConfig &Config) -> Result<Done> {
    const auto Removed =
        std::erase_if(Config.Exceptions, [&](const ExceptionConfig &Entry) {
          return isException(Entry, *Scope, Args);
        });
    if (Removed == 0)
      return notFound("exception", Args[0] + " " + Args[1] + " " + Args[2]);
    return Done{};
  });
}

int runExceptionList(const CommandLine &Line, const Arguments & /*Args*/,
                     const Output &Out) {
  return listConfig(
      Line, Out, "no exceptions", [](const auto &Config, Listing &Rows) {
        for (const ExceptionConfig &Entry : Config.Exceptions) {
          Rows.Text << nameOf(Entry.Scope) << ' ' << Entry.ScopeName << ": "
                    << Entry.Key << " = " << Entry.Value << "  (by "
                    << Entry.Author << ": " << Entry.Reason << ")\n";
          Rows.Rows.push_back({{"scope", nameOf(Entry.Scope)},
                               {"scope_name", Entry.ScopeName},
                               {"key", Entry.Key},
                               {"value", Entry.Value},
                               {"reason", Entry.Reason},
                               {"author", Entry.Author}});
        }
      });
}

// ---- Client accounts --------------------------------------------------------

int runAccountAdd(const CommandLine &Line, const Arguments &Args,
                  const Output &Out) {
  const Result<std::string> Hash = keyHashOf(Line);
  if (!ok(Hash))
    return Out.fail(error(Hash));
  const AccountConfig Added{Args[0], value(Hash), Line.Tier, Line.Weight,
                            Line.MaxQueued};
  return editConfig(Line, Out, [&](FleetConfig &Config) -> Result<Done> {
    if (AccountConfig *Existing = findEntry(Config.Accounts, Args[0]))
      *Existing = Added;
    else
      Config.Accounts.push_back(Added);
    return Done{};
  });
}

int runAccountRemove(const CommandLine &Line, const Arguments &Args,
                     const Output &Out) {
  return editConfig(Line, Out, [&](FleetConfig &Config) {
    return removeEntry(Config.Accounts, "account", Args[0]);
  });
}

int runAccountList(const CommandLine &Line, const Arguments & /*Args*/,
                   const Output &Out) {
  return listConfig(Line, Out, "no client accounts",
                    [](const auto &Config, Listing &Rows) {
                      for (const AccountConfig &Entry : Config.Accounts) {
                        Rows.Text << Entry.Name << "  tier " << Entry.Tier
                                  << "  weight " << Entry.Weight
                                  << "  max_queued " << Entry.MaxQueued << '\n';
                        Rows.Rows.push_back({{"name", Entry.Name},
                                             {"tier", Entry.Tier},
                                             {"weight", Entry.Weight},
                                             {"max_queued", Entry.MaxQueued}});
                      }
                    });
}

// ---- Tiers ------------------------------------------------------------------

int runTierAdd(const CommandLine &Line, const Arguments &Args,
               const Output &Out) {
  std::uint8_t Rank = 0;
  const char *End = Args[1].data() + Args[1].size();
  const auto Parsed = std::from_chars(Args[1].data(), End, Rank);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return Out.fail({ErrorKind::BadRequest, "RANK must be a number from 0"});
  return editConfig(Line, Out, [&](FleetConfig &Config) -> Result<Done> {
    if (TierConfig *Existing = findEntry(Config.Tiers, Args[0]))
      Existing->Rank = static_cast<TierRank>(Rank);
    else
      Config.Tiers.push_back({Args[0], static_cast<TierRank>(Rank)});
    return Done{};
  });
}

int runTierRemove(const CommandLine &Line, const Arguments &Args,
                  const Output &Out) {
  return editConfig(Line, Out, [&](FleetConfig &Config) {
    return removeEntry(Config.Tiers, "tier", Args[0]);
  });
}

int runTierList(const CommandLine &Line, const Arguments & /*Args*/,
                const Output &Out) {
  return listConfig(
      Line, Out, "no tiers", [](const auto &Config, Listing &Rows) {
        std::vector<TierConfig> Tiers = Config.Tiers;
        std::sort(Tiers.begin(), Tiers.end(),
                  [](const auto &Left, const auto &Right) {
                    return Left.Rank < Right.Rank;
                  });
        for (const TierConfig &Entry : Tiers) {
          Rows.Text << int(number(Entry.Rank)) << "  " << Entry.Name << '\n';
          Rows.Rows.push_back(
              {{"name", Entry.Name}, {"rank", number(Entry.Rank)}});
        }
      });
}

// ---- Targets ----------------------------------------------------------------

int runTargetList(const CommandLine &Line, const Arguments & /*Args*/,
                  const Output &Out) {
  return listConfig(
      Line, Out, "no targets", [](const auto &Config, Listing &Rows) {
        for (const TargetConfig &Entry : Config.Targets) {
          Rows.Text << Entry.Name << "  " << Entry.Address << "  pool "
                    << Entry.Pool << "  zone " << Entry.Zone
                    << (Entry.Version.empty() ? "" : "  version ")
                    << Entry.Version << (Entry.Draining ? "  draining" : "")
                    << '\n';
          Rows.Rows.push_back({{"name", Entry.Name},
                               {"address", Entry.Address},
                               {"pool", Entry.Pool},
                               {"zone", Entry.Zone},
                               {"version", Entry.Version},
                               {"draining", Entry.Draining}});
        }
      });
}

int runTargetDrain(const CommandLine &Line, const Arguments &Args,
                   const Output &Out) {
  return setDraining(Line, Args, Out, true);
}

int runTargetUndrain(const CommandLine &Line, const Arguments &Args,
                     const Output &Out) {
  return setDraining(Line, Args, Out, false);
}

} // namespace marjorambay
