/// Checks the invariants under faults of real processes: daemons and stand-ins on loopback under a
/// mixed load, with kills, pauses longer than the lease, store outages and engine crashes.
#include <csignal>
#include <cstdio>
#include <future>
#include <string>
#include <vector>

#include "tests/process/order_check.h"
#include "tests/process/test_fleet.h"
#include "tests/process/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using nlohmann::json;

constexpr std::size_t kNodes = 3;
constexpr std::size_t kEngines = 4;
constexpr std::size_t kThreads = 6;
constexpr int kStopSeconds = 30;

class ProcessFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessFaultsTest);
  CPPUNIT_TEST(killedHolderIsReplacedAndNoRequestRunsTwice);
  CPPUNIT_TEST(pausedHolderGivesNoOrderAfterItsLease);
  CPPUNIT_TEST(storeOutageAndLostAnswerAreReportedCorrectly);
  CPPUNIT_TEST(engineCrashDuringChangeLeavesNoEngineDrained);
  CPPUNIT_TEST(rollingReplacementCutsNoRequest);
  CPPUNIT_TEST(requestsThatOutlastAPlannedStopAreAnswered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void killedHolderIsReplacedAndNoRequestRunsTwice() {
    TestFleet fleet(kNodes, kEngines);
    Workload load(fleet, kThreads);
    load.waitForMore(20, 5);
    const std::size_t killed = fleet.leaseHolder();
    fleet.daemon(killed).kill();
    load.setEnabled(killed, false);
    waitUntil("another node holds the lease",
              [&] { return fleet.leaseHolder(others(killed)) < fleet.nodes(); });
    load.waitForMore(20, 5);
    fleet.restart(killed);
    load.setEnabled(killed, true);
    load.waitForMore(20, 5);
    checkAndReport("kill", fleet, load.finish());
  }

  void pausedHolderGivesNoOrderAfterItsLease() {
    TestFleet fleet(kNodes, kEngines);
    Workload load(fleet, kThreads);
    load.waitForMore(10, 2);
    const std::size_t paused = fleet.leaseHolder();
    const std::size_t asked = others(paused).front();
    load.setEnabled(paused, false);
    accept(fleet.command(asked, "pin engine runner-0 role decode"));
    fleet.daemon(paused).signal(SIGSTOP);
    waitUntil("another node holds the lease",
              [&] { return fleet.leaseHolder(others(paused)) < fleet.nodes(); });
    waitUntil("the next holder executes the pin",
              [&] { return fleet.engineLoad(0).value("role", "") == "decode"; });
    fleet.daemon(paused).signal(SIGCONT);
    waitUntil("the resumed node is ready", [&] { return fleet.ready(paused); });
    accept(fleet.command(asked, "pin engine runner-0 role mixed"));
    waitUntil("orders continue under the next holder",
              [&] { return fleet.engineLoad(0).value("role", "") == "mixed"; });
    load.waitForMore(10, 2);
    checkAndReport("pause", fleet, load.finish());
  }

  void storeOutageAndLostAnswerAreReportedCorrectly() {
    TestFleet fleet(kNodes, kEngines);
    Workload load(fleet, kThreads);
    fleet.platformFault({{"lose_next_answers", 1}});
    accept(fleet.command(1, "declare tenant lost-answer key key-1 requests 10"));
    fleet.platformFault({{"down", true}});
    const json refused = fleet.command(1, "declare tenant never key key-2 requests 10");
    CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"), refused.value("status", ""));
    load.waitForMore(20, 5);
    fleet.platformFault({{"down", false}});
    waitUntil("changes are accepted again", [&] {
      return fleet.command(2, "declare tenant after key key-3 requests 10").value("status", "") ==
             "accepted";
    });
    for (std::size_t node = 0; node < fleet.nodes(); ++node) {
      const std::string tenants = fleet.command(node, "show tenants").dump();
      CPPUNIT_ASSERT(tenants.find("lost-answer") != std::string::npos);
      CPPUNIT_ASSERT(tenants.find("after") != std::string::npos);
      CPPUNIT_ASSERT(tenants.find("never") == std::string::npos);
    }
    checkAndReport("store", fleet, load.finish());
  }

  void engineCrashDuringChangeLeavesNoEngineDrained() {
    TestFleet fleet(kNodes, kEngines);
    Workload load(fleet, kThreads);
    load.waitForMore(10, 2);
    fleet.engineFault(1, {{"crash_in_next_change", true}});
    const json before = fleet.engineLoad(1);
    accept(fleet.command(0, "pin engine runner-1 role decode"));
    waitUntil("the engine restarted with a new incarnation", [&] {
      const json load_now = fleet.engineLoad(1);
      return load_now.is_object() && load_now.value("incarnation", 0ULL) != 0 &&
             load_now["incarnation"] != before["incarnation"];
    });
    waitUntil("the change completes after the restart", [&] {
      const json load_now = fleet.engineLoad(1);
      return load_now.is_object() && load_now.value("role", "") == "decode" &&
             load_now.value("state", "") == "ready";
    });
    accept(fleet.command(0, "unpin engine runner-1"));
    waitUntil("no engine is left drained", [&] {
      const std::string answer = fleet.command(0, "show engines where engine = runner-1").dump();
      return answer.find("draining") == std::string::npos;
    });
    load.waitForMore(20, 5);
    const WorkloadReport report = load.finish();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.broken_streams);
    checkAndReport("engine-crash", fleet, report);
  }

  void rollingReplacementCutsNoRequest() {
    TestFleet fleet(kNodes, kEngines);
    Workload load(fleet, kThreads);
    load.waitForMore(10, 2);
    for (std::size_t node = 0; node < fleet.nodes(); ++node) {
      fleet.daemon(node).signal(SIGTERM);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("exit code of node " + std::to_string(node), 0,
                                   fleet.daemon(node).waitForExit(kStopSeconds));
      fleet.restart(node);
      load.waitForMore(5, 1);
    }
    const WorkloadReport report = load.finish();
    printIncidents(report);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.broken_streams);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.failed_streams);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.bookings_unknown);
    checkAndReport("rolling", fleet, report);
  }

  /// Guards against connections that close without an answer at the end of a planned stop, while
  /// back ends still run their requests, among them requests that must not be repeated.
  void requestsThatOutlastAPlannedStopAreAnswered() {
    constexpr int kBadGateway = 502;
    TestFleet fleet(kNodes, kEngines);
    fleet.addDaemonFlags({"--timings_stop_limit", "1s"});
    fleet.daemon(0).signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(0).waitForExit(kStopSeconds));
    fleet.restart(0);
    const std::string prefix = std::string("/services/") + kHttpService;
    waitUntil("the restarted node serves", [&] {
      return httpCall("GET", fleet.gateway(0), prefix + "/slots/warm-up").status == 200;
    });
    fleet.serviceFault({{"delay_ms", 4000}});
    std::vector<std::future<HttpAnswer>> answers;
    const auto callLate = [&fleet, prefix](const std::string& method, const std::string& target) {
      return std::async(std::launch::async, [&fleet, method, target = prefix + target] {
        return httpCall(method, fleet.gateway(0), target, method == "POST" ? "{}" : "",
                        {{"Idempotency-Key", "late"}});
      });
    };
    answers.push_back(callLate("GET", "/slots/late"));
    answers.push_back(callLate("POST", "/bookings/late"));
    waitUntil("both requests run", [&] { return fleet.serviceLedger()["executions"].size() >= 3; });
    fleet.daemon(0).signal(SIGTERM);
    for (auto& answer : answers) {
      const HttpAnswer given = answer.get();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(given.error, kBadGateway, given.status);
      CPPUNIT_ASSERT(given.complete);
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), given.header("x-cypresswall-outcome"));
    }
    CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(0).waitForExit(kStopSeconds));
  }

 private:
  static std::vector<std::size_t> others(std::size_t left_out) {
    std::vector<std::size_t> nodes;
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (node != left_out) {
        nodes.push_back(node);
      }
    }
    return nodes;
  }

  static void accept(const json& answer) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.dump(), std::string("accepted"),
                                 answer.value("status", ""));
  }

  static void printIncidents(const WorkloadReport& report) {
    for (const std::string& text : report.incidents) {
      std::printf("\nbroken: %s", text.c_str());
    }
  }

  /// Prints the results and requires that no invariant was violated.
  static void checkAndReport(const char* name, const TestFleet& fleet,
                             const WorkloadReport& report) {
    std::printf(
        "\n%s: streams whole=%llu failed=%llu broken=%llu refused=%llu bookings done=%llu "
        "not_run=%llu unknown=%llu violations=%zu\n",
        name, static_cast<unsigned long long>(report.whole_streams),
        static_cast<unsigned long long>(report.failed_streams),
        static_cast<unsigned long long>(report.broken_streams),
        static_cast<unsigned long long>(report.refused_streams),
        static_cast<unsigned long long>(report.bookings_done),
        static_cast<unsigned long long>(report.bookings_not_run),
        static_cast<unsigned long long>(report.bookings_unknown), report.violations.size());
    for (const std::string& violation : report.violations) {
      std::printf("violation: %s\n", violation.c_str());
    }
    CPPUNIT_ASSERT(report.violations.empty());
    for (std::size_t engine = 0; engine < fleet.engines(); ++engine) {
      checkOrders(fleet.engineLedger(engine));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessFaultsTest);

}  // namespace
}  // namespace cypresswall::testing
