/// Detects streams that make no progress. The timer is restarted only when it fires, not at each
/// token, so that tokens cost no timer operations.
#pragma once

#include <functional>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// Monitors the stream of one attempt. If the timer fires late, this process was paused or starved
/// of CPU and received data may still be unread; the detector then restarts the interval without
/// progress instead of reporting a stall.
class StallDetector {
 public:
  struct Limits {
    /// Time without progress after which the attempt is abandoned if a retry is possible.
    common::Duration soft{0};
    /// Time without progress after which the attempt is abandoned unconditionally.
    common::Duration hard{0};
  };

  /// \param pause_detection lateness of the timer above which this process is considered to have
  ///   been paused
  StallDetector(const common::Clock& clock, common::Scheduler& scheduler,
                common::Duration pause_detection);
  ~StallDetector() { stop(); }
  StallDetector(const StallDetector&) = delete;
  StallDetector& operator=(const StallDetector&) = delete;

  /// \param on_stall called with false each time the soft limit elapses without progress, and with
  ///   true once the hard limit has elapsed without progress; may stop or restart the detector
  void start(Limits limits, std::function<void(bool hard_limit_exceeded)> on_stall);
  /// Records progress at `now` and replaces the limits. The timer that is already running is not
  /// changed, so that a new, shorter limit may be noticed late.
  void progress(common::MonotonicTime now, Limits limits);
  void progress(common::MonotonicTime now) { last_progress_ = now; }
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
