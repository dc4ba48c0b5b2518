#include "platform/object_watch.h"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "tests/objects_platform/fake_store.h"
#include "tests/objects_platform/odd_objects.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

using std::chrono::seconds;
using testing::eventsJson;
using testing::objectJson;
using testing::pageJson;

/// Records its calls as "+name", "-name" and ".". If `fails` is set, the next put throws instead.
class RecordingListener final : public ObjectWatchListener {
 public:
  void onPut(const wire::StoreObject& object) override {
    if (std::exchange(fails, false)) {
      throw std::runtime_error("listener");
    }
    recorded_ += "+" + object.name + std::to_string(object.revision) + " ";
  }
  void onDeleted(const std::string& name) override { recorded_ += "-" + name + " "; }
  void onCaughtUp() override { recorded_ += ". "; }
  std::string takeRecorded() { return std::exchange(recorded_, ""); }

  bool fails = false;

 private:
  std::string recorded_;
};

class RecordingSink final : public common::LogSink {
 public:
  bool enabled(common::LogLevel) const override { return true; }
  void write(common::LogLevel, const std::string& line) override { lines.push_back(line); }

  std::vector<std::string> lines;
};

class ObjectWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectWatchTest);
  CPPUNIT_TEST(listsThenWatches);
  CPPUNIT_TEST(readsEveryPage);
  CPPUNIT_TEST(listsAgainAfterCompaction);
  CPPUNIT_TEST(keepsStateWhileStoreIsDown);
  CPPUNIT_TEST(ignoresStaleAnswers);
  CPPUNIT_TEST(readsAgainAfterAListenerHasFailed);
  CPPUNIT_TEST(malformedAnswersAreFailures);
  CPPUNIT_TEST(malformedObjectsDoNotHideOthers);
  CPPUNIT_TEST(malformedEventsAreSkipped);
  CPPUNIT_TEST(oddObjectsDoNotHideOthers);
  CPPUNIT_TEST(objectsWithManyValuesDoNotHideOthers);
  CPPUNIT_TEST(oneLineForAnEntryThatStaysUnreadable);
  CPPUNIT_TEST(listsBeyondAnUnreadablePage);
  CPPUNIT_TEST(listingWithoutAPositionFailsLoudly);
  CPPUNIT_TEST(listedObjectsThatCannotBeReadAreKept);
  CPPUNIT_TEST(intactObjectsOnlyWhereRequired);
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

  // A listener that failed once left the watch without a next call, so that the node never heard of
  // the store's changes again.
  void readsAgainAfterAListenerHasFailed() {
    const auto page = pageJson(7, {objectJson("a", 3), objectJson("b", 7)});
    listener_.fails = true;
    watch_.start();
    CPPUNIT_ASSERT_THROW(store_.answer(200, page), std::runtime_error);
    world_.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls.size());
    store_.answer(200, page);
    CPPUNIT_ASSERT_EQUAL(std::string("+a3 +b7 . "), listener_.takeRecorded());
    const auto events = eventsJson(8, {{objectJson("a", 8), false}});
    listener_.fails = true;
    CPPUNIT_ASSERT_THROW(store_.answer(200, events), std::runtime_error);
    world_.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.calls.size());
    store_.answer(200, events);
    CPPUNIT_ASSERT_EQUAL(std::string("+a8 . "), listener_.takeRecorded());
  }

  void malformedAnswersAreFailures() {
    begin();
    for (const char* unreadable :
         {R"({"events": 7, "at": 9})", R"({"events": {}, "at": 9})", R"({"events": "a", "at": 9})",
          R"({"events": 1e400, "at": 9})", R"({"at": 9})", R"([])", R"({"events": []})",
          R"({"events": [], "at": -9})", R"({"events": [], "at": 9.5})",
          R"({"events": [], "at": 1e300})", R"({"events": [], "at": "9"})",
          R"({"events": [], "at": 9)"}) {
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

  /// Guards against a watch that stops at one odd event: the same answer came again at each call.
  void malformedEventsAreSkipped() {
    begin();
    std::uint64_t revision = 9;
    for (const std::string odd :
         {R"(7)", R"(null)", R"("text")", R"([])", R"({"gone": false})",
          R"({"gone": "yes", "object": {"metadata": {"name": "a", "revision": 9}, "spec": {}}})",
          R"({"gone": true, "object": null})", R"({"gone": true, "object": [1]})",
          R"({"gone": true, "object": {"metadata": {"name": "", "revision": 9}}})",
          R"({"gone": true, "object": {"metadata": {"name": "a\u0000", "revision": 9}}})"}) {
      const std::string at = std::to_string(++revision);
      std::string answer = R"({"events": [)";
      answer += odd;
      answer += R"(, {"gone": false, "object": )";
      answer += objectJson("b", revision);
      answer += R"(}], "at": )";
      answer += at;
      answer += "}";
      store_.answer(200, answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, "+b" + at + " . ", listener_.takeRecorded());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, revision, watch_.revision());
    }
    CPPUNIT_ASSERT_EQUAL(10.0, unreadableObjects());
  }

  /// Guards against a node that ends by itself, or follows the store no longer, because of one
  /// entry: nested 100,000 deep, a number out of range, a lone surrogate, bytes that are not UTF-8.
  void oddObjectsDoNotHideOthers() {
    begin();
    std::uint64_t revision = 9;
    for (const std::string& odd : cypresswall::testing::oddStoredValues()) {
      const std::string at = std::to_string(++revision);
      for (const std::string& object : testing::objectsWith(odd, revision)) {
        RecordingListener listed;
        testing::FakeStore store;
        ObjectWatch other("servers", {}, process_.context(), store, listed);
        other.start();
        store.answer(200, pageJson(revision, {object, objectJson("b", revision)}));
        CPPUNIT_ASSERT_MESSAGE(object.substr(0, 200),
                               listed.takeRecorded().ends_with("+b" + at + " . "));
        store.answer(200, eventsJson(revision + 1,
                                     {{object, false}, {objectJson("c", revision + 1), false}}));
        CPPUNIT_ASSERT_MESSAGE(
            object.substr(0, 200),
            listed.takeRecorded().ends_with("+c" + std::to_string(revision + 1) + " . "));
        CPPUNIT_ASSERT_EQUAL(revision + 1, other.revision());
      }
    }
  }

  /// Guards against a node that never gets ready, or follows the store no longer, because of
  /// entries that have more than a million values together.
  void objectsWithManyValuesDoNotHideOthers() {
    std::string odd = "[0";
    for (std::size_t value = 0; value < common::kMaximumJsonValues / 2; ++value) {
      odd += ",0";
    }
    odd += "]";
    for (const std::string& object : testing::objectsWith(odd, 8)) {
      RecordingListener listed;
      testing::FakeStore store;
      ObjectWatch other("servers", {}, process_.context(), store, listed);
      other.start();
      store.answer(200, pageJson(8, {object, object, objectJson("b", 7)}));
      CPPUNIT_ASSERT_MESSAGE(object.substr(0, 200), listed.takeRecorded().ends_with("+b7 . "));
      store.answer(200,
                   eventsJson(9, {{object, false}, {object, false}, {objectJson("c", 9), false}}));
      CPPUNIT_ASSERT_MESSAGE(object.substr(0, 200), listed.takeRecorded().ends_with("+c9 . "));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other.revision());
      store.answer(200, eventsJson(10, {{objectJson("c", 10), true}}));
      CPPUNIT_ASSERT_EQUAL(std::string("-c . "), listed.takeRecorded());
    }
    CPPUNIT_ASSERT_EQUAL(0.0, process_.counters().total("cypresswall_object_watch_failures_total"));
  }

  void oneLineForAnEntryThatStaysUnreadable() {
    RecordingSink sink;
    const api::ProcessContext quiet = process_.context();
    const api::ProcessContext context{quiet.self,      quiet.zone,      quiet.clock,
                                      quiet.scheduler, quiet.random,    sink,
                                      quiet.counters,  quiet.transport, quiet.dispatcher};
    ObjectWatch watch("servers", {}, context, store_, listener_);
    watch.start();
    store_.answer(200, pageJson(7, {}));
    for (std::uint64_t revision = 8; revision < 108; ++revision) {
      store_.answer(200,
                    eventsJson(revision, {{R"({"metadata": {"name": ")" + std::string(100000, 'x') +
                                               R"(", "revision": 9}, "spec": {"a": 1e400}})",
                                           false}}));
    }
    CPPUNIT_ASSERT_EQUAL(100.0, unreadableObjects());
    CPPUNIT_ASSERT_EQUAL(
        100.0, process_.counters().total("cypresswall_object_watch_replaced_values_total"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink.lines.size());
    for (const std::string& line : sink.lines) {
      CPPUNIT_ASSERT_MESSAGE(line, line.size() < 500);
    }
    CPPUNIT_ASSERT(sink.lines.front().find("entry=xxx") != std::string::npos);
  }

  /// Guards against a listing that ends, or begins anew for ever, at a page of odd objects.
  void listsBeyondAnUnreadablePage() {
    watch_.start();
    const std::string odd = R"({"metadata": {"name": "odd", "revision": "x"}})";
    const std::string huge = R"({"metadata": {"name": ")" + std::string(1U << 20U, 'p') +
                             R"(", "revision": 3}, "spec": {}})";
    store_.answer(200, pageJson(7, {objectJson("a", 3)}, true));
    store_.answer(200, pageJson(7, {odd, odd}, true));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers?after=odd"), store_.targets.back());
    store_.answer(200, pageJson(7, {huge}, true));
    CPPUNIT_ASSERT(store_.targets.back().starts_with("GET /objects/servers?after=ppp"));
    CPPUNIT_ASSERT(store_.targets.back().size() < 2 * wire::kMaximumNameBytes);
    store_.answer(200, pageJson(7, {objectJson("q", 5)}));
    CPPUNIT_ASSERT_EQUAL(std::string("+a3 +q5 . "), listener_.takeRecorded());
  }

  void listingWithoutAPositionFailsLoudly() {
    watch_.start();
    for (const std::string nameless : {"7", "{}", R"({"metadata": {"name": 7, "revision": 3}})",
                                       R"({"metadata": {"name": "", "revision": 3}})"}) {
      store_.answer(200, pageJson(7, {nameless}, true));
      CPPUNIT_ASSERT(store_.calls.empty());
      world_.runFor(seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::string("GET /objects/servers"), store_.targets.back());
    }
    // A store that does not go on ends no listing either.
    store_.answer(200, pageJson(7, {objectJson("a", 3)}, true));
    store_.answer(200, pageJson(7, {objectJson("a", 3)}, true));
    CPPUNIT_ASSERT(store_.calls.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(5.0, process_.counters().total("cypresswall_object_watch_failures_total"));
  }

  void listedObjectsThatCannotBeReadAreKept() {
    begin();
    store_.answer(410, "{}");
    store_.answer(200, pageJson(9, {R"({"metadata": {"name": "a", "revision": -1}, "spec": {}})"}));
    CPPUNIT_ASSERT_EQUAL(std::string("-b . "), listener_.takeRecorded());
  }

  void intactObjectsOnlyWhereRequired() {
    ObjectWatchSettings settings;
    settings.requires_intact_objects = true;
    std::string reported;
    settings.callbacks.on_changes = [&](const wire::ObjectEvents& events) {
      for (const wire::ObjectEvent& event : events.events) {
        reported += event.object.name;
      }
    };
    ObjectWatch watch("config", settings, process_.context(), store_, listener_);
    watch.start();
    store_.answer(200, pageJson(7, {objectJson("main", 3), objectJson("z", 3)}));
    listener_.takeRecorded();
    const std::string odd = R"({"tenants": 1e400})";
    store_.answer(200, eventsJson(9, {{objectJson("main", 8, odd), false},
                                      {objectJson("z", 9, R"({"a": [1]})"), false}}));
    CPPUNIT_ASSERT_EQUAL(std::string("+z9 . "), listener_.takeRecorded());
    CPPUNIT_ASSERT_EQUAL(std::string("z"), reported);
    store_.answer(410, "{}");
    store_.answer(200, pageJson(11, {objectJson("main", 8, odd), objectJson("z", 9)}));
    CPPUNIT_ASSERT_EQUAL(std::string(". "), listener_.takeRecorded());
    store_.answer(200, eventsJson(12, {{objectJson("main", 12, odd), true}}));
    CPPUNIT_ASSERT_EQUAL(std::string("-main . "), listener_.takeRecorded());
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
  double unreadableObjects() const {
    return process_.counters().total("cypresswall_object_watch_unreadable_objects_total");
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
