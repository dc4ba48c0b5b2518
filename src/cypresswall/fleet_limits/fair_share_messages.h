/// Messages by which the nodes of a zone divide scarce engines and back ends among tenants.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"

namespace cypresswall::fleet_limits {

/// What one tenant asked of the sender in one urgency class since the sender's last report.
struct TenantDemand {
  common::TenantName tenant;
  std::uint8_t urgency = 0;
  std::uint32_t requests = 0;
  /// In the unit of the pool: tokens for a model, requests for a plain service.
  double cost = 0;
  /// The tenant's weight in the configuration in force at the sender.
  double weight = 1;
  MSGPACK_DEFINE(tenant, urgency, requests, cost, weight)
};

/// What became of the requests of one urgency class since the sender's last report.
struct ClassOutcomes {
  std::uint8_t urgency = 0;
  /// Cost of all requests, those included that were refused.
  double asked = 0;
  /// Cost of what load shedding by urgency would have admitted.
  double unshed = 0;
  double admitted = 0;
  /// Attempts that an engine or back end had room for, and those that found none.
  std::uint32_t placed = 0;
  std::uint32_t refused = 0;
  /// Answers received, and those among them that took much longer than without a queue. Counted
  /// only for plain services, where each request costs 1.
  std::uint32_t answered = 0;
  std::uint32_t delayed = 0;
  MSGPACK_DEFINE(urgency, asked, unshed, admitted, placed, refused, answered, delayed)
};

/// Sent to the keeper of a pool, only while the pool is short of room.
struct DemandReport {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 20);
  std::string pool;
  /// True if more urgent classes take their room before less urgent ones; false if each class has
  /// the room that load shedding by urgency leaves it.
  bool urgent_first = false;
  /// True if the sender met a shortage itself since its last report.
  bool met_shortage = false;
  std::vector<ClassOutcomes> classes;
  std::vector<TenantDemand> tenants;
  MSGPACK_DEFINE(pool, urgent_first, met_shortage, classes, tenants)
};

/// The fraction of its requests that a tenant above its share may send.
struct TenantShare {
  common::TenantName tenant;
  std::uint8_t urgency = 0;
  double fraction = 1;
  MSGPACK_DEFINE(tenant, urgency, fraction)
};

/// The state of one urgency class of a pool that is short of room.
struct ClassShare {
  std::uint8_t urgency = 0;
  /// True if the class is short of room; tenants that PoolShares does not name are then within
  /// their share.
  bool limited = false;
  /// True if nothing is left for the class.
  bool exhausted = false;
  MSGPACK_DEFINE(urgency, limited, exhausted)
};

/// Told by the keeper to all nodes. In a large zone each node forwards it once.
struct PoolShares {
  static constexpr auto kType = api::messageType(api::MessageType::kFleetLimitsFirst, 21);
  std::string pool;
  common::NodeId keeper;
  /// Increases with each message of a keeper.
  std::uint64_t round = 0;
  /// False in the last message of a keeper about a shortage that is over.
  bool active = true;
  std::vector<ClassShare> classes;
  std::vector<TenantShare> tenants;
  MSGPACK_DEFINE(pool, keeper, round, active, classes, tenants)
};

}  // namespace cypresswall::fleet_limits
