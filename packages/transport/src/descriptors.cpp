/// Limit and number of descriptors.
#include "marjorambay/transport/descriptors.h"

#include <algorithm>
#include <filesystem>
#include <sys/resource.h>

namespace marjorambay {

std::size_t descriptorLimit(std::size_t Wanted) {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return Wanted;
  if (Limit.rlim_cur >= Wanted)
    return Limit.rlim_cur;
  rlimit Raised = Limit;
  Raised.rlim_cur = std::min<rlim_t>(Wanted, Limit.rlim_max);
  return setrlimit(RLIMIT_NOFILE, &Raised) == 0 ? Raised.rlim_cur
                                                : Limit.rlim_cur;
}

std::size_t openDescriptors() {
  std::error_code Failure;
  const std::filesystem::directory_iterator Entries("/proc/self/fd", Failure);
  if (Failure)
    return 0;
  // One of them belongs to the directory itself.
  const auto Count = std::distance(begin(Entries), end(Entries));
  return static_cast<std::size_t>(std::max<std::ptrdiff_t>(Count - 1, 0));
}

} // namespace marjorambay
