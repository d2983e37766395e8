/// Naive versions of the deciding parts, which the checks must reject.
#ifndef MARJORAMBAY_TESTS_MATRIX_NAIVE_H
#define MARJORAMBAY_TESTS_MATRIX_NAIVE_H

#include "fakes.h"

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/intent_log.h"
#include "marjorambay/coordination/origin.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace marjorambay::matrix {

/// What a naive origin does wrong.
struct NaiveHabits {
  bool RetriesAnyError = false;
  bool ShortIsWhole = false; ///< a cut answer ends as a success
  bool SaysNotRun = false;   ///< whatever went wrong
  bool WaitsForever = false; ///< no time-out of its own
  bool CutsOnStop = false;
};

/// An origin without states: every grant is dispatched.
class NaiveOrigin {
public:
  NaiveOrigin(const OriginSettings &Given, NaiveHabits Wrong)
      : Settings(Given), Habits(Wrong) {}

  OriginActions step(const OriginEvent &Event, TimePoint At);
  bool idle() const { return Calls.empty(); }
  TimePoint wakeAt() const;
  std::vector<HeldGrant> heldGrants(PoolId, TimePoint) const { return {}; }

private:
  struct Held {
    CallerRequested Call{};
    TimePoint Deadline{};
    TimePoint HeardAt{};
    std::uint32_t Attempt = 0;
    bool Sent = false;
  };
  template <typename Event> void on(const Event &) {}
  void on(const CallerRequested &Event);
  void on(const IntentDecided &Event);
  void on(const SlotGranted &Event);
  void on(const SlotRefused &Event);
  void on(const DispatchNotSent &Event) { wentWrong(Event.Id); }
  void on(const TargetDeclined &Event) { wentWrong(Event.Id); }
  void on(const AnswerProgressed &Event);
  void on(const AnswerCompleted &Event);
  void on(const AnswerInterrupted &Event);
  void on(const ArbiterChanged &Event);
  void on(const OriginTicked &Event);
  void on(const DrainStarted &Event);
  void wentWrong(RequestId Id);
  void askSlot(const Held &Request);
  void fail(RequestId Id, ErrorKind Kind, MayHaveRun Ran);

  OriginSettings Settings;
  NaiveHabits Habits;
  std::map<RequestId, Held> Calls{};
  OriginActions Actions{};
  TimePoint Now{};
};

/// Keys in the memory of whichever host is asked.
class MemoryLog {
public:
  explicit MemoryLog(const IntentLogSettings &) {}
  IntentLogActions step(const IntentLogEvent &Event, TimePoint Now);
  bool busy() const { return false; }

private:
  std::map<KeyHash, int> Keys{}; ///< status; 0 while in progress
};

/// Keys in one platform object that is written without a condition; an answer
/// that does not come is taken for success.
class BlindLog {
public:
  explicit BlindLog(const IntentLogSettings &) {}
  IntentLogActions step(const IntentLogEvent &Event, TimePoint Now);
  bool busy() const { return !Reading.empty() || !Writing.empty(); }

private:
  template <typename Event> void on(const Event &) {}
  void on(const IntentRequested &Event);
  void on(const OutcomeReported &Event);
  void on(const ObjectRead &Event);
  void on(const ObjectWritten &Event);

  std::map<PlatformCallId, IntentRequested> Reading{};
  std::map<PlatformCallId, RequestKey> Writing{};
  std::uint64_t LastCall = 0;
  IntentLogActions Actions{};
};

/// First in, first out, to each target in turn; forgets signs of leaving.
class FirstComeArbiter {
public:
  ArbiterActions step(const ArbiterEvent &Event, TimePoint Now);

private:
  std::deque<RequestKey> Queue{};
  std::set<RequestKey> InFlight{};
  std::vector<TargetInfo> Targets{};
  std::size_t Turn = 0;
};

} // namespace marjorambay::matrix

#endif // MARJORAMBAY_TESTS_MATRIX_NAIVE_H
