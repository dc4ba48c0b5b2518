/// Messages by which nodes send usage counts to collectors, and collectors confirm reports.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

/// Counts of one node for one window so far.
struct WindowCounts {
  std::uint64_t window = 0;
  std::map<common::TenantName, std::uint64_t> counts;
  MSGPACK_DEFINE(window, counts)
};

/// Sent to each collector. Counts are cumulative from the beginning of the window, so that
/// duplicate messages are harmless.
struct UsageUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 0);
  /// The node that served the requests. Differs from the sender if a collector forwards the counts
  /// of a node, which may have ended.
  common::NodeId node;
  /// Number of the message among those of the node to this collector, from 1.
  std::uint64_t sequence = 0;
  /// True if the message contains all windows that the node retains, instead of only those that
  /// changed since its last message.
  bool complete = false;
  /// The counts of windows up to this one are final.
  std::uint64_t closed_through = 0;
  /// The node's estimate of the fleet's time, in microseconds since the Unix epoch.
  std::int64_t time = 0;
  std::vector<WindowCounts> windows;
  MSGPACK_DEFINE(node, sequence, complete, closed_through, time, windows)
};

/// Sent by a collector that missed a message of the receiver, or knows none of its counts yet.
struct UsageResyncRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 1);
  std::uint64_t last_sequence = 0;
  MSGPACK_DEFINE(last_sequence)
};

/// Tells the receiver how far its time is ahead of the fleet's, in microseconds.
struct ClockCorrection {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 2);
  std::int64_t clock_offset = 0;
  MSGPACK_DEFINE(clock_offset)
};

/// The platform has accepted the reports of all windows up to this one.
struct UsageReportedThrough {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 3);
  std::uint64_t window = 0;
  MSGPACK_DEFINE(window)
};

}  // namespace cypresswall::duties
