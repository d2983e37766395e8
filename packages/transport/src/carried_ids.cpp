/// Requests that connections have carried.
#include "marjorambay/transport/carried_ids.h"

#include "marjorambay/state/ids.h"

#include <algorithm>

namespace marjorambay {

void CarriedIds::record(ConnectionId Connection, std::string_view Id,
                        TimePoint Until) {
  const std::uint64_t Hash = hash64(Id);
  Connections.emplace(Hash, Connection);
  Expiries.emplace(Until, std::pair(Hash, Connection));
}

bool CarriedIds::hasCarried(ConnectionId Connection,
                            std::string_view Id) const {
  const auto [Begin, End] = Connections.equal_range(hash64(Id));
  return std::any_of(Begin, End, [&](const auto &Entry) {
    return Entry.second == Connection;
  });
}

void CarriedIds::expire(TimePoint Now) {
  while (!Expiries.empty() && Expiries.begin()->first < Now) {
    const std::pair<std::uint64_t, ConnectionId> Due = Expiries.begin()->second;
    Expiries.erase(Expiries.begin());
    const auto [Begin, End] = Connections.equal_range(Due.first);
    const auto Found = std::find_if(Begin, End, [&](const auto &Entry) {
      return Entry.second == Due.second;
    });
    if (Found != End)
      Connections.erase(Found);
  }
}

} // namespace marjorambay
