/// INV-1: an engine never receives conflicting orders. INV-2: a planned role change cuts no stream.
/// INV-3: an order of a holder that lost its authority has no effect. Checked against the engines'
/// own ledgers, with operators who change roles concurrently. Liveness: after the faults every
/// engine is ready, accepts work and has the role that was pinned last.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <map>
#include <tuple>

#include "tests/properties/support/generators.h"
#include "tests/properties/support/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 40;
constexpr std::uint32_t kRolePins = 10;
constexpr common::Duration kLoadDuration = seconds(30);
constexpr common::Duration kRecoveryTime = seconds(60);

RunBounds orderBounds() {
  RunBounds bounds;
  bounds.actions = {FaultAction::kKillNode,
                    FaultAction::kPauseNode,
                    FaultAction::kPauseNode,
                    FaultAction::kCutOffNode,
                    FaultAction::kStoreDown,
                    FaultAction::kCrashEngine,
                    FaultAction::kCrashEngineInChange,
                    FaultAction::kLoseOrderAnswers,
                    FaultAction::kLateOrders,
                    FaultAction::kReplaceNode,
                    FaultAction::kStopNode};
  bounds.maximum_zones = 1;
  bounds.minimum_engines = 2;
  bounds.maximum_engines = 3;
  bounds.maximum_faults = 10;
  bounds.faults_within = kLoadDuration;
  return bounds;
}

/// Operators who pin engines to roles at random nodes, sometimes two concurrently.
class RolePins {
 public:
  explicit RolePins(simulation::SimulatedFleet& fleet) : fleet_(fleet) {}

  void plan() {
    for (std::uint32_t number = 0; number < kRolePins; ++number) {
      const auto at = common::Duration(fleet_.simulation().random().below(kLoadDuration.count()));
      fleet_.time().schedule(at, [this] { pinAtTwoNodes(); });
    }
  }

  /// \return engines whose role differs from the one pinned for them at node `index`.
  std::vector<std::string> enginesWithWrongRole(std::size_t index) const {
    std::vector<std::string> wrong;
    const auto configuration = fleet_.slot(index).node->configuration().current();
    for (const auto& [name, pin] : configuration->engine_overrides) {
      const auto& address = configuration->engines.at(name).address;
      const auto load = fleet_.engines().find(address)->currentLoad();
      if (load.state != engines::EngineState::kReady || load.role != pin.role) {
        wrong.push_back(name);
      }
    }
    return wrong;
  }

 private:
  void pinAtTwoNodes() {
    auto& random = fleet_.simulation().random();
    const auto engine =
        static_cast<std::uint32_t>(random.below(fleet_.settings().topology.engines_per_zone));
    fleet_.faults().add(FaultKind::kOperatorRace);
    for (int racer = 0; racer < 2; ++racer) {
      constexpr std::array<const char*, 2> kRoles{"mixed", "decode"};
      pin(random.below(fleet_.nodeCount()), simulation::engineName(0, engine),
          kRoles.at(random.below(kRoles.size())));
    }
  }

  void pin(std::size_t node, const common::EngineName& engine, const std::string& role) {
    configuration::ConfigurationChangeRequest request;
    request.change_id = "pin-" + std::to_string(++pins_);
    request.author = "operator-" + std::to_string(pins_);
    request.late_delivery = true;
    request.objects.push_back(
        {configuration::ObjectKind::kEngineOverride, engine, false,
         R"({"engine": ")" + engine + R"(", "role_pinned": true, "role": ")" + role + R"("})"});
    fleet_.submit(node, std::move(request), [](const configuration::CommitResult&) {});
  }

  simulation::SimulatedFleet& fleet_;
  std::uint64_t pins_ = 0;
};

struct OrderTally {
  std::uint64_t received = 0;
  std::uint64_t accepted = 0;
  std::uint64_t refused_stale = 0;
  std::uint64_t refused_for_earlier_incarnation = 0;
  std::uint64_t role_changes = 0;
};

std::string describe(const emulation::OrderEntry& entry) {
  return "order " + entry.order.epoch.toString() + "/" + std::to_string(entry.order.sequence) +
         " kind " + std::to_string(static_cast<int>(entry.order.content.kind)) + " verdict " +
         std::to_string(static_cast<int>(entry.verdict)) + " at " +
         std::to_string(common::toSeconds(entry.at.time_since_epoch())) + " s";
}

/// INV-1: within one incarnation of an engine, each sequence number of an epoch has one content.
void requireNoConflict(const emulation::EngineLedger& ledger) {
  using Position = std::tuple<std::uint64_t, common::Epoch, std::uint64_t>;
  std::map<Position, engines::OrderContent> contents;
  for (const auto& entry : ledger.orders) {
    const Position position{entry.order.engine_incarnation, entry.order.epoch,
                            entry.order.sequence};
    const auto known = contents.emplace(position, entry.order.content).first;
    RC_LOG() << describe(entry) << '\n';
    RC_ASSERT(known->second == entry.order.content);
  }
}

/// INV-3: the epochs of accepted orders never decrease, even over restarts of the engine.
void requireMonotonicEpochs(const emulation::EngineLedger& ledger) {
  common::Epoch highest;
  for (const auto& entry : ledger.orders) {
    if (entry.verdict != engines::OrderVerdict::kAccepted) {
      continue;
    }
    RC_LOG() << describe(entry) << '\n';
    RC_ASSERT(entry.order.epoch >= highest);
    highest = entry.order.epoch;
  }
}

void addUp(OrderTally& tally, const emulation::EngineLedger& ledger) {
  for (const auto& entry : ledger.orders) {
    ++tally.received;
    tally.accepted += entry.verdict == engines::OrderVerdict::kAccepted ? 1 : 0;
    tally.refused_stale += entry.verdict == engines::OrderVerdict::kStaleEpoch ? 1 : 0;
    tally.refused_for_earlier_incarnation +=
        entry.verdict == engines::OrderVerdict::kWrongIncarnation ? 1 : 0;
  }
  tally.role_changes += ledger.role_changes;
}

void requireNothingLeftDraining(const simulation::SimulatedFleet& fleet) {
  for (std::size_t index = 0; index < fleet.nodeCount(); ++index) {
    for (const auto& record : fleet.slot(index).node->engines().records()) {
      RC_LOG() << record.declaration.name << " at node " << index << '\n';
      RC_ASSERT(!record.draining);
    }
  }
}

class FencedOrdersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FencedOrdersTest);
  CPPUNIT_TEST(ordersNeverConflictNorCutStreams);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ordersNeverConflictNorCutStreams() {
    simulation::FaultCounters faults;
    RequestTally requests;
    OrderTally orders;
    requireProperty("INV-1, INV-2, INV-3 fenced orders", kRuns, [&] {
      const GeneratedRun run = *runs(orderBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      planRequests(fleet, {.requests = 100, .within = kLoadDuration});
      RolePins pins(fleet);
      pins.plan();
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(kLoadDuration + seconds(10));
      player.endAll();
      fleet.time().runFor(kRecoveryTime);
      for (const auto& [address, engine] : fleet.engines().all()) {
        requireNoConflict(engine->ledger());
        requireMonotonicEpochs(engine->ledger());
        RC_ASSERT(engine->ledger().streams_cut_by_order == 0U);
        addUp(orders, engine->ledger());
      }
      RC_ASSERT(fleet.openRequests() == 0U);
      const auto wrong = pins.enginesWithWrongRole(0);
      RC_LOG() << "role differs from the pin: " << (wrong.empty() ? "none" : wrong.front()) << '\n';
      RC_ASSERT(wrong.empty());
      requireNothingLeftDraining(fleet);
      faults.merge(fleet.faults());
      requests.add(fleet);
    });
    std::cout << "\nINV-1, INV-2, INV-3: " << orders.received << " orders received, "
              << orders.accepted << " accepted, " << orders.refused_stale << " of a lower epoch, "
              << orders.refused_for_earlier_incarnation << " for an earlier incarnation, "
              << orders.role_changes << " role changes; " << requests.summary()
              << "; faults: " << faults.summary() << std::endl;
    CPPUNIT_ASSERT(orders.role_changes > 0);
    CPPUNIT_ASSERT(requests.done > requests.errors + requests.broken);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kPause) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kEngineCrash) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kEngineCrashInChange) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kEngineAnswerLost) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kEngineAnswerLate) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FencedOrdersTest);

}  // namespace
}  // namespace cypresswall::testing
