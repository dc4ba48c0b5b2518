/// Limits that may change while a server runs.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::http {

/// Zero sets no limit.
struct RequestLimits {
  /// Target, field names and field values of a request.
  std::size_t maximum_header_bytes = 0;
  std::size_t maximum_body_bytes = 0;
  /// Time in which the head of a request must arrive, counted from its first byte.
  common::Duration header_time_limit{0};
  /// Callers may use a connection again that has rested for less than this.
  common::Duration resting_time_limit{0};
};

}  // namespace cypresswall::http
