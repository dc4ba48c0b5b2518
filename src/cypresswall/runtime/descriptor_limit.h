/// Limit of this process's open files and sockets.
#pragma once

#include <cstddef>

namespace cypresswall::runtime {

/// \return how many descriptors this process may have open
std::size_t maximumDescriptors();

}  // namespace cypresswall::runtime
