/// How the number of engines follows the work.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::autoscaling {

/// How a pool's number of engines is chosen.
enum class Policy : std::uint8_t {
  kNone,       ///< nothing is ordered
  kFixed,      ///< so many of each kind in each location
  kThreshold,  ///< as many as keep the engines' utilisation below a limit
  kWorth,      ///< as many as are worth their price
};

struct AutoscalingSettings {
  /// False where the platform takes no such orders.
  bool available = false;
  Policy policy = Policy::kWorth;
  /// Engines in each location, for the fixed policy.
  std::size_t fixed_lasting = 0;
  std::size_t fixed_preemptible = 0;
  /// Largest utilisation of the engines, for the threshold policy.
  double utilisation_limit = 0.3;
  /// What a second of an engine's work on an answer that comes in time is worth, in prices of a
  /// second of a lasting engine.
  double worth_of_work = 20;
  /// Utilisation of the engine that a request goes to, relative to the mean of all: requests follow
  /// the prefixes that engines hold, so that the busiest engines get most of them.
  double unevenness = 2.5;
  /// Part of the time for which the preemptible engines of a location are taken to be gone.
  double loss_share = 0.1;
  /// Share of a location's engines that is lasting, at least one, where preemptible ones are
  /// cheaper: a location that loses all others still serves.
  double lasting_share = 0.02;
  /// Until demand was seen, preemptible engines are ordered for this part of what the engines cost
  /// that were there at first, and at least as many as these.
  double first_bill_share = 0.5;
  /// How long demand is remembered: the most that was seen counts, since an engine that is ordered
  /// serves only after its boot, when the demand may have turned. Nothing is ordered away before
  /// demand was seen for so long.
  common::Duration memory = std::chrono::seconds(60);
  /// Between two decisions.
  common::Duration interval = std::chrono::seconds(1);
  /// Before an order that is not met, or failed, is repeated.
  common::Duration repeat_delay = std::chrono::seconds(5);
  /// For how long a location that had none is taken to have none; longer than `repeat_delay`, after
  /// which it is asked again.
  common::Duration none_available_pause = std::chrono::seconds(8);
};

}  // namespace cypresswall::autoscaling
