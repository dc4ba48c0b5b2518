/// The bound on what a process keeps for callers, without connections.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "cypresswall/http/caller_memory.h"
#include "tests/support/property.h"

namespace cypresswall::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLimit = 1U << 20;
constexpr std::size_t kLarge = 256U << 10;
constexpr std::size_t kSmall = 1U << 10;

/// A connection that frees nothing by itself.
struct Holder {
  explicit Holder(const std::shared_ptr<CallerMemory>& memory)
      : account(memory, [this] { ended = true; }) {}

  bool receive(std::size_t bytes, CallerMemory::TimePoint now) {
    account.noteProgress(now);
    return account.addArriving(bytes);
  }

  bool ended = false;
  MemoryAccount account;
};

class CallerMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerMemoryTest);
  CPPUNIT_TEST(stalledConnectionEndsForOneThatProgresses);
  CPPUNIT_TEST(smallConnectionsOutliveLargeOnesThatStalledAsLong);
  CPPUNIT_TEST(requestsThatRunAreNeverEnded);
  CPPUNIT_TEST(nobodyEndsIfThatWouldNotBeEnough);
  CPPUNIT_TEST(smallRequestsHaveRoomBesideLargeOnesThatRun);
  CPPUNIT_TEST(answersEndTheSlowestReaders);
  CPPUNIT_TEST(closedConnectionsCountNoLonger);
  CPPUNIT_TEST(usedIsTheSumAndWithinTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stalledConnectionEndsForOneThatProgresses() {
    Holder stalled(memory_);
    Holder slow(memory_);
    Holder sender(memory_);
    CPPUNIT_ASSERT(stalled.receive(kLarge / 2, at(0)));
    CPPUNIT_ASSERT(slow.receive(kLarge, at(900)));
    CPPUNIT_ASSERT(sender.receive(kLarge, at(1000)));
    CPPUNIT_ASSERT(sender.receive(kLarge, at(1001)));
    CPPUNIT_ASSERT(stalled.ended);
    CPPUNIT_ASSERT(!slow.ended && !sender.ended);
    CPPUNIT_ASSERT_EQUAL(3 * kLarge, memory_->used());
  }

  void smallConnectionsOutliveLargeOnesThatStalledAsLong() {
    Holder small(memory_);
    Holder large(memory_);
    Holder sender(memory_);
    CPPUNIT_ASSERT(small.receive(kSmall, at(0)));
    CPPUNIT_ASSERT(large.receive(2 * kLarge, at(0)));
    CPPUNIT_ASSERT(sender.receive(2 * kLarge, at(500)));
    CPPUNIT_ASSERT(large.ended && !small.ended);
  }

  void requestsThatRunAreNeverEnded() {
    Holder running(memory_);
    CPPUNIT_ASSERT(running.receive(3 * kLarge, at(0)));
    const std::size_t kept = running.account.completeArriving();
    CPPUNIT_ASSERT_EQUAL(3 * kLarge, kept);
    Holder sender(memory_);
    CPPUNIT_ASSERT(!sender.receive(kLarge, at(5000)));
    CPPUNIT_ASSERT(!running.ended);
    running.account.releaseRunning(kept);
    CPPUNIT_ASSERT(sender.receive(kLarge, at(5001)));
  }

  void nobodyEndsIfThatWouldNotBeEnough() {
    Holder stalled(memory_);
    Holder sender(memory_);
    CPPUNIT_ASSERT(stalled.receive(kLarge, at(0)));
    CPPUNIT_ASSERT(!sender.receive(kLimit, at(1000)));
    CPPUNIT_ASSERT(!stalled.ended);
  }

  void smallRequestsHaveRoomBesideLargeOnesThatRun() {
    std::vector<std::unique_ptr<Holder>> large;
    do {
      large.push_back(std::make_unique<Holder>(memory_));
    } while (large.back()->receive(kLarge, at(0)) &&
             large.back()->account.completeArriving() == kLarge);
    std::vector<std::unique_ptr<Holder>> small;
    for (std::size_t i = 0; i < kLimit / 4 / kSmall; ++i) {
      small.push_back(std::make_unique<Holder>(memory_));
      CPPUNIT_ASSERT(small.back()->receive(kSmall, at(1)));
      small.back()->account.completeArriving();
    }
  }

  void answersEndTheSlowestReaders() {
    Holder reader(memory_);
    Holder idle(memory_);
    Holder answered(memory_);
    idle.account.addUnsent(2 * kLarge, at(0));
    reader.account.addUnsent(kLarge, at(0));
    reader.account.noteProgress(at(990));
    answered.account.addUnsent(2 * kLarge, at(1000));
    CPPUNIT_ASSERT(idle.ended);
    CPPUNIT_ASSERT(!reader.ended && !answered.ended);
    idle.account.releaseUnsent(2 * kLarge);
    CPPUNIT_ASSERT_EQUAL(3 * kLarge, memory_->used());
  }

  void closedConnectionsCountNoLonger() {
    auto holder = std::make_unique<Holder>(memory_);
    CPPUNIT_ASSERT(holder->receive(kLarge, at(0)));
    const std::size_t kept = holder->account.completeArriving();
    CPPUNIT_ASSERT(holder->receive(kLarge, at(0)));
    holder->account.close();
    CPPUNIT_ASSERT_EQUAL(kept, memory_->used());
    CPPUNIT_ASSERT(!holder->receive(kSmall, at(1)));
    holder.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory_->used());
  }

  void usedIsTheSumAndWithinTheLimit() {
    testing::requireProperty("used memory is the sum of what connections hold", 200, [] {
      const auto memory = std::make_shared<CallerMemory>(kLimit);
      std::vector<std::unique_ptr<Holder>> holders;
      std::vector<std::size_t> running;
      const int steps = *rc::gen::inRange(1, 200);
      for (int step = 0; step < steps; ++step) {
        if (holders.empty() || *rc::gen::inRange(0, 4) == 0) {
          holders.push_back(std::make_unique<Holder>(memory));
          running.push_back(0);
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, holders.size());
        const auto bytes = *rc::gen::inRange<std::size_t>(1, kLarge);
        Holder& holder = *holders[index];
        switch (*rc::gen::inRange(0, 4)) {
          case 0:
            running[index] += holder.account.completeArriving();
            break;
          case 1:
            holder.account.releaseRunning(std::exchange(running[index], 0));
            break;
          case 2:
            holder.account.close();
            break;
          default:
            holder.receive(bytes, at(step));
        }
        std::size_t sum = 0;
        for (std::size_t i = 0; i < holders.size(); ++i) {
          sum += holders[i]->account.reclaimable() + running[i];
        }
        RC_ASSERT(sum == memory->used());
        RC_ASSERT(memory->used() <= kLimit);
      }
    });
  }

 private:
  static CallerMemory::TimePoint at(int time) {
    return CallerMemory::TimePoint() + seconds(100) + milliseconds(time);
  }

  std::shared_ptr<CallerMemory> memory_ = std::make_shared<CallerMemory>(kLimit);
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerMemoryTest);

}  // namespace
}  // namespace cypresswall::http
