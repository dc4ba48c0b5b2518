/// Memory of the machine that this process runs on.
#pragma once

#include <cstddef>

namespace cypresswall::runtime {

/// \return the size of the machine's memory in bytes, as the system tells it
std::size_t machineMemoryBytes();

}  // namespace cypresswall::runtime
