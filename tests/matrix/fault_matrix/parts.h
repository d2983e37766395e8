/// The deciding parts as the world sees them, so that ours and naive versions
/// run in one compiled world.
#ifndef MARJORAMBAY_TESTS_MATRIX_PARTS_H
#define MARJORAMBAY_TESTS_MATRIX_PARTS_H

#include "marjorambay/coordination/arbiter_events.h"
#include "marjorambay/coordination/intent_log.h"
#include "marjorambay/coordination/origin.h"
#include "marjorambay/state/random.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace marjorambay::matrix {

struct OriginPart {
  virtual ~OriginPart() = default;
  virtual OriginActions step(const OriginEvent &Event, TimePoint Now) = 0;
  virtual bool idle() const = 0;
  virtual TimePoint wakeAt() const = 0;
  virtual std::vector<HeldGrant> heldGrants(PoolId Pool,
                                            TimePoint Now) const = 0;
};
struct LogPart {
  virtual ~LogPart() = default;
  virtual IntentLogActions step(const IntentLogEvent &Event, TimePoint Now) = 0;
  virtual bool busy() const = 0;
};
struct ArbiterPart {
  virtual ~ArbiterPart() = default;
  virtual ArbiterActions step(const ArbiterEvent &Event, TimePoint Now) = 0;
};

template <typename Part> struct OriginAdapter final : OriginPart {
  template <typename... Args>
  explicit OriginAdapter(Args &&...Given)
      : Wrapped(std::forward<Args>(Given)...) {}
  OriginActions step(const OriginEvent &Event, TimePoint Now) override {
    return Wrapped.step(Event, Now);
  }
  bool idle() const override { return Wrapped.idle(); }
  TimePoint wakeAt() const override { return Wrapped.wakeAt(); }
  std::vector<HeldGrant> heldGrants(PoolId Pool, TimePoint Now) const override {
    return Wrapped.heldGrants(Pool, Now);
  }
  Part Wrapped;
};
template <typename Part> struct LogAdapter final : LogPart {
  explicit LogAdapter(const IntentLogSettings &Settings) : Wrapped(Settings) {}
  IntentLogActions step(const IntentLogEvent &Event, TimePoint Now) override {
    return Wrapped.step(Event, Now);
  }
  bool busy() const override { return Wrapped.busy(); }
  Part Wrapped;
};
template <typename Part> struct ArbiterAdapter final : ArbiterPart {
  ArbiterActions step(const ArbiterEvent &Event, TimePoint Now) override {
    return Wrapped.step(Event, Now);
  }
  Part Wrapped{};
};

/// Makes the parts of one version of the system.
struct PartMaker {
  std::function<std::unique_ptr<OriginPart>(const OriginSettings &, SplitMix64)>
      Origin{};
  std::function<std::unique_ptr<LogPart>(const IntentLogSettings &)> Log{};
  std::function<std::unique_ptr<ArbiterPart>()> Arbiter{};
  /// The transport refuses to write the first byte after Dispatch::NotAfter.
  bool ChecksNotAfter = true;
};

template <typename Part>
std::unique_ptr<LogPart> makeLog(const IntentLogSettings &Settings) {
  return std::make_unique<LogAdapter<Part>>(Settings);
}
template <typename Part> std::unique_ptr<ArbiterPart> makeArbiter() {
  return std::make_unique<ArbiterAdapter<Part>>();
}

} // namespace marjorambay::matrix

#endif // MARJORAMBAY_TESTS_MATRIX_PARTS_H
