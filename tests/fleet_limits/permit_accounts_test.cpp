#include "cypresswall/fleet_limits/permit_accounts.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "engine-1";
constexpr double kLimit = 4;

class PermitAccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermitAccountsTest);
  CPPUNIT_TEST(accountStartsEmpty);
  CPPUNIT_TEST(idleAccountSavesAtMostTheBurst);
  CPPUNIT_TEST(refusalReportsTimeToNextPermit);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The previous keeper may have granted the whole limit already.
  void accountStartsEmpty() {
    CPPUNIT_ASSERT(!accounts_.take(kServer, kLimit, 1, now_).granted);
    CPPUNIT_ASSERT(accounts_.take(kServer, kLimit, 1, now_ + milliseconds(250)).granted);
    CPPUNIT_ASSERT(!accounts_.take(kServer, kLimit, 1, now_ + milliseconds(250)).granted);
  }
  void idleAccountSavesAtMostTheBurst() {
    accounts_.take(kServer, kLimit, 1, now_);
    int granted = 0;
    while (accounts_.take(kServer, kLimit, 1, now_ + seconds(60)).granted) {
      ++granted;
    }
    CPPUNIT_ASSERT_EQUAL(4, granted);
  }
  void refusalReportsTimeToNextPermit() {
    CPPUNIT_ASSERT(milliseconds(250) == accounts_.take(kServer, kLimit, 1, now_).wait);
    CPPUNIT_ASSERT(seconds(10) == accounts_.take("engine-2", 0, 1, now_).wait);
  }

 private:
  PermitAccounts accounts_{PermitAccountSettings{}};
  common::MonotonicTime now_ = common::MonotonicTime(seconds(100));
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitAccountsTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
