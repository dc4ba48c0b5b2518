/// Messages between the zone controller of the lease's holder and the zone's nodes.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/planning/demand_counter.h"

namespace cypresswall::orders {

/// The whole drain table of one holder. It replaces any table of the same epoch with a lower
/// version, and every table of a lower epoch.
struct DrainAnnouncement {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 0);

  common::Epoch epoch;
  std::uint64_t version = 0;
  std::vector<common::EngineName> engines;

  MSGPACK_DEFINE(epoch, version, engines)
};

/// From now on the sender gives no new work to the engines of that table.
struct DrainAck {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 1);

  common::Epoch epoch;
  std::uint64_t version = 0;

  MSGPACK_DEFINE(epoch, version)
};

/// What callers asked of one node since its last report.
struct DemandReport {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kOrdersFirst, 2);

  std::map<common::ModelName, planning::DemandCount> counts;

  MSGPACK_DEFINE(counts)
};

}  // namespace cypresswall::orders
