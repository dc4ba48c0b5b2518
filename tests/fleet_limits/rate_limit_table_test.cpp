#include "cypresswall/fleet_limits/rate_limit_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cypresswall::fleet_limits {
namespace {

using common::namedRateLimit;
using common::RateLimitNotice;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kServer = "engine-1";

/// Moments count from here, so that requests can have been sent before the first answer.
common::MonotonicTime at(common::Duration since_start) {
  return common::MonotonicTime(std::chrono::hours(1)) + since_start;
}

class RateLimitTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitTableTest);
  CPPUNIT_TEST(firstNoticeIsNewsAndTheNextIsNot);
  CPPUNIT_TEST(lowerLimitHoldsAtOnceAndHigherAfterAWhile);
  CPPUNIT_TEST(limitEndsByAnAnswerToALaterRequestOnly);
  CPPUNIT_TEST(serverThatNamesALimitInTurnsStaysUnderIt);
  CPPUNIT_TEST(answerFromBeforeTheEndDoesNotBringTheLimitBack);
  CPPUNIT_TEST(hugeLimitIsNone);
  CPPUNIT_TEST(unreadableNoticeChangesNothing);
  CPPUNIT_TEST(newerVersionWinsAndOfTwoAlikeTheLowerLimit);
  CPPUNIT_TEST(oldKnowledgeIsForgottenAndNotTaken);
  CPPUNIT_TEST(remembersSoManyServersOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void firstNoticeIsNewsAndTheNextIsNot() {
    CPPUNIT_ASSERT(hears(5.5, seconds(1)));
    CPPUNIT_ASSERT(!hears(5.5, seconds(2)));
    CPPUNIT_ASSERT_EQUAL(5.5, limit());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.activeCount());
  }
  void lowerLimitHoldsAtOnceAndHigherAfterAWhile() {
    hears(5, seconds(1));
    CPPUNIT_ASSERT(hears(2, milliseconds(1010)));
    CPPUNIT_ASSERT(!hears(5, milliseconds(1500)));
    CPPUNIT_ASSERT_EQUAL(2.0, limit());
    CPPUNIT_ASSERT(hears(5, milliseconds(2100)));
    CPPUNIT_ASSERT_EQUAL(5.0, limit());
  }
  void limitEndsByAnAnswerToALaterRequestOnly() {
    hears(5, seconds(1));
    CPPUNIT_ASSERT(!hearsNone(milliseconds(900), seconds(3)));
    CPPUNIT_ASSERT(hearsNone(milliseconds(2900), seconds(3)));
    CPPUNIT_ASSERT(table_.activeLimit(kServer) == nullptr);
  }
  void serverThatNamesALimitInTurnsStaysUnderIt() {
    for (common::Duration now = seconds(1); now < seconds(10); now += milliseconds(400)) {
      hears(5, now);
      hearsNone(now + milliseconds(100), now + milliseconds(200));
      CPPUNIT_ASSERT(table_.activeLimit(kServer) != nullptr);
    }
  }
  void answerFromBeforeTheEndDoesNotBringTheLimitBack() {
    hears(5, seconds(1));
    hearsNone(milliseconds(2900), seconds(3));
    CPPUNIT_ASSERT(!table_.answered(kServer, namedRateLimit(5), at(seconds(2)), at(seconds(4))));
    CPPUNIT_ASSERT(table_.answered(kServer, namedRateLimit(5), at(seconds(4)), at(seconds(5))));
  }
  void hugeLimitIsNone() {
    CPPUNIT_ASSERT(!hears(1e300, seconds(1)));
    hears(5, seconds(2));
    CPPUNIT_ASSERT(hears(1e300, seconds(4)));
    CPPUNIT_ASSERT(table_.activeLimit(kServer) == nullptr);
  }
  void unreadableNoticeChangesNothing() {
    const RateLimitNotice unreadable{RateLimitNotice::Kind::kUnreadable, 0};
    hears(5, seconds(1));
    CPPUNIT_ASSERT(!table_.answered(kServer, unreadable, at(seconds(9)), at(seconds(10))));
    CPPUNIT_ASSERT_EQUAL(5.0, limit());
  }
  void newerVersionWinsAndOfTwoAlikeTheLowerLimit() {
    CPPUNIT_ASSERT(merges(1, 5));
    CPPUNIT_ASSERT(!merges(1, 5));
    CPPUNIT_ASSERT(!merges(1, 7));
    CPPUNIT_ASSERT(!merges(1, std::nullopt));
    CPPUNIT_ASSERT(merges(1, 3));
    CPPUNIT_ASSERT(merges(2, std::nullopt));
    CPPUNIT_ASSERT(!merges(1, 1));
    CPPUNIT_ASSERT(table_.activeLimit(kServer) == nullptr);
  }
  void oldKnowledgeIsForgottenAndNotTaken() {
    hears(5, seconds(1));
    CPPUNIT_ASSERT(table_.expire(at(seconds(61))).empty());
    CPPUNIT_ASSERT(table_.expire(at(seconds(62))) == std::vector<std::string>{kServer});
    CPPUNIT_ASSERT(!table_.merge(kServer, {4, 5.0, at(seconds(1))}, at(seconds(62))));
    CPPUNIT_ASSERT(table_.all().empty());
  }
  void remembersSoManyServersOnly() {
    RateLimitTableSettings settings;
    settings.maximum_servers = 2;
    RateLimitTable table(settings);
    for (const char* server : {"a", "b", "c"}) {
      table.answered(server, namedRateLimit(1), at(seconds(0)), at(seconds(1)));
      table.merge(std::string(server) + "-told", {1, 1.0, at(seconds(1))}, at(seconds(1)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.all().size());
  }

 private:
  bool hears(double value, common::Duration now) {
    return table_.answered(kServer, namedRateLimit(value), at(now - milliseconds(50)), at(now));
  }
  bool hearsNone(common::Duration sent, common::Duration now) {
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
