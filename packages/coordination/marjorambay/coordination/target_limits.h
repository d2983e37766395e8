/// Rates that targets name for themselves, and how a pool's arbiter keeps them,
/// together with those of cold targets (target_warmup.h).
///
/// A target in need says in its answers how many requests a second it takes
/// from all hosts together. The latest notice counts, by when its request was
/// sent. Heartbeats carry notices to the hubs, and digests to all hosts, so
/// that the arbiter of a pool knows them, also after it has moved or restarted.
///
/// [SECTION] Index
///   1. TargetLimits  what one host knows of all targets
///   2. TargetPacer   when a limited target may get the next request
#ifndef MARJORAMBAY_COORDINATION_TARGET_LIMITS_H
#define MARJORAMBAY_COORDINATION_TARGET_LIMITS_H

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

// ---- What a host knows ------------------------------------------------------

/// What a target said in its answer to one request.
struct TargetLimitNotice {
  TargetId Target{};
  IncarnationId Incarnation{};
  std::optional<double> PerSecond{}; ///< nothing: it named no limit
  Duration Age{};                    ///< since the request was sent
};

enum class LimitChange : std::uint8_t { None, Learned, Changed, Ended };
template <>
inline constexpr std::array NamesOf<LimitChange> =
    std::to_array<std::string_view>({"none", "learned", "changed", "ended"});
static_assert(NamesOf<LimitChange>.size() == 4);

class TargetLimits {
public:
  /// Records the notice in an answer to this host.
  LimitChange observe(const TargetLimitNotice &Notice, TimePoint Now);
  /// Records a notice that another host passed on.
  LimitChange merge(const TargetLimitNotice &Notice, TimePoint Now);
  /// Drops what is known of targets that are not among \p Listed or run a later
  /// incarnation. Returns those that had a limit.
  std::vector<TargetId>
  retain(const std::unordered_map<TargetId, IncarnationId> &Listed);

  /// Returns the limit of \p Target; nothing if it has none.
  std::optional<double> limit(TargetId Target) const;
  /// Number of targets with a limit.
  std::size_t size() const;

  /// Whether this host observed a change that it has not passed on.
  bool changeUnsent() const { return ChangeUnsent; }
  /// Returns the notices observed since the last call, and up to \p Old others
  /// in rotation: hubs that have all restarted know of none.
  std::vector<TargetLimitNotice> takeUnsent(std::size_t Old, TimePoint Now);
  /// Returns up to \p Count notices, in rotation.
  std::vector<TargetLimitNotice> nextNotices(std::size_t Count, TimePoint Now);

private:
  struct Entry {
    IncarnationId Incarnation{};
    std::optional<double> PerSecond{};
    TimePoint SentAt{};
  };
  TargetLimitNotice noticeOf(TargetId Target, const Entry &Known,
                             TimePoint Now) const;

  /// Targets that have named a limit, also those that no longer do.
  std::map<TargetId, Entry> Entries{};
  std::set<TargetId> Unsent{}; ///< observed since takeUnsent()
  bool ChangeUnsent = false;
  TargetId LastSent{};
};

// ---- Pacing -----------------------------------------------------------------

/// How a limited target is paced.
struct TargetPace {
  double PerSecond = 0; ///< limit, for all hosts together
  /// Part of the limit that is granted here; below 1 if other hosts grant the
  /// rest without knowing of each other.
  double Share = 1;
  /// Places the turns of a part among those of other hosts, 0 to 1.
  double Phase = 0;
  /// The target is cold. PerSecond is then what is granted here, the lower one
  /// of its limit and its warm-up rate, and 0 grants nothing.
  bool IsCold = false;
  /// A cold target gets requests only while a lease holds.
  bool NeedsLease = false;
  /// When the pace is expected to end; 0 if unknown.
  TimePoint EndsAt{};
};

/// Paces the requests of one pool to its limited and its cold targets.
class TargetPacer {
public:
  /// Time of its rate that a cold target may get at once, beside one request:
  /// the interval of the arbiter's ticks.
  static constexpr Duration ColdBurst = milliseconds(50);

  void set(TargetId Target, const std::optional<TargetPace> &Pace,
           TimePoint Now);

  /// Cold targets whose pace needs a lease get requests until \p Until. Until
  /// \p InTouch, this host would hear of a target that has become cold; later,
  /// one that has not answered recently gets one request at a time. Before, it
  /// gets \p UnconfirmedPerSecond, if that is not 0.
  void setLease(TimePoint Until, TimePoint InTouch,
                double UnconfirmedPerSecond = 0) {
    LeaseUntil = Until;
    InTouchUntil = InTouch;
    UnconfirmedRate = UnconfirmedPerSecond;
  }

  /// Whether \p Target, which has \p InFlight requests, has no limit or may get
  /// a request now.
  bool allows(TargetId Target, std::uint32_t InFlight, TimePoint Now) const;
  bool allows(TargetId Target, TimePoint Now) const {
    return allows(Target, 0, Now);
  }
  /// Records an answer of \p Target.
  void recordAnswer(TargetId Target, TimePoint Now) {
    Recent[Target].AnsweredAt = Now;
  }
  void recordSend(TargetId Target, TimePoint Now);

  bool isCold(TargetId Target) const;
  /// Requests a second that \p Target gets here; nothing if it has no limit.
  std::optional<double> rate(TargetId Target, TimePoint Now) const;
  /// When the pace of \p Target is expected to end; 0 if that is not known.
  TimePoint endsAt(TargetId Target) const;
  /// Whether \p Target is limited, not cold, and has got less than its limit
  /// allows.
  bool hasSpare(TargetId Target, TimePoint Now) const;
  /// Requests that \p Target may get at once.
  double allowance(TargetId Target, TimePoint Now) const;
  /// Drops the counts of targets that are not listed.
  void retain(const std::unordered_map<TargetId, std::size_t> &Listed);

private:
  struct Bucket {
    TargetPace Pace{};
    double Tokens = 0;
    TimePoint At{};
    TimePoint LastSend{};
  };
  /// Numbers of the requests of the last second, in slots, and the last answer.
  struct RecentSends {
    static constexpr std::size_t Slots = 24;
    std::array<std::uint16_t, Slots> Counts{};
    std::int64_t LastSlot = 0;
    TimePoint AnsweredAt{};
    void record(TimePoint Now);
    double since(TimePoint Then, TimePoint Now) const;
  };
  bool mayBeNew(TargetId Target, std::uint32_t InFlight, TimePoint Now) const;
  bool hasLease(const Bucket &Entry, TimePoint Now) const;
  double tokensAtStart(TargetId Target, const TargetPace &Pace,
                       TimePoint Now) const;
  static double rateOf(const Bucket &Entry);
  static double tokensOf(const Bucket &Entry, TimePoint Now);
  static double maxTokens(const Bucket &Entry);
  static bool hasTurn(const Bucket &Entry, TimePoint Now);

  std::unordered_map<TargetId, Bucket> Buckets{};
  std::unordered_map<TargetId, RecentSends> Recent{};
  TimePoint LeaseUntil{};
  TimePoint InTouchUntil = TimePoint::max();
  double UnconfirmedRate = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_LIMITS_H
