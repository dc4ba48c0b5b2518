/// The connections that all nodes may keep to one server stay within what it accepts, at any size
/// of the fleet, while nodes restart, are lost, or see different members.
#include "cypresswall/fleet_limits/connection_shares.h"

#include <algorithm>
#include <deque>
#include <memory>

#include "tests/fleet_limits/simulated_budgets.h"
#include "tests/support/property.h"

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using testing::BudgetNode;
using List = testing::SharedMembership::List;

constexpr common::Duration kStep = milliseconds(250);
/// Steps of the window after which a lost node's share passes to others: as long as its idle
/// connections may exist.
constexpr std::size_t kStepsPerWindow = 20;
constexpr common::Duration kIdleLimit = kStep * static_cast<int>(kStepsPerWindow);
constexpr std::size_t kPerServer = 500;
/// Maximum number of steps until a node sees a membership change.
constexpr std::size_t kMaximumViewDelaySteps = 16;

List listOf(std::size_t members) {
  return std::make_shared<const std::vector<membership::Member>>(members);
}

/// One process with the connections that it has open to one server: as many as it may.
struct Process {
  explicit Process(simulation::VirtualTime& time, const LocalShareSettings& part)
      : node(std::make_unique<BudgetNode>(time, RetryLimitSettings{}, part)),
        shares({kPerServer}, counters, [this] { return node->local_share.fraction(); }) {}

  common::CounterRegistry counters;
  std::unique_ptr<BudgetNode> node;
  ConnectionShares shares;
  /// Steps in which the lost process's connections still count at the server.
  std::size_t lingers = kStepsPerWindow;
  std::size_t open = 0;
};

class SharesFleet {
 public:
  explicit SharesFleet(std::size_t nodes) {
    LocalShareSettings general;
    general.withhold_after_start = true;
    part_ = connectionShareSettings(general, kIdleLimit);
    for (std::size_t i = 0; i < nodes; ++i) {
      add();
    }
    announce();
  }

  void add() { alive_.push_back(std::make_unique<Process>(time_, part_)); }
  /// The machine loses power: the server learns nothing of it.
  void lose(std::size_t index) {
    alive_[index]->node.reset();
    lost_.push_back(std::move(alive_[index]));
    alive_.erase(alive_.begin() + static_cast<std::ptrdiff_t>(index));
  }
  /// Nodes hear of the present number of members after different times.
  void announce() {
    for (std::size_t i = 0; i < alive_.size(); ++i) {
      const auto delay = kStep * static_cast<int>(i % (kMaximumViewDelaySteps + 1));
      time_.schedule(delay, [this, process = alive_[i].get(), members = alive_.size()] {
        const bool present = std::any_of(alive_.begin(), alive_.end(), [process](const auto& one) {
          return one.get() == process;
        });
        if (present) {
          process->node->membership.setMembers(listOf(members));
        }
      });
    }
  }

  /// Lets a step pass and \return the connections that the server then counts.
  std::size_t step() {
    time_.runFor(kStep);
    std::size_t total = 0;
    for (auto& process : alive_) {
      process->open = process->shares.perServer();
      total += process->open;
    }
    for (auto& process : lost_) {
      total += process->open;
      --process->lingers;
    }
    std::erase_if(lost_, [](const auto& process) { return process->lingers == 0; });
    return total;
  }

  std::size_t size() const { return alive_.size(); }

 private:
  simulation::VirtualTime time_;
  LocalShareSettings part_;
  std::vector<std::unique_ptr<Process>> alive_;
  std::deque<std::unique_ptr<Process>> lost_;
};

class ConnectionSharesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionSharesTest);
  CPPUNIT_TEST(sumStaysWithinTheServersLimit);
  CPPUNIT_TEST(shareBelowOneKeepsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void sumStaysWithinTheServersLimit() {
    for (const std::size_t nodes : {1U, 13U, 66U, 300U, 1000U}) {
      SharesFleet fleet(nodes);
      std::size_t most = run(fleet, 2 * kStepsPerWindow);
      // All restart within seconds, a third is lost, and as many are added.
      for (std::size_t i = 0; i < nodes; ++i) {
        fleet.lose(0);
        fleet.add();
        if (i % 16 == 0) {
          fleet.announce();
          most = std::max(most, run(fleet, 1));
        }
      }
      fleet.announce();
      most = std::max(most, run(fleet, 3 * kStepsPerWindow));
      for (std::size_t i = 0; i < nodes / 3; ++i) {
        fleet.lose(fleet.size() / 2);
      }
      fleet.announce();
      most = std::max(most, run(fleet, 3 * kStepsPerWindow));
      for (std::size_t i = 0; i < nodes; ++i) {
        fleet.add();
      }
      fleet.announce();
      most = std::max(most, run(fleet, 3 * kStepsPerWindow));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes: " + std::to_string(most),
                             most <= kPerServer);
      CPPUNIT_ASSERT_EQUAL(nodes <= 300, most > 0);
    }
  }

  void shareBelowOneKeepsNothing() {
    double fraction = 1.0 / 501;
    common::CounterRegistry counters;
    const ConnectionShares shares({kPerServer}, counters, [&] { return fraction; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, shares.perServer());
    fraction = 1.0 / 500;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shares.perServer());
    fraction = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, shares.perServer());
  }

 private:
  static std::size_t run(SharesFleet& fleet, std::size_t steps) {
    std::size_t most = 0;
    for (std::size_t i = 0; i < steps; ++i) {
      most = std::max(most, fleet.step());
    }
    return most;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionSharesTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
