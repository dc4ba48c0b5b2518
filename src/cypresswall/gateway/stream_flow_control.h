/// Back-pressure for a stream: pauses the execution while too many bytes are queued for the caller,
/// resumes it once enough of them are sent, and reports a caller that reads too slowly for too
/// long.
#pragma once

#include <functional>
#include <memory>

#include "cypresswall/execution/model_executor.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

class StreamFlowControl {
 public:
  /// All references must outlive the object.
  /// \param on_stalled called once if a pause lasts for GatewaySettings::stalled_reader_timeout
  StreamFlowControl(GatewayContext& context, const GatewaySettings& settings,
                    GatewayCounters& counters, http::Responder& responder,
                    std::function<void()> on_stalled);
  ~StreamFlowControl();
  StreamFlowControl(const StreamFlowControl&) = delete;
  StreamFlowControl& operator=(const StreamFlowControl&) = delete;

  /// Called after each write to the caller; pauses `execution` if more than
  /// GatewaySettings::pause_above_bytes are queued.
  void onWritten(execution::ModelExecution& execution);
  /// Called when the socket accepted queued bytes; resumes a paused `execution` if no more than
  /// GatewaySettings::resume_below_bytes are left.
  void onDrained(execution::ModelExecution& execution);
  /// Cancels the stall timer; `on_stalled` is not called afterwards.
  void stop();

 private:
  GatewayContext& context_;
  const GatewaySettings& settings_;
  GatewayCounters& counters_;
  http::Responder& responder_;
  std::function<void()> on_stalled_;
  bool paused_ = false;
  common::TimerId stall_timer_ = 0;
};

}  // namespace cypresswall::gateway
