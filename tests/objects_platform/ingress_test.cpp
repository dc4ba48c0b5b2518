#include "platform/ingress.h"

#include <algorithm>

#include "cypresswall/common/header_names.h"
#include "platform/headers.h"
#include "tests/gateway/gateway_fixture.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

using execution::ErrorKind;
using execution::Outcome;
using std::chrono::milliseconds;

/// An ingress on a gateway with scripted executors, one streaming and one non-idempotent route.
struct IngressFixture {
  explicit IngressFixture(common::Duration startup_hold = {})
      : ingress(
            world.gateway, process.context(), [this]() -> const RouteTable& { return routes; },
            [this] { return outdated_for; }, startup_hold) {
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

  /// Declares one tenant with two keys, and routes that require a key except for /open/.
  void declareTenant() {
    configuration::TenantDeclaration tenant;
    tenant.name = "haulier";
    tenant.further_api_keys = {"key-1", "key-2"};
    tenant.urgency = configuration::Urgency::kHigh;
    world.configuration.fleet->version = 2;
    world.configuration.fleet->tenants = {{tenant.name, tenant}};
    Route digest = *routes.match("docks.example", "/digest/");
    Route fix = *routes.match("docks.example", "/fix/");
    Route open = digest;
    open.name = "open";
    open.path_prefix = "/open/";
    open.is_public = true;
    routes = RouteTable(8, {digest, fix, open}, {}, true);
  }
  void revokeKey(const std::string& key) {
    ++world.configuration.fleet->version;
    std::erase(world.configuration.fleet->tenants.at("haulier").further_api_keys, key);
  }

  std::shared_ptr<gateway::RecordingResponder::Record> send(
      const std::string& target, const std::vector<http::Header>& more = {}) {
    http::Request request;
    request.method = "POST";
    request.target = target;
    request.path = target;
    request.headers = {{"Host", "docks.example"},
                       {"X-Request-Id", "id-1"},
                       {"X-Deadline-Ms", "3000"},
                       {"X-Token-Counts", "4100,12"},
                       {"X-Prefix-Hash", "aa:4000,bb:100"}};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    request.body = "the body";
    auto record = std::make_shared<gateway::RecordingResponder::Record>();
    ingress.handle(std::move(request), std::make_shared<gateway::RecordingResponder>(record));
    return record;
  }

  gateway::GatewayFixture world;
  RouteTable routes;
  std::optional<common::Duration> outdated_for;
  testing::VirtualWorld processes{1};
  testing::VirtualProcess& process = processes.spawn({"10.0.0.1:7000", 1}, "hall-a");
  Ingress ingress;
};

class IngressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IngressTest);
  CPPUNIT_TEST(passesAModelRequestThrough);
  CPPUNIT_TEST(recognizesAnswersThatCallersTakeUp);
  CPPUNIT_TEST(forwardsEnginesAnswerByteForByte);
  CPPUNIT_TEST(abortsInterruptedAnswers);
  CPPUNIT_TEST(passesAServiceRequestThrough);
  CPPUNIT_TEST(splitsByWeight);
  CPPUNIT_TEST(rejectsUnknownRoutesAndEarlyRequests);
  CPPUNIT_TEST(startingNodeHoldsRequestsUntilItHasRoutes);
  CPPUNIT_TEST(outdatedNodeDoesNotRejectUnknownRoutes);
  CPPUNIT_TEST(longOutdatedNodeAcceptsNoRequests);
  CPPUNIT_TEST(notRunStatusNeedsCertainty);
  CPPUNIT_TEST(replacesKeyByTenant);
  CPPUNIT_TEST(rejectsUnknownKeys);
  CPPUNIT_TEST(publicRoutesNeedNoKey);
  CPPUNIT_TEST(revokedKeyStopsWaitingRequests);
  CPPUNIT_TEST(outdatedNodeDoesNotRejectUnknownKeys);
  CPPUNIT_TEST(dropsReservedFieldsOfCallers);
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

  void recognizesAnswersThatCallersTakeUp() {
    IngressFixture fixture;
    fixture.send("/digest/a", {{"Resumes", "id-0"}});
    CPPUNIT_ASSERT(!fixture.world.call().call.continues);
    fixture.send("/digest/a", {{"Last-Event-Id", "7"}, {"Resumes", "id-0"}});
    const auto& call = fixture.world.call().call;
    CPPUNIT_ASSERT_EQUAL(std::string("id-0"), call.continues->began_as);
    CPPUNIT_ASSERT_EQUAL(std::string("7"), call.continues->position);
    fixture.send("/digest/a", {{"Last-Event-Id", "7"}});
    CPPUNIT_ASSERT(fixture.world.call().call.continues->began_as.empty());
  }

  void forwardsEnginesAnswerByteForByte() {
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

  void abortsInterruptedAnswers() {
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

  /// Load: callers return to a zone of which all nodes have just started.
  void startingNodeHoldsRequestsUntilItHasRoutes() {
    IngressFixture fixture(milliseconds(500));
    const RouteTable routes = std::exchange(fixture.routes, RouteTable());
    const auto record = fixture.send("/digest/a");
    CPPUNIT_ASSERT_EQUAL(0, record->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.ingress.heldRequests());
    fixture.processes.runFor(milliseconds(200));
    fixture.routes = routes;
    fixture.processes.runFor(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.ingress.heldRequests());
    // The time for which it was held is taken off the caller's limit.
    const auto limit = fixture.world.models.calls.at(0)->call.time_limit;
    CPPUNIT_ASSERT(limit <= milliseconds(2800) && limit >= milliseconds(2700));
  }

  void outdatedNodeDoesNotRejectUnknownRoutes() {
    IngressFixture fixture;
    CPPUNIT_ASSERT_EQUAL(404, fixture.send("/nowhere/")->status);
    fixture.outdated_for = milliseconds(0);
    const auto answer = fixture.send("/nowhere/");
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer->headers.count("Retry-After"));
    fixture.send("/digest/a");
    CPPUNIT_ASSERT_EQUAL(std::string("digest@new"), fixture.world.call().call.service);
  }

  void longOutdatedNodeAcceptsNoRequests() {
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

  void rejectsUnknownRoutesAndEarlyRequests() {
    IngressFixture fixture;
    CPPUNIT_ASSERT_EQUAL(404, fixture.send("/other/a")->status);
    fixture.routes = RouteTable();
    const auto early = fixture.send("/digest/a");
    CPPUNIT_ASSERT_EQUAL(503, early->status);
    CPPUNIT_ASSERT(early->headers.count("Retry-After") == 1);
  }

  void notRunStatusNeedsCertainty() {
    for (const auto kind : {ErrorKind::kOverloaded, ErrorKind::kNoBackend, ErrorKind::kDraining,
                            ErrorKind::kDeadlineExceeded, ErrorKind::kBackendFailed}) {
      CPPUNIT_ASSERT_EQUAL(503, statusOf({kind, Outcome::kNotRun, "", {}}));
      const int unknown = statusOf({kind, Outcome::kUnknown, "", {}});
      CPPUNIT_ASSERT(unknown == 502 || unknown == 504);
    }
  }

  void replacesKeyByTenant() {
    IngressFixture fixture;
    fixture.declareTenant();
    fixture.send("/digest/a", {{"api-key", "key-2"}, {"x-tenant", "somebody"}});
    const auto& call = fixture.world.call().call;
    CPPUNIT_ASSERT_EQUAL(std::string("haulier"), call.tenant);
    CPPUNIT_ASSERT(call.urgency == configuration::Urgency::kHigh);
    const HeaderFields& fields = call.pass_through->headers;
    CPPUNIT_ASSERT_EQUAL(std::string("haulier"), valueOf(fields, kTenantHeader));
    CPPUNIT_ASSERT_EQUAL(std::string(), valueOf(fields, kKeyHeader));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::count_if(fields.begin(), fields.end(), [](const auto& field) {
                           return common::sameHeaderName(field.name, kTenantHeader);
                         }));
    fixture.send("/fix/1", {{"Api-Key", "key-1"}});
    const auto& service_call = fixture.world.services.calls.back()->request;
    CPPUNIT_ASSERT_EQUAL(std::string("haulier"), service_call.tenant);
    CPPUNIT_ASSERT_EQUAL(std::string("haulier"), valueOf(service_call.headers, kTenantHeader));
    CPPUNIT_ASSERT_EQUAL(std::string(), valueOf(service_call.headers, kKeyHeader));
    for (const std::string& line : fixture.world.log.lines) {
      CPPUNIT_ASSERT(line.find("key-") == std::string::npos);
    }
  }

  void rejectsUnknownKeys() {
    IngressFixture fixture;
    fixture.declareTenant();
    CPPUNIT_ASSERT_EQUAL(401, fixture.send("/digest/a")->status);
    CPPUNIT_ASSERT_EQUAL(401, fixture.send("/digest/a", {{"Api-Key", ""}})->status);
    const auto refused = fixture.send("/fix/1", {{"Api-Key", "key-3"}});
    CPPUNIT_ASSERT_EQUAL(401, refused->status);
    CPPUNIT_ASSERT_EQUAL(std::string("id-1"), refused->headers.at("X-Request-Id"));
    CPPUNIT_ASSERT(fixture.world.models.calls.empty());
    CPPUNIT_ASSERT(fixture.world.services.calls.empty());
    CPPUNIT_ASSERT_EQUAL(404, fixture.send("/nowhere/", {{"Api-Key", "key-1"}})->status);
  }

  void publicRoutesNeedNoKey() {
    IngressFixture fixture;
    fixture.declareTenant();
    fixture.send("/open/a", {{"X-Tenant", "haulier"}});
    const auto& call = fixture.world.call().call;
    CPPUNIT_ASSERT_EQUAL(std::string("default"), call.tenant);
    CPPUNIT_ASSERT_EQUAL(std::string(), valueOf(call.pass_through->headers, kTenantHeader));
    CPPUNIT_ASSERT_EQUAL(401, fixture.send("/open/a", {{"Api-Key", "key-3"}})->status);
  }

  void revokedKeyStopsWaitingRequests() {
    IngressFixture fixture;
    fixture.declareTenant();
    fixture.send("/digest/a", {{"Api-Key", "key-1"}});
    fixture.send("/digest/a", {{"Api-Key", "key-2"}});
    const auto& first = fixture.world.models.calls.front()->call;
    const auto& second = fixture.world.models.calls.back()->call;
    CPPUNIT_ASSERT(first.still_allowed() && second.still_allowed());
    fixture.revokeKey("key-1");
    CPPUNIT_ASSERT(!first.still_allowed());
    CPPUNIT_ASSERT(second.still_allowed());
    CPPUNIT_ASSERT_EQUAL(401, fixture.send("/digest/a", {{"Api-Key", "key-1"}})->status);
    CPPUNIT_ASSERT_EQUAL(401, statusOf({ErrorKind::kKeyRevoked, Outcome::kNotRun, "", {}}));
  }

  void outdatedNodeDoesNotRejectUnknownKeys() {
    IngressFixture fixture;
    fixture.declareTenant();
    fixture.outdated_for = milliseconds(0);
    CPPUNIT_ASSERT_EQUAL(503, fixture.send("/digest/a", {{"Api-Key", "key-3"}})->status);
  }

  void dropsReservedFieldsOfCallers() {
    const HeaderFields passed = fieldsForRunner({{"x-kv-hold", "1"},
                                                 {"X-Pin-Ms", "2"},
                                                 {"X-KV-Backup", "3"},
                                                 {"X-Kv-Source", "4"},
                                                 {"X-Model", "m"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, passed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Model"), passed.front().name);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IngressTest);

}  // namespace
}  // namespace cypresswall::objects_platform
