#include "cypresswall/routing/reachability_claims.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "cypresswall/routing/engine_ejection.h"
#include "tests/support/engine_world.h"

namespace cypresswall::routing {
namespace {

using namespace std::chrono_literals;

constexpr int kEngines = 4;
const common::NodeId kFirstPeer{"10.0.0.2:7000", 1};
const common::NodeId kSecondPeer{"10.0.0.3:7000", 1};

/// Engines that this node reaches or not, as the test says.
class FakeConnections final : public api::ServerConnections {
 public:
  explicit FakeConnections(simulation::SimulatedProcess& process) : process_(process) {}

  void probe(const common::Address&, ProbeCallback callback) override {
    ++probes;
    process_.deliverAfter(2ms, [this, callback = std::move(callback)] { callback(established); });
  }

  bool established = true;
  int probes = 0;

 private:
  simulation::SimulatedProcess& process_;
};

class ReachabilityClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityClaimsTest);
  CPPUNIT_TEST(engineThatIsReachedStaysAvailable);
  CPPUNIT_TEST(engineThatIsNotReachedBecomesUnreachable);
  CPPUNIT_TEST(claimsAtTheSameTimeCostOneProbe);
  CPPUNIT_TEST(claimOfEarlierLifeHasNoEffect);
  CPPUNIT_TEST(withdrawnClaimsAndFormerMembersAreForgotten);
  CPPUNIT_TEST(toldEjectionEndsWhenEngineIsReached);
  CPPUNIT_TEST(toldEjectionOfDownEngineStands);
  CPPUNIT_TEST(recentProbePreventsToldEjection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    simulation_ = std::make_unique<simulation::Simulation>(1);
    process_ = &simulation_->start("10.0.0.1:7000", "z");
    membership_ = &process_->emplace<testing::SettableMembership>(process_->id(), "z");
    membership_->setMembers(std::vector<common::NodeId>{process_->id(), kFirstPeer, kSecondPeer});
    table_ = &process_->emplace<EngineTable>(DirectorySettings{});
    claims_ = &process_->emplace<ReachabilityClaims>(process_->context(), *table_);
    connections_ = &process_->emplace<FakeConnections>(*process_);
    claims_->setConnections(*connections_);
    for (int number = 0; number < kEngines; ++number) {
      testing::declareEngine(fleet_, "e" + std::to_string(number), "m");
    }
    table_->declare(fleet_, "z", now());
    for (const EngineSlot slot : table_->roster()) {
      table_->observe(slot, {testing::idleLoad("m", engines::EngineRole::kMixed), now(), true},
                      now());
    }
    auto& groups = process_->emplace<EngineGroups>(GroupSettings{}, *membership_, *table_);
    groups.update();
    ejection_ = &process_->emplace<EngineEjection>(EjectionSettings{}, process_->context(), groups,
                                                   *table_, *claims_);
  }

  void engineThatIsReachedStaysAvailable() {
    claims_->add(kFirstPeer, slot());
    run(10ms);
    CPPUNIT_ASSERT(availability() == EngineAvailability::kAvailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims_->of(slot()).size());
  }

  void engineThatIsNotReachedBecomesUnreachable() {
    connections_->established = false;
    claims_->add(kFirstPeer, slot());
    run(10ms);
    CPPUNIT_ASSERT(availability() == EngineAvailability::kUnreachable);
  }

  void claimsAtTheSameTimeCostOneProbe() {
    for (int i = 0; i < 10; ++i) {
      claims_->add(kFirstPeer, slot());
      claims_->add(kSecondPeer, slot());
    }
    run(10ms);
    claims_->add(kFirstPeer, slot());
    CPPUNIT_ASSERT_EQUAL(1, connections_->probes);
  }

  /// The engine leaves the fleet while it is probed, and another takes its slot.
  void claimOfEarlierLifeHasNoEffect() {
    connections_->established = false;
    claims_->add(kFirstPeer, slot());
    fleet_.engines.erase("e0");
    testing::declareEngine(fleet_, "f0", "m");
    table_->declare(fleet_, "z", now());
    run(10ms);
    for (const EngineSlot slot : table_->roster()) {
      CPPUNIT_ASSERT(table_->record(slot).availability != EngineAvailability::kUnreachable);
      CPPUNIT_ASSERT(claims_->of(slot).empty());
    }
  }

  void withdrawnClaimsAndFormerMembersAreForgotten() {
    claims_->add(kFirstPeer, slot());
    claims_->add(kSecondPeer, slot());
    claims_->remove(kFirstPeer, slot());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims_->of(slot()).size());
    claims_->keepOnly({process_->id(), kFirstPeer});
    CPPUNIT_ASSERT(claims_->of(slot()).empty());
  }

  void toldEjectionEndsWhenEngineIsReached() {
    tellEjection();
    CPPUNIT_ASSERT(availability() == EngineAvailability::kEjected);
    run(10ms);
    CPPUNIT_ASSERT(availability() == EngineAvailability::kAvailable);
  }

  void toldEjectionOfDownEngineStands() {
    connections_->established = false;
    tellEjection();
    run(400ms);
    CPPUNIT_ASSERT(availability() == EngineAvailability::kEjected);
  }

  void recentProbePreventsToldEjection() {
    tellEjection();
    run(10ms);
    tellEjection();
    CPPUNIT_ASSERT(availability() == EngineAvailability::kAvailable);
    CPPUNIT_ASSERT_EQUAL(1, connections_->probes);
  }

 private:
  EngineSlot slot() const { return table_->slotOf("e0"); }
  EngineAvailability availability() const { return table_->record(slot()).availability; }
  common::MonotonicTime now() const { return process_->context().clock.now(); }
  void run(common::Duration time) { simulation_->time().runFor(time); }
  void tellEjection() {
    const EngineEjected notice{"e0", true, 500};
    process_->context().dispatcher.dispatch(
        api::Envelope::make(kFirstPeer, process_->id(), notice));
  }

  std::unique_ptr<simulation::Simulation> simulation_;
  simulation::SimulatedProcess* process_ = nullptr;
  testing::SettableMembership* membership_ = nullptr;
  configuration::FleetConfiguration fleet_;
  EngineTable* table_ = nullptr;
  ReachabilityClaims* claims_ = nullptr;
  FakeConnections* connections_ = nullptr;
  EngineEjection* ejection_ = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachabilityClaimsTest);

}  // namespace
}  // namespace cypresswall::routing
