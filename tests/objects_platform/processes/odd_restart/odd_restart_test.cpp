/// A configuration that can't be read while daemons serve by the one before it.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/objects_platform/processes/objects_fleet.h"

namespace cypresswall::objects_platform::testing {
namespace {

constexpr std::size_t kNodes = 4;
constexpr int kOk = 200;
constexpr auto kStartLimit = std::chrono::seconds(12);

class OddRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddRestartTest);
  CPPUNIT_TEST(daemonThatRestartsBeforeAnOddRouteServesByThePeersConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against daemons that start again before a configuration with one odd route, and don't
  /// get ready although their peers serve by the configuration before it.
  void daemonThatRestartsBeforeAnOddRouteServesByThePeersConfiguration() {
    ObjectsFleet fleet(kNodes);
    fleet.startDaemons();
    CPPUNIT_ASSERT(holdsWithin(kStartLimit, [&] { return fleet.allAreReady(); }));
    auto odd = nlohmann::json::parse(operatorConfiguration(8));
    odd["routes"].push_back({{"prefix", 7}});
    fleet.atStore([&](StoreStandin& store) { store.put("config", "main", odd.dump()); });
    CPPUNIT_ASSERT(holdsWithin(kStartLimit, [&] {
      return fleet.logged("declared_configuration_unreadable", "in_force=7");
    }));
    for (std::size_t node = 0; node < kNodes; ++node) {
      fleet.daemon(node).kill();
      fleet.restart(node);
      CPPUNIT_ASSERT_MESSAGE("node " + std::to_string(node) + " is not ready",
                             holdsWithin(kStartLimit, [&] { return fleet.ready(node); }));
      CPPUNIT_ASSERT_EQUAL(kOk, fleet.callPlain(node).status);
    }
    CPPUNIT_ASSERT(fleet.endings().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddRestartTest);

}  // namespace
}  // namespace cypresswall::objects_platform::testing
