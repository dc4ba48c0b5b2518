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
  kThreshold,  ///< the smallest number that keeps utilisation within a limit
  kWorth,      ///< the number that minimises engine prices plus late work's value
};

struct AutoscalingSettings {
  /// False if the platform accepts no capacity orders.
  bool available = false;
  Policy policy = Policy::kWorth;
  /// Numbers of engines of each kind in each location, for Policy::kFixed.
  std::size_t fixed_lasting = 0;
  std::size_t fixed_preemptible = 0;
  /// Maximum share of engines that are busy on average, for Policy::kThreshold.
  double utilisation_limit = 0.3;
  /// For Policy::kWorth: the value of one second of engine time spent on an answer that arrives in
  /// time. The unit is that of AutoscalingDeclaration::location_prices.
  double worth_of_work = 20;
  /// Assumed utilisation of the engine that a request is routed to, divided by the mean utilisation
  /// of all engines. It is above 1 because requests are routed to engines that have their prompt
  /// prefix cached, so that the busiest engines receive most requests.
  double unevenness = 2.5;
  /// Assumed share of time during which one location is without its preemptible engines because the
  /// platform has reclaimed them.
  double loss_share = 0.1;
  /// Share of a location's engines that are lasting if preemptible ones are cheaper; rounded up to
  /// a whole engine, so that the location still serves requests after it loses all preemptible
  /// engines.
  double lasting_share = 0.02;
  /// Until demand has been observed for `memory`, the pool gets as many engines as this share of
  /// the price of the initial engines would pay for if all were preemptible, but at least as many
  /// as there were initially. Only used if preemptible engines are cheaper.
  double first_bill_share = 0.5;
  /// Time for which reported loads are kept for planning. A short drop in demand within this time
  /// releases no engines under Policy::kThreshold, which plans for the peak: a replacement would
  /// serve only after its boot time. The total number of engines is not reduced before demand has
  /// been observed for this long.
  common::Duration memory = std::chrono::seconds(60);
  /// Interval between plans.
  common::Duration interval = std::chrono::seconds(1);
  /// Delay before an order is repeated if the call failed or the engines present still differ from
  /// the ordered number.
  common::Duration repeat_delay = std::chrono::seconds(5);
  /// How long a location counts as having no preemptible engines available after the platform said
  /// so. Must be longer than `repeat_delay`, so that the repeated order shows whether they are
  /// available again before this time ends.
  common::Duration none_available_pause = std::chrono::seconds(8);
};

}  // namespace cypresswall::autoscaling
