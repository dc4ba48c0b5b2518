/// Load pattern: the load of a fleet whose engines are mostly in reserve rises to several times its
/// usual level. A fixed number of engines in use would refuse callers before idle engines.
#include "cypresswall/planning/engine_need.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cypresswall::planning {
namespace {

using std::chrono::seconds;

class EngineNeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineNeedTest);
  CPPUNIT_TEST(calmLoadAsksForNothing);
  CPPUNIT_TEST(busyEnginesAreMultiplied);
  CPPUNIT_TEST(busyDecodeEnginesCount);
  CPPUNIT_TEST(needFallsAfterIdleTime);
  CPPUNIT_TEST(smallFleetAsksForNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void calmLoadAsksForNothing() {
    EngineNeed need;
    for (int second = 0; second < 100; ++second) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, update(need, 0.3, 0, 600, second));
    }
  }

  void busyEnginesAreMultiplied() {
    EngineNeed need;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2400}, update(need, 0.5, 0, 600, 0));
    // The added engines are not known yet.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2400}, update(need, 0.5, 0, 600, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4800}, update(need, 0.5, 0, 1200, 3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4800}, update(need, 0.2, 0, 2400, 6));
  }

  void busyDecodeEnginesCount() {
    EngineNeed need;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2400}, update(need, 0, 0.9, 600, 0));
  }

  void needFallsAfterIdleTime() {
    EngineNeed need;
    update(need, 0.9, 0, 600, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2400}, update(need, 0.05, 0, 2400, 10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2400}, update(need, 0.05, 0, 2400, 69));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1200}, update(need, 0.05, 0, 2400, 71));
  }

  void smallFleetAsksForNothing() {
    EngineNeed need;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, update(need, 2, 2, 60, 0));
  }

 private:
  static std::size_t update(EngineNeed& need, double utilisation, double decode_utilisation,
                            std::size_t engines, int second) {
    ModelExplanation model;
    model.utilisation_short = utilisation;
    model.decode_utilisation_short = decode_utilisation;
    return need.update({model}, engines, common::MonotonicTime(seconds(second)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineNeedTest);

}  // namespace
}  // namespace cypresswall::planning
