/// INV-7 for service back ends and nodes: from 3 s after the machine list shows a machine as
/// leaving, back ends on it get no calls, and nodes on it accept no requests.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>

#include "tests/properties/support/bookings.h"
#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::CallerRecord;
using simulation::CallerResult;
using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::seconds;

constexpr int kRuns = 40;
constexpr common::Duration kLoadDuration = seconds(25);
constexpr common::Duration kLeavingGracePeriod = seconds(3);

RunBounds leavingServiceBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode, FaultAction::kPauseNode, FaultAction::kCutOffNode,
                    FaultAction::kStoreSlow};
  bounds.maximum_zones = 2;
  bounds.maximum_engines = 1;
  return bounds;
}

std::uint64_t callsOf(simulation::SimulatedFleet& fleet, const common::Address& backend) {
  std::uint64_t calls = 0;
  for (const auto& entry : fleet.services().find(backend)->executions()) {
    calls += entry.count;
  }
  return calls;
}

/// Machines that leave during a run. In each zone the first back end and the first two nodes stay.
class LeavingMachines {
 public:
  explicit LeavingMachines(simulation::SimulatedFleet& fleet) : fleet_(fleet) {}

  void planBackends() {
    const auto& topology = fleet_.settings().topology;
    for (std::uint32_t zone = 0; zone < topology.zones; ++zone) {
      for (std::uint32_t number = 1; number < topology.backends_per_zone; ++number) {
        const auto address = simulation::backendAddress(zone, number);
        scheduleLeaving(simulation::backendMachine(zone, number),
                        [this, address] { calls_[address] = callsOf(fleet_, address); });
      }
    }
  }
  void planNodes() {
    const auto& topology = fleet_.settings().topology;
    for (std::uint32_t zone = 0; zone < topology.zones; ++zone) {
      for (std::uint32_t number = 2; number < topology.nodes_per_zone; ++number) {
        const auto address = simulation::nodeAddress(zone, number);
        scheduleLeaving(simulation::nodeMachine(zone, number),
                        [this, address] { no_work_from_[address] = fleet_.time().now(); });
      }
    }
  }

  /// \return the number of calls that reached leaving back ends after the limit.
  std::uint64_t lateCalls() const {
    std::uint64_t late = 0;
    for (const auto& [address, calls] : calls_) {
      late += callsOf(fleet_, address) - calls;
    }
    return late;
  }
  /// \return the number of requests that leaving nodes accepted after the limit.
  std::uint64_t lateRequests() const {
    std::uint64_t late = 0;
    for (const CallerRecord& record : fleet_.records()) {
      const auto from = no_work_from_.find(record.node.address);
      const bool asked_late = from != no_work_from_.end() && record.asked_at > from->second;
      const bool refused = record.result == CallerResult::kNotConnected ||
                           record.result == CallerResult::kBroken ||
                           (record.result == CallerResult::kError &&
                            record.error.outcome == execution::Outcome::kNotRun);
      if (asked_late && !refused) {
        RC_LOG() << record.request_id << " at " << record.node.toString() << ", asked at "
                 << common::toSeconds(record.asked_at.time_since_epoch()) << " s, result "
                 << static_cast<int>(record.result) << ", " << record.error.message << '\n';
        ++late;
      }
    }
    return late;
  }

 private:
  template <typename Callback>
  void scheduleLeaving(const common::MachineName& machine, Callback&& work_over) {
    const auto lag = simulation::PlatformSettings{}.machine_list_lag;
    const auto at = common::Duration(fleet_.simulation().random().below(kLoadDuration.count()));
    fleet_.time().schedule(at, [this, machine] {
      fleet_.platform().setMachineState(machine, object_store::MachineState::kLeaving);
    });
    fleet_.time().schedule(at + lag + kLeavingGracePeriod, std::forward<Callback>(work_over));
  }

  simulation::SimulatedFleet& fleet_;
  /// Calls received by each leaving back end at the time after which it must get no more.
  std::map<common::Address, std::uint64_t> calls_;
  std::map<common::Address, common::MonotonicTime> no_work_from_;
};

/// Runs one generated case; `plan` selects the machines that leave.
template <typename Plan>
void playRun(Plan&& plan, simulation::FaultCounters& faults, RequestTally& tally) {
  const GeneratedRun run = *runs(leavingServiceBounds());
  simulation::FleetSettings settings;
  settings.topology = run.topology;
  settings.topology.backends_per_zone = 3;
  simulation::SimulatedFleet fleet(run.seed, settings);
  fleet.bringUp();
  BookingWorkload workload;
  workload.bookings_without_key = 100;
  workload.repeatable_calls = 100;
  workload.within = kLoadDuration + seconds(10);
  planBookings(fleet, workload);
  LeavingMachines leaving(fleet);
  plan(leaving);
  simulation::FaultInjector player(fleet);
  player.play(run.faults);
  fleet.time().runFor(workload.within);
  player.endAll();
  fleet.time().runFor(seconds(20));
  RC_ASSERT(leaving.lateCalls() == 0U);
  RC_ASSERT(leaving.lateRequests() == 0U);
  faults.merge(fleet.faults());
  tally.add(fleet);
}

class LeavingServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingServicesTest);
  CPPUNIT_TEST(leavingBackEndsGetNoNewCall);
  CPPUNIT_TEST(leavingNodesTakeNoNewRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void leavingBackEndsGetNoNewCall() {
    simulation::FaultCounters faults;
    RequestTally tally;
    requireProperty("INV-7 leaving back ends", kRuns, [&] {
      playRun([](LeavingMachines& leaving) { leaving.planBackends(); }, faults, tally);
    });
    report("back ends", faults, tally);
  }

  void leavingNodesTakeNoNewRequest() {
    simulation::FaultCounters faults;
    RequestTally tally;
    requireProperty("INV-7 leaving nodes", kRuns, [&] {
      playRun([](LeavingMachines& leaving) { leaving.planNodes(); }, faults, tally);
    });
    report("nodes", faults, tally);
  }

 private:
  static void report(const char* what, const simulation::FaultCounters& faults,
                     const RequestTally& tally) {
    std::cout << "\nINV-7 " << what << ": " << tally.summary() << "; faults: " << faults.summary()
              << std::endl;
    CPPUNIT_ASSERT(tally.done > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kMachineLeaving) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kPause) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingServicesTest);

}  // namespace
}  // namespace cypresswall::testing
