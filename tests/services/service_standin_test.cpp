/// Tests the HTTP service client against the service stand-in's HTTP front end over real sockets.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/emulation/service.h"
#include "cypresswall/http/server.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "cypresswall/services/http_service_client.h"
#include "standins/fronts/service_front.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::services {
namespace {

class ServiceStandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceStandinTest);
  CPPUNIT_TEST(outcomesMatchServiceLedger);
  CPPUNIT_TEST_SUITE_END();

 public:
  void outcomesMatchServiceLedger() {
    server_->start();
    CPPUNIT_ASSERT(call("r1") == ServiceOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(1U, service_.executionsOfRequest("r1"));
    emulation::ServiceFaults faults;
    faults.refuse_next = 1;
    service_.setFaults(faults);
    CPPUNIT_ASSERT(call("r2") == ServiceOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(0U, service_.executionsOfRequest("r2"));
    faults = {};
    faults.break_before_run = 1;
    service_.setFaults(faults);
    CPPUNIT_ASSERT(call("r3") == ServiceOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(0U, service_.executionsOfRequest("r3"));
    faults = {};
    faults.break_after_run = 1;
    service_.setFaults(faults);
    CPPUNIT_ASSERT(call("r4") == ServiceOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(1U, service_.executionsOfRequest("r4"));
    CPPUNIT_ASSERT_EQUAL(1U, service_.executionsOfKey("key-r4"));
  }

 private:
  ServiceOutcome call(const std::string& request_id) {
    ServiceRequest request;
    request.request_id = request_id;
    request.method = "POST";
    request.target = "/status?container=1";
    request.headers = {{"Idempotency-Key", "key-" + request_id}};
    request.body = "{}";
    request.time_limit = std::chrono::seconds(5);
    std::optional<ServiceOutcome> outcome;
    const auto running =
        client_.call({"machine-1", "127.0.0.1:" + std::to_string(server_->port())}, request,
                     [&](const ServiceResponse& response) { outcome = response.outcome; });
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return outcome.has_value(); }));
    return *outcome;
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
  runtime::AsioScheduler scheduler_{context_};
  emulation::EmulatedService service_{"portal", std::chrono::milliseconds(1), scheduler_};
  standins::ServiceFront front_{service_};
  std::unique_ptr<http::Server> server_ = makeServer();
  runtime::CurlMulti curl_{context_};
  HttpServiceClient client_{curl_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceStandinTest);

}  // namespace
}  // namespace cypresswall::services
