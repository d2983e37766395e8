/// What the system tells of connections whose peer may be gone.
///
/// A system that filters calls, or emulates the network, may not tell when a
/// peer has last acknowledged anything (TCP_INFO), or report 0 for ever.
#ifndef MARJORAMBAY_TRANSPORT_SOCKET_SIGNALS_H
#define MARJORAMBAY_TRANSPORT_SOCKET_SIGNALS_H

#include "marjorambay/transport/peer_silence.h"

#include <concepts>
#include <functional>
#include <utility>

namespace marjorambay {

/// Reads the signals of a connection by its descriptor.
template <typename T>
concept PeerSignalSource = requires(T Source, int Descriptor) {
  { Source(Descriptor) } -> std::convertible_to<PeerSignals>;
};

/// Reads TCP_INFO and SIOCOUTQ of \p Descriptor.
PeerSignals readSystemSignals(int Descriptor);

/// The signals of all connections of an event loop.
class SocketSignals {
public:
  SocketSignals() : Source(readSystemSignals) {}
  /// Reads signals from \p Replacement instead of the system.
  void replaceSource(PeerSignalSource auto Replacement) {
    Source = std::move(Replacement);
  }

  /// Returns the signals that can be relied on. A time since the last
  /// acknowledgement counts only once one above 0 has been read, as 0 may be
  /// all that the system reports.
  PeerSignals read(int Descriptor);

private:
  void logOnce(const PeerSignals &Signals);

  std::function<PeerSignals(int)> Source;
  bool TellsAcknowledgements = false;
  int Reads = 0; ///< until the log line is written
  bool Logged = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_SOCKET_SIGNALS_H
