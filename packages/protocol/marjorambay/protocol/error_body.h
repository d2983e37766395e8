/// The JSON body of error responses to callers and operators.
#ifndef MARJORAMBAY_PROTOCOL_ERROR_BODY_H
#define MARJORAMBAY_PROTOCOL_ERROR_BODY_H

#include "marjorambay/state/error.h"

#include <string>
#include <string_view>

namespace marjorambay {

/// Returns {"error": {...}}; \p RequestName may be empty.
std::string printError(const Error &Reason, std::string_view RequestName,
                       MayHaveRun Ran);

/// Returns the Retry-After value in whole seconds, at least 1; "" if a retry
/// would not help.
std::string retryAfterHeader(const Error &Reason);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_ERROR_BODY_H
