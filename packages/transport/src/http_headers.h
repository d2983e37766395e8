/// Shared by the HTTP server and client, not for users of the package.
#ifndef MARJORAMBAY_TRANSPORT_HTTP_HEADERS_H
#define MARJORAMBAY_TRANSPORT_HTTP_HEADERS_H

#include "marjorambay/transport/http_server.h"

struct evkeyvalq;
struct timeval;

namespace marjorambay {

/// Copies headers, but for those that concern one connection only (RFC 9110,
/// 7.6.1) and Host and Content-Length, which each message gets anew.
HttpHeaders copyEndToEnd(const evkeyvalq *Headers);

timeval toTimeval(Duration Time);

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_HTTP_HEADERS_H
