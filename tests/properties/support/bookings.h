/// Bookings, which may run at most once, and what INV-5 and INV-6 say of them.
#pragma once

#include <cstdint>

#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::testing {

struct BookingWorkload {
  std::uint32_t keys = 40;
  /// Requests with one key, at most.
  std::uint32_t requests_per_key = 3;
  /// Between two requests with one key, unless they are sent at the same moment.
  common::Duration longest_wait = std::chrono::seconds(3);
  /// Bookings without a key.
  std::uint32_t bookings_without_key = 20;
  /// Calls that may be repeated.
  std::uint32_t repeatable_calls = 20;
  common::Duration within = std::chrono::seconds(20);
};

/// Plans callers who book with a key and ask again at any nodes of any zones, counted from now.
void planBookings(simulation::SimulatedFleet& fleet, const BookingWorkload& workload);

/// Requires, by the back ends' ledgers, that no booking ran twice, that "not run" is true and that
/// what is called done was run.
void requireAtMostOnce(const simulation::SimulatedFleet& fleet,
                       const simulation::SimulatedServices& services);

/// \return number of requests with a key that were done.
std::uint64_t countDoneWithKey(const simulation::SimulatedFleet& fleet);

}  // namespace cypresswall::testing
