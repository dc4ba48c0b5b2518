/// Responses of the platform's store and of its duty calls that end early, at the clients' own
/// interfaces.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "platform/duty_client.h"
#include "platform/object_store_client.h"
#include "platform/object_watch.h"
#include "tests/objects_platform/fake_store.h"
#include "tests/support/cut_response.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

using cypresswall::testing::CutResponse;
using cypresswall::testing::httpAnswer;
using cypresswall::testing::runUntil;
using duties::DutyFailure;
using object_store::StoreFailure;
using testing::eventsJson;
using testing::objectJson;
using testing::pageJson;

constexpr const char* kSpec = R"({"value": "v", "change_id": "c"})";
constexpr const char* kEra = "Store-Era: 7\r\n";

class CountingListener final : public ObjectWatchListener {
 public:
  void onPut(const wire::StoreObject&) override { ++changes; }
  void onDeleted(const std::string&) override { ++changes; }
  void onCaughtUp() override { ++changes; }

  int changes = 0;
};

class CutStoreResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutStoreResponseTest);
  CPPUNIT_TEST(cutReadsFail);
  CPPUNIT_TEST(cutLastPageFailsTheListing);
  CPPUNIT_TEST(cutWritesHaveAnUnknownOutcome);
  CPPUNIT_TEST(cutHeadNamesNoIncarnation);
  CPPUNIT_TEST(watchTakesWholeResponsesOnly);
  CPPUNIT_TEST(cutDutyCallsHaveAnUnknownOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a part of a listing that is taken for all there is, and against objects that
  /// are taken for missing because the answer was cut.
  void cutReadsFail() {
    const auto get = [this](auto callback) { store_.get("a", callback); };
    const auto list = [this](auto callback) { store_.list("a", callback); };
    const auto watch = [this](auto callback) { store_.watch("a", 9, callback); };
    requireFailure(httpAnswer(200, objectJson("a", 3, kSpec)), StoreFailure::kUnavailable, get);
    requireFailure(httpAnswer(404, "{}"), StoreFailure::kUnavailable, get);
    requireFailure(httpAnswer(200, pageJson(9, {objectJson("a", 3, kSpec)})),
                   StoreFailure::kUnavailable, list);
    requireFailure(httpAnswer(200, eventsJson(9, {})), StoreFailure::kUnavailable, watch);
    requireFailure(httpAnswer(410, "{}"), StoreFailure::kUnavailable, watch);
  }

  void cutLastPageFailsTheListing() {
    const std::string first = httpAnswer(200, pageJson(9, {objectJson("a", 3, kSpec)}, true));
    const std::string last = httpAnswer(200, pageJson(9, {objectJson("b", 4, kSpec)}));
    forEachCut(server_, last, [&](const CutResponse& cut) {
      server_.answerFirst(first);
      const auto failure = failureOf([this](auto callback) { store_.list("", callback); });
      CPPUNIT_ASSERT_MESSAGE(cut.description, failure == StoreFailure::kUnavailable);
    });
  }

  /// Guards against writes that are believed made, or believed refused, on the word of a part of
  /// the answer.
  void cutWritesHaveAnUnknownOutcome() {
    for (const std::uint64_t version : {0, 3}) {
      for (const int status : {200, 201, 404, 409, 503}) {
        requireFailure(httpAnswer(status, objectJson("a", 4, kSpec)), StoreFailure::kUnknownOutcome,
                       [&](auto callback) {
                         store_.compareAndSet({"a", version, "v", "c"}, callback);
                       });
      }
    }
  }

  /// Guards against all known state that is dropped because half of a head named an incarnation of
  /// the store, perhaps with digits missing.
  void cutHeadNamesNoIncarnation() {
    const std::string response = httpAnswer(200, objectJson("a", 3, kSpec), kEra);
    const auto get = [this](auto callback) { store_.get("a", callback); };
    forEachCut(server_, response, [&](const CutResponse& cut) {
      if (!cut.head_arrives) {
        failureOf(get);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description, std::uint64_t{0}, incarnation_.current());
      } else {
        server_.discardAnswers();
      }
    });
    server_.answer(response, true);
    CPPUNIT_ASSERT(!failureOf(get));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, incarnation_.current());
  }

  /// Guards against objects that vanish from a watch because the end of a listing or of a batch of
  /// changes is missing.
  void watchTakesWholeResponsesOnly() {
    CountingListener listener;
    ObjectWatchSettings watching;
    watching.calls = settings();
    watching.poll_time = [] { return std::optional<common::Duration>(); };
    ObjectWatch watch("cypresswall", watching, process_.context(), calls_, listener);
    server_.answer(httpAnswer(200, pageJson(9, {objectJson("a", 3)})));
    watch.start();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return watch.revision() == 9; }));
    listener.changes = 0;
    double failures = 0;
    forEachCut(server_, httpAnswer(200, eventsJson(12, {{objectJson("a", 3), true}})),
               [&](const CutResponse& cut) {
                 watch.pollNow();
                 ++failures;
                 CPPUNIT_ASSERT(runUntil(context_, [&] { return watchFailures() == failures; }));
                 CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description, 0, listener.changes);
                 CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description, std::uint64_t{9}, watch.revision());
                 world_.runFor(std::chrono::seconds(1));
               });
  }

  /// Guards against a usage report or an order for capacity that is believed taken or refused.
  void cutDutyCallsHaveAnUnknownOutcome() {
    DutyClient client(curl_, {server_.address()});
    for (const int status : {200, 400, 409, 503}) {
      forEachCut(server_, httpAnswer(status, "{}"), [&](const CutResponse& cut) {
        std::optional<DutyFailure> failure;
        int done = 0;
        const auto keep = [&](const std::optional<DutyFailure>& given) {
          failure = given;
          ++done;
        };
        client.reportUsage({"n", 1}, {1, {}}, keep);
        CPPUNIT_ASSERT(runUntil(context_, [&] { return done == 1; }));
        CPPUNIT_ASSERT_MESSAGE(cut.description, failure == DutyFailure::kUnknownOutcome);
      });
    }
  }

 private:
  StoreCallSettings settings() const {
    StoreCallSettings made;
    made.address = server_.address();
    return made;
  }

  double watchFailures() {
    return process_.counters().total("cypresswall_object_watch_failures_total");
  }

  template <typename Call>
  std::optional<StoreFailure> failureOf(Call call) {
    std::optional<StoreFailure> failure;
    bool done = false;
    call([&](const auto& result) {
      done = true;
      failure = result.ok() ? std::nullopt : std::optional(result.failure().kind);
    });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return done; }));
    return failure;
  }

  template <typename Call>
  void requireFailure(const std::string& response, StoreFailure failure, Call call) {
    forEachCut(server_, response, [&](const CutResponse& cut) {
      CPPUNIT_ASSERT_MESSAGE(cut.description, failureOf(call) == failure);
    });
  }

  cypresswall::testing::VirtualWorld world_{1};
  cypresswall::testing::VirtualProcess& process_ = world_.spawn({"10.0.0.1:1", 1}, "z");
  asio::io_context context_;
  cypresswall::testing::ScriptedServer server_{context_};
  common::CounterRegistry counters_;
  runtime::CurlMulti curl_{context_};
  store_relay::StoreIncarnation incarnation_{process_.context()};
  CurlStoreCalls plain_calls_{curl_, settings()};
  IncarnationCheckedCalls calls_{plain_calls_, incarnation_};
  ObjectStoreClient store_{calls_, counters_, settings(), incarnation_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutStoreResponseTest);

}  // namespace
}  // namespace cypresswall::objects_platform
