/// The daemon's monotonic clock.
#pragma once

#include "cypresswall/common/time.h"

namespace cypresswall::runtime {

/// Reads CLOCK_BOOTTIME, which continues to run while the machine is suspended, so that a lease
/// also expires on a suspended holder.
class AsioClock final : public common::Clock {
 public:
  common::MonotonicTime now() const override;
};

}  // namespace cypresswall::runtime
