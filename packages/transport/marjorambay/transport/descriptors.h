/// Descriptors of this process.
#ifndef MARJORAMBAY_TRANSPORT_DESCRIPTORS_H
#define MARJORAMBAY_TRANSPORT_DESCRIPTORS_H

#include <cstddef>

namespace marjorambay {

/// Returns how many descriptors the system lets this process open; 0 if it does
/// not tell.
std::size_t descriptorLimit();
/// Returns the number of open descriptors; 0 if the system does not tell.
std::size_t openDescriptors();

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_DESCRIPTORS_H
