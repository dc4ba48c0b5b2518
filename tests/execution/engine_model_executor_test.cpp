#include "cypresswall/execution/engine_model_executor.h"

#include <optional>
#include <vector>

#include "tests/execution/model_executor_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

using testing::RecordingObserver;
using testing::StreamScript;
using Fixture = testing::ModelExecutorFixture;
using Kind = StreamScript::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLongRun = std::chrono::minutes(5);

class EngineModelExecutorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineModelExecutorTest);
  CPPUNIT_TEST(deliversWholeAnswer);
  CPPUNIT_TEST(resumesOnAnotherEngineAfterBrokenStream);
  CPPUNIT_TEST(refusalIsDeliveredInNextSchedulerTurn);
  CPPUNIT_TEST(admissionRefusalKeepsItsRetryAfter);
  CPPUNIT_TEST(refusedAttemptsAreRetriedWithoutRetryBudget);
  CPPUNIT_TEST(notRunIfEveryEngineRefused);
  CPPUNIT_TEST(stalledEngineIsReplaced);
  CPPUNIT_TEST(slowReaderIsNotAStall);
  CPPUNIT_TEST(handsPrefillOverToDecode);
  CPPUNIT_TEST(failedPrefillEngineIsReplaced);
  CPPUNIT_TEST(engineLeavingDuringPrefillGetsNoDecode);
  CPPUNIT_TEST(partialAnswerWaitsForAnEngine);
  CPPUNIT_TEST(abandonCancelsStreamAndReleasesAdmission);
  CPPUNIT_TEST(retryBudgetBoundsRetries);
  CPPUNIT_TEST(unknownModelIsNotRun);
  CPPUNIT_TEST(answersStayConsistentUnderStreamFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void deliversWholeAnswer() {
    Fixture fixture;
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    CPPUNIT_ASSERT(observer.tokens.empty());
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{5}, fixture.engines.started.at(0).second.priority);
    assertNothingHeld(fixture);
  }

  void resumesOnAnotherEngineAfterBrokenStream() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kBrokenAt, 5}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    const auto& [engine, request] = fixture.engines.started.at(1);
    CPPUNIT_ASSERT(engine != fixture.engines.started.at(0).first);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, request.resume_from);
    CPPUNIT_ASSERT(request.attempt > fixture.engines.started.at(0).second.attempt);
    CPPUNIT_ASSERT_EQUAL(fixture.engines.started.at(0).second.stream_id, request.stream_id);
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.count("cypresswall_execution_model_resumed_total"));
    const auto record = fixture.executor.journal().find("events");
    CPPUNIT_ASSERT_EQUAL(std::string("done"), record->state);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-1: as scripted"), record->attempts.at(0).result);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, record->attempts.at(1).resume_from);
  }

  void refusalIsDeliveredInNextSchedulerTurn() {
    Fixture fixture;
    fixture.router.refuses = true;
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    CPPUNIT_ASSERT(!observer.error);
    fixture.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(observer.error.has_value());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after == seconds(3));
    assertNothingHeld(fixture);
  }

  void admissionRefusalKeepsItsRetryAfter() {
    Fixture fixture;
    fixture.admission.refusal =
        admission::Refusal{admission::RefusalReason::kTenantTokenLimit, seconds(2), "limit"};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kTenantLimit);
    CPPUNIT_ASSERT(observer.error->retry_after == seconds(2));
    CPPUNIT_ASSERT(fixture.router.requests.empty());
  }

  void refusedAttemptsAreRetriedWithoutRetryBudget() {
    Fixture fixture(ExecutionSettings{}, testing::withRetryBurst(0));
    fixture.engines.scripts = {{Kind::kRefused}, {Kind::kNotSent}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.engines.started.size());
  }

  void notRunIfEveryEngineRefused() {
    Fixture fixture;
    fixture.engines.scripts.assign(4, {Kind::kRefused});
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after > common::Duration{0});
    CPPUNIT_ASSERT(fixture.engines.ran.empty());
  }

  void stalledEngineIsReplaced() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kSilentAt, 0}, {Kind::kSilentAt, 3}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observer.tokens.size());
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(2.0, fixture.count("cypresswall_execution_model_silent_total"));
  }

  void slowReaderIsNotAStall() {
    Fixture fixture;
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(milliseconds(50));
    handle->pause();
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    handle->resume();
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
  }

  void handsPrefillOverToDecode() {
    Fixture fixture;
    fixture.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    const auto& [first, prefill] = fixture.engines.started.at(0);
    const auto& [second, decode] = fixture.engines.started.at(1);
    CPPUNIT_ASSERT_EQUAL(std::string("prefill-1"), first);
    CPPUNIT_ASSERT(prefill.phase == engines::StreamPhase::kPrefillOnly);
    CPPUNIT_ASSERT(decode.phase == engines::StreamPhase::kDecodeOnly);
    CPPUNIT_ASSERT_EQUAL(std::string("prefill-1:1"), decode.kv_source);
    CPPUNIT_ASSERT_EQUAL(prefill.stream_id, decode.stream_id);
    assertNothingHeld(fixture);
  }

  void engineLeavingDuringPrefillGetsNoDecode() {
    Fixture fixture;
    fixture.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.router.leaving = {"engine-1"};
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    for (const auto& [engine, request] : fixture.engines.started) {
      CPPUNIT_ASSERT(engine != "engine-1");
    }
    assertNothingHeld(fixture);
  }

  void failedPrefillEngineIsReplaced() {
    for (const auto kind : {Kind::kBrokenAt, Kind::kRefused, Kind::kSilentAt}) {
      Fixture fixture;
      fixture.router.prefill_name = "prefill-1";
      fixture.engines.scripts = {{kind, 0}};
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
      CPPUNIT_ASSERT(fixture.engines.started.at(1).second.phase == engines::StreamPhase::kWhole);
      assertNothingHeld(fixture);
    }
  }

  void partialAnswerWaitsForAnEngine() {
    Fixture fixture;
    fixture.router.names = {"engine-1"};
    fixture.engines.scripts = {{Kind::kBrokenAt, 4}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
  }

  void abandonCancelsStreamAndReleasesAdmission() {
    Fixture fixture;
    RecordingObserver observer;
    auto handle = fixture.start(observer);
    observer.on_token = [&handle] { handle.reset(); };
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.tokens.size());
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    assertNothingHeld(fixture);
  }

  void retryBudgetBoundsRetries() {
    fleet_limits::RetryLimitSettings limits;
    limits.fleet_burst = 1;
    limits.fleet_share = 0;
    Fixture fixture(ExecutionSettings{}, limits);
    fixture.engines.scripts.assign(3, {Kind::kBrokenAt, 0});
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.engines.started.size());
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1.0,
                         fixture.count("cypresswall_execution_model_retry_budget_spent_total"));
  }

  void unknownModelIsNotRun() {
    Fixture fixture;
    RecordingObserver observer;
    ModelCall call;
    call.service = "nothing";
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kUnknownModel);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
  }

  void answersStayConsistentUnderStreamFaults() {
    std::map<Kind, int> faults;
    double dropped = 0;
    testing::requireProperty(
        "every request ends once, with a prefix of its own answer, complete if done", 3000, [&] {
          Fixture fixture;
          fixture.engines.scripts =
              *rc::gen::container<std::vector<StreamScript>>(rc::gen::construct<StreamScript>(
                  rc::gen::map(rc::gen::inRange(0, static_cast<int>(Kind::kLateEvents) + 1),
                               [](int kind) { return static_cast<Kind>(kind); }),
                  rc::gen::inRange<std::uint32_t>(0, 14)));
          const auto requests = *rc::gen::inRange(1, 5);
          std::vector<RecordingObserver> observers(static_cast<std::size_t>(requests));
          std::vector<std::unique_ptr<ModelExecution>> handles;
          for (std::size_t number = 0; number < observers.size(); ++number) {
            handles.push_back(fixture.start(observers[number], "prompt-" + std::to_string(number)));
          }
          fixture.process.time.runFor(kLongRun);
          for (std::size_t number = 0; number < observers.size(); ++number) {
            checkEnd(fixture, observers[number], number);
          }
          RC_ASSERT(fixture.admission.held == 0);
          RC_ASSERT(fixture.router.open == 0);
          for (const auto& [kind, count] : fixture.engines.faults) {
            faults[kind] += count;
          }
          dropped += fixture.count("cypresswall_execution_stream_events_dropped_total");
        });
    // The property is only meaningful if every kind of fault occurred.
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, faults.size());
    CPPUNIT_ASSERT(dropped > 0);
  }

 private:
  static void checkEnd(const Fixture& fixture, const RecordingObserver& observer,
                       std::size_t number) {
    const auto prompt = "prompt-" + std::to_string(number);
    RC_ASSERT(observer.ends == 1);
    RC_ASSERT(Fixture::isPrefix(observer, prompt));
    if (observer.done) {
      RC_ASSERT(fixture.wholeAnswer(observer, prompt));
      return;
    }
    if (observer.error->outcome == Outcome::kNotRun) {
      RC_ASSERT(!ranAnywhere(fixture, prompt));
    }
  }

  static bool ranAnywhere(const Fixture& fixture, const std::string& prompt) {
    for (const auto& [engine, request] : fixture.engines.started) {
      if (request.prompt == prompt && fixture.engines.ran.count(request.stream_id) != 0) {
        return true;
      }
    }
    return false;
  }

  static void assertNothingHeld(const Fixture& fixture) {
    CPPUNIT_ASSERT_EQUAL(0, fixture.admission.held);
    CPPUNIT_ASSERT_EQUAL(0, fixture.router.open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineModelExecutorTest);

}  // namespace
}  // namespace cypresswall::execution
