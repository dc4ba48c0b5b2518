#include "cypresswall/routing/permit_router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "tests/execution/fake_engines.h"
#include "tests/execution/process_fixture.h"

namespace cypresswall::routing {
namespace {

struct PermitRouterWorld {
  RouteRequest request(const std::string& stream = "a") const {
    RouteRequest request;
    request.stream_id = stream;
    return request;
  }
  void place(const std::string& stream = "a") {
    permits.place(request(stream), [this](RouteChoice choice) {
      ++answers;
      chosen = std::move(choice);
    });
  }
  const Route& route() const { return std::get<Route>(*chosen); }

  testing::ProcessFixture process;
  testing::FakeRouter router;
  testing::FakeRateLimiter limiter;
  PermitRouter permits{process.context, router, limiter};
  std::optional<RouteChoice> chosen;
  int answers = 0;
};

class PermitRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermitRouterTest);
  CPPUNIT_TEST(enginesWithoutALimitNeedNoPermit);
  CPPUNIT_TEST(placementWaitsForThePermit);
  CPPUNIT_TEST(refusedPermitMovesTheRequestElsewhere);
  CPPUNIT_TEST(bothEnginesOfARouteNeedAPermit);
  CPPUNIT_TEST(nothingStartsWithoutAPermit);
  CPPUNIT_TEST(abandonedRequestIsNotPlaced);
  CPPUNIT_TEST(answerToAnEarlierRequestIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void enginesWithoutALimitNeedNoPermit() {
    PermitRouterWorld world;
    world.place();
    CPPUNIT_ASSERT_EQUAL(std::string("engine-1"), world.route().engine.name);
    CPPUNIT_ASSERT_EQUAL(1, world.router.open);
    CPPUNIT_ASSERT(world.limiter.granted_to.empty());
  }

  void placementWaitsForThePermit() {
    PermitRouterWorld world;
    world.limiter.known = {"engine-1"};
    world.limiter.answers_late = true;
    world.place();
    CPPUNIT_ASSERT_EQUAL(0, world.answers);
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
    world.limiter.answerAll();
    CPPUNIT_ASSERT_EQUAL(std::string("engine-1"), world.route().engine.name);
    CPPUNIT_ASSERT_EQUAL(1, world.router.open);
    CPPUNIT_ASSERT_EQUAL(1, world.answers);
  }

  void refusedPermitMovesTheRequestElsewhere() {
    PermitRouterWorld world;
    world.limiter.refusing = {"engine-1", "engine-2"};
    world.place();
    CPPUNIT_ASSERT_EQUAL(std::string("engine-3"), world.route().engine.name);
    CPPUNIT_ASSERT_EQUAL(1, world.router.open);
    CPPUNIT_ASSERT_EQUAL(1, world.answers);
  }

  void bothEnginesOfARouteNeedAPermit() {
    PermitRouterWorld world;
    world.router.prefill_name = "prefill-1";
    world.limiter.known = {"prefill-1", "engine-1"};
    world.place();
    CPPUNIT_ASSERT((world.limiter.granted_to == std::vector<std::string>{"engine-1", "prefill-1"}));
    world.limiter.refusing = {"prefill-1"};
    world.place("b");
    CPPUNIT_ASSERT(!world.route().prefill_engine);
    CPPUNIT_ASSERT_EQUAL(2, world.router.open);
  }

  void nothingStartsWithoutAPermit() {
    PermitRouterWorld world;
    world.limiter.refusing = {world.router.names.begin(), world.router.names.end()};
    world.place();
    CPPUNIT_ASSERT(std::holds_alternative<RouteRefusal>(*world.chosen));
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
    CPPUNIT_ASSERT_EQUAL(1, world.answers);
  }

  void abandonedRequestIsNotPlaced() {
    PermitRouterWorld world;
    world.limiter.known = {"engine-1"};
    world.limiter.answers_late = true;
    world.place();
    world.permits.abandonPlacement("a");
    world.limiter.answerAll();
    CPPUNIT_ASSERT_EQUAL(0, world.answers);
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
  }

  void answerToAnEarlierRequestIsIgnored() {
    PermitRouterWorld world;
    world.limiter.known = {"engine-1"};
    world.limiter.answers_late = true;
    world.place();
    world.permits.abandonPlacement("a");
    world.place();
    world.limiter.answerAll();
    CPPUNIT_ASSERT_EQUAL(1, world.answers);
    CPPUNIT_ASSERT_EQUAL(1, world.router.open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitRouterTest);

}  // namespace
}  // namespace cypresswall::routing
