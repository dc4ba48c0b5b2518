/// Flags, settings, exit codes and signals of a cypresswalld process.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/daemon/child_process.h"
#include "tests/daemon/free_address.h"
#include "tests/support/property.h"

namespace cypresswall::daemon {
namespace {

using testing::BoundPort;
using testing::ChildProcess;
using testing::freeAddress;

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(wrongFlagsExitWithTwo);
  CPPUNIT_TEST(wrongSettingsExitWithTwo);
  CPPUNIT_TEST(checkSettingsOpensNoSockets);
  CPPUNIT_TEST(portsInUseExitWithThree);
  CPPUNIT_TEST(startsOnceAPortInUseIsFree);
  CPPUNIT_TEST(stopsOnSigterm);
  CPPUNIT_TEST(reloadsLogLevelOnSighup);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { std::remove(file_.c_str()); }

  void wrongFlagsExitWithTwo() {
    CPPUNIT_ASSERT_EQUAL(2, ChildProcess(CYPRESSWALL_DAEMON, {"--nonsense"}).waitForExit());
    CPPUNIT_ASSERT_EQUAL(2, ChildProcess(CYPRESSWALL_DAEMON, {"extra"}).waitForExit());
    CPPUNIT_ASSERT_EQUAL(2, ChildProcess(CYPRESSWALL_DAEMON, {}).waitForExit());
  }

  void wrongSettingsExitWithTwo() {
    writeSettings(freeAddress(), freeAddress(), "limits: {connections: 0}\n");
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    CPPUNIT_ASSERT_EQUAL(2, daemon.waitForExit());
    const std::string place = file_ + ":10: limits.connections:";
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), daemon.output().starts_with(place));
  }

  void checkSettingsOpensNoSockets() {
    // Both ports are in use, so that an attempt to listen would fail.
    const BoundPort peer;
    const BoundPort gateway;
    writeSettings(peer.address(), gateway.address(), "");
    ChildProcess good(CYPRESSWALL_DAEMON, {"--settings", file_, "--check_settings"});
    CPPUNIT_ASSERT_EQUAL(0, good.waitForExit());
    ChildProcess bad(CYPRESSWALL_DAEMON,
                     {"--settings", file_, "--check_settings", "--node_zone", "a b"});
    CPPUNIT_ASSERT_EQUAL(2, bad.waitForExit());
    CPPUNIT_ASSERT(bad.output().starts_with("--node_zone: node.zone:"));
  }

  void portsInUseExitWithThree() {
    const BoundPort taken;
    writeSettings(taken.address(), freeAddress(), "");
    expectPortInUse(taken.address());
    writeSettings(freeAddress(), taken.address(), "");
    expectPortInUse(taken.address());
  }

  // A daemon that found an address in use ended, although the address was free a moment later.
  void startsOnceAPortInUseIsFree() {
    for (const bool gateway_taken : {false, true}) {
      std::optional<BoundPort> taken(std::in_place);
      const std::string address = taken->address();
      writeSettings(gateway_taken ? freeAddress() : address,
                    gateway_taken ? address : freeAddress(), "");
      ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
      CPPUNIT_ASSERT_MESSAGE(daemon.output(), daemon.waitForText("can't listen on " + address));
      taken.reset();
      const bool started = daemon.waitForText("event=daemon_started");
      CPPUNIT_ASSERT_MESSAGE(daemon.output(), started);
    }
  }

  void stopsOnSigterm() {
    writeSettings(freeAddress(), freeAddress(), "");
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), daemon.waitForText("event=daemon_started"));
    daemon.signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, daemon.waitForExit());
    CPPUNIT_ASSERT(daemon.output().find("event=drain_finished") != std::string::npos);
  }

  void reloadsLogLevelOnSighup() {
    const std::string peer = freeAddress();
    const std::string gateway = freeAddress();
    writeSettings(peer, gateway, "");
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    CPPUNIT_ASSERT_MESSAGE(daemon.output(), daemon.waitForText("event=daemon_started"));
    writeSettings(peer, gateway, "log: {level: loud}\n");
    daemon.signal(SIGHUP);
    CPPUNIT_ASSERT(daemon.waitForText("event=settings_not_reloaded"));
    writeSettings(peer, gateway, "log: {level: error}\n");
    daemon.signal(SIGHUP);
    // At log level error, neither the reload nor the shutdown is logged.
    daemon.signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, daemon.waitForExit());
    CPPUNIT_ASSERT(daemon.output().find("event=daemon_stopped") == std::string::npos);
  }

 private:
  void writeSettings(const std::string& peer, const std::string& gateway,
                     const std::string& more) const {
    std::ofstream file(file_);
    file << "node:\n  peer_address: " << peer << "\n  gateway_address: " << gateway
         << "\n  zone: z\n  region: r\n  machine: m\nplatform:\n  object_api: 127.0.0.1:1\n"
         << "  machine_list: 127.0.0.1:1\n"
         << more;
  }

  void expectPortInUse(const std::string& address) const {
    ChildProcess daemon(CYPRESSWALL_DAEMON, {"--settings", file_});
    CPPUNIT_ASSERT_EQUAL(3, daemon.waitForExit());
    const std::string& output = daemon.output();
    CPPUNIT_ASSERT_MESSAGE(output, output.find(address) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::count(output.begin(), output.end(), '\n'));
  }

  const std::string file_ = "daemon_test." + std::to_string(getpid()) + ".yaml";
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

}  // namespace
}  // namespace cypresswall::daemon
