/// Evidence that the arbiters of a pool's zones exchange.
#include "marjorambay/coordination/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

/// Losses that are kept for the arbiters of other zones.
constexpr std::size_t MaxKeptLosses = 256;
/// The receiver counts a loss once: it has the same target and time.
constexpr std::size_t SendsOfLoss = 2;

} // namespace

void CrashSuspects::keepLost(const std::vector<CrashKey> &Keys, TargetId Target,
                             TimePoint GrantedAt, bool Proven, TimePoint Now) {
  if (!Shared)
    return;
  if (KeptLosses.size() == MaxKeptLosses)
    KeptLosses.pop_front();
  KeptLosses.push_back({{Keys, Target, GrantedAt, Now, Proven}, 0, false});
}

std::vector<CrashSuspects::LostReport> CrashSuspects::takeLost(TimePoint Now) {
  std::vector<LostReport> Reports;
  for (KeptLoss &Kept : KeptLosses) {
    if (Kept.Report.Proven && !Kept.TakenProven)
      Kept.Taken = 0;
    if (Kept.Taken == SendsOfLoss)
      continue;
    ++Kept.Taken;
    Kept.TakenProven = Kept.Report.Proven;
    Reports.push_back(Kept.Report);
  }
  std::erase_if(KeptLosses, [this, Now](const KeptLoss &Kept) {
    return Now - Kept.Report.LostAt > Settings.ProofWindow;
  });
  return Reports;
}

std::vector<CrashKey> CrashSuspects::takeAnswered() {
  return std::exchange(Answered, {});
}

void CrashSuspects::recordPassedOn(const std::vector<CrashKey> &Keys,
                                   TargetId Target, TimePoint GrantedAt,
                                   TimePoint LostAt, bool Proven,
                                   TimePoint Now) {
  const bool IsProven =
      addUnexplained({Target, LostAt, LostAt, Proven, std::nullopt});
  for (const CrashKey &Key : Keys)
    addCrash(Key, {Target, GrantedAt, LostAt, IsProven, std::nullopt});
  judge(Now);
}

void CrashSuspects::recordAnsweredElsewhere(const std::vector<CrashKey> &Keys,
                                            TimePoint Now) {
  const std::vector<CrashKey> Own = Answered;
  recordServed(Keys, Now);
  // What another zone has told is not told to it again.
  Answered = Own;
}

std::optional<CrashKey>
CrashSuspects::suspectedKey(const std::vector<CrashKey> &Keys,
                            TimePoint Now) const {
  std::optional<CrashKey> First;
  for (const CrashKey &Key : Keys)
    if (standing(Key, Now) == Standing::Suspected && (!First || Key < *First))
      First = Key;
  return First;
}

} // namespace marjorambay
