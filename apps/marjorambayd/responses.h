/// Responses to callers and operators, and the end of callers' requests.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_RESPONSES_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_RESPONSES_H

#include "daemon.h"

#include <string_view>

namespace marjorambay {

/// Whether \p Header has the name \p Name, ignoring case.
bool isHeader(const HttpHeader &Header, const char *Name);

/// Responds to a request that was rejected on arrival; no state is kept for it.
void rejectRequest(Daemon &D, ExchangeId Exchange, const Error &Reason);

/// Responds to an operator's request with an error.
void respondOperatorError(Daemon &D, ExchangeId Exchange, const Error &Reason);

/// Logs the end of a request and discards its state.
void removeCall(Daemon &D, RequestId Id, std::string_view Ending);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_RESPONSES_H
