/// Messages by which the nodes of a zone keep the limits on requests that servers name.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"

namespace cypresswall::fleet_limits {

/// What a node knows of one server's limit.
struct RateLimitRecord {
  std::string server;
  std::uint64_t version = 0;
  bool active = false;
  /// Requests a second; means nothing unless the limit stands.
  double requests_per_second = 0;
  /// Since an answer last said so.
  std::uint32_t age_milliseconds = 0;
  MSGPACK_DEFINE(server, version, active, requests_per_second, age_milliseconds)
};

/// Told to others at once when a limit is new, changed or over, and repeated to a few now and then.
struct RateLimitUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 0);
  std::vector<RateLimitRecord> limits;
  MSGPACK_DEFINE(limits)
};

/// Asks for all that the receiver knows, which answers with RateLimitNews.
struct RateLimitSyncRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 3);
  MSGPACK_DEFINE()
};

/// Asks the node that keeps a server's account for a permit to send one request.
struct PermitRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 1);
  std::uint64_t request_id = 0;
  /// As the asking node knows it: the other one may not have heard of it.
  RateLimitRecord limit;
  MSGPACK_DEFINE(request_id, limit)
};

struct PermitAnswer {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 2);
  std::uint64_t request_id = 0;
  bool granted = false;
  /// Until there is a permit again; zero if granted.
  std::uint32_t wait_milliseconds = 0;
  MSGPACK_DEFINE(request_id, granted, wait_milliseconds)
};

}  // namespace cypresswall::fleet_limits
