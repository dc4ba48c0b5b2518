/// This node's estimate of the fleet's common wall-clock time, from which the usage windows are
/// derived.
#pragma once

#include <functional>

#include "cypresswall/common/time.h"

namespace cypresswall::duties {

/// Reads the machine's wall clock once and then advances by the steady clock, so that a jump of the
/// wall clock does not shift the node's usage windows. The first collector compares the times of
/// all nodes and corrects nodes that deviate (see ClockCorrection).
class FleetTime {
 public:
  FleetTime(const common::Clock& clock, const common::TimeOfDay& time_of_day)
      : clock_(clock), offset_(time_of_day() - clock.now().time_since_epoch()) {}

  common::Duration now() const { return clock_.now().time_since_epoch() + offset_; }
  /// \param ahead how far this node's time is ahead of the fleet's time; negative if it is behind
  void correct(common::Duration ahead) { offset_ -= ahead; }

 private:
  const common::Clock& clock_;
  common::Duration offset_;
};

}  // namespace cypresswall::duties
