/// Graceful shutdown of cypresswalld as seen by clients and load balancers.
#include <unistd.h>

#include <asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>

#include "cypresswall/runtime/curl_multi.h"
#include "tests/daemon/child_process.h"
#include "tests/daemon/free_address.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::daemon {
namespace {

using runtime::CurlOutcome;
using runtime::CurlResponse;
using testing::ChildProcess;
using testing::freeAddress;

class PlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(managementPathsUseTheirOwnAddress);
  CPPUNIT_TEST(acceptsRequestsInLameDuckPeriod);
  CPPUNIT_TEST(blockedLibraryThreadsDoNotDelayExit);
  CPPUNIT_TEST(objectsProtocolRejectsUntilConfigured);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { std::remove(file_.c_str()); }

  void managementPathsUseTheirOwnAddress() {
    writeSettings("");
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    const bool started = daemon.waitForText("event=daemon_started");
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), started);
    CPPUNIT_ASSERT_EQUAL(200, get(readiness_, "/healthz").status);
    CPPUNIT_ASSERT_EQUAL(200, get(readiness_, "/metrics").status);
    CPPUNIT_ASSERT_EQUAL(std::string("no configuration held yet\n"),
                         get(readiness_, "/readyz").body);
    // The gateway address does not serve management paths; without a configuration it rejects all
    // requests.
    CPPUNIT_ASSERT_EQUAL(503, get(gateway_, "/healthz").status);
  }

  void acceptsRequestsInLameDuckPeriod() {
    writeSettings("timings: {stop_lame_duck: 1h}\n");
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    const bool started = daemon.waitForText("event=daemon_started");
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), started);
    daemon.signal(SIGTERM);
    CPPUNIT_ASSERT(daemon.waitForText("event=stop_began"));
    const CurlResponse ready = get(readiness_, "/readyz");
    CPPUNIT_ASSERT_EQUAL(503, ready.status);
    CPPUNIT_ASSERT_EQUAL(std::string("draining\n"), ready.body);
    CPPUNIT_ASSERT_EQUAL(503, get(gateway_, "/v1/nothing").status);
    CPPUNIT_ASSERT(daemon.output().find("event=drain_started") == std::string::npos);
    // A second signal ends the process at once, as in every graceful shutdown.
    daemon.signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(1, daemon.waitForExit());
  }

  /// Guards against a shutdown that waits for log4cplus threads: in production each process then
  /// lasted until SIGKILL (incidents 6d94, 4b2c).
  void blockedLibraryThreadsDoNotDelayExit() {
    writeSettings("");
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    const bool started = daemon.waitForText("event=daemon_started");
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), started);
    CPPUNIT_ASSERT(daemon.freezeOtherThreads() > 0);
    daemon.signal(SIGTERM);
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), daemon.endsWithFrozenThreads());
    CPPUNIT_ASSERT(daemon.output().find("event=daemon_stopped") != std::string::npos);
  }

  void objectsProtocolRejectsUntilConfigured() {
    writeSettings("  protocol: objects\n");
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    const bool started = daemon.waitForText("event=daemon_started");
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), started);
    CPPUNIT_ASSERT_EQUAL(503, get(readiness_, "/readyz").status);
    CPPUNIT_ASSERT_EQUAL(503, get(gateway_, "/any/path").status);
    daemon.signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, daemon.waitForExit());
  }

 private:
  /// \param more lines appended after the section "platform"
  void writeSettings(const std::string& more) const {
    std::ofstream file(file_);
    file << "node:\n  peer_address: " << freeAddress() << "\n  gateway_address: " << gateway_
         << "\n  readiness_address: " << readiness_
         << "\n  zone: z\n  region: r\n  machine: m\nplatform:\n  object_api: 127.0.0.1:1\n"
         << "  machine_list: 127.0.0.1:1\n"
         << more;
  }

  CurlResponse get(const std::string& address, const std::string& target) {
    runtime::CurlRequest request;
    request.address = address;
    request.target = target;
    std::optional<CurlResponse> response;
    curl_.fetch(std::move(request), [&](CurlResponse given) { response = std::move(given); });
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return response.has_value(); }));
    CPPUNIT_ASSERT_MESSAGE(response->error, response->outcome == CurlOutcome::kAnswered);
    return *response;
  }

  const std::string file_ = "planned_stop_test." + std::to_string(getpid()) + ".yaml";
  const std::string gateway_ = freeAddress();
  const std::string readiness_ = freeAddress();
  asio::io_context context_;
  runtime::CurlMulti curl_{context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

}  // namespace
}  // namespace cypresswall::daemon
