#include "cypresswall/execution/silence_watch.h"

#include <algorithm>
#include <utility>

namespace cypresswall::execution {

SilenceWatch::SilenceWatch(const common::Clock& clock, common::Scheduler& scheduler,
                           common::Duration pause_detection)
    : clock_(clock), scheduler_(scheduler), pause_detection_(pause_detection) {}

void SilenceWatch::start(Limits limits, std::function<void(bool)> on_silence) {
  stop();
  limits_ = limits;
  on_silence_ = std::move(on_silence);
  last_progress_ = clock_.now();
  arm(limits_.soft);
}

void SilenceWatch::progress(Limits limits) {
  limits_ = limits;
  progress();
}

void SilenceWatch::stop() {
  if (timer_ != 0) {
    scheduler_.cancel(std::exchange(timer_, 0));
  }
}

void SilenceWatch::arm(common::Duration delay) {
  due_ = clock_.now() + delay;
  timer_ = scheduler_.schedule(delay, [this] { onTimer(); });
}

void SilenceWatch::onTimer() {
  timer_ = 0;
  const auto now = clock_.now();
  if (now - due_ > pause_detection_) {
    last_progress_ = now;
  }
  const auto silent = now - last_progress_;
  if (silent < limits_.soft) {
    arm(limits_.soft - silent);
    return;
  }
  const bool beyond_hard = silent >= limits_.hard;
  if (!beyond_hard) {
    arm(std::min(limits_.soft, limits_.hard - silent));
  }
  const auto on_silence = on_silence_;
  on_silence(beyond_hard);
}

}  // namespace cypresswall::execution
