#include "platform/ingress.h"

#include "platform/headers.h"
#include "tests/gateway/gateway_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::objects_platform {
namespace {

using execution::ErrorKind;
using execution::Outcome;
using std::chrono::milliseconds;

/// An ingress before a gateway with scripted executors, and one route of each kind.
struct IngressFixture {
  IngressFixture() {
    Route digest;
    digest.name = "digest";
    digest.host = "docks.example";
    digest.path_prefix = "/digest/";
    digest.kind = RouteKind::kStreaming;
    digest.timeout = milliseconds(5000);
    digest.backends = {{"digest@new", "new", 3, true}, {"digest@old", "old", 1, true}};
    Route fix = digest;
    fix.name = "fix";
    fix.path_prefix = "/fix/";
    fix.kind = RouteKind::kNonIdempotent;
    fix.backends = {{"fix@api", "api", 1, false}};
    routes = RouteTable(7, {digest, fix}, {});
  }

  std::shared_ptr<gateway::RecordingResponder::Record> send(const std::string& target) {
    http::Request request;
    request.method = "POST";
    request.target = target;
    request.path = target;
    request.headers = {{"Host", "docks.example"},
                       {"X-Request-Id", "id-1"},
                       {"X-Deadline-Ms", "3000"},
                       {"X-Token-Counts", "4100,12"},
                       {"X-Prefix-Hash", "aa:4000,bb:100"}};
    request.body = "the body";
    auto record = std::make_shared<gateway::RecordingResponder::Record>();
    ingress.handle(std::move(request), std::make_shared<gateway::RecordingResponder>(record));
    return record;
  }

  gateway::GatewayFixture world;
  RouteTable routes;
  std::optional<common::Duration> outdated_for;
  Ingress ingress{world.gateway, [this]() -> const RouteTable& { return routes; },
                  [this] { return outdated_for; }};
};

class IngressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IngressTest);
  CPPUNIT_TEST(passesAModelRequestThrough);
  CPPUNIT_TEST(answerIsByteForByteTheEngines);
  CPPUNIT_TEST(brokenAnswerDoesNotLookWhole);
  CPPUNIT_TEST(passesAServiceRequestThrough);
  CPPUNIT_TEST(splitsByWeight);
  CPPUNIT_TEST(refusesUnknownRoutesAndEarlyRequests);
  CPPUNIT_TEST(anOutdatedNodeDeniesNoRoute);
  CPPUNIT_TEST(aNodeThatStaysOutdatedTakesNoRequest);
  CPPUNIT_TEST(onlyProvedRefusalsPromise);
  CPPUNIT_TEST_SUITE_END();

 public:
  void passesAModelRequestThrough() {
    IngressFixture fixture;
    fixture.send("/digest/a?b=c");
    const auto& call = fixture.world.call().call;
    CPPUNIT_ASSERT_EQUAL(std::string("digest@new"), call.service);
    CPPUNIT_ASSERT_EQUAL(std::string("/digest/a?b=c"), call.pass_through->target);
    CPPUNIT_ASSERT_EQUAL(std::string("the body"), call.pass_through->body);
    CPPUNIT_ASSERT_EQUAL(4100U, call.shape.tokens);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, call.shape.pieces.size());
    CPPUNIT_ASSERT_EQUAL(12U, call.maximum_tokens);
    CPPUNIT_ASSERT(call.time_limit == milliseconds(3000));
  }

  void answerIsByteForByteTheEngines() {
    IngressFixture fixture;
    const auto answer = fixture.send("/digest/a");
    auto& observer = *fixture.world.call().observer;
    observer.onHead({200, {{"X-Response-Seal", "s"}}});
    observer.onToken(0, "id: 1\r\ndata: a\r\n\r\n");
    observer.onToken(1, "id: 9\ndata: b\n\n");
    observer.onFinished({0, 0, 2, "stop"});
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), answer->headers.at("X-Response-Seal"));
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\r\ndata: a\r\n\r\nid: 9\ndata: b\n\n"), answer->body);
    CPPUNIT_ASSERT(answer->finished);
  }

  void brokenAnswerDoesNotLookWhole() {
    IngressFixture fixture;
    const auto answer = fixture.send("/digest/a");
    auto& observer = *fixture.world.call().observer;
    observer.onHead({200, {}});
    observer.onToken(0, "id: 1\n\n");
    observer.onError({ErrorKind::kBackendFailed, Outcome::kUnknown, "gone", {}});
    CPPUNIT_ASSERT(answer->aborted);
    CPPUNIT_ASSERT(!answer->finished);
  }

  void passesAServiceRequestThrough() {
    IngressFixture fixture;
    const auto answer = fixture.send("/fix/1");
    auto& call = *fixture.world.services.calls.back();
    CPPUNIT_ASSERT_EQUAL(std::string("fix@api"), call.request.service);
    CPPUNIT_ASSERT_EQUAL(std::string("/fix/1"), call.request.target);
    CPPUNIT_ASSERT(call.request.time_limit == milliseconds(3000));
    execution::ServiceCallAnswer refused;
    refused.error = {ErrorKind::kOverloaded, Outcome::kNotRun, "full", milliseconds(250)};
    call.callback(refused);
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("0.250"), answer->headers.at("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::string("id-1"), answer->headers.at("X-Request-Id"));
  }

  void anOutdatedNodeDeniesNoRoute() {
    IngressFixture fixture;
    CPPUNIT_ASSERT_EQUAL(404, fixture.send("/nowhere/")->status);
    fixture.outdated_for = milliseconds(0);
    const auto answer = fixture.send("/nowhere/");
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer->headers.count("Retry-After"));
    fixture.send("/digest/a");
    CPPUNIT_ASSERT_EQUAL(std::string("digest@new"), fixture.world.call().call.service);
  }

  void aNodeThatStaysOutdatedTakesNoRequest() {
    IngressFixture fixture;
    fixture.outdated_for = milliseconds(1499);
    fixture.send("/digest/a");
    CPPUNIT_ASSERT_EQUAL(std::string("digest@new"), fixture.world.call().call.service);
    fixture.outdated_for = milliseconds(1500);
    const auto refused = fixture.send("/digest/a");
    CPPUNIT_ASSERT_EQUAL(503, refused->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused->headers.count("Retry-After"));
  }

  void splitsByWeight() {
    IngressFixture fixture;
    std::map<std::string, int> turns;
    for (int request = 0; request < 40; ++request) {
      fixture.send("/digest/a");
      ++turns[fixture.world.call().call.service];
    }
    CPPUNIT_ASSERT_EQUAL(30, turns["digest@new"]);
    CPPUNIT_ASSERT_EQUAL(10, turns["digest@old"]);
  }

  void refusesUnknownRoutesAndEarlyRequests() {
    IngressFixture fixture;
    CPPUNIT_ASSERT_EQUAL(404, fixture.send("/other/a")->status);
    fixture.routes = RouteTable();
    const auto early = fixture.send("/digest/a");
    CPPUNIT_ASSERT_EQUAL(503, early->status);
    CPPUNIT_ASSERT(early->headers.count("Retry-After") == 1);
  }

  void onlyProvedRefusalsPromise() {
    for (const auto kind : {ErrorKind::kOverloaded, ErrorKind::kNoBackend, ErrorKind::kDraining,
                            ErrorKind::kDeadlineExceeded, ErrorKind::kBackendFailed}) {
      CPPUNIT_ASSERT_EQUAL(503, statusOf({kind, Outcome::kNotRun, "", {}}));
      const int unknown = statusOf({kind, Outcome::kUnknown, "", {}});
      CPPUNIT_ASSERT(unknown == 502 || unknown == 504);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IngressTest);

}  // namespace
}  // namespace cypresswall::objects_platform
