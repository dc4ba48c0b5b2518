/// Settings of the autoscaling of engines.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::autoscaling {

/// Policy that chooses the number of engines of a pool.
enum class Policy : std::uint8_t {
  kNone,       ///< nothing is ordered
  kFixed,      ///< a fixed number of each kind in each location
  kThreshold,  ///< the smallest number that keeps utilisation below a limit
  kWorth,      ///< the number that minimises prices plus the value of late work
};

struct AutoscalingSettings {
  /// False if the platform accepts no capacity orders.
  bool available = false;
  Policy policy = Policy::kWorth;
  /// Engines in each location, for the fixed policy.
  std::size_t fixed_lasting = 0;
  std::size_t fixed_preemptible = 0;
  /// Maximum utilisation of the engines, for the threshold policy.
  double utilisation_limit = 0.3;
  /// Value of one second of engine work on an answer that arrives in time, in units of the price of
  /// one second of a lasting engine.
  double worth_of_work = 20;
  /// Utilisation of the engine that a request is routed to, relative to the mean of all engines.
  /// Requests are routed to cached prefixes, so that the busiest engines get most of them.
  double unevenness = 2.5;
  /// Assumed share of time during which the preemptible engines of a location are reclaimed.
  double loss_share = 0.1;
  /// Share of a location's engines that are lasting, at least one, if preemptible ones are cheaper,
  /// so that the location still serves after it loses all preemptible engines.
  double lasting_share = 0.02;
  /// Until demand is known, preemptible engines are ordered for this share of the cost of the
  /// initial engines, but never fewer than the initial engines.
  double first_bill_share = 0.5;
  /// Time window of remembered demand. Planning uses the peak, since a new engine serves only after
  /// its boot time, when a short drop in demand may be over. No engine is released before demand
  /// has been observed for this long.
  common::Duration memory = std::chrono::seconds(60);
  /// Interval between plans.
  common::Duration interval = std::chrono::seconds(1);
  /// Delay before an unmet or failed order is repeated.
  common::Duration repeat_delay = std::chrono::seconds(5);
  /// How long a location that had no preemptible engines counts as having none. Must be longer than
  /// `repeat_delay`, after which the order is repeated.
  common::Duration none_available_pause = std::chrono::seconds(8);
};

}  // namespace cypresswall::autoscaling
