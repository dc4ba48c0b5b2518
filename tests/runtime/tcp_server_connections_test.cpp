#include "cypresswall/runtime/tcp_server_connections.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/runtime/curl_multi.h"
#include "tests/support/event_loop.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::runtime {
namespace {

/// An address at which nothing listens: port 1 of a loopback host that no test uses.
constexpr const char* kClosedAddress = "127.9.9.9:1";

class TcpServerConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TcpServerConnectionsTest);
  CPPUNIT_TEST(probeTellsWhetherServerListens);
  CPPUNIT_TEST(malformedAddressIsNotReached);
  CPPUNIT_TEST(nothingIsCalledAfterDestruction);
  CPPUNIT_TEST(newConnectionsAreReportedOnce);
  CPPUNIT_TEST(failedConnectionIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void probeTellsWhetherServerListens() {
    CPPUNIT_ASSERT(probe(server_.address()));
    CPPUNIT_ASSERT(!probe(kClosedAddress));
  }

  void malformedAddressIsNotReached() { CPPUNIT_ASSERT(!probe("no address")); }

  void nothingIsCalledAfterDestruction() {
    auto connections = makeConnections();
    connections->probe(server_.address(), [](bool) { CPPUNIT_FAIL("called"); });
    connections->probe("no address", [](bool) { CPPUNIT_FAIL("called"); });
    connections.reset();
    io_.run_for(std::chrono::milliseconds(50));
  }

  /// The second request is sent on the kept connection, which says nothing about the path.
  void newConnectionsAreReportedOnce() {
    for (int i = 0; i < 2; ++i) {
      server_.answer(testing::httpAnswer(200, "body"));
      CPPUNIT_ASSERT(fetch(server_.address()) == CurlOutcome::kAnswered);
    }
    CPPUNIT_ASSERT(reports_ == std::vector<bool>{true});
  }

  void failedConnectionIsReported() {
    CPPUNIT_ASSERT(fetch(kClosedAddress) == CurlOutcome::kNotSent);
    CPPUNIT_ASSERT(reports_ == std::vector<bool>{false});
  }

 private:
  std::unique_ptr<TcpServerConnections> makeConnections() {
    return std::make_unique<TcpServerConnections>(io_, common::nullLogSink(),
                                                  std::chrono::seconds(5));
  }
  bool probe(const common::Address& address) {
    const auto connections = makeConnections();
    std::optional<bool> result;
    connections->probe(address, [&result](bool established) { result = established; });
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT(testing::runUntil(io_, [&result] { return result.has_value(); }));
    return *result;
  }
  CurlOutcome fetch(const common::Address& address) {
    CurlRequest request;
    request.address = address;
    request.target = "/";
    request.on_connection = [this](bool established) { reports_.push_back(established); };
    std::optional<CurlOutcome> outcome;
    curl_.fetch(std::move(request),
                [&outcome](const CurlResponse& response) { outcome = response.outcome; });
    CPPUNIT_ASSERT(testing::runUntil(io_, [&outcome] { return outcome.has_value(); }));
    return *outcome;
  }

  asio::io_context io_;
  testing::ScriptedServer server_{io_};
  CurlMulti curl_{io_};
  std::vector<bool> reports_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TcpServerConnectionsTest);

}  // namespace
}  // namespace cypresswall::runtime
