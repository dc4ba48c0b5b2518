#include "cypresswall/reachability/path_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

#include "cypresswall/configuration/static_view.h"
#include "cypresswall/simulation/simulation.h"

namespace cypresswall::reachability {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Servers that are reached or not, as the test says.
class FakeConnections final : public api::ServerConnections {
 public:
  explicit FakeConnections(simulation::SimulatedProcess& process) : process_(process) {}

  void probe(const common::Address& address, ProbeCallback callback) override {
    ++probes;
    process_.deliverAfter(milliseconds(2), [this, address, callback = std::move(callback)] {
      callback(!all_cut && !down.contains(address));
    });
  }

  std::size_t probes = 0;
  bool all_cut = false;
  std::set<common::Address> down;

 private:
  simulation::SimulatedProcess& process_;
};

class PathMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathMonitorTest);
  CPPUNIT_TEST(lostPathIsNoticedAfterTwoFailures);
  CPPUNIT_TEST(oneDownServerIsNoLostPath);
  CPPUNIT_TEST(manyDownServersAreNoLostPath);
  CPPUNIT_TEST(successInBetweenAvoidsProbes);
  CPPUNIT_TEST(workingPathCostsNothing);
  CPPUNIT_TEST(pathReturnsAfterTwoGoodRounds);
  CPPUNIT_TEST(flappingLinksDoNotFlapTheState);
  CPPUNIT_TEST(checkTellsLostPathFromDownServer);
  CPPUNIT_TEST(withoutServersNothingIsLost);
  CPPUNIT_TEST(disabledMonitorLosesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start({}); }

  void lostPathIsNoticedAfterTwoFailures() {
    connections_->all_cut = true;
    fail(0);
    run(milliseconds(50));
    CPPUNIT_ASSERT(!monitor_->lost());
    fail(1);
    run(milliseconds(10));
    CPPUNIT_ASSERT(monitor_->lost());
  }

  void oneDownServerIsNoLostPath() {
    connections_->down = {serverAt(0)};
    for (int i = 0; i < 100; ++i) {
      fail(0);
      run(milliseconds(10));
    }
    CPPUNIT_ASSERT(!monitor_->lost());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections_->probes);
  }

  /// A third of the servers ends at once; every node is refused by several of them in a row.
  void manyDownServersAreNoLostPath() {
    for (int server = 0; server < kServers / 3; ++server) {
      connections_->down.insert(serverAt(server));
    }
    int losses = 0;
    for (int i = 0; i < 100; ++i) {
      fail(i % (kServers / 3));
      fail((i + 1) % (kServers / 3));
      run(milliseconds(20));
      losses += monitor_->lost() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, losses);
  }

  void successInBetweenAvoidsProbes() {
    for (int i = 0; i < 100; ++i) {
      fail(i % kServers);
      monitor_->onConnection(serverAt(0), true);
      run(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections_->probes);
  }

  void workingPathCostsNothing() {
    run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections_->probes);
  }

  void pathReturnsAfterTwoGoodRounds() {
    lose();
    connections_->all_cut = false;
    run(milliseconds(260));
    CPPUNIT_ASSERT(monitor_->lost());
    run(milliseconds(260));
    CPPUNIT_ASSERT(!monitor_->lost());
  }

  /// The links return for less than two rounds of probes, again and again.
  void flappingLinksDoNotFlapTheState() {
    lose();
    for (int turn = 0; turn < 20; ++turn) {
      connections_->all_cut = turn % 2 == 0;
      run(milliseconds(255));
      CPPUNIT_ASSERT(monitor_->lost());
    }
    CPPUNIT_ASSERT_EQUAL(1.0, process_->counters().total("cypresswall_server_path_losses_total"));
  }

  void checkTellsLostPathFromDownServer() {
    CPPUNIT_ASSERT(checked());
    connections_->all_cut = true;
    CPPUNIT_ASSERT(!checked());
    CPPUNIT_ASSERT(monitor_->lost());
  }

  void withoutServersNothingIsLost() {
    declared_.set({});
    fail(0);
    fail(1);
    run(milliseconds(10));
    CPPUNIT_ASSERT(!monitor_->lost());
    CPPUNIT_ASSERT(checked());
  }

  void disabledMonitorLosesNothing() {
    ReachabilitySettings off;
    off.enabled = false;
    start(off);
    connections_->all_cut = true;
    fail(0);
    fail(1);
    run(milliseconds(10));
    CPPUNIT_ASSERT(!monitor_->lost());
    CPPUNIT_ASSERT(checked());
  }

 private:
  static constexpr int kServers = 18;

  static common::Address serverAt(int number) {
    return "10.2.0." + std::to_string(number + 1) + ":80";
  }

  void start(const ReachabilitySettings& settings) {
    simulation_ = std::make_unique<simulation::Simulation>(1);
    process_ = &simulation_->start("10.1.0.1:7000", "z");
    configuration::FleetConfiguration fleet;
    for (int number = 0; number < kServers; ++number) {
      configuration::EngineDeclaration engine;
      engine.name = "e" + std::to_string(number);
      engine.zone = "z";
      engine.address = serverAt(number);
      fleet.engines[engine.name] = engine;
    }
    declared_.set(fleet);
    connections_ = &process_->emplace<FakeConnections>(*process_);
    monitor_ =
        &process_->emplace<PathMonitor>(settings, process_->context(), declared_, *connections_);
  }
  void fail(int server) { monitor_->onConnection(serverAt(server), false); }
  void run(common::Duration time) { simulation_->time().runFor(time); }
  void lose() {
    connections_->all_cut = true;
    fail(0);
    fail(1);
    run(milliseconds(10));
    CPPUNIT_ASSERT(monitor_->lost());
  }
  bool checked() {
    bool works = false;
    monitor_->check([&works](bool result) { works = result; });
    run(milliseconds(10));
    return works;
  }

  std::unique_ptr<simulation::Simulation> simulation_;
  simulation::SimulatedProcess* process_ = nullptr;
  configuration::StaticConfigurationView declared_;
  FakeConnections* connections_ = nullptr;
  PathMonitor* monitor_ = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathMonitorTest);

}  // namespace
}  // namespace cypresswall::reachability
