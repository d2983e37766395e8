/// The table of settings, and the parsing and checks of each kind.
#include "marjorambay/state/settings.h"

#include "marjorambay/state/address.h"
#include "marjorambay/state/settings_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>

namespace marjorambay {

namespace {

using enum SettingKind;
using Host = HostSettings;

constexpr std::uint64_t HourMs = 3'600'000;
constexpr std::uint64_t Mebibyte = 1'048'576;

const auto Rows = std::to_array<SettingRow>({
    {"host", "name", &Host::HostName, Name, true, 0, 0, "",
     "unique name of this entry host"},
    {"host", "zone", &Host::ZoneName, Name, true, 0, 0, "",
     "availability zone of this host"},
    {"host", "region", &Host::RegionName, Name, false, 0, 0, "",
     "region of that zone"},
    {"host", "zone_regions", &Host::ZoneRegions, RegionList, false, 0, 0,
     "zone:region,...",
     "region of each zone, for home regions; may be given multiple times"},
    {"host", "serves", &Host::Serves, Name, false, 0, 0, "",
     "completions, or forwarded_routes on the users' platform"},
    {"host", "cpu_share", &Host::CpuShare, Fraction, false, 0, 1024, "cores",
     "CPU quota of this host; stronger hosts are preferred as hubs"},
    {"host", "link_mbps", &Host::LinkMbps, Fraction, false, 0, 1000000,
     "Mbit/s", "bandwidth of the host's network link"},
    {"host", "memory_mb", &Host::MemoryMb, Number, false, 0, 1 << 20, "MB",
     "memory that the process may use, of 1,000,000 bytes each; 0: unknown"},
    {"host", "max_open_files", &Host::MaxOpenFiles, Number, false, 0, 1 << 24,
     "descriptors",
     "descriptors that the process may have open, of which the platform keeps "
     "up to 200 for files; 0: the limit that the system reports"},
    {"caller", "address", &Host::CallerAddress, Address, false, 0, 0, "ip:port",
     "listens for callers"},
    {"caller", "max_connections", &Host::MaxConnections, Number, false, 1,
     100000, "connections",
     "maximum open caller connections, see max_open_files; idle ones are "
     "closed "
     "for new ones, and a few above get 503"},
    {"caller", "max_header_bytes", &Host::MaxHeaderBytes, Number, false, 512,
     Mebibyte, "bytes", "maximum size of request line and headers"},
    {"caller", "max_body_bytes", &Host::MaxBodyBytes, Number, false, 1024,
     64 * Mebibyte, "bytes", "maximum size of a request body"},
    {"caller", "max_unread_bytes", &Host::MaxUnreadBytes, Number, false, 4096,
     64 * Mebibyte, "bytes",
     "maximum unread answer of a caller; above it the caller is cut off"},
    {"caller", "idle_timeout_ms", &Host::IdleTimeout, Millis, false, 100,
     HourMs, "ms", "closes connections without a request after this time"},
    {"caller", "max_requests", &Host::MaxRequests, Number, false, 1, 1000000,
     "requests", "maximum number of queued and in-flight requests"},
    {"peer", "address", &Host::PeerAddress, Address, false, 0, 0, "ip:port",
     "listens for other entry hosts"},
    {"peer", "seed", &Host::Seeds, SeedList, false, 0, 0,
     "name zone region ip:port",
     "an entry host to contact at start; may be given multiple times"},
    {"peer", "high_water_mark", &Host::PeerHighWaterMark, Number, false, 100,
     1000000, "messages",
     "maximum messages queued for a peer; further ones are dropped"},
    {"peer", "heartbeat_interval_ms", &Host::HeartbeatInterval, Millis, false,
     50, 10000, "ms",
     "interval between heartbeats within the availability zone"},
    {"operator", "address", &Host::OperatorAddress, Address, false, 0, 0,
     "ip:port", "health, metrics, inspection and configuration"},
    {"platform", "address", &Host::PlatformAddress, Address, true, 0, 0,
     "ip:port", "the platform's object API"},
    {"platform", "timeout_ms", &Host::PlatformTimeout, Millis, false, 50, 60000,
     "ms", "timeout of one platform call"},
    {"platform", "watch_wait_ms", &Host::WatchWait, Millis, false, 100, HourMs,
     "ms", "time that one watch call waits for a change"},
    {"platform", "writes_per_second", &Host::PlatformWritesPerSecond, Number,
     false, 1, 1000, "writes/s", "budget of this host for conditional updates"},
    {"platform", "host_list_interval_ms", &Host::HostListInterval, Millis,
     false, 500, HourMs, "ms",
     "interval between reads of the platform's host list"},
    {"target", "connect_timeout_ms", &Host::ConnectTimeout, Millis, false, 10,
     60000, "ms", "timeout for connecting to a target"},
    {"target", "load_poll_interval_ms", &Host::LoadPollInterval, Millis, false,
     100, 60000, "ms", "interval between reads of a target's load report"},
    {"target", "max_hold_off_ms", &Host::MaxHoldOff, Millis, false, 1000,
     HourMs, "ms",
     "longest time for which a target may ask a host to send it nothing"},
    {"forward", "ready_address", &Host::ReadyAddress, Address, false, 0, 0,
     "ip:port", "readiness probes of the load balancer"},
    {"forward", "repeat_ratio", &Host::RetryRatio, Fraction, false, 0, 1, "",
     "fleet-wide retry budget, as a fraction of the requests of a pool"},
    {"forward", "repeat_extra", &Host::RetryExtra, Fraction, false, 0, 100000,
     "requests", "retries allowed fleet-wide in addition to that fraction"},
    {"forward", "account_window_ms", &Host::AccountWindow, Millis, false, 100,
     HourMs, "ms", "window over which account rate limits apply"},
    {"forward", "account_overrun", &Host::AccountOverrun, Fraction, false, 0,
     10, "",
     "tolerated excess over an account's rate in that window, as a fraction"},
    {"forward", "account_slack", &Host::AccountSlack, Fraction, false, 0,
     1000000000, "",
     "tokens tolerated in addition; for accounts limited by tokens only"},
    {"forward", "canary_share", &Host::CanaryShare, Fraction, false, 0, 1, "",
     "fraction of a pool's requests that a version gets before its "
     "evaluation"},
    {"forward", "canary_extra", &Host::CanaryExtra, Fraction, false, 0, 100000,
     "requests", "requests that it may get in addition to that fraction"},
    {"forward", "evacuations", &Host::Evacuations, Flag, false, 0, 0, "",
     "true: follow the evacuations of zones that the platform lists"},
    {"forward", "zone_arbiters_min_targets", &Host::ZoneArbitersMinTargets,
     Number, false, 0, 100000, "targets",
     "listed targets from which an engine pool has one arbiter for each "
     "availability zone; 0: never"},
    {"forward", "warmup_overrun", &Host::WarmupOverrun, Fraction, false, 0, 100,
     "",
     "factor on the warm-up rate of a pool, for the requests that may reach "
     "one of its cold targets in a second"},
    {"forward", "warmup_slack", &Host::WarmupSlack, Fraction, false, 0, 100000,
     "requests", "requests that may reach it in addition"},
    {"forward", "start_ramp", &Host::StartRamp, Flag, false, 0, 0, "",
     "true: limit the requests in flight at targets that have just started or "
     "recovered, by how they answer"},
    {"drain", "timeout_ms", &Host::DrainTimeout, Millis, false, 0, 24 * HourMs,
     "ms", "time that a drain waits for requests in flight"},
    {"log", "level", &Host::LogLevel, LogSeverity, false, 0, 0, "",
     "lowest severity logged: info, warning or error"},
    {"log", "success_share", &Host::LogSuccessShare, Fraction, false, 0, 1, "",
     "fraction of served forwarded requests that is logged"},
});

std::string fullKey(const SettingRow &Row) {
  return std::string(Row.Section) + "." + std::string(Row.Key);
}

/// A row, and the factor from the unit of the key to that of the row.
struct KeyMatch {
  const SettingRow *Row = nullptr;
  double Scale = 1;
};

/// Finds the row of a key. A duration "..._ms" is also found as "..._s".
KeyMatch findRow(std::string_view FullKey) {
  constexpr double MsPerSecond = 1000;
  std::string InMs(FullKey);
  const bool InSeconds = FullKey.ends_with("_s");
  if (InSeconds)
    InMs.insert(InMs.size() - 1, "m");
  for (const SettingRow &Row : Rows) {
    if (fullKey(Row) == FullKey)
      return {&Row, 1};
    if (InSeconds && Row.Kind == Millis && fullKey(Row) == InMs)
      return {&Row, MsPerSecond};
  }
  return {};
}

bool isNumeric(const SettingRow &Row) {
  return Row.Kind == Number || Row.Kind == Millis || Row.Kind == Fraction;
}

/// Returns whether serving without this setting, or with its default, would
/// serve nobody.
bool isEssential(const SettingRow &Row) {
  return Row.Required || (Row.Kind == Address &&
                          Row.Field != SettingField(&Host::PeerAddress) &&
                          Row.Field != SettingField(&Host::OperatorAddress));
}

std::optional<double> parseDecimal(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End ||
      !std::isfinite(Value))
    return std::nullopt;
  return Value;
}

/// Returns the number that \p Text states, in the unit of the row.
std::optional<double> parseNumber(const KeyMatch &Key, std::string_view Text) {
  const std::optional<double> Value = parseDecimal(Text);
  if (!Value)
    return std::nullopt;
  // 8.7 s times 1000 is not quite 8700.
  return Key.Scale == 1 ? *Value : std::round(*Value * Key.Scale);
}

bool isName(std::string_view Text) {
  const auto IsNameChar = [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '.' || C == '-' || C == '_';
  };
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), IsNameChar);
}

bool isSeed(const std::string &Text) {
  std::istringstream Words(Text);
  std::string Name, Zone, Region, Address, Extra;
  Words >> Name >> Zone >> Region >> Address;
  return isName(Name) && isName(Zone) && isName(Region) &&
         ok(parseAddress(Address)) && !(Words >> Extra);
}

/// Returns why \p Text is invalid for \p Key, or "" if it is valid.
std::string validationError(const KeyMatch &Key, const std::string &Text) {
  const SettingRow &Row = *Key.Row;
  switch (Row.Kind) {
  case Name:
    return isName(Text) ? ""
                        : "must consist of letters, digits, '.', '-' and '_'";
  case Address: {
    const auto Parsed = parseAddress(Text);
    return ok(Parsed) ? "" : error(Parsed).Message;
  }
  case RegionList:
    return ""; // malformed entries are skipped and logged at start
  case Flag:
    return Text == "true" || Text == "false" ? "" : "must be true or false";
  case SeedList:
    return isSeed(Text) ? "" : "must be \"name zone region ip:port\"";
  case LogSeverity:
    return Text == "info" || Text == "warning" || Text == "error"
               ? ""
               : "must be info, warning or error";
  case Fraction:
  case Number:
  case Millis:
    break;
  }
  const auto Value = parseNumber(Key, Text);
  const bool MayBeFraction = Row.Kind == Fraction || Key.Scale != 1;
  if (Value && *Value >= double(Row.Min) && *Value <= double(Row.Max) &&
      (MayBeFraction || *Value == std::floor(*Value)))
    return "";
  std::ostringstream Range;
  Range << "\"" << Text << "\" is not a " << (MayBeFraction ? "" : "whole ")
        << "number from " << double(Row.Min) / Key.Scale << " to " << std::fixed
        << std::setprecision(0) << double(Row.Max) / Key.Scale;
  if (Key.Scale != 1)
    Range << " s";
  else if (!MayBeFraction)
    Range << " " << Row.Unit;
  return Range.str();
}

/// Returns the nearest number that is in the row's range, if \p Text states one
/// that isn't negative.
std::optional<double> nearestNumber(const KeyMatch &Key,
                                    const std::string &Text) {
  const SettingRow &Row = *Key.Row;
  const auto Value = parseNumber(Key, Text);
  if (!isNumeric(Row) || !Value || *Value < 0)
    return std::nullopt;
  const double Nearest = std::clamp(*Value, double(Row.Min), double(Row.Max));
  return Row.Kind == Fraction ? Nearest : std::floor(Nearest);
}

/// Returns whether a name that is not one by the rules distinguishes hosts and
/// zones nevertheless.
bool isUsableName(const SettingRow &Row, const std::string &Text) {
  return Row.Kind == Name && !Text.empty() &&
         std::none_of(Text.begin(), Text.end(),
                      [](unsigned char C) { return C <= ' ' || C == 127; });
}

/// Completes an address whose IP or port is missing from \p Default and from
/// the address for callers.
std::string completeAddress(const std::string &Text, const std::string &Default,
                            const std::string &Callers) {
  constexpr double MaxPort = 65535;
  const auto PartsOf = [](const std::string &Whole) {
    const auto Colon = std::min(Whole.rfind(':'), Whole.size());
    return std::pair(Whole.substr(0, Colon),
                     Whole.substr(std::min(Colon + 1, Whole.size())));
  };
  auto [Ip, Port] = PartsOf(Text);
  if (!ok(parseAddress(Ip + ":1")))
    Ip = PartsOf(Callers).first;
  const auto Stated = parseDecimal(Port);
  const bool IsPort = Stated && *Stated >= 1 && *Stated <= MaxPort &&
                      *Stated == std::floor(*Stated);
  Port = IsPort ? std::to_string(static_cast<int>(*Stated))
                : PartsOf(Default).second;
  return Ip + ":" + Port;
}

struct FieldSetter {
  HostSettings &Settings;
  const std::string &Text;
  double Value = 0; ///< of numeric rows

  void operator()(std::string HostSettings::*Field) const {
    Settings.*Field = Text;
  }
  void operator()(std::uint64_t HostSettings::*Field) const {
    Settings.*Field = static_cast<std::uint64_t>(Value);
  }
  void operator()(Duration HostSettings::*Field) const {
    Settings.*Field = milliseconds(static_cast<std::int64_t>(Value));
  }
  void operator()(bool HostSettings::*Field) const {
    Settings.*Field = Text == "true";
  }
  void operator()(double HostSettings::*Field) const {
    Settings.*Field = Value;
  }
  void operator()(std::vector<std::string> HostSettings::*Field) const {
    (Settings.*Field).push_back(Text);
  }
};

struct FieldPrinter {
  const HostSettings &Settings;

  std::string operator()(std::string HostSettings::*Field) const {
    return Settings.*Field;
  }
  std::string operator()(std::uint64_t HostSettings::*Field) const {
    return std::to_string(Settings.*Field);
  }
  std::string operator()(Duration HostSettings::*Field) const {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(Settings.*Field).count());
  }
  std::string operator()(bool HostSettings::*Field) const {
    return Settings.*Field ? "true" : "false";
  }
  std::string operator()(double HostSettings::*Field) const {
    std::ostringstream Text;
    Text << Settings.*Field;
    return Text.str();
  }
  std::string operator()(std::vector<std::string> HostSettings::*) const {
    return "";
  }
};

/// Settings parsed so far, and the problems found in them.
struct SettingsParser {
  bool Strict = true; ///< every problem is an error
  std::string Source{};
  HostSettings Settings{};
  std::map<const SettingRow *, int> TimesGiven{};
  std::string Errors{};
  std::vector<std::string> Warnings{};
  /// Addresses that are completed once the others are known.
  std::vector<std::pair<const SettingRow *, std::string>> Incomplete{};

  std::string locate(std::string_view FullKey) const {
    const auto Dot = FullKey.find('.');
    const bool HasSection = Dot != std::string_view::npos;
    std::string Place = Source + ": [";
    Place += HasSection ? FullKey.substr(0, Dot) : "";
    Place += "] ";
    Place += HasSection ? FullKey.substr(Dot + 1) : FullKey;
    return Place + ": ";
  }

  void reportError(std::string_view FullKey, std::string_view Message) {
    Errors += locate(FullKey) + std::string(Message) + "\n";
  }

  /// Reports a problem that is an error only if the parser is strict.
  void report(std::string_view FullKey, const std::string &Message,
              const std::string &Remedy) {
    if (Strict)
      return reportError(FullKey, Message);
    Warnings.push_back(locate(FullKey) + Message + "; " + Remedy);
  }

  void set(const KeyMatch &Key, const std::string &Text) {
    const double Value = parseNumber(Key, Text).value_or(0);
    std::visit(FieldSetter{Settings, Text, Value}, Key.Row->Field);
  }

  void apply(const std::string &FullKey, const std::string &Text) {
    const KeyMatch Key = findRow(FullKey);
    if (Key.Row == nullptr)
      return report(FullKey, "unknown setting", "it is ignored");
    const SettingRow &Row = *Key.Row;
    const bool IsRepeated = TimesGiven[&Row]++ > 0;
    const bool MayRepeat = Row.Kind == SeedList || Row.Kind == RegionList;
    if (IsRepeated && !MayRepeat)
      return report(FullKey, "is set more than once", "the first is used");
    const std::string Problem = validationError(Key, Text);
    if (Problem.empty())
      return set(Key, Text);
    repair(FullKey, Key, Text, Problem);
  }

  void repair(const std::string &FullKey, const KeyMatch &Key,
              const std::string &Text, const std::string &Problem) {
    const SettingRow &Row = *Key.Row;
    const std::string Default = std::visit(FieldPrinter{Settings}, Row.Field);
    if (Strict)
      return reportError(FullKey, Problem);
    if (const auto Nearest = nearestNumber(Key, Text)) {
      std::visit(FieldSetter{Settings, Text, *Nearest}, Row.Field);
      return report(FullKey, Problem,
                    std::visit(FieldPrinter{Settings}, Row.Field) + " " +
                        std::string(Row.Unit) + " is used");
    }
    if (isUsableName(Row, Text)) {
      set(Key, Text);
      return report(FullKey, Problem, "it is used as given");
    }
    if (isEssential(Row))
      return reportError(FullKey, Problem);
    if (Row.Kind == Address) {
      Incomplete.emplace_back(&Row, Text);
      return;
    }
    report(FullKey, Problem, "the default is used: " + Default);
  }

  void applyFile(std::string_view Text) {
    const SettingsText Split = splitSettings(Text);
    for (const std::string &Line : Split.MalformedLines)
      report("", "\"" + Line + "\" is not a section or \"key = value\"",
             "it is ignored");
    for (const SettingsText::Entry &Entry : Split.Entries)
      apply(Entry.FullKey, Entry.Value);
  }

  void applyOverrides(const std::vector<SettingOverride> &Overrides) {
    Source = "command line";
    TimesGiven.clear();
    for (const auto &[FullKey, Text] : Overrides)
      apply(FullKey, Text);
  }

  void completeAddresses() {
    for (const auto &[Row, Text] : Incomplete) {
      const std::string Default =
          std::visit(FieldPrinter{Settings}, Row->Field);
      const std::string Complete =
          completeAddress(Text, Default, Settings.CallerAddress);
      std::visit(FieldSetter{Settings, Complete}, Row->Field);
      report(fullKey(*Row), validationError({Row}, Text),
             Complete + " is used");
    }
  }

  void requireFields() {
    for (const SettingRow &Row : Rows) {
      const std::string Text = std::visit(FieldPrinter{Settings}, Row.Field);
      const bool Missing = Row.Required && Text.empty();
      const bool AlreadyReported =
          Errors.find("[" + std::string(Row.Section) + "] " +
                      std::string(Row.Key) + ":") != std::string::npos;
      if (Missing && !AlreadyReported)
        reportError(fullKey(Row),
                    "is required: " + std::string(Row.Description));
    }
  }

  Result<UsableSettings> parse(std::string_view Text, std::string_view Name,
                               const std::vector<SettingOverride> &Overrides) {
    Source = std::string(Name);
    applyFile(Text);
    applyOverrides(Overrides);
    Source = std::string(Name);
    completeAddresses();
    requireFields();
    if (Errors.empty())
      return UsableSettings{std::move(Settings), std::move(Warnings)};
    Errors.pop_back();
    return Error{ErrorKind::BadSettings, Errors};
  }
};

} // namespace

std::span<const SettingRow> settingRows() { return Rows; }

Result<HostSettings>
parseSettings(std::string_view Text, std::string_view Source,
              const std::vector<SettingOverride> &Overrides) {
  SettingsParser Parser;
  Result<UsableSettings> Parsed = Parser.parse(Text, Source, Overrides);
  if (!ok(Parsed))
    return error(Parsed);
  return std::move(value(Parsed).Settings);
}

Result<UsableSettings>
parseUsableSettings(std::string_view Text, std::string_view Source,
                    const std::vector<SettingOverride> &Overrides) {
  SettingsParser Parser;
  Parser.Strict = false;
  return Parser.parse(Text, Source, Overrides);
}

std::optional<std::string> readSettingsText(const std::string &Path) {
  const std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

Result<HostSettings>
readSettings(const std::string &Path,
             const std::vector<SettingOverride> &Overrides) {
  const auto Text = readSettingsText(Path);
  if (!Text)
    return Error{ErrorKind::BadSettings, Path + ": cannot be read"};
  return parseSettings(*Text, Path, Overrides);
}

std::string settingsTable() {
  const HostSettings Defaults;
  std::string Table = "| section | key | default | unit | range | meaning |\n"
                      "|---|---|---|---|---|---|\n";
  for (const SettingRow &Row : Rows) {
    const std::string Default = std::visit(FieldPrinter{Defaults}, Row.Field);
    const std::string Range = Row.Max == 0 ? ""
                                           : std::to_string(Row.Min) + " to " +
                                                 std::to_string(Row.Max);
    Table += "| " + std::string(Row.Section) + " | " + std::string(Row.Key) +
             " | " + (Row.Required ? "required" : Default) + " | " +
             std::string(Row.Unit) + " | " + Range + " | " +
             std::string(Row.Description) + " |\n";
  }
  return Table;
}

} // namespace marjorambay
