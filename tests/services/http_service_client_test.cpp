#include "cypresswall/services/http_service_client.h"

#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::services {
namespace {

using testing::httpAnswer;
using testing::runUntil;

class HttpServiceClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServiceClientTest);
  CPPUNIT_TEST(forwardsRequestAndAnswer);
  CPPUNIT_TEST(onlyOutcomeHeaderOfRefusalMeansNotRun);
  CPPUNIT_TEST(anotherServerAtTheAddressDoesNotRunTheRequest);
  CPPUNIT_TEST(distinguishesNotSentFromBroken);
  CPPUNIT_TEST(nonIdempotentRequestsUseNewConnections);
  CPPUNIT_TEST(connectionsOfServicesWithoutIdentifiersAreNotKept);
  CPPUNIT_TEST(responseToAnotherRequestIsStale);
  CPPUNIT_TEST(destroyingCallAbortsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void forwardsRequestAndAnswer() {
    server_.answer(httpAnswer(201, "made", "X-Slot: 7\r\nConnection: keep-alive\r\n"));
    ServiceRequest request = post();
    request.headers = {{"Idempotency-Key", "k1"}, {"Connection", "close"}, {"X-A", "b\r\nX-C: d"}};
    const ServiceResponse response = call(request);
    CPPUNIT_ASSERT(response.outcome == ServiceOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(201, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("made"), response.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, response.headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Slot"), response.headers[0].name);
    const std::string& sent = server_.requests().at(0);
    CPPUNIT_ASSERT(sent.starts_with("POST /slots?day=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(sent.ends_with("\r\n\r\nbody"));
    CPPUNIT_ASSERT(sent.find("X-Request-Id: r1\r\n") != std::string::npos);
    CPPUNIT_ASSERT(sent.find("Idempotency-Key: k1\r\n") != std::string::npos);
    CPPUNIT_ASSERT(sent.find("Connection") == std::string::npos);
    CPPUNIT_ASSERT(sent.find("X-C:") == std::string::npos);
  }

  void onlyOutcomeHeaderOfRefusalMeansNotRun() {
    server_.answer(httpAnswer(503, "", "X-Cypresswall-Outcome: not-run\r\n"));
    CPPUNIT_ASSERT(call(post()).outcome == ServiceOutcome::kRefused);
    server_.answer(httpAnswer(503, ""));
    CPPUNIT_ASSERT(call(post()).outcome == ServiceOutcome::kAnswered);
    server_.answer(httpAnswer(200, "", "X-Cypresswall-Outcome: not-run\r\n"));
    CPPUNIT_ASSERT(call(post()).outcome == ServiceOutcome::kAnswered);
  }

  void anotherServerAtTheAddressDoesNotRunTheRequest() {
    server_.answer(httpAnswer(421, "", "X-Cypresswall-Rate-Limit: 1.5\r\n"));
    const ServiceResponse response = call(post());
    CPPUNIT_ASSERT(response.outcome == ServiceOutcome::kMisdirected);
    CPPUNIT_ASSERT(!response.rate_limit);
    CPPUNIT_ASSERT(server_.requests().at(0).find("X-Cypresswall-Server: machine-1\r\n") !=
                   std::string::npos);
  }

  void distinguishesNotSentFromBroken() {
    server_.answer("", true);
    CPPUNIT_ASSERT(call(post()).outcome == ServiceOutcome::kBroken);
    server_.answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", true);
    CPPUNIT_ASSERT(call(post()).outcome == ServiceOutcome::kBroken);
    ServiceRequest silent = post();
    silent.time_limit = std::chrono::milliseconds(50);
    CPPUNIT_ASSERT(call(silent).outcome == ServiceOutcome::kBroken);
    address_ = "127.0.0.1:1";
    CPPUNIT_ASSERT(call(post()).outcome == ServiceOutcome::kNotSent);
  }

  void nonIdempotentRequestsUseNewConnections() {
    for (const char* method : {"GET", "GET", "POST"}) {
      server_.answer(httpAnswer(200, "x", "X-Request-Id: r1\r\n"));
      CPPUNIT_ASSERT(call(reusing(method)).outcome == ServiceOutcome::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
  }

  void connectionsOfServicesWithoutIdentifiersAreNotKept() {
    for (int connections = 1; connections <= 3; ++connections) {
      server_.answer(httpAnswer(200, "x"));
      CPPUNIT_ASSERT(call(reusing("GET")).outcome == ServiceOutcome::kAnswered);
      CPPUNIT_ASSERT_EQUAL(connections, server_.connections());
    }
  }

  /// Guards against a late second response that is taken for the response to the next request.
  void responseToAnotherRequestIsStale() {
    server_.answer(httpAnswer(200, "x", "X-Request-Id: r1\r\n"));
    call(reusing("GET"));
    server_.answer(httpAnswer(200, "x", "X-Request-Id: r1\r\n"));
    ServiceRequest next = reusing("GET");
    next.request_id = "r2";
    CPPUNIT_ASSERT(call(next).outcome == ServiceOutcome::kStale);
    CPPUNIT_ASSERT_EQUAL(1, server_.connections());
    server_.answer(httpAnswer(200, "x", "X-Request-Id: r2\r\n"));
    CPPUNIT_ASSERT(call(next).outcome == ServiceOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
  }

  void destroyingCallAbortsIt() {
    bool called = false;
    auto running = client_.call({"machine-1", address_}, post(),
                                [&](const ServiceResponse&) { called = true; });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.requests().size() == 1; }));
    running.reset();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == 1; }));
    CPPUNIT_ASSERT(!called);
  }

 private:
  static ServiceRequest post() {
    ServiceRequest request;
    request.request_id = "r1";
    request.method = "POST";
    request.target = "/slots?day=1";
    request.body = "body";
    request.time_limit = std::chrono::seconds(5);
    return request;
  }

  static ServiceRequest reusing(const char* method) {
    ServiceRequest request = post();
    request.method = method;
    request.may_reuse_connection = true;
    return request;
  }

  ServiceResponse call(const ServiceRequest& request) {
    std::optional<ServiceResponse> answer;
    const auto running =
        client_.call({"machine-1", address_}, request,
                     [&](ServiceResponse response) { answer = std::move(response); });
    CPPUNIT_ASSERT(!answer.has_value());
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  runtime::CurlMulti curl_{context_};
  HttpServiceClient client_{curl_};
  common::Address address_ = server_.address();
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServiceClientTest);

}  // namespace
}  // namespace cypresswall::services
