/// Streams that turn too slow while they run are moved to another engine, with each token delivered
/// once.
#include <functional>
#include <utility>
#include <vector>

#include "tests/execution/model_executor_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

using testing::RecordingObserver;
using testing::StreamScript;
using Kind = StreamScript::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWarmUpAnswers = 8;
constexpr const char* kFirst = "engine-1";
constexpr const char* kSecond = "engine-2";

ExecutionSettings movingSettings() {
  ExecutionSettings settings;
  settings.stream_moves.enabled = true;
  settings.stream_moves.budget_share = 0.5;
  return settings;
}

/// An executor that has learned the length and the pace of some answers: 60 tokens, 20 ms apart.
struct MoveFixture : testing::ModelExecutorFixture {
  explicit MoveFixture(const ExecutionSettings& settings = movingSettings(),
                       const fleet_limits::RetryLimitSettings& limits = testing::withRetryBurst(20))
      : ModelExecutorFixture(settings, limits) {
    engines.answer_tokens = 60;
    service().time_limit = seconds(6);
    for (std::size_t answer = 0; answer < kWarmUpAnswers; ++answer) {
      RecordingObserver observer;
      const auto handle = start(observer);
      process.time.runFor(seconds(2));
      CPPUNIT_ASSERT(observer.done);
    }
    engines.started.clear();
    router.requests.clear();
  }
  std::vector<std::unique_ptr<ModelExecution>> startAll(std::vector<RecordingObserver>& observers) {
    std::vector<std::unique_ptr<ModelExecution>> handles(observers.size());
    for (std::size_t index = 0; index < observers.size(); ++index) {
      handles[index] = start(observers[index]);
    }
    return handles;
  }
  void slowDown(const std::string& engine, common::Duration gap = milliseconds(200)) {
    engines.token_times[engine] = gap;
  }
  double moves() const { return count("cypresswall_execution_stream_moves_total"); }
  double refused(const std::string& reason) {
    return process.counters
        .counter("cypresswall_execution_stream_moves_refused_total", "", "reason", reason)
        .value();
  }
  void requireNothingHeld() const {
    CPPUNIT_ASSERT_EQUAL(0, admission.held);
    CPPUNIT_ASSERT_EQUAL(0, router.open);
    CPPUNIT_ASSERT_EQUAL(0, engines.overlapping);
  }
};

class StreamMoveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamMoveTest);
  CPPUNIT_TEST(slowStreamCompletesAtAnotherEngine);
  CPPUNIT_TEST(nothingMovesUnlessSwitchedOn);
  CPPUNIT_TEST(streamThatIsInTimeStays);
  CPPUNIT_TEST(streamThatMayNotBeResumedStays);
  CPPUNIT_TEST(streamWithoutResumePositionStays);
  CPPUNIT_TEST(exhaustedBudgetKeepsTheStream);
  CPPUNIT_TEST(movesLeaveBudgetToBrokenStreams);
  CPPUNIT_TEST(streamStaysIfNoEngineIsGranted);
  CPPUNIT_TEST(streamStaysIfTheGrantedEngineIsNoFaster);
  CPPUNIT_TEST(nothingMovesWhileAllEnginesAreSlow);
  CPPUNIT_TEST(streamRunsOnWhileTheRouterIsAsked);
  CPPUNIT_TEST(lateAnswerOfTheRouterIsNotUsed);
  CPPUNIT_TEST(streamThatBreaksWhileTheRouterIsAskedIsRetried);
  CPPUNIT_TEST(movedStreamThatBreaksIsResumed);
  CPPUNIT_TEST(streamMovesOnce);
  CPPUNIT_TEST(moveMayUseASeparatePrefillEngine);
  CPPUNIT_TEST(callerThatDoesNotReadKeepsItsEngine);
  CPPUNIT_TEST(pauseOfThisProcessMovesNothing);
  CPPUNIT_TEST(eachTokenIsDeliveredOnceWhateverHappens);
  CPPUNIT_TEST_SUITE_END();

 public:
  void slowStreamCompletesAtAnotherEngine() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(seconds(6));
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kSecond), fixture.engines.started[1].first);
    const auto resumed_from = fixture.engines.started[1].second.resume_from;
    CPPUNIT_ASSERT(resumed_from >= 5 && resumed_from <= 15);
    const auto& request = fixture.router.requests.at(1);
    CPPUNIT_ASSERT(request.excluded == std::vector<std::string>{kFirst});
    CPPUNIT_ASSERT(request.finish_limit > seconds(2) && request.finish_limit < seconds(5));
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.moves());
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.retries.of("dispatch").used());
    fixture.requireNothingHeld();
  }

  void nothingMovesUnlessSwitchedOn() {
    MoveFixture fixture{ExecutionSettings{}};
    fixture.slowDown(kFirst);
    requireStays(fixture);
  }

  void streamThatIsInTimeStays() {
    MoveFixture fixture;
    fixture.slowDown(kFirst, milliseconds(80));
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(seconds(6));
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
  }

  void streamThatMayNotBeResumedStays() {
    MoveFixture fixture;
    fixture.service().repeatable = false;
    fixture.slowDown(kFirst);
    requireStays(fixture);
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.refused("not-resumable"));
    MoveFixture single;
    single.service().maximum_runs = 1;
    single.slowDown(kFirst);
    requireStays(single);
    CPPUNIT_ASSERT_EQUAL(1.0, single.refused("not-resumable"));
  }

  void streamWithoutResumePositionStays() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    for (std::uint32_t index = 0; index < fixture.engines.answer_tokens; ++index) {
      fixture.engines.tokens_without_position.insert(testing::expectedToken("ask", index));
    }
    auto call = MoveFixture::call("");
    call.pass_through = std::make_shared<const engines::PassThroughRequest>(
        engines::PassThroughRequest{"POST", "/chat", {}, "ask"});
    RecordingObserver observer;
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(seconds(7));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.refused("not-resumable"));
  }

  void exhaustedBudgetKeepsTheStream() {
    auto limits = testing::withRetryBurst(0);
    limits.fleet_share = 0;
    MoveFixture fixture(movingSettings(), limits);
    fixture.slowDown(kFirst);
    requireStays(fixture);
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.refused("no-budget"));
  }

  void movesLeaveBudgetToBrokenStreams() {
    auto limits = testing::withRetryBurst(4);
    limits.fleet_share = 0;
    MoveFixture fixture(movingSettings(), limits);
    fixture.slowDown(kFirst);
    std::vector<RecordingObserver> observers(6);
    const auto handles = fixture.startAll(observers);
    fixture.process.time.runFor(seconds(7));
    CPPUNIT_ASSERT_EQUAL(2.0, fixture.moves());
    CPPUNIT_ASSERT_EQUAL(2.0, fixture.retries.of("dispatch").left());
    fixture.requireNothingHeld();
  }

  void streamStaysIfNoEngineIsGranted() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    fixture.router.names = {kFirst};
    requireStays(fixture);
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.refused("no-better-engine"));
    CPPUNIT_ASSERT(fixture.router.requests.size() <= 4);
  }

  void streamStaysIfTheGrantedEngineIsNoFaster() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    // The estimates of the router are calibrated by other streams.
    fixture.router.expected_gaps = {{kFirst, milliseconds(2)}, {kSecond, milliseconds(20)}};
    RecordingObserver other_observer;
    const auto other = fixture.start(other_observer, "other");
    requireStays(fixture, 1);
    CPPUNIT_ASSERT(fixture.refused("no-better-engine") >= 1);
  }

  void nothingMovesWhileAllEnginesAreSlow() {
    MoveFixture fixture;
    fixture.engines.token_time = milliseconds(200);
    fixture.service().repeatable = false;
    std::vector<RecordingObserver> observers(4);
    const auto handles = fixture.startAll(observers);
    fixture.process.time.runFor(seconds(5));
    fixture.service().repeatable = true;
    requireStays(fixture, handles.size());
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.refused("all-slow"));
  }

  void streamRunsOnWhileTheRouterIsAsked() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.router.answers_late = true;
    fixture.process.time.runFor(seconds(3));
    const auto given = observer.tokens.size();
    fixture.process.time.runFor(milliseconds(500));
    CPPUNIT_ASSERT(observer.tokens.size() > given);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
    fixture.router.answerPlacements();
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(observer.tokens.size()),
                         fixture.engines.started.at(1).second.resume_from);
    fixture.process.time.runFor(seconds(3));
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    fixture.requireNothingHeld();
  }

  /// The owner that was asked for a place is lost, or the stream ends before it answers.
  void lateAnswerOfTheRouterIsNotUsed() {
    for (const bool answers : {false, true}) {
      MoveFixture fixture;
      fixture.slowDown(kFirst);
      RecordingObserver observer;
      auto handle = fixture.start(observer);
      fixture.router.answers_late = true;
      fixture.process.time.runFor(seconds(4));
      handle.reset();
      if (answers) {
        fixture.router.answerPlacements();
      }
      fixture.process.time.runFor(seconds(9));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
      fixture.requireNothingHeld();
    }
  }

  void streamThatBreaksWhileTheRouterIsAskedIsRetried() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    fixture.engines.scripts.assign(1, {Kind::kBrokenAt, 18});
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.router.answers_late = true;
    fixture.process.time.runFor(milliseconds(3700));
    fixture.router.answers_late = false;
    fixture.process.time.runFor(seconds(5));
    fixture.router.answerPlacements();
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(0.0, fixture.moves());
    fixture.requireNothingHeld();
  }

  void movedStreamThatBreaksIsResumed() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    fixture.engines.scripts = {{}, {Kind::kBrokenAt, 3}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(seconds(6));
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(std::string("engine-3"), fixture.engines.started[2].first);
    CPPUNIT_ASSERT_EQUAL(2.0, fixture.retries.of("dispatch").used());
    fixture.requireNothingHeld();
  }

  void streamMovesOnce() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    fixture.slowDown(kSecond);
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(seconds(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.engines.started.size());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
    fixture.requireNothingHeld();
  }

  void moveMayUseASeparatePrefillEngine() {
    MoveFixture fixture;
    fixture.slowDown(kFirst);
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.router.prefill_name = "engine-4";
    fixture.process.time.runFor(seconds(6));
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.engines.started.size());
    // The first computed prompt and the output that follows it are one run (see RepeatCounter).
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.retries.of("dispatch").used());
    fixture.requireNothingHeld();
  }

  void callerThatDoesNotReadKeepsItsEngine() {
    MoveFixture fixture;
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(milliseconds(500));
    handle->pause();
    fixture.process.time.runFor(seconds(4));
    handle->resume();
    fixture.process.time.runFor(seconds(6));
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
  }

  void pauseOfThisProcessMovesNothing() {
    MoveFixture fixture;
    fixture.slowDown(kFirst, milliseconds(70));
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(milliseconds(1600));
    fixture.process.clock.late_by = seconds(2);
    fixture.process.time.runFor(milliseconds(1400));
    CPPUNIT_ASSERT_EQUAL(0.0, fixture.moves());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
  }

  /// Random times of tokens that change while streams run, stream faults, a router that answers
  /// late, callers that stop reading: each token is delivered once, in order, and an answer that is
  /// reported complete is whole.
  void eachTokenIsDeliveredOnceWhateverHappens() {
    int moved = 0;
    testing::requireProperty("moved streams", 400, [&moved] {
      auto limits = testing::withRetryBurst(20);
      // All repeats fall into one retry-budget window.
      limits.window = std::chrono::minutes(10);
      MoveFixture fixture(movingSettings(), limits);
      const auto below = [](int bound) { return *rc::gen::inRange(0, bound); };
      static const std::vector<milliseconds> kGaps = {milliseconds(5), milliseconds(20),
                                                      milliseconds(200), milliseconds(700)};
      for (int script = below(5); script > 0; --script) {
        const auto kind = static_cast<Kind>(below(static_cast<int>(Kind::kLateEvents) + 1));
        fixture.engines.scripts.push_back({kind, static_cast<std::uint32_t>(below(30))});
      }
      fixture.slowDown(kFirst);
      std::vector<RecordingObserver> observers(static_cast<std::size_t>(1 + below(3)));
      std::vector<std::unique_ptr<ModelExecution>> handles;
      for (std::size_t index = 0; index < observers.size(); ++index) {
        handles.push_back(fixture.start(observers[index], "ask " + std::to_string(index)));
      }
      for (int step = 0; step < 14; ++step) {
        fixture.process.time.runFor(milliseconds(500));
        fixture.router.answers_late = below(3) == 0;
        if (below(2) == 0) {
          fixture.router.answerPlacements();
        }
        if (below(3) == 0) {
          const auto engine = static_cast<std::size_t>(below(4));
          fixture.slowDown(fixture.router.names[engine], kGaps[static_cast<std::size_t>(below(4))]);
        }
        if (below(12) == 0) {
          handles.front()->pause();
        } else {
          handles.front()->resume();
        }
      }
      fixture.router.answers_late = false;
      fixture.process.time.runFor(seconds(20));
      for (std::size_t index = 0; index < observers.size(); ++index) {
        const auto prompt = "ask " + std::to_string(index);
        RC_ASSERT(fixture.isPrefix(observers[index], prompt));
        RC_ASSERT(observers[index].ends == 1);
        RC_ASSERT(!observers[index].done || fixture.wholeAnswer(observers[index], prompt));
      }
      RC_ASSERT(fixture.admission.held == 0);
      RC_ASSERT(fixture.router.open == 0);
      RC_ASSERT(fixture.retries.of("dispatch").used() + 1e-9 >=
                static_cast<double>(fixture.engines.started.size()) -
                    static_cast<double>(observers.size()) - notDelivered(fixture));
      moved += static_cast<int>(fixture.moves());
    });
    CPPUNIT_ASSERT(moved > 50);
  }

 private:
  static double notDelivered(MoveFixture& fixture) {
    return fixture.engines.faults[Kind::kNotSent] + fixture.engines.faults[Kind::kRefused];
  }

  /// Starts a stream and requires that it stays at its engine until its deadline.
  /// \param others streams that were started before
  static void requireStays(MoveFixture& fixture, std::size_t others = 0) {
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(milliseconds(5900));
    CPPUNIT_ASSERT(observer.tokens.size() > 25);
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    fixture.process.time.runFor(seconds(1));
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
    CPPUNIT_ASSERT(fixture.engines.started.size() == others + 1);
    CPPUNIT_ASSERT_EQUAL(0.0, fixture.moves());
    fixture.requireNothingHeld();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamMoveTest);

}  // namespace
}  // namespace cypresswall::execution
