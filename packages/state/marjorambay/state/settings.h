/// Settings of one entry host: an INI file that the command line overrides.
///
/// Every setting is one field below and one row of settingRows(), which gives
/// its section, key, unit, range and description. docs/CONFIGURATION.md holds
/// the same table, and a test keeps them together.
#ifndef MARJORAMBAY_STATE_SETTINGS_H
#define MARJORAMBAY_STATE_SETTINGS_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace marjorambay {

/// What one daemon reads at start. Plain data; checked before anything binds.
struct HostSettings {
  // [host]
  std::string HostName{};             ///< unique in the fleet; required
  std::string ZoneName{};             ///< availability zone; required
  std::string RegionName = "region";  ///< region of the zone
  std::string Serves = "completions"; ///< or "forwarded_routes"
  double CpuShare = 1;                ///< of a core, that the host has
  double LinkMbps = 1000;             ///< of its network link
  // [caller]
  std::string CallerAddress = "127.0.0.1:8080"; ///< callers connect here
  std::uint64_t MaxConnections = 4096;          ///< open caller connections
  std::uint64_t MaxHeaderBytes = 16384;         ///< of one request
  std::uint64_t MaxBodyBytes = 1048576;         ///< of one request
  std::uint64_t MaxUnreadBytes = 1048576; ///< unread answer; then it is cut
  Duration IdleTimeout = seconds(60);     ///< connection without a request
  std::uint64_t MaxRequests = 20000;      ///< requests held at once
  // [peer]
  std::string PeerAddress = "127.0.0.1:8081"; ///< other entry hosts connect
  std::vector<std::string> Seeds{};           ///< "name zone region ip:port"
  std::uint64_t PeerHighWaterMark = 10000;    ///< messages queued per peer
  Duration HeartbeatInterval = milliseconds(500);
  // [operator]
  std::string OperatorAddress = "127.0.0.1:8082"; ///< health, metrics, config
  // [platform]
  std::string PlatformAddress{};              ///< object API; required
  Duration PlatformTimeout = seconds(2);      ///< of one call
  Duration WatchWait = seconds(30);           ///< of one waiting watch
  std::uint64_t PlatformWritesPerSecond = 20; ///< budget of this host
  Duration HostListInterval = seconds(10);    ///< between list reads
  // [target]
  Duration ConnectTimeout = seconds(1);
  Duration LoadPollInterval = seconds(1); ///< between load reports read
  // [forward]
  std::string ReadyAddress = "127.0.0.1:8083"; ///< a balancer asks here
  double RetryRatio = 0.2; ///< second sends of a pool, of its requests
  double RetryExtra = 50;  ///< and so many besides, over the whole fleet
  Duration AccountWindow = seconds(8); ///< over which rates are held
  double AccountOverrun = 0;           ///< tolerated above a rate, of it
  double AccountSlack = 0;  ///< tolerated besides, tokens or requests
  double CanaryShare = 0.1; ///< of requests, to a version not yet judged
  double CanaryExtra = 50;  ///< and so many besides
  // [drain]
  Duration DrainTimeout = minutes(30); ///< requests in progress may take this
  // [log]
  std::string LogLevel = "info"; ///< info, warning or error
  double LogSuccessShare = 1;    ///< of requests served, told by a line each
};

/// Field of HostSettings that a row sets.
using SettingField =
    std::variant<std::string HostSettings::*, std::uint64_t HostSettings::*,
                 Duration HostSettings::*, double HostSettings::*,
                 std::vector<std::string> HostSettings::*>;

/// How the text of a setting is checked.
enum class SettingKind : std::uint8_t {
  Name,       ///< letters, digits, '.', '-' and '_'
  Address,    ///< IP number and port
  Number,     ///< whole number within the range
  Millis,     ///< whole milliseconds within the range
  Fraction,   ///< decimal number within the range
  SeedList,   ///< may be given several times
  LogSeverity ///< info, warning or error
};

struct SettingRow {
  std::string_view Section{};
  std::string_view Key{};
  SettingField Field{};
  SettingKind Kind = SettingKind::Number;
  bool Required = false;
  std::uint64_t Min = 0; ///< of Number and Millis
  std::uint64_t Max = 0;
  std::string_view Unit{};
  std::string_view Description{};
};

/// Returns the rows of all settings, in the order of the file.
std::span<const SettingRow> settingRows();

/// Overrides "section.key" with a value, as the command line gives them.
using SettingOverride = std::pair<std::string, std::string>;

/// Reads the INI file \p Path and applies \p Overrides. BadSettings names the
/// file, the section and the key, and says what would be right. All findings
/// are reported together, one a line.
Result<HostSettings>
readSettings(const std::string &Path,
             const std::vector<SettingOverride> &Overrides);

/// As readSettings(), from text; \p Source stands for the file in messages.
Result<HostSettings>
parseSettings(std::string_view Text, std::string_view Source,
              const std::vector<SettingOverride> &Overrides);

/// Returns the table of settings in Markdown, as in docs/CONFIGURATION.md.
std::string settingsTable();

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_SETTINGS_H
