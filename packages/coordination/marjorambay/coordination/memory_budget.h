/// Divides the memory of a process among its uses, and decides when the body of
/// a request may be read.
///
/// The limit of the process, less what the program needs for itself, is divided
/// into a share for each owner, so that no owner can exhaust what another
/// needs. Request bodies are reserved in full before they are read. One that
/// does not fit waits; it is refused once it has waited for too long, or at
/// once if too many wait already. Short bodies have a reserve, so that they
/// don't wait for long ones.
///
/// [SECTION] Index
///   1. MemoryOwner   uses of memory, and the share of each
///   2. MemoryBudget  reservations for request bodies
#ifndef MARJORAMBAY_COORDINATION_MEMORY_BUDGET_H
#define MARJORAMBAY_COORDINATION_MEMORY_BUDGET_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambay {

enum class MemoryOwner : std::uint8_t {
  Program,           ///< code, tables, objects, connections, messages to hosts
  RequestBodies,     ///< being read, held for a repeat or sent to a target
  WaitingRequests,   ///< receive buffers of requests that are not read yet
  BufferedResponses, ///< received from targets, not complete
  UnsentResponses,   ///< queued for callers
};
template <>
inline constexpr std::array NamesOf<MemoryOwner> =
    std::to_array<std::string_view>({"program", "request_bodies",
                                     "waiting_requests", "buffered_responses",
                                     "unsent_responses"});
static_assert(NamesOf<MemoryOwner>.size() == 5);
inline constexpr std::size_t MemoryOwnerCount = NamesOf<MemoryOwner>.size();

/// Bytes of each owner, by MemoryOwner.
using MemoryShares = std::array<std::uint64_t, MemoryOwnerCount>;

/// Divides \p LimitBytes; 0 if the limit is unknown.
MemoryShares divideMemory(std::uint64_t LimitBytes);

enum class BodyId : std::uint64_t {};

enum class BodyDecision : std::uint8_t { Admitted, Waiting, Refused };
template <>
inline constexpr std::array NamesOf<BodyDecision> =
    std::to_array<std::string_view>({"admitted", "waiting", "refused"});
static_assert(NamesOf<BodyDecision>.size() == 3);

struct MemoryBudgetSettings {
  /// Bodies up to this size may use the whole share of bodies, and are decided
  /// before longer ones.
  std::uint64_t ShortBody = 64 << 10;
  /// Part of the share that only short bodies use.
  double ShortReserve = 0.125;
  /// Memory of a request whose body is not read: what the kernel buffers, and
  /// what was read with its head.
  std::uint64_t WaitingBytes = 192 << 10;
  Duration MaxWait = seconds(3);
  /// Fraction of the time that a request has left which it may wait.
  double MaxWaitFraction = 0.5;
  /// By how much later a body counts as arrived for each MiB, and each tier
  /// below the highest. Orders waiting requests without starving any.
  Duration DelayPerMebibyte = milliseconds(250);
  Duration DelayPerTier = milliseconds(250);
};

/// A request for memory for a body.
struct BodyRequest {
  BodyId Id{};
  std::uint64_t Bytes = 0; ///< in all, including what the body has already
  TierRank Tier{};
  Duration TimeLeft = seconds(60); ///< until the caller's deadline
};

class MemoryBudget {
public:
  explicit MemoryBudget(std::uint64_t LimitBytes,
                        MemoryBudgetSettings Given = {})
      : Settings(Given), LimitBytes(LimitBytes),
        Shares(divideMemory(LimitBytes)) {}

  /// Admits a body if there is room and no other one waits for it.
  bool tryAdmit(BodyId Id, std::uint64_t Bytes);
  /// Decides on a body, or on more memory for an admitted one. A waiting body
  /// is decided on by a later review().
  BodyDecision request(const BodyRequest &Request, TimePoint Now);
  /// Ends a reservation or a wait; does nothing for other ids.
  void release(BodyId Id);

  struct Changes {
    std::vector<BodyId> Admitted{};
    std::vector<BodyId> Refused{};
  };
  /// Admits waiting bodies for which there is room now, and refuses those that
  /// have waited for too long.
  Changes review(TimePoint Now);
  /// Refuses all waiting bodies at the next review, and from now on those that
  /// would have to wait.
  void stopWaiting() { MayWait = false; }
  bool stopped() const { return !MayWait; }

  std::uint64_t limit() const { return LimitBytes; }
  std::uint64_t share(MemoryOwner Owner) const {
    return Shares[static_cast<std::size_t>(Owner)];
  }
  std::uint64_t heldBodies() const { return Held; }
  std::size_t waiting() const { return Waiting.size(); }
  std::uint64_t waitingBytes() const {
    return Waiting.size() * Settings.WaitingBytes;
  }
  std::uint64_t delayed() const { return Delayed; }
  std::uint64_t refused() const { return Refused; }

private:
  struct Wait {
    std::uint64_t Bytes = 0; ///< requested in all
    TimePoint Order{};       ///< those with an earlier one go first
    TimePoint Until{};
  };
  using QueueKey = std::pair<TimePoint, BodyId>;

  bool isShort(std::uint64_t Bytes) const {
    return Bytes <= Settings.ShortBody;
  }
  std::uint64_t heldBy(BodyId Id) const;
  /// Part of the share that a body of this size may use.
  std::uint64_t usableBy(std::uint64_t Bytes) const;
  bool fits(BodyId Id, std::uint64_t Bytes) const;
  void reserve(BodyId Id, std::uint64_t Bytes);
  std::set<QueueKey> &queueOf(const Wait &Entry);
  void endWait(BodyId Id);
  void admitFrom(std::set<QueueKey> &Queue, Changes &Result);

  MemoryBudgetSettings Settings;
  std::uint64_t LimitBytes;
  MemoryShares Shares;
  bool MayWait = true;
  std::uint64_t Held = 0;
  std::unordered_map<BodyId, std::uint64_t> Reserved{};
  std::unordered_map<BodyId, Wait> Waiting{};
  std::set<QueueKey> ShortQueue{};
  std::set<QueueKey> LongQueue{};
  std::vector<BodyId> Displaced{}; ///< refused by the next review
  std::uint64_t Delayed = 0;
  std::uint64_t Refused = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_MEMORY_BUDGET_H
