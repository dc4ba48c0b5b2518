/// The retries granted by the budgets of a whole fleet stay within the limit in each window,
/// despite restarts, lost and added nodes, partitions, pauses, and member lists that differ for
/// seconds.
#include <algorithm>
#include <deque>
#include <optional>

#include "tests/fleet_limits/simulated_budgets.h"
#include "tests/support/property.h"

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BudgetNode;
using List = testing::SharedMembership::List;

constexpr common::Duration kStep = milliseconds(250);
constexpr int kStepsPerWindow = 40;
constexpr double kShare = 0.2;
/// Requests per second at each node with a traffic factor of 1.
constexpr double kBaseRate = 8;
/// Traffic factor at which requests earn hardly any retries, so that only the local shares matter.
constexpr double kMinimalTraffic = 0.002;
/// Maximum number of steps until a node sees a membership change.
constexpr std::uint32_t kMaximumViewDelaySteps = 16;
/// No nodes are added beyond this number; one addition may exceed it by two thirds.
constexpr std::size_t kMaximumNodes = 1000;
/// Number of failing requests out of ten while engines fail.
constexpr std::uint32_t kFailuresPerTenStreams = 6;

enum class Fault : std::uint8_t {
  kRestartAll,
  kLoseSome,
  kAddMany,
  kPartition,
  kPauseSome,
  kCount
};

/// Which nodes see failing requests. With kAtOneNode, one node uses up its whole budget at once;
/// with kWholeBudget, every node does.
enum class Failures : std::uint8_t { kNowhere, kEverywhere, kAtOneNode, kWholeBudget, kCount };

List listOf(std::size_t members) {
  return std::make_shared<const std::vector<membership::Member>>(members);
}

class Fleet {
 public:
  Fleet(std::uint64_t seed, std::size_t nodes, double traffic)
      : random_(seed), rate_(kBaseRate * traffic) {
    limits_.fleet_share = kShare;
    limits_.fleet_burst = 40 + 2 * static_cast<double>(nodes);
    part_.withhold_after_start = true;
    for (std::size_t node = 0; node < nodes; ++node) {
      nodes_.push_back(start());
    }
    scheduleViews(0, nodes_.size());
  }

  /// Simulates one step of 250 ms.
  void step(Failures failures) {
    time_.runFor(kStep);
    ++now_;
    deliverViews();
    requests_.push_back(0);
    retries_.push_back(0);
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      const bool greedy = failures == Failures::kWholeBudget ||
                          (failures == Failures::kAtOneNode && node == failing_node_);
      takeRequests(*nodes_[node], greedy || failures == Failures::kEverywhere, greedy);
    }
  }

  void inject(Fault fault) {
    switch (fault) {
      case Fault::kRestartAll:
        for (auto& node : nodes_) {
          node = start();
        }
        scheduleViews(0, nodes_.size());
        break;
      case Fault::kLoseSome:
        nodes_.resize(std::max<std::size_t>(1, nodes_.size() * 6 / 10));
        scheduleViews(0, nodes_.size());
        break;
      case Fault::kAddMany:
        for (std::size_t added = nodes_.size() > kMaximumNodes ? 0 : nodes_.size() * 2 / 3;
             added > 0; --added) {
          nodes_.push_back(start());
        }
        scheduleViews(0, nodes_.size());
        break;
      case Fault::kPartition:
        cut_ = nodes_.size() * 35 / 100;
        scheduleView(0, cut_, cut_);
        scheduleView(cut_, nodes_.size(), nodes_.size() - cut_);
        break;
      case Fault::kPauseSome:
        pauseSome();
        break;
      case Fault::kCount:
        break;
    }
  }
  /// Ends partitions and pauses.
  void recover() {
    scheduleViews(0, nodes_.size());
    for (auto& node : nodes_) {
      node->timers.wake();
    }
  }

  /// \return the largest excess of retries over the limit in any window
  double worstExcess() const {
    double worst = -limits_.fleet_burst;
    for (int start = 0; start + kStepsPerWindow <= now_; ++start) {
      const double requests =
          std::max({sum(requests_, start), sum(requests_, start - kStepsPerWindow / 2),
                    sum(requests_, start - kStepsPerWindow)});
      worst = std::max(worst, sum(retries_, start) - kShare * requests - limits_.fleet_burst);
    }
    return worst;
  }
  double retries() const { return sum(retries_, 0, now_); }

 private:
  struct PendingView {
    int at = 0;
    BudgetNode* node = nullptr;
    List list;
  };

  std::unique_ptr<BudgetNode> start() {
    return std::make_unique<BudgetNode>(time_, limits_, part_);
  }
  void scheduleViews(std::size_t from, std::size_t to) { scheduleView(from, to, nodes_.size()); }
  /// Makes these nodes see this number of members, each after a random delay.
  void scheduleView(std::size_t from, std::size_t to, std::size_t members) {
    const List list = listOf(members);
    for (std::size_t node = from; node < to; ++node) {
      const auto delay = static_cast<int>(random_.below(kMaximumViewDelaySteps));
      std::erase_if(pending_views_,
                    [&](const PendingView& old) { return old.node == nodes_[node].get(); });
      pending_views_.push_back({now_ + delay, nodes_[node].get(), list});
    }
  }
  void deliverViews() {
    std::deque<PendingView> later;
    for (const PendingView& item : pending_views_) {
      const bool alive = std::any_of(nodes_.begin(), nodes_.end(),
                                     [&](const auto& node) { return node.get() == item.node; });
      if (!alive) {
        continue;
      }
      if (item.at > now_ || item.node->timers.paused) {
        later.push_back(item);
      } else {
        item.node->membership.setMembers(item.list);
      }
    }
    pending_views_ = std::move(later);
  }
  void pauseSome() {
    for (auto& node : nodes_) {
      node->timers.paused = random_.below(3) == 0;
    }
  }
  /// \param greedy whether the node uses up its whole budget
  void takeRequests(BudgetNode& node, bool fails, bool greedy) {
    if (node.timers.paused) {
      return;
    }
    const double expected = rate_ * common::toSeconds(kStep);
    auto count = static_cast<int>(expected);
    count += random_.unit() < expected - count ? 1 : 0;
    requests_.back() += count;
    for (; count > 0; --count) {
      node.budget().recordRequest();
      if (fails && random_.below(10) < kFailuresPerTenStreams && node.budget().withdraw()) {
        ++retries_.back();
      }
    }
    while (greedy && node.budget().withdraw()) {
      ++retries_.back();
    }
  }
  static double sum(const std::vector<double>& values, int start, int steps = kStepsPerWindow) {
    double total = 0;
    for (int step = std::max(0, start); step < start + steps; ++step) {
      total += values[static_cast<std::size_t>(step)];
    }
    return total;
  }

  common::SeededRandom random_;
  const double rate_;
  RetryLimitSettings limits_;
  LocalShareSettings part_;
  simulation::VirtualTime time_;
  std::vector<std::unique_ptr<BudgetNode>> nodes_;
  std::deque<PendingView> pending_views_;
  std::size_t failing_node_ = 0;
  std::size_t cut_ = 0;
  int now_ = 0;
  std::vector<double> requests_;
  std::vector<double> retries_;
};

template <typename Kind>
Kind drawn(common::SeededRandom& random) {
  return static_cast<Kind>(random.below(static_cast<std::uint64_t>(Kind::kCount)));
}

class FleetRetryTotalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRetryTotalTest);
  CPPUNIT_TEST(totalStaysWithinLimitUnderFaults);
  CPPUNIT_TEST(totalStaysWithinLimitWhenAllRestart);
  CPPUNIT_TEST(bothSidesOfPartitionStayWithinLimit);
  CPPUNIT_TEST(resumedNodesStayWithinLimit);
  CPPUNIT_TEST(remainingNodesStayWithinLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void totalStaysWithinLimitUnderFaults() {
    testing::requireProperty("a fleet's retries stay within the limit", 40, [](std::uint32_t seed) {
      common::SeededRandom random(seed);
      constexpr std::size_t kSizes[] = {1, 7, 13, 66, 66, 300};
      constexpr double kTraffic[] = {0.1, 0.125, 1, 3};
      const auto nodes = kSizes[random.below(std::size(kSizes))];
      Fleet fleet(seed, nodes, kTraffic[random.below(std::size(kTraffic))]);
      requireWithinLimit(fleet, random);
    });
  }

  void totalStaysWithinLimitWhenAllRestart() {
    for (const std::size_t nodes : {1U, 13U, 66U, 300U, 1000U}) {
      Fleet fleet(nodes, nodes, 0.125);
      run(fleet, 100, Failures::kEverywhere);
      fleet.inject(Fault::kRestartAll);
      run(fleet, 20, Failures::kEverywhere);
      fleet.inject(Fault::kAddMany);
      run(fleet, 80, Failures::kEverywhere);
      CPPUNIT_ASSERT(fleet.worstExcess() <= 0);
      CPPUNIT_ASSERT(fleet.retries() > 0);
    }
  }

  void bothSidesOfPartitionStayWithinLimit() {
    Fleet fleet(1, 66, kMinimalTraffic);
    run(fleet, 100, Failures::kNowhere);
    fleet.inject(Fault::kPartition);
    run(fleet, 300, Failures::kWholeBudget);
    fleet.recover();
    run(fleet, 100, Failures::kWholeBudget);
    CPPUNIT_ASSERT(fleet.worstExcess() <= 0);
  }

  void resumedNodesStayWithinLimit() {
    Fleet fleet(1, 30, kMinimalTraffic);
    run(fleet, 100, Failures::kNowhere);
    fleet.inject(Fault::kPauseSome);
    fleet.inject(Fault::kAddMany);
    run(fleet, 200, Failures::kWholeBudget);
    fleet.recover();
    run(fleet, 100, Failures::kWholeBudget);
    CPPUNIT_ASSERT(fleet.worstExcess() <= 0);
  }

  void remainingNodesStayWithinLimit() {
    Fleet fleet(1, 66, kMinimalTraffic);
    run(fleet, 100, Failures::kNowhere);
    run(fleet, 4, Failures::kWholeBudget);
    fleet.inject(Fault::kLoseSome);
    run(fleet, 150, Failures::kWholeBudget);
    CPPUNIT_ASSERT(fleet.worstExcess() <= 0);
  }

 private:
  static void run(Fleet& fleet, int steps, Failures failures) {
    for (; steps > 0; --steps) {
      fleet.step(failures);
    }
  }
  static void requireWithinLimit(Fleet& fleet, common::SeededRandom& random) {
    for (int round = 0; round < 8; ++round) {
      const auto failures = drawn<Failures>(random);
      run(fleet, 20 + static_cast<int>(random.below(60)), failures);
      if (random.below(3) == 0) {
        fleet.recover();
      } else {
        fleet.inject(drawn<Fault>(random));
      }
    }
    run(fleet, kStepsPerWindow, Failures::kEverywhere);
    RC_ASSERT(fleet.worstExcess() <= 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRetryTotalTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
