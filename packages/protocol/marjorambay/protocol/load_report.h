/// The load report of a model engine, GET /load.
#ifndef MARJORAMBAY_PROTOCOL_LOAD_REPORT_H
#define MARJORAMBAY_PROTOCOL_LOAD_REPORT_H

#include "marjorambay/state/error.h"
#include "marjorambay/state/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambay {

struct LoadReport {
  WallTime Written{}; ///< engine's clock; may be seconds old
  std::uint32_t RequestsInFlight = 0;
  std::uint32_t TokensInFlight = 0;
  std::uint32_t CacheTokensFree = 0;
  std::vector<std::string> Versions{}; ///< loaded versions
  IncarnationId Incarnation{};
  bool Leaving = false;
};

Result<LoadReport> parseLoadReport(std::string_view Json);

} // namespace marjorambay

#endif // MARJORAMBAY_PROTOCOL_LOAD_REPORT_H
