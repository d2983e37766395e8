/// Measures a cost at several sizes and prints the raw points as JSON lines.
///
/// Processor time is that of this process. Memory is the number of bytes that
/// operator new has handed out and not taken back, as the allocator rounds
/// them; a program that uses liveBytes() compiles live_bytes.cpp too.
#ifndef MARJORAMBAY_BENCH_SUPPORT_SLOPE_H
#define MARJORAMBAY_BENCH_SUPPORT_SLOPE_H

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string_view>
#include <vector>

namespace marjorambay::bench {

/// Bytes allocated and not freed; defined in live_bytes.cpp.
std::size_t liveBytes();

/// Processor time of this process in microseconds.
inline double processorMicros() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

/// Processor time that \p Work takes, in microseconds.
template <typename Function> double microsOf(Function &&Work) {
  const double Start = processorMicros();
  Work();
  return processorMicros() - Start;
}

/// Keeps the compiler from dropping a computation.
template <typename T> void keep(const T &Value) {
  asm volatile("" : : "r,m"(Value) : "memory");
}

/// A cost that is measured against a size.
struct Slope {
  std::string_view Name{};    ///< snake_case key of the data file
  std::string_view PerWhat{}; ///< what the size counts
  std::string_view Unit{};    ///< of the measured value
  std::vector<std::size_t> Sizes{};
  std::function<double(std::size_t)> Measure{}; ///< value at one size
};

/// Runs every slope \p Runs times at each size, and prints a line for each
/// point: {"name", "per", "unit", "size", "value"}.
inline void printPoints(const std::vector<Slope> &Slopes, int Runs) {
  for (const Slope &One : Slopes)
    for (const std::size_t Size : One.Sizes)
      for (int Run = 0; Run < Runs; ++Run)
        std::printf("{\"name\": \"%s\", \"per\": \"%s\", \"unit\": \"%s\", "
                    "\"size\": %zu, \"value\": %.6g}\n",
                    One.Name.data(), One.PerWhat.data(), One.Unit.data(), Size,
                    One.Measure(Size));
}

} // namespace marjorambay::bench

#endif // MARJORAMBAY_BENCH_SUPPORT_SLOPE_H
