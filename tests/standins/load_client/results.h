/// What a load client counts of its calls, and the summary that it prints.
#ifndef MARJORAMBAY_STANDINS_RESULTS_H
#define MARJORAMBAY_STANDINS_RESULTS_H

#include "standins/support/faults.h"

#include "marjorambay/state/enum_names.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace marjorambay::standins {

/// How one call ended.
enum class Verdict : std::uint8_t {
  Whole, ///< the whole answer, and its own
  Wrong, ///< an answer that ended properly, but is not the one expected
  Cut,   ///< the answer began and ended early
  Error, ///< an error with its kind
  Lost,  ///< no answer at all
  Left,  ///< the client went away, as told
};

} // namespace marjorambay::standins

template <>
inline constexpr std::array
    marjorambay::NamesOf<marjorambay::standins::Verdict> =
        std::to_array<std::string_view>({"whole", "wrong", "cut", "error",
                                         "lost", "left"});

namespace marjorambay::standins {

/// One call and what came of it.
struct CallResult {
  std::uint64_t Index = 0;
  Verdict Ending = Verdict::Lost;
  int Status = 0;
  std::string RequestId{};
  std::string Host{};
  std::string Target{};
  std::string Tier{};
  std::string Version{};
  std::string Key{}; ///< idempotency key
  std::string ErrorKind{};
  bool MayHaveRun = true;
  std::string Detail{}; ///< what came instead of the expected text
  double FirstMs = 0;   ///< to the first event of a stream
  double TotalMs = 0;
};

inline Json toJson(const CallResult &Result) {
  return {{"index", Result.Index},
          {"verdict", nameOf(Result.Ending)},
          {"status", Result.Status},
          {"request_id", Result.RequestId},
          {"host", Result.Host},
          {"target", Result.Target},
          {"tier", Result.Tier},
          {"version", Result.Version},
          {"key", Result.Key},
          {"error", Result.ErrorKind},
          {"may_have_run", Result.MayHaveRun},
          {"detail", Result.Detail.substr(0, 200)},
          {"first_ms", Result.FirstMs},
          {"total_ms", Result.TotalMs}};
}

/// Returns quantiles of \p Values, in the unit that they have.
inline Json quantiles(std::vector<double> Values) {
  if (Values.empty())
    return Json::object();
  std::sort(Values.begin(), Values.end());
  const auto At = [&](double Share) {
    const auto Rank = Share * static_cast<double>(Values.size() - 1);
    return Values[static_cast<std::size_t>(std::lround(Rank))];
  };
  return {{"p50", At(0.5)},
          {"p90", At(0.9)},
          {"p99", At(0.99)},
          {"max", Values.back()}};
}

/// Returns the summary of all calls, of which \p Events and \p Bytes were read
/// within \p Seconds.
inline Json summary(const std::vector<CallResult> &Results,
                    std::uint64_t Events, std::uint64_t Bytes, double Seconds) {
  std::map<std::string, int> Verdicts;
  std::map<std::string, int> Errors;
  std::map<std::string, std::map<std::string, int>> Counts;
  std::vector<double> First;
  std::vector<double> Total;
  for (const CallResult &Result : Results) {
    const std::string Ending(nameOf(Result.Ending));
    ++Verdicts[Ending];
    ++Counts["host " + Result.Host][Ending];
    ++Counts["target " + Result.Target][Ending];
    ++Counts["tier " + Result.Tier][Ending];
    if (Result.Ending == Verdict::Error)
      ++Errors[Result.ErrorKind];
    if (Result.Ending != Verdict::Whole)
      continue;
    First.push_back(Result.FirstMs);
    Total.push_back(Result.TotalMs);
  }
  return {{"calls", Results.size()},
          {"verdicts", Verdicts},
          {"errors", Errors},
          {"counts", Counts},
          {"first_ms", quantiles(First)},
          {"total_ms", quantiles(Total)},
          {"events", Events},
          {"bytes", Bytes},
          {"seconds", Seconds}};
}

} // namespace marjorambay::standins

#endif // MARJORAMBAY_STANDINS_RESULTS_H
