/// Detects streams that make no progress, using one timer per limit instead of one per token.
#pragma once

#include <functional>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// Monitors one attempt. A timer that fires late shows that this process was paused or starved of
/// CPU. Received data may then still be unread, so the interval restarts instead of reporting a
/// stall.
class StallDetector {
 public:
  struct Limits {
    /// Time without progress after which the attempt is abandoned if a retry is possible.
    common::Duration soft{0};
    /// Time without progress after which the attempt is abandoned unconditionally.
    common::Duration hard{0};
  };

  /// \param pause_detection timer delay from which the process is considered to have been paused
  StallDetector(const common::Clock& clock, common::Scheduler& scheduler,
                common::Duration pause_detection);
  ~StallDetector() { stop(); }
  StallDetector(const StallDetector&) = delete;
  StallDetector& operator=(const StallDetector&) = delete;

  /// \param on_stall called with false each time the soft limit elapses and with true at the hard
  ///   limit; it may stop or restart the detector
  void start(Limits limits, std::function<void(bool hard_limit_exceeded)> on_stall);
  /// Records progress and restarts the interval with these limits.
  void progress(Limits limits);
  void progress() { last_progress_ = clock_.now(); }
  void stop();

 private:
  void arm(common::Duration delay);
  void onTimer();

  const common::Clock& clock_;
  common::Scheduler& scheduler_;
  const common::Duration pause_detection_;
  Limits limits_;
  std::function<void(bool)> on_stall_;
  common::MonotonicTime last_progress_{};
  common::MonotonicTime due_{};
  common::TimerId timer_ = 0;
};

}  // namespace cypresswall::execution
