/// Buckets of accounts: at hubs, and as hosts see them.
#include "marjorambay/coordination/account_ledger.h"

#include <algorithm>

namespace marjorambay {

// ---- AccountLedger ----------------------------------------------------------

AccountLedger::Bucket &AccountLedger::bucketOf(const ForwardAccount &Account,
                                               TimePoint Now) {
  const auto [Place, New] = Buckets.try_emplace(Account.Id);
  Bucket &Each = Place->second;
  if (New) {
    Each.Level = Settings.StartFraction * Account.Burst;
    Each.At = Now;
  }
  const double Refill =
      Reach * Account.RatePerSecond * toSeconds(Now - Each.At);
  Each.Level = std::min(Account.Burst, Each.Level + Refill);
  Each.At = Now;
  return Each;
}

void AccountLedger::recordUsage(HostId From, IncarnationId Life,
                                const std::vector<AccountUsage> &Uses,
                                const ForwardTable &Limits, TimePoint Now) {
  for (const AccountUsage &Use : Uses) {
    const ForwardAccount *Account = Limits.account(Use.Account);
    if (Account == nullptr || Account->RatePerSecond == 0)
      continue;
    Bucket &Each = bucketOf(*Account, Now);
    Reported &Last = Each.Hosts[From];
    const bool Known = Last.At != TimePoint{};
    const bool Restarted = Known && Last.Life < Life;
    if (Known && Life < Last.Life)
      continue; // a datagram of an earlier life
    // What a life that is new to this hub has used so far is in the bucket's
    // start already, unless it began under this hub's eyes.
    const double Before = Restarted ? 0 : Known ? Last.Used : Use.Used;
    const double More = std::max(0.0, Use.Used - Before);
    const double Elapsed = Known ? toSeconds(Now - Last.At) : 0;
    const double Window = toSeconds(Settings.RateWindow);
    if (Elapsed > 0) {
      const double Part = std::min(1.0, Elapsed / Window);
      Last.Rate += Part * (More / Elapsed - Last.Rate);
    }
    Each.Level -= More;
    Last.Life = Life;
    Last.Used = std::max(Use.Used, Restarted ? 0 : Last.Used);
    Last.At = Now;
  }
}

std::vector<AccountLevel>
AccountLedger::levels(HostId To, const ForwardTable &Limits, TimePoint Now) {
  std::vector<AccountLevel> Levels;
  for (const ForwardAccount &Account : Limits.config().Accounts) {
    if (Account.RatePerSecond == 0)
      continue;
    const Bucket &Each = bucketOf(Account, Now);
    AccountLevel Told{Account.Id, Each.Level};
    for (const auto &[Host, Last] : Each.Hosts) {
      if (Host == To)
        Told.IncludedUsage = Last.Used;
      else if (Now - Last.At < Settings.RateWindow)
        Told.OthersRate += Last.Rate;
    }
    Levels.push_back(Told);
  }
  return Levels;
}

// ---- AccountMeter -----------------------------------------------------------

void AccountMeter::updateLevel(const AccountLevel &Told, TimePoint Now) {
  Meter &Each = Meters[Told.Account];
  Each.Level = Told.Level;
  Each.OthersRate = Told.OthersRate;
  Each.CountedUsed = Told.IncludedUsage;
  Each.ToldAt = Now;
}

double AccountMeter::available(Meter &Each, const ForwardAccount &Account,
                               std::size_t Hosts, TimePoint Now) const {
  const double Part =
      1.0 / static_cast<double>(std::max<std::size_t>(1, Hosts));
  if (Each.LocalAt == TimePoint{}) {
    Each.LocalAt = Now;
    Each.LocalLevel = Settings.StartFraction * Account.Burst * Part;
  }
  Each.LocalLevel =
      std::min(Account.Burst * Part,
               Each.LocalLevel + Account.RatePerSecond * Part *
                                     toSeconds(Now - Each.LocalAt));
  Each.LocalAt = Now;
  const bool InReach =
      Each.ToldAt != TimePoint{} && Now - Each.ToldAt <= Settings.Trust;
  if (!InReach)
    return Each.LocalLevel;
  const double Since = toSeconds(Now - Each.ToldAt);
  const double Refilled =
      std::min(Account.Burst,
               Each.Level + (Account.RatePerSecond - Each.OthersRate) * Since);
  return Refilled - (Each.Used - Each.CountedUsed);
}

std::optional<Duration> AccountMeter::admit(const ForwardAccount &Account,
                                            double Cost, std::size_t Hosts,
                                            TimePoint Now) {
  if (Account.RatePerSecond == 0)
    return std::nullopt;
  Meter &Each = Meters[Account.Id];
  const double Left = available(Each, Account, Hosts, Now);
  // A request may be larger than what is there, and is paid for afterwards;
  // else one above the burst would never be admitted.
  if (Left <= 0)
    return fromSeconds((std::min(Cost, Account.Burst) - Left) /
                       Account.RatePerSecond);
  Each.Used += Cost;
  Each.LocalLevel -= Cost;
  return std::nullopt;
}

void AccountMeter::refund(AccountId Account, double Cost) {
  const auto Found = Meters.find(Account);
  if (Found == Meters.end())
    return;
  Found->second.Used = std::max(0.0, Found->second.Used - Cost);
  Found->second.LocalLevel += Cost;
}

std::vector<AccountUsage> AccountMeter::collectUsage() {
  std::vector<AccountUsage> All;
  for (auto &[Account, Each] : Meters) {
    Each.Reported = Each.Used;
    All.push_back({Account, Each.Used});
  }
  return All;
}

bool AccountMeter::reportDue(const ForwardTable &Limits,
                             std::size_t Hosts) const {
  const double Part = Settings.UnreportedPart /
                      static_cast<double>(std::max<std::size_t>(1, Hosts));
  return std::any_of(Meters.begin(), Meters.end(), [&](const auto &Each) {
    const ForwardAccount *Account = Limits.account(Each.first);
    return Account != nullptr && Account->RatePerSecond != 0 &&
           Each.second.Used - Each.second.Reported > Part * Account->Burst;
  });
}

} // namespace marjorambay
