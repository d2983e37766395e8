/// Configuration of forwarded routes: requests that go to a pool as they are,
/// chosen by host and path.
///
/// [SECTION] Index
///   1. ForwardKind     what may be repeated
///   2. ForwardRoute    one route, its pools and bounds
///   3. ForwardAccount  keys, tier and rate of a client account
///   4. ForwardConfig   one version, whole
///   5. ForwardTable    the index that requests are looked up in
#ifndef MARJORAMBAY_STATE_FORWARDING_CONFIG_H
#define MARJORAMBAY_STATE_FORWARDING_CONFIG_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambay {

/// What may be done again after a failure.
enum class ForwardKind : std::uint8_t {
  Safe,            ///< may run more than once
  Unsafe,          ///< runs once at most
  Stream,          ///< events; runs once at most
  ResumableStream, ///< events; goes on elsewhere after the last event id
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

/// A pool's part of a route's requests.
struct PoolWeight {
  PoolId Pool{};
  std::uint32_t Weight = 1;
};

struct ForwardRoute {
  std::string Name{};
  RouteId Id{};             ///< hash of Name
  std::string Host{};       ///< as in the Host header, lower case
  std::string PathPrefix{}; ///< begins and ends with a slash
  ForwardKind Kind = ForwardKind::Unsafe;
  std::vector<PoolWeight> Pools{};
  Duration Timeout = seconds(30); ///< a final answer by then
  Duration LatencyObjective =
      seconds(1);                ///< whole answer or first event by then
  Duration MaxEventGap{};        ///< between events; 0: not told
  std::uint32_t MaxAttempts = 1; ///< targets that one request may be sent to
  std::uint32_t Priority = 0;    ///< 0 is the highest
  bool Anonymous = false;        ///< needs no account key
};

struct ForwardAccount {
  std::string Name{};
  AccountId Id{}; ///< hash of Name
  std::vector<std::string> Keys{};
  std::optional<std::uint32_t> Priority{}; ///< compared before the route's
  double RatePerSecond = 0;        ///< over the whole fleet; 0: no limit
  double Burst = 0;                ///< above the rate
  bool CountsTokens = false;       ///< else requests are counted
  std::uint32_t DefaultTokens = 0; ///< of a request that tells no tokens
};

struct ForwardPool {
  std::string Name{};
  PoolId Id{}; ///< hash of Name
  std::string HealthPath = "/healthz";
  std::uint32_t MaxConnections = 0; ///< of a target, from all hosts; 0: any
  bool Engine = false;              ///< batches requests; slots are arbitrated
  std::uint32_t TokensPerEvent = 1; ///< of a stream
};

/// What a caller may send, and how long it may take.
struct ForwardLimits {
  std::uint64_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 4194304;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
};

/// One version of the configuration. Versions only rise.
struct ForwardConfig {
  std::uint64_t Version = 0; ///< 0: none
  std::vector<ForwardRoute> Routes{};
  std::vector<ForwardPool> Pools{};
  std::vector<ForwardAccount> Accounts{};
  ForwardLimits Limits{};
};

/// Looks routes, accounts and pools up in one version. Cost of match(): one
/// hash of the host and one comparison for each prefix of it.
class ForwardTable {
public:
  explicit ForwardTable(ForwardConfig Given);

  std::uint64_t version() const { return Config.Version; }
  const ForwardConfig &config() const { return Config; }

  /// Returns the route of \p Host with the longest prefix that begins \p Path,
  /// or null. A port in \p Host is left out of the comparison.
  const ForwardRoute *match(std::string_view Host, std::string_view Path) const;

  /// Returns the account that holds \p Key, or null.
  const ForwardAccount *accountByKey(const std::string &Key) const;
  const ForwardAccount *account(AccountId Id) const;
  const ForwardPool *pool(PoolId Id) const;

  /// Returns the tier of an account's requests on a route: the account's
  /// priority decides, and among equals the route's. \p Account may be null.
  TierRank tierOf(const ForwardAccount *Account,
                  const ForwardRoute &Route) const;

  /// Without accounts in the configuration no route needs a key.
  bool needsKeys() const { return !Config.Accounts.empty(); }

private:
  ForwardConfig Config;
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost{};
  std::unordered_map<std::string, std::size_t> ByKey{};
  std::unordered_map<AccountId, std::size_t> ByAccount{};
  std::unordered_map<PoolId, std::size_t> ByPool{};
  std::vector<std::pair<std::uint32_t, std::uint32_t>> Ranks{}; ///< in order
};

/// Draws a pool by weight: \p Point is anywhere in [0, 1).
PoolId selectPool(const ForwardRoute &Route, double Point);

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_FORWARDING_CONFIG_H
