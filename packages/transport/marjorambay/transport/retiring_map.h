/// Map of connections by id whose entries may be removed in their own
/// callbacks.
#ifndef MARJORAMBAY_TRANSPORT_RETIRING_MAP_H
#define MARJORAMBAY_TRANSPORT_RETIRING_MAP_H

#include "marjorambay/transport/event_loop.h"

#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambay {

/// Owns values by id. A retired value leaves the map at once but is destroyed
/// in deferred work of the loop, because one of its own callbacks may be
/// running.
template <typename Id, typename Value> class RetiringMap {
public:
  explicit RetiringMap(EventLoop &Loop) : Loop(Loop) {}

  void emplace(Id Key, std::unique_ptr<Value> NewValue) {
    Values.emplace(Key, std::move(NewValue));
  }
  /// Does nothing if the id is not in the map.
  void retire(Id Key) {
    const auto Found = Values.find(Key);
    if (Found == Values.end())
      return;
    if (Retired.empty())
      Loop.defer([this]() { Retired.clear(); });
    Retired.push_back(std::move(Found->second));
    Values.erase(Found);
  }

  /// Returns nullptr if the id is not in the map.
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
