/// The daemon's monotonic clock.
#pragma once

#include "cypresswall/common/time.h"

namespace cypresswall::runtime {

/// Reads CLOCK_BOOTTIME, which also runs while the machine is suspended: a lease must lapse on a
/// suspended holder too.
class AsioClock final : public common::Clock {
 public:
  common::MonotonicTime now() const override;
};

}  // namespace cypresswall::runtime
