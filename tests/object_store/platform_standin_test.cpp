/// The platform's HTTP clients against the platform stand-in, over real sockets.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/emulation/machine_list.h"
#include "cypresswall/emulation/object_store.h"
#include "cypresswall/emulation/weight_store.h"
#include "cypresswall/http/server.h"
#include "cypresswall/object_store/http_machine_list.h"
#include "cypresswall/object_store/http_object_store.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "standins/fronts/platform_front.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::object_store {
namespace {

using testing::runUntil;

class PlatformStandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformStandinTest);
  CPPUNIT_TEST(writesAreComparedAndSet);
  CPPUNIT_TEST(lostAnswersAreUnknownUntilReadBack);
  CPPUNIT_TEST(outagesDoNothing);
  CPPUNIT_TEST(watchesReturnChanges);
  CPPUNIT_TEST(watchesFailAfterRestore);
  CPPUNIT_TEST(readsMachines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    server_->start();
    HttpObjectStoreSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(server_->port());
    settings.watch_poll_time = std::chrono::milliseconds(200);
    client_.emplace(curl_, counters_, settings);
  }

  void writesAreComparedAndSet() {
    const std::string key = "fleet/changes/1 %/\u00e9";
    const auto first = write(key, 0, "one \"quoted\" \u5bae", "c1");
    CPPUNIT_ASSERT(first.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.value().version);
    CPPUNIT_ASSERT(write(key, 0, "two", "c2").failure().kind == StoreFailure::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("one \"quoted\" \u5bae"), get(key).value().value);
    CPPUNIT_ASSERT(get("other").failure().kind == StoreFailure::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list("fleet/").value().objects.size());
    CPPUNIT_ASSERT(list("x").value().objects.empty());
  }

  void lostAnswersAreUnknownUntilReadBack() {
    emulation::ObjectStoreFaults faults;
    faults.lose_next_answers = 1;
    store_.setFaults(faults);
    CPPUNIT_ASSERT(write("k", 0, "v", "c1").failure().kind == StoreFailure::kUnknownOutcome);
    CPPUNIT_ASSERT_EQUAL(std::string("c1"), get("k").value().change_id);
    // The repeated write conflicts with its own first attempt, which counts as success.
    CPPUNIT_ASSERT(write("k", 0, "v", "c1").ok());
  }

  void outagesDoNothing() {
    emulation::ObjectStoreFaults faults;
    faults.down = true;
    store_.setFaults(faults);
    CPPUNIT_ASSERT(write("k", 0, "v", "c1").failure().kind == StoreFailure::kUnavailable);
    CPPUNIT_ASSERT(get("k").failure().kind == StoreFailure::kUnavailable);
    CPPUNIT_ASSERT(list("").failure().kind == StoreFailure::kUnavailable);
    store_.setFaults({});
    CPPUNIT_ASSERT(get("k").failure().kind == StoreFailure::kNotFound);
  }

  void watchesReturnChanges() {
    const auto start = list("a/").value().revision;
    const auto empty = watch("a/", start);
    CPPUNIT_ASSERT(empty.value().objects.empty());
    std::optional<StoreResult<ObjectListing>> seen;
    client_->watch("a/", start, [&](auto result) { seen = std::move(result); });
    CPPUNIT_ASSERT(write("b/1", 0, "no", "c0").ok());
    CPPUNIT_ASSERT(write("a/1", 0, "yes", "c1").ok());
    CPPUNIT_ASSERT(runUntil(context_, [&] { return seen.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen->value().objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("yes"), seen->value().objects.at(0).value);
  }

  void watchesFailAfterRestore() {
    CPPUNIT_ASSERT(write("a/1", 0, "x", "c1").ok());
    const auto revision = list("a/").value().revision;
    store_.restoreToRevision(0);
    CPPUNIT_ASSERT(watch("a/", revision).failure().kind == StoreFailure::kCompacted);
  }

  void readsMachines() {
    machines_.setWithoutLag({"m1", "hall a&b", MachineState::kLeaving, {"127.0.0.1", "127.0.0.2"}});
    machines_.setWithoutLag({"m2", "other", MachineState::kLive, {}});
    HttpMachineListSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(server_->port());
    HttpMachineList list(curl_, settings);
    std::optional<common::Result<std::vector<Machine>, MachineListFailure>> seen;
    list.fetch("hall a&b", [&](auto result) { seen = std::move(result); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return seen.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen->value().size());
    CPPUNIT_ASSERT(seen->value().at(0).state == MachineState::kLeaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen->value().at(0).addresses.size());
  }

 private:
  template <typename Value, typename Start>
  StoreResult<Value> wait(Start start) {
    std::optional<StoreResult<Value>> answer;
    start([&](StoreResult<Value> result) { answer = std::move(result); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }
  StoreResult<StoredObject> get(const std::string& key) {
    return wait<StoredObject>([&](auto callback) { client_->get(key, callback); });
  }
  StoreResult<StoredObject> write(const std::string& key, std::uint64_t expected,
                                  const std::string& value, const std::string& change) {
    return wait<StoredObject>([&](auto callback) {
      client_->compareAndSet({key, expected, value, change}, callback);
    });
  }
  StoreResult<ObjectListing> list(const std::string& prefix) {
    return wait<ObjectListing>([&](auto callback) { client_->list(prefix, callback); });
  }
  StoreResult<ObjectListing> watch(const std::string& prefix, std::uint64_t revision) {
    return wait<ObjectListing>([&](auto callback) { client_->watch(prefix, revision, callback); });
  }
  std::unique_ptr<http::Server> makeServer() {
    http::ServerSettings settings;
    settings.address = "127.0.0.1:0";
    return http::makeServer(context_, settings,
                            [this](const http::Request& request, const auto& responder) {
                              front_.handle(request, responder);
                            });
  }

  asio::io_context context_;
  runtime::AsioClock clock_;
  runtime::AsioScheduler scheduler_{context_};
  emulation::EmulatedObjectStore store_{clock_, scheduler_};
  emulation::EmulatedMachineList machines_{common::Duration{0}, clock_, scheduler_};
  emulation::EmulatedWeightStore weights_{{}, clock_, scheduler_};
  standins::PlatformFront front_{store_, machines_, weights_};
  std::unique_ptr<http::Server> server_ = makeServer();
  common::CounterRegistry counters_;
  runtime::CurlMulti curl_{context_};
  std::optional<HttpObjectStore> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStandinTest);

}  // namespace
}  // namespace cypresswall::object_store
