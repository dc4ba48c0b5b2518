#include "tests/properties/support/bookings.h"

#include <rapidcheck.h>

#include <map>
#include <string>

namespace cypresswall::testing {
namespace {

using execution::Outcome;
using simulation::CallerRecord;
using simulation::CallerResult;

/// Results of all requests with one key.
struct KeyHistory {
  std::uint32_t done = 0;
  bool all_not_run = true;
};

std::size_t anyNode(simulation::SimulatedFleet& fleet) {
  return fleet.simulation().random().below(fleet.nodeCount());
}

bool certainlyNotRun(const CallerRecord& record) {
  return record.result == CallerResult::kNotConnected ||
         (record.result == CallerResult::kError && record.error.outcome == Outcome::kNotRun);
}

}  // namespace

void planBookings(simulation::SimulatedFleet& fleet, const BookingWorkload& workload) {
  auto& random = fleet.simulation().random();
  const auto anyTime = [&] { return common::Duration(random.below(workload.within.count())); };
  for (std::uint32_t number = 0; number < workload.keys; ++number) {
    const std::string key = "slot-" + std::to_string(number);
    auto at = anyTime();
    const auto asks = 1 + random.below(workload.requests_per_key);
    for (std::uint64_t ask = 0; ask < asks; ++ask) {
      fleet.time().schedule(at, [&fleet, key] { fleet.book(anyNode(fleet), key); });
      if (random.below(2) != 0) {
        at += common::Duration(random.below(workload.longest_wait.count()));
      }
    }
  }
  for (std::uint32_t number = 0; number < workload.bookings_without_key; ++number) {
    fleet.time().schedule(anyTime(), [&fleet] { fleet.book(anyNode(fleet), ""); });
  }
  for (std::uint32_t number = 0; number < workload.repeatable_calls; ++number) {
    fleet.time().schedule(anyTime(), [&fleet] { fleet.poll(anyNode(fleet)); });
  }
}

void requireAtMostOnce(const simulation::SimulatedFleet& fleet,
                       const simulation::SimulatedServices& services) {
  std::map<std::string, KeyHistory> keys;
  for (const CallerRecord& record : fleet.records()) {
    if (record.request_id.rfind("booking", 0) != 0) {
      continue;
    }
    const bool not_run = certainlyNotRun(record);
    RC_LOG() << record.request_id << " key '" << record.key << "' at " << record.node.toString()
             << ", " << common::toSeconds(record.asked_at.time_since_epoch()) << " s: result "
             << static_cast<int>(record.result) << ", outcome " << toString(record.error.outcome)
             << ", " << record.error.message << '\n';
    const std::uint32_t runs = services.executionsOfRequest(record.request_id);
    RC_ASSERT(runs <= 1U);
    RC_ASSERT(!not_run || runs == 0U);
    if (!record.key.empty()) {
      KeyHistory& history = keys[record.key];
      history.done += record.result == CallerResult::kDone ? 1 : 0;
      history.all_not_run = history.all_not_run && not_run;
    }
  }
  for (const auto& [key, history] : keys) {
    const std::uint32_t runs = services.executionsOfKey(key);
    RC_LOG() << key << " ran " << runs << " times\n";
    RC_ASSERT(runs <= 1U);
    RC_ASSERT(history.done == 0U || runs == 1U);
    RC_ASSERT(!history.all_not_run || runs == 0U);
  }
}

std::uint64_t countDoneWithKey(const simulation::SimulatedFleet& fleet) {
  std::uint64_t done = 0;
  for (const CallerRecord& record : fleet.records()) {
    done += !record.key.empty() && record.result == CallerResult::kDone ? 1 : 0;
  }
  return done;
}

}  // namespace cypresswall::testing
