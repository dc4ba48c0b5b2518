#include "platform/object_watch.h"

#include <string>
#include <vector>

#include "tests/objects_platform/fake_store.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

using std::chrono::seconds;
using testing::eventsJson;
using testing::objectJson;
using testing::pageJson;

/// Records its calls as "+name", "-name" and ".".
class RecordingListener final : public ObjectWatchListener {
 public:
  void onPut(const wire::StoreObject& object) override {
    recorded_ += "+" + object.name + std::to_string(object.revision) + " ";
  }
  void onDeleted(const std::string& name) override { recorded_ += "-" + name + " "; }
  void onCaughtUp() override { recorded_ += ". "; }
  std::string takeRecorded() { return std::exchange(recorded_, ""); }

 private:
  std::string recorded_;
};

class ObjectWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectWatchTest);
  CPPUNIT_TEST(listsThenWatches);
  CPPUNIT_TEST(readsEveryPage);
  CPPUNIT_TEST(listsAgainAfterCompaction);
  CPPUNIT_TEST(keepsStateWhileStoreIsDown);
  CPPUNIT_TEST(ignoresStaleAnswers);
  CPPUNIT_TEST(malformedAnswersAreFailures);
  CPPUNIT_TEST(malformedObjectsDoNotHideOthers);
  CPPUNIT_TEST(pollNowReplacesPendingWatch);
  CPPUNIT_TEST(batchesChangesInQuickSuccession);
  CPPUNIT_TEST(staysIdleUntilPollNow);
  CPPUNIT_TEST(appliesChangesReadElsewhere);
  CPPUNIT_TEST(reportsListingsAsChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  void listsThenWatches() {
    watch_.start();
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers"), store_.targets.at(0));
    store_.answer(200, pageJson(7, {objectJson("a", 3), objectJson("b", 7)}));
    CPPUNIT_ASSERT_EQUAL(std::string("+a3 +b7 . "), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?watch=7&wait_ms=10000"),
                         store_.targets.at(1));
    store_.answer(200, eventsJson(9, {{objectJson("a", 8), false}, {objectJson("b", 9), true}}));
    CPPUNIT_ASSERT_EQUAL(std::string("+a8 -b . "), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?watch=9&wait_ms=10000"),
                         store_.targets.at(2));
    store_.answer(200, eventsJson(12, {}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, watch_.revision());
  }

  void readsEveryPage() {
    watch_.start();
    store_.answer(200, pageJson(7, {objectJson("a", 3), objectJson("b c", 4)}, true));
    CPPUNIT_ASSERT_EQUAL(std::string(), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?after=b%20c"), store_.targets.at(1));
    // The watch starts at the first page's revision and includes changes made between the pages.
    store_.answer(200, pageJson(9, {objectJson("d", 9)}));
    CPPUNIT_ASSERT_EQUAL(std::string("+a3 +b c4 +d9 . "), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, watch_.revision());
    store_.answer(200, eventsJson(9, {{objectJson("a", 8), true}, {objectJson("d", 9), false}}));
    CPPUNIT_ASSERT_EQUAL(std::string("-a . "), listener_.takeRecorded());
  }

  void listsAgainAfterCompaction() {
    begin();
    store_.answer(410, "{}");
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers"), store_.targets.back());
    store_.answer(200, pageJson(40, {objectJson("b", 7), objectJson("c", 39)}));
    CPPUNIT_ASSERT_EQUAL(std::string("+c39 -a . "), listener_.takeRecorded());
    CPPUNIT_ASSERT(store_.targets.back().find("watch=40&") != std::string::npos);
  }

  void keepsStateWhileStoreIsDown() {
    begin();
    for (int failure = 0; failure < 20; ++failure) {
      if (failure % 2 == 0) {
        store_.answer(503, "");
      } else {
        store_.fail(runtime::CurlOutcome::kBroken);
      }
      CPPUNIT_ASSERT(store_.calls.empty());
      world_.runFor(seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls.size());
      CPPUNIT_ASSERT(store_.targets.back().find("watch=7&") != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), listener_.takeRecorded());
    store_.answer(200, eventsJson(8, {{objectJson("b", 8), true}}));
    CPPUNIT_ASSERT_EQUAL(std::string("-b . "), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(20.0,
                         process_.counters().total("cypresswall_object_watch_failures_total"));
  }

  void ignoresStaleAnswers() {
    begin();
    store_.answer(410, "{}");
    store_.answer(200, pageJson(6, {}));
    CPPUNIT_ASSERT_EQUAL(std::string(), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, watch_.revision());
    world_.runFor(seconds(1));
    store_.answer(200, pageJson(9, {objectJson("a", 2), objectJson("b", 9)}));
    CPPUNIT_ASSERT_EQUAL(std::string("+b9 . "), listener_.takeRecorded());
    store_.answer(200, eventsJson(8, {{objectJson("b", 9), true}}));
    CPPUNIT_ASSERT_EQUAL(std::string(), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, watch_.revision());
    CPPUNIT_ASSERT_EQUAL(2.0,
                         process_.counters().total("cypresswall_object_watch_older_answers_total"));
  }

  void malformedAnswersAreFailures() {
    begin();
    for (const char* unreadable :
         {R"({"events": 7, "at": 9})", R"({"events": [7], "at": 9})", R"({"events": []})",
          R"({"events": [{"gone": false}], "at": 9})", R"({"events": [], "at": 9)"}) {
      store_.answer(200, unreadable);
      CPPUNIT_ASSERT_EQUAL(std::string(), listener_.takeRecorded());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, watch_.revision());
      world_.runFor(seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls.size());
    }
  }

  void malformedObjectsDoNotHideOthers() {
    begin();
    store_.answer(200, R"({"events": [{"gone": false, "object": {}}, {"gone": false, "object": )" +
                           objectJson("b", 9) + R"(}], "at": 9})");
    CPPUNIT_ASSERT_EQUAL(std::string("+b9 . "), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, watch_.revision());
    CPPUNIT_ASSERT_EQUAL(
        1.0, process_.counters().total("cypresswall_object_watch_unreadable_objects_total"));
  }

  void pollNowReplacesPendingWatch() {
    watch_.pollNow();
    CPPUNIT_ASSERT(store_.targets.empty());
    begin();
    watch_.pollNow();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_.calls.size());
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?watch=7&wait_ms=10000"),
                         store_.targets.back());
    // The answer of the replaced watch is ignored and starts no further one.
    store_.answer(200, eventsJson(8, {{objectJson("a", 8), true}}));
    CPPUNIT_ASSERT_EQUAL(std::string(), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls.size());
    store_.answer(200, eventsJson(9, {{objectJson("b", 9), true}}));
    CPPUNIT_ASSERT_EQUAL(std::string("-b . "), listener_.takeRecorded());
  }

  void staysIdleUntilPollNow() {
    std::optional<common::Duration> poll_time;
    ObjectWatchSettings settings;
    settings.poll_time = [&poll_time] { return poll_time; };
    ObjectWatch watch("servers", settings, process_.context(), store_, listener_);
    watch.start();
    CPPUNIT_ASSERT(!watch.isIdle());
    store_.answer(200, pageJson(7, {}));
    CPPUNIT_ASSERT(watch.isIdle());
    CPPUNIT_ASSERT(store_.calls.empty());
    watch.pollNow();
    CPPUNIT_ASSERT(!watch.isIdle());
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?watch=7&wait_ms=10000"),
                         store_.targets.back());
    store_.fail(runtime::CurlOutcome::kBroken);
    poll_time = seconds(2);
    world_.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?watch=7&wait_ms=2000"),
                         store_.targets.back());
  }

  void appliesChangesReadElsewhere() {
    begin();
    watch_.applyChanges({{{{"a", 8, {}}, false}, {{"b", 9, {}}, true}}, 9});
    CPPUNIT_ASSERT_EQUAL(std::string("+a8 -b . "), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, watch_.revision());
    // The watch pending since revision 7 returns the same changes again.
    store_.answer(200, eventsJson(9, {{objectJson("a", 8), false}, {objectJson("b", 9), true}}));
    CPPUNIT_ASSERT_EQUAL(std::string(". "), listener_.takeRecorded());
  }

  void reportsListingsAsChanges() {
    std::string reported;
    ObjectWatchSettings settings;
    settings.callbacks.on_listed = [&](const wire::ObjectEvents& objects) {
      reported += "@" + std::to_string(objects.at);
    };
    settings.callbacks.on_changes = [&](const wire::ObjectEvents& events) {
      for (const wire::ObjectEvent& event : events.events) {
        reported += (event.deleted ? "-" : "+") + event.object.name;
      }
      reported += "@" + std::to_string(events.at);
    };
    ObjectWatch watch("servers", settings, process_.context(), store_, listener_);
    watch.start();
    store_.answer(200, pageJson(7, {objectJson("a", 3), objectJson("b", 7)}));
    CPPUNIT_ASSERT_EQUAL(std::string("@7"), std::exchange(reported, ""));
    store_.answer(410, "{}");
    store_.answer(200, pageJson(12, {objectJson("b", 7), objectJson("c", 11)}));
    CPPUNIT_ASSERT_EQUAL(std::string("+c-a@12"), std::exchange(reported, ""));
    store_.answer(200, eventsJson(14, {}));
    CPPUNIT_ASSERT_EQUAL(std::string("@14"), reported);
  }

  void batchesChangesInQuickSuccession() {
    ObjectWatchSettings settings;
    settings.settle_time = [] { return std::chrono::milliseconds(200); };
    ObjectWatch watch("servers", settings, process_.context(), store_, listener_);
    watch.start();
    store_.answer(200, pageJson(7, {}));
    store_.answer(200, eventsJson(8, {{objectJson("a", 8), false}}));
    CPPUNIT_ASSERT(store_.calls.empty());
    world_.runFor(std::chrono::milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls.size());
    // After a watch without changes, the next one starts at once.
    store_.answer(200, eventsJson(8, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls.size());
  }

 private:
  void begin() {
    watch_.start();
    store_.answer(200, pageJson(7, {objectJson("a", 3), objectJson("b", 7)}));
    listener_.takeRecorded();
  }

  cypresswall::testing::VirtualWorld world_{1};
  cypresswall::testing::VirtualProcess& process_ = world_.spawn({"10.0.0.1:1", 1}, "z");
  testing::FakeStore store_;
  RecordingListener listener_;
  ObjectWatch watch_{"servers", {}, process_.context(), store_, listener_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectWatchTest);

}  // namespace
}  // namespace cypresswall::objects_platform
