/// Rate limit: tokens that refill with time, up to a burst.
#ifndef MARJORAMBAY_COORDINATION_TOKEN_BUCKET_H
#define MARJORAMBAY_COORDINATION_TOKEN_BUCKET_H

#include "marjorambay/state/time.h"

#include <algorithm>

namespace marjorambay {

class TokenBucket {
public:
  TokenBucket(double PerSecond, double Burst)
      : PerSecond(PerSecond), Burst(Burst), Left(Burst) {}

  /// Takes one token; false when there is none at \p Now.
  bool take(TimePoint Now) {
    refill(Now);
    if (Left < 1)
      return false;
    Left -= 1;
    return true;
  }

  /// Takes one token that may be borrowed from the time to come.
  void borrow(TimePoint Now) {
    refill(Now);
    Left -= 1;
  }

  /// When the next token is there.
  TimePoint readyAt(TimePoint Now) {
    refill(Now);
    return Left >= 1 ? Now : Now + fromSeconds((1 - Left) / PerSecond);
  }

private:
  void refill(TimePoint Now) {
    if (Now <= At)
      return;
    Left = std::min(Burst, Left + toSeconds(Now - At) * PerSecond);
    At = Now;
  }

  double PerSecond;
  double Burst;
  double Left;
  TimePoint At{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_TOKEN_BUCKET_H
