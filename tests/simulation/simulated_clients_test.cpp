/// Simulated clients of engines, platform and services: which calls take effect, and which outcome
/// the caller sees when connections are cut, responses are lost or processes die.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "cypresswall/emulation/answer.h"
#include "cypresswall/simulation/simulated_engines.h"
#include "cypresswall/simulation/simulated_platform.h"
#include "cypresswall/simulation/simulated_services.h"

namespace cypresswall::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kEngineAddress = "10.1.0.1:9000";
constexpr const char* kServiceAddress = "10.1.0.2:9100";
const std::string kVersion = "2026-12";

/// Records the output of a stream.
class RecordingHandler final : public engines::StreamHandler {
 public:
  void onToken(std::uint32_t, std::uint32_t index, const std::string& token) override {
    CPPUNIT_ASSERT_EQUAL(next_index++, index);
    text += token;
  }
  void onFinished(std::uint32_t, const engines::StreamUsage&) override { finished = true; }
  void onFailed(engines::StreamFailure reason, const std::string&) override { failure = reason; }

  std::string text;
  std::uint32_t next_index = 0;
  bool finished = false;
  std::optional<engines::StreamFailure> failure;
};

/// Owns a stream that must end with its process.
struct StreamHolder {
  std::unique_ptr<engines::Stream> stream;
};

struct TestEnvironment {
  explicit TestEnvironment(std::uint64_t seed = 1) : simulation(seed) {
    emulation::EngineSettings settings;
    settings.name = "engine-1";
    settings.model = "model";
    settings.version = kVersion;
    engine = &engines.add(kEngineAddress, "a", settings);
    service = &services.add(kServiceAddress, "a", "portal", milliseconds(5));
  }

  static engines::StreamRequest request() {
    engines::StreamRequest request;
    request.stream_id = "request-1";
    request.model = "model";
    request.version = kVersion;
    request.shape.tokens = 100;
    request.shape.content_hash = 42;
    request.maximum_tokens = 50;
    return request;
  }

  Simulation simulation;
  SimulatedEngines engines{simulation};
  SimulatedServices services{simulation};
  SimulatedPlatform platform{simulation};
  emulation::EmulatedEngine* engine = nullptr;
  emulation::EmulatedService* service = nullptr;
  SimulatedProcess& process = simulation.start("10.0.0.1:7000", "a");
};

class SimulatedClientsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SimulatedClientsTest);
  CPPUNIT_TEST(streamDeliversTheWholeAnswer);
  CPPUNIT_TEST(cutBreaksStreamAndCancelsIt);
  CPPUNIT_TEST(killedProcessCancelsItsStreams);
  CPPUNIT_TEST(lostOrderAnswerTookEffect);
  CPPUNIT_TEST(lateOrderArrivesAfterTheCallerGaveUp);
  CPPUNIT_TEST(lostStoreAnswerIsUnknown);
  CPPUNIT_TEST(unreachableStoreIsUnavailable);
  CPPUNIT_TEST(machineListShowsLeavingAfterItsLag);
  CPPUNIT_TEST(serviceBrokenAfterRunIsBroken);
  CPPUNIT_TEST(abandonedServiceCallIsNotAnswered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void streamDeliversTheWholeAnswer() {
    TestEnvironment environment;
    SimulatedEngineClient client(environment.simulation, environment.process, environment.engines);
    RecordingHandler handler;
    const auto stream =
        client.startStream({"engine-1", kEngineAddress}, TestEnvironment::request(), handler);
    environment.simulation.time().runFor(seconds(10));
    CPPUNIT_ASSERT(handler.finished);
    const auto seed = emulation::answerSeed("model", kVersion, "", 42);
    CPPUNIT_ASSERT_EQUAL(emulation::expectedAnswer(seed, 50), handler.text);
  }

  void cutBreaksStreamAndCancelsIt() {
    TestEnvironment environment;
    SimulatedEngineClient client(environment.simulation, environment.process, environment.engines);
    RecordingHandler handler;
    const auto stream =
        client.startStream({"engine-1", kEngineAddress}, TestEnvironment::request(), handler);
    environment.simulation.time().runFor(milliseconds(200));
    environment.simulation.network().cutAddresses(kEngineAddress, environment.process.id().address);
    environment.simulation.time().runFor(seconds(10));
    CPPUNIT_ASSERT(handler.failure == engines::StreamFailure::kBroken);
    CPPUNIT_ASSERT(!handler.text.empty());
    CPPUNIT_ASSERT(environment.engine->ledger().streams.at(0).end !=
                   emulation::StreamEnd::kRunning);
  }

  void killedProcessCancelsItsStreams() {
    TestEnvironment environment;
    RecordingHandler handler;
    auto& client = environment.process.emplace<SimulatedEngineClient>(
        environment.simulation, environment.process, environment.engines);
    auto& holder = environment.process.emplace<StreamHolder>();
    holder.stream =
        client.startStream({"engine-1", kEngineAddress}, TestEnvironment::request(), handler);
    environment.simulation.time().runFor(milliseconds(200));
    environment.simulation.kill(environment.process);
    environment.simulation.time().runFor(milliseconds(50));
    CPPUNIT_ASSERT(!handler.finished && !handler.failure);
    CPPUNIT_ASSERT(environment.engine->ledger().streams.at(0).end ==
                   emulation::StreamEnd::kCancelled);
  }

  static engines::EngineOrder fenceOrder(const emulation::EmulatedEngine& engine) {
    engines::EngineOrder order;
    order.epoch = {1, 1};
    order.sequence = 1;
    order.engine_incarnation = engine.incarnation();
    return order;
  }

  void lostOrderAnswerTookEffect() {
    TestEnvironment environment;
    environment.engines.faults.orders.answer_lost = 1;
    SimulatedEngineClient client(environment.simulation, environment.process, environment.engines);
    std::optional<engines::EngineFailure> failure;
    client.sendOrder({"engine-1", kEngineAddress}, fenceOrder(*environment.engine),
                     [&](const auto& result) { failure = result.failure().kind; });
    environment.simulation.time().runFor(seconds(3));
    CPPUNIT_ASSERT(failure == engines::EngineFailure::kUnknownOutcome);
    CPPUNIT_ASSERT(environment.engine->ledger().orders.at(0).verdict ==
                   engines::OrderVerdict::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         environment.simulation.faults().count(FaultKind::kEngineAnswerLost));
  }

  void lateOrderArrivesAfterTheCallerGaveUp() {
    TestEnvironment environment(3);
    environment.engines.faults.orders.late = 1;
    environment.engines.faults.orders.late_by = seconds(100);
    SimulatedEngineClient client(environment.simulation, environment.process, environment.engines);
    int answers = 0;
    client.sendOrder({"engine-1", kEngineAddress}, fenceOrder(*environment.engine),
                     [&](const auto& result) {
                       ++answers;
                       CPPUNIT_ASSERT(!result.ok());
                     });
    environment.simulation.time().runFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, answers);
    CPPUNIT_ASSERT(environment.engine->ledger().orders.empty());
    environment.simulation.time().runFor(seconds(100));
    CPPUNIT_ASSERT_EQUAL(1, answers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, environment.engine->ledger().orders.size());
  }

  void lostStoreAnswerIsUnknown() {
    TestEnvironment environment;
    SimulatedObjectStore store(environment.simulation, environment.process, environment.platform);
    environment.platform.loseAnswers(1);
    std::optional<object_store::StoreFailure> failure;
    store.compareAndSet({"key", 0, "value", "change-1"},
                        [&](const auto& result) { failure = result.failure().kind; });
    environment.simulation.time().runFor(seconds(5));
    CPPUNIT_ASSERT(failure == object_store::StoreFailure::kUnknownOutcome);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, environment.platform.store().peek("key").version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         environment.simulation.faults().count(FaultKind::kStoreAnswerLost));
  }

  void unreachableStoreIsUnavailable() {
    TestEnvironment environment;
    SimulatedObjectStore store(environment.simulation, environment.process, environment.platform);
    environment.simulation.network().cutZones("a", SimulatedPlatform::kZone);
    std::optional<object_store::StoreFailure> failure;
    store.get("key", [&](const auto& result) { failure = result.failure().kind; });
    environment.simulation.time().runFor(seconds(5));
    CPPUNIT_ASSERT(failure == object_store::StoreFailure::kUnavailable);
  }

  void machineListShowsLeavingAfterItsLag() {
    TestEnvironment environment;
    environment.platform.machines().setWithoutLag(
        {"machine-1", "a", object_store::MachineState::kLive, {}});
    SimulatedMachineList list(environment.simulation, environment.process, environment.platform);
    object_store::MachineState seen = object_store::MachineState::kLive;
    const auto read = [&] {
      list.fetch("a", [&](const auto& result) { seen = result.value().at(0).state; });
      environment.simulation.time().runFor(milliseconds(100));
    };
    environment.platform.setMachineState("machine-1", object_store::MachineState::kLeaving);
    read();
    CPPUNIT_ASSERT(seen == object_store::MachineState::kLive);
    environment.simulation.time().runFor(seconds(1));
    read();
    CPPUNIT_ASSERT(seen == object_store::MachineState::kLeaving);
  }

  static services::ServiceRequest booking() {
    services::ServiceRequest request;
    request.request_id = "booking-1";
    request.method = "POST";
    request.target = "/slots";
    request.time_limit = seconds(2);
    return request;
  }

  void serviceBrokenAfterRunIsBroken() {
    TestEnvironment environment;
    environment.service->setFaults({.break_after_run = 1});
    SimulatedServiceClient client(environment.simulation, environment.process,
                                  environment.services);
    std::optional<services::ServiceOutcome> outcome;
    const auto call = client.call({"machine-1", kServiceAddress}, booking(),
                                  [&](const auto& response) { outcome = response.outcome; });
    environment.simulation.time().runFor(seconds(3));
    CPPUNIT_ASSERT(outcome == services::ServiceOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(1U, environment.services.executionsOfRequest("booking-1"));
  }

  void abandonedServiceCallIsNotAnswered() {
    TestEnvironment environment;
    SimulatedServiceClient client(environment.simulation, environment.process,
                                  environment.services);
    bool answered = false;
    auto call = client.call({"machine-1", kServiceAddress}, booking(),
                            [&](const auto&) { answered = true; });
    call.reset();
    environment.simulation.time().runFor(seconds(3));
    CPPUNIT_ASSERT(!answered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SimulatedClientsTest);

}  // namespace
}  // namespace cypresswall::simulation
