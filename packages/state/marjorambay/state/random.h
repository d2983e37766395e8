/// Random numbers from a source that the caller passes in, so that runs are
/// reproducible.
#ifndef MARJORAMBAY_STATE_RANDOM_H
#define MARJORAMBAY_STATE_RANDOM_H

#include <concepts>
#include <cstddef>
#include <cstdint>

namespace marjorambay {

/// A source of random 64-bit numbers.
template <typename Source>
concept RandomSource = requires(Source Random) {
  { Random.next() } -> std::same_as<std::uint64_t>;
};

/// Mixes the bits of \p Value; the finalizer of SplitMix64.
constexpr std::uint64_t mixBits(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EB;
  return Value ^ (Value >> 31);
}

/// Small generator, not cryptographically secure. The same seed gives the same
/// sequence on every machine.
class SplitMix64 {
public:
  explicit constexpr SplitMix64(std::uint64_t Seed) : State(Seed) {}

  constexpr std::uint64_t next() {
    State += 0x9E3779B97F4A7C15;
    return mixBits(State);
  }

private:
  std::uint64_t State;
};
static_assert(RandomSource<SplitMix64>);

/// Returns a random number below \p Bound, which must not be 0.
template <RandomSource Source>
std::size_t drawBelow(Source &Random, std::size_t Bound) {
  return static_cast<std::size_t>(Random.next() % Bound);
}

/// Returns a random number in [0, 1).
template <RandomSource Source> double drawFraction(Source &Random) {
  return static_cast<double>(Random.next() >> 11) * 0x1p-53;
}

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_RANDOM_H
