/// Configuration of forwarded routes: requests are matched by host and path and
/// forwarded to a pool unmodified.
///
/// [SECTION] Index
///   1. ForwardKind     which requests may be retried
///   2. ForwardRoute    one route, its pools and limits
///   3. ForwardAccount  keys, priority and rate limit of a client account
///   4. ForwardConfig   one complete version
///   5. ForwardTable    lookup index of a configuration
#ifndef MARJORAMBAY_STATE_FORWARDING_CONFIG_H
#define MARJORAMBAY_STATE_FORWARDING_CONFIG_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"
#include "marjorambay/state/zone_regions.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambay {

/// How a request may be retried after a failure.
enum class ForwardKind : std::uint8_t {
  Safe,            ///< idempotent; may run more than once
  Unsafe,          ///< runs at most once
  Stream,          ///< event stream; runs at most once
  ResumableStream, ///< event stream; another target can resume after the last
                   ///< event id
};
template <>
inline constexpr std::array NamesOf<ForwardKind> =
    std::to_array<std::string_view>({"safe", "unsafe", "stream",
                                     "resumable_stream"});
static_assert(NamesOf<ForwardKind>.size() == 4);

constexpr bool isStream(ForwardKind Kind) {
  return Kind == ForwardKind::Stream || Kind == ForwardKind::ResumableStream;
}
constexpr bool isRetryable(ForwardKind Kind) {
  return Kind == ForwardKind::Safe || Kind == ForwardKind::ResumableStream;
}

/// A pool's share of a route's requests.
struct PoolWeight {
  PoolId Pool{};
  std::uint32_t Weight = 1;
};

struct ForwardRoute {
  std::string Name{};
  RouteId Id{};             ///< hash of Name
  std::string Host{};       ///< Host header value, lower case
  std::string PathPrefix{}; ///< starts and ends with a slash
  ForwardKind Kind = ForwardKind::Unsafe;
  std::vector<PoolWeight> Pools{};
  Duration Timeout = seconds(30);         ///< for the complete answer
  Duration LatencyObjective = seconds(1); ///< for the answer or its first event
  Duration MaxEventGap{};                 ///< between events; 0 if unspecified
  std::uint32_t MaxAttempts = 1;          ///< targets tried per request
  std::uint32_t Priority = 0;             ///< 0 is the highest
  bool Anonymous = false;                 ///< needs no API key
  HomeRegions AllowedRegions{}; ///< regions or zones of its targets; empty: all
};

struct ForwardAccount {
  std::string Name{};
  AccountId Id{}; ///< hash of Name
  std::vector<std::string> Keys{};
  std::optional<std::uint32_t> Priority{}; ///< takes precedence
                                           ///< over the route's priority
  double RatePerSecond = 0;                ///< fleet-wide; 0: no limit
  double Burst = 0;                        ///< tolerated above the rate
  bool CountsTokens = false;       ///< limits tokens instead of requests
  std::uint32_t DefaultTokens = 0; ///< charged if a request has no token count
  /// Regions or zones of the targets of its requests; empty: all. A request
  /// must satisfy these and those of its route.
  HomeRegions AllowedRegions{};
};

struct ForwardPool {
  std::string Name{};
  PoolId Id{}; ///< hash of Name
  std::string HealthPath = "/healthz";
  std::uint32_t MaxConnections = 0; ///< per target, fleet-wide; 0: no limit
  bool Engine = false; ///< batches requests; an arbiter grants slots
  std::uint32_t TokensPerEvent = 1; ///< of a stream
  double WarmupPerSecond = 0; ///< that a cold target accepts; 0: no warm-up
  Duration WarmupTime{};      ///< for which a target is cold after a start
};

/// Size limits of requests and timeouts of caller connections.
struct ForwardLimits {
  std::uint64_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 4194304;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
};

/// One version of the configuration. Version numbers increase monotonically.
struct ForwardConfig {
  std::uint64_t Version = 0; ///< 0: none
  std::vector<ForwardRoute> Routes{};
  std::vector<ForwardPool> Pools{};
  std::vector<ForwardAccount> Accounts{};
  ForwardLimits Limits{};
};

/// Looks up routes, accounts and pools of one version. match() hashes the host
/// once and compares the path with each prefix of that host.
class ForwardTable {
public:
  explicit ForwardTable(ForwardConfig Source);

  std::uint64_t version() const { return Config.Version; }
  const ForwardConfig &config() const { return Config; }

  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  /// A port in \p Host is ignored.
  const ForwardRoute *match(std::string_view Host, std::string_view Path) const;

  /// Returns the account with the API key \p Key, or null.
  const ForwardAccount *accountByKey(const std::string &Key) const;
  const ForwardAccount *account(AccountId Id) const;
  const ForwardPool *pool(PoolId Id) const;

  /// Returns the tier of an account's requests on a route: ordered by the
  /// account's priority, then by the route's. \p Account may be null.
  TierRank tierOf(const ForwardAccount *Account,
                  const ForwardRoute &Route) const;

  /// API keys are checked only if the configuration has accounts.
  bool needsKeys() const { return !Config.Accounts.empty(); }

private:
  ForwardConfig Config;
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost{};
  std::unordered_map<std::string, std::size_t> ByKey{};
  std::unordered_map<AccountId, std::size_t> ByAccount{};
  std::unordered_map<PoolId, std::size_t> ByPool{};
  std::vector<std::pair<std::uint32_t, std::uint32_t>> Ranks{}; ///< sorted
};

/// Selects a pool by weight; \p Point is a random number in [0, 1).
PoolId selectPool(const ForwardRoute &Route, double Point);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_FORWARDING_CONFIG_H
