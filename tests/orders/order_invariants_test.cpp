/// Runs random fault schedules against a zone of controllers, and checks the invariants of orders
/// and drains as well as the recovery once the faults end.
#include <algorithm>
#include <iostream>

#include "tests/orders/zone_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::orders {
namespace {

using engines::EngineRole;
using simulation::FaultKind;
using testing::ZoneFixture;

constexpr int kNodes = 3;
constexpr int kEngines = 5;
constexpr auto kSettleTime = std::chrono::seconds(60);

/// Actions of a schedule, each followed by about a second of virtual time.
enum class Step : std::uint8_t {
  kWantRole,
  kMoveLease,
  kKillHolder,
  kKillOther,
  kPauseHolder,
  kLapse,
  kCrashEngine,
  kCrashInChange,
  kLoseAnswers,
  kLateOrders,
  kLagReports,
  kNewVersion,
  kClearFaults,
  kCount,
};

struct Action {
  Step step = Step::kClearFaults;
  std::uint64_t choice = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action) {
  return out << "step " << static_cast<int>(action.step) << "/" << action.choice;
}

rc::Gen<std::vector<Action>> anySchedule() {
  std::vector<Step> steps;
  steps.reserve(static_cast<std::size_t>(Step::kCount));
  for (int step = 0; step < static_cast<int>(Step::kCount); ++step) {
    steps.push_back(static_cast<Step>(step));
  }
  // Most faults only matter during a change, so that role changes are chosen more often.
  steps.insert(steps.end(), 6, Step::kWantRole);
  const auto action = rc::gen::apply(
      [](Step step, std::uint64_t choice) {
        return Action{step, choice};
      },
      rc::gen::elementOf(steps), rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
  return rc::gen::resize(60, rc::gen::container<std::vector<Action>>(action));
}

class Run {
 public:
  explicit Run(std::uint64_t seed) : zone(seed, kNodes, kEngines) {
    zone.settings.drain.timeout = std::chrono::seconds(5);
    zone.settings.demand.short_window = std::chrono::seconds(1);
    for (std::size_t node = 0; node < kNodes; ++node) {
      zone.restart(node);
    }
    zone.assignLease(0);
    zone.run(std::chrono::seconds(3));
  }

  void apply(const Action& action) {
    const auto any_engine = static_cast<int>(action.choice % kEngines);
    switch (action.step) {
      case Step::kWantRole:
        zone.script.wanted = {{ZoneFixture::nameOf(any_engine), roleOf(action.choice)}};
        break;
      case Step::kMoveLease:
        zone.assignLease(liveNode(action.choice));
        break;
      case Step::kKillHolder:
        killHolder();
        break;
      case Step::kKillOther:
        killNode(action.choice % kNodes);
        break;
      case Step::kPauseHolder:
        pauseHolder(action.choice);
        break;
      case Step::kLapse:
        lapse();
        break;
      case Step::kCrashEngine:
        zone.engines.crash(ZoneFixture::nameOf(any_engine) + ":1");
        break;
      case Step::kCrashInChange:
        crashInNextChange(any_engine);
        break;
      case Step::kLoseAnswers:
        zone.engines.faults.orders.answer_lost = 0.3;
        break;
      case Step::kLateOrders:
        zone.engines.faults.orders.late = 0.3;
        zone.engines.faults.orders.late_by = std::chrono::seconds(4);
        break;
      case Step::kLagReports:
        lagReports(any_engine);
        break;
      case Step::kNewVersion:
        zone.fleet.models["m"].version = "v" + std::to_string(action.choice % 3);
        zone.setConfiguration();
        break;
      case Step::kClearFaults:
        zone.engines.faults = {};
        break;
      case Step::kCount:
        break;
    }
    zone.run(std::chrono::milliseconds(200 + action.choice % 1500));
  }

  /// Ends all faults and waits until the zone has recovered.
  /// \return a description of what has not recovered; empty if everything has
  std::string settle() {
    zone.engines.faults = {};
    zone.script.wanted.clear();
    for (int i = 0; i < kEngines; ++i) {
      zone.engine(i).setFaults({});
    }
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (!zone.nodes[node].process->alive()) {
        zone.restart(node);
      }
    }
    if (zone.holder() < 0) {
      zone.assignLease(0);
    }
    std::string wrong = zone.unsettled();
    zone.simulation.time().runUntilTrue([&] { return (wrong = zone.unsettled()).empty(); },
                                        kSettleTime);
    return wrong;
  }

  ZoneFixture zone;

 private:
  static EngineRole roleOf(std::uint64_t choice) {
    return choice / kEngines % 2 == 0 ? EngineRole::kDecode : EngineRole::kMixed;
  }
  std::size_t liveNode(std::uint64_t choice) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      const std::size_t node = (choice + i) % kNodes;
      if (zone.nodes[node].process->alive()) {
        return node;
      }
    }
    zone.restart(0);
    return 0;
  }
  void killHolder() {
    const int holding = zone.holder();
    if (holding >= 0) {
      killNode(static_cast<std::size_t>(holding));
    }
  }
  void killNode(std::size_t node) {
    if (!zone.nodes[node].process->alive()) {
      zone.restart(node);
      return;
    }
    const bool held = zone.holder() == static_cast<int>(node);
    zone.kill(node);
    zone.run(std::chrono::milliseconds(700));
    if (held) {
      zone.assignLease(liveNode(node + 1));
    }
  }
  void pauseHolder(std::uint64_t choice) {
    const int holding = zone.holder();
    if (holding < 0) {
      return;
    }
    const auto index = static_cast<std::size_t>(holding);
    zone.simulation.pauseFor(*zone.nodes[index].process,
                             std::chrono::milliseconds(500 + choice % 4000));
    zone.run(std::chrono::milliseconds(400));
    zone.assignLease(liveNode(index + 1));
  }
  void lapse() {
    const common::NodeId holder = zone.lease_state.holder;
    zone.loseLease();
    zone.run(std::chrono::milliseconds(400));
    zone.lease_state.holder = holder;
  }
  void crashInNextChange(int engine) {
    emulation::EngineFaults faults;
    faults.crash_in_next_change = true;
    zone.engine(engine).setFaults(faults);
  }
  void lagReports(int engine) {
    emulation::EngineFaults faults;
    faults.load_lag = std::chrono::milliseconds(1500);
    zone.engine(engine).setFaults(faults);
  }
};

class OrderInvariantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderInvariantsTest);
  CPPUNIT_TEST(invariantsHoldUnderFaultSchedules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void invariantsHoldUnderFaultSchedules() {
    simulation::FaultCounters faults;
    std::uint64_t orders = 0;
    std::uint64_t repeated = 0;
    std::uint64_t role_changes = 0;
    std::uint64_t crashes_in_change = 0;
    testing::requireProperty("orders and drains under faults", 60, [&] {
      const auto schedule = *anySchedule();
      Run run(*rc::gen::arbitrary<std::uint64_t>());
      for (const Action& action : schedule) {
        run.apply(action);
      }
      const std::string unsettled = run.settle();
      const auto& violations = run.zone.audit.violations;
      faults.merge(run.zone.simulation.faults());
      orders += run.zone.audit.orders;
      repeated += run.zone.audit.repeated;
      role_changes += run.zone.roleChanges();
      for (const auto& node : run.zone.nodes) {
        crashes_in_change += static_cast<std::uint64_t>(
            node.process->counters().total("cypresswall_engine_restarts_in_change_total"));
      }
      RC_ASSERT((violations.empty() ? std::string() : violations.front()) == std::string());
      RC_ASSERT(conflictsOnEngines(run.zone) == std::string());
      RC_ASSERT(run.zone.streamsCutByOrders() == 0U);
      RC_ASSERT(unsettled == std::string());
    });
    std::cout << "faults: " << faults.summary() << " orders=" << orders << " repeated=" << repeated
              << " role_changes=" << role_changes << " crashes_in_change=" << crashes_in_change
              << std::endl;
    for (const FaultKind kind : {FaultKind::kKill, FaultKind::kPause, FaultKind::kEngineCrash,
                                 FaultKind::kEngineAnswerLost, FaultKind::kEngineAnswerLate}) {
      CPPUNIT_ASSERT_MESSAGE(simulation::toString(kind), faults.count(kind) > 0);
    }
    CPPUNIT_ASSERT(repeated > 0 && role_changes > 20 && crashes_in_change > 0);
  }

 private:
  /// Checks the orders accepted by each incarnation of each engine: epochs never decrease, and the
  /// first accepted order of each epoch raises the fence.
  static std::string conflictsOnEngines(ZoneFixture& zone) {
    for (const auto& [address, engine] : zone.engines.all()) {
      std::map<std::uint64_t, common::Epoch> highest;
      for (const auto& entry : engine->ledger().orders) {
        if (entry.verdict != engines::OrderVerdict::kAccepted) {
          continue;
        }
        common::Epoch& epoch = highest[entry.incarnation];
        const bool fence = entry.order.content.kind == engines::OrderKind::kRaiseFence;
        if (entry.order.epoch < epoch) {
          return address + " obeyed an earlier epoch";
        }
        if (epoch < entry.order.epoch && !fence) {
          return address + " was ordered before its fence was raised";
        }
        epoch = entry.order.epoch;
      }
    }
    return {};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderInvariantsTest);

}  // namespace
}  // namespace cypresswall::orders
