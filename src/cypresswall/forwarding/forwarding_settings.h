/// Settings of forwarding.
#pragma once

#include <chrono>
#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::forwarding {

struct ForwardingSettings {
  /// False: a node that reaches no server rejects its callers' requests. It still serves requests
  /// that other nodes forward to it.
  bool enabled = true;
  /// Time within which a receiver must acknowledge a request: some hundred times the response time
  /// between nodes of one region.
  common::Duration acknowledgement_limit = std::chrono::milliseconds(200);
  /// For this long after a receiver did not acknowledge a request, others are preferred. The
  /// failure of a node is detected only after 2.5 s.
  common::Duration unresponsive_time = std::chrono::seconds(1);
  /// Number of receivers to which one request is sent at most, one after the other.
  std::size_t maximum_receivers = 3;
  /// Number of requests of other nodes that a node serves at the same time; it rejects more.
  std::size_t maximum_served = 512;
  /// A request with a longer body is not forwarded: it would hold up the other messages of the
  /// connection between the nodes.
  std::size_t maximum_body_bytes = 1U << 20;
  /// A node whose caller has a time limit waits this much longer for the receiver's final answer.
  common::Duration answer_slack = std::chrono::milliseconds(100);
  /// Time for which a missing part of an answer is awaited after a later part has arrived.
  common::Duration part_limit = std::chrono::milliseconds(500);
  /// Interval at which the sender of a request checks that the receiver still executes it.
  common::Duration check_interval = std::chrono::milliseconds(500);
  /// A receiver from which nothing was heard for this long counts as lost; a receiver cancels a
  /// request whose sender did not check it for this long.
  common::Duration silence_limit = std::chrono::seconds(3);
  /// Retry-After of a request that no node could execute. Links to servers fail for seconds.
  common::Duration retry_after = std::chrono::seconds(1);
};

}  // namespace cypresswall::forwarding
