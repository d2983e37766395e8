/// Notes what callers, targets and services saw, and checks it after each step.
#ifndef MARJORAMBAY_TESTS_MATRIX_CHECKER_H
#define MARJORAMBAY_TESTS_MATRIX_CHECKER_H

#include "matrix.h"

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/origin.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjorambay::matrix {

/// Parts of a whole answer that a fake target sends before its end.
inline constexpr std::uint32_t AnswerParts = 3;
inline constexpr Duration LeavingGrace = seconds(3);
inline constexpr Duration AnswerMargin = milliseconds(200);

class Checker {
public:
  struct Seen {
    TimePoint Arrived{};
    TimePoint Deadline{};
    TimePoint Due{};      ///< when a final answer is late
    bool MayLose = false; ///< to another request with its key
    bool Ended = false;
    bool CallerGone = false; ///< by itself, or with its entry host
    bool Succeeded = false;
    bool ToldNotRun = false;
    std::uint32_t Runs = 0;
    std::uint32_t PartsSeen = 0;
  };

  explicit Checker(Duration KeyRetention) : Retention(KeyRetention) {}

  // What happened, in the order in which it did.
  void requested(const RequestKey &Key, TimePoint Now, Duration TimeLeft,
                 bool MayLose);
  void callerGone(const RequestKey &Key) { Requests[Key].CallerGone = true; }
  void hostPaused(HostId Host, TimePoint Until);
  void ran(const RequestKey &Key);
  void applied(const KeyHash &Key, const RequestKey &Request);
  /// The first byte is written; \p KnownLeaving: since when the origin's host
  /// has known that the target leaves.
  void wrote(const RequestKey &Key, TimePoint Now,
             std::optional<TimePoint> KnownLeaving);
  void relayed(const RequestKey &To, const RequestKey &Owner,
               std::uint32_t Part);
  void finished(const RequestKey &Key);
  void failed(const RequestKey &Key, MayHaveRun Ran);
  void replayed(const RequestKey &Key, const KeyHash &Once);
  void drainCut(const RequestKey &Key);
  // Decisions of one arbiter.
  void slotWanted(HostId Arbiter, const Reservation &Request);
  void slotDropped(HostId Arbiter, const RequestKey &Key);
  void slotGranted(HostId Arbiter, const RequestKey &Key);
  void originLost(HostId Arbiter, HostId Origin, IncarnationId UpTo);
  void slotReleased(HostId Arbiter, const RequestKey &Key) {
    Holding[Arbiter].erase(Key);
  }
  void slotHeld(HostId Arbiter, const RequestKey &Key);
  void arbiterGone(HostId Arbiter);

  void afterStep(std::size_t Step, TimePoint Now);
  void atEnd(bool Faultless);
  bool ended(const RequestKey &Key) const;
  bool allEnded() const;
  std::vector<Violation> takeViolations() { return std::move(Violations); }

private:
  void report(Invariant Broken, std::string Detail);
  void end(const RequestKey &Key, TimePoint Now);

  Duration Retention;
  std::map<RequestKey, Seen> Requests{};
  std::map<KeyHash, std::vector<TimePoint>> Applications{};
  std::map<HostId, std::map<RequestKey, TierRank>> Waiting{};
  std::map<HostId, std::set<RequestKey>> Holding{}; ///< granted, not released
  std::set<std::pair<Invariant, std::string>> Reported{};
  std::vector<Violation> Violations{};
  std::size_t CurrentStep = 0;
  TimePoint CurrentTime{};
};

} // namespace marjorambay::matrix

#endif // MARJORAMBAY_TESTS_MATRIX_CHECKER_H
