#include "tests/properties/support/workload.h"

#include <rapidcheck.h>

namespace cypresswall::testing {

void planRequests(simulation::SimulatedFleet& fleet, const ModelWorkload& workload) {
  for (std::uint32_t number = 0; number < workload.requests; ++number) {
    const auto at = common::Duration(fleet.simulation().random().below(workload.within.count()));
    fleet.time().schedule(at, [&fleet, workload] {
      auto& random = fleet.simulation().random();
      const auto index = random.below(fleet.nodeCount());
      const auto prompt = static_cast<std::uint32_t>(1 + random.below(workload.longest_prompt));
      const auto answer = static_cast<std::uint32_t>(1 + random.below(workload.longest_answer));
      fleet.sendModelRequest(index, prompt, answer);
    });
  }
}

void requireOwnAnswer(const simulation::CallerRecord& record) {
  const std::string expected = simulation::SimulatedFleet::expectedAnswer(record);
  RC_ASSERT(record.misplaced_tokens == 0U);
  RC_ASSERT(record.late_calls == 0U);
  if (record.result == simulation::CallerResult::kDone) {
    RC_ASSERT(record.answer == expected);
  } else {
    RC_ASSERT(expected.compare(0, record.answer.size(), record.answer) == 0);
  }
}

void RequestTally::add(const simulation::SimulatedFleet& fleet) {
  for (const simulation::CallerRecord& record : fleet.records()) {
    switch (record.result) {
      case simulation::CallerResult::kDone:
        ++done;
        break;
      case simulation::CallerResult::kError:
        ++errors;
        break;
      case simulation::CallerResult::kNotConnected:
        ++not_connected;
        break;
      case simulation::CallerResult::kBroken:
        ++broken;
        break;
      case simulation::CallerResult::kOpen:
        ++open;
        break;
    }
  }
}

std::string RequestTally::summary() const {
  return std::to_string(done) + " requests done, " + std::to_string(errors) +
         " refused or failed, " + std::to_string(broken) + " broken, " +
         std::to_string(not_connected) + " not connected, " + std::to_string(open) + " open";
}

}  // namespace cypresswall::testing
