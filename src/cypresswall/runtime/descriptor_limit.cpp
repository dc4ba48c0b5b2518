#include "cypresswall/runtime/descriptor_limit.h"

#include <sys/resource.h>

#include <limits>

namespace cypresswall::runtime {

std::size_t maximumDescriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur;
}

}  // namespace cypresswall::runtime
