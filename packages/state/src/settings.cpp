/// The table of settings, and the checks of each kind.
#include "marjorambay/state/settings.h"

#include "marjorambay/state/address.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace marjorambay {

namespace {

namespace options = boost::program_options;
using enum SettingKind;
using Host = HostSettings;

constexpr std::uint64_t HourMs = 3'600'000;
constexpr std::uint64_t Mebi = 1'048'576;

const auto Rows = std::to_array<SettingRow>({
    {"host", "name", &Host::HostName, Name, true, 0, 0, "",
     "unique name of this entry host"},
    {"host", "zone", &Host::ZoneName, Name, true, 0, 0, "",
     "availability zone it stands in"},
    {"host", "region", &Host::RegionName, Name, false, 0, 0, "",
     "region of that zone"},
    {"host", "serves", &Host::Serves, Name, false, 0, 0, "",
     "completions, or forwarded_routes on a users' platform"},
    {"host", "cpu_share", &Host::CpuShare, Fraction, false, 0, 1024, "cores",
     "processor time that it has; strong hosts are hubs first"},
    {"host", "link_mbps", &Host::LinkMbps, Fraction, false, 0, 1000000,
     "Mbit/s", "bandwidth of its network link"},
    {"caller", "address", &Host::CallerAddress, Address, false, 0, 0, "ip:port",
     "callers connect here"},
    {"caller", "max_connections", &Host::MaxConnections, Number, false, 1,
     100000, "connections", "open at once; more are answered 503 and closed"},
    {"caller", "max_header_bytes", &Host::MaxHeaderBytes, Number, false, 512,
     Mebi, "bytes", "request line and headers of one request"},
    {"caller", "max_body_bytes", &Host::MaxBodyBytes, Number, false, 1024,
     64 * Mebi, "bytes", "body of one request"},
    {"caller", "max_unread_bytes", &Host::MaxUnreadBytes, Number, false, 4096,
     64 * Mebi, "bytes", "answer that a caller has not read; more cuts it off"},
    {"caller", "idle_timeout_ms", &Host::IdleTimeout, Millis, false, 100,
     HourMs, "ms", "a connection may be silent while no request is on it"},
    {"caller", "max_requests", &Host::MaxRequests, Number, false, 1, 1000000,
     "requests", "held at once, waiting or in progress"},
    {"peer", "address", &Host::PeerAddress, Address, false, 0, 0, "ip:port",
     "other entry hosts connect here"},
    {"peer", "seed", &Host::Seeds, SeedList, false, 0, 0,
     "name zone region ip:port", "an entry host to contact first; repeatable"},
    {"peer", "high_water_mark", &Host::PeerHighWaterMark, Number, false, 100,
     1000000, "messages", "queued for one peer; more are dropped"},
    {"peer", "heartbeat_interval_ms", &Host::HeartbeatInterval, Millis, false,
     50, 10000, "ms", "between heartbeats within the availability zone"},
    {"operator", "address", &Host::OperatorAddress, Address, false, 0, 0,
     "ip:port", "health, metrics, inspection and configuration"},
    {"platform", "address", &Host::PlatformAddress, Address, true, 0, 0,
     "ip:port", "the platform's object API"},
    {"platform", "timeout_ms", &Host::PlatformTimeout, Millis, false, 50, 60000,
     "ms", "of one platform call"},
    {"platform", "watch_wait_ms", &Host::WatchWait, Millis, false, 100, HourMs,
     "ms", "that one watch waits for a change"},
    {"platform", "writes_per_second", &Host::PlatformWritesPerSecond, Number,
     false, 1, 1000, "writes/s", "budget of this host for conditional updates"},
    {"platform", "host_list_interval_ms", &Host::HostListInterval, Millis,
     false, 500, HourMs, "ms", "between reads of the platform's host list"},
    {"target", "connect_timeout_ms", &Host::ConnectTimeout, Millis, false, 10,
     60000, "ms", "to connect to a target"},
    {"target", "load_poll_interval_ms", &Host::LoadPollInterval, Millis, false,
     100, 60000, "ms", "between reads of a target's load report"},
    {"forward", "ready_address", &Host::ReadyAddress, Address, false, 0, 0,
     "ip:port", "a balancer asks here whether to send callers"},
    {"forward", "repeat_ratio", &Host::RetryRatio, Fraction, false, 0, 1, "",
     "second sends over the fleet, of the requests of a pool"},
    {"forward", "repeat_extra", &Host::RetryExtra, Fraction, false, 0, 100000,
     "requests", "second sends over the fleet besides those"},
    {"forward", "account_window_ms", &Host::AccountWindow, Millis, false, 100,
     HourMs, "ms", "over which the rates of accounts are held"},
    {"forward", "account_overrun", &Host::AccountOverrun, Fraction, false, 0,
     10, "", "tolerated above an account's rate over that time, of it"},
    {"forward", "account_slack", &Host::AccountSlack, Fraction, false, 0,
     1000000000, "", "tolerated besides, in what the account is counted in"},
    {"forward", "canary_share", &Host::CanaryShare, Fraction, false, 0, 1, "",
     "of a pool's requests, to a version that is not yet judged"},
    {"forward", "canary_extra", &Host::CanaryExtra, Fraction, false, 0, 100000,
     "requests", "to a version that is not yet judged, besides those"},
    {"drain", "timeout_ms", &Host::DrainTimeout, Millis, false, 1000,
     24 * HourMs, "ms", "that a stop waits for requests in progress"},
    {"log", "level", &Host::LogLevel, LogSeverity, false, 0, 0, "",
     "lowest severity logged: info, warning or error"},
    {"log", "success_share", &Host::LogSuccessShare, Fraction, false, 0, 1, "",
     "of forwarded requests that are served, told by a line each"},
});

std::string fullKey(const SettingRow &Row) {
  return std::string(Row.Section) + "." + std::string(Row.Key);
}

const SettingRow *findRow(std::string_view FullKey) {
  const auto Found =
      std::find_if(Rows.begin(), Rows.end(), [&](const SettingRow &Row) {
        return fullKey(Row) == FullKey;
      });
  return Found == Rows.end() ? nullptr : &*Found;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

std::optional<double> parseFraction(const std::string &Text) {
  char *End = nullptr;
  const double Value = std::strtod(Text.c_str(), &End);
  if (Text.empty() || End != Text.c_str() + Text.size() || !(Value >= 0))
    return std::nullopt;
  return Value;
}

bool isName(std::string_view Text) {
  const auto IsNameChar = [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '.' || C == '-' || C == '_';
  };
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), IsNameChar);
}

bool isSeed(const std::string &Text) {
  std::istringstream Words(Text);
  std::string Name, Zone, Region, Address, Rest;
  Words >> Name >> Zone >> Region >> Address;
  return isName(Name) && isName(Zone) && isName(Region) &&
         ok(parseAddress(Address)) && !(Words >> Rest);
}

/// Returns why \p Text is no value for \p Row, or "" when it is one.
std::string complaint(const SettingRow &Row, const std::string &Text) {
  switch (Row.Kind) {
  case Name:
    return isName(Text) ? "" : "needs letters, digits, '.', '-' or '_'";
  case Address: {
    const auto Parsed = parseAddress(Text);
    return ok(Parsed) ? "" : error(Parsed).Message;
  }
  case SeedList:
    return isSeed(Text) ? "" : "needs \"name zone region ip:port\"";
  case LogSeverity:
    return Text == "info" || Text == "warning" || Text == "error"
               ? ""
               : "needs info, warning or error";
  case Fraction: {
    const auto Value = parseFraction(Text);
    if (Value && *Value >= double(Row.Min) && *Value <= double(Row.Max))
      return "";
    return "\"" + Text + "\" is not a number from " + std::to_string(Row.Min) +
           " to " + std::to_string(Row.Max);
  }
  case Number:
  case Millis:
    break;
  }
  const auto Value = parseNumber(Text);
  if (Value && *Value >= Row.Min && *Value <= Row.Max)
    return "";
  return "\"" + Text + "\" is not a whole number from " +
         std::to_string(Row.Min) + " to " + std::to_string(Row.Max) + " " +
         std::string(Row.Unit);
}

struct FieldSetter {
  HostSettings &Settings;
  const std::string &Text;

  void operator()(std::string HostSettings::*Field) const {
    Settings.*Field = Text;
  }
  void operator()(std::uint64_t HostSettings::*Field) const {
    Settings.*Field = *parseNumber(Text);
  }
  void operator()(Duration HostSettings::*Field) const {
    Settings.*Field = milliseconds(*parseNumber(Text));
  }
  void operator()(double HostSettings::*Field) const {
    Settings.*Field = *parseFraction(Text);
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
  std::string operator()(double HostSettings::*Field) const {
    std::ostringstream Text;
    Text << Settings.*Field;
    return Text.str();
  }
  std::string operator()(std::vector<std::string> HostSettings::*) const {
    return "";
  }
};

/// Values read so far, with the findings against them.
struct Reading {
  std::string Source{};
  HostSettings Settings{};
  std::map<std::string, int> TimesGiven{};
  std::string Findings{};

  void find(std::string_view FullKey, std::string_view What) {
    const auto Dot = FullKey.find('.');
    const bool HasSection = Dot != std::string_view::npos;
    Findings += Source + ": [";
    Findings += HasSection ? FullKey.substr(0, Dot) : "";
    Findings += "] ";
    Findings += HasSection ? FullKey.substr(Dot + 1) : FullKey;
    Findings += ": ";
    Findings += What;
    Findings += "\n";
  }

  void apply(const std::string &FullKey, const std::string &Text) {
    const SettingRow *Row = findRow(FullKey);
    if (Row == nullptr)
      return find(FullKey, "no such setting");
    const bool Again = TimesGiven[FullKey]++ > 0;
    if (Again && Row->Kind != SeedList)
      return find(FullKey, "given twice");
    const std::string Complaint = complaint(*Row, Text);
    if (!Complaint.empty())
      return find(FullKey, Complaint);
    std::visit(FieldSetter{Settings, Text}, Row->Field);
  }

  void applyFile(std::string_view Text) {
    try {
      std::istringstream Stream{std::string(Text)};
      const options::options_description None;
      for (const auto &Option :
           options::parse_config_file(Stream, None, true).options)
        apply(Option.string_key,
              Option.value.empty() ? "" : Option.value.front());
    } catch (const options::error &Caught) {
      Findings += Source + ": " + Caught.what() + "\n";
    }
  }

  void applyOverrides(const std::vector<SettingOverride> &Overrides) {
    Source = "command line";
    TimesGiven.clear();
    for (const auto &[FullKey, Text] : Overrides)
      apply(FullKey, Text);
  }

  void requireFields() {
    for (const SettingRow &Row : Rows) {
      const std::string Text = std::visit(FieldPrinter{Settings}, Row.Field);
      const bool Missing = Row.Required && Text.empty();
      const bool FoundAlready =
          Findings.find("[" + std::string(Row.Section) + "] " +
                        std::string(Row.Key) + ":") != std::string::npos;
      if (Missing && !FoundAlready)
        find(fullKey(Row), "is required: " + std::string(Row.Description));
    }
  }
};

} // namespace

std::span<const SettingRow> settingRows() { return Rows; }

Result<HostSettings>
parseSettings(std::string_view Text, std::string_view Source,
              const std::vector<SettingOverride> &Overrides) {
  Reading Input;
  Input.Source = std::string(Source);
  Input.applyFile(Text);
  Input.applyOverrides(Overrides);
  Input.Source = std::string(Source);
  Input.requireFields();
  if (Input.Findings.empty())
    return Input.Settings;
  Input.Findings.pop_back();
  return Error{ErrorKind::BadSettings, Input.Findings};
}

Result<HostSettings>
readSettings(const std::string &Path,
             const std::vector<SettingOverride> &Overrides) {
  const std::ifstream File(Path);
  if (!File)
    return Error{ErrorKind::BadSettings, Path + ": can't be read"};
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseSettings(Text.str(), Path, Overrides);
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
