#include "cypresswall/autoscaling/controller.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/membership/membership.h"
#include "tests/support/property.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::autoscaling {
namespace {

using common::Duration;
using duties::CapacityOrder;
using duties::DutyAuthority;
using duties::DutyCallback;
using duties::DutyFailure;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::VirtualWorld;

constexpr const char* kPool = "llm";
constexpr const char* kModel = "llm/m";
constexpr Duration kBootTime = seconds(4);
constexpr Duration kDrainTime = seconds(3);

/// Fleet declared by the platform, identical for all nodes.
class DeclaredFleet final : public configuration::ConfigurationView {
 public:
  std::shared_ptr<const configuration::FleetConfiguration> current() const override {
    return std::make_shared<const configuration::FleetConfiguration>(fleet);
  }
  void onChange(std::function<void(const configuration::FleetConfiguration&)>) override {}

  configuration::FleetConfiguration fleet;
};

/// Fake platform that starts and stops engines as ordered, with fault injection.
class FakePlatform {
 public:
  FakePlatform(VirtualWorld& world, DeclaredFleet& declared) : world_(world), declared_(declared) {}

  std::set<std::string> without_preemptible;
  bool down = false;
  double late_calls = 0;
  std::uint64_t taken = 0;
  std::uint32_t highest_token = 0;
  std::string violation;
  std::vector<CapacityOrder> orders;

  std::optional<DutyFailure> take(const DutyAuthority& authority, const CapacityOrder& order) {
    const auto [holder, first] = holders_.emplace(authority.token, authority.holder);
    if (!first && holder->second != authority.holder) {
      violation = "two holders with one token";
    }
    if (authority.token < highest_token) {
      return DutyFailure::kSuperseded;
    }
    highest_token = authority.token;
    if (order.preemptible && order.engines > 0 && without_preemptible.contains(order.zone)) {
      return DutyFailure::kNoneAvailable;
    }
    ++taken;
    orders.push_back(order);
    wanted_[{order.zone, order.preemptible}] = order.engines;
    adjust(order.zone, order.preemptible);
    return std::nullopt;
  }
  void add(const std::string& location, bool preemptible) {
    const std::string name = "e-" + std::to_string(++next_engine_);
    configuration::EngineDeclaration engine;
    engine.name = name;
    engine.pool = kPool;
    engine.model = kModel;
    engine.location = location;
    engine.preemptible = preemptible;
    declared_.fleet.engines[name] = engine;
  }
  /// Reclaims all preemptible engines of a location and makes new ones unavailable there.
  void reclaim(const std::string& location) {
    without_preemptible.insert(location);
    wanted_[{location, true}] = 0;
    for (const auto& name : serving(location, true)) {
      drain(name);
    }
  }
  std::size_t count(const std::string& location, bool preemptible) const {
    return serving(location, preemptible).size();
  }
  std::size_t all() const {
    std::size_t sum = 0;
    for (const auto& [location, price] : declared_.fleet.autoscaling.at(kPool).location_prices) {
      sum += count(location, false) + count(location, true);
    }
    return sum;
  }

 private:
  using Kind = std::pair<std::string, bool>;

  std::vector<std::string> serving(const std::string& location, bool preemptible) const {
    std::vector<std::string> names;
    for (const auto& [name, engine] : declared_.fleet.engines) {
      if (engine.location == location && engine.preemptible == preemptible &&
          !declared_.fleet.engine_overrides.contains(name)) {
        names.push_back(name);
      }
    }
    return names;
  }
  void adjust(const std::string& location, bool preemptible) {
    const auto names = serving(location, preemptible);
    const std::size_t wanted = wanted_[{location, preemptible}];
    std::size_t& booting = booting_[{location, preemptible}];
    for (std::size_t index = wanted; index < names.size(); ++index) {
      drain(names[index]);
    }
    const std::size_t others = count(location, !preemptible) + booting_[{location, !preemptible}];
    const std::size_t most = declared_.fleet.autoscaling.at(kPool).maximum_engines;
    while (names.size() + booting < wanted && names.size() + booting + others < most) {
      ++booting;
      world_.at(world_.now() + kBootTime, [this, location, preemptible] {
        --booting_[{location, preemptible}];
        add(location, preemptible);
      });
    }
  }
  void drain(const std::string& name) {
    auto& drained = declared_.fleet.engine_overrides[name];
    drained.engine = name;
    drained.drained = true;
    world_.at(world_.now() + kDrainTime, [this, name] {
      declared_.fleet.engines.erase(name);
      declared_.fleet.engine_overrides.erase(name);
    });
  }

  VirtualWorld& world_;
  DeclaredFleet& declared_;
  std::map<std::uint32_t, common::MachineName> holders_;
  std::map<Kind, std::size_t> wanted_;
  std::map<Kind, std::size_t> booting_;
  int next_engine_ = 0;
};

/// One node's client of the fake platform.
class FakePlatformClient final : public duties::DutyPlatform {
 public:
  FakePlatformClient(VirtualWorld& world, testing::VirtualProcess& process, FakePlatform& platform)
      : world_(world), process_(process), platform_(platform) {}

  void reportUsage(const DutyAuthority&, const duties::UsageReport&, DutyCallback) override {}
  void orderCapacity(const DutyAuthority& authority, const CapacityOrder& order,
                     DutyCallback callback) override {
    if (platform_.down) {
      process_.schedule(milliseconds(4), [callback] { callback(DutyFailure::kUnavailable); });
    } else if (world_.random.unit() < platform_.late_calls) {
      world_.at(world_.now() + seconds(3),
                [&platform = platform_, authority, order] { platform.take(authority, order); });
      process_.schedule(milliseconds(1500), [callback] { callback(DutyFailure::kUnknownOutcome); });
    } else {
      const auto failure = platform_.take(authority, order);
      process_.schedule(milliseconds(4), [callback, failure] { callback(failure); });
    }
  }

 private:
  VirtualWorld& world_;
  testing::VirtualProcess& process_;
  FakePlatform& platform_;
};

/// Three nodes serving a pool in two locations, with 10 lasting engines in each.
class ScalingZone {
 public:
  struct Node {
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<FakePlatformClient> calls;
    std::unique_ptr<duties::FleetDuties> duties;
    std::unique_ptr<Controller> controller;
  };
  static constexpr int kNodes = 3;

  explicit ScalingZone(std::uint64_t seed) : world(seed), platform(world, declared) {
    configuration::AutoscalingDeclaration pool;
    pool.pool = kPool;
    pool.minimum_engines = 1;
    pool.maximum_engines = 15;
    pool.boot_time = kBootTime;
    pool.preemptible_price = 0.2;
    pool.location_prices = {{"east", 1.0}, {"west", 1.0}};
    declared.fleet.version = 1;
    declared.fleet.autoscaling[kPool] = pool;
    configuration::ModelServiceDeclaration service;
    service.name = "digest";
    service.model = kModel;
    service.backend_pool = kPool;
    service.first_token_target = milliseconds(600);
    declared.fleet.model_services["digest"] = service;
    for (int engine = 0; engine < 10; ++engine) {
      platform.add("east", false);
      platform.add("west", false);
    }
    settings.available = true;
    settings.policy = Policy::kThreshold;
    settings.memory = seconds(20);
    settings.lasting_share = 0;
    settings.first_bill_share = 0;
  }

  static common::Address address(int index) { return "10.0.0." + std::to_string(index) + ":7000"; }

  void start(int index) {
    stop(index);
    auto& process = world.spawn({address(index), ++next_incarnation_}, "hall-a", 1.0);
    membership::MembershipSettings membership;
    membership.machine = "machine-" + std::to_string(index);
    membership.seeds = {address(1), address(2), address(3)};
    contexts_[index] = std::make_unique<api::ProcessContext>(process.context());
    Node& node = nodes[index];
    node.membership =
        std::make_unique<membership::Membership>(membership, process.context(), process);
    node.calls = std::make_unique<FakePlatformClient>(world, process, platform);
    node.duties = std::make_unique<duties::FleetDuties>(
        duties::DutySettings{}, *contexts_[index], *node.membership, membership.machine, process,
        node.calls.get(), [] { return Duration{0}; });
    node.controller = std::make_unique<Controller>(
        settings, *contexts_[index], *node.membership, declared, *node.duties,
        [this, index] { return index == planning_node ? demand : std::nullopt; });
    node.membership->start();
    node.duties->start();
    node.controller->start();
  }
  void stop(int index) {
    nodes.erase(index);
    world.kill(address(index));
    contexts_.erase(index);
  }
  void startAll() {
    for (int index = 1; index <= kNodes; ++index) {
      start(index);
    }
  }
  /// Sets a demand that keeps `busy_engines` engines busy.
  void setDemand(double busy_engines) {
    planning::ModelDemand of_model;
    of_model.short_window.prefill_engine_seconds = busy_engines;
    of_model.short_window.prefill_engine_requests_per_second = busy_engines * 10;
    demand.emplace()[kModel] = of_model;
  }
  std::optional<int> holder() const {
    for (const auto& [index, node] : nodes) {
      if (!node.controller->pools().empty()) {
        return index;
      }
    }
    return std::nullopt;
  }

  VirtualWorld world;
  DeclaredFleet declared;
  FakePlatform platform;
  AutoscalingSettings settings;
  std::map<int, Node> nodes;
  int planning_node = 1;
  std::optional<std::map<common::ModelName, planning::ModelDemand>> demand;

 private:
  std::uint64_t next_incarnation_ = 0;
  std::map<int, std::unique_ptr<api::ProcessContext>> contexts_;
};

class AutoscalingControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AutoscalingControllerTest);
  CPPUNIT_TEST(preemptibleEnginesReplaceLastingOnes);
  CPPUNIT_TEST(enginesDiscoveredGraduallyAreAllReplaced);
  CPPUNIT_TEST(sharedMaximumDoesNotBlockReplacement);
  CPPUNIT_TEST(initialBudgetBuysMorePreemptibleEngines);
  CPPUNIT_TEST(doesNotShrinkBeforeDemandIsKnown);
  CPPUNIT_TEST(scalesUpAtOnceAndDownAfterMemory);
  CPPUNIT_TEST(lostLocationIsCompensatedAndRefilled);
  CPPUNIT_TEST(failedAndLateOrdersAreRetried);
  CPPUNIT_TEST(newHolderDoesNotScaleDown);
  CPPUNIT_TEST(noOrdersIfUnavailableOrPolicyNone);
  CPPUNIT_TEST(contradictoryBoundsCauseNoOrders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void preemptibleEnginesReplaceLastingOnes() {
    ScalingZone zone(1);
    zone.startAll();
    std::size_t least = zone.platform.all();
    for (int step = 0; step < 200; ++step) {
      zone.world.runFor(milliseconds(100));
      least = std::min(least, zone.platform.all());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, least);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, zone.platform.count("east", true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.platform.count("west", false));
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.platform.violation);
  }

  /// While the platform starts, its engines appear in the list one after the other; orders must be
  /// based on the complete list.
  void enginesDiscoveredGraduallyAreAllReplaced() {
    ScalingZone zone(11);
    auto late = zone.declared.fleet.engines;
    zone.declared.fleet.engines.clear();
    zone.startAll();
    while (!late.empty()) {
      zone.world.runFor(milliseconds(150));
      zone.declared.fleet.engines.insert(late.extract(late.begin()));
    }
    std::size_t least = zone.platform.all();
    for (int step = 0; step < 200; ++step) {
      zone.world.runFor(milliseconds(100));
      least = std::min(least, zone.platform.all());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, least);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, zone.platform.all());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, zone.platform.count("east", true));
  }

  void sharedMaximumDoesNotBlockReplacement() {
    ScalingZone zone(2);
    zone.setDemand(9);
    zone.startAll();
    zone.world.runFor(seconds(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.platform.count("east", false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, zone.platform.all());
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, zone.platform.count("west", true));
  }

  void initialBudgetBuysMorePreemptibleEngines() {
    ScalingZone zone(12);
    zone.settings.lasting_share = 0.02;
    zone.settings.first_bill_share = 0.25;
    zone.startAll();
    zone.world.runFor(seconds(30));
    // A quarter of the cost of 20 lasting engines pays for 25 at a fifth of the price; one engine
    // in each location is lasting.
    CPPUNIT_ASSERT_EQUAL(std::size_t{25}, zone.platform.all());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.platform.count("east", false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.platform.count("west", false));
  }

  void doesNotShrinkBeforeDemandIsKnown() {
    ScalingZone zone(3);
    zone.startAll();
    zone.world.runFor(seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, zone.platform.all());
  }

  void scalesUpAtOnceAndDownAfterMemory() {
    ScalingZone zone(4);
    zone.setDemand(3);
    zone.startAll();
    zone.world.runFor(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, zone.platform.all());
    zone.setDemand(6);
    zone.world.runFor(kBootTime + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, zone.platform.all());
    zone.setDemand(1);
    zone.world.runFor(seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, zone.platform.all());
    zone.world.runFor(seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zone.platform.all());
  }

  void lostLocationIsCompensatedAndRefilled() {
    ScalingZone zone(5);
    zone.setDemand(4.5);
    zone.startAll();
    zone.world.runFor(seconds(30));
    const auto before = zone.platform.count("west", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, zone.platform.all());
    zone.platform.reclaim("east");
    zone.world.runFor(seconds(9) + kBootTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, zone.platform.count("west", true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zone.platform.count("east", false));
    zone.platform.without_preemptible.clear();
    zone.world.runFor(seconds(15));
    CPPUNIT_ASSERT_EQUAL(before, zone.platform.count("west", true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, zone.platform.all());
  }

  void failedAndLateOrdersAreRetried() {
    ScalingZone zone(6);
    zone.platform.down = true;
    zone.startAll();
    zone.world.runFor(seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.platform.taken);
    zone.platform.down = false;
    zone.platform.late_calls = 0.5;
    zone.world.runFor(seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, zone.platform.all());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, zone.platform.count("east", true));
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.platform.violation);
  }

  void newHolderDoesNotScaleDown() {
    ScalingZone zone(7);
    zone.setDemand(6);
    zone.startAll();
    zone.world.runFor(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, zone.platform.all());
    // The holder fails, and its successor does not know the demand yet.
    const int first = *zone.holder();
    zone.demand.reset();
    zone.stop(first);
    zone.world.runFor(seconds(20));
    CPPUNIT_ASSERT(zone.holder() && *zone.holder() != first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, zone.platform.all());
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.platform.violation);
  }

  void noOrdersIfUnavailableOrPolicyNone() {
    for (const bool available : {false, true}) {
      ScalingZone zone(8);
      zone.settings.available = available;
      zone.settings.policy = available ? Policy::kNone : Policy::kWorth;
      zone.setDemand(9);
      zone.startAll();
      zone.world.runFor(seconds(30));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.platform.taken);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.world.store.writes);
    }
  }

  void contradictoryBoundsCauseNoOrders() {
    for (int wrong = 0; wrong < 4; ++wrong) {
      ScalingZone zone(9);
      auto& pool = zone.declared.fleet.autoscaling.at(kPool);
      if (wrong == 0) {
        pool.minimum_engines = 20;
      } else if (wrong == 1) {
        pool.location_prices["east"] = 0;
      } else if (wrong == 2) {
        pool.location_prices.clear();
      } else {
        // Ten engines are present in each location: an order within the bound would release half.
        pool.maximum_engines = 5;
      }
      zone.setDemand(9);
      zone.startAll();
      zone.world.runFor(seconds(20));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, zone.platform.taken);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AutoscalingControllerTest);

}  // namespace
}  // namespace cypresswall::autoscaling
