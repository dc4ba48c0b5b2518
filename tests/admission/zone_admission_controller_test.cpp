#include "cypresswall/admission/zone_admission_controller.h"

#include "cypresswall/admission/engine_priority.h"
#include "cypresswall/admission/observed_router.h"
#include "tests/execution/fake_engines.h"
#include "tests/execution/fake_services.h"
#include "tests/execution/process_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::admission {
namespace {

using configuration::Urgency;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A node with a router that can be set to refuse requests.
struct Fixture {
  explicit Fixture(AdmissionSettings settings = {})
      : controller(process.context, configuration, membership, router, settings) {
    auto& service = configuration.fleet.model_services["summary"];
    service.name = "summary";
    service.model = "dispatch";
  }

  std::optional<Refusal> admit(Urgency urgency) {
    AdmissionRequest request;
    request.service = "summary";
    request.urgency = urgency;
    auto refusal = controller.admit(request);
    if (!refusal) {
      controller.released(request);
    }
    return refusal;
  }
  /// Routes requests of one urgency for the given duration.
  void route(Urgency urgency, bool refused, common::Duration duration) {
    for (auto passed = common::Duration{0}; passed < duration; passed += milliseconds(10)) {
      routing::RouteRequest request;
      request.model = "dispatch";
      request.priority = enginePriority(urgency, false);
      engines_router.refuses = refused;
      router.choose(request);
      process.time.runFor(milliseconds(10));
    }
  }
  /// Divides the engines, with shares that let `large` send a tenth of its requests.
  void divide(const std::vector<common::TenantName>& tenants) {
    for (const common::TenantName& tenant : tenants) {
      configuration.fleet.tenants[tenant].name = tenant;
    }
    controller.setFairShares(shares);
    router.setFairShares(shares);
    fleet_limits::PoolShares told;
    told.pool = modelPool("dispatch");
    const auto urgency = static_cast<std::uint8_t>(Urgency::kLow);
    told.classes = {{urgency, true, false}};
    told.tenants = {{"large", urgency, 0.1}};
    shares.apply(told);
  }
  int admittedOfHundred(Urgency urgency, const common::TenantName& tenant) {
    int admitted = 0;
    for (int number = 0; number < 100; ++number) {
      AdmissionRequest request;
      request.service = "summary";
      request.urgency = urgency;
      request.tenant = tenant;
      const auto refusal = controller.admit(request);
      admitted += refusal ? 0 : 1;
      last_reason = refusal ? refusal->reason : last_reason;
    }
    return admitted;
  }
  int admittedOfHundred(Urgency urgency) {
    int admitted = 0;
    for (int number = 0; number < 100; ++number) {
      admitted += admit(urgency) ? 0 : 1;
    }
    return admitted;
  }

  testing::ProcessFixture process;
  testing::FixedConfiguration configuration;
  testing::FakeMembership membership;
  testing::FakeRouter engines_router;
  ObservedRouter router{engines_router, process.time};
  ZoneAdmissionController controller;
  FairShares shares{{.divides_engines = true}, process.time, process.random, process.counters};
  RefusalReason last_reason = RefusalReason::kDraining;
};

class ZoneAdmissionControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneAdmissionControllerTest);
  CPPUNIT_TEST(drainingRefusesNewWork);
  CPPUNIT_TEST(lowUrgencyIsShedFirst);
  CPPUNIT_TEST(refusalsOfAnUrgencyDoNotShedIt);
  CPPUNIT_TEST(sheddingEndsWithTheOverload);
  CPPUNIT_TEST(boundsRequestsInFlight);
  CPPUNIT_TEST(tenantAboveItsShareIsRefusedInPlaceOfShedding);
  CPPUNIT_TEST(singleTenantIsShedAsWithoutShares);
  CPPUNIT_TEST(priorityRoundTripsUrgency);
  CPPUNIT_TEST_SUITE_END();

 public:
  void drainingRefusesNewWork() {
    Fixture fixture;
    CPPUNIT_ASSERT(!fixture.admit(Urgency::kNormal));
    fixture.controller.setDraining(true);
    const auto refusal = fixture.admit(Urgency::kCritical);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::kDraining);
    CPPUNIT_ASSERT(refusal->retry_after == seconds(1));
  }

  void lowUrgencyIsShedFirst() {
    Fixture fixture;
    fixture.route(Urgency::kHigh, true, milliseconds(1500));
    CPPUNIT_ASSERT_LESS(20, fixture.admittedOfHundred(Urgency::kLow));
    CPPUNIT_ASSERT_EQUAL(100, fixture.admittedOfHundred(Urgency::kNormal));
    fixture.route(Urgency::kHigh, true, seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, fixture.admittedOfHundred(Urgency::kLow));
    CPPUNIT_ASSERT_LESS(100, fixture.admittedOfHundred(Urgency::kNormal));
    CPPUNIT_ASSERT_EQUAL(100, fixture.admittedOfHundred(Urgency::kHigh));
    const auto refusal = fixture.admit(Urgency::kLow);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::kShedding);
    CPPUNIT_ASSERT(refusal->retry_after >= fixture.engines_router.retry_after);
  }

  void refusalsOfAnUrgencyDoNotShedIt() {
    Fixture fixture;
    fixture.route(Urgency::kLow, true, seconds(60));
    CPPUNIT_ASSERT_EQUAL(100, fixture.admittedOfHundred(Urgency::kLow));
    fixture.route(Urgency::kNormal, true, seconds(60));
    CPPUNIT_ASSERT_LESS(20, fixture.admittedOfHundred(Urgency::kLow));
    CPPUNIT_ASSERT_EQUAL(100, fixture.admittedOfHundred(Urgency::kNormal));
  }

  void sheddingEndsWithTheOverload() {
    Fixture fixture;
    fixture.route(Urgency::kCritical, true, seconds(60));
    CPPUNIT_ASSERT_LESS(20, fixture.admittedOfHundred(Urgency::kHigh));
    CPPUNIT_ASSERT_EQUAL(100, fixture.admittedOfHundred(Urgency::kCritical));
    // Applies even if no request is routed that could show the end of the overload.
    fixture.process.time.runFor(seconds(60));
    CPPUNIT_ASSERT_EQUAL(100, fixture.admittedOfHundred(Urgency::kLow));
  }

  void tenantAboveItsShareIsRefusedInPlaceOfShedding() {
    Fixture fixture;
    fixture.route(Urgency::kHigh, true, milliseconds(1500));
    CPPUNIT_ASSERT_LESS(20, fixture.admittedOfHundred(Urgency::kLow));
    fixture.divide({"large", "small"});
    CPPUNIT_ASSERT_EQUAL(100, fixture.admittedOfHundred(Urgency::kLow, "small"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, fixture.admittedOfHundred(Urgency::kLow, "large"), 1);
    CPPUNIT_ASSERT(fixture.last_reason == RefusalReason::kFairShare);
  }

  void singleTenantIsShedAsWithoutShares() {
    Fixture fixture;
    fixture.route(Urgency::kHigh, true, milliseconds(1500));
    fixture.divide({"large"});
    CPPUNIT_ASSERT_LESS(20, fixture.admittedOfHundred(Urgency::kLow, "large"));
    CPPUNIT_ASSERT(fixture.last_reason == RefusalReason::kShedding);
  }

  void boundsRequestsInFlight() {
    AdmissionSettings settings;
    settings.maximum_in_flight = 2;
    Fixture fixture(settings);
    const AdmissionRequest request;
    CPPUNIT_ASSERT(!fixture.controller.admit(request));
    CPPUNIT_ASSERT(!fixture.controller.admit(request));
    CPPUNIT_ASSERT(fixture.controller.admit(request)->reason == RefusalReason::kShedding);
    fixture.controller.released(request);
    CPPUNIT_ASSERT(!fixture.controller.admit(request));
  }

  void priorityRoundTripsUrgency() {
    for (const auto urgency :
         {Urgency::kLow, Urgency::kNormal, Urgency::kHigh, Urgency::kCritical}) {
      for (const bool resuming : {false, true}) {
        CPPUNIT_ASSERT(urgencyOfPriority(enginePriority(urgency, resuming)) == urgency);
        CPPUNIT_ASSERT(enginePriority(urgency, resuming) <= 9);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneAdmissionControllerTest);

}  // namespace
}  // namespace cypresswall::admission
