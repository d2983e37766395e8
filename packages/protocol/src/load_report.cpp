/// Reading of load reports.
#include "marjorambay/protocol/load_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace marjorambay {

namespace {

using Json = nlohmann::json;

std::uint64_t numberIn(const Json &Root, const char *Name) {
  const auto Found = Root.find(Name);
  if (Found == Root.end() || !Found->is_number_unsigned())
    return 0;
  return Found->get<std::uint64_t>();
}

std::uint32_t countIn(const Json &Root, const char *Name) {
  constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(numberIn(Root, Name), Most));
}

} // namespace

Result<LoadReport> parseLoadReport(std::string_view Text) {
  const Json Root = Json::parse(Text, nullptr, false);
  if (Root.is_discarded() || !Root.is_object())
    return Error{ErrorKind::BadRequest, "the load report is not JSON"};
  LoadReport Report;
  Report.Written =
      WallTime(Duration(static_cast<Duration::rep>(numberIn(Root, "time_us"))));
  Report.RequestsInFlight = countIn(Root, "requests_in_flight");
  Report.TokensInFlight = countIn(Root, "tokens_in_flight");
  Report.CacheTokensFree = countIn(Root, "cache_tokens_free");
  Report.Incarnation = IncarnationId{numberIn(Root, "incarnation")};
  const auto Leaving = Root.find("leaving");
  Report.Leaving =
      Leaving != Root.end() && Leaving->is_boolean() && Leaving->get<bool>();
  const auto Versions = Root.find("versions");
  if (Versions != Root.end() && Versions->is_array())
    for (const Json &Each : *Versions)
      if (Each.is_string())
        Report.Versions.push_back(Each.get<std::string>());
  return Report;
}

} // namespace marjorambay
