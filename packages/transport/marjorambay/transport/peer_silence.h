/// Tells a peer that no longer responds from one that reads slowly.
///
/// While a peer's receive window is closed, the kernel sends probes, which a
/// peer that lives acknowledges: the longer the window is closed, the rarer
/// they are. A time-out of the kernel on unacknowledged data counts that time
/// too, so that it ends connections of peers that only read slowly.
#ifndef MARJORAMBAY_TRANSPORT_PEER_SILENCE_H
#define MARJORAMBAY_TRANSPORT_PEER_SILENCE_H

#include "marjorambay/state/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marjorambay {

/// What a system tells of the acknowledgements of a connection.
struct AcknowledgementSignals {
  /// Bytes were sent more than once, or a probe was sent, since the peer's last
  /// acknowledgement.
  bool Unanswered = false;
  Duration SinceLast{}; ///< since the peer's last acknowledgement
};

/// What the system knows of a connection now; nullopt where it does not tell.
struct PeerSignals {
  std::optional<AcknowledgementSignals> Acknowledgements{};
  /// Bytes that the connection has accepted and the peer has not acknowledged.
  std::optional<std::uint64_t> Unacknowledged{};
};

/// For how long a peer has acknowledged nothing, at least.
struct SilentTime {
  Duration Time{};
  /// The system does not tell a peer that is gone from one that reads nothing.
  bool MayBeAlive = false;
};

/// Is told the signals of one connection again and again.
class PeerSilence {
public:
  /// \p AcceptedBytes: what the connection has accepted in all.
  SilentTime observe(const PeerSignals &Signals, std::uint64_t AcceptedBytes,
                     TimePoint Now) {
    if (Signals.Acknowledgements)
      return {observeAcknowledgements(*Signals.Acknowledgements, Now), false};
    if (Signals.Unacknowledged)
      return {observeProgress(*Signals.Unacknowledged, AcceptedBytes, Now),
              true};
    return {Duration(0), true};
  }

private:
  Duration observeAcknowledgements(const AcknowledgementSignals &Signals,
                                   TimePoint Now) {
    if (!Signals.Unanswered) {
      Since.reset();
      return Duration(0);
    }
    // An acknowledgement since the last observation starts the time anew.
    const TimePoint AcknowledgedAt = Now - Signals.SinceLast;
    if (!Since || AcknowledgedAt > *Since)
      Since = Now;
    return Now - *Since;
  }

  Duration observeProgress(std::uint64_t Unacknowledged,
                           std::uint64_t AcceptedBytes, TimePoint Now) {
    if (Unacknowledged == 0) {
      Since.reset();
      return Duration(0);
    }
    // The end of the stream may count as a byte.
    const std::uint64_t Acknowledged =
        AcceptedBytes - std::min(AcceptedBytes, Unacknowledged);
    if (!Since || Acknowledged > LastAcknowledged) {
      Since = Now;
      LastAcknowledged = Acknowledged;
    }
    return Now - *Since;
  }

  std::optional<TimePoint> Since{}; ///< first seen without an answer
  std::uint64_t LastAcknowledged = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_PEER_SILENCE_H
