/// Repeats that the accounts of a whole fleet pay for stay within the limit in each window,
/// whatever its nodes go through: restarts, losses, additions, cuts, pauses, and lists of members
/// that differ for seconds.
#include <algorithm>
#include <deque>
#include <optional>

#include "tests/fleet_limits/simulated_budgets.h"
#include "tests/support/property.h"

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AccountNode;
using List = testing::SharedMembership::List;

constexpr common::Duration kStep = milliseconds(250);
constexpr int kStepsPerWindow = 40;
constexpr double kShare = 0.2;
/// Requests a second at each node with the usual traffic.
constexpr double kUsualRate = 8;
/// Traffic at which hardly any repeat rests on requests, so that parts alone are seen.
constexpr double kLittleTraffic = 0.002;
/// News of members takes up to so many steps to reach the last node.
constexpr std::uint32_t kSlowestNews = 16;
/// Nodes are added up to about twice as many.
constexpr std::size_t kMostNodes = 1000;
/// Of ten requests, so many fail while engines fail.
constexpr std::uint32_t kFailingOfTen = 6;

enum class Trouble : std::uint8_t {
  kRestartAll,
  kLoseSome,
  kAddMany,
  kCutSome,
  kPauseSome,
  kCount
};

/// Who has failures.
enum class Failures : std::uint8_t { kNowhere, kEverywhere, kAtOneNode, kAllThatIsHeld, kCount };

List listOf(std::size_t members) {
  return std::make_shared<const std::vector<membership::Member>>(members);
}

class Fleet {
 public:
  Fleet(std::uint64_t seed, std::size_t nodes, double traffic)
      : random_(seed), rate_(kUsualRate * traffic) {
    limits_.fleet_share = kShare;
    limits_.fleet_burst = 40 + 2 * static_cast<double>(nodes);
    part_.withhold_after_start = true;
    for (std::size_t node = 0; node < nodes; ++node) {
      nodes_.push_back(start());
    }
    tellAll(0, nodes_.size());
  }

  /// Plays a quarter of a second.
  void step(Failures failures) {
    time_.runFor(kStep);
    ++now_;
    news();
    requests_.push_back(0);
    repeats_.push_back(0);
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      const bool greedy = failures == Failures::kAllThatIsHeld ||
                          (failures == Failures::kAtOneNode && node == favourite_);
      takeRequests(*nodes_[node], greedy || failures == Failures::kEverywhere, greedy);
    }
  }

  void strike(Trouble trouble) {
    switch (trouble) {
      case Trouble::kRestartAll:
        for (auto& node : nodes_) {
          node = start();
        }
        tellAll(0, nodes_.size());
        break;
      case Trouble::kLoseSome:
        nodes_.resize(std::max<std::size_t>(1, nodes_.size() * 6 / 10));
        tellAll(0, nodes_.size());
        break;
      case Trouble::kAddMany:
        for (std::size_t added = nodes_.size() > kMostNodes ? 0 : nodes_.size() * 2 / 3; added > 0;
             --added) {
          nodes_.push_back(start());
        }
        tellAll(0, nodes_.size());
        break;
      case Trouble::kCutSome:
        cut_ = nodes_.size() * 35 / 100;
        tell(0, cut_, cut_);
        tell(cut_, nodes_.size(), nodes_.size() - cut_);
        break;
      case Trouble::kPauseSome:
        pauseSome();
        break;
      case Trouble::kCount:
        break;
    }
  }
  /// Ends cuts and pauses.
  void heal() {
    tellAll(0, nodes_.size());
    for (auto& node : nodes_) {
      node->timers.wake();
    }
  }

  /// \return by how much the repeats of the worst window went beyond the limit
  double worstExcess() const {
    double worst = -limits_.fleet_burst;
    for (int start = 0; start + kStepsPerWindow <= now_; ++start) {
      const double requests =
          std::max({sum(requests_, start), sum(requests_, start - kStepsPerWindow / 2),
                    sum(requests_, start - kStepsPerWindow)});
      worst = std::max(worst, sum(repeats_, start) - kShare * requests - limits_.fleet_burst);
    }
    return worst;
  }
  double repeats() const { return sum(repeats_, 0, now_); }

 private:
  struct News {
    int at = 0;
    AccountNode* node = nullptr;
    List list;
  };

  std::unique_ptr<AccountNode> start() {
    return std::make_unique<AccountNode>(time_, limits_, part_);
  }
  void tellAll(std::size_t from, std::size_t to) { tell(from, to, nodes_.size()); }
  /// Lets these nodes see so many members, each at its own time.
  void tell(std::size_t from, std::size_t to, std::size_t members) {
    const List list = listOf(members);
    for (std::size_t node = from; node < to; ++node) {
      const auto delay = static_cast<int>(random_.below(kSlowestNews));
      std::erase_if(news_, [&](const News& old) { return old.node == nodes_[node].get(); });
      news_.push_back({now_ + delay, nodes_[node].get(), list});
    }
  }
  void news() {
    std::deque<News> later;
    for (const News& item : news_) {
      const bool alive = std::any_of(nodes_.begin(), nodes_.end(),
                                     [&](const auto& node) { return node.get() == item.node; });
      if (!alive) {
        continue;
      }
      if (item.at > now_ || item.node->timers.paused) {
        later.push_back(item);
      } else {
        item.node->membership.see(item.list);
      }
    }
    news_ = std::move(later);
  }
  void pauseSome() {
    for (auto& node : nodes_) {
      node->timers.paused = random_.below(3) == 0;
    }
  }
  /// \param greedy takes whatever the account holds
  void takeRequests(AccountNode& node, bool fails, bool greedy) {
    if (node.timers.paused) {
      return;
    }
    const double expected = rate_ * common::toSeconds(kStep);
    auto count = static_cast<int>(expected);
    count += random_.unit() < expected - count ? 1 : 0;
    requests_.back() += count;
    for (; count > 0; --count) {
      node.account().recordRequest();
      if (fails && random_.below(10) < kFailingOfTen && node.account().withdraw()) {
        ++repeats_.back();
      }
    }
    while (greedy && node.account().withdraw()) {
      ++repeats_.back();
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
  std::vector<std::unique_ptr<AccountNode>> nodes_;
  std::deque<News> news_;
  std::size_t favourite_ = 0;
  std::size_t cut_ = 0;
  int now_ = 0;
  std::vector<double> requests_;
  std::vector<double> repeats_;
};

template <typename Kind>
Kind drawn(common::SeededRandom& random) {
  return static_cast<Kind>(random.below(static_cast<std::uint64_t>(Kind::kCount)));
}

class FleetSumTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetSumTest);
  CPPUNIT_TEST(staysWithinTheLimitUnderTrouble);
  CPPUNIT_TEST(staysWithinTheLimitWhenAllRestart);
  CPPUNIT_TEST(twoSidesOfACutStayWithinTheLimit);
  CPPUNIT_TEST(wokenNodesStayWithinTheLimit);
  CPPUNIT_TEST(thoseThatAreLeftStayWithinTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void staysWithinTheLimitUnderTrouble() {
    testing::requireProperty("a fleet's repeats stay within the limit", 40, [](std::uint32_t seed) {
      common::SeededRandom random(seed);
      constexpr std::size_t kSizes[] = {1, 7, 13, 66, 66, 300};
      constexpr double kTraffic[] = {0.1, 0.125, 1, 3};
      const auto nodes = kSizes[random.below(std::size(kSizes))];
      Fleet fleet(seed, nodes, kTraffic[random.below(std::size(kTraffic))]);
      requireWithinLimit(fleet, random);
    });
  }

  void staysWithinTheLimitWhenAllRestart() {
    for (const std::size_t nodes : {1U, 13U, 66U, 300U, 1000U}) {
      Fleet fleet(nodes, nodes, 0.125);
      run(fleet, 100, Failures::kEverywhere);
      fleet.strike(Trouble::kRestartAll);
      run(fleet, 20, Failures::kEverywhere);
      fleet.strike(Trouble::kAddMany);
      run(fleet, 80, Failures::kEverywhere);
      CPPUNIT_ASSERT(fleet.worstExcess() <= 0);
      CPPUNIT_ASSERT(fleet.repeats() > 0);
    }
  }

  void twoSidesOfACutStayWithinTheLimit() {
    Fleet fleet(1, 66, kLittleTraffic);
    run(fleet, 100, Failures::kNowhere);
    fleet.strike(Trouble::kCutSome);
    run(fleet, 300, Failures::kAllThatIsHeld);
    fleet.heal();
    run(fleet, 100, Failures::kAllThatIsHeld);
    CPPUNIT_ASSERT(fleet.worstExcess() <= 0);
  }

  void wokenNodesStayWithinTheLimit() {
    Fleet fleet(1, 30, kLittleTraffic);
    run(fleet, 100, Failures::kNowhere);
    fleet.strike(Trouble::kPauseSome);
    fleet.strike(Trouble::kAddMany);
    run(fleet, 200, Failures::kAllThatIsHeld);
    fleet.heal();
    run(fleet, 100, Failures::kAllThatIsHeld);
    CPPUNIT_ASSERT(fleet.worstExcess() <= 0);
  }

  void thoseThatAreLeftStayWithinTheLimit() {
    Fleet fleet(1, 66, kLittleTraffic);
    run(fleet, 100, Failures::kNowhere);
    run(fleet, 4, Failures::kAllThatIsHeld);
    fleet.strike(Trouble::kLoseSome);
    run(fleet, 150, Failures::kAllThatIsHeld);
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
        fleet.heal();
      } else {
        fleet.strike(drawn<Trouble>(random));
      }
    }
    run(fleet, kStepsPerWindow, Failures::kEverywhere);
    RC_ASSERT(fleet.worstExcess() <= 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSumTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
