/// Cold targets: those that have just started, or may have, and accept only a
/// limited number of requests per second.
///
/// Statements about a target come from its entry, its responses, other hosts,
/// and from what this host assumes: a target that is new, or whose connection
/// was lost, may have started. The most recent statement about an incarnation
/// applies. Hosts pass on what responses say and what they assume because of
/// lost connections; entries reach every host by themselves.
///
/// [SECTION] Index
///   1. TargetWarmupNotice  what one host tells another
///   2. TargetWarmups       what one host knows of all targets
///   3. WarmupBudget        how the permitted requests are divided
#ifndef MARJORAMBAY_COORDINATION_TARGET_WARMUP_H
#define MARJORAMBAY_COORDINATION_TARGET_WARMUP_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// What a target's state is based on.
enum class WarmupSource : std::uint8_t {
  Entry,      ///< the platform's entry states a remaining time
  Response,   ///< a response of the target does
  FirstSight, ///< a new incarnation was listed without a remaining time
  Lost,       ///< a connection was lost or refused, or it was silent
  Evacuation, ///< the evacuation of its zone has ended
};
template <>
inline constexpr std::array NamesOf<WarmupSource> =
    std::to_array<std::string_view>({"entry", "response", "first_sight", "lost",
                                     "evacuation"});
static_assert(NamesOf<WarmupSource>.size() == 5);

// ---- Messages between hosts -------------------------------------------------

struct TargetWarmupNotice {
  TargetId Target{};
  IncarnationId Incarnation{};
  WarmupSource Source = WarmupSource::Response;
  /// The target may have started and has not responded since; it is cold until
  /// it does, and Left is 0.
  bool AwaitsResponse = false;
  Duration Left{}; ///< 0: the target is warm
  Duration Age{};  ///< since the statement was made
};

// ---- What a host knows ------------------------------------------------------

/// A change of a target's state, for logs and arbiters.
struct WarmupChange {
  TargetId Target{};
  bool IsCold = false;
  bool WasCold = false; ///< only the remaining time has changed
};

class TargetWarmups {
public:
  /// Records what a newly written entry states.
  void recordEntry(TargetId Target, IncarnationId Incarnation, Duration Left,
                   TimePoint Now);
  /// Records what a response to a request sent at \p SentAt states.
  void recordStatement(TargetId Target, IncarnationId Incarnation,
                       Duration Left, TimePoint SentAt, TimePoint Now);
  /// Records a target that is cold for \p Warmup unless a later statement says
  /// otherwise. An earlier statement about the same incarnation does not count,
  /// except for FirstSight.
  void assumeCold(TargetId Target, IncarnationId Incarnation,
                  WarmupSource Source, Duration Warmup, TimePoint Now);
  /// The target may have restarted under the same name: it is cold until it
  /// responds, and for its warm-up time after that.
  void recordLost(TargetId Target, IncarnationId Incarnation, TimePoint Now);
  /// Drops all assumptions because of a first sight: another host would have
  /// told of targets that are cold.
  void dropFirstSights(TimePoint Now);
  /// Records a response to a request sent at \p SentAt. If it is the first one
  /// since the target was lost, its warm-up time begins.
  void recordResponse(TargetId Target, TimePoint SentAt, Duration Warmup,
                      TimePoint Now);
  /// Records a notice of another host.
  void merge(const TargetWarmupNotice &Notice, TimePoint Now);
  /// Drops targets that are not among \p Listed or run a later incarnation.
  void retain(const std::unordered_map<TargetId, IncarnationId> &Listed);

  bool isCold(TargetId Target, TimePoint Now) const;
  /// Whether the target is cold until its next response.
  bool awaitsResponse(TargetId Target) const;
  /// Returns when \p Target will be warm; nothing if it is warm or awaits a
  /// response.
  std::optional<TimePoint> coldUntil(TargetId Target, TimePoint Now) const;
  std::optional<WarmupSource> source(TargetId Target) const;
  /// Returns the targets that were cold at the last takeChanges().
  const std::set<TargetId> &cold() const { return Announced; }

  /// Returns the targets whose state or end has changed since the last call.
  std::vector<WarmupChange> takeChanges(TimePoint Now);

  /// Whether this host has a notice that it has not passed on.
  bool changeUnsent() const { return !Unsent.empty(); }
  /// Returns the notices recorded since the last call, and up to \p Old others
  /// in rotation.
  std::vector<TargetWarmupNotice> takeUnsent(std::size_t Old, TimePoint Now);
  /// Returns the notices that are newest, and up to \p Count others in
  /// rotation.
  std::vector<TargetWarmupNotice> nextNotices(std::size_t Count, TimePoint Now);

private:
  struct Entry {
    IncarnationId Incarnation{};
    WarmupSource Source = WarmupSource::Entry;
    bool AwaitsResponse = false;
    TimePoint MadeAt{};
    TimePoint ColdUntil{};
    TimePoint ChangedAt{}; ///< when this host last recorded a change
    TimePoint LostAt{};    ///< if Source is Lost
  };
  static bool isCold(const Entry &Known, TimePoint Now);
  static bool isShared(const Entry &Known, TimePoint Now);
  static bool saysSame(const Entry &Known, const Entry &New);
  void replace(TargetId Target, const Entry &New, bool Local);
  static TargetWarmupNotice noticeOf(TargetId Target, const Entry &Known,
                                     TimePoint Now);

  std::map<TargetId, Entry> Entries{};
  std::set<TargetId> Announced{}; ///< cold as of takeChanges()
  std::set<TargetId> Dirty{};     ///< changed since takeChanges()
  std::set<TargetId> Unsent{};
  TargetId LastSent{};
};

// ---- Division of the permitted requests -------------------------------------

/// Limits on the requests that reach a cold target in any one second.
struct WarmupBounds {
  double Overrun = 1.5; ///< factor on the rate that the pool states
  double Slack = 5;     ///< requests in addition
};

/// Longest time from the grant of a slot at a cold target until its request is
/// sent. Origins return older grants unused. It allows for the interval of
/// heartbeats, which show how old a grant may be, and for the way of messages.
inline constexpr Duration MaxColdGrantAge = milliseconds(350);
/// Time within which a cold target must take a connection, so that a request
/// reaches it soon after it was granted or not at all.
inline constexpr Duration ColdConnectTimeout = milliseconds(100);
/// Length of the interval in which all requests were granted that can reach a
/// target within one second.
inline constexpr Duration ColdGrantWindow =
    seconds(1) + MaxColdGrantAge + ColdConnectTimeout;

/// How the requests that a cold target accepts are divided, so that all parts
/// together stay within the bounds: one arbiter grants ArbiterRate, and hosts
/// without one have Permits in total.
struct WarmupBudget {
  double ArbiterRate = 0; ///< requests per second
  std::uint32_t Permits = 0;
};
WarmupBudget warmupBudget(double PerSecond, const WarmupBounds &Bounds);

/// Requests per second that a host may send without an arbiter, of \p Permits
/// that it has.
double permitRate(std::uint32_t Permits);

/// Returns the permits of one host: each of \p Hosts gets the same number, and
/// those with the lowest ranks one more.
std::uint32_t permitsOf(std::size_t Rank, std::size_t Hosts,
                        std::uint32_t Permits);

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_WARMUP_H
