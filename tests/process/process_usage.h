/// What a running process takes from its machine.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace cypresswall::testing {

/// \return the largest resident memory so far, in bytes; zero if the process has ended
std::size_t peakResidentBytes(pid_t process);
/// \return the number of open descriptors; zero if the process has ended
std::size_t openDescriptors(pid_t process);

/// \return the bytes that have arrived on the process's TCP connections over IPv4 and that it has
///   not read
std::size_t unreadBytes(pid_t process);

}  // namespace cypresswall::testing
