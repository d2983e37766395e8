/// Helpers of the HTTP server and client; private to the package.
#ifndef MARJORAMBAY_TRANSPORT_HTTP_HEADERS_H
#define MARJORAMBAY_TRANSPORT_HTTP_HEADERS_H

#include "marjorambay/transport/http_server.h"

struct evkeyvalq;
struct timeval;

namespace marjorambay {

/// Copies all headers except hop-by-hop ones (RFC 9110, 7.6.1) and Expect, Host
/// and Content-Length, which are set anew for each message.
HttpHeaders copyEndToEnd(const evkeyvalq *Headers);
HttpHeaders copyEndToEnd(const HttpHeaders &Headers);

timeval toTimeval(Duration Time);

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP_HEADERS_H
