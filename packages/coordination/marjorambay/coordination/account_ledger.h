/// Rate limits of client accounts over the whole fleet.
///
/// Each host counts what it let through and reports the running total with its
/// beats; a hub keeps one bucket for each account and tells its level. A host
/// admits against the last level, less what it let through since. Hosts that a
/// hub can't hear may be serving somewhere else: their part of the rate is left
/// to them, so that two halves of a cut fleet stay within one rate.
///
/// [SECTION] Index
///   1. AccountLedger  a hub's buckets
///   2. AccountMeter   what one host lets through
#ifndef MARJORAMBAY_COORDINATION_ACCOUNT_LEDGER_H
#define MARJORAMBAY_COORDINATION_ACCOUNT_LEDGER_H

#include "marjorambay/state/forwarding_config.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// What a host has let through since its start.
struct AccountUsage {
  AccountId Account{};
  double Used = 0; ///< running total, tokens or requests
};

/// A bucket as a hub sees it.
struct AccountLevel {
  AccountId Account{};
  double Level = 0;         ///< may be below 0 after an overrun
  double OthersRate = 0;    ///< a second, of the other hosts
  double IncludedUsage = 0; ///< total of the host that is told, in the level
};

struct AccountLedgerSettings {
  double StartFraction = 0.5;       ///< of the burst, in a bucket that is new
  Duration RateWindow = seconds(1); ///< over which OthersRate is averaged
};

class AccountLedger {
public:
  explicit AccountLedger(AccountLedgerSettings Given = {}) : Settings(Given) {}

  /// Takes a host's totals in. The first report of a life sets its start.
  void recordUsage(HostId From, IncarnationId Life,
                   const std::vector<AccountUsage> &Uses,
                   const ForwardTable &Limits, TimePoint Now);
  /// Part of the fleet that is heard, 0 to 1; scales the rates from now on.
  void setReachableFraction(double Part) { Reach = Part; }
  /// Levels of all limited accounts, for \p To.
  std::vector<AccountLevel> levels(HostId To, const ForwardTable &Limits,
                                   TimePoint Now);

private:
  struct Reported {
    IncarnationId Life{};
    double Used = 0;
    double Rate = 0; ///< a second
    TimePoint At{};
  };
  struct Bucket {
    double Level = 0;
    TimePoint At{};
    std::unordered_map<HostId, Reported> Hosts{};
  };
  Bucket &bucketOf(const ForwardAccount &Account, TimePoint Now);

  AccountLedgerSettings Settings;
  double Reach = 1;
  std::unordered_map<AccountId, Bucket> Buckets{};
};

struct AccountMeterSettings {
  Duration Trust = milliseconds(1500); ///< in the last word of a hub
  double UnreportedPart = 0.5; ///< of a burst, that all hosts may have used
  double StartFraction = 0.5;  ///< of a host's part of the burst, at its start
};

/// One host's admission by account.
class AccountMeter {
public:
  explicit AccountMeter(AccountMeterSettings Given = {}) : Settings(Given) {}

  /// Takes a hub's word in.
  void updateLevel(const AccountLevel &Told, TimePoint Now);

  /// Admits \p Cost and counts it, or returns how long to wait. \p Hosts: size
  /// of the fleet, for this host's part while no hub is in reach.
  std::optional<Duration> admit(const ForwardAccount &Account, double Cost,
                                std::size_t Hosts, TimePoint Now);
  /// Takes back what was counted for a request that has not run.
  void refund(AccountId Account, double Cost);

  /// Returns all totals, to be reported now.
  std::vector<AccountUsage> collectUsage();
  /// Whether some account has used much of its burst since the last report.
  bool reportDue(const ForwardTable &Limits, std::size_t Hosts) const;

private:
  struct Meter {
    double Used = 0;
    double Reported = 0; ///< of Used
    double Level = 0;
    double OthersRate = 0;
    double CountedUsed = 0;
    TimePoint ToldAt{};    ///< 0: never
    double LocalLevel = 0; ///< of this host's own part
    TimePoint LocalAt{};
  };
  double available(Meter &Each, const ForwardAccount &Account,
                   std::size_t Hosts, TimePoint Now) const;

  AccountMeterSettings Settings;
  std::unordered_map<AccountId, Meter> Meters{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ACCOUNT_LEDGER_H
