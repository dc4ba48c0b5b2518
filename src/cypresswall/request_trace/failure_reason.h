/// Classifies the reasons that nodes log when a request or an attempt fails.
#pragma once

#include <string_view>

namespace cypresswall::request_trace {

enum class FailureReason {
  kNoEngineAvailable,
  kNoEngineWithinLimits,
  kShed,
  kNodePaused,
  kDeadlineExceeded,
  kFirstTokenTooLate,
  kBackendTimeout,
  kUnreachable,
  kConnectionLost,
  kEventsOutOfOrder,
  kClientDisconnected,
  kOther,
};

/// \param reason the text from the log
FailureReason failureReasonOf(std::string_view reason);

}  // namespace cypresswall::request_trace
