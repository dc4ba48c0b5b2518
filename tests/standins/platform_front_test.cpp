#include "standins/fronts/platform_front.h"

#include "cypresswall/simulation/virtual_time.h"
#include "standins/fronts/service_front.h"
#include "tests/standins/recording_responder.h"
#include "tests/support/property.h"

namespace cypresswall::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PlatformFrontTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformFrontTest);
  CPPUNIT_TEST(writesAndReadsObjects);
  CPPUNIT_TEST(storeFailuresHaveTheirStatus);
  CPPUNIT_TEST(watchAnswersWithTheChange);
  CPPUNIT_TEST(machineListLags);
  CPPUNIT_TEST(weightStoreRefusesWithRetryAfter);
  CPPUNIT_TEST(serviceSaysNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void writesAndReadsObjects() {
    CPPUNIT_ASSERT_EQUAL(404, call("GET", "/objects/a/b")->status);
    const auto written = put("a/b", 0)->json();
    CPPUNIT_ASSERT_EQUAL(1, written.at("version").get<int>());
    const auto read = call("GET", "/objects/a/b")->json();
    CPPUNIT_ASSERT_EQUAL(written, read);
    const auto listed = call("GET", "/objects", "", {{"prefix", "a/"}})->json();
    CPPUNIT_ASSERT_EQUAL(read, listed.at("objects").at(0));
  }

  void storeFailuresHaveTheirStatus() {
    put("a", 0);
    const auto conflict = put("a", 0);
    CPPUNIT_ASSERT_EQUAL(409, conflict->status);
    CPPUNIT_ASSERT_EQUAL(1, conflict->json().at("version").get<int>());
    call("POST", "/admin/faults", R"({"lose_next_answers": 1})");
    CPPUNIT_ASSERT(put("a", 1)->aborted);
    CPPUNIT_ASSERT_EQUAL(2, call("GET", "/objects/a")->json().at("version").get<int>());
    CPPUNIT_ASSERT_EQUAL(410, call("GET", "/watch", "", {{"after", "99"}})->status);
    CPPUNIT_ASSERT_EQUAL(400, call("GET", "/watch", "", {{"after", "x"}})->status);
    call("POST", "/admin/faults", R"({"down": true})");
    CPPUNIT_ASSERT_EQUAL(503, call("GET", "/objects/a")->status);
  }

  void watchAnswersWithTheChange() {
    const auto watch = call("GET", "/watch", "", {{"prefix", "a"}, {"after", "0"}});
    CPPUNIT_ASSERT(!watch->complete);
    put("a", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch->json().at("objects").size());
    const auto idle = call("GET", "/watch", "", {{"after", "1"}, {"wait_ms", "50"}});
    time_.runFor(milliseconds(60));
    CPPUNIT_ASSERT(idle->json().at("objects").empty());
  }

  void machineListLags() {
    const std::string machine = R"("name": "m", "zone": "z", "addresses": ["127.0.0.1"])";
    call("POST", "/admin/machines", "{" + machine + R"(, "at_once": true})");
    call("POST", "/admin/machines", "{" + machine + R"(, "state": "leaving"})");
    CPPUNIT_ASSERT_EQUAL(std::string("live"), stateOfFirstMachine());
    time_.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), stateOfFirstMachine());
  }

  void weightStoreRefusesWithRetryAfter() {
    const auto first = call("GET", "/weights", "", {{"uri", "u"}});
    const auto second = call("GET", "/weights", "", {{"uri", "u"}});
    CPPUNIT_ASSERT_EQUAL(429, second->status);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), second->headers.at(0).value);
    time_.runFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(200, first->status);
  }

  void serviceSaysNotRun() {
    emulation::EmulatedService service("portal", milliseconds(1), time_);
    ServiceFront front(service);
    ask(front, "POST", "/admin/faults", R"({"refuse_next": 1})");
    const auto refused = ask(front, "POST", "/customs-status");
    time_.runFor(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(503, refused->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused->headers.back().value);
    CPPUNIT_ASSERT(ask(front, "GET", "/admin/ledger")->json().at("executions").empty());
    ask(front, "POST", "/customs-status");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ask(front, "GET", "/admin/ledger")->json().at("executions").size());
  }

 private:
  std::shared_ptr<RecordingResponder> call(const std::string& method, const std::string& path,
                                           const std::string& body = "",
                                           std::map<std::string, std::string> query = {}) {
    auto responder = ask(front_, method, path, body, std::move(query));
    time_.runFor(milliseconds(1));
    return responder;
  }
  std::shared_ptr<RecordingResponder> put(const std::string& key, int expected) {
    return call("PUT", "/objects/" + key,
                R"({"value": "v", "change_id": "c", "expected_version": )" +
                    std::to_string(expected) + "}");
  }
  std::string stateOfFirstMachine() {
    const auto machines = call("GET", "/machines", "", {{"zone", "z"}})->json().at("machines");
    return machines.at(0).at("state").get<std::string>();
  }

  simulation::VirtualTime time_;
  emulation::EmulatedObjectStore store_{time_, time_};
  emulation::EmulatedMachineList machines_{seconds(1), time_, time_};
  emulation::EmulatedWeightStore weights_{{8e9, 1, 16'000'000'000}, time_, time_};
  PlatformFront front_{store_, machines_, weights_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFrontTest);

}  // namespace
}  // namespace cypresswall::standins
