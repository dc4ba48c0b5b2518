// The example fleets can be applied and match the sizes of the real deployments.
#include <fstream>
#include <sstream>
#include <string>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/fleet_file.h"
#include "tests/support/property.h"

namespace cypresswall::configuration {
namespace {

class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(portaviaHasItsNumbers);
  CPPUNIT_TEST(hinokuniHasItsNumbers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void portaviaHasItsNumbers() {
    const FleetConfiguration fleet = load("portavia.yaml");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.zones.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.engines.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.http_services.at("portal").backends.size());
    CPPUNIT_ASSERT(fleet.planning.role_change_weight < 1);
  }

  void hinokuniHasItsNumbers() {
    const FleetConfiguration fleet = load("hinokuni.yaml");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.zones.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{18}, fleet.engines.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.http_services.at("booking").backends.size());
    CPPUNIT_ASSERT(fleet.planning.role_change_weight > 1);
  }

 private:
  /// Fails the test if the file can't be read, decoded or validated.
  static FleetConfiguration load(const std::string& name) {
    std::ifstream file(std::string(CYPRESSWALL_EXAMPLES) + "/" + name);
    CPPUNIT_ASSERT(file.is_open());
    std::ostringstream text;
    text << file.rdbuf();
    ConfigurationChange change;
    change.version = 1;
    change.objects = differenceToFleetFile(text.str(), name, FleetConfiguration{});
    return checkChange(FleetConfiguration{}, change);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}  // namespace
}  // namespace cypresswall::configuration
