/// Evidence against what requests have in common, and the decisions on them.
#include "marjorambay/coordination/crash_suspects.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace marjorambay {

namespace {

/// Connections that are lost within this time belong to one crash.
constexpr Duration CrashSpread = milliseconds(500);
/// A refused connection of one host may be reported before a lost one of
/// another host.
constexpr Duration ReportSkew = milliseconds(250);
/// Until then, some hosts may not have reported what they lost in a crash.
constexpr Duration ReportSettling = milliseconds(50);
/// Crashes that are stored for one key.
constexpr std::size_t MaxCrashes = 16;
constexpr std::size_t MaxUnexplained = 256;
constexpr std::size_t MaxServed = 4096;
constexpr std::size_t MaxGone = 1024;
/// Losses, and answered keys, that are kept for the arbiters of other zones.
constexpr std::size_t MaxKept = 256;

} // namespace

std::string formatCrashKey(const CrashKey &Key) {
  std::array<char, 24> Text{};
  const int Length = std::snprintf(Text.data(), Text.size(), "%08llx",
                                   static_cast<unsigned long long>(Key.Value));
  return {Text.data(), static_cast<std::size_t>(Length)};
}

// ---- Evidence ---------------------------------------------------------------

void CrashSuspects::recordGrant(const RequestKey &Request, TargetId Target,
                                const std::vector<CrashKey> &Keys,
                                TimePoint Now) {
  if (Keys.empty())
    return;
  const bool IsTrial = limits(Keys, Now);
  // A grant of an earlier arbiter, which is reported late, ends no trial.
  if (IsTrial && !trialUnderway(Now))
    CurrentTrial = Trial{Request, Target, {}};
  Attempts.insert_or_assign(Request, Attempt{Target, Now, Keys});
}

void CrashSuspects::recordAnswer(const RequestKey &Request, TimePoint Now) {
  const auto Found = Attempts.find(Request);
  if (Found != Attempts.end())
    recordServed(Found->second.Keys, Now);
}

void CrashSuspects::recordServed(const std::vector<CrashKey> &Keys,
                                 TimePoint Now) {
  if (Now - ServedSince > Settings.ServedPeriod ||
      Served[0].size() >= MaxServed) {
    Served[1] = std::move(Served[0]);
    Served[0].clear();
    ServedSince = Now;
  }
  for (const CrashKey &Key : Keys) {
    Served[0].insert(Key);
    const auto Suspect = Evidence.find(Key);
    const auto Held = Holds.find(Key);
    const bool WasHeld = Held != Holds.end() && !Held->second.Cleared;
    const bool WasSuspected =
        Suspect != Evidence.end() && Suspect->second.Suspected;
    if (WasHeld)
      Held->second.Cleared = true;
    if (Shared && (WasHeld || Suspect != Evidence.end()) &&
        Answered.size() < MaxKept)
      Answered.push_back(Key);
    if (Suspect != Evidence.end())
      Evidence.erase(Suspect);
    if (WasHeld || WasSuspected)
      Decisions.push_back({Key, CrashVerdict::Cleared, {}, {}});
  }
}

bool CrashSuspects::servedRecently(const CrashKey &Key) const {
  return Served[0].contains(Key) || Served[1].contains(Key);
}

void CrashSuspects::recordEnd(const RequestKey &Request, AttemptEnd How,
                              TimePoint Now) {
  const auto Found = Attempts.find(Request);
  if (Found == Attempts.end())
    return;
  const Attempt Ended = std::move(Found->second);
  Attempts.erase(Found);
  const bool IsTrial = CurrentTrial && CurrentTrial->Request == Request;
  if (IsTrial && How == AttemptEnd::ConnectionLost)
    CurrentTrial->LostAt = Now;
  else if (IsTrial)
    CurrentTrial.reset();
  if (How == AttemptEnd::Answered || How == AttemptEnd::LostInAnswer)
    recordServed(Ended.Keys, Now);
  if (How != AttemptEnd::ConnectionLost && How != AttemptEnd::LostInAnswer)
    return;
  if (How == AttemptEnd::ConnectionLost)
    return recordLost(Ended.Keys, Ended.Target, Ended.GrantedAt, Now);
  const bool Proven = recordCrash(Ended.Target, Now);
  keepLost({}, Ended.Target, Ended.GrantedAt, Proven, Now);
  judge(Now);
}

void CrashSuspects::recordEarlierAnswer(const std::vector<CrashKey> &Keys,
                                        TimePoint SentAt, TimePoint Now) {
  for (const CrashKey &Key : Keys) {
    const auto Suspect = Evidence.find(Key);
    if (Key.Kind != CrashKeyKind::Request || Suspect == Evidence.end())
      continue;
    std::vector<Crash> &Crashes = Suspect->second.Crashes;
    const bool IsLater =
        std::all_of(Crashes.begin(), Crashes.end(),
                    [SentAt](const Crash &Known) { return Known.At < SentAt; });
    if (IsLater)
      recordServed({Key}, Now);
  }
}

void CrashSuspects::recordLost(const std::vector<CrashKey> &Keys,
                               TargetId Target, TimePoint GrantedAt,
                               TimePoint Now) {
  const bool Proven = recordCrash(Target, Now);
  keepLost(Keys, Target, GrantedAt, Proven, Now);
  for (const CrashKey &Key : Keys)
    addCrash(Key, {Target, GrantedAt, Now, Proven});
  judge(Now);
}

bool CrashSuspects::recordCrash(TargetId Target, TimePoint Now) {
  const auto Gone = GoneAt.find(Target);
  const bool Proven = Gone != GoneAt.end() && Now - Gone->second <= ReportSkew;
  return addUnexplained({Target, Now, Now, Proven});
}

bool CrashSuspects::addUnexplained(const Crash &Added) {
  const auto Same = std::find_if(
      Unexplained.begin(), Unexplained.end(),
      [&Added](const Crash &Known) { return isSameCrash(Known, Added); });
  if (Same != Unexplained.end()) {
    Same->Proven = Same->Proven || Added.Proven;
    return Same->Proven;
  }
  if (Unexplained.size() == MaxUnexplained)
    Unexplained.pop_front();
  const auto Later = std::find_if(
      Unexplained.begin(), Unexplained.end(),
      [&Added](const Crash &Known) { return Known.At > Added.At; });
  Unexplained.insert(Later, Added);
  return Added.Proven;
}

bool CrashSuspects::isSameCrash(const Crash &Left, const Crash &Right) {
  return Left.Target == Right.Target && Left.At - Right.At <= CrashSpread &&
         Right.At - Left.At <= CrashSpread;
}

void CrashSuspects::addCrash(const CrashKey &Key, const Crash &Added) {
  if (Evidence.size() >= Settings.MaxKeys && !Evidence.contains(Key))
    forgetOldest();
  std::vector<Crash> &Crashes = Evidence[Key].Crashes;
  const auto Same = std::find_if(
      Crashes.begin(), Crashes.end(),
      [&Added](const Crash &Known) { return isSameCrash(Known, Added); });
  if (Same != Crashes.end()) {
    Same->GrantedAt = std::max(Same->GrantedAt, Added.GrantedAt);
    Same->Proven = Same->Proven || Added.Proven;
    return;
  }
  if (Crashes.size() == MaxCrashes)
    Crashes.erase(Crashes.begin());
  // Chains are in order of time, and losses of other zones arrive late.
  const auto Later = std::find_if(
      Crashes.begin(), Crashes.end(),
      [&Added](const Crash &Known) { return Known.At > Added.At; });
  Crashes.insert(Later, Added);
}

void CrashSuspects::recordGone(TargetId Target, TimePoint Now) {
  if (GoneAt.size() >= MaxGone)
    std::erase_if(GoneAt, [Now](const auto &Entry) {
      return Now - Entry.second > ReportSkew;
    });
  GoneAt[Target] = Now;
  const auto Prove = [this, Target, Now](auto &Crashes) {
    for (Crash &Known : Crashes)
      if (Known.Target == Target && Now - Known.At <= Settings.ProofWindow)
        Known.Proven = true;
  };
  Prove(Unexplained);
  for (auto &[Key, Suspect] : Evidence)
    Prove(Suspect.Crashes);
  for (KeptLoss &Kept : KeptLosses)
    if (Kept.Report.Target == Target &&
        Now - Kept.Report.LostAt <= Settings.ProofWindow)
      Kept.Report.Proven = true;
  judge(Now);
}

void CrashSuspects::tick(TimePoint Now) {
  for (auto &[Key, Suspect] : Evidence)
    std::erase_if(Suspect.Crashes, [this, Now](const Crash &Known) {
      return Now - Known.At >
             (Known.Proven ? Settings.EvidencePeriod : Settings.ProofWindow);
    });
  dropWithoutCrashes();
  std::erase_if(Unexplained, [this, Now](const Crash &Known) {
    return Now - Known.At > Settings.EvidencePeriod;
  });
  std::erase_if(Holds, [this, Now](const auto &Entry) {
    return Now - Entry.second.Until > Settings.MaxHold;
  });
  judge(Now);
}

void CrashSuspects::forgetOldest() {
  const auto Oldest = std::min_element(
      Evidence.begin(), Evidence.end(),
      [](const auto &Left, const auto &Right) {
        const auto LastCrash = [](const KeyEvidence &Suspect) {
          return Suspect.Crashes.empty() ? TimePoint{}
                                         : Suspect.Crashes.back().At;
        };
        return LastCrash(Left.second) < LastCrash(Right.second);
      });
  if (Oldest != Evidence.end())
    Evidence.erase(Oldest);
}

// ---- Decisions --------------------------------------------------------------

std::vector<CrashSuspects::Crash>
CrashSuspects::chainOf(const std::vector<Crash> &Crashes, bool ProvenOnly,
                       TimePoint Now) const {
  std::vector<Crash> Chain;
  for (const Crash &Known : Crashes) {
    if (Now - Known.At > Settings.EvidencePeriod)
      continue;
    if (Known.ExplainedBy)
      continue;
    const bool Open = !Known.Proven && Now - Known.At <= Settings.ProofWindow;
    const bool Counts = Known.Proven || (Open && !ProvenOnly);
    if (Counts && (Chain.empty() || Known.GrantedAt >= Chain.back().At))
      Chain.push_back(Known);
  }
  return Chain;
}

bool CrashSuspects::isSuspect(const CrashKey &Key, TimePoint Now) const {
  const auto Found = Evidence.find(Key);
  if (Found == Evidence.end())
    return false;
  const std::vector<Crash> Chain = chainOf(Found->second.Crashes, false, Now);
  const bool IsBystander =
      Key.Kind == CrashKeyKind::Segment && servedRecently(Key);
  const std::size_t Needed =
      IsBystander ? Settings.CrashesToSuspectServed : Settings.CrashesToSuspect;
  return Chain.size() >= Needed &&
         std::any_of(Chain.begin(), Chain.end(),
                     [](const Crash &Known) { return Known.Proven; });
}

/// Returns how long the chain against a key must be.
std::size_t CrashSuspects::crashesToConfirm(const CrashKey &Key,
                                            const std::vector<Crash> &Chain,
                                            TimePoint Now) const {
  const std::vector<Crash> &Own = Evidence.at(Key).Crashes;
  std::size_t Others = 0;
  TimePoint LastOther{};
  for (const Crash &Known : Unexplained) {
    const bool IsOwn =
        std::any_of(Own.begin(), Own.end(), [&Known](const Crash &Each) {
          return isSameCrash(Each, Known);
        });
    // Targets that crash together are one event.
    if (IsOwn || !Known.Proven || Chain.empty() ||
        Known.At < Chain.front().At || Known.At - LastOther <= CrashSpread)
      continue;
    ++Others;
    LastOther = Known.At;
  }
  if (Others >= Chain.size())
    return Key.Kind == CrashKeyKind::Request
               ? Settings.MostCrashesOfRequest
               : Settings.CrashesToConfirmAmongOthers;
  if (sharesCrashes(Key, Now))
    return Settings.CrashesToConfirmTogether;
  return servedRecently(Key) ? Settings.CrashesToConfirmServed
                             : Settings.CrashesToConfirm;
}

bool CrashSuspects::isConfirmed(const CrashKey &Key, TimePoint Now) const {
  const std::vector<Crash> Chain = chainOf(Evidence.at(Key).Crashes, true, Now);
  const auto Held = Holds.find(Key);
  // A key that was held needs no more than one crash under its trial.
  if (wasConfirmed(Key) && !Chain.empty() &&
      Chain.back().GrantedAt >= Held->second.Until)
    return true;
  if (spansRequests(Key, Now))
    return true;
  return Chain.size() >= crashesToConfirm(Key, Chain, Now) &&
         std::any_of(Chain.begin(), Chain.end(), [&Chain](const Crash &Known) {
           return Known.Target != Chain.front().Target;
         });
}

bool CrashSuspects::sharesCrashes(const CrashKey &Key, TimePoint Now) const {
  if (Key.Kind != CrashKeyKind::Segment)
    return false;
  const std::vector<Crash> &Own = Evidence.at(Key).Crashes;
  return std::any_of(Evidence.begin(), Evidence.end(), [&](const auto &Entry) {
    if (Entry.first.Kind != CrashKeyKind::Request)
      return false;
    const std::vector<Crash> Chain = chainOf(Entry.second.Crashes, false, Now);
    const auto Shared =
        std::count_if(Chain.begin(), Chain.end(), [&Own](const Crash &Link) {
          return std::any_of(Own.begin(), Own.end(), [&](const Crash &Known) {
            return isSameCrash(Known, Link);
          });
        });
    return Shared > 1;
  });
}

bool CrashSuspects::spansRequests(const CrashKey &Key, TimePoint Now) const {
  std::set<CrashKey> Requests;
  std::size_t Count = 0;
  bool AnyOther = false;
  for (const Crash &Known : Evidence.at(Key).Crashes) {
    if (!Known.Proven || Now - Known.At > Settings.EvidencePeriod)
      continue;
    ++Count;
    if (Known.ExplainedBy)
      Requests.insert(*Known.ExplainedBy);
    else
      AnyOther = true;
  }
  return AnyOther && Requests.size() > 1 &&
         Count >= Settings.CrashesToConfirmOverRequests;
}

bool CrashSuspects::wasConfirmed(const CrashKey &Key) const {
  const auto Held = Holds.find(Key);
  return Held != Holds.end() && Held->second.Confirmations > 0 &&
         !Held->second.Cleared;
}

void CrashSuspects::publishSuspicion(const CrashKey &Key, TimePoint Now) {
  // Segments only matter to arbiters, which find them out by themselves.
  if (Key.Kind != CrashKeyKind::Request || Holds.contains(Key))
    return;
  holdOf(Key).Until = Now;
}

void CrashSuspects::withdrawSuspicion(const CrashKey &Key) {
  const auto Held = Holds.find(Key);
  if (Held == Holds.end() || Held->second.Confirmations > 0 ||
      Held->second.Cleared)
    return;
  Held->second.Cleared = true;
  Decisions.push_back({Key, CrashVerdict::Cleared, {}, {}});
}

void CrashSuspects::dropWithoutCrashes() {
  std::erase_if(Evidence, [this](const auto &Entry) {
    if (!Entry.second.Crashes.empty())
      return false;
    withdrawSuspicion(Entry.first);
    return true;
  });
}

void CrashSuspects::judge(TimePoint Now) {
  for (auto &[Key, Suspect] : Evidence) {
    if (Suspect.Suspected || !isSuspect(Key, Now))
      continue;
    Suspect.Suspected = true;
    CrashDecision Decision{Key, CrashVerdict::Suspected, {}, {}};
    for (const Crash &Known : chainOf(Suspect.Crashes, false, Now))
      Decision.Crashed.push_back(Known.Target);
    Decisions.push_back(Decision);
    publishSuspicion(Key, Now);
  }
  std::vector<std::pair<CrashKey, std::vector<Crash>>> Explained;
  for (const CrashKey &Key : culprits(Now)) {
    Explained.emplace_back(Key, Evidence.at(Key).Crashes);
    confirm(Key, Now);
  }
  // Requests that were sent before a key was confirmed crash more targets.
  for (const auto &[Key, Suspect] : Evidence)
    if (wasConfirmed(Key))
      Explained.emplace_back(Key, Suspect.Crashes);
  for (const auto &[Key, Crashes] : Explained)
    explain(Key, Crashes);
}

CrashSuspects::Rivalry CrashSuspects::rivalry(const CrashKey &Key,
                                              TimePoint Now) const {
  const auto Settled = [Now](const std::vector<Crash> &Crashes) {
    std::vector<Crash> Found;
    for (const Crash &Known : Crashes)
      if (!Known.ExplainedBy && Now - Known.At >= ReportSettling)
        Found.push_back(Known);
    return Found;
  };
  const std::vector<Crash> Own = Settled(Evidence.at(Key).Crashes);
  const std::vector<Crash> Chain =
      Settled(chainOf(Evidence.at(Key).Crashes, true, Now));
  const auto Covers = [&Chain](const std::vector<Crash> &Crashes) {
    return std::all_of(Chain.begin(), Chain.end(),
                       [&Crashes](const Crash &Link) {
                         return std::any_of(Crashes.begin(), Crashes.end(),
                                            [&Link](const Crash &Known) {
                                              return isSameCrash(Known, Link);
                                            });
                       });
  };
  Rivalry Found = Rivalry::None;
  for (const auto &[Other, Suspect] : Evidence) {
    if (Other == Key)
      continue;
    const std::vector<Crash> Theirs = Settled(Suspect.Crashes);
    if (Theirs.size() < Own.size() || !Covers(Theirs))
      continue;
    // A segment may be in crashes of several requests that crash targets.
    if (Other.Kind < Key.Kind && (Theirs.size() == Own.size() ||
                                  Chain.size() > Settings.CrashesToConfirm))
      continue;
    if (Theirs.size() > Own.size() || Other.Kind > Key.Kind)
      return Rivalry::Better;
    Found = Rivalry::Equal;
  }
  return Found;
}

std::vector<CrashKey> CrashSuspects::culprits(TimePoint Now) const {
  std::vector<CrashKey> Found;
  for (const auto &[Key, Suspect] : Evidence) {
    if (!isConfirmed(Key, Now))
      continue;
    const Rivalry Others =
        wasConfirmed(Key) ? Rivalry::None : rivalry(Key, Now);
    const std::size_t Crashes = chainOf(Suspect.Crashes, true, Now).size();
    const bool Suffices = Crashes >= Settings.CrashesToConfirmTogether;
    const bool IsSure = Key.Kind == CrashKeyKind::Request
                            ? Crashes >= Settings.MostCrashesOfRequest
                            : spansRequests(Key, Now);
    if (IsSure || Others == Rivalry::None ||
        (Others == Rivalry::Equal && Suffices))
      Found.push_back(Key);
  }
  std::sort(Found.begin(), Found.end());
  return Found;
}

void CrashSuspects::confirm(const CrashKey &Key, TimePoint Now) {
  HoldState &Held = holdOf(Key);
  const std::uint32_t Doublings = std::min(Held.Confirmations, 16U);
  const Duration Hold =
      std::min(Settings.MaxHold, Settings.FirstHold * (1U << Doublings));
  ++Held.Confirmations;
  Held.Cleared = false;
  Held.Until = Now + Hold;
  CrashDecision Decision{Key, CrashVerdict::Confirmed, {}, Hold};
  for (const Crash &Known : chainOf(Evidence.at(Key).Crashes, true, Now))
    Decision.Crashed.push_back(Known.Target);
  Decisions.push_back(Decision);
  Evidence.erase(Key);
}

void CrashSuspects::explain(const CrashKey &Key,
                            const std::vector<Crash> &Explained) {
  const auto IsExplained = [&Explained](const Crash &Known) {
    return std::any_of(
        Explained.begin(), Explained.end(),
        [&Known](const Crash &Cause) { return isSameCrash(Cause, Known); });
  };
  std::erase_if(Unexplained, IsExplained);
  for (auto &[Other, Suspect] : Evidence) {
    if (wasConfirmed(Other))
      continue;
    if (Other.Kind >= Key.Kind) {
      std::erase_if(Suspect.Crashes, IsExplained);
      continue;
    }
    for (Crash &Known : Suspect.Crashes)
      if (!Known.ExplainedBy && IsExplained(Known))
        Known.ExplainedBy = Key;
  }
  dropWithoutCrashes();
}

CrashSuspects::Standing CrashSuspects::standing(const CrashKey &Key,
                                                TimePoint Now) const {
  const auto Held = Holds.find(Key);
  if (Held != Holds.end() && !Held->second.Cleared)
    return Now < Held->second.Until ? Standing::Held : Standing::Suspected;
  return isSuspect(Key, Now) ? Standing::Suspected : Standing::Clear;
}

bool CrashSuspects::limits(const std::vector<CrashKey> &Keys,
                           TimePoint Now) const {
  return std::any_of(Keys.begin(), Keys.end(),
                     [this, Now](const CrashKey &Key) {
                       return standing(Key, Now) != Standing::Clear;
                     });
}

bool CrashSuspects::trialUnderway(TimePoint Now) const {
  if (!CurrentTrial)
    return false;
  if (CurrentTrial->LostAt == TimePoint{})
    return Attempts.contains(CurrentTrial->Request);
  // Whether its target has crashed may not be known yet.
  const auto Gone = GoneAt.find(CurrentTrial->Target);
  const bool Known =
      Gone != GoneAt.end() && Gone->second + ReportSkew >= CurrentTrial->LostAt;
  return !Known && Now - CurrentTrial->LostAt <= Settings.ProofWindow;
}

CrashAdmission CrashSuspects::admit(const std::vector<CrashKey> &Keys,
                                    bool Repeat, TimePoint Now) const {
  using Kind = CrashAdmission::Kind;
  if (Evidence.empty() && Holds.empty())
    return {};
  bool Suspected = false;
  Duration HeldFor{};
  for (const CrashKey &Key : Keys) {
    const Standing Found = standing(Key, Now);
    Suspected = Suspected || Found != Standing::Clear;
    if (Found == Standing::Held)
      HeldFor = std::max(HeldFor, Holds.at(Key).Until - Now);
  }
  if (HeldFor > Duration(0))
    return {Kind::Refuse, HeldFor};
  if (Suspected && Repeat)
    return {Kind::Refuse, Settings.ProofWindow};
  if (Suspected && trialUnderway(Now))
    return {Kind::Wait, {}};
  return {};
}

// ---- Decisions of other hosts -----------------------------------------------

bool CrashSuspects::learn(const CrashHold &Hold, TimePoint Now) {
  const bool IsFirst = !Holds.contains(Hold.Key);
  HoldState &Known = holdOf(Hold.Key);
  const bool Newer = IsFirst || Hold.Confirmations > Known.Confirmations ||
                     (Hold.Confirmations == Known.Confirmations &&
                      Hold.Cleared && !Known.Cleared);
  if (!Newer)
    return false;
  Known.Confirmations = Hold.Confirmations;
  Known.Cleared = Hold.Cleared;
  Known.Until = Now + std::min(Hold.Remaining, Settings.MaxHold);
  // The other zone has confirmed the key by the same crashes, which must not
  // confirm it once more here.
  const auto Same = Evidence.find(Hold.Key);
  if (Shared && wasConfirmed(Hold.Key) && Same != Evidence.end()) {
    const std::vector<Crash> Explained = std::move(Same->second.Crashes);
    Evidence.erase(Same);
    explain(Hold.Key, Explained);
  }
  return true;
}

CrashSuspects::HoldState &CrashSuspects::holdOf(const CrashKey &Key) {
  const auto Found = Holds.find(Key);
  if (Found != Holds.end())
    return Found->second;
  if (Holds.size() >= Settings.MaxHolds)
    Holds.erase(std::min_element(
        Holds.begin(), Holds.end(), [](const auto &Left, const auto &Right) {
          return Left.second.Until < Right.second.Until;
        }));
  return Holds[Key];
}

std::vector<CrashHold> CrashSuspects::holds(TimePoint Now) const {
  std::vector<CrashHold> Known;
  for (const auto &[Key, Held] : Holds)
    Known.push_back({Key, Held.Confirmations, Held.Cleared,
                     std::max(Duration(0), Held.Until - Now)});
  return Known;
}

std::vector<CrashDecision> CrashSuspects::takeDecisions() {
  return std::exchange(Decisions, {});
}

// ---- Answers of one host ----------------------------------------------------

void AnsweredRequests::record(const std::vector<CrashKey> &Keys,
                              TimePoint SentAt) {
  if (Current.size() >= MaxRequests)
    Previous = std::exchange(Current, {});
  for (const CrashKey &Key : Keys)
    if (Key.Kind == CrashKeyKind::Request)
      Current[Key] = std::max(Current[Key], SentAt);
}

std::optional<TimePoint>
AnsweredRequests::sentAt(const std::vector<CrashKey> &Keys) const {
  for (const CrashKey &Key : Keys)
    for (const Generation *Known : {&Current, &Previous})
      if (const auto Found = Known->find(Key); Found != Known->end())
        return Found->second;
  return std::nullopt;
}

} // namespace marjorambay
