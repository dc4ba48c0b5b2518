#include "cypresswall/common/rate_limit_notice.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cypresswall::common {
namespace {

class RateLimitNoticeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitNoticeTest);
  CPPUNIT_TEST(readsDecimalNumbers);
  CPPUNIT_TEST(missingFieldMeansNoLimit);
  CPPUNIT_TEST(invalidLimitsAreUnreadable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsDecimalNumbers() {
    CPPUNIT_ASSERT(namedRateLimit(5.5) == parseRateLimit("5.5"));
    CPPUNIT_ASSERT(namedRateLimit(0) == parseRateLimit("0"));
    CPPUNIT_ASSERT(namedRateLimit(12) == parseRateLimit(" 12\t"));
    CPPUNIT_ASSERT(namedRateLimit(100000000) == parseRateLimit("100000000.0"));
  }
  void missingFieldMeansNoLimit() { CPPUNIT_ASSERT(RateLimitNotice{} == parseRateLimit("")); }
  void invalidLimitsAreUnreadable() {
    for (const char* text :
         {"-1", "nan", "inf", "much", "1,5", "1.2/s", "0x10", " ", "5 5", "+5"}) {
      CPPUNIT_ASSERT_MESSAGE(text, parseRateLimit(text).kind == RateLimitNotice::Kind::kUnreadable);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitNoticeTest);

}  // namespace
}  // namespace cypresswall::common
