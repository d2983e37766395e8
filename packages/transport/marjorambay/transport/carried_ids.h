/// Which connections have carried a request, and which response on a connection
/// belongs to a call.
///
/// A target may send a response once more, late, where the response to the next
/// call on the connection is expected. Its id tells it from the response to
/// another request, but not from the response to a second sending of the same
/// request. Such a copy may say that the request was not executed while the
/// target executes it, so a connection carries a request once.
#ifndef MARJORAMBAY_TRANSPORT_CARRIED_IDS_H
#define MARJORAMBAY_TRANSPORT_CARRIED_IDS_H

#include "marjorambay/state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace marjorambay {

/// Number of a connection of one client; never given out again.
enum class ConnectionId : std::uint64_t {};

/// What a client has received on a connection before a response.
struct ResponseContext {
  std::string_view ReceivedId{};  ///< of the response; empty if it has none
  std::string_view RequestId{};   ///< of the current call; may be empty
  bool FirstOnConnection = false; ///< no other response, and no other call
};

/// Whether a response belongs to the current call. One without an id does only
/// if nothing else on the connection could have caused it.
constexpr bool belongsToCall(const ResponseContext &Context) {
  if (Context.ReceivedId.empty())
    return Context.FirstOnConnection;
  return Context.ReceivedId == Context.RequestId;
}

/// Ids of the requests that connections have carried. Ids are kept as hashes: a
/// collision costs a connection and confuses no response.
class CarriedIds {
public:
  /// Records that \p Connection carries the request \p Id, which is not sent
  /// once more after \p Until.
  void record(ConnectionId Connection, std::string_view Id, TimePoint Until);
  bool hasCarried(ConnectionId Connection, std::string_view Id) const;
  /// Forgets requests that are not sent once more.
  void expire(TimePoint Now);
  std::size_t size() const { return Expiries.size(); }

private:
  std::unordered_multimap<std::uint64_t, ConnectionId> Connections{}; ///< by id
  std::multimap<TimePoint, std::pair<std::uint64_t, ConnectionId>> Expiries{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_CARRIED_IDS_H
