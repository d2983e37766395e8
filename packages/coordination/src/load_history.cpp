/// Ring buffer of past in-flight counts, searched by time.
#include "marjorambay/coordination/load_history.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {
constexpr double ReportHalfLife = 5; // seconds without a newer report
} // namespace

void LoadHistory::recordInFlight(std::uint32_t InFlight, TimePoint Now) {
  Samples[Next % Length] = {Now, InFlight};
  ++Next;
}

void LoadHistory::merge(std::uint32_t Requests, TimePoint Written) {
  if (Written <= LastWritten)
    return;
  const std::uint64_t Oldest = Next > Length ? Next - Length : 0;
  std::uint64_t At = Next;
  while (At > Oldest && Samples[(At - 1) % Length].Since > Written)
    --At;
  // Written before the history starts.
  if (At == Oldest && Oldest != 0)
    return;
  const std::uint32_t Own = At == 0 ? 0 : Samples[(At - 1) % Length].InFlight;
  Others = Requests > Own ? Requests - Own : 0;
  LastWritten = Written;
}

double LoadHistory::others(TimePoint Now) const {
  if (Others == 0)
    return 0;
  const double Age =
      std::max(0.0, toSeconds(Now - LastWritten) - ReportHalfLife);
  return Others * std::exp2(-Age / ReportHalfLife);
}

} // namespace marjorambay
