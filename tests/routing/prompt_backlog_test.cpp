#include "cypresswall/routing/prompt_backlog.h"

#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

class PromptBacklogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptBacklogTest);
  CPPUNIT_TEST(promptsAreComputedInOrder);
  CPPUNIT_TEST(earlyEndMovesTheRestForward);
  CPPUNIT_TEST(overduePromptsExpire);
  CPPUNIT_TEST(loneBusyTimeIncludesLatency);
  CPPUNIT_TEST(queuedPromptIsTimedFromThePreviousEnd);
  CPPUNIT_TEST(busyTimeIsUnknownAfterAnUnknownEnd);
  CPPUNIT_TEST(emptiesInAnyOrderOfEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void promptsAreComputedInOrder() {
    PromptBacklog backlog;
    backlog.add(1, 10.0, 0.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.5, backlog.emptyAt(), 1e-9);
    backlog.add(2, 10.1, 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.7, backlog.emptyAt(), 1e-9);
    backlog.add(3, 20.0, 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20.2, backlog.emptyAt(), 1e-9);
  }

  void earlyEndMovesTheRestForward() {
    PromptBacklog backlog;
    backlog.add(1, 10.0, 0.5);
    backlog.add(2, 10.0, 0.5);
    CPPUNIT_ASSERT(backlog.remove(1, 10.2, true));
    CPPUNIT_ASSERT(!backlog.remove(1, 10.2, true));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.7, backlog.emptyAt(), 1e-9);
  }

  void overduePromptsExpire() {
    PromptBacklog backlog;
    backlog.add(1, 10.0, 0.5);
    backlog.add(2, 10.0, 0.5);
    backlog.expire(12.4, 2.0);
    CPPUNIT_ASSERT(backlog.holds(1));
    backlog.expire(12.6, 2.0);
    CPPUNIT_ASSERT(!backlog.holds(1));
    CPPUNIT_ASSERT(backlog.holds(2));
    backlog.expire(13.1, 2.0);
    CPPUNIT_ASSERT(backlog.empty());
  }

  void loneBusyTimeIncludesLatency() {
    PromptBacklog backlog;
    backlog.add(1, 10.0, 0.5);
    backlog.add(2, 10.1, 0.5);
    const auto busy = backlog.busyTimeOf(1, 10.3);
    CPPUNIT_ASSERT(busy.has_value() && busy->includes_latency);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, busy->seconds, 1e-9);
    CPPUNIT_ASSERT(!backlog.busyTimeOf(2, 10.3).has_value());
  }

  void queuedPromptIsTimedFromThePreviousEnd() {
    PromptBacklog backlog;
    backlog.add(1, 10.0, 0.5);
    backlog.add(2, 10.1, 0.5);
    CPPUNIT_ASSERT(backlog.remove(1, 10.3, true));
    const auto busy = backlog.busyTimeOf(2, 10.5);
    CPPUNIT_ASSERT(busy.has_value() && !busy->includes_latency);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, busy->seconds, 1e-9);
  }

  void busyTimeIsUnknownAfterAnUnknownEnd() {
    PromptBacklog backlog;
    backlog.add(1, 10.0, 0.5);
    backlog.add(2, 10.1, 0.5);
    CPPUNIT_ASSERT(backlog.remove(1, 10.3, false));
    CPPUNIT_ASSERT(!backlog.busyTimeOf(2, 10.5).has_value());
  }

  void emptiesInAnyOrderOfEnds() {
    testing::requireProperty("every prompt can be removed exactly once", 200, [] {
      const auto count = *rc::gen::inRange<PromptKey>(1, 20);
      PromptBacklog backlog;
      double expected = 0;
      for (PromptKey key = 0; key < count; ++key) {
        const double seconds = *rc::gen::inRange(1, 100) / 100.0;
        backlog.add(key, 5.0, seconds);
        expected += seconds;
        RC_ASSERT(std::abs(backlog.emptyAt() - 5.0 - expected) < 1e-6);
      }
      std::vector<PromptKey> keys;
      for (PromptKey key = 0; key < count; ++key) {
        keys.insert(keys.begin() + *rc::gen::inRange<int>(0, static_cast<int>(keys.size()) + 1),
                    key);
      }
      double before = backlog.emptyAt();
      for (const PromptKey key : keys) {
        RC_ASSERT(backlog.remove(key, 5.0, true));
        RC_ASSERT(backlog.emptyAt() <= before + 1e-9);
        before = backlog.emptyAt();
      }
      RC_ASSERT(backlog.empty());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptBacklogTest);

}  // namespace
}  // namespace cypresswall::routing
