/// The JSON body of an error, as callers and operators see it.
#ifndef MARJORAMBAY_PROTOCOL_ERROR_BODY_H
#define MARJORAMBAY_PROTOCOL_ERROR_BODY_H

#include "marjorambay/state/error.h"

#include <string>
#include <string_view>

namespace marjorambay {

/// Returns {"error": {...}}; \p RequestName may be empty.
std::string printError(const Error &Reason, std::string_view RequestName,
                       MayHaveRun Ran);

/// Returns Retry-After in whole seconds, at least 1; "" when coming back does
/// not help.
std::string retryAfterHeader(const Error &Reason);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_ERROR_BODY_H
