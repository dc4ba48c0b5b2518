#include "cypresswall/emulation/object_store.h"

#include <optional>

#include "cypresswall/simulation/virtual_time.h"
#include "tests/support/property.h"

namespace cypresswall::emulation {
namespace {

using object_store::ObjectListing;
using object_store::StoredObject;
using object_store::StoreFailure;
using object_store::StoreResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ObjectStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectStoreTest);
  CPPUNIT_TEST(comparesAndSets);
  CPPUNIT_TEST(lostAnswerTookEffect);
  CPPUNIT_TEST(unavailableStoreDoesNothing);
  CPPUNIT_TEST(watchSeesChangesAndTimesOut);
  CPPUNIT_TEST(watchGapHidesAChange);
  CPPUNIT_TEST(restoredStoreHasAnOlderRevision);
  CPPUNIT_TEST_SUITE_END();

 public:
  void comparesAndSets() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, put("a", 0)->value().version);
    CPPUNIT_ASSERT(put("a", 0)->failure().kind == StoreFailure::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, put("a", 1)->value().version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store_.revision());
  }

  void lostAnswerTookEffect() {
    ObjectStoreFaults faults;
    faults.lose_next_answers = 1;
    store_.setFaults(faults);
    CPPUNIT_ASSERT(put("a", 0)->failure().kind == StoreFailure::kUnknownOutcome);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store_.peek("a").version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, put("a", 1)->value().version);
  }

  void unavailableStoreDoesNothing() {
    ObjectStoreFaults faults;
    faults.down = true;
    store_.setFaults(faults);
    CPPUNIT_ASSERT(put("a", 0)->failure().kind == StoreFailure::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store_.revision());
  }

  void watchSeesChangesAndTimesOut() {
    watch(0);
    time_.runFor(seconds(1));
    CPPUNIT_ASSERT(!listing_);
    put("p/a", 0);
    put("q/b", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing_->value().objects.size());
    watch(listing_->value().revision);
    time_.runFor(seconds(6));
    CPPUNIT_ASSERT(listing_->value().objects.empty());
  }

  void watchGapHidesAChange() {
    ObjectStoreFaults faults;
    faults.watch_gap = true;
    store_.setFaults(faults);
    put("p/a", 0);
    put("p/b", 0);
    watch(0);
    time_.runFor(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing_->value().objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p/b"), listing_->value().objects[0].key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, listing_->value().revision);
  }

  void restoredStoreHasAnOlderRevision() {
    put("p/a", 0);
    put("p/a", 1);
    put("p/b", 0);
    watch(3);
    time_.runFor(milliseconds(1));
    store_.restoreToRevision(1);
    time_.runFor(milliseconds(1));
    CPPUNIT_ASSERT(listing_->failure().kind == StoreFailure::kCompacted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store_.peek("p/a").version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store_.peek("p/b").version);
  }

 private:
  std::optional<StoreResult<StoredObject>> put(const std::string& key, std::uint64_t expected) {
    std::optional<StoreResult<StoredObject>> result;
    store_.compareAndSet({key, expected, "value", "change"},
                         [&result](const auto& given) { result = given; });
    time_.runFor(milliseconds(1));
    return result;
  }
  void watch(std::uint64_t revision) {
    listing_.reset();
    store_.watch("p/", revision, [this](const auto& given) { listing_ = given; });
  }

  simulation::VirtualTime time_;
  EmulatedObjectStore store_{time_, time_};
  std::optional<StoreResult<ObjectListing>> listing_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreTest);

}  // namespace
}  // namespace cypresswall::emulation
