/// Answers to callers, and the end of their requests.
#ifndef MARJORAMBAY_APPS_MARJORAMBAYD_RESPONSES_H
#define MARJORAMBAY_APPS_MARJORAMBAYD_RESPONSES_H

#include "daemon.h"

#include <string_view>

namespace marjorambay {

/// Whether \p Header is called \p Name, in any case.
bool isHeader(const HttpHeader &Header, const char *Name);

/// Answers a request that was not taken. It leaves no state behind.
void answerRefused(Daemon &D, ExchangeId Exchange, const Error &Reason);

/// Answers an operator with an error.
void answerOperatorError(Daemon &D, ExchangeId Exchange, const Error &Reason);

/// Logs the end of a request and forgets it.
void forgetCall(Daemon &D, RequestId Id, std::string_view Ending);

} // namespace marjorambay

#endif // MARJORAMBAY_APPS_MARJORAMBAYD_RESPONSES_H
