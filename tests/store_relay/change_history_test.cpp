#include "cypresswall/store_relay/change_history.h"

#include "tests/support/property.h"

namespace cypresswall::store_relay {
namespace {

constexpr std::size_t kRetainedBytes = 100;
constexpr std::size_t kReplyBytes = 60;

StoreChange changeOf(std::uint64_t revision, std::size_t bytes) {
  return {"n", revision, false, std::string(bytes - 1, 'x')};
}

class ChangeHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeHistoryTest);
  CPPUNIT_TEST(returnsChangesAfterRevision);
  CPPUNIT_TEST(oldChangesAreEvicted);
  CPPUNIT_TEST(refusesAnswersAboveLimit);
  CPPUNIT_TEST(restartDropsHistory);
  CPPUNIT_TEST(ignoresOlderRevisions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void returnsChangesAfterRevision() {
    ChangeHistory history = startedHistory();
    history.add({changeOf(11, 10), changeOf(12, 10)}, 12);
    history.add({}, 15);
    history.add({changeOf(16, 10)}, 17);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, history.revision());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, history.changed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.since(10, kReplyBytes)->size());
    // The batch up to 12 is returned whole, even if a part of it is known.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.since(11, kReplyBytes)->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, history.since(12, kReplyBytes)->size());
    CPPUNIT_ASSERT(history.since(17, kReplyBytes)->empty());
    CPPUNIT_ASSERT(!history.since(9, kReplyBytes));
  }

  void oldChangesAreEvicted() {
    ChangeHistory history = startedHistory();
    history.add({changeOf(11, 50)}, 11);
    history.add({changeOf(12, 40)}, 12);
    CPPUNIT_ASSERT(history.since(10, kRetainedBytes));
    history.add({changeOf(13, 20)}, 13);
    CPPUNIT_ASSERT(!history.since(10, kRetainedBytes));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, history.since(11, kRetainedBytes)->size());
    // One batch above the limit empties the history.
    history.add({changeOf(14, kRetainedBytes + 1)}, 14);
    CPPUNIT_ASSERT(!history.since(13, kRetainedBytes));
    CPPUNIT_ASSERT(history.since(14, kRetainedBytes)->empty());
  }

  void refusesAnswersAboveLimit() {
    ChangeHistory history = startedHistory();
    history.add({changeOf(11, 40)}, 11);
    history.add({changeOf(12, 40)}, 12);
    CPPUNIT_ASSERT(!history.since(10, kReplyBytes));
    CPPUNIT_ASSERT(history.since(11, kReplyBytes));
  }

  void restartDropsHistory() {
    ChangeHistory history = startedHistory();
    history.add({changeOf(11, 10)}, 11);
    history.restart(20);
    CPPUNIT_ASSERT(!history.since(11, kReplyBytes));
    CPPUNIT_ASSERT(history.since(20, kReplyBytes)->empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, history.changed());
  }

  void ignoresOlderRevisions() {
    ChangeHistory history = startedHistory();
    history.add({changeOf(9, 10)}, 9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, history.revision());
    CPPUNIT_ASSERT(history.since(10, kReplyBytes)->empty());
  }

 private:
  static ChangeHistory startedHistory() {
    ChangeHistory history(kRetainedBytes);
    history.restart(10);
    return history;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeHistoryTest);

}  // namespace
}  // namespace cypresswall::store_relay
