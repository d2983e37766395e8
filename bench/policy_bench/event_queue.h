/// Virtual time: actions in order of their time, equal times in order of
/// scheduling.
#ifndef MARJORAMBAY_BENCH_EVENT_QUEUE_H
#define MARJORAMBAY_BENCH_EVENT_QUEUE_H

#include "marjorambay/state/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace marjorambay::bench {

class EventQueue {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return Now; }

  void after(Duration Wait, Action Do) {
    Heap.push({Now + Wait, NextOrder++, std::move(Do)});
  }

  /// Runs actions until none is left before \p End.
  void runUntil(TimePoint End) {
    while (!Heap.empty() && Heap.top().At <= End) {
      Item Next = Heap.top();
      Heap.pop();
      Now = Next.At;
      Next.Do();
    }
  }

private:
  struct Item {
    TimePoint At{};
    std::uint64_t Order = 0;
    Action Do{};
    bool operator<(const Item &Other) const {
      return At == Other.At ? Order > Other.Order : At > Other.At;
    }
  };
  std::priority_queue<Item> Heap{};
  std::uint64_t NextOrder = 0;
  TimePoint Now{};
};

} // namespace marjorambay::bench

#endif // MARJORAMBAY_BENCH_EVENT_QUEUE_H
