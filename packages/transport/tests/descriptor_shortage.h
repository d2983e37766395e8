/// Lack of descriptors for tests.
#ifndef MARJORAMBAY_TRANSPORT_TESTS_DESCRIPTOR_SHORTAGE_H
#define MARJORAMBAY_TRANSPORT_TESTS_DESCRIPTOR_SHORTAGE_H

#include <doctest/doctest.h>

#include <sys/resource.h>
#include <unistd.h>

namespace marjorambay {

/// Takes all descriptors of the process while it exists.
class DescriptorShortage {
public:
  DescriptorShortage() {
    getrlimit(RLIMIT_NOFILE, &Before);
    const int Next = dup(0);
    ::close(Next);
    // Descriptors above the limit stay open, but no new one is given out.
    const rlimit None{static_cast<rlim_t>(Next), Before.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &None) == 0);
  }
  ~DescriptorShortage() { setrlimit(RLIMIT_NOFILE, &Before); }
  DescriptorShortage(const DescriptorShortage &) = delete;
  DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
  rlimit Before{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_TESTS_DESCRIPTOR_SHORTAGE_H
