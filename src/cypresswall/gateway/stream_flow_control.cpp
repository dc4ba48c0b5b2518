#include "cypresswall/gateway/stream_flow_control.h"

#include <utility>

namespace cypresswall::gateway {

StreamFlowControl::StreamFlowControl(GatewayContext& context, const GatewaySettings& settings,
                                     GatewayCounters& counters, http::Responder& responder,
                                     std::function<void()> on_stalled)
    : context_(context),
      settings_(settings),
      counters_(counters),
      responder_(responder),
      on_stalled_(std::move(on_stalled)) {}

StreamFlowControl::~StreamFlowControl() { stop(); }

void StreamFlowControl::onWritten(execution::ModelExecution& execution) {
  if (paused_ || responder_.pendingBytes() <= settings_.pause_above_bytes) {
    return;
  }
  paused_ = true;
  counters_.pauses.add();
  execution.pause();
  stall_timer_ = context_.scheduler.schedule(settings_.stalled_reader_timeout, [this] {
    stall_timer_ = 0;
    counters_.stalled_readers.add();
    on_stalled_();
  });
}

void StreamFlowControl::onDrained(execution::ModelExecution& execution) {
  if (!paused_ || responder_.pendingBytes() > settings_.resume_below_bytes) {
    return;
  }
  paused_ = false;
  stop();
  execution.resume();
}

void StreamFlowControl::stop() {
  if (stall_timer_ != 0) {
    context_.scheduler.cancel(std::exchange(stall_timer_, 0));
  }
}

}  // namespace cypresswall::gateway
