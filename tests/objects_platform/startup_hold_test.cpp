#include "platform/startup_hold.h"

#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::objects_platform {
namespace {

using gateway::RecordingResponder;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct HoldFixture {
  explicit HoldFixture(common::Duration limit)
      : hold(
            limit, process.context(), [this] { return configured; },
            [this](const StartupHold::HeldRequest&, common::Duration waited) {
              passed.push_back(waited);
            },
            [this](const StartupHold::HeldRequest&) { ++refused; }) {}

  bool send(std::size_t body_bytes = 10) {
    http::Request request;
    request.body = std::string(body_bytes, 'x');
    records.push_back(std::make_shared<RecordingResponder::Record>());
    return hold.hold(request, std::make_shared<RecordingResponder>(records.back()));
  }

  testing::VirtualWorld world{1};
  testing::VirtualProcess& process = world.spawn({"10.0.0.1:7000", 1}, "hall-a");
  bool configured = false;
  std::vector<common::Duration> passed;
  int refused = 0;
  std::vector<std::shared_ptr<RecordingResponder::Record>> records;
  StartupHold hold;
};

class StartupHoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartupHoldTest);
  CPPUNIT_TEST(passesAllWhenConfigured);
  CPPUNIT_TEST(refusesAfterTheLimit);
  CPPUNIT_TEST(holdsNothingLongAfterTheStart);
  CPPUNIT_TEST(holdsALimitedNumberAndSize);
  CPPUNIT_TEST(zeroLimitHoldsNothing);
  CPPUNIT_TEST(requestsOfCallersThatLeftAreNotPassed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void passesAllWhenConfigured() {
    HoldFixture fixture(milliseconds(500));
    CPPUNIT_ASSERT(fixture.send());
    fixture.world.runFor(milliseconds(100));
    CPPUNIT_ASSERT(fixture.send());
    fixture.configured = true;
    fixture.world.runFor(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.passed.size());
    CPPUNIT_ASSERT(fixture.passed[0] >= milliseconds(100));
    CPPUNIT_ASSERT(fixture.passed[1] <= milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(0, fixture.refused);
  }

  /// Failure: the store is away, so that no declaration comes.
  void refusesAfterTheLimit() {
    HoldFixture fixture(milliseconds(500));
    CPPUNIT_ASSERT(fixture.send());
    fixture.world.runFor(milliseconds(490));
    CPPUNIT_ASSERT_EQUAL(0, fixture.refused);
    fixture.world.runFor(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(1, fixture.refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.hold.size());
  }

  void holdsNothingLongAfterTheStart() {
    HoldFixture fixture(milliseconds(500));
    fixture.world.runFor(seconds(4));
    CPPUNIT_ASSERT(!fixture.send());
  }

  void holdsALimitedNumberAndSize() {
    HoldFixture fixture(milliseconds(500));
    for (int i = 0; i < 600; ++i) {
      CPPUNIT_ASSERT_EQUAL(i < 512, fixture.send());
    }
    HoldFixture large(milliseconds(500));
    CPPUNIT_ASSERT(large.send(3U << 20));
    CPPUNIT_ASSERT(!large.send(3U << 20));
  }

  void zeroLimitHoldsNothing() {
    HoldFixture fixture(common::Duration{0});
    CPPUNIT_ASSERT(!fixture.send());
  }

  void requestsOfCallersThatLeftAreNotPassed() {
    HoldFixture fixture(milliseconds(500));
    fixture.send();
    fixture.records[0]->on_closed();
    fixture.configured = true;
    fixture.world.runFor(milliseconds(20));
    CPPUNIT_ASSERT(fixture.passed.empty());
    CPPUNIT_ASSERT_EQUAL(0, fixture.refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartupHoldTest);

}  // namespace
}  // namespace cypresswall::objects_platform
