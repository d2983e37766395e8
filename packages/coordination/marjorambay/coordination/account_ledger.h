/// Fleet-wide rate limits of client accounts.
///
/// Each host counts the usage that it admits and reports the running total in
/// its heartbeats. A hub keeps one token bucket per account and sends its level
/// to the hosts. A host admits requests against the last level that it
/// received, less what it has admitted since. Hosts that a hub cannot reach may
/// be serving in another partition. The hub therefore refills its buckets only
/// in proportion to the part of the fleet that it reaches, so that two halves
/// of a partitioned fleet together stay within one rate.
///
/// [SECTION] Index
///   1. AccountLedger  token buckets of a hub
///   2. AccountMeter   admission at one host
#ifndef MARJORAMBAY_COORDINATION_ACCOUNT_LEDGER_H
#define MARJORAMBAY_COORDINATION_ACCOUNT_LEDGER_H

#include "marjorambay/state/forwarding_config.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjorambay {

/// Usage of one account that a host has admitted since it started.
struct AccountUsage {
  AccountId Account{};
  double Used = 0; ///< running total, in tokens or requests
  /// What the host reckons to be left in the fleet's bucket; empty if it has
  /// no recent level of a hub.
  std::optional<double> Level{};
};

/// Level of an account's token bucket, as a hub sends it to one host.
struct AccountLevel {
  AccountId Account{};
  double Level = 0;      ///< in tokens or requests; negative after an overrun
  double OthersRate = 0; ///< usage per second of all other hosts
  /// Running total of the receiving host that Level already includes.
  double IncludedUsage = 0;
};

struct AccountLedgerSettings {
  /// Initial level of a new bucket, as a fraction of the burst.
  double InitialFraction = 0.5;
  /// Averaging window of AccountLevel::OthersRate.
  Duration RateWindow = seconds(1);
  /// Time since its start within which a host reports for the first time, also
  /// when all hosts start at once. For as long, a new bucket takes over the
  /// levels that hosts know from other hubs.
  Duration FirstReportTime = seconds(2);
};

class AccountLedger {
public:
  explicit AccountLedger(AccountLedgerSettings Given = {}) : Settings(Given) {}

  /// Merges the running totals that a host reports. The first report of a host
  /// that is new to this hub sets its baseline, unless the host has just
  /// started: its entire usage is then charged. A new bucket starts at the
  /// lowest level that these first reports have, so that a hub which restarts
  /// does not grant a burst again. \p Uptime is the time since the host
  /// started; 0 if unknown.
  void recordUsage(HostId From, IncarnationId Incarnation, Duration Uptime,
                   const std::vector<AccountUsage> &Uses,
                   const ForwardTable &Limits, TimePoint Now);
  /// Sets the fraction of the fleet that this hub reaches, 0 to 1, which scales
  /// the refill rates from now on.
  void setReachableFraction(double Fraction) { ReachableFraction = Fraction; }
  /// Returns the levels of all rate-limited accounts, to be sent to host \p To.
  std::vector<AccountLevel> levels(HostId To, const ForwardTable &Limits,
                                   TimePoint Now);

private:
  struct Reported {
    IncarnationId Incarnation{};
    double Used = 0;
    double Rate = 0; ///< usage per second
    TimePoint At{};
  };
  struct Bucket {
    double Level = 0;
    TimePoint At{};
    TimePoint CreatedAt{};
    std::unordered_map<HostId, Reported> Hosts{};
  };
  Bucket &bucketOf(const ForwardAccount &Account, TimePoint Now);

  AccountLedgerSettings Settings;
  double ReachableFraction = 1;
  std::unordered_map<AccountId, Bucket> Buckets{};
};

struct AccountMeterSettings {
  /// Maximum age of a hub's last level.
  Duration LevelMaxAge = milliseconds(1500);
  /// Fraction of a burst that all hosts together may use before they report
  /// early.
  double MaxUnreportedFraction = 0.5;
  /// Initial level of a host's own bucket, as a fraction of its part of the
  /// burst.
  double InitialFraction = 0.5;
};

/// Admission control by account at one host.
class AccountMeter {
public:
  explicit AccountMeter(AccountMeterSettings Given = {}) : Settings(Given) {}

  /// Stores a level that a hub sent.
  void updateLevel(const AccountLevel &Latest, TimePoint Now);

  /// Admits \p Cost and counts it, or returns how long to wait before a retry.
  /// \p Hosts is the size of the fleet; it determines this host's part of the
  /// rate while no hub is reachable.
  std::optional<Duration> admit(const ForwardAccount &Account, double Cost,
                                std::size_t Hosts, TimePoint Now);
  /// Refunds the cost of a request that has not run.
  void refund(AccountId Account, double Cost);

  /// Returns all running totals and marks them as reported.
  std::vector<AccountUsage> collectUsage(const ForwardTable &Limits,
                                         TimePoint Now);
  /// Returns whether an account has used so much of its burst since the last
  /// report that it should be reported ahead of the next heartbeat.
  bool reportDue(const ForwardTable &Limits, std::size_t Hosts) const;

private:
  struct Meter {
    double Used = 0;
    double Reported = 0; ///< part of Used that was reported
    double Level = 0;
    double OthersRate = 0;
    double IncludedUsage = 0;
    TimePoint LevelAt{};   ///< when the hub's level arrived; 0 if never
    double LocalLevel = 0; ///< level of this host's own part of the bucket
    TimePoint LocalAt{};
  };
  double available(Meter &Entry, const ForwardAccount &Account,
                   std::size_t Hosts, TimePoint Now) const;
  std::optional<double> fleetLevel(const Meter &Entry,
                                   const ForwardAccount &Account,
                                   TimePoint Now) const;

  AccountMeterSettings Settings;
  std::unordered_map<AccountId, Meter> Meters{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_ACCOUNT_LEDGER_H
