/// Histograms by tier, client account and target version, and counters.
///
/// Memory is bounded: each label kind has at most MaxSeriesPerLabel series;
/// values beyond that limit go to the series "other".
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

/// A duration that is recorded for each request.
enum class LatencyMetric : std::uint8_t {
  QueueWait,     ///< from arrival to dispatch
  FirstToken,    ///< from arrival to the first event of the answer
  BetweenTokens, ///< between two events of the answer
  Total,         ///< from arrival to the end of the answer
};
template <>
inline constexpr std::array NamesOf<LatencyMetric> =
    std::to_array<std::string_view>({"queue_wait", "first_token",
                                     "between_tokens", "total"});
inline constexpr std::size_t LatencyMetricCount = 4;
static_assert(NamesOf<LatencyMetric>.size() == LatencyMetricCount);

/// Counters per tier.
enum class TierCounter : std::uint8_t {
  Received,      ///< requests accepted for scheduling
  Goodput,       ///< complete answers within the deadline
  Late,          ///< complete answers after the deadline
  Shed,          ///< rejected or cancelled before dispatch
  Failed,        ///< ended in an error after dispatch
  WastedPrefill, ///< prompt tokens processed and discarded
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

/// Counters per host.
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
  ControlMicros,      ///< CPU time of control-plane work, in microseconds
  StoreRestores,      ///< restores of the platform's store from an older copy
  ZoneRefusals,       ///< requests whose pool has targets in closed zones only
  ZoneGrantsReturned, ///< because the target's zone was closed meanwhile
  ObjectsSkipped,     ///< invalid objects of the platform
  MirrorRepairs,      ///< copies of objects that differed from a hub's
};
template <>
inline constexpr std::array
    NamesOf<HostCounter> = std::to_array<std::string_view>(
        {"peer_messages_sent", "peer_messages_received", "peer_bytes_sent",
         "peer_bytes_received", "peer_messages_dropped", "platform_reads",
         "platform_writes", "platform_watches", "connections_refused",
         "callers_cut_off", "control_microseconds", "store_restores",
         "zone_refusals", "zone_grants_returned", "objects_skipped",
         "mirror_repairs"});
inline constexpr std::size_t HostCounterCount = 16;
static_assert(NamesOf<HostCounter>.size() == HostCounterCount);

/// Label by which series are split.
enum class LabelKind : std::uint8_t { Tier, Account, Version, Route };
template <>
inline constexpr std::array NamesOf<LabelKind> =
    std::to_array<std::string_view>({"tier", "account", "version", "route"});
inline constexpr std::size_t LabelKindCount = 4;
static_assert(NamesOf<LabelKind>.size() == LabelKindCount);

inline constexpr std::size_t MaxSeriesPerLabel = 2000;

/// Labels of an observation; it is added to the series of each label.
struct RequestLabels {
  TierRank Tier{};
  AccountId Account{};
  VersionId Version{}; ///< of the target; 0 before dispatch and for services
  RouteId Route{};     ///< 0 if unknown
};

/// Histograms and counters of one host.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds \p Value to the series of its tier, account, version and route.
  void observe(LatencyMetric Metric, const RequestLabels &Labels,
               Duration Value);

  void add(TierCounter Counter, TierRank Tier, std::uint64_t Amount = 1);
  void add(HostCounter Counter, std::uint64_t Amount = 1);

  /// Counts a request that ended with \p Outcome: for its route, and for its
  /// tier and account if they are known.
  void addOutcome(const RequestLabels &Labels, std::string_view Outcome);
  std::uint64_t outcomes(LabelKind Kind, std::uint64_t Id,
                         std::string_view Outcome) const;

  std::uint64_t count(TierCounter Counter, TierRank Tier) const;
  std::uint64_t count(HostCounter Counter) const;

  /// Returns the number of values in one series; 0 if there is no such series.
  std::uint64_t observations(LatencyMetric Metric, LabelKind Kind,
                             std::uint64_t Id) const;

  /// Returns the upper bound of the bucket that contains quantile \p Q (0 to 1)
  /// of a series.
  Duration quantile(LatencyMetric Metric, LabelKind Kind, std::uint64_t Id,
                    double Q) const;

  /// Sets the label value printed for an id; the default is hexadecimal.
  void setLabelName(LabelKind Kind, std::uint64_t Id, std::string Name);

  std::size_t seriesCount() const;

  /// Returns all series in the Prometheus text format, version 0.0.4.
  std::string prometheusText() const;

private:
  struct State;
  std::unique_ptr<State> Data;
};

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_METRICS_H
