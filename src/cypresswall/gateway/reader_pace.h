/// Keeps a stream at the pace of its caller: the engine's stream stops while the caller has too
/// many bytes unread, goes on when it has read them, and is given up if the caller reads nothing.
#pragma once

#include <functional>
#include <memory>

#include "cypresswall/execution/model_executor.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/http/server.h"

namespace cypresswall::gateway {

class ReaderPace {
 public:
  /// All references must outlive the object.
  /// \param stuck called once if the caller reads nothing for GatewaySettings::stuck_reader_limit
  ReaderPace(GatewayContext& context, const GatewaySettings& settings, GatewayCounters& counters,
             http::Responder& responder, std::function<void()> stuck);
  ~ReaderPace();
  ReaderPace(const ReaderPace&) = delete;
  ReaderPace& operator=(const ReaderPace&) = delete;

  /// Called after each write to the caller; may pause `execution`.
  void written(execution::ModelExecution& execution);
  /// Called when the caller took bytes; may resume `execution`.
  void drained(execution::ModelExecution& execution);
  /// Ends the wait for the caller; nothing is called any more.
  void stop();

 private:
  GatewayContext& context_;
  const GatewaySettings& settings_;
  GatewayCounters& counters_;
  http::Responder& responder_;
  std::function<void()> stuck_;
  bool paused_ = false;
  common::TimerId stuck_timer_ = 0;
};

}  // namespace cypresswall::gateway
