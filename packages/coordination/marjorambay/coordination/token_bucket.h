/// Token bucket rate limiter.
#ifndef MARJORAMBAY_COORDINATION_TOKEN_BUCKET_H
#define MARJORAMBAY_COORDINATION_TOKEN_BUCKET_H

#include "marjorambay/state/time.h"

#include <algorithm>

namespace marjorambay {

class TokenBucket {
public:
  TokenBucket(double PerSecond, double Burst)
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst) {}

  /// Takes one token; returns false if none is available at \p Now.
  bool tryAcquire(TimePoint Now) {
    refill(Now);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

  /// Takes one token even if none is available; the balance then becomes
  /// negative.
  void borrow(TimePoint Now) {
    refill(Now);
    Tokens -= 1;
  }

  /// Returns when the next token is available.
  TimePoint readyAt(TimePoint Now) {
    refill(Now);
    return Tokens >= 1 ? Now : Now + fromSeconds((1 - Tokens) / PerSecond);
  }

private:
  void refill(TimePoint Now) {
    if (Now <= RefilledAt)
      return;
    Tokens = std::min(Burst, Tokens + toSeconds(Now - RefilledAt) * PerSecond);
    RefilledAt = Now;
  }

  double PerSecond;
  double Burst;
  double Tokens;
  TimePoint RefilledAt{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TOKEN_BUCKET_H
