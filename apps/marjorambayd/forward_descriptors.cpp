/// Descriptors of a host: their division, and how many are open.
#include "forward_host.h"

#include "marjorambay/transport/descriptors.h"

namespace marjorambay {

namespace {

/// An HTTP server accepts as many connections over its limit as within.
constexpr std::size_t OverLimitDivisor = 2;

struct ShareRow {
  std::string_view Name{};
  std::size_t Open = 0;
  std::size_t Limit = 0;
};

void printGauges(std::string &Out, std::string_view Name,
                 const std::vector<ShareRow> &Rows,
                 std::size_t ShareRow::*Value) {
  const std::string Full = "marjorambay_" + std::string(Name);
  Out += "# TYPE " + Full + " gauge\n";
  for (const ShareRow &Row : Rows)
    Out += Full + "{share=\"" + std::string(Row.Name) + "\"} " +
           std::to_string(Row.*Value) + "\n";
}

void printCounter(std::string &Out, std::string_view Name,
                  std::uint64_t Count) {
  const std::string Full = "marjorambay_" + std::string(Name) + "_total";
  Out += "# TYPE " + Full + " counter\n" + Full + " " + std::to_string(Count) +
         "\n";
}

} // namespace

DescriptorShares descriptorShares(const HostSettings &Settings) {
  return divideDescriptors({Settings.MaxOpenFiles, descriptorLimit()},
                           Settings.MaxConnections);
}

CallerServerLimits callerLimits(const HostSettings &Settings,
                                const DescriptorShares &Shares,
                                const MemoryBudget &Budget) {
  CallerServerLimits Limits;
  Limits.MaxUnsentBytes = Budget.share(MemoryOwner::UnsentResponses);
  Limits.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Limits.MaxBodyBytes = Settings.MaxBodyBytes;
  Limits.MaxConnections = Shares.Callers;
  Limits.MaxConnectionsOverLimit = Shares.CallersOverLimit;
  Limits.IdleTimeout = Settings.IdleTimeout;
  return Limits;
}

HttpServerLimits probeLimits(const DescriptorShares &Shares) {
  HttpServerLimits Limits;
  Limits.MaxConnections = (Shares.Probes + 1) / OverLimitDivisor;
  return Limits;
}

CallerServerLimits objectServerLimits(const DescriptorShares &Shares) {
  CallerServerLimits Limits;
  Limits.MaxConnections = Shares.Hosts;
  Limits.MaxConnectionsOverLimit = 0; // hosts wait to be accepted
  Limits.MaxBodyBytes = 0;            // their requests have none
  return Limits;
}

void logDescriptorShares(const ForwardHost &H) {
  const DescriptorShares &Shares = H.Descriptors;
  LogLine("descriptors_divided")
      .with("stated", static_cast<std::int64_t>(H.Settings.MaxOpenFiles))
      .with("limit", static_cast<std::int64_t>(Shares.Limit))
      .with("callers", static_cast<std::int64_t>(Shares.Callers))
      .with("targets", static_cast<std::int64_t>(Shares.Targets))
      .with("probes", static_cast<std::int64_t>(Shares.Probes))
      .with("hosts", static_cast<std::int64_t>(Shares.Hosts))
      .with("others", static_cast<std::int64_t>(Shares.Others));
}

std::string descriptorMetrics(const ForwardHost &H) {
  const DescriptorShares &Shares = H.Descriptors;
  const std::size_t Reserved = H.Client.reservedConnections();
  const std::vector<ShareRow> Rows{
      {"all", openDescriptors(), Shares.Limit},
      {"callers", H.Callers.connections(), Shares.Callers},
      {"targets", H.Client.connections() - Reserved, Shares.Targets},
      {"probes", H.Probes.connections(), Shares.Probes},
      {"operators", H.Operators.connections(), Shares.Probes},
      {"hosts", H.ObjectServer.connections(), Shares.Hosts},
      {"reserved", Reserved, Shares.Others}};
  std::string Out;
  printGauges(Out, "descriptors", Rows, &ShareRow::Open);
  printGauges(Out, "descriptors_limit", Rows, &ShareRow::Limit);
  printCounter(Out, "accepts_failed",
               H.Callers.acceptCounters().Shortages +
                   H.ObjectServer.acceptCounters().Shortages +
                   H.Probes.acceptCounters().Shortages +
                   H.Operators.acceptCounters().Shortages);
  printCounter(Out, "accept_pauses", H.Callers.acceptCounters().Pauses);
  printCounter(Out, "callers_over_limit", H.Callers.counters().Rejected);
  printCounter(Out, "idle_callers_closed", H.Callers.counters().IdleClosed);
  printCounter(Out, "idle_targets_closed", H.Client.counters().IdleClosed);
  printCounter(Out, "target_connections_lacking",
               H.Client.counters().NoResource);
  return Out;
}

} // namespace marjorambay
