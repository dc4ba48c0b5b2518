#include "cypresswall/common/server_announcement.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cypresswall::common {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerAnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerAnnouncementTest);
  CPPUNIT_TEST(readsSecondsWithFractions);
  CPPUNIT_TEST(longTimesAreCut);
  CPPUNIT_TEST(otherTextNamesNoTime);
  CPPUNIT_TEST(onlyRefusalsAskForAPause);
  CPPUNIT_TEST(leavingIsReadInAnyAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsSecondsWithFractions() {
    CPPUNIT_ASSERT(parseRetryAfter("3") == seconds(3));
    CPPUNIT_ASSERT(parseRetryAfter("0.25") == milliseconds(250));
    CPPUNIT_ASSERT(parseRetryAfter(" 2 ") == seconds(2));
    CPPUNIT_ASSERT(parseRetryAfter("0") == seconds(0));
  }
  void longTimesAreCut() {
    CPPUNIT_ASSERT(parseRetryAfter("100000") == kMaximumPause);
    CPPUNIT_ASSERT(parseRetryAfter("99999999999999999999") == kMaximumPause);
  }
  void otherTextNamesNoTime() {
    for (const char* text : {"-1", "nan", "inf", "soon", "3 s", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !parseRetryAfter(text));
      CPPUNIT_ASSERT_MESSAGE(text, announcementOf(503, "", text).pause_unreadable);
    }
  }
  void onlyRefusalsAskForAPause() {
    CPPUNIT_ASSERT(announcementOf(503, "", "3").pause == seconds(3));
    CPPUNIT_ASSERT(announcementOf(503, "", "") == ServerAnnouncement{});
    CPPUNIT_ASSERT(announcementOf(200, "", "3") == ServerAnnouncement{});
    CPPUNIT_ASSERT(announcementOf(500, "", "soon") == ServerAnnouncement{});
  }
  void leavingIsReadInAnyAnswer() {
    CPPUNIT_ASSERT(announcementOf(200, "1", "").leaving);
    CPPUNIT_ASSERT(announcementOf(500, "1", "").leaving);
    CPPUNIT_ASSERT(!announcementOf(200, "0", "").leaving);
    CPPUNIT_ASSERT(!announcementOf(200, "", "").leaving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerAnnouncementTest);

}  // namespace
}  // namespace cypresswall::common
