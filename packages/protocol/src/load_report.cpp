/// Parsing of load reports.
#include "marjorambay/protocol/load_report.h"

#include "marjorambay/protocol/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace marjorambay {

namespace {

using Json = nlohmann::json;

std::uint64_t uint64Field(const Json &Root, const char *Name) {
  const auto Found = Root.find(Name);
  if (Found == Root.end() || !Found->is_number_unsigned())
    return 0;
  return Found->get<std::uint64_t>();
}

std::uint32_t uint32Field(const Json &Root, const char *Name) {
  constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(uint64Field(Root, Name), Max));
}

} // namespace

Result<LoadReport> parseLoadReport(std::string_view Text) {
  const Json Root = parseJson<Json>(Text);
  if (Root.is_discarded() || !Root.is_object())
    return Error{ErrorKind::BadRequest, "the load report is not a JSON object"};
  LoadReport Report;
  Report.Written = WallTime(
      Duration(static_cast<Duration::rep>(uint64Field(Root, "time_us"))));
  Report.RequestsInFlight = uint32Field(Root, "requests_in_flight");
  Report.TokensInFlight = uint32Field(Root, "tokens_in_flight");
  Report.CacheTokensFree = uint32Field(Root, "cache_tokens_free");
  Report.Incarnation = IncarnationId{uint64Field(Root, "incarnation")};
  const auto Leaving = Root.find("leaving");
  Report.Leaving =
      Leaving != Root.end() && Leaving->is_boolean() && Leaving->get<bool>();
  const auto Versions = Root.find("versions");
  if (Versions != Root.end() && Versions->is_array())
    for (const Json &Version : *Versions)
      if (Version.is_string())
        Report.Versions.push_back(Version.get<std::string>());
  return Report;
}

} // namespace marjorambay
