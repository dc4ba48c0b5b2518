/// Messages between the lease holder's zone controller and the nodes of the zone.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/planning/demand_counter.h"

namespace cypresswall::orders {

/// Complete drain table of one lease holder. Replaces tables of the same epoch with a lower
/// version, and all tables of a lower epoch.
struct DrainAnnouncement {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 0);

  common::Epoch epoch;
  std::uint64_t version = 0;
  std::vector<common::EngineName> engines;

  MSGPACK_DEFINE(epoch, version, engines)
};

/// Confirms that the sender no longer sends new work to the engines in the table.
struct DrainAck {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 1);

  common::Epoch epoch;
  std::uint64_t version = 0;

  MSGPACK_DEFINE(epoch, version)
};

/// Demand that callers placed on one node since its last report.
struct DemandReport {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 2);

  std::map<common::ModelName, planning::DemandCount> counts;

  MSGPACK_DEFINE(counts)
};

}  // namespace cypresswall::orders
