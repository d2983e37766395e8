/// Error responses: JSON body and Retry-After.
#include "marjorambay/protocol/error_body.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace marjorambay {

namespace {

/// Sent for transient errors that specify no delay.
constexpr Duration DefaultRetryAfter = seconds(1);

Duration retryAfter(const Error &Reason) {
  if (traitsOf(Reason.Kind).Retry != RetryAdvice::AfterWait)
    return Duration(0);
  return Reason.RetryAfter > Duration(0) ? Reason.RetryAfter
                                         : DefaultRetryAfter;
}

} // namespace

std::string printError(const Error &Reason, std::string_view RequestName,
                       MayHaveRun Ran) {
  nlohmann::ordered_json Inner;
  Inner["kind"] = nameOf(Reason.Kind);
  Inner["message"] = Reason.Message;
  if (!RequestName.empty())
    Inner["request_id"] = RequestName;
  Inner["may_have_run"] = Ran == MayHaveRun::Maybe;
  const Duration Wait = retryAfter(Reason);
  if (Wait > Duration(0))
    Inner["retry_after_ms"] = std::chrono::ceil<milliseconds>(Wait).count();
  nlohmann::ordered_json Root;
  Root["error"] = std::move(Inner);
  // Messages may quote caller input; invalid UTF-8 must not throw.
  return Root.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string retryAfterHeader(const Error &Reason) {
  const Duration Wait = retryAfter(Reason);
  if (Wait <= Duration(0))
    return "";
  return std::to_string(std::chrono::ceil<seconds>(Wait).count());
}

} // namespace marjorambay
