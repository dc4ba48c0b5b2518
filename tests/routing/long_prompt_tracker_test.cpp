#include "cypresswall/routing/long_prompt_tracker.h"

#include "cypresswall/routing/cost_router.h"
#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

using engines::EngineRole;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSharedTokens = 13000;
constexpr std::uint32_t kOwnTokens = 3000;

/// Two nodes of one zone that share engines: "p0" to "p2" compute prompts, "q0" generates output.
/// The engines can copy cached prefixes from one another.
class TwoNodeZone {
 public:
  explicit TwoNodeZone(bool copies = true, bool predicts_unreported = true) : simulation_(1) {
    settings_.copies_prefixes = copies;
    settings_.kv_transfer_per_thousand_tokens = milliseconds(1);
    directory_settings_.prefix_index.predicts_unreported = predicts_unreported;
    for (const char* name : {"p0", "p1", "p2", "q0"}) {
      testing::declareEngine(fleet_, name, "m");
      const auto role = name[0] == 'p' ? EngineRole::kPrefill : EngineRole::kDecode;
      engines::EngineLoad& load = engines_[fleet_.engines.at(name).address].load;
      load = testing::idleLoad("m", role);
      load.prefill_tokens_per_second = role == EngineRole::kPrefill ? 50000 : 25000;
    }
    for (const char* address : {"10.0.0.1:7000", "10.0.0.2:7000"}) {
      start(address);
    }
    for (Node& node : nodes_) {
      node.membership->setMembers({nodes_[0].process->id(), nodes_[1].process->id()});
      node.configuration->set(fleet_);
    }
    run(seconds(2));
  }

  CostRouter& router(std::size_t node) { return *nodes_[node].router; }
  void run(common::Duration time) { simulation_.time().runFor(time); }

  /// Routes and starts a prompt at a node. Prompts with the same `subject` share a prefix.
  Route begin(std::size_t node, const std::string& id, const std::string& subject) {
    const RouteRequest request = requestOf(id, subject);
    const RouteChoice choice = router(node).choose(request);
    CPPUNIT_ASSERT_MESSAGE("refused", std::holds_alternative<Route>(choice));
    Route route = std::get<Route>(choice);
    router(node).attemptStarted(request, route);
    return route;
  }
  /// \return the number of engines that a node believes to hold the prefix of `subject`
  std::uint32_t knownHolders(std::size_t node, const std::string& subject) {
    const RouteChoice choice = router(node).choose(requestOf("other", subject));
    return std::get<Route>(choice).known_holders;
  }
  void compute(std::size_t node, const std::string& id, common::Duration time) {
    run(time);
    router(node).promptComputed(id);
    router(node).attemptFinished(id);
    run(milliseconds(20));
  }

 private:
  struct Node {
    simulation::SimulatedProcess* process = nullptr;
    testing::SettableConfiguration* configuration = nullptr;
    testing::SettableMembership* membership = nullptr;
    CostRouter* router = nullptr;
  };

  void start(const std::string& address) {
    Node node;
    node.process = &simulation_.start(address, "z");
    node.configuration = &node.process->emplace<testing::SettableConfiguration>();
    node.membership = &node.process->emplace<testing::SettableMembership>(node.process->id(), "z");
    auto& client = node.process->emplace<testing::ScriptedEngineClient>(*node.process, engines_);
    auto& directory =
        node.process->emplace<EngineDirectory>(directory_settings_, node.process->context(), client,
                                               *node.configuration, *node.membership);
    node.router = &node.process->emplace<CostRouter>(settings_, node.process->context(), directory);
    directory.start();
    nodes_.push_back(node);
  }

  static RouteRequest requestOf(const std::string& id, const std::string& subject) {
    RouteRequest request;
    request.stream_id = id;
    request.model = "m";
    request.version = "1";
    request.shape.tokens = kSharedTokens + kOwnTokens;
    request.shape.pieces = {common::hash64(subject), common::hash64(id)};
    request.shape.piece_ends = {kSharedTokens, kSharedTokens + kOwnTokens};
    request.maximum_tokens = 10;
    request.first_token_limit = seconds(2);
    request.between_tokens_limit = milliseconds(150);
    return request;
  }

  simulation::Simulation simulation_;
  RouterSettings settings_;
  DirectorySettings directory_settings_;
  configuration::FleetConfiguration fleet_;
  testing::ScriptedEngines engines_;
  std::vector<Node> nodes_;
};

class LongPromptTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LongPromptTrackerTest);
  CPPUNIT_TEST(peersAvoidAnEngineThatIsBusy);
  CPPUNIT_TEST(peersKnowWhichEngineHoldsASharedPrefix);
  CPPUNIT_TEST(prefixIsCopiedFromABusyHolder);
  CPPUNIT_TEST(nothingIsCopiedWhenCopyingIsDisabled);
  CPPUNIT_TEST(sentPromptsCountAsCachedBeforeCompletionOnlyWithPrediction);
  CPPUNIT_TEST(waitingForAShortQueueIsPreferredToCopying);
  CPPUNIT_TEST(nothingIsCopiedBeforeItIsComputed);
  CPPUNIT_TEST(nothingIsCopiedFromASilentHolder);
  CPPUNIT_TEST(abandonedPromptLeavesNoState);
  CPPUNIT_TEST(slowEngineIsLearned);
  CPPUNIT_TEST(peersLearnThatAnEngineIsSlow);
  CPPUNIT_TEST(promptWithALostEndNoticeExpires);
  CPPUNIT_TEST_SUITE_END();

 public:
  void peersAvoidAnEngineThatIsBusy() {
    TwoNodeZone zone;
    const Route first = zone.begin(0, "a", "one");
    zone.run(milliseconds(5));
    const Route second = zone.begin(1, "b", "two");
    zone.run(milliseconds(5));
    const Route third = zone.begin(0, "c", "three");
    CPPUNIT_ASSERT(first.prefill_engine->name != second.prefill_engine->name);
    CPPUNIT_ASSERT(first.prefill_engine->name != third.prefill_engine->name);
    CPPUNIT_ASSERT(second.prefill_engine->name != third.prefill_engine->name);
    zone.run(milliseconds(5));
    const Route fourth = zone.begin(1, "d", "four");
    CPPUNIT_ASSERT(fourth.expected_wait > milliseconds(200));
  }

  void peersKnowWhichEngineHoldsASharedPrefix() {
    TwoNodeZone zone;
    const Route first = zone.begin(0, "a", "one");
    CPPUNIT_ASSERT_EQUAL(0U, first.expected_cached_tokens);
    zone.compute(0, "a", milliseconds(320));
    const Route second = zone.begin(1, "b", "one");
    CPPUNIT_ASSERT_EQUAL(first.prefill_engine->name, second.prefill_engine->name);
    CPPUNIT_ASSERT_EQUAL(kSharedTokens, second.expected_cached_tokens);
    CPPUNIT_ASSERT(!second.prefix_source.has_value());
  }

  void prefixIsCopiedFromABusyHolder() {
    TwoNodeZone zone;
    const Route holder = zone.begin(0, "a", "one");
    zone.compute(0, "a", milliseconds(320));
    for (const char* id : {"b", "c", "e", "f"}) {
      const Route queued = zone.begin(0, id, "one");
      CPPUNIT_ASSERT_EQUAL(holder.prefill_engine->name, queued.prefill_engine->name);
    }
    zone.run(milliseconds(5));
    const Route relieved = zone.begin(1, "d", "one");
    CPPUNIT_ASSERT(relieved.prefill_engine->name != holder.prefill_engine->name);
    CPPUNIT_ASSERT(relieved.prefix_source.has_value());
    CPPUNIT_ASSERT_EQUAL(holder.prefill_engine->address, relieved.prefix_source->address);
    CPPUNIT_ASSERT_EQUAL(kSharedTokens, relieved.expected_copied_tokens);
  }

  /// The same prompts as in prefixIsCopiedFromABusyHolder.
  void nothingIsCopiedWhenCopyingIsDisabled() {
    TwoNodeZone zone(false);
    zone.begin(0, "a", "one");
    zone.compute(0, "a", milliseconds(320));
    for (const char* id : {"b", "c", "e", "f"}) {
      zone.begin(0, id, "one");
    }
    zone.run(milliseconds(5));
    CPPUNIT_ASSERT(!zone.begin(1, "d", "one").prefix_source.has_value());
  }

  void sentPromptsCountAsCachedBeforeCompletionOnlyWithPrediction() {
    for (const bool predicts_unreported : {true, false}) {
      for (const std::size_t node : {0U, 1U}) {
        TwoNodeZone zone(true, predicts_unreported);
        zone.begin(0, "a", "one");
        zone.run(milliseconds(5));
        const std::uint32_t while_computed = zone.knownHolders(node, "one");
        CPPUNIT_ASSERT_EQUAL(predicts_unreported ? 1U : 0U, while_computed);
        zone.compute(0, "a", milliseconds(320));
        // The engine that computed it and the one that generates its output.
        CPPUNIT_ASSERT_EQUAL(2U, zone.knownHolders(node, "one"));
      }
    }
  }

  /// A copy displaces cached tokens that other prompts need, so a short wait is preferred to it.
  void waitingForAShortQueueIsPreferredToCopying() {
    TwoNodeZone zone;
    const Route holder = zone.begin(0, "a", "one");
    zone.compute(0, "a", milliseconds(320));
    zone.begin(0, "b", "one");
    zone.begin(0, "c", "one");
    zone.run(milliseconds(5));
    const Route route = zone.begin(1, "d", "one");
    CPPUNIT_ASSERT_EQUAL(holder.prefill_engine->name, route.prefill_engine->name);
    CPPUNIT_ASSERT(!route.prefix_source.has_value());
    CPPUNIT_ASSERT_EQUAL(kSharedTokens, route.expected_cached_tokens);
  }

  void nothingIsCopiedBeforeItIsComputed() {
    TwoNodeZone zone;
    zone.begin(0, "a", "one");
    for (const char* id : {"b", "c", "d", "e"}) {
      zone.run(milliseconds(5));
      CPPUNIT_ASSERT(!zone.begin(1, id, "one").prefix_source.has_value());
    }
  }

  void nothingIsCopiedFromASilentHolder() {
    TwoNodeZone zone;
    const Route holder = zone.begin(0, "a", "one");
    zone.compute(0, "a", milliseconds(320));
    zone.begin(0, "b", "one");  // sent to the holder, which no longer responds
    zone.run(milliseconds(700));
    const Route elsewhere = zone.begin(1, "c", "one");
    CPPUNIT_ASSERT(elsewhere.prefill_engine->name != holder.prefill_engine->name);
    // The engine that generates the output of the first prompt also holds its prefix.
    CPPUNIT_ASSERT_EQUAL(holder.engine.address, elsewhere.prefix_source.value().address);
  }

  void abandonedPromptLeavesNoState() {
    TwoNodeZone zone;
    const Route first = zone.begin(0, "a", "one");
    zone.run(milliseconds(50));
    zone.router(0).attemptFailed("a", first.engine.name, engines::StreamFailure::kBroken);
    zone.run(milliseconds(5));
    const Route again = zone.begin(1, "b", "one");
    CPPUNIT_ASSERT_EQUAL(0U, again.expected_cached_tokens);
    CPPUNIT_ASSERT(again.expected_wait == common::Duration{0});
  }

  void slowEngineIsLearned() {
    TwoNodeZone zone;
    const std::string slow = useWithOneSlowEngine(zone);
    const Route later = zone.begin(0, "later", "later");
    CPPUNIT_ASSERT(later.prefill_engine->name != slow);
  }

  void peersLearnThatAnEngineIsSlow() {
    TwoNodeZone zone;
    const std::string slow = useWithOneSlowEngine(zone);
    const Route elsewhere = zone.begin(1, "elsewhere", "elsewhere");
    CPPUNIT_ASSERT(elsewhere.prefill_engine->name != slow);
    CPPUNIT_ASSERT(elsewhere.expected_prompt < milliseconds(400));
  }

  void promptWithALostEndNoticeExpires() {
    TwoNodeZone zone;
    for (const char* id : {"a", "b", "c"}) {
      zone.begin(0, id, id);
    }
    zone.run(milliseconds(5));
    CPPUNIT_ASSERT(zone.begin(1, "d", "four").expected_wait > milliseconds(200));
    zone.run(seconds(5));
    CPPUNIT_ASSERT(zone.begin(1, "e", "five").expected_wait == common::Duration{0});
  }

 private:
  /// Computes twelve prompts one after the other, with the first chosen engine four times as slow
  /// as the others.
  /// \return the name of the slow engine
  static std::string useWithOneSlowEngine(TwoNodeZone& zone) {
    std::string slow;
    for (int i = 0; i < 12; ++i) {
      const std::string id = std::to_string(i);
      const Route route = zone.begin(0, id, id);
      slow = slow.empty() ? route.prefill_engine->name : slow;
      const bool is_slow = route.prefill_engine->name == slow;
      zone.compute(0, id, is_slow ? milliseconds(1300) : milliseconds(320));
    }
    return slow;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongPromptTrackerTest);

}  // namespace
}  // namespace cypresswall::routing
