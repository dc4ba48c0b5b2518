/// Load pattern: one tenant sends several times its usual traffic, spread over all nodes, while the
/// others stay within their quotas. A constant or an equal share in each process either admits more
/// than the quota in total or refuses tenants whose requests arrive at few nodes.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/fleet_limits/tenant_accounts.h"
#include "cypresswall/simulation/simulation.h"
#include "tests/support/engine_world.h"

namespace cypresswall::fleet_limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTenant = "large";
constexpr TenantLimit kLimit{190000, 190000};
/// Cost of a long prompt in tokens; a twelfth of a second of the quota.
constexpr double kCost = 16000;
/// In any window the tenant may use a tenth more than its quota, plus this.
constexpr common::Duration kWindow = seconds(8);
constexpr double kAllowedShare = 1.1;
constexpr double kAllowedExtra = 140000;

class TenantZone {
 public:
  explicit TenantZone(std::size_t nodes, std::uint64_t seed = 1) : simulation_(seed) {
    nodes_.resize(nodes);
    for (std::size_t node = 0; node < nodes; ++node) {
      start(node);
    }
    announce(0, nodes_.size());
  }

  void run(common::Duration time) { simulation_.time().runFor(time); }

  /// Sends requests from random nodes of a range.
  /// \param rate mean cost per second
  void load(common::Duration duration, double rate, std::size_t first, std::size_t end,
            const TenantLimit& limit = kLimit) {
    const auto interval = common::fromSeconds(kCost / rate);
    for (common::Duration spent{0}; spent < duration; spent += interval) {
      const auto node = first + simulation_.random().below(end - first);
      if (nodes_[node].accounts->charge(kTenant, limit, kCost)) {
        ++refused_;
      } else {
        admitted_.push_back(simulation_.time().now());
      }
      run(interval);
    }
  }
  void load(common::Duration duration, double rate) { load(duration, rate, 0, nodes_.size()); }

  void restart(std::size_t node) {
    nodes_[node].process->kill();
    start(node);
    announce(0, nodes_.size());
  }
  /// Splits the nodes into two sides that do not reach each other.
  void partitionAfter(std::size_t first) {
    for (std::size_t left = 0; left < first; ++left) {
      for (std::size_t right = first; right < nodes_.size(); ++right) {
        simulation_.network().cutAddresses(address(left), address(right));
        simulation_.network().cutAddresses(address(right), address(left));
      }
    }
    announce(0, first);
    announce(first, nodes_.size());
  }

  void requireWithinQuota(const std::string& what) const {
    const double allowed =
        (kLimit.rate * common::toSeconds(kWindow) + kLimit.burst) * kAllowedShare + kAllowedExtra;
    for (auto first = admitted_.begin(); first != admitted_.end(); ++first) {
      const auto end = std::lower_bound(first, admitted_.end(), *first + kWindow);
      CPPUNIT_ASSERT_MESSAGE(what, static_cast<double>(end - first) * kCost <= allowed);
    }
  }
  double admittedCost() const { return static_cast<double>(admitted_.size()) * kCost; }
  std::size_t refused() const { return refused_; }
  std::uint64_t messages() { return simulation_.network().deliveredMessages(); }

 private:
  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    testing::SettableMembership* membership = nullptr;
    TenantAccounts* accounts = nullptr;
  };

  std::string address(std::size_t node) const { return nodes_[node].process->id().address; }
  void start(std::size_t index) {
    auto& process = simulation_.start(
        "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000",
        "z");
    Node& node = nodes_[index];
    node.process = &process;
    node.membership = &process.emplace<testing::SettableMembership>(process.id(), "z");
    node.accounts =
        &process.emplace<TenantAccounts>(TenantAccountSettings{}, membership::NeighbourSettings{},
                                         process.context(), *node.membership);
  }
  /// Makes the nodes of a range see each other as the members.
  void announce(std::size_t first, std::size_t end) {
    std::vector<common::NodeId> members;
    for (std::size_t node = first; node < end; ++node) {
      members.push_back(nodes_[node].process->id());
    }
    std::sort(members.begin(), members.end());
    for (std::size_t node = first; node < end; ++node) {
      nodes_[node].membership->setMembers(members);
    }
  }

  std::vector<Node> nodes_;
  std::vector<common::MonotonicTime> admitted_;
  std::size_t refused_ = 0;
  simulation::Simulation simulation_;
};

class TenantAccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantAccountsTest);
  CPPUNIT_TEST(hotTenantStaysWithinQuotaAtAnySize);
  CPPUNIT_TEST(tenantWithinQuotaIsNotRefused);
  CPPUNIT_TEST(tenantAtOneNodeMayUseWholeQuota);
  CPPUNIT_TEST(quotaHoldsWhileNodesRestart);
  CPPUNIT_TEST(quotaHoldsInPartition);
  CPPUNIT_TEST(unlimitedTenantCostsNoMessage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void hotTenantStaysWithinQuotaAtAnySize() {
    for (const std::size_t nodes : {1, 13, 66, 300}) {
      for (const double times : {1.3, 3.0, 10.0}) {
        TenantZone zone(nodes);
        zone.run(seconds(10));
        zone.load(seconds(20), times * kLimit.rate);
        const auto what = std::to_string(nodes) + " nodes, " + std::to_string(times);
        zone.requireWithinQuota(what);
        CPPUNIT_ASSERT_MESSAGE(what, zone.admittedCost() >= 0.9 * kLimit.rate * 20);
      }
    }
  }

  void tenantWithinQuotaIsNotRefused() {
    for (const std::size_t nodes : {1, 13, 66, 300}) {
      TenantZone zone(nodes);
      zone.load(seconds(20), 0.8 * kLimit.rate);
      // The account starts empty and is refilled at the tenant's rate.
      CPPUNIT_ASSERT(zone.refused() <= 3);
    }
  }

  void tenantAtOneNodeMayUseWholeQuota() {
    TenantZone zone(66);
    zone.run(seconds(5));
    zone.load(seconds(20), 0.9 * kLimit.rate, 7, 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.refused());
  }

  void quotaHoldsWhileNodesRestart() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      TenantZone zone(13, seed);
      zone.run(seconds(10));
      for (std::size_t node = 0; node < 13; ++node) {
        zone.load(seconds(1), 3 * kLimit.rate);
        zone.restart(node);
      }
      zone.requireWithinQuota("seed " + std::to_string(seed));
    }
  }

  void quotaHoldsInPartition() {
    TenantZone zone(13);
    zone.load(seconds(10), 3 * kLimit.rate);
    zone.partitionAfter(1);
    zone.load(seconds(20), 3 * kLimit.rate);
    zone.requireWithinQuota("partition");
  }

  void unlimitedTenantCostsNoMessage() {
    TenantZone zone(9);
    zone.load(seconds(1), kLimit.rate, 0, 9, TenantLimit{});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.messages());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.refused());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantAccountsTest);

}  // namespace
}  // namespace cypresswall::fleet_limits
