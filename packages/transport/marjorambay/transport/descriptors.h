/// Descriptors of this process.
#ifndef MARJORAMBAY_TRANSPORT_DESCRIPTORS_H
#define MARJORAMBAY_TRANSPORT_DESCRIPTORS_H

#include <cstddef>

namespace marjorambay {

/// Returns how many descriptors the system lets this process open; raises its
/// soft limit to \p Wanted before, as far as the system permits.
std::size_t descriptorLimit(std::size_t Wanted = 0);
/// Returns the number of open descriptors; 0 if the system does not tell.
std::size_t openDescriptors();

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_DESCRIPTORS_H
