#include "cypresswall/execution/stall_detector.h"

#include <algorithm>
#include <utility>

namespace cypresswall::execution {

StallDetector::StallDetector(const common::Clock& clock, common::Scheduler& scheduler,
                             common::Duration pause_detection)
    : clock_(clock), scheduler_(scheduler), pause_detection_(pause_detection) {}

void StallDetector::start(Limits limits, std::function<void(bool)> on_stall) {
  stop();
  limits_ = limits;
  on_stall_ = std::move(on_stall);
  last_progress_ = clock_.now();
  arm(limits_.soft);
}

void StallDetector::progress(common::MonotonicTime now, Limits limits) {
  limits_ = limits;
  progress(now);
}

void StallDetector::stop() {
  if (timer_ != 0) {
    scheduler_.cancel(std::exchange(timer_, 0));
  }
}

void StallDetector::arm(common::Duration delay) {
  due_ = clock_.now() + delay;
  timer_ = scheduler_.schedule(delay, [this] { onTimer(); });
}

void StallDetector::onTimer() {
  timer_ = 0;
  const auto now = clock_.now();
  if (now - due_ > pause_detection_) {
    last_progress_ = now;
  }
  const auto idle = now - last_progress_;
  if (idle < limits_.soft) {
    arm(limits_.soft - idle);
    return;
  }
  const bool hard_limit_exceeded = idle >= limits_.hard;
  if (!hard_limit_exceeded) {
    arm(std::min(limits_.soft, limits_.hard - idle));
  }
  const auto on_stall = on_stall_;
  on_stall(hard_limit_exceeded);
}

}  // namespace cypresswall::execution
