#include "platform/service_client.h"

#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::objects_platform {
namespace {

using services::ServiceOutcome;
using testing::httpAnswer;
using testing::runUntil;

std::string answerTo(const std::string& request_id) {
  return httpAnswer(
      200, "body",
      "X-Request-Id: " + request_id + "\r\nX-Response-Seal: s\r\nKeep-Alive: timeout=5\r\n");
}

class ServiceClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceClientTest);
  CPPUNIT_TEST(onlyCallsThatMayReuseAConnection);
  CPPUNIT_TEST(closedKeptConnectionIsStale);
  CPPUNIT_TEST(surplusAnswerOnKeptConnectionIsStale);
  CPPUNIT_TEST(connectionWithASurplusAnswerIsNotReused);
  CPPUNIT_TEST(callNamesTheRunnerThatWasChosen);
  CPPUNIT_TEST(anotherRunnerSpeaksForItselfOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    pool_.setShare([] { return std::size_t{4}; });
  }

  void onlyCallsThatMayReuseAConnection() {
    for (int i = 1; i <= 2; ++i) {
      server_.answer(answerTo("r1"));
      CPPUNIT_ASSERT(call(false) == ServiceOutcome::kAnswered);
      CPPUNIT_ASSERT_EQUAL(i, server_.connections());
    }
    CPPUNIT_ASSERT(client_.hasIdleConnection(server_.address()));
    server_.answer(answerTo("r1"));
    CPPUNIT_ASSERT(call(true) == ServiceOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
  }

  void closedKeptConnectionIsStale() {
    server_.answer(answerTo("r1"));
    call(false);
    server_.answer("", true);
    CPPUNIT_ASSERT(call(true) == ServiceOutcome::kStale);
    server_.answer("", true);
    CPPUNIT_ASSERT(call(true) == ServiceOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server_.requests().size());
  }

  void surplusAnswerOnKeptConnectionIsStale() {
    server_.answer(answerTo("r1"));
    call(false);
    server_.answer(answerTo("other"), true);
    CPPUNIT_ASSERT(call(true) == ServiceOutcome::kStale);
    server_.answer(answerTo("other"), true);
    CPPUNIT_ASSERT(call(true) == ServiceOutcome::kBroken);
  }

  void connectionWithASurplusAnswerIsNotReused() {
    server_.answer(answerTo("r1"));
    call(false);
    server_.answer(answerTo("other"));
    CPPUNIT_ASSERT(call(true) == ServiceOutcome::kStale);
    CPPUNIT_ASSERT_EQUAL(1, server_.connections());
    server_.answer(answerTo("r1"));
    CPPUNIT_ASSERT(call(true) == ServiceOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
  }

  /// Guards against calls that name whoever is listed last at the address: once the chosen runner
  /// has ended, that may be a runner of another service, which then runs the call.
  void callNamesTheRunnerThatWasChosen() {
    server_.answer(answerTo("r1"));
    call(false);
    CPPUNIT_ASSERT(server_.requests().at(0).find("X-Target-Instance: i-chosen\r\n") !=
                   std::string::npos);
  }

  /// Another runner at the address refuses the call. What it says about itself does not concern the
  /// one that was chosen, which has ended.
  void anotherRunnerSpeaksForItselfOnly() {
    std::vector<common::ServerAnnouncement> announced;
    client_.observeAnnouncements(
        [&](const std::string&, const auto& announcement) { announced.push_back(announcement); });
    server_.answer(
        httpAnswer(421, "", "X-Request-Id: r1\r\nServer-Leaving: 1\r\nServer-Limit: 1.5\r\n"));
    CPPUNIT_ASSERT(call(false) == ServiceOutcome::kMisdirected);
    CPPUNIT_ASSERT(!rate_limit_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, announced.size());
    CPPUNIT_ASSERT(!announced[0].leaving && announced[0].pause);
  }

 private:
  ServiceOutcome call(bool may_reuse_connection) {
    services::ServiceRequest request;
    request.request_id = "r1";
    request.method = "GET";
    request.target = "/slots";
    request.time_limit = std::chrono::seconds(5);
    request.may_reuse_connection = may_reuse_connection;
    std::optional<ServiceOutcome> outcome;
    const auto running = client_.call({"i-chosen+1700000000", server_.address()}, request,
                                      [&](const services::ServiceResponse& response) {
                                        outcome = response.outcome;
                                        rate_limit_ = response.rate_limit;
                                      });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  static runtime::ConnectionPoolSettings poolSettings() {
    runtime::ConnectionPoolSettings settings;
    settings.keeps = true;
    return settings;
  }

  std::optional<common::RateLimitNotice> rate_limit_;
  asio::io_context context_;
  common::CounterRegistry counters_;
  runtime::ConnectionPool pool_{poolSettings(), counters_};
  runtime::CurlMulti curl_{context_, {}, &pool_};
  testing::ScriptedServer server_{context_};
  ServiceClient client_{curl_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceClientTest);

}  // namespace
}  // namespace cypresswall::objects_platform
