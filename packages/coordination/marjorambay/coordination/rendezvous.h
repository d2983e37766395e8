/// Rendezvous (highest random weight) hashing: every host that sees the same
/// candidates chooses the same one, and adding or removing a candidate moves
/// only the keys of that candidate.
#ifndef MARJORAMBAY_COORDINATION_RENDEZVOUS_H
#define MARJORAMBAY_COORDINATION_RENDEZVOUS_H

#include "marjorambay/state/ids.h"
#include "marjorambay/state/random.h"

#include <cstdint>

namespace marjorambay {

/// Weight of \p Candidate for \p Key.
template <typename IdType>
constexpr std::uint64_t rendezvousWeight(IdType Candidate, std::uint64_t Key) {
  return mixBits(mixBits(number(Candidate)) ^ Key);
}

/// Chooses the candidate of the highest weight.
template <typename IdType> class RendezvousChoice {
public:
  explicit RendezvousChoice(std::uint64_t ForKey) : Key(ForKey) {}

  void consider(IdType Candidate) {
    const std::uint64_t Weight = rendezvousWeight(Candidate, Key);
    const bool Wins = !HasCandidate || Weight > BestWeight ||
                      (Weight == BestWeight && Candidate > BestCandidate);
    if (!Wins)
      return;
    HasCandidate = true;
    BestWeight = Weight;
    BestCandidate = Candidate;
  }

  bool found() const { return HasCandidate; }
  IdType best() const { return BestCandidate; }

private:
  std::uint64_t Key;
  std::uint64_t BestWeight = 0;
  IdType BestCandidate{};
  bool HasCandidate = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_RENDEZVOUS_H
