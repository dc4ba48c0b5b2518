/// Messages between the nodes that count usage and the collectors, and among the collectors.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

/// Number of requests of each tenant that one node has counted in one window so far.
struct WindowCounts {
  std::uint64_t window = 0;
  std::map<common::TenantName, std::uint64_t> counts;
  MSGPACK_DEFINE(window, counts)
};

/// Usage counts of one node, sent to each collector. Counts are cumulative from the beginning of
/// their window, so that duplicate messages are harmless.
struct UsageUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 0);
  /// The node that counted the requests. Not the sender if a collector forwards the counts of
  /// another node, which may have ended, to a new collector.
  common::NodeId node;
  /// Sequence number of the message among those from `node` to this collector, starting at 1; zero
  /// in messages that another collector forwards.
  std::uint64_t sequence = 0;
  /// True if `windows` contains all windows that the node retains; false if it contains only those
  /// that changed since the node's last message.
  bool complete = false;
  /// The node's counts of all windows up to and including this number are final.
  std::uint64_t closed_through = 0;
  /// The node's time (FleetTime) when it sent the message, in microseconds since the Unix epoch;
  /// zero in forwarded messages.
  std::int64_t time = 0;
  std::vector<WindowCounts> windows;
  MSGPACK_DEFINE(node, sequence, complete, closed_through, time, windows)
};

/// Asks a node to include all windows that it retains in its next UsageUpdate. Sent by a collector
/// that missed a UsageUpdate from the node, or has not received a complete one yet.
struct UsageResyncRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 1);
  std::uint64_t last_sequence = 0;
  MSGPACK_DEFINE(last_sequence)
};

/// Sent by the first collector to a node whose time must be corrected. `clock_offset` is how far
/// the node's time is ahead of the fleet's time, in microseconds; negative if it is behind.
struct ClockCorrection {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 2);
  std::int64_t clock_offset = 0;
  MSGPACK_DEFINE(clock_offset)
};

/// Sent to all collectors: the reports of all windows up to and including `window` are completed
/// (accepted or rejected as malformed by the platform, or given up as too old), so that collectors
/// may discard the counts.
struct UsageReportedThrough {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 3);
  std::uint64_t window = 0;
  MSGPACK_DEFINE(window)
};

/// The counts that a lease holder is about to report for a window.
struct UsageReportCopy {
  /// Fencing token of the lease holder.
  std::uint32_t token = 0;
  /// Increases each time that the lease holder decides on counts for a window.
  std::uint64_t attempt = 0;
  WindowCounts report;
  MSGPACK_DEFINE(token, attempt, report)
};

/// Sent by the lease holder to the other collectors before it reports a window, and by each
/// collector to new ones.
struct UsageReportCopies {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 4);
  /// The sender waits for a UsageReportCopiesStored.
  bool confirm = false;
  /// The sender has a copy of each report of the windows after this one.
  std::uint64_t complete_after = 0;
  std::vector<UsageReportCopy> copies;
  MSGPACK_DEFINE(confirm, complete_after, copies)
};

/// Tells the lease holder which of its copies a collector has stored.
struct UsageReportCopiesStored {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 5);
  std::uint32_t token = 0;
  std::vector<std::uint64_t> attempts;
  MSGPACK_DEFINE(token, attempts)
};

}  // namespace cypresswall::duties
