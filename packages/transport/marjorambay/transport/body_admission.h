/// Decides when CallerServer reads the bodies of requests.
#ifndef MARJORAMBAY_TRANSPORT_BODY_ADMISSION_H
#define MARJORAMBAY_TRANSPORT_BODY_ADMISSION_H

#include "marjorambay/transport/http1.h"

#include <cstddef>
#include <cstdint>

namespace marjorambay {

/// One body while any part of it is held.
enum class CallerBodyId : std::uint64_t {};

enum class BodyAdmissionResult : std::uint8_t {
  Admitted,
  Waiting, ///< CallerServer::admitBody() or refuseBody() follows
  Refused,
};

/// Must outlive the server and all bodies that it has handed out.
class BodyAdmission {
public:
  virtual ~BodyAdmission() = default;
  /// Asks for memory for a body of \p Bytes in all. Called once more for a body
  /// of unknown length that grows.
  virtual BodyAdmissionResult request(CallerBodyId Id, std::size_t Bytes,
                                      const HttpHead &Head) = 0;
  /// The body is freed, or is not read.
  virtual void release(CallerBodyId Id) = 0;
  /// Why bodies are refused at present.
  virtual ErrorKind refusalReason() const = 0;
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_BODY_ADMISSION_H
