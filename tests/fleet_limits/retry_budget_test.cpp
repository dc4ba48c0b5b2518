#include "cypresswall/fleet_limits/retry_budgets.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tests/fleet_limits/simulated_budgets.h"

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RecordingLogSink final : public common::LogSink {
 public:
  bool enabled(common::LogLevel) const override { return true; }
  void write(common::LogLevel, const std::string& line) override { lines.push_back(line); }
  std::size_t count(const std::string& event) const {
    std::size_t found = 0;
    for (const std::string& line : lines) {
      found += line.find("event=" + event) != std::string::npos ? 1 : 0;
    }
    return found;
  }

  std::vector<std::string> lines;
};

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(coversHalfOfShareAndLocalBurst);
  CPPUNIT_TEST(usedAmountReturnsAfterWindow);
  CPPUNIT_TEST(unusedAmountExpires);
  CPPUNIT_TEST(servicesHaveSeparateBudgets);
  CPPUNIT_TEST(logsExhaustionAndRecoveryOnce);
  CPPUNIT_TEST(burstIsWithheldBeforePauseIsDetected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    limits_.fleet_share = 0.2;
    limits_.fleet_burst = 3;
    node_ = std::make_unique<testing::BudgetNode>(time_, limits_, LocalShareSettings{}, log_);
  }

  /// On a suspended machine the clock advances while timers do not: a request may arrive before the
  /// timer that would detect the pause.
  void burstIsWithheldBeforePauseIsDetected() {
    LocalShareSettings part;
    part.withhold_after_start = true;
    testing::BudgetNode node(time_, limits_, part, log_);
    time_.runFor(seconds(20));
    CPPUNIT_ASSERT(node.budget().available());
    node.timers.paused = true;
    time_.runFor(seconds(5));
    CPPUNIT_ASSERT(!node.budget().available());
    node.timers.wake();
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT(!node.budget().available());
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT(node.budget().available());
  }

  void coversHalfOfShareAndLocalBurst() {
    request(50);
    CPPUNIT_ASSERT(node_->budget().available(8));
    CPPUNIT_ASSERT(!node_->budget().available(9));
    CPPUNIT_ASSERT(!node_->budget().withdraw(9));
    CPPUNIT_ASSERT_EQUAL(8, withdrawAll());
  }

  void usedAmountReturnsAfterWindow() {
    CPPUNIT_ASSERT_EQUAL(3, withdrawAll());
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, withdrawAll());
    time_.runFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(3, withdrawAll());
  }

  void unusedAmountExpires() {
    request(100);
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT_EQUAL(3, withdrawAll());
  }

  void servicesHaveSeparateBudgets() {
    withdrawAll();
    CPPUNIT_ASSERT(node_->budgets.of("calculator").available(3));
  }

  void logsExhaustionAndRecoveryOnce() {
    withdrawAll();
    for (int number = 0; number < 100; ++number) {
      CPPUNIT_ASSERT(!node_->budget().withdraw());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.count("retry_account_empty"));
    time_.runFor(seconds(12));
    withdrawAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.count("retry_account_empty"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.count("retry_account_recovered"));
  }

 private:
  void request(int count) {
    for (; count > 0; --count) {
      node_->budget().recordRequest();
    }
  }
  int withdrawAll() {
    int count = 0;
    while (node_->budget().available() && node_->budget().withdraw()) {
      ++count;
    }
    return count;
  }

  RetryLimitSettings limits_;
  simulation::VirtualTime time_;
  RecordingLogSink log_;
  std::unique_ptr<testing::BudgetNode> node_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
