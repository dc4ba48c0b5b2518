#include "cypresswall/runtime/machine_memory.h"

#include <unistd.h>

#include <limits>

namespace cypresswall::runtime {

std::size_t machineMemoryBytes() {
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long page_bytes = ::sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  return static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
}

}  // namespace cypresswall::runtime
