/// Settings of the zone controller.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"
#include "cypresswall/planning/demand_estimator.h"

namespace cypresswall::orders {

struct DrainSettings {
  /// Interval between announcements of the lease holder's drain table.
  common::Duration renewal_period = std::chrono::milliseconds(500);
  /// A node drops the drain table if no holder has renewed it for this long.
  common::Duration expiry = std::chrono::seconds(5);
  /// A drain that lasts longer is cancelled, and the engine keeps its role: running streams are
  /// never cut off.
  common::Duration timeout = std::chrono::seconds(60);
  /// Minimum interval between load reads of a draining or changing engine.
  common::Duration check_period = std::chrono::milliseconds(100);
  /// Longest wait for the nodes' acknowledgements if OrderSettings::engines_finish_streams is set:
  /// in that case the engine merely refuses requests of a paused or isolated node that did not
  /// acknowledge.
  common::Duration acknowledgement_timeout = std::chrono::seconds(1);
};

struct OrderSettings {
  /// Initial delay before an unanswered order is sent again; doubles up to the maximum.
  common::Duration resend_delay = std::chrono::milliseconds(200);
  common::Duration maximum_resend_delay = std::chrono::seconds(2);
  /// Maximum number of engines that a new holder starts to fence in one control period.
  std::uint32_t fences_per_period = 64;
  /// Engines finish running streams before they execute an order, refuse requests that have not
  /// started by then, and reject an order whose orders_taken differs from their own count.
  bool engines_finish_streams = false;
  /// If an engine that accepted a change of role is ready, but still has its old role in a report
  /// from this much later, it has not executed the order.
  common::Duration effect_timeout = std::chrono::seconds(2);
};

struct ControllerSettings {
  DrainSettings drain;
  OrderSettings order;
  planning::DemandSettings demand;
  /// Interval of the control loop over all engines.
  common::Duration control_period = std::chrono::milliseconds(100);
  /// Interval between runs of the planner.
  common::Duration planning_period = std::chrono::seconds(1);
  /// Interval between demand reports of a node to the lease holder.
  common::Duration demand_period = std::chrono::seconds(1);
  /// A lease that is held only on demand is released after this long without a change.
  common::Duration lease_idle_time = std::chrono::seconds(3);
  /// Share of a model's engines, at least one engine, that may be unavailable at once because of
  /// declared loads and pinned roles.
  double maximum_away_share = 0.1;
  /// No change of an engine starts for this long after its drain was cancelled.
  common::Duration pause_after_cancelled_drain = std::chrono::seconds(10);
};

}  // namespace cypresswall::orders
