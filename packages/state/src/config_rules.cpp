/// Validation of a complete fleet configuration.
#include "marjorambay/state/config_rules.h"

#include "marjorambay/state/config_fields.h"
#include "marjorambay/state/evacuated_zones.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace marjorambay {

namespace {

template <typename NumberType>
std::optional<NumberType> parseNumber(std::string_view Text) {
  NumberType Value{};
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

std::string rangeMessage(FieldRange Range) {
  const auto Format = [](double Bound) {
    std::string Text = std::to_string(Bound);
    Text.erase(Text.find_last_not_of('0') + 1);
    return Text.back() == '.' ? Text.substr(0, Text.size() - 1) : Text;
  };
  return "must be from " + Format(Range.Min) + " to " + Format(Range.Max);
}

bool isWithin(double Value, FieldRange Range) {
  return Value >= Range.Min && Value <= Range.Max; // false for NaN
}

// ---- Fields of FleetDefaults by name ----------------------------------------

std::string setField(Duration &Field, std::string_view Text, FieldRange Range) {
  const auto Value = parseNumber<std::int64_t>(Text);
  if (!Value)
    return "must be a whole number of milliseconds";
  if (!isWithin(static_cast<double>(*Value), Range))
    return rangeMessage(Range);
  Field = milliseconds(*Value);
  return {};
}

std::string setField(double &Field, std::string_view Text, FieldRange Range) {
  const auto Value = parseNumber<double>(Text);
  if (!Value)
    return "must be a number";
  if (!isWithin(*Value, Range))
    return rangeMessage(Range);
  Field = *Value;
  return {};
}

std::string setField(std::uint32_t &Field, std::string_view Text,
                     FieldRange Range) {
  const auto Value = parseNumber<std::uint32_t>(Text);
  if (!Value)
    return "must be a whole number";
  if (!isWithin(*Value, Range))
    return rangeMessage(Range);
  Field = *Value;
  return {};
}

std::string setField(bool &Field, std::string_view Text, FieldRange /*Range*/) {
  if (Text != "true" && Text != "false")
    return "must be true or false";
  Field = Text == "true";
  return {};
}

struct FieldSetter {
  std::string_view Key;
  std::string_view Text;
  std::string Problem = "unknown key";

  template <typename T>
  void operator()(const char *Name, T &Field, FieldRange Range) {
    if (Key == Name)
      Problem = setField(Field, Text, Range);
  }
};

double toNumber(Duration Value) { return toSeconds(Value) * 1000; }
double toNumber(double Value) { return Value; }

struct RangeChecker {
  std::vector<std::string> &Problems;

  template <typename T>
  void operator()(const char *Name, const T &Field, FieldRange Range) {
    if (!isWithin(toNumber(Field), Range))
      Problems.push_back(std::string("defaults.") + Name + ": " +
                         rangeMessage(Range));
  }
};

// ---- Names ------------------------------------------------------------------

bool isPlainName(std::string_view Name) {
  constexpr std::string_view Marks = "._-/:@+";
  const auto IsPlain = [&](unsigned char Letter) {
    return (Letter >= 'a' && Letter <= 'z') ||
           (Letter >= 'A' && Letter <= 'Z') ||
           (Letter >= '0' && Letter <= '9') ||
           Marks.find(static_cast<char>(Letter)) != Marks.npos;
  };
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), IsPlain);
}

bool isHexDigest(std::string_view Text) {
  constexpr std::string_view HexDigits = "0123456789abcdef";
  return Text.size() == 64 &&
         Text.find_first_not_of(HexDigits) == std::string_view::npos;
}

/// Runs all checks; each appends its findings to Problems.
class Checker {
public:
  explicit Checker(const FleetConfig &Fleet) : Config(Fleet) {}

  std::vector<std::string> run() {
    checkTiers();
    checkPools();
    checkAccounts();
    checkRoutes();
    checkTargets();
    checkDefaults();
    checkExceptions();
    return std::move(Problems);
  }

private:
  using NameSet = std::unordered_set<std::string_view>;

  const FleetConfig &Config;
  std::vector<std::string> Problems{};
  NameSet Tiers{}, Pools{}, Accounts{}, Routes{}, Targets{}, Zones{};
  std::unordered_map<std::uint64_t, std::string_view> Models{}, Versions{};
  std::unordered_map<std::uint64_t, std::string_view> ZoneHashes{};

  void report(std::string_view Kind, std::string_view Name,
              std::string_view Message) {
    std::string Line(Kind);
    Line += " \"";
    Line += Name;
    Line += "\": ";
    Line += Message;
    Problems.push_back(std::move(Line));
  }

  /// Checks that a name is plain and that its id collides with no other name.
  void checkHash(std::unordered_map<std::uint64_t, std::string_view> &Seen,
                 std::string_view Kind, std::string_view Name) {
    if (!isPlainName(Name))
      return report(Kind, Name,
                    "name must consist of letters, digits and ._-/:@+");
    const auto [Entry, IsNew] = Seen.emplace(hash64(Name), Name);
    if (!IsNew && Entry->second != Name)
      report(Kind, Name,
             "its id collides with that of another name; choose another name");
  }

  template <typename EntryType>
  void checkNames(std::string_view Kind, const std::vector<EntryType> &Entries,
                  NameSet &Names) {
    std::unordered_map<std::uint64_t, std::string_view> Hashes;
    for (const EntryType &Entry : Entries) {
      checkHash(Hashes, Kind, Entry.Name);
      if (!Names.insert(Entry.Name).second)
        report(Kind, Entry.Name, "name is used twice");
    }
  }

  void checkReference(std::string_view Kind, std::string_view Name,
                      const NameSet &Names, std::string_view Referenced,
                      const std::string &Reference) {
    if (!Names.contains(Reference))
      report(Kind, Name,
             "there is no " + std::string(Referenced) + " \"" + Reference +
                 "\"");
  }

  void checkTiers() {
    checkNames("tier", Config.Tiers, Tiers);
    std::unordered_set<TierRank> Ranks;
    for (const TierConfig &Tier : Config.Tiers) {
      if (number(Tier.Rank) >= MaxTiers)
        report("tier", Tier.Name, "rank must be below 8");
      if (!Ranks.insert(Tier.Rank).second)
        report("tier", Tier.Name, "another tier has this rank");
    }
  }

  void checkPools() {
    checkNames("pool", Config.Pools, Pools);
    std::unordered_map<std::string_view, std::string_view> Owners;
    for (const PoolConfig &Pool : Config.Pools) {
      if (!Pool.Version.empty())
        checkHash(Versions, "version", Pool.Version);
      for (const std::string &Model : Pool.Models) {
        checkHash(Models, "model", Model);
        if (!Owners.emplace(Model, Pool.Name).second)
          report("pool", Pool.Name,
                 "model \"" + Model + "\" is listed in two places");
      }
    }
  }

  void checkAccounts() {
    checkNames("account", Config.Accounts, Accounts);
    if (Config.Accounts.size() > MaxAccounts)
      report("account", "", "more than 20000 accounts");
    NameSet Keys;
    for (const AccountConfig &Account : Config.Accounts) {
      checkReference("account", Account.Name, Tiers, "tier", Account.Tier);
      if (!isHexDigest(Account.ApiKeyHash))
        report("account", Account.Name,
               "api_key_hash must be 64 lower-case hex digits");
      if (!Keys.insert(Account.ApiKeyHash).second)
        report("account", Account.Name, "API key belongs to another account");
      if (!isWithin(Account.Weight, {0.001, 1000}))
        report("account", Account.Name,
               "weight " + rangeMessage({0.001, 1000}));
      if (Account.MaxQueued == 0 || Account.MaxQueued > 1'000'000)
        report("account", Account.Name, "max_queued " + rangeMessage({1, 1e6}));
    }
  }

  void checkRoutes() {
    checkNames("route", Config.Routes, Routes);
    NameSet Prefixes;
    for (const RouteConfig &Route : Config.Routes) {
      if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/')
        report("route", Route.Name, "path_prefix must start with /");
      if (!Prefixes.insert(Route.PathPrefix).second)
        report("route", Route.Name, "another route has this path_prefix");
      checkReference("route", Route.Name, Pools, "pool", Route.Pool);
      if (!Route.Tier.empty())
        checkReference("route", Route.Name, Tiers, "tier", Route.Tier);
      checkKinds(Route);
    }
  }

  void checkKinds(const RouteConfig &Route) {
    const bool WantsModel = Route.Kind == RouteKind::Completions ||
                            Route.Kind == RouteKind::ChatCompletions;
    for (const PoolConfig &Pool : Config.Pools)
      if (Pool.Name == Route.Pool &&
          (Pool.Kind == PoolKind::Model) != WantsModel)
        report("route", Route.Name,
               "its kind does not fit the kind of pool \"" + Pool.Name + "\"");
  }

  void checkTargets() {
    checkNames("target", Config.Targets, Targets);
    if (Config.Targets.size() > MaxTargets)
      report("target", "", "more than 50000 targets");
    NameSet Addresses;
    for (const TargetConfig &Target : Config.Targets) {
      if (!isIpAddressWithPort(Target.Address))
        report("target", Target.Name,
               "address must be a numeric IP address with a port");
      if (!Addresses.insert(Target.Address).second)
        report("target", Target.Name, "another target has this address");
      checkReference("target", Target.Name, Pools, "pool", Target.Pool);
      checkHash(ZoneHashes, "zone", Target.Zone);
      Zones.insert(Target.Zone);
      if (!Target.Version.empty())
        checkHash(Versions, "version", Target.Version);
      checkLimits(Target);
    }
  }

  void checkLimits(const TargetConfig &Target) {
    if (!isWithin(Target.TokensPerSecond, {0.1, 1e7}))
      report("target", Target.Name,
             "tokens_per_second " + rangeMessage({0.1, 1e7}));
    if (Target.MaxRequestsInFlight == 0 || Target.MaxRequestsInFlight > 100'000)
      report("target", Target.Name,
             "max_requests_in_flight " + rangeMessage({1, 1e5}));
  }

  void checkDefaults() {
    RangeChecker Ranges{Problems};
    visitFields(Ranges, Config.Defaults);
    if (Config.Defaults.RequestDeadline > Config.Defaults.MaxDeadline)
      Problems.emplace_back(
          "defaults.request_deadline_ms: must not exceed max_deadline_ms");
  }

  void checkExceptions() {
    std::unordered_set<std::string> Seen;
    for (const ExceptionConfig &Exception : Config.Exceptions) {
      const std::string Name = std::string(nameOf(Exception.Scope)) + " " +
                               Exception.ScopeName + " " + Exception.Key;
      if (!Seen.insert(Name).second)
        report("exception", Name, "is defined twice");
      checkScope(Name, Exception);
      FleetDefaults Scratch;
      const std::string Problem =
          Exception.Key == EvacuatedKey
              ? evacuationProblem(Exception)
              : setDefault(Scratch, Exception.Key, Exception.Value);
      if (!Problem.empty())
        report("exception", Name, Problem);
      checkReason(Name, Exception);
    }
  }

  void checkReason(const std::string &Name, const ExceptionConfig &Exception) {
    const auto IsBlank = [](const std::string &Text) {
      return Text.find_first_not_of(" \t\r\n") == std::string::npos;
    };
    if (IsBlank(Exception.Reason))
      report("exception", Name, "needs a written reason");
    if (Exception.Reason.size() > MaxReasonLength)
      report("exception", Name, "reason is longer than 1000 bytes");
    if (IsBlank(Exception.Author))
      report("exception", Name, "needs an author");
  }

  void checkScope(const std::string &Name, const ExceptionConfig &Exception) {
    const std::string &ScopeName = Exception.ScopeName;
    switch (Exception.Scope) {
    case ScopeKind::Target:
      return checkReference("exception", Name, Targets, "target", ScopeName);
    case ScopeKind::Account:
      return checkReference("exception", Name, Accounts, "account", ScopeName);
    case ScopeKind::Route:
      return checkReference("exception", Name, Routes, "route", ScopeName);
    case ScopeKind::Pool:
      return checkReference("exception", Name, Pools, "pool", ScopeName);
    case ScopeKind::Zone: // A zone may have hosts but no targets.
    case ScopeKind::Host: // Hosts are not listed in the configuration.
      if (!isPlainName(ScopeName))
        report("exception", Name,
               "scope_name must consist of letters, digits and ._-/:@+");
    }
  }
};

} // namespace

std::vector<std::string> findConfigProblems(const FleetConfig &Config) {
  return Checker(Config).run();
}

Result<Done> checkFleetConfig(const FleetConfig &Config) {
  constexpr std::size_t MaxShown = 5;
  const std::vector<std::string> Problems = findConfigProblems(Config);
  if (Problems.empty())
    return Done{};
  std::string Message;
  for (std::size_t Index = 0; Index < Problems.size(); ++Index) {
    if (Index == MaxShown) {
      Message += "; and " + std::to_string(Problems.size() - Index) + " more";
      break;
    }
    Message += (Index == 0 ? "" : "; ") + Problems[Index];
  }
  return Error{ErrorKind::BadConfig, Message};
}

bool isIpAddressWithPort(std::string_view Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  const auto Port = parseNumber<std::uint16_t>(Address.substr(Colon + 1));
  if (!Port || *Port == 0)
    return false;
  std::string Ip(Address.substr(0, Colon));
  in6_addr Binary{}; // large enough for both families
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    return inet_pton(AF_INET6, Ip.substr(1, Ip.size() - 2).c_str(), &Binary) ==
           1;
  return inet_pton(AF_INET, Ip.c_str(), &Binary) == 1;
}

std::string setDefault(FleetDefaults &Defaults, std::string_view Key,
                       std::string_view Value) {
  FieldSetter Setter{Key, Value};
  visitFields(Setter, Defaults);
  return Setter.Problem;
}

} // namespace marjorambay
