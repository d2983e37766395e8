/// Highest random weight (rendezvous) hashing: every host that sees the same
/// candidates picks the same one, and a candidate that comes or goes moves only
/// the keys that it gains or loses.
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

/// Keeps the best of the candidates that it is shown.
template <typename IdType> class RendezvousChoice {
public:
  explicit RendezvousChoice(std::uint64_t WantedKey) : Key(WantedKey) {}

  void consider(IdType Candidate) {
    const std::uint64_t Weight = rendezvousWeight(Candidate, Key);
    const bool Wins = !Found || Weight > BestWeight ||
                      (Weight == BestWeight && Candidate > BestCandidate);
    if (!Wins)
      return;
    Found = true;
    BestWeight = Weight;
    BestCandidate = Candidate;
  }

  bool found() const { return Found; }
  IdType best() const { return BestCandidate; }

private:
  std::uint64_t Key;
  std::uint64_t BestWeight = 0;
  IdType BestCandidate{};
  bool Found = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_RENDEZVOUS_H
