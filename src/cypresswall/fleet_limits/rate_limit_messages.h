/// Messages by which the nodes of a zone enforce the rate limits that servers announce.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"

namespace cypresswall::fleet_limits {

/// A server's limit as known to the sender.
struct RateLimitRecord {
  std::string server;
  std::uint64_t version = 0;
  bool active = false;
  /// Requests per second; meaningful only if `active`.
  double requests_per_second = 0;
  /// Time since a response last confirmed this state.
  std::uint32_t age_milliseconds = 0;
  MSGPACK_DEFINE(server, version, active, requests_per_second, age_milliseconds)
};

/// Sent at once when a limit is new, changed or over, and periodically for anti-entropy.
struct RateLimitUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 0);
  std::vector<RateLimitRecord> limits;
  MSGPACK_DEFINE(limits)
};

/// Requests all limits known to the receiver, which replies with one or more RateLimitUpdate
/// messages.
struct RateLimitSyncRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 3);
  MSGPACK_DEFINE()
};

/// Asks a server's keeper for a permit to send one request.
struct PermitRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 1);
  std::uint64_t request_id = 0;
  /// The limit as known to the sender, since the keeper may not know it yet.
  RateLimitRecord limit;
  MSGPACK_DEFINE(request_id, limit)
};

struct PermitAnswer {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 2);
  std::uint64_t request_id = 0;
  bool granted = false;
  /// Time until the next permit is available; zero if granted.
  std::uint32_t wait_milliseconds = 0;
  MSGPACK_DEFINE(request_id, granted, wait_milliseconds)
};

}  // namespace cypresswall::fleet_limits
