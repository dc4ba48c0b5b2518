/// Messages between the lease holder's zone controller and the nodes of the zone.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/planning/demand_counter.h"

namespace cypresswall::orders {

/// The lease holder's complete drain table: the engines to which nodes must send no new work. The
/// receiver applies the table unless it already has one of a higher epoch, or of the same epoch
/// with a higher version.
struct DrainAnnouncement {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 0);

  common::Epoch epoch;
  std::uint64_t version = 0;
  std::vector<common::EngineName> engines;

  MSGPACK_DEFINE(epoch, version, engines)
};

/// Confirms that the sender has applied the drain table with this epoch and version.
struct DrainAck {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 1);

  common::Epoch epoch;
  std::uint64_t version = 0;

  MSGPACK_DEFINE(epoch, version)
};

/// Demand of the requests that callers sent to one node since the node's previous report.
struct DemandReport {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 2);

  std::map<common::ModelName, planning::DemandCount> counts;

  MSGPACK_DEFINE(counts)
};

}  // namespace cypresswall::orders
