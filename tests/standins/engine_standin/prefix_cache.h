/// Prefix cache of an engine: blocks of prompt bytes, the oldest evicted first.
#ifndef MARJORAMBAY_STANDINS_PREFIX_CACHE_H
#define MARJORAMBAY_STANDINS_PREFIX_CACHE_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

namespace marjorambay::standins {

constexpr std::uint32_t BytesPerToken = 4;
constexpr std::uint32_t BlockTokens = 64;

class PrefixCache {
public:
  explicit PrefixCache(std::uint32_t Tokens) : Blocks(Tokens / BlockTokens) {}

  std::uint32_t tokensFree() const {
    return static_cast<std::uint32_t>(Blocks - Order.size()) * BlockTokens;
  }

  /// Returns how many leading tokens of \p Prompt are held, and holds them all.
  std::uint32_t lookUpAndInsert(const std::string &Prompt) {
    constexpr std::size_t BlockBytes = std::size_t(BlockTokens) * BytesPerToken;
    std::uint32_t Hits = 0;
    bool Unbroken = true;
    for (std::size_t End = BlockBytes; End <= Prompt.size();
         End += BlockBytes) {
      const bool Held = touch(std::hash<std::string>()(Prompt.substr(0, End)));
      Unbroken = Unbroken && Held;
      Hits += Unbroken ? 1 : 0;
    }
    return Hits * BlockTokens;
  }

private:
  /// Makes a block the newest; false when it was not held.
  bool touch(std::size_t Hash) {
    const auto Found = Where.find(Hash);
    if (Found != Where.end()) {
      Order.splice(Order.begin(), Order, Found->second);
      return true;
    }
    if (Blocks == 0)
      return false;
    if (Order.size() >= Blocks) {
      Where.erase(Order.back());
      Order.pop_back();
    }
    Order.push_front(Hash);
    Where[Hash] = Order.begin();
    return false;
  }

  std::size_t Blocks;
  std::list<std::size_t> Order{};
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> Where{};
};

} // namespace marjorambay::standins

#endif // MARJORAMBAY_STANDINS_PREFIX_CACHE_H
