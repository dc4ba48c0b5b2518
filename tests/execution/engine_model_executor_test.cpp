#include "cypresswall/execution/engine_model_executor.h"

#include <optional>
#include <vector>

#include "tests/execution/model_executor_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

using testing::RecordingObserver;
using testing::StreamScript;
using World = testing::ModelExecutorFixture;
using Kind = StreamScript::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLongRun = std::chrono::minutes(5);

class EngineModelExecutorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineModelExecutorTest);
  CPPUNIT_TEST(givesTheWholeAnswer);
  CPPUNIT_TEST(resumesOnAnotherEngineWhenOneBreaks);
  CPPUNIT_TEST(refusalIsGivenWithinOneTurn);
  CPPUNIT_TEST(admissionRefusalKeepsItsRetryAfter);
  CPPUNIT_TEST(refusedAttemptsGoElsewhereWithoutBudget);
  CPPUNIT_TEST(notRunIfEveryEngineRefused);
  CPPUNIT_TEST(silentEngineIsLeft);
  CPPUNIT_TEST(slowReaderIsNotSilence);
  CPPUNIT_TEST(handsPrefillOverToDecode);
  CPPUNIT_TEST(lostPrefillEngineIsRoutedAround);
  CPPUNIT_TEST(engineThatLeavesDuringPrefillGetsNoDecode);
  CPPUNIT_TEST(halfGivenAnswerWaitsForAnEngine);
  CPPUNIT_TEST(callerGoneCancelsAndReleases);
  CPPUNIT_TEST(retryBudgetBoundsRetries);
  CPPUNIT_TEST(unknownModelIsNotRun);
  CPPUNIT_TEST(answersStayWholeUnderBrokenStreams);
  CPPUNIT_TEST_SUITE_END();

 public:
  void givesTheWholeAnswer() {
    World world;
    RecordingObserver observer;
    const auto handle = world.start(observer);
    CPPUNIT_ASSERT(observer.tokens.empty());
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{5}, world.engines.started.at(0).second.priority);
    assertNothingHeld(world);
  }

  void resumesOnAnotherEngineWhenOneBreaks() {
    World world;
    world.engines.scripts = {{Kind::kBrokenAt, 5}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    const auto& [engine, request] = world.engines.started.at(1);
    CPPUNIT_ASSERT(engine != world.engines.started.at(0).first);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, request.resume_from);
    CPPUNIT_ASSERT(request.attempt > world.engines.started.at(0).second.attempt);
    CPPUNIT_ASSERT_EQUAL(world.engines.started.at(0).second.stream_id, request.stream_id);
    CPPUNIT_ASSERT_EQUAL(1.0, world.count("cypresswall_execution_model_resumed_total"));
    const auto record = world.executor.journal().find("events");
    CPPUNIT_ASSERT_EQUAL(std::string("done"), record->state);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-1: as scripted"), record->attempts.at(0).result);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, record->attempts.at(1).resume_from);
  }

  void refusalIsGivenWithinOneTurn() {
    World world;
    world.router.refuses = true;
    RecordingObserver observer;
    const auto handle = world.start(observer);
    CPPUNIT_ASSERT(!observer.error);
    world.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(observer.error.has_value());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after == seconds(3));
    assertNothingHeld(world);
  }

  void admissionRefusalKeepsItsRetryAfter() {
    World world;
    world.admission.refusal =
        admission::Refusal{admission::RefusalReason::kTenantTokenLimit, seconds(2), "limit"};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kTenantLimit);
    CPPUNIT_ASSERT(observer.error->retry_after == seconds(2));
    CPPUNIT_ASSERT(world.router.requests.empty());
  }

  void refusedAttemptsGoElsewhereWithoutBudget() {
    World world(ExecutionSettings{}, testing::withRetryBurst(0));
    world.engines.scripts = {{Kind::kRefused}, {Kind::kNotSent}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.engines.started.size());
  }

  void notRunIfEveryEngineRefused() {
    World world;
    world.engines.scripts.assign(4, {Kind::kRefused});
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after > common::Duration{0});
    CPPUNIT_ASSERT(world.engines.ran.empty());
  }

  void silentEngineIsLeft() {
    World world;
    world.engines.scripts = {{Kind::kSilentAt, 0}, {Kind::kSilentAt, 3}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observer.tokens.size());
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(2.0, world.count("cypresswall_execution_model_silent_total"));
  }

  void slowReaderIsNotSilence() {
    World world;
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(milliseconds(50));
    handle->pause();
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    handle->resume();
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
  }

  void handsPrefillOverToDecode() {
    World world;
    world.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    const auto& [first, prefill] = world.engines.started.at(0);
    const auto& [second, decode] = world.engines.started.at(1);
    CPPUNIT_ASSERT_EQUAL(std::string("prefill-1"), first);
    CPPUNIT_ASSERT(prefill.phase == engines::StreamPhase::kPrefillOnly);
    CPPUNIT_ASSERT(decode.phase == engines::StreamPhase::kDecodeOnly);
    CPPUNIT_ASSERT_EQUAL(std::string("prefill-1:1"), decode.kv_source);
    CPPUNIT_ASSERT_EQUAL(prefill.stream_id, decode.stream_id);
    assertNothingHeld(world);
  }

  void engineThatLeavesDuringPrefillGetsNoDecode() {
    World world;
    world.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.router.leaving = {"engine-1"};
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    for (const auto& [engine, request] : world.engines.started) {
      CPPUNIT_ASSERT(engine != "engine-1");
    }
    assertNothingHeld(world);
  }

  void lostPrefillEngineIsRoutedAround() {
    for (const auto kind : {Kind::kBrokenAt, Kind::kRefused, Kind::kSilentAt}) {
      World world;
      world.router.prefill_name = "prefill-1";
      world.engines.scripts = {{kind, 0}};
      RecordingObserver observer;
      const auto handle = world.start(observer);
      world.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT(world.wholeAnswer(observer));
      CPPUNIT_ASSERT(world.engines.started.at(1).second.phase == engines::StreamPhase::kWhole);
      assertNothingHeld(world);
    }
  }

  void halfGivenAnswerWaitsForAnEngine() {
    World world;
    world.router.names = {"engine-1"};
    world.engines.scripts = {{Kind::kBrokenAt, 4}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
  }

  void callerGoneCancelsAndReleases() {
    World world;
    RecordingObserver observer;
    auto handle = world.start(observer);
    observer.on_token = [&handle] { handle.reset(); };
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.tokens.size());
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    assertNothingHeld(world);
  }

  void retryBudgetBoundsRetries() {
    fleet_limits::RetryLimitSettings limits;
    limits.fleet_burst = 1;
    limits.fleet_share = 0;
    World world(ExecutionSettings{}, limits);
    world.engines.scripts.assign(3, {Kind::kBrokenAt, 0});
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.engines.started.size());
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1.0, world.count("cypresswall_execution_model_retry_budget_spent_total"));
  }

  void unknownModelIsNotRun() {
    World world;
    RecordingObserver observer;
    ModelCall call;
    call.service = "nothing";
    const auto handle = world.executor.start(call, observer);
    world.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kUnknownModel);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
  }

  void answersStayWholeUnderBrokenStreams() {
    std::map<Kind, int> faults;
    double dropped = 0;
    testing::requireProperty(
        "every request ends once, with a prefix of its own answer, whole if done", 3000, [&] {
          World world;
          world.engines.scripts =
              *rc::gen::container<std::vector<StreamScript>>(rc::gen::construct<StreamScript>(
                  rc::gen::map(rc::gen::inRange(0, static_cast<int>(Kind::kLateEvents) + 1),
                               [](int kind) { return static_cast<Kind>(kind); }),
                  rc::gen::inRange<std::uint32_t>(0, 14)));
          const auto requests = *rc::gen::inRange(1, 5);
          std::vector<RecordingObserver> observers(static_cast<std::size_t>(requests));
          std::vector<std::unique_ptr<ModelExecution>> handles;
          for (std::size_t number = 0; number < observers.size(); ++number) {
            handles.push_back(world.start(observers[number], "prompt-" + std::to_string(number)));
          }
          world.process.time.runFor(kLongRun);
          for (std::size_t number = 0; number < observers.size(); ++number) {
            checkEnd(world, observers[number], number);
          }
          RC_ASSERT(world.admission.held == 0);
          RC_ASSERT(world.router.open == 0);
          for (const auto& [kind, count] : world.engines.faults) {
            faults[kind] += count;
          }
          dropped += world.count("cypresswall_execution_stream_events_dropped_total");
        });
    // Every kind of fault took place, or the property would have proved little.
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, faults.size());
    CPPUNIT_ASSERT(dropped > 0);
  }

 private:
  static void checkEnd(const World& world, const RecordingObserver& observer, std::size_t number) {
    const auto prompt = "prompt-" + std::to_string(number);
    RC_ASSERT(observer.ends == 1);
    RC_ASSERT(World::isPrefix(observer, prompt));
    if (observer.done) {
      RC_ASSERT(world.wholeAnswer(observer, prompt));
      return;
    }
    if (observer.error->outcome == Outcome::kNotRun) {
      RC_ASSERT(!ranAnywhere(world, prompt));
    }
  }

  static bool ranAnywhere(const World& world, const std::string& prompt) {
    for (const auto& [engine, request] : world.engines.started) {
      if (request.prompt == prompt && world.engines.ran.count(request.stream_id) != 0) {
        return true;
      }
    }
    return false;
  }

  static void assertNothingHeld(const World& world) {
    CPPUNIT_ASSERT_EQUAL(0, world.admission.held);
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineModelExecutorTest);

}  // namespace
}  // namespace cypresswall::execution
