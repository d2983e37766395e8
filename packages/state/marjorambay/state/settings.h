/// Settings of one entry host: an INI file, overridden by the command line.
///
/// Every setting is one field below and one row of settingRows(), which has its
/// section, key, unit, range and description. docs/CONFIGURATION.md has the
/// same table; a test checks that the two agree.
#ifndef MARJORAMBAY_STATE_SETTINGS_H
#define MARJORAMBAY_STATE_SETTINGS_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace marjorambay {

/// Settings of one daemon, read and checked at start before any port is bound.
struct HostSettings {
  // [host]
  std::string HostName{};             ///< unique in the fleet; required
  std::string ZoneName{};             ///< availability zone; required
  std::string RegionName = "region";  ///< region of the zone
  std::string Serves = "completions"; ///< or "forwarded_routes"
  double CpuShare = 1;                ///< CPU quota of the host, in cores
  double LinkMbps = 1000;             ///< bandwidth of its network link
  std::uint64_t MemoryMb = 0;         ///< limit of the process; 0: unknown
  std::uint64_t MaxOpenFiles = 0;     ///< descriptors; 0: the system's limit
  std::vector<std::string> ZoneRegions{}; ///< "zone:region,..."
  // [caller]
  std::string CallerAddress = "127.0.0.1:8080"; ///< listens for callers
  std::uint64_t MaxConnections = 4096;          ///< open caller connections
  std::uint64_t MaxHeaderBytes = 16384;         ///< of one request
  std::uint64_t MaxBodyBytes = 1048576;         ///< of one request
  std::uint64_t MaxUnreadBytes = 1048576;       ///< of an answer; then cuts off
  Duration IdleTimeout = seconds(60); ///< connection without a request
  std::uint64_t MaxRequests = 20000;  ///< queued and in-flight requests
  // [peer]
  std::string PeerAddress = "127.0.0.1:8081"; ///< listens for peers
  std::vector<std::string> Seeds{};           ///< "name zone region ip:port"
  std::uint64_t PeerHighWaterMark = 10000;    ///< messages queued per peer
  Duration HeartbeatInterval = milliseconds(500);
  // [operator]
  std::string OperatorAddress = "127.0.0.1:8082"; ///< health, metrics, config
  // [platform]
  std::string PlatformAddress{};              ///< object API; required
  Duration PlatformTimeout = seconds(2);      ///< of one call
  Duration WatchWait = seconds(30);           ///< of one watch call
  std::uint64_t PlatformWritesPerSecond = 20; ///< write budget of this host
  Duration HostListInterval = seconds(10);    ///< between host list reads
  // [target]
  Duration ConnectTimeout = seconds(1);
  Duration LoadPollInterval = seconds(1); ///< between load report reads
  Duration MaxHoldOff = minutes(5); ///< that a target may ask this host for
  // [forward]
  std::string ReadyAddress = "127.0.0.1:8083"; ///< for readiness probes
  // The retry budget of a pool is a fraction of its requests plus a constant,
  // over the whole fleet.
  double RetryRatio = 0.2;
  double RetryExtra = 50;
  Duration AccountWindow = seconds(8); ///< over which rate limits apply
  // Tolerance above an account's rate limit: a fraction of the limit plus a
  // constant number of tokens, the latter for accounts limited by tokens only.
  double AccountOverrun = 0;
  double AccountSlack = 0;
  // Requests that a version under rollout may get before it is evaluated: a
  // fraction of the pool's requests plus a constant.
  double CanaryShare = 0.1;
  double CanaryExtra = 50;
  bool Evacuations = false;                 ///< watch evacuations of zones
  std::uint64_t ZoneArbitersMinTargets = 0; ///< 0: no pool is divided by zone
  // Requests that may reach a cold target in any second: a factor on its pool's
  // warm-up rate plus a constant.
  double WarmupOverrun = 1.5;
  double WarmupSlack = 5;
  bool StartRamp = false; ///< limit targets that have just started
  // [drain]
  Duration DrainTimeout = minutes(30); ///< for requests in flight
  // [log]
  std::string LogLevel = "info"; ///< info, warning or error
  double LogSuccessShare = 1;    ///< fraction of served requests that is logged
};

/// The field of HostSettings that a row sets.
using SettingField =
    std::variant<std::string HostSettings::*, std::uint64_t HostSettings::*,
                 Duration HostSettings::*, double HostSettings::*,
                 bool HostSettings::*,
                 std::vector<std::string> HostSettings::*>;

/// How the text of a setting is parsed and checked.
enum class SettingKind : std::uint8_t {
  Name,       ///< letters, digits, '.', '-' and '_'
  Address,    ///< numeric IP and port
  Number,     ///< whole number within the range
  Millis,     ///< whole milliseconds within the range
  Fraction,   ///< decimal number within the range
  Flag,       ///< true or false
  RegionList, ///< "zone:region,..."; may be given multiple times
  SeedList,   ///< may be given multiple times
  LogSeverity ///< info, warning or error
};

struct SettingRow {
  std::string_view Section{};
  std::string_view Key{};
  SettingField Field{};
  SettingKind Kind = SettingKind::Number;
  bool Required = false;
  std::uint64_t Min = 0; ///< range of Number, Millis and Fraction
  std::uint64_t Max = 0;
  std::string_view Unit{};
  std::string_view Description{};
};

/// Returns the rows of all settings, in the order of the documentation.
std::span<const SettingRow> settingRows();

/// "section.key" and value of a setting given on the command line.
using SettingOverride = std::pair<std::string, std::string>;

/// Reads the INI file \p Path and applies \p Overrides. On BadSettings, the
/// message has one line per invalid setting, with the file, section, key and
/// the expected value.
Result<HostSettings>
readSettings(const std::string &Path,
             const std::vector<SettingOverride> &Overrides);

/// As readSettings(), but from text; messages give \p Source as the file.
Result<HostSettings>
parseSettings(std::string_view Text, std::string_view Source,
              const std::vector<SettingOverride> &Overrides);

/// Settings that a host can serve with, and a line for each one that was not
/// used as given.
struct UsableSettings {
  HostSettings Settings{};
  std::vector<std::string> Warnings{};
};

/// As parseSettings(), but an error only if the host couldn't serve: a required
/// setting or an address for callers, probes or the platform is missing or
/// invalid. Other invalid values are replaced by the nearest valid one or by
/// the default.
Result<UsableSettings>
parseUsableSettings(std::string_view Text, std::string_view Source,
                    const std::vector<SettingOverride> &Overrides);

/// Returns the text of the file, or nullopt if it can't be read.
std::optional<std::string> readSettingsText(const std::string &Path);

/// Returns the table of settings in Markdown, as in docs/CONFIGURATION.md.
std::string settingsTable();

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_SETTINGS_H
