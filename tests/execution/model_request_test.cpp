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
using Fixture = testing::ModelExecutorFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLongRun = std::chrono::minutes(5);
constexpr common::RequestFingerprint kFingerprint = 17;

class ModelRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelRequestTest);
  CPPUNIT_TEST(forwardsRequestUnchangedAndHeadOnce);
  CPPUNIT_TEST(resumesAfterLastResumablePosition);
  CPPUNIT_TEST(answerWithoutResumePositionIsNotRestarted);
  CPPUNIT_TEST(requestThatMayHaveRunIsNotRepeated);
  CPPUNIT_TEST(requestThatDidNotRunIsRepeated);
  CPPUNIT_TEST(onlyRepeatableRequestsReuseConnections);
  CPPUNIT_TEST(staleConnectionIsRepeatedOnAFreshOne);
  CPPUNIT_TEST(withoutRetryBudgetConnectionsAreFresh);
  CPPUNIT_TEST(failedPrefillIsRepeated);
  CPPUNIT_TEST(stallDoesNotEndNonRepeatableRequest);
  CPPUNIT_TEST(stalledAttemptWithoutRetryBudgetRunsUntilDeadline);
  CPPUNIT_TEST(shorterTimeLimitApplies);
  CPPUNIT_TEST(deadlineBeforeAnyRunReportsNotRun);
  CPPUNIT_TEST(deadlineDuringPrefillReportsNotRun);
  CPPUNIT_TEST(pausedProcessStartsNoAttemptAfterDeadline);
  CPPUNIT_TEST(declaredRunLimitOverridesDefault);
  CPPUNIT_TEST(refusedAttemptsAreChargedToRetryBudget);
  CPPUNIT_TEST(refusedAttemptsStayWithinRetryShare);
  CPPUNIT_TEST(callersTimeLimitCapsFirstTokenLimit);
  CPPUNIT_TEST(onlyTheFirstAttemptIsPlannedWithinTheTarget);
  CPPUNIT_TEST(firstTokenLimitAppliesWhenTargetIsDisabled);
  CPPUNIT_TEST(quarantinedRequestIsRefusedImmediately);
  CPPUNIT_TEST(requestQuarantinedBetweenAttemptsIsNotSentAgain);
  CPPUNIT_TEST(quarantineDuringPrefillPreventsDecode);
  CPPUNIT_TEST(brokenStreamsAndAnswersAreReportedToQuarantine);
  CPPUNIT_TEST(refusalsAndStallsAreNotCrashes);
  CPPUNIT_TEST(usageIsRecordedOnceAtFirstToken);
  CPPUNIT_TEST(revokedKeyStopsRequestThatHasNotRun);
  CPPUNIT_TEST(tenantUrgencyOverridesServiceUrgency);
  CPPUNIT_TEST(rateLimitsOfAllAnswersAreReported);
  CPPUNIT_TEST(routerHearsTheTimeLeftToFinish);
  CPPUNIT_TEST(outputIsReportedWhileItArrivesAndAtTheEnd);
  CPPUNIT_TEST(outputOfBrokenAndAbandonedAttemptsIsReported);
  CPPUNIT_TEST(timeInWhichTheCallerDoesNotReadIsNotReported);
  CPPUNIT_TEST(startingNodeWaitsForTheStateOfEngines);
  CPPUNIT_TEST(requestThatTakesAnAnswerUpWaitsForTheStateOfEngines);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Load: callers return to a node that has just started and has not read its engines' load.
  void startingNodeWaitsForTheStateOfEngines() {
    execution::ExecutionSettings settings;
    settings.startup_hold = milliseconds(500);
    Fixture fixture(settings);
    fixture.router.refuses = true;
    RecordingObserver served;
    const auto first = fixture.start(served);
    fixture.process.time.runFor(milliseconds(200));
    CPPUNIT_ASSERT(!served.error);
    fixture.router.refuses = false;
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(served.done);
    // Later, and for longer than the limit, it refuses at once.
    fixture.router.refuses = true;
    RecordingObserver refused;
    const auto second = fixture.start(refused);
    fixture.process.time.runFor(milliseconds(1));
    CPPUNIT_ASSERT(refused.error.has_value());
  }

  /// Guards against refusing whatever is taken up at a node that was paused and knows no engine's
  /// state for a second: the caller has part of the answer, and the other nodes may have ended.
  void requestThatTakesAnAnswerUpWaitsForTheStateOfEngines() {
    Fixture fixture;
    fixture.process.time.runFor(kLongRun);
    fixture.router.refuses = true;
    auto call = Fixture::call();
    call.continues = execution::AnswerContinuation{"begun", "4"};
    RecordingObserver served;
    const auto first = fixture.executor.start(call, served);
    fixture.process.time.runFor(milliseconds(1000));
    CPPUNIT_ASSERT(!served.error);
    fixture.router.refuses = false;
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(served.done);
    // For a bounded time, and not within a limit that the caller has set shorter.
    fixture.router.refuses = true;
    RecordingObserver refused;
    const auto second = fixture.executor.start(call, refused);
    fixture.process.time.runFor(milliseconds(1600));
    CPPUNIT_ASSERT(refused.error.has_value());
    call.time_limit = milliseconds(300);
    RecordingObserver hurried;
    const auto third = fixture.executor.start(call, hurried);
    fixture.process.time.runFor(milliseconds(300));
    CPPUNIT_ASSERT(hurried.error.has_value());
    CPPUNIT_ASSERT(hurried.error->outcome == Outcome::kNotRun);
  }

  void usageIsRecordedOnceAtFirstToken() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kRefused}, {Kind::kBrokenAt, 2}};
    RecordingObserver observer;
    auto call = Fixture::call();
    call.tenant = "porter";
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(1, fixture.usage.began["porter"]);
  }

  void revokedKeyStopsRequestThatHasNotRun() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kRefused}};
    RecordingObserver observer;
    auto call = Fixture::call();
    bool allowed = true;
    call.still_allowed = [&allowed] { return allowed; };
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(milliseconds(1));
    allowed = false;
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kKeyRevoked);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(0, fixture.router.open);
    CPPUNIT_ASSERT_EQUAL(0, fixture.admission.held);
    CPPUNIT_ASSERT(fixture.usage.began.empty());
  }

  void tenantUrgencyOverridesServiceUrgency() {
    Fixture fixture;
    RecordingObserver observer;
    auto call = Fixture::call();
    call.urgency = configuration::Urgency::kLow;
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(admission::enginePriority(configuration::Urgency::kLow, false),
                         fixture.router.requests.front().priority);
  }

  void routerHearsTheTimeLeftToFinish() {
    Fixture fixture;
    fixture.service().time_limit = seconds(9);
    fixture.engines.scripts = {{Kind::kBrokenAt, 1}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.router.requests.at(0).finish_limit == seconds(9));
    CPPUNIT_ASSERT(fixture.router.requests.at(1).finish_limit < seconds(9));
    CPPUNIT_ASSERT(fixture.router.requests.at(1).finish_limit > seconds(8));

    Fixture unlimited;
    const auto second = unlimited.start(observer);
    CPPUNIT_ASSERT(unlimited.router.requests.at(0).finish_limit == common::Duration{0});
  }

  void outputIsReportedWhileItArrivesAndAtTheEnd() {
    Fixture fixture;
    fixture.engines.answer_tokens = 60;
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.router.samples.size());
    fixture.process.time.runFor(kLongRun);
    const auto total = totalOutput(fixture);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{59}, total.tokens);
    CPPUNIT_ASSERT(total.duration == 59 * fixture.engines.token_time);
    CPPUNIT_ASSERT(total.longest_pause == fixture.engines.token_time);
  }

  void outputOfBrokenAndAbandonedAttemptsIsReported() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kBrokenAt, 4}};
    RecordingObserver observer;
    auto handle = fixture.start(observer);
    fixture.process.time.runFor(5 * fixture.engines.token_time);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, totalOutput(fixture).tokens);
    fixture.process.time.runFor(4 * fixture.engines.token_time);
    handle.reset();
    CPPUNIT_ASSERT_EQUAL(observer.tokens.size() - 2, std::size_t{totalOutput(fixture).tokens});
    CPPUNIT_ASSERT(totalOutput(fixture).longest_pause == fixture.engines.token_time);
  }

  void timeInWhichTheCallerDoesNotReadIsNotReported() {
    Fixture fixture;
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(5 * fixture.engines.token_time);
    handle->pause();
    fixture.process.time.runFor(seconds(9));
    handle->resume();
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{10}, totalOutput(fixture).tokens);
    CPPUNIT_ASSERT(totalOutput(fixture).longest_pause == fixture.engines.token_time);
  }

  /// Covers the rate limits in a refusal, in a prefill answer and in the final answer.
  void rateLimitsOfAllAnswersAreReported() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kRefused}};
    fixture.engines.rate_limit = common::namedRateLimit(1.5);
    fixture.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(fixture.engines.started.size(), fixture.rate_limiter.notices.size());
    for (std::size_t i = 0; i < fixture.engines.started.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(fixture.engines.started[i].first, fixture.rate_limiter.notices[i].first);
      CPPUNIT_ASSERT(common::namedRateLimit(1.5) == fixture.rate_limiter.notices[i].second);
    }
  }

  void quarantinedRequestIsRefusedImmediately() {
    Fixture fixture({}, testing::withRetryBurst(0));
    fixture.quarantine.quarantined = {kFingerprint};
    RecordingObserver observer;
    const auto handle = fixture.executor.start(callWithFingerprint(), observer);
    fixture.process.time.runFor(milliseconds(1));
    CPPUNIT_ASSERT(observer.error.has_value());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kQuarantined);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after == std::chrono::minutes(1));
    CPPUNIT_ASSERT(fixture.engines.started.empty() && fixture.router.requests.empty());
    CPPUNIT_ASSERT_EQUAL(0, fixture.admission.held);
    CPPUNIT_ASSERT_EQUAL(0.0, fixture.retries.of("dispatch").left());
  }

  void requestQuarantinedBetweenAttemptsIsNotSentAgain() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kBrokenAt, 0}};
    RecordingObserver observer;
    const auto handle = fixture.executor.start(callWithFingerprint(), observer);
    fixture.process.time.runFor(milliseconds(1));
    fixture.quarantine.quarantined = {kFingerprint};
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
    // The request reached an engine, so it must not be reported as not run.
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(0, fixture.router.open);
    CPPUNIT_ASSERT_EQUAL(0, fixture.admission.held);
  }

  void quarantineDuringPrefillPreventsDecode() {
    Fixture fixture;
    fixture.router.prefill_name = "prefill-1";
    RecordingObserver observer;
    const auto handle = fixture.executor.start(callWithFingerprint(), observer);
    fixture.process.time.runFor(milliseconds(1));
    fixture.quarantine.quarantined = {kFingerprint};
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(0, fixture.router.open);
  }

  void brokenStreamsAndAnswersAreReportedToQuarantine() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kBrokenAt, 3}};
    RecordingObserver observer;
    const auto handle = fixture.executor.start(callWithFingerprint(), observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.quarantine.broken.size());
    CPPUNIT_ASSERT_EQUAL(kFingerprint, fixture.quarantine.broken[0].first);
    CPPUNIT_ASSERT_EQUAL(fixture.engines.started[0].first, fixture.quarantine.broken[0].second);
    CPPUNIT_ASSERT(fixture.quarantine.answers == std::vector{kFingerprint});
  }

  void refusalsAndStallsAreNotCrashes() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kRefused}, {Kind::kNotSent}, {Kind::kSilentAt, 2}};
    RecordingObserver observer;
    const auto handle = fixture.executor.start(callWithFingerprint(), observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT(fixture.quarantine.broken.empty());
  }

  void onlyTheFirstAttemptIsPlannedWithinTheTarget() {
    Fixture fixture;
    fixture.service().first_token_limit = seconds(2);
    fixture.service().first_token_target = milliseconds(200);
    fixture.engines.scripts = {{Kind::kRefused}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.router.requests.at(0).first_token_limit == milliseconds(170));
    CPPUNIT_ASSERT(fixture.router.requests.at(1).first_token_limit > milliseconds(1900));
  }

  void firstTokenLimitAppliesWhenTargetIsDisabled() {
    ExecutionSettings settings;
    settings.admits_within_target = false;
    Fixture fixture(settings);
    fixture.service().first_token_limit = seconds(2);
    fixture.service().first_token_target = milliseconds(200);
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.router.requests.at(0).first_token_limit == seconds(2));
  }

  void forwardsRequestUnchangedAndHeadOnce() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kBrokenAt, 5}};
    auto call = Fixture::call("");
    engines::PassThroughRequest request{
        "POST", "/chat?x=%20", {{"X-One", "1"}}, "{ \"raw\" : 1}\n"};
    call.pass_through = std::make_shared<const engines::PassThroughRequest>(request);
    RecordingObserver observer;
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer, request.body));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.heads.size());
    const auto& first = fixture.engines.started.at(0).second;
    CPPUNIT_ASSERT_EQUAL(std::to_string(first.attempt), observer.heads[0].headers.at(0).value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.engines.started.size());
    for (const auto& [engine, attempt] : fixture.engines.started) {
      CPPUNIT_ASSERT_EQUAL(request.target, attempt.pass_through->target);
      CPPUNIT_ASSERT_EQUAL(request.body, attempt.pass_through->body);
      CPPUNIT_ASSERT(request.headers == attempt.pass_through->headers);
    }
  }

  void resumesAfterLastResumablePosition() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kBrokenAt, 5}};
    fixture.engines.tokens_without_position = {expectedToken("ask", 4)};
    RecordingObserver observer;
    const auto handle = fixture.executor.start(passThroughCall("ask"), observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(expectedToken("ask", 3), fixture.engines.started.at(1).second.last_token);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, fixture.engines.started.at(1).second.resume_from);
  }

  void answerWithoutResumePositionIsNotRestarted() {
    Fixture fixture;
    fixture.engines.scripts = {{Kind::kBrokenAt, 2}};
    fixture.engines.tokens_without_position = {expectedToken("ask", 0), expectedToken("ask", 1)};
    RecordingObserver observer;
    const auto handle = fixture.executor.start(passThroughCall("ask"), observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
    CPPUNIT_ASSERT(observer.error.has_value());
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
  }

  void requestThatMayHaveRunIsNotRepeated() {
    for (const StreamScript script :
         {StreamScript{Kind::kBrokenAt, 0}, {Kind::kBrokenAt, 5}, {Kind::kLosesAt, 2}}) {
      Fixture fixture;
      fixture.service().repeatable = false;
      fixture.engines.scripts = {script};
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kBackendFailed);
      assertNothingHeld(fixture);
    }
  }

  void onlyRepeatableRequestsReuseConnections() {
    for (const bool repeatable : {false, true}) {
      Fixture fixture;
      fixture.service().repeatable = repeatable;
      fixture.router.prefill_name = "prefill-1";
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.engines.started.size());
      CPPUNIT_ASSERT(fixture.engines.started[0].second.may_reuse_connection);
      CPPUNIT_ASSERT_EQUAL(repeatable, fixture.engines.started[1].second.may_reuse_connection);
    }
  }

  void staleConnectionIsRepeatedOnAFreshOne() {
    Fixture fixture;
    fixture.router.names = {"engine-1"};
    fixture.engines.scripts = {{Kind::kStale}, {Kind::kStale}};
    RecordingObserver observer;
    const auto handle = fixture.executor.start(callWithFingerprint(), observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.engines.started.size());
    CPPUNIT_ASSERT(!fixture.engines.started[1].second.may_reuse_connection);
    CPPUNIT_ASSERT(fixture.quarantine.broken.empty());
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.count("cypresswall_execution_model_retries_total"));
  }

  void withoutRetryBudgetConnectionsAreFresh() {
    Fixture fixture;
    while (fixture.retries.of("dispatch").withdraw()) {
    }
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(!fixture.engines.started.front().second.may_reuse_connection);
  }

  void requestThatDidNotRunIsRepeated() {
    Fixture fixture;
    fixture.service().repeatable = false;
    fixture.engines.scripts = {{Kind::kRefused}, {Kind::kNotSent}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.engines.started.size());
  }

  void failedPrefillIsRepeated() {
    for (const auto kind : {Kind::kBrokenAt, Kind::kSilentAt}) {
      Fixture fixture;
      fixture.service().repeatable = false;
      fixture.router.prefill_name = "prefill-1";
      fixture.engines.scripts = {{kind, 0}, {Kind::kRefused}, {Kind::kNotSent}};
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.engines.started.size());
    }
    Fixture fixture;
    fixture.service().repeatable = false;
    fixture.router.prefill_name = "prefill-1";
    fixture.router.names = {"engine-1"};
    fixture.engines.scripts = {{Kind::kBrokenAt, 0}, {Kind::kRefused}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
  }

  void stallDoesNotEndNonRepeatableRequest() {
    for (const std::uint32_t position : {0U, 3U}) {
      Fixture fixture;
      fixture.service().repeatable = false;
      fixture.service().time_limit = seconds(60);
      fixture.engines.scripts = {{Kind::kSilentAt, position}};
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      fixture.process.time.runFor(seconds(60) - milliseconds(1));
      CPPUNIT_ASSERT_EQUAL(0, observer.ends);
      fixture.process.time.runFor(milliseconds(1));
      CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
      assertNothingHeld(fixture);
    }
  }

  void stalledAttemptWithoutRetryBudgetRunsUntilDeadline() {
    Fixture fixture(ExecutionSettings{}, testing::withRetryBurst(0));
    fixture.engines.scripts = {{Kind::kSilentAt, 3}};
    auto call = Fixture::call();
    call.time_limit = seconds(30);
    RecordingObserver observer;
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(seconds(29));
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    fixture.process.time.runFor(seconds(1));
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
  }

  void shorterTimeLimitApplies() {
    for (const auto& [service, caller] : {std::pair{seconds(2), seconds(9)},
                                          {seconds(9), seconds(2)},
                                          {seconds(0), seconds(2)},
                                          {seconds(2), seconds(0)}}) {
      Fixture fixture;
      fixture.service().time_limit = service;
      fixture.engines.token_time = milliseconds(600);
      auto call = Fixture::call();
      call.time_limit = caller;
      RecordingObserver observer;
      const auto handle = fixture.executor.start(call, observer);
      fixture.process.time.runFor(seconds(2) - milliseconds(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observer.tokens.size());
      CPPUNIT_ASSERT_EQUAL(0, observer.ends);
      fixture.process.time.runFor(milliseconds(1));
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT(fixture.engines.started.at(0).second.time_limit == seconds(2));
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT_EQUAL(1, observer.ends);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observer.tokens.size());
      assertNothingHeld(fixture);
    }
  }

  void deadlineBeforeAnyRunReportsNotRun() {
    Fixture fixture;
    fixture.service().time_limit = milliseconds(70);
    fixture.engines.scripts.assign(8, {Kind::kRefused});
    fixture.engines.token_time = milliseconds(30);
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(milliseconds(65));
    CPPUNIT_ASSERT_EQUAL(0, observer.ends);
    CPPUNIT_ASSERT(fixture.engines.started.at(1).second.time_limit == milliseconds(40));
    CPPUNIT_ASSERT(fixture.router.requests.at(1).first_token_limit == milliseconds(40));
    // The deadline passes during the back-off before the third attempt.
    fixture.process.time.runFor(milliseconds(5));
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
    const auto started = fixture.engines.started.size();
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(started, fixture.engines.started.size());
    CPPUNIT_ASSERT_EQUAL(1, observer.ends);
    assertNothingHeld(fixture);
  }

  void deadlineDuringPrefillReportsNotRun() {
    Fixture fixture;
    fixture.service().repeatable = false;
    fixture.service().time_limit = milliseconds(50);
    fixture.router.prefill_name = "prefill-1";
    fixture.engines.scripts = {{Kind::kSilentAt, 0}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    assertNothingHeld(fixture);
  }

  void pausedProcessStartsNoAttemptAfterDeadline() {
    for (const auto kind : {Kind::kGood, Kind::kRefused}) {
      Fixture fixture;
      fixture.service().repeatable = false;
      fixture.service().time_limit = seconds(1);
      fixture.router.prefill_name = "prefill-1";
      fixture.engines.scripts = {{kind, 0}};
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      // The pause happens after the engine's answer and before the resulting scheduled step.
      fixture.process.time.schedule(fixture.engines.token_time,
                                    [&fixture] { fixture.process.clock.late_by = seconds(1); });
      fixture.process.time.runFor(fixture.engines.token_time);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.engines.started.size());
      CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kDeadlineExceeded);
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
      assertNothingHeld(fixture);
    }
  }

  void declaredRunLimitOverridesDefault() {
    for (const std::uint32_t runs : {1U, 2U, 6U}) {
      Fixture fixture;
      fixture.router.names.assign({"a", "b", "c", "d", "e", "f", "g"});
      fixture.service().maximum_runs = runs;
      fixture.engines.scripts.assign(9, {Kind::kBrokenAt, 0});
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT_EQUAL(std::size_t{runs}, fixture.engines.started.size());
      CPPUNIT_ASSERT(observer.error->outcome == Outcome::kUnknown);
    }
  }

  void refusedAttemptsAreChargedToRetryBudget() {
    ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    auto limits = testing::withRetryBurst(1);
    limits.fleet_share = 0;
    Fixture fixture(settings, limits);
    fixture.engines.scripts = {
        {Kind::kNotSent}, {Kind::kRefused}, {Kind::kNotSent}, {Kind::kRefused}, {Kind::kRefused}};
    RecordingObserver observer;
    const auto handle = fixture.start(observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.engines.started.size());
    CPPUNIT_ASSERT(observer.error->kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(observer.error->outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(observer.error->retry_after > common::Duration{0});
    assertNothingHeld(fixture);
  }

  void refusedAttemptsStayWithinRetryShare() {
    ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    auto limits = testing::withRetryBurst(3);
    // All requests fall into one retry-budget window.
    limits.window = std::chrono::minutes(10);
    Fixture fixture(settings, limits);
    fixture.service().maximum_runs = 3;
    for (int number = 0; number < 300; ++number) {
      fixture.engines.scripts.push_back({number % 2 == 0 ? Kind::kRefused : Kind::kBrokenAt, 0});
    }
    constexpr std::size_t kRequests = 100;
    for (std::size_t number = 0; number < kRequests; ++number) {
      RecordingObserver observer;
      const auto handle = fixture.start(observer);
      fixture.process.time.runFor(seconds(1));
      CPPUNIT_ASSERT_EQUAL(1, observer.ends);
    }
    const auto extra = fixture.engines.started.size() - kRequests;
    CPPUNIT_ASSERT(extra > 3);
    CPPUNIT_ASSERT(extra <= 13);
  }

  void callersTimeLimitCapsFirstTokenLimit() {
    Fixture fixture;
    fixture.service().first_token_limit = std::chrono::hours(24);
    auto call = Fixture::call();
    call.time_limit = seconds(20);
    RecordingObserver observer;
    const auto handle = fixture.executor.start(call, observer);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(fixture.wholeAnswer(observer));
    CPPUNIT_ASSERT(fixture.router.requests.at(0).first_token_limit == seconds(20));
  }

 private:
  static routing::OutputSample totalOutput(const Fixture& fixture) {
    routing::OutputSample total;
    for (const auto& [stream, sample] : fixture.router.samples) {
      CPPUNIT_ASSERT_EQUAL(fixture.engines.started.front().second.stream_id, stream);
      total.tokens += sample.tokens;
      total.duration += sample.duration;
      total.longest_pause = std::max(total.longest_pause, sample.longest_pause);
    }
    return total;
  }
  static execution::ModelCall callWithFingerprint() {
    auto call = Fixture::call();
    call.fingerprint = kFingerprint;
    return call;
  }
  static ModelCall passThroughCall(const std::string& body) {
    auto call = Fixture::call("");
    call.pass_through = std::make_shared<const engines::PassThroughRequest>(
        engines::PassThroughRequest{"POST", "/chat", {}, body});
    return call;
  }

  static void assertNothingHeld(const Fixture& fixture) {
    CPPUNIT_ASSERT_EQUAL(0, fixture.admission.held);
    CPPUNIT_ASSERT_EQUAL(0, fixture.router.open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelRequestTest);

}  // namespace
}  // namespace cypresswall::execution
