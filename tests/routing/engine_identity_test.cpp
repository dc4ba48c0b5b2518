/// Nodes must learn an engine's identity (the rarely changing part of its report) from a single
/// publication, whatever its values are. The tests count identity requests: a node that can't
/// reproduce the tag of an identity requests it again after every answer.
#include "cypresswall/routing/engine_deltas.h"
#include "cypresswall/routing/engine_directory.h"
#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

/// Seconds to copy the KV cache of one token (163,840 bytes) twice over a link of 1,300 Gbit/s.
constexpr double kKvSecondsPerToken = 2.0 * 8 * 163840 / 1300e9;
constexpr auto kTime = std::chrono::seconds(3);
constexpr int kNodes = 4;
constexpr int kEngines = 8;

engines::EngineLoad loadWithKvTime(double seconds_per_token) {
  engines::EngineLoad load = testing::idleLoad("m", engines::EngineRole::kMixed);
  load.kv_seconds_per_token = seconds_per_token;
  return load;
}

/// Nodes of one zone, with engines that all declare the time to copy a token's KV cache.
class ZoneWithKvCopies {
 public:
  ZoneWithKvCopies() : simulation_(1) {
    for (int i = 0; i < kEngines; ++i) {
      const std::string name = "e" + std::to_string(100 + i);
      testing::declareEngine(fleet_, name, "m");
      engines_[name + ":1"].load = loadWithKvTime(kKvSecondsPerToken);
    }
    std::vector<common::NodeId> ids;
    for (int i = 0; i < kNodes; ++i) {
      start("10.0.0." + std::to_string(i + 1) + ":7000");
      ids.push_back(processes_.back()->id());
    }
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      memberships_[i]->setMembers(ids);
      configurations_[i]->set(fleet_);
    }
  }

  void run(common::Duration time) { simulation_.time().runFor(time); }
  int unavailable() const {
    int count = 0;
    for (const EngineDirectory* directory : directories_) {
      for (const EngineRecord& record : directory->records()) {
        count += record.availability == EngineAvailability::kAvailable ? 0 : 1;
      }
    }
    return count;
  }
  double identityRequests() const {
    double requests = 0;
    for (const auto* process : processes_) {
      requests += process->counters().total("cypresswall_engine_identity_requests_total");
    }
    return requests;
  }

 private:
  void start(const std::string& address) {
    auto& process = simulation_.start(address, "z");
    processes_.push_back(&process);
    configurations_.push_back(&process.emplace<testing::SettableConfiguration>());
    memberships_.push_back(&process.emplace<testing::SettableMembership>(process.id(), "z"));
    auto& client = process.emplace<testing::ScriptedEngineClient>(process, engines_);
    directories_.push_back(&process.emplace<EngineDirectory>(DirectorySettings{}, process.context(),
                                                             client, *configurations_.back(),
                                                             *memberships_.back()));
    directories_.back()->start();
  }

  simulation::Simulation simulation_;
  configuration::FleetConfiguration fleet_;
  testing::ScriptedEngines engines_;
  std::vector<simulation::SimulatedProcess*> processes_;
  std::vector<testing::SettableConfiguration*> configurations_;
  std::vector<testing::SettableMembership*> memberships_;
  std::vector<EngineDirectory*> directories_;
};

/// A node, and a peer whose identities never match the tags of its deltas, like a peer of another
/// build with other fields in the report.
class PeerWithOtherBuild {
 public:
  PeerWithOtherBuild() : simulation_(2) {
    testing::declareEngine(fleet_, "e", "m");
    auto& node = simulation_.start("10.0.0.1:7000", "z");
    auto& peer = simulation_.start("10.0.0.2:7000", "z");
    node_ = &node;
    peer_ = &peer;
    auto& configuration = node.emplace<testing::SettableConfiguration>();
    auto& membership = node.emplace<testing::SettableMembership>(node.id(), "z");
    auto& client = node.emplace<testing::ScriptedEngineClient>(node, engines_);
    directory_ = &node.emplace<EngineDirectory>(DirectorySettings{}, node.context(), client,
                                                configuration, membership);
    directory_->start();
    // Only the peer watches the engine.
    membership.setMembers({peer.id()});
    configuration.set(fleet_);
    peer.context().dispatcher.handle<IdentityRequest>(
        [this](const common::NodeId& sender, const IdentityRequest&) {
          ++requests_;
          peer_->context().sendTo(sender, deltas(0));
        });
  }

  /// Publishes once and lets the nodes exchange the messages that follow.
  void publish() {
    peer_->context().sendTo(node_->id(), deltas(++sequence_));
    simulation_.time().runFor(std::chrono::milliseconds(500));
  }
  int requests() const { return requests_; }

 private:
  EngineDeltas deltas(std::uint64_t sequence) const {
    const engines::EngineLoad load = testing::idleLoad("m", engines::EngineRole::kMixed);
    EngineDeltas message;
    message.roster_digest = directory_->table().digest();
    message.sequence = sequence;
    message.identities.push_back(makeIdentity(0, load));
    message.changed.push_back(makeDelta(0, load, true, common::Duration{0}));
    ++message.changed.back().identity_tag;
    return message;
  }

  simulation::Simulation simulation_;
  configuration::FleetConfiguration fleet_;
  testing::ScriptedEngines engines_;
  simulation::SimulatedProcess* node_ = nullptr;
  simulation::SimulatedProcess* peer_ = nullptr;
  EngineDirectory* directory_ = nullptr;
  std::uint64_t sequence_ = 0;
  int requests_ = 0;
};

class EngineIdentityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineIdentityTest);
  CPPUNIT_TEST(publishedIdentityKeepsTagOfReport);
  CPPUNIT_TEST(everyNodeLearnsEnginesWithKvCopySpeed);
  CPPUNIT_TEST(identityIsRequestedOnce);
  CPPUNIT_TEST(mismatchedAnswerIsNotRequestedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void publishedIdentityKeepsTagOfReport() {
    constexpr std::uint32_t kMostPicoseconds = 4'000'000'000;
    constexpr std::uint32_t kStep = 7919;
    for (std::uint32_t picoseconds = 1; picoseconds < kMostPicoseconds - kStep;
         picoseconds += kStep) {
      engines::EngineLoad load = loadWithKvTime(picoseconds * 1e-12);
      load.prefill_seconds_per_pair = picoseconds * 1e-12;
      engines::EngineLoad decoded = load;
      applyIdentity(makeIdentity(0, load), decoded);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(picoseconds), identityTag(load),
                                   identityTag(decoded));
    }
    const engines::EngineLoad load = loadWithKvTime(kKvSecondsPerToken);
    engines::EngineLoad decoded = load;
    applyIdentity(makeIdentity(0, load), decoded);
    CPPUNIT_ASSERT_EQUAL(identityTag(load), identityTag(decoded));
  }

  void everyNodeLearnsEnginesWithKvCopySpeed() {
    ZoneWithKvCopies zone;
    zone.run(kTime);
    CPPUNIT_ASSERT_EQUAL(0, zone.unavailable());
  }

  void identityIsRequestedOnce() {
    ZoneWithKvCopies zone;
    zone.run(kTime);
    // Each node requests the identity of each engine watched by another node at most once.
    CPPUNIT_ASSERT_LESSEQUAL(static_cast<double>((kNodes - 1) * kEngines), zone.identityRequests());
  }

  void mismatchedAnswerIsNotRequestedAgain() {
    constexpr int kPublications = 4;
    PeerWithOtherBuild zone;
    for (int i = 0; i < kPublications; ++i) {
      zone.publish();
    }
    // An identity is requested at most once per second, so not every publication causes a request.
    CPPUNIT_ASSERT(zone.requests() >= 1);
    CPPUNIT_ASSERT(zone.requests() < kPublications);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineIdentityTest);

}  // namespace
}  // namespace cypresswall::routing
