/// Hold-offs by target.
#include "marjorambay/coordination/target_hold_offs.h"

#include <algorithm>

namespace marjorambay {

TimePoint TargetHoldOffs::record(TargetId Target, Duration Asked,
                                 double Fraction, TimePoint Now) {
  const Duration HoldOff = std::min(Asked, Settings.MaxHoldOff);
  const Duration Spread =
      std::min(fromSeconds(toSeconds(HoldOff) * Settings.ReturnSpread),
               Settings.MaxReturnSpread);
  TimePoint &OpensAt = Entries[Target];
  OpensAt = std::max(OpensAt,
                     Now + HoldOff + fromSeconds(toSeconds(Spread) * Fraction));
  return OpensAt;
}

void TargetHoldOffs::recordAnswer(TargetId Target, TimePoint Now) {
  const auto Found = Entries.find(Target);
  if (Found != Entries.end() && Now >= Found->second)
    Entries.erase(Found);
}

bool TargetHoldOffs::open(TargetId Target, std::uint32_t InFlight,
                          TimePoint Now) const {
  const auto Found = Entries.find(Target);
  return Found == Entries.end() || (Now >= Found->second && InFlight == 0);
}

TimePoint TargetHoldOffs::opensAt(TargetId Target, TimePoint Now) const {
  const auto Found = Entries.find(Target);
  return Found == Entries.end() ? Now : std::max(Now, Found->second);
}

} // namespace marjorambay
