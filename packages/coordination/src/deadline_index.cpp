/// Treaps over a shared array of nodes.
#include "marjorambay/coordination/deadline_index.h"

namespace marjorambay {

namespace {

// SplitMix64 finalizer: spreads consecutive numbers over all 64 bits.
std::uint64_t mix(std::uint64_t Value) {
  Value += 0x9E3779B97F4A7C15;
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EB;
  return Value ^ (Value >> 31);
}

} // namespace

void DeadlineIndex::update(std::uint32_t Id) {
  Node &Self = Nodes[Id];
  Self.Sum = Self.Work + sumOf(Self.Left) + sumOf(Self.Right);
}

std::pair<std::uint32_t, std::uint32_t> DeadlineIndex::split(std::uint32_t Root,
                                                             Key At) {
  if (Root == None)
    return {None, None};
  if (keyOf(Root) < At) {
    auto [Below, Above] = split(Nodes[Root].Right, At);
    Nodes[Root].Right = Below;
    update(Root);
    return {Root, Above};
  }
  auto [Below, Above] = split(Nodes[Root].Left, At);
  Nodes[Root].Left = Above;
  update(Root);
  return {Below, Root};
}

std::uint32_t DeadlineIndex::merge(std::uint32_t Left, std::uint32_t Right) {
  if (Left == None)
    return Right;
  if (Right == None)
    return Left;
  if (Nodes[Left].Priority > Nodes[Right].Priority) {
    Nodes[Left].Right = merge(Nodes[Left].Right, Right);
    update(Left);
    return Left;
  }
  Nodes[Right].Left = merge(Left, Nodes[Right].Left);
  update(Right);
  return Right;
}

void DeadlineIndex::insert(Tree &Set, std::uint32_t Entry, TimePoint Time,
                           double Work) {
  if (Entry >= Nodes.size())
    Nodes.resize(Entry + 1);
  const std::uint64_t Order = NextOrder++;
  Nodes[Entry] = {Time, Order, mix(Order), Work, Work, None, None};
  auto [Below, Above] = split(Set.Root, keyOf(Entry));
  Set.Root = merge(merge(Below, Entry), Above);
}

std::uint32_t DeadlineIndex::eraseBelow(std::uint32_t Root,
                                        std::uint32_t Entry) {
  if (Root == None)
    return None;
  if (Root == Entry)
    return merge(Nodes[Root].Left, Nodes[Root].Right);
  if (keyOf(Entry) < keyOf(Root))
    Nodes[Root].Left = eraseBelow(Nodes[Root].Left, Entry);
  else
    Nodes[Root].Right = eraseBelow(Nodes[Root].Right, Entry);
  update(Root);
  return Root;
}

void DeadlineIndex::erase(Tree &Set, std::uint32_t Entry) {
  Set.Root = eraseBelow(Set.Root, Entry);
}

std::uint32_t DeadlineIndex::first(const Tree &Set) const {
  std::uint32_t Id = Set.Root;
  while (Id != None && Nodes[Id].Left != None)
    Id = Nodes[Id].Left;
  return Id;
}

double DeadlineIndex::workUpTo(const Tree &Set, TimePoint Time) const {
  double Before = 0;
  std::uint32_t Id = Set.Root;
  while (Id != None) {
    const Node &Self = Nodes[Id];
    if (Self.Time > Time) {
      Id = Self.Left;
      continue;
    }
    Before += Self.Work + sumOf(Self.Left);
    Id = Self.Right;
  }
  return Before;
}

void DeadlineIndex::list(const Tree &Set,
                         std::vector<std::uint32_t> &Out) const {
  std::vector<std::uint32_t> Above;
  std::uint32_t Id = Set.Root;
  while (Id != None || !Above.empty()) {
    for (; Id != None; Id = Nodes[Id].Left)
      Above.push_back(Id);
    Id = Above.back();
    Above.pop_back();
    Out.push_back(Id);
    Id = Nodes[Id].Right;
  }
}

} // namespace marjorambay
