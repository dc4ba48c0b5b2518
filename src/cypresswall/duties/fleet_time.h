/// Wall-clock time as agreed by the fleet.
#pragma once

#include <functional>

#include "cypresswall/common/time.h"

namespace cypresswall::duties {

/// Time since the Unix epoch. Read once and then advanced by the steady clock, so that a jump of
/// one machine's wall clock does not shift its windows; corrected by the collectors, which compare
/// the clocks of all nodes.
class FleetTime {
 public:
  FleetTime(const common::Clock& clock, const common::TimeOfDay& time_of_day)
      : clock_(clock), offset_(time_of_day() - clock.now().time_since_epoch()) {}

  common::Duration now() const { return clock_.now().time_since_epoch() + offset_; }
  /// \param ahead how far this node's time is ahead of the fleet's; negative if it is behind
  void correct(common::Duration ahead) { offset_ -= ahead; }

 private:
  const common::Clock& clock_;
  common::Duration offset_;
};

}  // namespace cypresswall::duties
