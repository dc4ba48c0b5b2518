#include "cypresswall/execution/stall_detector.h"

#include <utility>
#include <vector>

#include "cypresswall/simulation/virtual_time.h"
#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr StallDetector::Limits kLimits{seconds(1), seconds(3)};

/// Scheduler that runs its only callback on demand, like that of a paused process.
struct ManualScheduler final : common::Scheduler {
  common::TimerId schedule(common::Duration, std::function<void()> callback) override {
    pending = std::move(callback);
    return 1;
  }
  void cancel(common::TimerId) override { pending = nullptr; }
  void run() { std::exchange(pending, nullptr)(); }

  std::function<void()> pending;
};

class StallDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StallDetectorTest);
  CPPUNIT_TEST(reportsEachSoftLimitThenHardLimit);
  CPPUNIT_TEST(progressRestartsTheInterval);
  CPPUNIT_TEST(processPauseIsNotAStall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reportsEachSoftLimitThenHardLimit() {
    simulation::VirtualTime time;
    StallDetector watch(time, time, milliseconds(250));
    std::vector<bool> reports;
    watch.start(kLimits,
                [&reports](bool hard_limit_exceeded) { reports.push_back(hard_limit_exceeded); });
    time.runFor(seconds(60));
    CPPUNIT_ASSERT(reports == std::vector<bool>({false, false, true}));
  }

  void progressRestartsTheInterval() {
    simulation::VirtualTime time;
    StallDetector watch(time, time, milliseconds(250));
    int reports = 0;
    watch.start(kLimits, [&reports](bool) { ++reports; });
    for (int step = 0; step < 100; ++step) {
      time.runFor(milliseconds(900));
      watch.progress(time.now());
    }
    CPPUNIT_ASSERT_EQUAL(0, reports);
    watch.stop();
    time.runFor(seconds(60));
    CPPUNIT_ASSERT_EQUAL(0, reports);
  }

  void processPauseIsNotAStall() {
    simulation::VirtualTime time;
    ManualScheduler scheduler;
    StallDetector watch(time, scheduler, milliseconds(250));
    int reports = 0;
    watch.start(kLimits, [&reports](bool) { ++reports; });
    time.runFor(seconds(60));
    scheduler.run();
    CPPUNIT_ASSERT_EQUAL(0, reports);
    time.runFor(seconds(1));
    scheduler.run();
    CPPUNIT_ASSERT_EQUAL(1, reports);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StallDetectorTest);

}  // namespace
}  // namespace cypresswall::execution
