/// Token buckets of accounts at hubs, and admission at hosts.
#include "marjorambay/coordination/account_ledger.h"

#include <algorithm>

namespace marjorambay {

// ---- AccountLedger ----------------------------------------------------------

AccountLedger::Bucket &AccountLedger::bucketOf(const ForwardAccount &Account,
                                               TimePoint Now) {
  const auto [It, New] = Buckets.try_emplace(Account.Id);
  Bucket &Entry = It->second;
  if (New) {
    Entry.Level = Settings.InitialFraction * Account.Burst;
    Entry.At = Now;
    Entry.CreatedAt = Now;
  }
  const double Refill =
      ReachableFraction * Account.RatePerSecond * toSeconds(Now - Entry.At);
  Entry.Level = std::min(Account.Burst, Entry.Level + Refill);
  Entry.At = Now;
  return Entry;
}

void AccountLedger::recordUsage(HostId From, IncarnationId Incarnation,
                                Duration Uptime,
                                const std::vector<AccountUsage> &Uses,
                                const ForwardTable &Limits, TimePoint Now) {
  for (const AccountUsage &Use : Uses) {
    const ForwardAccount *Account = Limits.account(Use.Account);
    if (Account == nullptr || Account->RatePerSecond == 0)
      continue;
    Bucket &Entry = bucketOf(*Account, Now);
    Reported &Last = Entry.Hosts[From];
    const bool Known = Last.At != TimePoint{};
    const bool Restarted = Known && Last.Incarnation < Incarnation;
    // Ignores datagrams of an earlier incarnation.
    if (Known && Incarnation < Last.Incarnation)
      continue;
    // The usage so far of an incarnation that is new to this hub is part of the
    // bucket's initial level, unless the host has just started. Otherwise a
    // start of the whole fleet would permit the initial level twice: once at
    // the hub, and once at all hosts together. The usage of a host that has run
    // for longer was charged by other hubs.
    const bool JustStarted =
        Uptime.count() > 0 && Uptime <= Settings.FirstReportTime;
    const double Baseline = Known && !Restarted        ? Last.Used
                            : Restarted || JustStarted ? 0
                                                       : Use.Used;
    const double Delta = std::max(0.0, Use.Used - Baseline);
    const double Elapsed = Known ? toSeconds(Now - Last.At) : 0;
    const double Window = toSeconds(Settings.RateWindow);
    if (Elapsed > 0) {
      const double Fraction = std::min(1.0, Elapsed / Window);
      Last.Rate += Fraction * (Delta / Elapsed - Last.Rate);
    }
    Entry.Level -= Delta;
    const bool NewBucket = Now - Entry.CreatedAt <= Settings.FirstReportTime;
    if (!Known && NewBucket && Use.Level)
      Entry.Level = std::min(Entry.Level, *Use.Level);
    Last.Incarnation = Incarnation;
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
    const Bucket &Entry = bucketOf(Account, Now);
    AccountLevel Latest{Account.Id, Entry.Level};
    for (const auto &[Host, Last] : Entry.Hosts) {
      if (Host == To)
        Latest.IncludedUsage = Last.Used;
      else if (Now - Last.At < Settings.RateWindow)
        Latest.OthersRate += Last.Rate;
    }
    Levels.push_back(Latest);
  }
  return Levels;
}

// ---- AccountMeter -----------------------------------------------------------

void AccountMeter::updateLevel(const AccountLevel &Latest, TimePoint Now) {
  Meter &Entry = Meters[Latest.Account];
  Entry.Level = Latest.Level;
  Entry.OthersRate = Latest.OthersRate;
  Entry.IncludedUsage = Latest.IncludedUsage;
  Entry.LevelAt = Now;
}

double AccountMeter::available(Meter &Entry, const ForwardAccount &Account,
                               std::size_t Hosts, TimePoint Now) const {
  const double Fraction =
      1.0 / static_cast<double>(std::max<std::size_t>(1, Hosts));
  if (Entry.LocalAt == TimePoint{}) {
    Entry.LocalAt = Now;
    Entry.LocalLevel = Settings.InitialFraction * Account.Burst * Fraction;
  }
  Entry.LocalLevel =
      std::min(Account.Burst * Fraction,
               Entry.LocalLevel + Account.RatePerSecond * Fraction *
                                      toSeconds(Now - Entry.LocalAt));
  Entry.LocalAt = Now;
  return fleetLevel(Entry, Account, Now).value_or(Entry.LocalLevel);
}

std::optional<double> AccountMeter::fleetLevel(const Meter &Entry,
                                               const ForwardAccount &Account,
                                               TimePoint Now) const {
  if (Entry.LevelAt == TimePoint{} ||
      Now - Entry.LevelAt > Settings.LevelMaxAge)
    return std::nullopt;
  const double Since = toSeconds(Now - Entry.LevelAt);
  const double Refilled = std::min(
      Account.Burst,
      Entry.Level + (Account.RatePerSecond - Entry.OthersRate) * Since);
  return Refilled - (Entry.Used - Entry.IncludedUsage);
}

std::optional<Duration> AccountMeter::admit(const ForwardAccount &Account,
                                            double Cost, std::size_t Hosts,
                                            TimePoint Now) {
  if (Account.RatePerSecond == 0)
    return std::nullopt;
  Meter &Entry = Meters[Account.Id];
  const double Available = available(Entry, Account, Hosts, Now);
  // A request may cost more than is available and is paid for afterwards;
  // otherwise a request above the burst would never be admitted.
  if (Available <= 0)
    return fromSeconds((std::min(Cost, Account.Burst) - Available) /
                       Account.RatePerSecond);
  Entry.Used += Cost;
  Entry.LocalLevel -= Cost;
  return std::nullopt;
}

void AccountMeter::refund(AccountId Account, double Cost) {
  const auto Found = Meters.find(Account);
  if (Found == Meters.end())
    return;
  Found->second.Used = std::max(0.0, Found->second.Used - Cost);
  Found->second.LocalLevel += Cost;
}

std::vector<AccountUsage> AccountMeter::collectUsage(const ForwardTable &Limits,
                                                     TimePoint Now) {
  std::vector<AccountUsage> All;
  for (auto &[Id, Entry] : Meters) {
    Entry.Reported = Entry.Used;
    const ForwardAccount *Account = Limits.account(Id);
    AccountUsage Use{Id, Entry.Used};
    if (Account != nullptr)
      Use.Level = fleetLevel(Entry, *Account, Now);
    All.push_back(Use);
  }
  return All;
}

bool AccountMeter::reportDue(const ForwardTable &Limits,
                             std::size_t Hosts) const {
  const double Fraction = Settings.MaxUnreportedFraction /
                          static_cast<double>(std::max<std::size_t>(1, Hosts));
  return std::any_of(Meters.begin(), Meters.end(), [&](const auto &Entry) {
    const ForwardAccount *Account = Limits.account(Entry.first);
    return Account != nullptr && Account->RatePerSecond != 0 &&
           Entry.second.Used - Entry.second.Reported >
               Fraction * Account->Burst;
  });
}

} // namespace marjorambay
