#include "cypresswall/fleet_limits/retry_budgets.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tests/fleet_limits/simulated_budgets.h"

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class KeptLines final : public common::LogSink {
 public:
  bool enabled(common::LogLevel) const override { return true; }
  void write(common::LogLevel, const std::string& line) override { lines.push_back(line); }
  std::size_t of(const std::string& event) const {
    std::size_t count = 0;
    for (const std::string& line : lines) {
      count += line.find("event=" + event) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  std::vector<std::string> lines;
};

class RetryAccountTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryAccountTest);
  CPPUNIT_TEST(paysHalfOfTheShareAndThePartOfTheBurst);
  CPPUNIT_TEST(whatWasUsedComesBackAfterTheWindow);
  CPPUNIT_TEST(whatWasNotUsedIsForgotten);
  CPPUNIT_TEST(servicesPayForThemselves);
  CPPUNIT_TEST(tellsOnceThatItIsEmptyAndOnceThatItRecovered);
  CPPUNIT_TEST(burstIsWithheldBeforeAPauseIsNoticed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    limits_.fleet_share = 0.2;
    limits_.fleet_burst = 3;
    node_ = std::make_unique<testing::AccountNode>(time_, limits_, LocalShareSettings{}, lines_);
  }

  /// Timers of a suspended machine go on where they were, while its clock has moved.
  void burstIsWithheldBeforeAPauseIsNoticed() {
    LocalShareSettings part;
    part.withhold_after_start = true;
    testing::AccountNode node(time_, limits_, part, lines_);
    time_.runFor(seconds(20));
    CPPUNIT_ASSERT(node.account().available());
    node.timers.paused = true;
    time_.runFor(seconds(5));
    CPPUNIT_ASSERT(!node.account().available());
    node.timers.wake();
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT(!node.account().available());
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT(node.account().available());
  }

  void paysHalfOfTheShareAndThePartOfTheBurst() {
    request(50);
    CPPUNIT_ASSERT(node_->account().available(8));
    CPPUNIT_ASSERT(!node_->account().available(9));
    CPPUNIT_ASSERT(!node_->account().withdraw(9));
    CPPUNIT_ASSERT_EQUAL(8, withdrawAll());
  }

  void whatWasUsedComesBackAfterTheWindow() {
    CPPUNIT_ASSERT_EQUAL(3, withdrawAll());
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, withdrawAll());
    time_.runFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(3, withdrawAll());
  }

  void whatWasNotUsedIsForgotten() {
    request(100);
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT_EQUAL(3, withdrawAll());
  }

  void servicesPayForThemselves() {
    withdrawAll();
    CPPUNIT_ASSERT(node_->accounts.of("calculator").available(3));
  }

  void tellsOnceThatItIsEmptyAndOnceThatItRecovered() {
    withdrawAll();
    for (int number = 0; number < 100; ++number) {
      CPPUNIT_ASSERT(!node_->account().withdraw());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines_.of("retry_account_empty"));
    time_.runFor(seconds(12));
    withdrawAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines_.of("retry_account_empty"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines_.of("retry_account_recovered"));
  }

 private:
  void request(int count) {
    for (; count > 0; --count) {
      node_->account().recordRequest();
    }
  }
  int withdrawAll() {
    int count = 0;
    while (node_->account().available() && node_->account().withdraw()) {
      ++count;
    }
    return count;
  }

  RetryLimitSettings limits_;
  simulation::VirtualTime time_;
  KeptLines lines_;
  std::unique_ptr<testing::AccountNode> node_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAccountTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
