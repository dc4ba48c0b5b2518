/// Messages by which nodes tell what they served, and collectors what was reported.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::duties {

/// What one node served of one window so far.
struct WindowCounts {
  std::uint64_t window = 0;
  std::map<common::TenantName, std::uint64_t> counts;
  MSGPACK_DEFINE(window, counts)
};

/// Told to each collector. Counts are sums from the window's beginning, so that a message that
/// arrives twice counts once.
struct UsageTold {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 0);
  /// The node that served the requests; not the sender if a collector hands on what it holds of a
  /// node that has ended.
  common::NodeId node;
  /// Counts the messages of a node to one collector from 1.
  std::uint64_t sequence = 0;
  /// All windows that the node still knows, instead of those that changed since its last message.
  bool complete = false;
  /// The node will count nothing more in windows up to this one.
  std::uint64_t closed_through = 0;
  /// The fleet's time as the node believes it, in microseconds since 1970.
  std::int64_t time = 0;
  std::vector<WindowCounts> windows;
  MSGPACK_DEFINE(node, sequence, complete, closed_through, time, windows)
};

/// A collector lacks a message of the receiver, or knows nothing of it yet.
struct UsageAsk {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 1);
  std::uint64_t last_sequence = 0;
  MSGPACK_DEFINE(last_sequence)
};

/// The receiver's time is before the fleet's by this, in microseconds.
struct ClockCorrection {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 2);
  std::int64_t ahead = 0;
  MSGPACK_DEFINE(ahead)
};

/// The platform has taken the reports of all windows up to this one.
struct UsageSettled {
  static constexpr auto kType = api::messageType(api::MessageType::kDutiesFirst, 3);
  std::uint64_t window = 0;
  MSGPACK_DEFINE(window)
};

}  // namespace cypresswall::duties
