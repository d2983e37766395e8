/// Targets that have asked this host to send them nothing for a while.
///
/// A target that rejects a request may add for how long it wants no more. Each
/// host keeps what it was asked itself; other hosts may still use the target.
#ifndef MARJORAMBAY_COORDINATION_TARGET_HOLD_OFFS_H
#define MARJORAMBAY_COORDINATION_TARGET_HOLD_OFFS_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <cstdint>
#include <unordered_map>

namespace marjorambay {

struct TargetHoldOffSettings {
  Duration MaxHoldOff = minutes(5);
  /// A host returns up to this fraction later than asked, at random, so that
  /// hosts that were rejected together do not return together.
  double ReturnSpread = 0.25;
  Duration MaxReturnSpread = seconds(1);
};

class TargetHoldOffs {
public:
  explicit TargetHoldOffs(TargetHoldOffSettings Given = {}) : Settings(Given) {}

  /// Closes \p Target for \p Asked from now on. \p Fraction, 0 to 1, places the
  /// return within the spread. An earlier request for a longer time stays in
  /// force. Returns when the target opens.
  TimePoint record(TargetId Target, Duration Asked, double Fraction,
                   TimePoint Now);
  /// Records an answer that does not ask to hold off, which ends the trial
  /// after a hold-off.
  void recordAnswer(TargetId Target, TimePoint Now);

  /// Returns whether a request may be sent to \p Target. After a hold-off it
  /// gets one at a time until it has answered one. \p InFlight is the number of
  /// this host's requests at the target.
  bool open(TargetId Target, std::uint32_t InFlight, TimePoint Now) const;
  /// Returns when the target opens; \p Now if it is open.
  TimePoint opensAt(TargetId Target, TimePoint Now) const;
  bool empty() const { return Entries.empty(); }

private:
  TargetHoldOffSettings Settings;
  /// When each target opens; it stays here until it has answered after that.
  std::unordered_map<TargetId, TimePoint> Entries{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TARGET_HOLD_OFFS_H
