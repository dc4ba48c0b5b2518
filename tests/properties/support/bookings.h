/// A workload of bookings, which must run at most once, and the checks of INV-5 and INV-6.
#pragma once

#include <cstdint>

#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

struct BookingWorkload {
  std::uint32_t keys = 40;
  /// Maximum number of requests with the same key.
  std::uint32_t requests_per_key = 3;
  /// Longest interval between two requests with the same key; some are sent at the same time.
  common::Duration longest_wait = std::chrono::seconds(3);
  /// Number of bookings without an idempotency key.
  std::uint32_t bookings_without_key = 20;
  /// Number of calls that may be repeated.
  std::uint32_t repeatable_calls = 20;
  common::Duration within = std::chrono::seconds(20);
};

/// Schedules, from now on, bookings with retries under the same key at random nodes of any zone.
void planBookings(simulation::SimulatedFleet& fleet, const BookingWorkload& workload);

/// Requires, by the back ends' ledgers, that no booking ran twice, that bookings reported as "not
/// run" did not run, and that bookings reported as done ran.
void requireAtMostOnce(const simulation::SimulatedFleet& fleet,
                       const simulation::SimulatedServices& services);

/// \return the number of requests with a key that were done.
std::uint64_t countDoneWithKey(const simulation::SimulatedFleet& fleet);

}  // namespace cypresswall::testing
