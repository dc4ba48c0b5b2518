/// INV-10: a refused request gets its final answer immediately, with a Retry-After. Tested under
/// overload of the engines, while nodes fail that the request does not depend on.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <vector>

#include "cypresswall/execution/engine_model_executor.h"
#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using execution::ErrorKind;
using simulation::CallerRecord;
using simulation::CallerResult;
using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 30;
constexpr common::Duration kLoadDuration = seconds(10);
/// Declared first-token limit: no request is kept waiting longer for its first token.
constexpr common::Duration kFirstTokenLimit = seconds(3);
/// Maximum time from a request to its refusal if no attempt was made; a message to another node
/// takes a few milliseconds.
constexpr common::Duration kRefusalTimeLimit = milliseconds(100);

RunBounds refusalBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode, FaultAction::kCutZones, FaultAction::kStoreDown};
  bounds.maximum_zones = 2;
  bounds.maximum_engines = 2;
  bounds.maximum_faults = 6;
  bounds.faults_within = kLoadDuration;
  return bounds;
}

/// A request that waited until its limit had passed counts too.
bool rejectedOrExpired(const CallerRecord& record) {
  return record.result == CallerResult::kError &&
         (record.error.kind == ErrorKind::kOverloaded ||
          record.error.kind == ErrorKind::kDeadlineExceeded ||
          record.error.kind == ErrorKind::kTenantLimit ||
          record.error.kind == ErrorKind::kDraining);
}

/// \return the attempts of a request; std::nullopt if its process has ended or dropped the record.
std::optional<std::vector<execution::AttemptRecord>> attemptsOf(
    const simulation::SimulatedFleet& fleet, const CallerRecord& record) {
  for (std::size_t index = 0; index < fleet.nodeCount(); ++index) {
    const simulation::NodeSlot& slot = fleet.slot(index);
    if (slot.process == nullptr || slot.process->id() != record.node) {
      continue;
    }
    const auto kept = slot.node->modelJournal().find(record.request_id);
    return kept ? std::optional(kept->attempts) : std::nullopt;
  }
  return std::nullopt;
}

class RefusalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalsTest);
  CPPUNIT_TEST(refusalComesAtOnceWithRetryAfter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refusalComesAtOnceWithRetryAfter() {
    simulation::FaultCounters faults;
    RequestTally tally;
    std::uint64_t refused = 0;
    std::uint64_t after_attempts = 0;
    common::Duration longest{0};
    requireProperty("INV-10 refusals at once", kRuns, [&] {
      const GeneratedRun run = *runs(refusalBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      planRequests(fleet, {.requests = 600, .within = kLoadDuration});
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(kLoadDuration + seconds(10));
      player.endAll();
      fleet.time().runFor(seconds(60));
      RC_ASSERT(fleet.openRequests() == 0U);
      for (const CallerRecord& record : fleet.records()) {
        if (!rejectedOrExpired(record)) {
          continue;
        }
        const auto took = record.ended_at - record.asked_at;
        const auto attempts = attemptsOf(fleet, record);
        const bool never_sent = attempts && attempts->empty();
        RC_LOG() << record.request_id << " refused or expired after " << common::toSeconds(took)
                 << " s: " << record.error.message << '\n';
        RC_ASSERT(record.error.retry_after > common::Duration{0});
        RC_ASSERT(record.tokens > 0U || took <= kFirstTokenLimit + kRefusalTimeLimit);
        RC_ASSERT(!never_sent || took <= kRefusalTimeLimit);
        longest = std::max(longest, never_sent ? took : common::Duration{0});
        ++(never_sent ? refused : after_attempts);
      }
      faults.merge(fleet.faults());
      tally.add(fleet);
    });
    std::cout << "\nINV-10: " << tally.summary() << "; " << refused
              << " refused or expired without an attempt, longest " << common::toSeconds(longest)
              << " s, " << after_attempts << " after one or not known; faults: " << faults.summary()
              << std::endl;
    CPPUNIT_ASSERT(tally.done > 0);
    CPPUNIT_ASSERT(refused > 10 * kRuns);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalsTest);

}  // namespace
}  // namespace cypresswall::testing
