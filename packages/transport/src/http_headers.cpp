/// Headers and times that the HTTP server and client share.
#include "http_headers.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <strings.h>
#include <sys/time.h>

namespace marjorambay {

namespace {

constexpr std::array OneHop = std::to_array<const char *>(
    {"Connection", "Proxy-Connection", "Keep-Alive", "TE", "Trailer",
     "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length"});

bool isOneHop(const char *Name) {
  for (const char *Each : OneHop)
    if (strcasecmp(Name, Each) == 0)
      return true;
  return false;
}

} // namespace

HttpHeaders copyEndToEnd(const evkeyvalq *Headers) {
  HttpHeaders Copied;
  for (const evkeyval *Each = Headers->tqh_first; Each;
       Each = Each->next.tqe_next)
    if (!isOneHop(Each->key))
      Copied.push_back({Each->key, Each->value});
  return Copied;
}

timeval toTimeval(Duration Time) {
  const auto Whole = std::chrono::duration_cast<seconds>(Time);
  return {Whole.count(), (Time - Whole).count()};
}

} // namespace marjorambay
