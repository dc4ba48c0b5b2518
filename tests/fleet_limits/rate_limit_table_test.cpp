#include "cypresswall/fleet_limits/rate_limit_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cypresswall::fleet_limits {
namespace {

using common::namedRateLimit;
using common::RateLimitNotice;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "engine-1";

/// Test times are relative to one hour, so that requests can be sent before the first response.
common::MonotonicTime at(common::Duration since_start) {
  return common::MonotonicTime(std::chrono::hours(1)) + since_start;
}

class RateLimitTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitTableTest);
  CPPUNIT_TEST(firstNoticeChangesTableAndRepeatDoesNot);
  CPPUNIT_TEST(lowerLimitAppliesAtOnceAndHigherAfterDelay);
  CPPUNIT_TEST(limitEndsOnlyByResponseToLaterRequest);
  CPPUNIT_TEST(alternatingLimitStaysActive);
  CPPUNIT_TEST(earlierResponseDoesNotReactivateLimit);
  CPPUNIT_TEST(hugeLimitCountsAsNone);
  CPPUNIT_TEST(unreadableNoticeChangesNothing);
  CPPUNIT_TEST(newerVersionWinsAndLowerLimitBreaksTies);
  CPPUNIT_TEST(outdatedLimitIsRemovedAndNotMerged);
  CPPUNIT_TEST(tableSizeIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void firstNoticeChangesTableAndRepeatDoesNot() {
    CPPUNIT_ASSERT(namesLimit(5.5, seconds(1)));
    CPPUNIT_ASSERT(!namesLimit(5.5, seconds(2)));
    CPPUNIT_ASSERT_EQUAL(5.5, limit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.activeCount());
  }
  void lowerLimitAppliesAtOnceAndHigherAfterDelay() {
    namesLimit(5, seconds(1));
    CPPUNIT_ASSERT(namesLimit(2, milliseconds(1010)));
    CPPUNIT_ASSERT(!namesLimit(5, milliseconds(1500)));
    CPPUNIT_ASSERT_EQUAL(2.0, limit());
    CPPUNIT_ASSERT(namesLimit(5, milliseconds(2100)));
    CPPUNIT_ASSERT_EQUAL(5.0, limit());
  }
  void limitEndsOnlyByResponseToLaterRequest() {
    namesLimit(5, seconds(1));
    CPPUNIT_ASSERT(!namesNone(milliseconds(900), seconds(3)));
    CPPUNIT_ASSERT(namesNone(milliseconds(2900), seconds(3)));
    CPPUNIT_ASSERT(table_.activeLimit(kServer) == nullptr);
  }
  void alternatingLimitStaysActive() {
    for (common::Duration now = seconds(1); now < seconds(10); now += milliseconds(400)) {
      namesLimit(5, now);
      namesNone(now + milliseconds(100), now + milliseconds(200));
      CPPUNIT_ASSERT(table_.activeLimit(kServer) != nullptr);
    }
  }
  void earlierResponseDoesNotReactivateLimit() {
    namesLimit(5, seconds(1));
    namesNone(milliseconds(2900), seconds(3));
    CPPUNIT_ASSERT(!table_.answered(kServer, namedRateLimit(5), at(seconds(2)), at(seconds(4))));
    CPPUNIT_ASSERT(table_.answered(kServer, namedRateLimit(5), at(seconds(4)), at(seconds(5))));
  }
  void hugeLimitCountsAsNone() {
    CPPUNIT_ASSERT(!namesLimit(1e300, seconds(1)));
    namesLimit(5, seconds(2));
    CPPUNIT_ASSERT(namesLimit(1e300, seconds(4)));
    CPPUNIT_ASSERT(table_.activeLimit(kServer) == nullptr);
  }
  void unreadableNoticeChangesNothing() {
    const RateLimitNotice unreadable{RateLimitNotice::Kind::kUnreadable, 0};
    namesLimit(5, seconds(1));
    CPPUNIT_ASSERT(!table_.answered(kServer, unreadable, at(seconds(9)), at(seconds(10))));
    CPPUNIT_ASSERT_EQUAL(5.0, limit());
  }
  void newerVersionWinsAndLowerLimitBreaksTies() {
    CPPUNIT_ASSERT(merges(1, 5));
    CPPUNIT_ASSERT(!merges(1, 5));
    CPPUNIT_ASSERT(!merges(1, 7));
    CPPUNIT_ASSERT(!merges(1, std::nullopt));
    CPPUNIT_ASSERT(merges(1, 3));
    CPPUNIT_ASSERT(merges(2, std::nullopt));
    CPPUNIT_ASSERT(!merges(1, 1));
    CPPUNIT_ASSERT(table_.activeLimit(kServer) == nullptr);
  }
  void outdatedLimitIsRemovedAndNotMerged() {
    namesLimit(5, seconds(1));
    CPPUNIT_ASSERT(table_.expire(at(seconds(61))).empty());
    CPPUNIT_ASSERT(table_.expire(at(seconds(62))) == std::vector<std::string>{kServer});
    CPPUNIT_ASSERT(!table_.merge(kServer, {4, 5.0, at(seconds(1))}, at(seconds(62))));
    CPPUNIT_ASSERT(table_.all().empty());
  }
  void tableSizeIsBounded() {
    RateLimitTableSettings settings;
    settings.maximum_servers = 2;
    RateLimitTable table(settings);
    for (const char* server : {"a", "b", "c"}) {
      table.answered(server, namedRateLimit(1), at(seconds(0)), at(seconds(1)));
      table.merge(std::string(server) + "-merged", {1, 1.0, at(seconds(1))}, at(seconds(1)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.all().size());
  }

 private:
  bool namesLimit(double value, common::Duration now) {
    return table_.answered(kServer, namedRateLimit(value), at(now - milliseconds(50)), at(now));
  }
  bool namesNone(common::Duration sent, common::Duration now) {
    return table_.answered(kServer, RateLimitNotice{}, at(sent), at(now));
  }
  bool merges(std::uint64_t version, std::optional<double> value) {
    return table_.merge(kServer, {version, value, at(seconds(1))}, at(seconds(1)));
  }
  double limit() const { return *table_.activeLimit(kServer)->requests_per_second; }

  RateLimitTable table_{RateLimitTableSettings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTableTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
