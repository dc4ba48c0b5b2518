#include "cypresswall/execution/model_request.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cypresswall/admission/engine_priority.h"
#include "tests/execution/model_executor_fixture.h"

namespace cypresswall::execution {
namespace {

using testing::expectedToken;
using testing::RecordingObserver;
using testing::StreamScript;
using Kind = StreamScript::Kind;
using World = testing::ModelExecutorFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLongRun = std::chrono::minutes(5);
constexpr common::RequestFingerprint kFingerprint = 17;

class ModelRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelRequestTest);
  CPPUNIT_TEST(passesTheRequestThroughAndTheHeadOnce);
  CPPUNIT_TEST(goesOnBehindTheLastMarkedPosition);
  CPPUNIT_TEST(answerWithoutAPositionIsNotBegunAnew);
  CPPUNIT_TEST(requestThatMayHaveRunIsNotRepeated);
  CPPUNIT_TEST(requestThatDidNotRunIsRepeated);
  CPPUNIT_TEST(failedPrefillIsRepeated);
  CPPUNIT_TEST(silenceDoesNotEndARequestThatMayNotBeRepeated);
  CPPUNIT_TEST(silentEngineIsHeldToTheDeadlineOnly);
  CPPUNIT_TEST(shorterTimeLimitCounts);
  CPPUNIT_TEST(deadlineBeforeAnyRunIsNotRun);
  CPPUNIT_TEST(deadlineWhileThePromptIsComputedIsNotRun);
  CPPUNIT_TEST(pausedProcessStartsNothingBeyondTheDeadline);
  CPPUNIT_TEST(declaredRunsReplaceTheNodesOwn);
  CPPUNIT_TEST(refusedAttemptsDrawOnTheBudget);
  CPPUNIT_TEST(refusedAttemptsStayWithinTheShare);
  CPPUNIT_TEST(longFirstTokenLimitIsGivenToTheRouter);
  CPPUNIT_TEST(onlyTheFirstAttemptIsPlannedWithinTheTarget);
  CPPUNIT_TEST(callersPatienceAdmitsWhereTheTargetIsSwitchedOff);
  CPPUNIT_TEST(quarantinedRequestIsRefusedAtOnce);
  CPPUNIT_TEST(requestQuarantinedBetweenAttemptsIsNotSentAgain);
  CPPUNIT_TEST(promptIsNotHandedOverOnceTheRequestIsQuarantined);
  CPPUNIT_TEST(brokenStreamsAndAnswersAreToldToTheQuarantine);
  CPPUNIT_TEST(refusalsAndSilenceAreNoCrashes);
  CPPUNIT_TEST(aRequestIsCountedOnceWithItsFirstToken);
  CPPUNIT_TEST(aKeyTakenAwayStopsARequestThatHasNotRun);
  CPPUNIT_TEST(theTenantsUrgencyGoesBeforeTheServices);
  CPPUNIT_TEST(limitsOfAllAnswersAreTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aRequestIsCountedOnceWithItsFirstToken() {
    World world;
    world.engines.scripts = {{Kind::kRefused}, {Kind::kBrokenAt, 2}};
    RecordingObserver observer;
    auto call = World::call();
    call.tenant = "porter";
    const auto handle = world.executor.start(call, observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(1, world.usage.began["porter"]);
  }

  void aKeyTakenAwayStopsARequestThatHasNotRun() {
    World world;
    world.engines.scripts = {{Kind::kRefused}};
    RecordingObserver observer;
    auto call = World::call();
    bool allowed = true;
    call.still_allowed = [&allowed] { return allowed; };
    const auto handle = world.executor.start(call, observer);
    world.process.time.runFor(milliseconds(1));
    allowed = false;
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kKeyRevoked);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
    CPPUNIT_ASSERT_EQUAL(0, world.admission.held);
    CPPUNIT_ASSERT(world.usage.began.empty());
  }

  void theTenantsUrgencyGoesBeforeTheServices() {
    World world;
    RecordingObserver observer;
    auto call = World::call();
    call.urgency = configuration::Urgency::kLow;
    const auto handle = world.executor.start(call, observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(admission::enginePriority(configuration::Urgency::kLow, false),
                         world.router.requests.front().priority);
  }

  /// Of a refusal, of a computed prompt and of the answer itself.
  void limitsOfAllAnswersAreTold() {
    World world;
    world.engines.scripts = {{Kind::kRefused}};
    world.engines.rate_limit = common::namedRateLimit(1.5);
    world.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(world.engines.started.size(), world.rate_limiter.notices.size());
    for (std::size_t i = 0; i < world.engines.started.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(world.engines.started[i].first, world.rate_limiter.notices[i].first);
      CPPUNIT_ASSERT(common::namedRateLimit(1.5) == world.rate_limiter.notices[i].second);
    }
  }

  void quarantinedRequestIsRefusedAtOnce() {
    World world({}, testing::withRetryBurst(0));
    world.quarantine.kept = {kFingerprint};
    RecordingObserver observer;
    const auto handle = world.executor.start(knownAgain(), observer);
    world.process.time.runFor(milliseconds(1));
    CPPUNIT_ASSERT(observer.error.has_value());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kQuarantined);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after == std::chrono::minutes(1));
    CPPUNIT_ASSERT(world.engines.started.empty() && world.router.requests.empty());
    CPPUNIT_ASSERT_EQUAL(0, world.admission.held);
    CPPUNIT_ASSERT_EQUAL(0.0, world.retries.of("dispatch").left());
  }

  void requestQuarantinedBetweenAttemptsIsNotSentAgain() {
    World world;
    world.engines.scripts = {{Kind::kBrokenAt, 0}};
    RecordingObserver observer;
    const auto handle = world.executor.start(knownAgain(), observer);
    world.process.time.runFor(milliseconds(1));
    world.quarantine.kept = {kFingerprint};
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
    // An engine had it: nobody may promise that it didn't run.
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
    CPPUNIT_ASSERT_EQUAL(0, world.admission.held);
  }

  void promptIsNotHandedOverOnceTheRequestIsQuarantined() {
    World world;
    world.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = world.executor.start(knownAgain(), observer);
    world.process.time.runFor(milliseconds(1));
    world.quarantine.kept = {kFingerprint};
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
  }

  void brokenStreamsAndAnswersAreToldToTheQuarantine() {
    World world;
    world.engines.scripts = {{Kind::kBrokenAt, 3}};
    RecordingObserver observer;
    const auto handle = world.executor.start(knownAgain(), observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.quarantine.broken.size());
    CPPUNIT_ASSERT_EQUAL(kFingerprint, world.quarantine.broken[0].first);
    CPPUNIT_ASSERT_EQUAL(world.engines.started[0].first, world.quarantine.broken[0].second);
    CPPUNIT_ASSERT(world.quarantine.answers == std::vector{kFingerprint});
  }

  void refusalsAndSilenceAreNoCrashes() {
    World world;
    world.engines.scripts = {{Kind::kRefused}, {Kind::kNotSent}, {Kind::kSilentAt, 2}};
    RecordingObserver observer;
    const auto handle = world.executor.start(knownAgain(), observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT(world.quarantine.broken.empty());
  }

  void onlyTheFirstAttemptIsPlannedWithinTheTarget() {
    World world;
    world.service().first_token_limit = seconds(2);
    world.service().first_token_target = milliseconds(200);
    world.engines.scripts = {{Kind::kRefused}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.router.requests.at(0).first_token_limit == milliseconds(170));
    CPPUNIT_ASSERT(world.router.requests.at(1).first_token_limit > milliseconds(1900));
  }

  void callersPatienceAdmitsWhereTheTargetIsSwitchedOff() {
    ExecutionSettings settings;
    settings.admits_within_target = false;
    World world(settings);
    world.service().first_token_limit = seconds(2);
    world.service().first_token_target = milliseconds(200);
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.router.requests.at(0).first_token_limit == seconds(2));
  }

  void passesTheRequestThroughAndTheHeadOnce() {
    World world;
    world.engines.scripts = {{Kind::kBrokenAt, 5}};
    auto call = World::call("");
    engines::PassThroughRequest request{
        "POST", "/chat?x=%20", {{"X-One", "1"}}, "{ \"raw\" : 1}\n"};
    call.pass_through = std::make_shared<const engines::PassThroughRequest>(request);
    RecordingObserver observer;
    const auto handle = world.executor.start(call, observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer, request.body));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.heads.size());
    const auto& first = world.engines.started.at(0).second;
    CPPUNIT_ASSERT_EQUAL(std::to_string(first.attempt), observer.heads[0].headers.at(0).value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.engines.started.size());
    for (const auto& [engine, attempt] : world.engines.started) {
      CPPUNIT_ASSERT_EQUAL(request.target, attempt.pass_through->target);
      CPPUNIT_ASSERT_EQUAL(request.body, attempt.pass_through->body);
      CPPUNIT_ASSERT(request.headers == attempt.pass_through->headers);
    }
  }

  void goesOnBehindTheLastMarkedPosition() {
    World world;
    world.engines.scripts = {{Kind::kBrokenAt, 5}};
    world.engines.unmarked = {expectedToken("ask", 4)};
    RecordingObserver observer;
    const auto handle = world.executor.start(passedThrough("ask"), observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(expectedToken("ask", 3), world.engines.started.at(1).second.last_token);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, world.engines.started.at(1).second.resume_from);
  }

  void answerWithoutAPositionIsNotBegunAnew() {
    World world;
    world.engines.scripts = {{Kind::kBrokenAt, 2}};
    world.engines.unmarked = {expectedToken("ask", 0), expectedToken("ask", 1)};
    RecordingObserver observer;
    const auto handle = world.executor.start(passedThrough("ask"), observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
    CPPUNIT_ASSERT(observer.error.has_value());
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
  }

  void requestThatMayHaveRunIsNotRepeated() {
    for (const StreamScript script :
         {StreamScript{Kind::kBrokenAt, 0}, {Kind::kBrokenAt, 5}, {Kind::kLosesAt, 2}}) {
      World world;
      world.service().repeatable = false;
      world.engines.scripts = {script};
      RecordingObserver observer;
      const auto handle = world.start(observer);
      world.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kBackendFailed);
      assertNothingHeld(world);
    }
  }

  void requestThatDidNotRunIsRepeated() {
    World world;
    world.service().repeatable = false;
    world.engines.scripts = {{Kind::kRefused}, {Kind::kNotSent}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.engines.started.size());
  }

  void failedPrefillIsRepeated() {
    for (const auto kind : {Kind::kBrokenAt, Kind::kSilentAt}) {
      World world;
      world.service().repeatable = false;
      world.router.prefill_name = "prefill-1";
      world.engines.scripts = {{kind, 0}, {Kind::kRefused}, {Kind::kNotSent}};
      RecordingObserver observer;
      const auto handle = world.start(observer);
      world.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT(world.wholeAnswer(observer));
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.engines.started.size());
    }
    World world;
    world.service().repeatable = false;
    world.router.prefill_name = "prefill-1";
    world.router.names = {"engine-1"};
    world.engines.scripts = {{Kind::kBrokenAt, 0}, {Kind::kRefused}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
  }

  void silenceDoesNotEndARequestThatMayNotBeRepeated() {
    for (const std::uint32_t position : {0U, 3U}) {
      World world;
      world.service().repeatable = false;
      world.service().time_limit = seconds(60);
      world.engines.scripts = {{Kind::kSilentAt, position}};
      RecordingObserver observer;
      const auto handle = world.start(observer);
      world.process.time.runFor(seconds(60) - milliseconds(1));
      CPPUNIT_ASSERT_EQUAL(0, observer.ends);
      world.process.time.runFor(milliseconds(1));
      CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
      assertNothingHeld(world);
    }
  }

  void silentEngineIsHeldToTheDeadlineOnly() {
    World world(ExecutionSettings{}, testing::withRetryBurst(0));
    world.engines.scripts = {{Kind::kSilentAt, 3}};
    auto call = World::call();
    call.time_limit = seconds(30);
    RecordingObserver observer;
    const auto handle = world.executor.start(call, observer);
    world.process.time.runFor(seconds(29));
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    world.process.time.runFor(seconds(1));
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
  }

  void shorterTimeLimitCounts() {
    for (const auto& [service, caller] : {std::pair{seconds(2), seconds(9)},
                                          {seconds(9), seconds(2)},
                                          {seconds(0), seconds(2)},
                                          {seconds(2), seconds(0)}}) {
      World world;
      world.service().time_limit = service;
      world.engines.token_time = milliseconds(600);
      auto call = World::call();
      call.time_limit = caller;
      RecordingObserver observer;
      const auto handle = world.executor.start(call, observer);
      world.process.time.runFor(seconds(2) - milliseconds(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observer.tokens.size());
      CPPUNIT_ASSERT_EQUAL(0, observer.ends);
      world.process.time.runFor(milliseconds(1));
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT(world.engines.started.at(0).second.time_limit == seconds(2));
      world.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT_EQUAL(1, observer.ends);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observer.tokens.size());
      assertNothingHeld(world);
    }
  }

  void deadlineBeforeAnyRunIsNotRun() {
    World world;
    world.service().time_limit = milliseconds(70);
    world.engines.scripts.assign(8, {Kind::kRefused});
    world.engines.token_time = milliseconds(30);
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(milliseconds(65));
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    CPPUNIT_ASSERT(world.engines.started.at(1).second.time_limit == milliseconds(40));
    CPPUNIT_ASSERT(world.router.requests.at(1).first_token_limit == milliseconds(40));
    // The third attempt waits for its turn when the time is over.
    world.process.time.runFor(milliseconds(5));
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
    const auto started = world.engines.started.size();
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(started, world.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(1, observer.ends);
    assertNothingHeld(world);
  }

  void deadlineWhileThePromptIsComputedIsNotRun() {
    World world;
    world.service().repeatable = false;
    world.service().time_limit = milliseconds(50);
    world.router.prefill_name = "prefill-1";
    world.engines.scripts = {{Kind::kSilentAt, 0}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    assertNothingHeld(world);
  }

  void pausedProcessStartsNothingBeyondTheDeadline() {
    for (const auto kind : {Kind::kGood, Kind::kRefused}) {
      World world;
      world.service().repeatable = false;
      world.service().time_limit = seconds(1);
      world.router.prefill_name = "prefill-1";
      world.engines.scripts = {{kind, 0}};
      RecordingObserver observer;
      const auto handle = world.start(observer);
      // After the engine's answer, before what follows from it.
      world.process.time.schedule(world.engines.token_time,
                                  [&world] { world.process.clock.late_by = seconds(1); });
      world.process.time.runFor(world.engines.token_time);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.engines.started.size());
      CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
      assertNothingHeld(world);
    }
  }

  void declaredRunsReplaceTheNodesOwn() {
    for (const std::uint32_t runs : {1U, 2U, 6U}) {
      World world;
      world.router.names.assign({"a", "b", "c", "d", "e", "f", "g"});
      world.service().maximum_runs = runs;
      world.engines.scripts.assign(9, {Kind::kBrokenAt, 0});
      RecordingObserver observer;
      const auto handle = world.start(observer);
      world.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT_EQUAL(std::size_t{runs}, world.engines.started.size());
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
    }
  }

  void refusedAttemptsDrawOnTheBudget() {
    ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    auto limits = testing::withRetryBurst(1);
    limits.fleet_share = 0;
    World world(settings, limits);
    world.engines.scripts = {
        {Kind::kNotSent}, {Kind::kRefused}, {Kind::kNotSent}, {Kind::kRefused}, {Kind::kRefused}};
    RecordingObserver observer;
    const auto handle = world.start(observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.engines.started.size());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after > common::Duration{0});
    assertNothingHeld(world);
  }

  void refusedAttemptsStayWithinTheShare() {
    ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    auto limits = testing::withRetryBurst(3);
    // All requests fall into one window.
    limits.window = std::chrono::minutes(10);
    World world(settings, limits);
    world.service().maximum_runs = 3;
    for (int number = 0; number < 300; ++number) {
      world.engines.scripts.push_back({number % 2 == 0 ? Kind::kRefused : Kind::kBrokenAt, 0});
    }
    constexpr std::size_t kRequests = 100;
    for (std::size_t number = 0; number < kRequests; ++number) {
      RecordingObserver observer;
      const auto handle = world.start(observer);
      world.process.time.runFor(seconds(1));
      CPPUNIT_ASSERT_EQUAL(1, observer.ends);
    }
    const auto extra = world.engines.started.size() - kRequests;
    CPPUNIT_ASSERT(extra > 3);
    CPPUNIT_ASSERT(extra <= 13);
  }

  void longFirstTokenLimitIsGivenToTheRouter() {
    World world;
    world.service().first_token_limit = std::chrono::hours(24);
    auto call = World::call();
    call.time_limit = seconds(20);
    RecordingObserver observer;
    const auto handle = world.executor.start(call, observer);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(world.wholeAnswer(observer));
    CPPUNIT_ASSERT(world.router.requests.at(0).first_token_limit == seconds(20));
  }

 private:
  static execution::ModelCall knownAgain() {
    auto call = World::call();
    call.fingerprint = kFingerprint;
    return call;
  }
  static ModelCall passedThrough(const std::string& body) {
    auto call = World::call("");
    call.pass_through = std::make_shared<const engines::PassThroughRequest>(
        engines::PassThroughRequest{"POST", "/chat", {}, body});
    return call;
  }

  static void assertNothingHeld(const World& world) {
    CPPUNIT_ASSERT_EQUAL(0, world.admission.held);
    CPPUNIT_ASSERT_EQUAL(0, world.router.open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelRequestTest);

}  // namespace
}  // namespace cypresswall::execution
