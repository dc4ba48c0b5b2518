#include "cypresswall/gateway/reader_pace.h"

#include <utility>

namespace cypresswall::gateway {

ReaderPace::ReaderPace(GatewayContext& context, const GatewaySettings& settings,
                       GatewayCounters& counters, http::Responder& responder,
                       std::function<void()> stuck)
    : context_(context),
      settings_(settings),
      counters_(counters),
      responder_(responder),
      stuck_(std::move(stuck)) {}

ReaderPace::~ReaderPace() { stop(); }

void ReaderPace::written(execution::ModelExecution& execution) {
  if (paused_ || responder_.pendingBytes() <= settings_.pause_above_bytes) {
    return;
  }
  paused_ = true;
  counters_.pauses.add();
  execution.pause();
  stuck_timer_ = context_.scheduler.schedule(settings_.stuck_reader_limit, [this] {
    stuck_timer_ = 0;
    counters_.stuck_readers.add();
    stuck_();
  });
}

void ReaderPace::drained(execution::ModelExecution& execution) {
  if (!paused_ || responder_.pendingBytes() > settings_.resume_below_bytes) {
    return;
  }
  paused_ = false;
  stop();
  execution.resume();
}

void ReaderPace::stop() {
  if (stuck_timer_ != 0) {
    context_.scheduler.cancel(std::exchange(stuck_timer_, 0));
  }
}

}  // namespace cypresswall::gateway
