/// Load pattern: a fleet with many more engines than its load needs, of which some change all the
/// time (restarts, drains, releases). If every node follows every engine, a node's state and work
/// grow with the fleet and each change costs work on every node.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/relayed_watch.h"
#include "platform/runner_registry.h"
#include "tests/objects_platform/fake_store.h"
#include "tests/support/engine_world.h"

namespace cypresswall::objects_platform {
namespace {

using cypresswall::testing::SettableMembership;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store_relay::Topic;
using testing::eventsJson;
using testing::objectJson;
using testing::pageJson;

constexpr std::size_t kMaximum = 64;
constexpr std::size_t kPage = 200;
/// More than this many nodes distribute announcements along a tree.
constexpr std::size_t kStarLimit = 4;
constexpr std::size_t kBackends = 20;

/// The platform's store with runners, which counts its calls.
class RunnerStore {
 public:
  void put(const std::string& id, bool engine, const std::string& state = "ready") {
    const std::string spec =
        R"({"service": ")" + std::string(engine ? "llm" : "api") +
        R"(", "address": "10.9.0.1:80", "zone": "z", "slots": 2, "state": ")" + state + "\"" +
        (engine ? R"(, "stage": "prefill", "models": [{"name": "m"}])" : "") + "}";
    ++revision_;
    objects_[id] = objectJson(id, revision_, spec);
    log_.push_back({revision_, {objects_[id], false}});
  }
  void remove(const std::string& id) {
    ++revision_;
    objects_.erase(id);
    log_.push_back({revision_, {objectJson(id, revision_), true}});
  }
  std::string page(const std::string& after) const {
    std::vector<std::string> items;
    auto next = after.empty() ? objects_.begin() : objects_.upper_bound(after);
    for (; next != objects_.end() && items.size() < kPage; ++next) {
      items.push_back(next->second);
    }
    return pageJson(revision_, items, next != objects_.end());
  }
  std::string eventsSince(std::uint64_t revision) const {
    std::vector<std::pair<std::string, bool>> events;
    for (const auto& [at, event] : log_) {
      if (at > revision) {
        events.push_back(event);
      }
    }
    return eventsJson(revision_, events);
  }
  bool changedSince(std::uint64_t revision) const { return revision_ > revision; }

  std::size_t calls = 0;

 private:
  std::uint64_t revision_ = 0;
  std::map<std::string, std::string> objects_;
  std::deque<std::pair<std::uint64_t, std::pair<std::string, bool>>> log_;
};

/// Answers a node's calls after a short time; watches once there is a change.
class RunnerStoreCalls final : public StoreCalls {
 public:
  RunnerStoreCalls(RunnerStore& store, const api::ProcessContext& context)
      : store_(store), context_(context) {}

  void fetch(runtime::CurlRequest request, StoreAnswer answer) override {
    ++store_.calls;
    const std::string target = request.target;
    if (const auto watched = valueOf(target, "watch=")) {
      std::uint64_t revision = 0;
      std::from_chars(watched->data(), watched->data() + watched->size(), revision);
      awaitChange(revision, answer, context_.clock.now() + seconds(1));
      return;
    }
    const std::string after = valueOf(target, "after=").value_or("");
    context_.scheduler.schedule(milliseconds(4), [this, after, answer = std::move(answer)] {
      answer(response(store_.page(after)));
    });
  }

 private:
  static std::optional<std::string> valueOf(const std::string& target, const std::string& name) {
    const auto at = target.find(name);
    if (at == std::string::npos) {
      return std::nullopt;
    }
    const std::string rest = target.substr(at + name.size());
    return rest.substr(0, rest.find('&'));
  }
  static runtime::CurlResponse response(const std::string& body) {
    runtime::CurlResponse response;
    response.outcome = runtime::CurlOutcome::kAnswered;
    response.status = 200;
    response.body = body;
    return response;
  }
  void awaitChange(std::uint64_t revision, const StoreAnswer& answer, common::MonotonicTime until) {
    context_.scheduler.schedule(milliseconds(10), [=, this] {
      if (store_.changedSince(revision) || context_.clock.now() >= until) {
        answer(response(store_.eventsSince(revision)));
      } else {
        awaitChange(revision, answer, until);
      }
    });
  }

  RunnerStore& store_;
  const api::ProcessContext& context_;
};

struct SampledNode {
  SampledNode(simulation::Simulation& simulation, RunnerStore& runner_store, std::size_t index)
      : process(simulation.start("10.0.0." + std::to_string(index + 1) + ":7000", "z")),
        store(runner_store, process.context()),
        membership(process.id(), "z"),
        runners(process.context()),
        incarnation(process.context()),
        relay(relaySettings(), process.context(), membership, incarnation),
        watch(Topic::kListedEngines, "servers", {}, process.context(), store, runners, sampling()) {
    watch.joinRelay(relay);
    runners.onChange([this] { ++changes; });
  }
  static store_relay::StoreRelaySettings relaySettings() {
    store_relay::StoreRelaySettings settings;
    settings.star_limit = kStarLimit;
    return settings;
  }
  SamplingSettings sampling() {
    return {isModelRunner, [this] { return store_relay::SampleBounds{maximum}; }};
  }
  std::size_t engines() const {
    std::size_t count = 0;
    for (const auto& [id, runner] : runners.runners()) {
      count += runner.models.empty() ? 0 : 1;
    }
    return count;
  }
  std::vector<std::string> ids() const {
    std::vector<std::string> ids;
    for (const auto& [id, runner] : runners.runners()) {
      ids.push_back(id);
    }
    return ids;
  }

  simulation::SimulatedProcess& process;
  RunnerStoreCalls store;
  SettableMembership membership;
  RunnerRegistry runners;
  store_relay::StoreIncarnation incarnation;
  store_relay::StoreRelay relay;
  RelayedWatch watch;
  std::size_t maximum = kMaximum;
  std::size_t changes = 0;
};

class SampledZone {
 public:
  SampledZone(std::size_t nodes, std::size_t engines) {
    for (std::size_t engine = 0; engine < engines; ++engine) {
      store.put(engineId(engine), true);
    }
    for (std::size_t backend = 0; backend < kBackends; ++backend) {
      store.put("b-" + std::to_string(backend), false);
    }
    for (std::size_t index = 0; index < nodes; ++index) {
      nodes_.push_back(std::make_unique<SampledNode>(simulation_, store, index));
    }
    std::vector<membership::Member> members;
    for (const auto& node : nodes_) {
      members.push_back({node->process.id(), "", membership::MemberState::kAlive, ""});
    }
    std::sort(members.begin(), members.end(),
              [](const auto& left, const auto& right) { return left.node < right.node; });
    for (const auto& node : nodes_) {
      node->membership.setMembers(members);
      node->relay.start();
    }
    run(seconds(3));
  }

  static std::string engineId(std::size_t engine) { return "i-" + std::to_string(engine); }
  void run(common::Duration time) { simulation_.time().runFor(time); }
  SampledNode& at(std::size_t node) { return *nodes_[node]; }
  std::size_t size() const { return nodes_.size(); }

  void requireSameSample(const std::string& what) {
    const auto expected = at(0).ids();
    for (const auto& node : nodes_) {
      CPPUNIT_ASSERT_MESSAGE(what, node->ids() == expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kBackends, expected.size() - node->engines());
    }
  }
  /// \return an engine that the nodes use, or one that they do not
  std::string engine(bool used, std::size_t engines) {
    for (std::size_t number = 0; number < engines; ++number) {
      if ((at(0).runners.findById(engineId(number)) != nullptr) == used) {
        return engineId(number);
      }
    }
    CPPUNIT_FAIL("no such engine");
    return "";
  }

  RunnerStore store;

 private:
  simulation::Simulation simulation_{1};
  std::vector<std::unique_ptr<SampledNode>> nodes_;
};

class EngineSampleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineSampleTest);
  CPPUNIT_TEST(nodeStateDoesNotGrowWithEngines);
  CPPUNIT_TEST(smallFleetIsUsedWhole);
  CPPUNIT_TEST(changeOfReserveEngineCostsOtherNodesNothing);
  CPPUNIT_TEST(drainOfUsedEngineReachesAllNodes);
  CPPUNIT_TEST(sampleGrowsWhenEnginesVanish);
  CPPUNIT_TEST(sampleGrowsWhenLoadNeedsMore);
  CPPUNIT_TEST(sampleShrinksWhenEnginesAppear);
  CPPUNIT_TEST(startingNodesCopyFromPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nodeStateDoesNotGrowWithEngines() {
    for (const std::size_t engines : {100, 1000, 4000, 16000}) {
      SampledZone zone(9, engines);
      const auto what = std::to_string(engines) + " engines";
      zone.requireSameSample(what);
      CPPUNIT_ASSERT_MESSAGE(what, zone.at(0).engines() <= kMaximum);
      CPPUNIT_ASSERT_MESSAGE(what, zone.at(0).engines() >= kMaximum * 35 / 100);
    }
  }

  void smallFleetIsUsedWhole() {
    SampledZone zone(9, kMaximum);
    zone.requireSameSample("small fleet");
    CPPUNIT_ASSERT_EQUAL(kMaximum, zone.at(0).engines());
  }

  void changeOfReserveEngineCostsOtherNodesNothing() {
    SampledZone zone(30, 2000);
    std::vector<std::size_t> before;
    for (std::size_t node = 0; node < zone.size(); ++node) {
      before.push_back(zone.at(node).changes);
    }
    const std::string reserve = zone.engine(false, 2000);
    zone.store.put(reserve, true, "draining");
    zone.run(seconds(1));
    zone.store.remove(reserve);
    zone.run(seconds(1));
    for (std::size_t node = 0; node < zone.size(); ++node) {
      CPPUNIT_ASSERT_EQUAL(before[node], zone.at(node).changes);
    }
  }

  void drainOfUsedEngineReachesAllNodes() {
    SampledZone zone(30, 2000);
    const std::string used = zone.engine(true, 2000);
    zone.store.put(used, true, "draining");
    zone.run(milliseconds(500));
    for (std::size_t node = 0; node < zone.size(); ++node) {
      CPPUNIT_ASSERT(zone.at(node).runners.findById(used)->state == RunnerState::kDraining);
    }
    zone.store.remove(used);
    zone.run(milliseconds(500));
    zone.requireSameSample("after the engine left");
  }

  void sampleGrowsWhenEnginesVanish() {
    SampledZone zone(30, 2000);
    for (std::size_t engine = 0; engine < 1700; ++engine) {
      zone.store.remove(SampledZone::engineId(engine));
    }
    zone.run(seconds(6));
    zone.requireSameSample("after most engines left");
    CPPUNIT_ASSERT(zone.at(0).engines() >= kMaximum * 35 / 100);
  }

  void sampleGrowsWhenLoadNeedsMore() {
    SampledZone zone(30, 2000);
    const std::size_t before = zone.at(0).engines();
    for (std::size_t node = 0; node < zone.size(); ++node) {
      zone.at(node).maximum = 4 * kMaximum;
    }
    // The readers adjust the sample with the next change that they read.
    for (std::size_t change = 0; change < 4; ++change) {
      zone.store.put(SampledZone::engineId(0), true, change % 2 == 0 ? "draining" : "ready");
      zone.run(seconds(2));
    }
    zone.requireSameSample("larger sample");
    CPPUNIT_ASSERT(zone.at(0).engines() > before);
    CPPUNIT_ASSERT(zone.at(0).engines() <= 4 * kMaximum);
  }

  void sampleShrinksWhenEnginesAppear() {
    SampledZone zone(30, kMaximum);
    for (std::size_t engine = 0; engine < 2000; ++engine) {
      zone.store.put(SampledZone::engineId(engine), true);
      if (engine % 500 == 0) {
        zone.run(seconds(1));
      }
    }
    zone.run(seconds(4));
    zone.requireSameSample("after engines appeared");
    CPPUNIT_ASSERT(zone.at(0).engines() <= kMaximum);
  }

  void startingNodesCopyFromPeers() {
    for (const std::size_t nodes : {30, 100, 300}) {
      SampledZone zone(nodes, 2000);
      zone.requireSameSample(std::to_string(nodes) + " nodes");
      // Three readers list eleven pages each and watch; the other nodes make no call.
      CPPUNIT_ASSERT(zone.store.calls <= 60);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineSampleTest);

}  // namespace
}  // namespace cypresswall::objects_platform
