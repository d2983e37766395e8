/// Signals of connections, by TCP_INFO and SIOCOUTQ.
#include "marjorambay/transport/socket_signals.h"

#include "marjorambay/transport/log.h"

#include <cstddef>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace marjorambay {

namespace {

/// Reads without a time above 0 after which the system counts as one that does
/// not tell; in the log only.
constexpr int MaxReadsBeforeLog = 40;

std::optional<AcknowledgementSignals> readAcknowledgements(int Descriptor) {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  constexpr std::size_t NeededBytes =
      offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(Info.tcpi_last_ack_recv);
  if (getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0 ||
      Size < NeededBytes)
    return std::nullopt;
  return AcknowledgementSignals{Info.tcpi_retransmits != 0 ||
                                    Info.tcpi_probes != 0,
                                milliseconds(Info.tcpi_last_ack_recv)};
}

std::optional<std::uint64_t> readUnacknowledged(int Descriptor) {
  int Bytes = 0;
  if (ioctl(Descriptor, SIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return std::nullopt;
  return static_cast<std::uint64_t>(Bytes);
}

} // namespace

PeerSignals readSystemSignals(int Descriptor) {
  return {readAcknowledgements(Descriptor), readUnacknowledged(Descriptor)};
}

PeerSignals SocketSignals::read(int Descriptor) {
  PeerSignals Signals = Source(Descriptor);
  if (Signals.Acknowledgements &&
      Signals.Acknowledgements->SinceLast > Duration(0))
    TellsAcknowledgements = true;
  logOnce(Signals);
  if (!TellsAcknowledgements)
    Signals.Acknowledgements.reset();
  return Signals;
}

void SocketSignals::logOnce(const PeerSignals &Signals) {
  if (Logged || (!TellsAcknowledgements && ++Reads < MaxReadsBeforeLog))
    return;
  Logged = true;
  const std::string_view Acknowledgements = TellsAcknowledgements ? "told"
                                            : Signals.Acknowledgements
                                                ? "zeros"
                                                : "not_told";
  LogLine("socket_signals",
          TellsAcknowledgements ? LogLevel::Info : LogLevel::Warning)
      .with("acknowledgements", Acknowledgements)
      .with("unacknowledged_bytes",
            Signals.Unacknowledged ? "told" : "not_told");
}

} // namespace marjorambay
