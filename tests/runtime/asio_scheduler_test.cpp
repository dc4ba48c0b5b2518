#include "cypresswall/runtime/asio_scheduler.h"

#include <memory>
#include <string>

#include "cypresswall/common/socket_address.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/fault_switch.h"
#include "cypresswall/runtime/metrics_text.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::runtime {
namespace {

using std::chrono::milliseconds;

class AsioSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AsioSchedulerTest);
  CPPUNIT_TEST(runsInOrderOfTimeAndNeverSynchronously);
  CPPUNIT_TEST(cancelsAlsoFromAnotherCallback);
  CPPUNIT_TEST(destroyingDropsCallbacks);
  CPPUNIT_TEST(clockNeverGoesBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void runsInOrderOfTimeAndNeverSynchronously() {
    AsioScheduler scheduler(context_);
    std::string order;
    scheduler.schedule(milliseconds(20), [&] { order += 'b'; });
    scheduler.schedule(milliseconds(-1), [&] { order += 'a'; });
    CPPUNIT_ASSERT(order.empty());
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return order == "ab"; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scheduler.pending());
  }

  void cancelsAlsoFromAnotherCallback() {
    AsioScheduler scheduler(context_);
    common::TimerId second = 0;
    bool second_ran = false;
    // Both are due when the loop starts; the first cancels the second.
    scheduler.schedule(common::Duration{0}, [&] { scheduler.cancel(second); });
    second = scheduler.schedule(common::Duration{0}, [&] { second_ran = true; });
    context_.run();
    CPPUNIT_ASSERT(!second_ran);
    scheduler.cancel(second);
  }

  void destroyingDropsCallbacks() {
    auto scheduler = std::make_unique<AsioScheduler>(context_);
    bool ran = false;
    scheduler->schedule(common::Duration{0}, [&] { ran = true; });
    scheduler.reset();
    context_.run();
    CPPUNIT_ASSERT(!ran);
  }

  void clockNeverGoesBack() {
    const AsioClock clock;
    const auto first = clock.now();
    CPPUNIT_ASSERT(clock.now() >= first);
  }

 private:
  asio::io_context context_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsioSchedulerTest);

class RuntimeTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RuntimeTextTest);
  CPPUNIT_TEST(metricsUseThePrometheusTextFormat);
  CPPUNIT_TEST(faultSwitchMatchesWholeNumbersOnly);
  CPPUNIT_TEST(addressesAreIpNumbersWithPort);
  CPPUNIT_TEST_SUITE_END();

 public:
  void metricsUseThePrometheusTextFormat() {
    common::CounterRegistry registry;
    registry.counter("requests_total", "Requests.", "outcome", "done").add(3);
    registry.gauge("streams", "Open streams.").set(2);
    const std::string text = metricsText(registry);
    CPPUNIT_ASSERT(text.find("# TYPE requests_total counter") != std::string::npos);
    CPPUNIT_ASSERT(text.find("requests_total{outcome=\"done\"} 3") != std::string::npos);
    CPPUNIT_ASSERT(text.find("streams 2") != std::string::npos);
    updateProcessMetrics(registry);
    CPPUNIT_ASSERT(registry.total("process_resident_memory_bytes") > 0);
  }

  void faultSwitchMatchesWholeNumbersOnly() {
    CPPUNIT_ASSERT(FaultSwitch::matchesAny({"127.0.0.1:70"}, "127.0.0.1:70"));
    CPPUNIT_ASSERT(!FaultSwitch::matchesAny({"127.0.0.1:70"}, "127.0.0.1:7001"));
    CPPUNIT_ASSERT(FaultSwitch::matchesAny({"127.0.0.1"}, "127.0.0.1:7001"));
    CPPUNIT_ASSERT(!FaultSwitch::matchesAny({"127.0.0.1"}, "127.0.0.11:7001"));
    CPPUNIT_ASSERT(FaultSwitch::matchesAny({"127.0.2."}, "127.0.2.9:1"));
    CPPUNIT_ASSERT(!FaultSwitch::matchesAny({""}, "127.0.2.9:1"));
  }

  void addressesAreIpNumbersWithPort() {
    CPPUNIT_ASSERT(common::parseSocketAddress("[::1]:80") == (common::SocketAddress{"::1", 80}));
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:80"), common::formatSocketAddress({"::1", 80}));
    for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                            "localhost:80", "::1:80", "[127.0.0.1:80", "1.2.3:4", "1.2.3.4:8x"}) {
      CPPUNIT_ASSERT_THROW(common::parseSocketAddress(bad), common::AddressError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RuntimeTextTest);

}  // namespace
}  // namespace cypresswall::runtime
