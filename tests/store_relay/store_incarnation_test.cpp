#include "cypresswall/store_relay/store_incarnation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "cypresswall/simulation/simulation.h"

namespace cypresswall::store_relay {
namespace {

class StoreIncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreIncarnationTest);
  CPPUNIT_TEST(firstIncarnationIsNoRestore);
  CPPUNIT_TEST(laterIncarnationIsARestore);
  CPPUNIT_TEST(earlierIncarnationIsOutdated);
  CPPUNIT_TEST(missingIncarnationIsAccepted);
  CPPUNIT_TEST(contextMayEndBeforeTheObject);
  CPPUNIT_TEST_SUITE_END();

 public:
  void firstIncarnationIsNoRestore() {
    CPPUNIT_ASSERT(incarnation_.observe(4, "store"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, incarnation_.current());
    CPPUNIT_ASSERT(!incarnation_.restored());
    CPPUNIT_ASSERT_EQUAL(1, changes_);
  }
  void laterIncarnationIsARestore() {
    incarnation_.observe(4, "store");
    CPPUNIT_ASSERT(incarnation_.observe(4, "store"));
    CPPUNIT_ASSERT(incarnation_.observe(5, "peer"));
    CPPUNIT_ASSERT(incarnation_.restored());
    CPPUNIT_ASSERT_EQUAL(2, changes_);
    CPPUNIT_ASSERT_EQUAL(1.0, process_.counters().total("cypresswall_store_restores_total"));
  }
  void earlierIncarnationIsOutdated() {
    incarnation_.observe(5, "store");
    CPPUNIT_ASSERT(!incarnation_.observe(4, "store"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, incarnation_.current());
    CPPUNIT_ASSERT_EQUAL(1, changes_);
  }
  void missingIncarnationIsAccepted() {
    incarnation_.observe(5, "store");
    CPPUNIT_ASSERT(incarnation_.observe(0, "peer"));
    CPPUNIT_ASSERT_EQUAL(1, changes_);
  }
  /// The platform's adapter is built from a context that ends before the adapter.
  void contextMayEndBeforeTheObject() {
    auto context = std::make_unique<api::ProcessContext>(process_.context());
    StoreIncarnation incarnation(*context);
    context.reset();
    incarnation.observe(1, "store");
    incarnation.observe(2, "store");
    CPPUNIT_ASSERT(incarnation.restored());
  }

 private:
  simulation::Simulation simulation_{1};
  simulation::SimulatedProcess& process_ = simulation_.start("10.0.0.1:7000", "z");
  StoreIncarnation incarnation_{process_.context()};
  int changes_ = 0;

 public:
  void setUp() override {
    incarnation_.onChange([this] { ++changes_; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreIncarnationTest);

}  // namespace
}  // namespace cypresswall::store_relay
