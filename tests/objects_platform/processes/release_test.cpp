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
/// How long callers take the streams up again and again: the platform's `contact_ms`, after which a
/// node counts as in touch.
constexpr auto kRetryTime = std::chrono::seconds(3);
constexpr auto kRetryGap = std::chrono::milliseconds(100);
constexpr int kOk = 200;
constexpr int kRefused = 503;
constexpr const char* kFormer = "v1";
constexpr const char* kReleased = "v2";

/// What a caller has read of a stream.
struct ReadEvents {
  std::set<std::string> builds;
  std::string last_event;
  std::vector<std::string> numbers;
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
    read.numbers.push_back(read.last_event);
    at = end + 2;
  }
  return read;
}

/// \return true if the answer has all events that were missing, each once, of the released build
bool wentOn(const ModelCall& stream, const HttpAnswer& answer) {
  std::vector<std::string> missing;
  for (std::uint64_t number = std::stoull(stream.last_event) + 1; number <= kEvents; ++number) {
    missing.push_back(std::to_string(number));
  }
  const ReadEvents read = readEvents(answer.body);
  return answer.status == kOk && answer.complete && read.numbers == missing &&
         read.builds == std::set<std::string>{kReleased};
}

bool refused(const HttpAnswer& answer) {
  return answer.status == kRefused && answer.complete && readEvents(answer.body).numbers.empty();
}

std::string textOf(const ModelCall& stream, const HttpAnswer& answer) {
  const ReadEvents read = readEvents(answer.body);
  std::string text = "after event " + stream.last_event + ": status " +
                     std::to_string(answer.status) + (answer.complete ? ", complete, " : ", ") +
                     answer.error + " " + std::to_string(read.numbers.size()) + " events up to " +
                     read.last_event + " of builds";
  for (const std::string& build : read.builds) {
    text.append(" ").append(build);
  }
  return text;
}

class ReleaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReleaseTest);
  CPPUNIT_TEST(isolatedNodeDoesNotContinueAnswersOfAnotherBuild);
  CPPUNIT_TEST(pausedNodeDoesNotContinueAnswersOfAnotherBuild);
  CPPUNIT_TEST(pausedAndIsolatedNodeDoesNotContinueAnswersOfAnotherBuild);
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
    const auto streams = brokenStreams(kOutdated);
    expectNoMixedAnswers(streams);
    fleet_->heal();
    expectNoMixedAnswers(streams);
    expectInStep();
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
    expectInStep();
  }

  /// Guards against a node that stood still during a release, reaches nobody once it runs again,
  /// and continues streams of the new runners at the former ones when it has caught up with itself.
  void pausedAndIsolatedNodeDoesNotContinueAnswersOfAnotherBuild() {
    startDaemons();
    fleet_->daemon(kOutdated).signal(SIGSTOP);
    fleet_->isolate(kOutdated);
    release();
    const auto streams = brokenStreams(kOutdated);
    fleet_->daemon(kOutdated).signal(SIGCONT);
    expectNoMixedAnswers(streams);
    fleet_->heal();
    expectNoMixedAnswers(streams);
    expectInStep();
  }

  /// Guards against refusing to continue streams of a new version at nodes that know its runners.
  void nodeInTouchContinuesAnswers() {
    startDaemons();
    release();
    CPPUNIT_ASSERT(holdsWithin(kChangeLimit, [this] { return servesReleased(kOutdated); }));
    for (const ModelCall& stream : brokenStreams(1)) {
      HttpAnswer answer;
      const bool continued = holdsWithin(kChangeLimit, [&] {
        answer = fleet_->callModel(kOutdated, retried(stream));
        return wentOn(stream, answer);
      });
      CPPUNIT_ASSERT_MESSAGE("a stream did not go on: " + textOf(stream, answer), continued);
    }
    expectAllRun();
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
    const HttpAnswer answer = fleet_->callModel(node, {});
    return answer.status == kOk && answer.complete &&
           readEvents(answer.body).builds == std::set<std::string>{build};
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

  /// Callers take the streams up at the node that is out of step, all at once and for a while. The
  /// node has to answer each of them, whole or with a refusal.
  void expectNoMixedAnswers(const std::vector<ModelCall>& streams) {
    std::vector<std::string> faults(streams.size());
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < streams.size(); ++number) {
      callers.emplace_back([this, &stream = streams[number], &fault = faults[number]] {
        fault = faultOfTakeUps(stream);
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::string found;
    for (const std::string& fault : faults) {
      found.append(fault);
    }
    expectAllRun();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("streams neither continued by their build nor refused",
                                 std::string(), found);
  }

  /// \return what was wrong with the first wrong answer
  std::string faultOfTakeUps(const ModelCall& stream) {
    const auto end = std::chrono::steady_clock::now() + kRetryTime;
    while (std::chrono::steady_clock::now() < end) {
      const HttpAnswer answer = fleet_->callModel(kOutdated, retried(stream));
      if (!wentOn(stream, answer) && !refused(answer)) {
        return std::string("\n").append(textOf(stream, answer));
      }
      std::this_thread::sleep_for(kRetryGap);
    }
    return "";
  }

  void expectInStep() {
    const bool in_step = holdsWithin(kChangeLimit, [this] { return servesReleased(kOutdated); });
    expectAllRun();
    CPPUNIT_ASSERT_MESSAGE("the node does not serve with the released runners", in_step);
  }

  void expectAllRun() const {
    std::string ended;
    for (const std::string& ending : fleet_->endings()) {
      ended.append("\n").append(ending);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("daemons that ended by themselves", std::string(), ended);
  }

  std::optional<ObjectsFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReleaseTest);

}  // namespace
}  // namespace cypresswall::objects_platform::testing
