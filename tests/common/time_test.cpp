#include "cypresswall/common/time.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace cypresswall::common {
namespace {

class TimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimeTest);
  CPPUNIT_TEST(anyNumberOfSecondsGivesADuration);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: a wait that is computed from a huge or tiny number, such as a limit that a
  // server announces, becomes an undefined or a negative duration.
  void anyNumberOfSecondsGivesADuration() {
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    CPPUNIT_ASSERT(Duration(1'500'000) == fromSeconds(1.5));
    CPPUNIT_ASSERT(Duration(-1'500'000) == fromSeconds(-1.5));
    for (const double huge : {1e13, 1e300, kInfinity}) {
      CPPUNIT_ASSERT(kLongestDuration == fromSeconds(huge));
      CPPUNIT_ASSERT(-kLongestDuration == fromSeconds(-huge));
    }
    CPPUNIT_ASSERT(Duration(0) == fromSeconds(std::numeric_limits<double>::quiet_NaN()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimeTest);

}  // namespace
}  // namespace cypresswall::common
