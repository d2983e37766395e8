/// Limit and number of descriptors.
#include "marjorambay/transport/descriptors.h"

#include <algorithm>
#include <filesystem>
#include <sys/resource.h>

namespace marjorambay {

std::size_t descriptorLimit() {
  rlimit Limit{};
  return getrlimit(RLIMIT_NOFILE, &Limit) == 0 ? Limit.rlim_cur : 0;
}

std::size_t openDescriptors() {
  std::error_code Failure;
  std::filesystem::directory_iterator Entry("/proc/self/fd", Failure);
  std::size_t Count = 0;
  // The operator ++ of the iterator throws.
  for (; !Failure && Entry != end(Entry); Entry.increment(Failure))
    ++Count;
  return Count == 0 ? 0 : Count - 1; // one belongs to the directory itself
}

} // namespace marjorambay
