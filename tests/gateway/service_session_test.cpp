#include "cypresswall/gateway/service_session.h"

#include "tests/gateway/gateway_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::gateway {
namespace {

http::Request bookingRequest(const std::string& target) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.path = target.substr(0, target.find('?'));
  request.body = "body";
  request.headers = {{"Connection", "close, X-Hop"},
                     {"X-Hop", "1"},
                     {"Host", "h"},
                     {"Idempotency-Key", "k1"},
                     {"X-Request-Id", "mine"},
                     {"Authorization", "Bearer secret"},
                     {"Content-Type", "text/plain"},
                     {"Expect", "100-continue"}};
  return request;
}

class ServiceSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceSessionTest);
  CPPUNIT_TEST(forwardsRequestToService);
  CPPUNIT_TEST(returnsServiceAnswerToCaller);
  CPPUNIT_TEST(overloadErrorsHaveRetryAfter);
  CPPUNIT_TEST(errorsCarryExecutionOutcome);
  CPPUNIT_TEST(callerDisconnectCancelsExecution);
  CPPUNIT_TEST(openRequestsAreAnsweredAtTheEndOfAStop);
  CPPUNIT_TEST(invalidTargetsAreRejected);
  CPPUNIT_TEST(routesByLongestPrefix);
  CPPUNIT_TEST_SUITE_END();

 public:
  void forwardsRequestToService() {
    GatewayFixture fixture;
    fixture.send(bookingRequest("/services/booking/slots/7?day=2"));
    const auto& request = fixture.services.calls.at(0)->request;
    CPPUNIT_ASSERT_EQUAL(std::string("booking"), request.service);
    CPPUNIT_ASSERT_EQUAL(std::string("/slots/7?day=2"), request.target);
    CPPUNIT_ASSERT_EQUAL(std::string("porter"), request.tenant);
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), request.idempotency_key);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), request.body);
    CPPUNIT_ASSERT(request.request_id != "mine");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, request.headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("Content-Type"), request.headers[0].name);
  }

  void returnsServiceAnswerToCaller() {
    GatewayFixture fixture;
    const auto answer = fixture.send(bookingRequest("/services/booking"));
    CPPUNIT_ASSERT_EQUAL(std::string("/"), fixture.services.calls.at(0)->request.target);
    execution::ServiceCallAnswer given;
    given.outcome = execution::Outcome::kDone;
    given.status = 201;
    given.headers = {{"Transfer-Encoding", "chunked"}, {"ETag", "e"}, {"Content-Length", "3"}};
    given.body = "yes";
    fixture.services.calls[0]->callback(given);
    CPPUNIT_ASSERT_EQUAL(201, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("yes"), answer->body);
    CPPUNIT_ASSERT_EQUAL(std::string("e"), answer->headers.at("ETag"));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), answer->headers.at("X-Cypresswall-Outcome"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, answer->headers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
  }

  void overloadErrorsHaveRetryAfter() {
    for (const bool given : {false, true}) {
      GatewayFixture fixture;
      const auto answer = fixture.send(bookingRequest("/services/booking/x"));
      execution::ServiceCallAnswer refusal;
      refusal.outcome = execution::Outcome::kNotRun;
      refusal.status = 503;
      if (given) {
        refusal.headers = {{"retry-after", "9"}};
      }
      fixture.services.calls[0]->callback(refusal);
      CPPUNIT_ASSERT_EQUAL(std::string(given ? "9" : "1"),
                           answer->headers.at(given ? "retry-after" : "Retry-After"));
    }
  }

  void errorsCarryExecutionOutcome() {
    GatewayFixture fixture;
    const auto answer = fixture.send(bookingRequest("/services/booking/x"));
    execution::ServiceCallAnswer failure;
    failure.error = {execution::ErrorKind::kInProgress, execution::Outcome::kUnknown, "runs",
                     std::chrono::seconds(4)};
    fixture.services.calls[0]->callback(failure);
    CPPUNIT_ASSERT_EQUAL(409, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), answer->headers.at("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer->headers.at("X-Cypresswall-Outcome"));
  }

  void callerDisconnectCancelsExecution() {
    GatewayFixture fixture;
    const auto answer = fixture.send(bookingRequest("/services/booking/x"));
    answer->on_closed();
    CPPUNIT_ASSERT(fixture.services.calls[0]->cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
  }

  void openRequestsAreAnsweredAtTheEndOfAStop() {
    GatewayFixture fixture;
    const auto first = fixture.send(bookingRequest("/services/booking/1"));
    const auto second = fixture.send(bookingRequest("/services/booking/2"));
    const auto stream = fixture.chat(true);
    fixture.call().observer->onToken(0, "part");
    fixture.gateway.cancelOpenRequests();
    for (const auto& answer : {first, second}) {
      CPPUNIT_ASSERT_EQUAL(502, answer->status);
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer->headers.at("X-Cypresswall-Outcome"));
    }
    CPPUNIT_ASSERT(fixture.services.calls[0]->cancelled && fixture.call().cancelled);
    CPPUNIT_ASSERT(stream->finished);
    CPPUNIT_ASSERT(stream->body.find("[DONE]") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
  }

  void invalidTargetsAreRejected() {
    GatewayFixture fixture;
    CPPUNIT_ASSERT_EQUAL(404, fixture.send(bookingRequest("/services/"))->status);
    CPPUNIT_ASSERT_EQUAL(400, fixture.send(bookingRequest("/services/a/x/../y"))->status);
    CPPUNIT_ASSERT_EQUAL(400, fixture.send(bookingRequest("/services/a/.."))->status);
    auto encoded = bookingRequest("/services/a/x/%2e%2e/y");
    encoded.path = "/services/a/x/../y";
    CPPUNIT_ASSERT_EQUAL(400, fixture.send(encoded)->status);
    auto long_key = bookingRequest("/services/a/x");
    long_key.headers = {{"Idempotency-Key", std::string(300, 'k')}};
    CPPUNIT_ASSERT_EQUAL(400, fixture.send(long_key)->status);
    CPPUNIT_ASSERT(fixture.services.calls.empty());
  }

  void routesByLongestPrefix() {
    HttpRoutes routes;
    std::string called;
    const auto named = [&](const std::string& name) {
      return [&called, name](const http::Request&, const std::shared_ptr<http::Responder>&) {
        called += name;
      };
    };
    routes.add("/metrics", named("m"));
    routes.add("/v1/", named("v"));
    routes.add("/v1/admin", named("a"));
    const auto record = std::make_shared<RecordingResponder::Record>();
    for (const auto* path :
         {"/metrics", "/v1", "/v1/x", "/v1/admin/y", "/v1/adminx", "/metricsx"}) {
      http::Request request;
      request.path = path;
      routes.handle(request, std::make_shared<RecordingResponder>(record));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("mvvav"), called);
    CPPUNIT_ASSERT_EQUAL(404, record->status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceSessionTest);

}  // namespace
}  // namespace cypresswall::gateway
