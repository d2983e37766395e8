/// Helpers for headers and times of the HTTP server and client.
#include "http_headers.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <strings.h>
#include <sys/time.h>

namespace marjorambay {

namespace {

constexpr std::array ExcludedHeaders = std::to_array<const char *>(
    {"Connection", "Proxy-Connection", "Keep-Alive", "TE", "Trailer",
     "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length"});

bool isExcluded(const char *Name) {
  for (const char *Excluded : ExcludedHeaders)
    if (strcasecmp(Name, Excluded) == 0)
      return true;
  return false;
}

} // namespace

HttpHeaders copyEndToEnd(const evkeyvalq *Headers) {
  HttpHeaders Copied;
  for (const evkeyval *Header = Headers->tqh_first; Header;
       Header = Header->next.tqe_next)
    if (!isExcluded(Header->key))
      Copied.push_back({Header->key, Header->value});
  return Copied;
}

HttpHeaders copyEndToEnd(const HttpHeaders &Headers) {
  HttpHeaders Copied;
  for (const HttpHeader &Header : Headers)
    if (!isExcluded(Header.Name.c_str()))
      Copied.push_back(Header);
  return Copied;
}

timeval toTimeval(Duration Time) {
  const auto WholeSeconds = std::chrono::duration_cast<seconds>(Time);
  return {WholeSeconds.count(), (Time - WholeSeconds).count()};
}

} // namespace marjorambay
