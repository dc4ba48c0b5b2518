/// Time limit of a forwarded request, as seen by the node that took it from its caller.
#pragma once

#include <functional>
#include <utility>

#include "cypresswall/forwarding/forwarder.h"

namespace cypresswall::forwarding {

/// Counted from the arrival of the request. The receiver ends a request at its time limit; this
/// node does so a little later, in case the receiver doesn't.
class Deadline {
 public:
  /// \param time_limit zero for no limit
  Deadline(const Forwarder& forwarder, common::Duration time_limit, std::function<void()> on_passed)
      : forwarder_(forwarder),
        limited_(time_limit > common::Duration{0}),
        at_(forwarder.context().clock.now() + time_limit),
        on_passed_(std::move(on_passed)) {}
  ~Deadline() { stop(); }
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  void start() {
    if (limited_ && timer_ == 0) {
      timer_ = forwarder_.context().scheduler.schedule(left() + forwarder_.settings().answer_slack,
                                                       [this] {
                                                         timer_ = 0;
                                                         on_passed_();
                                                       });
    }
  }
  void stop() { forwarder_.context().scheduler.cancel(std::exchange(timer_, 0)); }
  /// \return the time left, at least a millisecond; zero if there is no limit
  common::Duration left() const {
    constexpr common::Duration kLeast = std::chrono::milliseconds(1);
    return limited_ ? std::max(at_ - forwarder_.context().clock.now(), kLeast)
                    : common::Duration{0};
  }

 private:
  const Forwarder& forwarder_;
  const bool limited_;
  const common::MonotonicTime at_;
  const std::function<void()> on_passed_;
  common::TimerId timer_ = 0;
};

}  // namespace cypresswall::forwarding
