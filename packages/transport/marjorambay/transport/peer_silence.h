/// Tells a peer that no longer responds from one that reads slowly.
///
/// While a peer's receive window is closed, the kernel sends probes, which a
/// peer that lives acknowledges: the longer the window is closed, the rarer
/// they are. A time-out of the kernel on unacknowledged data counts that time
/// too, so that it ends connections of peers that only read slowly.
#ifndef MARJORAMBAY_TRANSPORT_PEER_SILENCE_H
#define MARJORAMBAY_TRANSPORT_PEER_SILENCE_H

#include "marjorambay/state/time.h"

#include <optional>

namespace marjorambay {

/// What the kernel knows of a connection now.
struct PeerSignals {
  /// Bytes were sent more than once, or a probe was sent, since the peer's last
  /// acknowledgement.
  bool Unanswered = false;
  Duration SinceAcknowledged{};
};

/// Is told the signals of one connection again and again.
class PeerSilence {
public:
  /// Returns for how long the peer has been silent, at least.
  Duration observe(const PeerSignals &Signals, TimePoint Now) {
    if (!Signals.Unanswered) {
      Since.reset();
      return Duration(0);
    }
    // An acknowledgement since the last observation starts the time anew.
    const TimePoint AcknowledgedAt = Now - Signals.SinceAcknowledged;
    if (!Since || AcknowledgedAt > *Since)
      Since = Now;
    return Now - *Since;
  }

private:
  std::optional<TimePoint> Since{}; ///< first seen without an answer
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_PEER_SILENCE_H
