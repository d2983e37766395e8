/// Histograms by tier, client account and target version, and counters.
///
/// Memory is bounded: each label kind holds at most MaxSeriesPerLabel series;
/// what comes later is counted under "other".
#ifndef MARJORAMBAY_STATE_METRICS_H
#define MARJORAMBAY_STATE_METRICS_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace marjorambay {

/// A time span of a request that is recorded.
enum class LatencyMetric : std::uint8_t {
  QueueWait,     ///< from arrival to dispatch
  FirstToken,    ///< from arrival to the first event of the answer
  BetweenTokens, ///< between two events of the answer
  Total,         ///< from arrival to the end
};
template <>
inline constexpr std::array NamesOf<LatencyMetric> =
    std::to_array<std::string_view>({"queue_wait", "first_token",
                                     "between_tokens", "total"});
inline constexpr std::size_t LatencyMetricCount = 4;
static_assert(NamesOf<LatencyMetric>.size() == LatencyMetricCount);

/// A count kept for each tier.
enum class TierCounter : std::uint8_t {
  Received,      ///< requests accepted for scheduling
  Goodput,       ///< whole answers within the deadline
  Late,          ///< whole answers after the deadline
  Shed,          ///< refused or given up before dispatch
  Failed,        ///< ended in an error after dispatch
  WastedPrefill, ///< prompt tokens processed and thrown away
  OutputTokens,  ///< tokens relayed to callers
};
template <>
inline constexpr std::array NamesOf<TierCounter> =
    std::to_array<std::string_view>({"requests_received", "goodput_requests",
                                     "late_requests", "shed_requests",
                                     "failed_requests", "wasted_prefill_tokens",
                                     "output_tokens"});
inline constexpr std::size_t TierCounterCount = 7;
static_assert(NamesOf<TierCounter>.size() == TierCounterCount);

/// A count kept for the whole host.
enum class HostCounter : std::uint8_t {
  PeerMessagesSent,
  PeerMessagesReceived,
  PeerBytesSent,
  PeerBytesReceived,
  PeerMessagesDropped,
  PlatformReads,
  PlatformWrites,
  PlatformWatches,
  ConnectionsRefused,
  CallersCutOff,
  ControlMicros, ///< processor time of control work, in microseconds
};
template <>
inline constexpr std::array
    NamesOf<HostCounter> = std::to_array<std::string_view>(
        {"peer_messages_sent", "peer_messages_received", "peer_bytes_sent",
         "peer_bytes_received", "peer_messages_dropped", "platform_reads",
         "platform_writes", "platform_watches", "connections_refused",
         "callers_cut_off", "control_microseconds"});
inline constexpr std::size_t HostCounterCount = 11;
static_assert(NamesOf<HostCounter>.size() == HostCounterCount);

/// What a series is broken down by.
enum class LabelKind : std::uint8_t { Tier, Account, Version, Route };
template <>
inline constexpr std::array NamesOf<LabelKind> =
    std::to_array<std::string_view>({"tier", "account", "version", "route"});
inline constexpr std::size_t LabelKindCount = 4;
static_assert(NamesOf<LabelKind>.size() == LabelKindCount);

inline constexpr std::size_t MaxSeriesPerLabel = 2000;

/// Whom an observation is about; one series is kept for each of them.
struct RequestLabels {
  TierRank Tier{};
  AccountId Account{};
  VersionId Version{}; ///< of the target; 0: not dispatched, or a service
  RouteId Route{};     ///< 0: not told
};

/// All histograms and counters of a host.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Records \p Value in the series of its tier, account and version.
  void observe(LatencyMetric What, const RequestLabels &Labels, Duration Value);

  void add(TierCounter What, TierRank Tier, std::uint64_t Amount = 1);
  void add(HostCounter What, std::uint64_t Amount = 1);

  /// Counts a request that ended so: for its route, and for its tier and
  /// account if they are known.
  void addOutcome(const RequestLabels &Labels, std::string_view Outcome);
  std::uint64_t outcomes(LabelKind Kind, std::uint64_t Id,
                         std::string_view Outcome) const;

  std::uint64_t count(TierCounter What, TierRank Tier) const;
  std::uint64_t count(HostCounter What) const;

  /// Number of values in one series; 0 when there is no such series.
  std::uint64_t observations(LatencyMetric What, LabelKind Kind,
                             std::uint64_t Id) const;

  /// Upper bound of the bucket that holds quantile \p Q (0 to 1) of a series.
  Duration quantile(LatencyMetric What, LabelKind Kind, std::uint64_t Id,
                    double Q) const;

  /// Sets the name under which an id is shown; else it is hexadecimal.
  void setLabelName(LabelKind Kind, std::uint64_t Id, std::string Name);

  std::size_t seriesCount() const;

  /// Returns everything in the Prometheus text form, version 0.0.4.
  std::string prometheusText() const;

private:
  struct State;
  std::unique_ptr<State> Data;
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_METRICS_H
