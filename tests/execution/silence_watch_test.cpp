#include "cypresswall/execution/silence_watch.h"

#include <utility>
#include <vector>

#include "cypresswall/simulation/virtual_time.h"
#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SilenceWatch::Limits kLimits{seconds(1), seconds(3)};

/// A scheduler that runs its one callback only when told to, like that of a paused process.
struct HeldScheduler final : common::Scheduler {
  common::TimerId schedule(common::Duration, std::function<void()> callback) override {
    pending = std::move(callback);
    return 1;
  }
  void cancel(common::TimerId) override { pending = nullptr; }
  void run() { std::exchange(pending, nullptr)(); }

  std::function<void()> pending;
};

class SilenceWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilenceWatchTest);
  CPPUNIT_TEST(reportsEachSoftLimitThenTheHardOne);
  CPPUNIT_TEST(progressBeginsAnew);
  CPPUNIT_TEST(pauseOfTheProcessIsNotSilence);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reportsEachSoftLimitThenTheHardOne() {
    simulation::VirtualTime time;
    SilenceWatch watch(time, time, milliseconds(250));
    std::vector<bool> reports;
    watch.start(kLimits, [&reports](bool beyond_hard) { reports.push_back(beyond_hard); });
    time.runFor(seconds(60));
    CPPUNIT_ASSERT(reports == std::vector<bool>({false, false, true}));
  }

  void progressBeginsAnew() {
    simulation::VirtualTime time;
    SilenceWatch watch(time, time, milliseconds(250));
    int reports = 0;
    watch.start(kLimits, [&reports](bool) { ++reports; });
    for (int step = 0; step < 100; ++step) {
      time.runFor(milliseconds(900));
      watch.progress();
    }
    CPPUNIT_ASSERT_EQUAL(0, reports);
    watch.stop();
    time.runFor(seconds(60));
    CPPUNIT_ASSERT_EQUAL(0, reports);
  }

  void pauseOfTheProcessIsNotSilence() {
    simulation::VirtualTime time;
    HeldScheduler scheduler;
    SilenceWatch watch(time, scheduler, milliseconds(250));
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

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceWatchTest);

}  // namespace
}  // namespace cypresswall::execution
