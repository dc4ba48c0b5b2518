/// Settings of the zone controller.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"
#include "cypresswall/planning/demand_estimator.h"

namespace cypresswall::orders {

struct DrainSettings {
  /// Interval between announcements of the lease holder's drain table.
  common::Duration renewal_period = std::chrono::milliseconds(500);
  /// If no lease holder has renewed a node's drain table for this long, the node sends work to the
  /// engines in it again.
  common::Duration expiry = std::chrono::seconds(5);
  /// A drain that lasts longer is cancelled and the engine is not changed, since running streams
  /// are never cut off.
  common::Duration timeout = std::chrono::seconds(60);
  /// Minimum interval between load reads of a draining or changing engine.
  common::Duration check_period = std::chrono::milliseconds(100);
  /// Maximum time that a drain waits for the nodes' acknowledgements if
  /// OrderSettings::engines_finish_streams is set. The order may then be sent without them: the
  /// engine refuses requests from a paused or isolated node that has not acknowledged.
  common::Duration acknowledgement_timeout = std::chrono::seconds(1);
};

struct OrderSettings {
  /// Delay before an unanswered order is sent again for the first time. Doubles with each further
  /// time, up to `maximum_resend_delay`.
  common::Duration resend_delay = std::chrono::milliseconds(200);
  common::Duration maximum_resend_delay = std::chrono::seconds(2);
  /// Maximum number of engines that a new lease holder starts to fence in one control period.
  std::uint32_t fences_per_period = 64;
  /// True if engines behave as follows: after accepting an order, they finish running streams
  /// before they execute it and refuse requests that have not started by then; and they reject an
  /// order whose EngineOrder::orders_taken differs from their own count of accepted orders.
  bool engines_finish_streams = false;
  /// If a load report of a ready engine still shows the old role this long after the engine
  /// accepted a change of role, the change counts as refused.
  common::Duration effect_timeout = std::chrono::seconds(2);
};

struct ControllerSettings {
  DrainSettings drain;
  OrderSettings order;
  planning::DemandSettings demand;
  /// Interval at which the zone controller advances the changes of all engines.
  common::Duration control_period = std::chrono::milliseconds(100);
  /// Interval between runs of the planner.
  common::Duration planning_period = std::chrono::seconds(1);
  /// Interval between demand reports of a node to the lease holder.
  common::Duration demand_period = std::chrono::seconds(1);
  /// A lease that is held only while needed is released after this long without a change of an
  /// engine.
  common::Duration lease_idle_time = std::chrono::seconds(3);
  /// Maximum share of a model's engines that may be unavailable at once when the controller starts
  /// a change required by the configuration, such as a new model version or a pinned role. One
  /// engine is always allowed.
  double maximum_away_share = 0.1;
  /// After the drain of an engine was cancelled, no change of that engine starts for this long.
  common::Duration pause_after_cancelled_drain = std::chrono::seconds(10);
};

}  // namespace cypresswall::orders
