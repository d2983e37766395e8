/// Connections by id, for owners that remove one from its own callbacks.
#ifndef MARJORAMBAY_TRANSPORT_RETIRING_MAP_H
#define MARJORAMBAY_TRANSPORT_RETIRING_MAP_H

#include "marjorambay/transport/event_loop.h"

#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambay {

/// Owns values by id. One that is retired is out of the map at once, and lives
/// until the loop's next turn, as it may be the one that is running.
template <typename Id, typename Value> class RetiringMap {
public:
  explicit RetiringMap(EventLoop &Loop) : Loop(Loop) {}

  void emplace(Id Key, std::unique_ptr<Value> Made) {
    Values.emplace(Key, std::move(Made));
  }
  /// Nothing happens to an id that is not in it.
  void retire(Id Key) {
    const auto Found = Values.find(Key);
    if (Found == Values.end())
      return;
    if (Retired.empty())
      Loop.defer([this]() { Retired.clear(); });
    Retired.push_back(std::move(Found->second));
    Values.erase(Found);
  }

  /// nullptr: not in it.
  Value *find(Id Key) const {
    const auto Found = Values.find(Key);
    return Found == Values.end() ? nullptr : Found->second.get();
  }
  Value &at(Id Key) const { return *Values.at(Key); }
  std::size_t size() const { return Values.size(); }
  auto begin() const { return Values.begin(); }
  auto end() const { return Values.end(); }

private:
  EventLoop &Loop;
  std::unordered_map<Id, std::unique_ptr<Value>> Values{};
  std::vector<std::unique_ptr<Value>> Retired{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_RETIRING_MAP_H
