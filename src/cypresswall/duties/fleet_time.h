/// The time of day as the fleet agrees on it.
#pragma once

#include <functional>

#include "cypresswall/common/time.h"

namespace cypresswall::duties {

/// Time of day since the start of 1970. Read once and then carried on by the steady clock, so that
/// a time of day that jumps on one machine doesn't move its windows; corrected by what collectors
/// of counts see of the other nodes' times.
class FleetTime {
 public:
  FleetTime(const common::Clock& clock, const common::TimeOfDay& time_of_day)
      : clock_(clock), offset_(time_of_day() - clock.now().time_since_epoch()) {}

  common::Duration now() const { return clock_.now().time_since_epoch() + offset_; }
  /// \param ahead how far this node's time is before the fleet's; negative if it lags
  void correct(common::Duration ahead) { offset_ -= ahead; }

 private:
  const common::Clock& clock_;
  common::Duration offset_;
};

}  // namespace cypresswall::duties
