/// Notices that a stream has given nothing for too long, at the cost of one timer per limit rather
/// than one per token.
#pragma once

#include <functional>

#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// Watches one attempt. A timer that itself comes late shows that this process was paused or
/// starved; answers may then wait unread, so the watch starts again instead of reporting silence.
class SilenceWatch {
 public:
  struct Limits {
    /// Silence after which the attempt is given up if that helps.
    common::Duration soft{0};
    /// Silence after which it is given up anyway.
    common::Duration hard{0};
  };

  /// \param pause_detection lateness of a timer that counts as a pause of the process
  SilenceWatch(const common::Clock& clock, common::Scheduler& scheduler,
               common::Duration pause_detection);
  ~SilenceWatch() { stop(); }
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;

  /// \param on_silence called with false after the soft limit, and again after each further one,
  ///   with true after the hard limit; it may stop or start the watch
  void start(Limits limits, std::function<void(bool beyond_hard)> on_silence);
  /// Something came: silence begins anew, with these limits.
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
  std::function<void(bool)> on_silence_;
  common::MonotonicTime last_progress_{};
  common::MonotonicTime due_{};
  common::TimerId timer_ = 0;
};

}  // namespace cypresswall::execution
