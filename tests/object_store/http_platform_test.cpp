#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/object_store/http_machine_list.h"
#include "cypresswall/object_store/http_object_store.h"
#include "cypresswall/object_store/platform_json.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::object_store {
namespace {

using testing::httpAnswer;
using testing::runUntil;

constexpr const char* kObject =
    R"({"key": "a/b", "version": 3, "value": "v", "change_id": "c", "revision": 9})";

class HttpPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpPlatformTest);
  CPPUNIT_TEST(readsObjects);
  CPPUNIT_TEST(writesAndReportsWriteFailures);
  CPPUNIT_TEST(listsAndWatches);
  CPPUNIT_TEST(readsMachines);
  CPPUNIT_TEST(oddMachineListIsNotAnEmptyOne);
  CPPUNIT_TEST(malformedAnswersAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsObjects() {
    server_.answer(httpAnswer(200, kObject));
    const auto object = get();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, object.value().version);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), object.value().change_id);
    CPPUNIT_ASSERT(server_.requests().at(0).starts_with("GET /objects/a%2Fb HTTP/1.1"));
    server_.answer(httpAnswer(404, "{}"));
    CPPUNIT_ASSERT(get().failure().kind == StoreFailure::kNotFound);
    server_.answer(httpAnswer(503, "{}"));
    CPPUNIT_ASSERT(get().failure().kind == StoreFailure::kUnavailable);
    server_.answer(httpAnswer(200, "{"));
    CPPUNIT_ASSERT(get().failure().kind == StoreFailure::kUnavailable);
    server_.answer("", true);
    CPPUNIT_ASSERT(get().failure().kind == StoreFailure::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(3.0, counters_.total("cypresswall_store_unavailable_total"));
  }

  void writesAndReportsWriteFailures() {
    server_.answer(httpAnswer(200, kObject));
    CPPUNIT_ASSERT(write(store_).ok());
    const std::string& sent = server_.requests().at(0);
    CPPUNIT_ASSERT(sent.starts_with("PUT /objects/a%2Fb HTTP/1.1"));
    CPPUNIT_ASSERT(sent.ends_with(R"({"change_id":"c","expected_version":2,"value":"v"})"));
    // An earlier attempt of the same write took effect.
    server_.answer(httpAnswer(409, kObject));
    CPPUNIT_ASSERT(write(store_).ok());
    std::string of_another = kObject;
    of_another.replace(of_another.find("\"c\""), 3, "\"d\"");
    server_.answer(httpAnswer(409, of_another));
    CPPUNIT_ASSERT(write(store_).failure().kind == StoreFailure::kConflict);
    server_.answer(httpAnswer(503, "down"));
    CPPUNIT_ASSERT(write(store_).failure().kind == StoreFailure::kUnavailable);
    server_.answer(httpAnswer(504, "lost"));
    CPPUNIT_ASSERT(write(store_).failure().kind == StoreFailure::kUnknownOutcome);
    server_.answer("", true);
    CPPUNIT_ASSERT(write(store_).failure().kind == StoreFailure::kUnknownOutcome);
    server_.answer(httpAnswer(200, "{"));
    CPPUNIT_ASSERT(write(store_).failure().kind == StoreFailure::kUnknownOutcome);
    // No answer within the time limit: the write may have taken effect.
    CPPUNIT_ASSERT(write(store_).failure().kind == StoreFailure::kUnknownOutcome);
    HttpObjectStore unreachable(curl_, counters_, settingsFor("127.0.0.1:1"));
    CPPUNIT_ASSERT(write(unreachable).failure().kind == StoreFailure::kUnavailable);
  }

  void listsAndWatches() {
    server_.answer(
        httpAnswer(200, std::string(R"({"revision": 9, "objects": [)") + kObject + "]}"));
    std::optional<StoreResult<ObjectListing>> answer;
    const auto keep = [&](StoreResult<ObjectListing> result) { answer = std::move(result); };
    store_.list("a/", keep);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, answer->value().revision);
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), answer->value().objects.at(0).key);
    CPPUNIT_ASSERT(server_.requests().at(0).starts_with("GET /objects?prefix=a%2F HTTP/1.1"));
    server_.answer(httpAnswer(410, "{}"));
    answer.reset();
    store_.watch("a/", 9, keep);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    CPPUNIT_ASSERT(answer->failure().kind == StoreFailure::kCompacted);
    CPPUNIT_ASSERT(
        server_.requests().at(1).starts_with("GET /watch?prefix=a%2F&after=9&wait_ms=5000 "));
  }

  void readsMachines() {
    HttpMachineListSettings settings;
    settings.address = server_.address();
    HttpMachineList machines(curl_, settings);
    server_.answer(httpAnswer(200, R"({"machines": [{"name": "m1", "zone": "hall 1",
        "state": "leaving", "addresses": ["127.0.0.1"]}]})"));
    CPPUNIT_ASSERT(fetch(machines).value().at(0).state == MachineState::kLeaving);
    CPPUNIT_ASSERT(server_.requests().at(0).starts_with("GET /machines?zone=hall%201 "));
    server_.answer(httpAnswer(200, R"({"machines": [{"name": "m1", "zone": "z",
        "state": "asleep", "addresses": []}]})"));
    CPPUNIT_ASSERT(!fetch(machines).ok());
    server_.answer(httpAnswer(500, ""));
    CPPUNIT_ASSERT(!fetch(machines).ok());
  }

  /// Guards against nodes that take all machines for gone since the list can't be read.
  void oddMachineListIsNotAnEmptyOne() {
    CPPUNIT_ASSERT(parseMachines(R"({"machines": []})").empty());
    for (const std::string& odd :
         {std::string("null"), std::string("1e400"), std::string("{}"), std::string("7"),
          std::string("\"\""), std::string(100'000, '[') + std::string(100'000, ']')}) {
      CPPUNIT_ASSERT_THROW_MESSAGE(odd.substr(0, 20), parseMachines("{\"machines\": " + odd + "}"),
                                   PlatformProtocolError);
    }
  }

  void malformedAnswersAreRefused() {
    testing::requireProperty(
        "no answer of the platform crashes a parser", 2000, [](const std::string& bytes) {
          RC_ASSERT_THROWS_AS(parseStoredObject(bytes), PlatformProtocolError);
          RC_ASSERT_THROWS_AS(parseObjectListing(bytes), PlatformProtocolError);
          RC_ASSERT_THROWS_AS(parseMachines(bytes), PlatformProtocolError);
        });
  }

 private:
  static HttpObjectStoreSettings settingsFor(const common::Address& address) {
    HttpObjectStoreSettings settings;
    settings.address = address;
    settings.write_time_limit = std::chrono::milliseconds(200);
    return settings;
  }

  StoreResult<StoredObject> get() {
    std::optional<StoreResult<StoredObject>> answer;
    store_.get("a/b", [&](auto result) { answer = std::move(result); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }

  StoreResult<StoredObject> write(HttpObjectStore& store) {
    std::optional<StoreResult<StoredObject>> answer;
    store.compareAndSet({"a/b", 2, "v", "c"}, [&](auto result) { answer = std::move(result); });
    CPPUNIT_ASSERT(!answer.has_value());
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }

  common::Result<std::vector<Machine>, MachineListFailure> fetch(HttpMachineList& machines) {
    std::optional<common::Result<std::vector<Machine>, MachineListFailure>> answer;
    machines.fetch("hall 1", [&](auto result) { answer = std::move(result); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  common::CounterRegistry counters_;
  runtime::CurlMulti curl_{context_};
  HttpObjectStore store_{curl_, counters_, settingsFor(server_.address())};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpPlatformTest);

}  // namespace
}  // namespace cypresswall::object_store
