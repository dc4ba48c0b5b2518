/// A release of the runners' software while one node is out of step: a stream is never continued by
/// a runner of another version.
#include <chrono>
#include <csignal>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "tests/objects_platform/processes/objects_fleet.h"
#include "tests/support/property.h"

namespace cypresswall::objects_platform::testing {
namespace {

constexpr std::size_t kNodes = 4;
/// Node that is out of step.
constexpr std::size_t kOutdated = 3;
constexpr std::size_t kStreams = 9;
constexpr std::uint64_t kEvents = 40;
constexpr auto kStartLimit = std::chrono::seconds(12);
constexpr auto kChangeLimit = std::chrono::seconds(4);
/// Time in which the streams have given some of their events.
constexpr auto kFirstPart = std::chrono::milliseconds(700);
constexpr auto kEventGap = std::chrono::milliseconds(50);
constexpr const char* kFormer = "v1";
constexpr const char* kReleased = "v2";

/// What a caller has read of a stream.
struct ReadEvents {
  std::set<std::string> builds;
  std::string last_event;
};

/// Reads the whole events of a stream; its last one may be cut.
ReadEvents readEvents(const std::string& body) {
  ReadEvents read;
  for (std::size_t at = 0; body.find("\n\n", at) != std::string::npos;) {
    const std::size_t end = body.find("\n\n", at);
    std::istringstream event(body.substr(at, end - at));
    std::string label;
    std::string build;
    event >> label >> read.last_event >> label >> build;
    read.builds.insert(build);
    at = end + 2;
  }
  return read;
}

class ReleaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReleaseTest);
  CPPUNIT_TEST(isolatedNodeDoesNotContinueAnswersOfAnotherBuild);
  CPPUNIT_TEST(pausedNodeDoesNotContinueAnswersOfAnotherBuild);
  CPPUNIT_TEST(nodeInTouchContinuesAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { fleet_.emplace(kNodes); }
  void tearDown() override { fleet_.reset(); }

  /// Guards against a node that is cut off from the other nodes and the store during a release, and
  /// continues streams of the new runners at a runner of the former version.
  void isolatedNodeDoesNotContinueAnswersOfAnotherBuild() {
    startDaemons();
    fleet_->isolate(kOutdated);
    release();
    expectNoMixedAnswers(brokenStreams(kOutdated));
    fleet_->heal();
  }

  /// Guards against a node that stood still during a release, and continues streams of the new
  /// runners at a runner of the former version once it runs again.
  void pausedNodeDoesNotContinueAnswersOfAnotherBuild() {
    startDaemons();
    fleet_->daemon(kOutdated).signal(SIGSTOP);
    release();
    const auto streams = brokenStreams(kOutdated);
    fleet_->daemon(kOutdated).signal(SIGCONT);
    expectNoMixedAnswers(streams);
  }

  /// Guards against refusing to continue streams of a new version at nodes that know its runners.
  void nodeInTouchContinuesAnswers() {
    startDaemons();
    release();
    CPPUNIT_ASSERT(holdsWithin(kChangeLimit, [this] { return servesReleased(kOutdated); }));
    for (const ModelCall& stream : brokenStreams(1)) {
      CPPUNIT_ASSERT(holdsWithin(
          kChangeLimit, [&] { return fleet_->callModel(kOutdated, retried(stream)).complete; }));
    }
  }

 private:
  void startDaemons() {
    fleet_->startDaemons();
    CPPUNIT_ASSERT(holdsWithin(kStartLimit, [this] { return fleet_->allAreReady(); }));
    for (std::size_t node = 0; node < kNodes; ++node) {
      CPPUNIT_ASSERT(holdsWithin(kStartLimit, [&] { return serves(node, kFormer); }));
    }
  }

  bool serves(std::size_t node, const std::string& build) {
    return readEvents(fleet_->callModel(node, {}).body).builds.contains(build);
  }
  bool servesReleased(std::size_t node) { return serves(node, kReleased); }

  /// Runners of the new version join, and the entries of the former ones go, though they serve on.
  void release() {
    const std::size_t former = fleet_->runners().size();
    for (std::size_t number = 0; number < 2; ++number) {
      fleet_->addRunner({std::string("released-").append(std::to_string(number)), kModelService,
                         fleet_->runnerAddress(), kReleased, true, kEventGap});
    }
    for (std::size_t number = 0; number < former; ++number) {
      if (fleet_->runners()[number]->settings().runs_models) {
        fleet_->removeEntry(*fleet_->runners()[number]);
      }
    }
    for (std::size_t node = 0; node < kOutdated; ++node) {
      CPPUNIT_ASSERT(holdsWithin(kChangeLimit, [&] { return servesReleased(node); }));
    }
  }

  /// Begins streams at runners of the new version through the first `nodes` nodes, and kills these.
  /// \return the calls that take up the broken streams
  std::vector<ModelCall> brokenStreams(std::size_t nodes) {
    std::vector<ModelCall> calls(kStreams);
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < kStreams; ++number) {
      callers.emplace_back(
          [this, node = number % nodes, &call = calls[number]] { call = brokenStream(node); });
    }
    std::this_thread::sleep_for(kFirstPart);
    for (std::size_t node = 0; node < nodes; ++node) {
      fleet_->daemon(node).kill();
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (const ModelCall& call : calls) {
      CPPUNIT_ASSERT_MESSAGE("a stream of the new version was not broken",
                             !call.last_event.empty());
    }
    return calls;
  }

  ModelCall brokenStream(std::size_t node) {
    const std::string request = fleet_->newRequest();
    const HttpAnswer answer = fleet_->callModel(node, {.request = request, .events = kEvents});
    const ReadEvents read = readEvents(answer.body);
    const bool broken = !answer.complete && read.builds == std::set<std::string>{kReleased};
    return {
        .events = kEvents, .last_event = broken ? read.last_event : "", .resumed_request = request};
  }

  /// \return the call of the next try: a request of its own
  ModelCall retried(ModelCall call) {
    call.request = fleet_->newRequest();
    return call;
  }

  void expectNoMixedAnswers(const std::vector<ModelCall>& streams) {
    std::size_t mixed = 0;
    for (const ModelCall& stream : streams) {
      const HttpAnswer answer = fleet_->callModel(kOutdated, stream);
      mixed += readEvents(answer.body).builds.contains(kFormer) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("streams continued by another build", std::size_t{0}, mixed);
  }

  std::optional<ObjectsFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReleaseTest);

}  // namespace
}  // namespace cypresswall::objects_platform::testing
