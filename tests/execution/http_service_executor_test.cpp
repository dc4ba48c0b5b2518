#include "cypresswall/execution/http_service_executor.h"

#include <optional>
#include <vector>

#include "cypresswall/execution/recorded_answer.h"
#include "tests/execution/fake_services.h"
#include "tests/execution/process_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::execution {
namespace {

using idempotency::ClaimVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallScript;

constexpr auto kLongRun = std::chrono::minutes(5);

/// Two executors that share claims and back ends, as two nodes of a zone do.
struct Fixture {
  explicit Fixture(const ExecutionSettings& settings = {},
                   const fleet_limits::RetryLimitSettings& retry_limits = {})
      : retries(retry_limits, process.context, [] { return 1.0; }),
        interfaces{configuration, membership,   admission,  client, claims,
                   retries,       rate_limiter, quarantine, usage,  announced},
        first(process.context, interfaces, settings),
        second(process.context, interfaces, settings) {
    auto& service = configuration.fleet.http_services["booking"];
    service.name = "booking";
    service.backends = {{"quay", "machine-1", "127.0.0.1:11"},
                        {"quay", "machine-2", "127.0.0.1:12"},
                        {"yard", "machine-3", "127.0.0.1:13"}};
    service.operations = {{"POST", "/slots/search", true, seconds(2)},
                          {"POST", "/slots", false, seconds(2)}};
  }

  struct Caller {
    std::string request_id;
    std::unique_ptr<ServiceExecution> handle;
    std::vector<ServiceCallAnswer> answers;
    bool abandoned = false;
    const ServiceCallAnswer& answer() const { return answers.at(0); }
  };

  static ServiceCallRequest request(const std::string& method, const std::string& target,
                                    const std::string& key = "") {
    ServiceCallRequest request;
    request.service = "booking";
    request.method = method;
    request.target = target;
    request.body = "{}";
    request.idempotency_key = key;
    return request;
  }

  std::shared_ptr<Caller> start(ServiceCallRequest request, bool at_second = false) {
    auto caller = std::make_shared<Caller>();
    caller->request_id = "request-" + std::to_string(next_request++);
    request.request_id = caller->request_id;
    auto& executor = at_second ? second : first;
    caller->handle = executor.start(std::move(request), [caller](ServiceCallAnswer answer) {
      caller->answers.push_back(std::move(answer));
    });
    return caller;
  }
  ServiceCallAnswer callAndWait(ServiceCallRequest request) {
    const auto caller = start(std::move(request));
    process.time.runFor(kLongRun);
    return caller->answer();
  }
  int runsOfKey(const std::string& key) const {
    const auto entry = client.runs_by_key.find(key);
    return entry == client.runs_by_key.end() ? 0 : entry->second;
  }
  int runsOf(const std::string& request_id) const {
    const auto entry = client.runs_by_request.find(request_id);
    return entry == client.runs_by_request.end() ? 0 : entry->second;
  }
  bool idle() const { return first.running() == 0 && second.running() == 0 && admission.held == 0; }

  testing::ProcessFixture process;
  testing::FixedConfiguration configuration;
  testing::FakeMembership membership;
  testing::FakeAdmission admission;
  testing::FakeServiceClient client{process.time};
  testing::FakeClaims claims{process.time};
  fleet_limits::RetryBudgets retries;
  testing::FakeRateLimiter rate_limiter;
  testing::FakeQuarantine quarantine;
  testing::FakeUsage usage;
  availability::AnnouncedAvailability announced{{}, process.context};
  ServiceInterfaces interfaces;
  HttpServiceExecutor first;
  HttpServiceExecutor second;
  int next_request = 1;
};

class HttpServiceExecutorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServiceExecutorTest);
  CPPUNIT_TEST(relaysTheAnswer);
  CPPUNIT_TEST(retriesRepeatableOperations);
  CPPUNIT_TEST(internalErrorIsRetriedOnAnotherBackend);
  CPPUNIT_TEST(longestPathPrefixWins);
  CPPUNIT_TEST(unknownOutcomeIsNotRetried);
  CPPUNIT_TEST(provenNotRunIsRetriedElsewhere);
  CPPUNIT_TEST(refusalKeepsRetryAfterOfTheBackend);
  CPPUNIT_TEST(prefersOwnZoneAndSkipsLeavingMachines);
  CPPUNIT_TEST(sameKeyGetsTheRecordedAnswer);
  CPPUNIT_TEST(oversizedAnswerIsNeitherRecordedNorRunAgain);
  CPPUNIT_TEST(otherVerdictsRunNothing);
  CPPUNIT_TEST(abandonedOperationStillRecordsAnswer);
  CPPUNIT_TEST(lateGrantIsNotUsed);
  CPPUNIT_TEST(unknownServiceIsNotRun);
  CPPUNIT_TEST(callersTimeLimitBoundsEveryAttempt);
  CPPUNIT_TEST(claimDoesNotExtendCallersTimeLimit);
  CPPUNIT_TEST(declaredRunLimitOverridesDefault);
  CPPUNIT_TEST(refusedAttemptsAreChargedToRetryBudget);
  CPPUNIT_TEST(runsAtMostOnceUnderFaults);
  CPPUNIT_TEST(onlyRepeatableCallsReuseConnections);
  CPPUNIT_TEST(staleConnectionIsNoFailureOfTheBackend);
  CPPUNIT_TEST(quarantinedRequestIsRefusedImmediately);
  CPPUNIT_TEST(brokenCallsAndAnswersAreReportedToQuarantine);
  CPPUNIT_TEST(usageIsRecordedOncePerRequest);
  CPPUNIT_TEST(revokedKeyStopsNextAttempt);
  CPPUNIT_TEST(eachCallNeedsAPermitForItsBackend);
  CPPUNIT_TEST(exhaustedBackendsAreNotCalled);
  CPPUNIT_TEST(backendsThatLeaveAreNotCalled);
  CPPUNIT_TEST(pausedBackendsAreNotCalled);
  CPPUNIT_TEST(backendThatPausesDuringPermitRequestIsNotCalled);
  CPPUNIT_TEST(nextLifeOfABackendIsCalled);
  CPPUNIT_TEST(callNamesTheChosenOfTwoBackendsAtOneAddress);
  CPPUNIT_TEST(misdirectedCallGoesElsewhereAtOnce);
  CPPUNIT_TEST(retryChoosesAmongBackendsDeclaredNow);
  CPPUNIT_TEST(permitIsNotUsedAfterAbandon);
  CPPUNIT_TEST(rateLimitOfAnswerIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void usageIsRecordedOncePerRequest() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kBrokenAfterRun};
    auto request = Fixture::request("GET", "/slots");
    request.tenant = "porter";
    CPPUNIT_ASSERT(fixture.callAndWait(request).outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
    CPPUNIT_ASSERT_EQUAL(1, fixture.usage.began["porter"]);
    fixture.quarantine.quarantined = {17};
    request.fingerprint = 17;
    fixture.callAndWait(request);
    CPPUNIT_ASSERT_EQUAL(1, fixture.usage.began["porter"]);
  }

  void revokedKeyStopsNextAttempt() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kBrokenAfterRun};
    auto request = Fixture::request("GET", "/slots");
    int asked = 0;
    request.still_allowed = [&asked] { return ++asked < 3; };
    const auto answer = fixture.callAndWait(std::move(request));
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kKeyRevoked);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.calls.size());
    CPPUNIT_ASSERT(fixture.idle());
  }

  void eachCallNeedsAPermitForItsBackend() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kBrokenAfterRun};
    CPPUNIT_ASSERT(fixture.callAndWait(Fixture::request("GET", "/slots")).outcome ==
                   Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.rate_limiter.granted_to.size());
    fixture.rate_limiter.refusing = {fixture.rate_limiter.granted_to.begin(),
                                     fixture.rate_limiter.granted_to.end()};
    fixture.client.scripts.clear();
    fixture.client.calls.clear();
    const auto answer = fixture.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.calls.size());
    CPPUNIT_ASSERT(!fixture.rate_limiter.refusing.contains(fixture.client.calls[0].first.address));
  }

  void exhaustedBackendsAreNotCalled() {
    Fixture fixture;
    for (const auto& backend : fixture.configuration.fleet.http_services["booking"].backends) {
      fixture.rate_limiter.known.insert(backend.address);
    }
    const auto answer = fixture.callAndWait(Fixture::request("POST", "/book"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(answer.error.retry_after == fixture.rate_limiter.retry_after);
    CPPUNIT_ASSERT(fixture.client.calls.empty());
    CPPUNIT_ASSERT(fixture.idle());
  }

  void backendsThatLeaveAreNotCalled() {
    Fixture fixture;
    fixture.announced.answered("machine-1@127.0.0.1:11", {true});
    fixture.announced.answered("machine-2@127.0.0.1:12", {true});
    CPPUNIT_ASSERT(fixture.callAndWait(Fixture::request("POST", "/slots")).outcome ==
                   Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:13"), fixture.client.calls[0].first.address);
    fixture.announced.answered("machine-3@127.0.0.1:13", {true});
    const auto answer = fixture.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kNoBackend);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.calls.size());
  }

  void pausedBackendsAreNotCalled() {
    Fixture fixture;
    fixture.announced.answered("machine-1@127.0.0.1:11", {false, seconds(9)});
    fixture.announced.answered("machine-2@127.0.0.1:12", {false, seconds(4)});
    fixture.announced.answered("machine-3@127.0.0.1:13", {true, seconds(1)});
    const auto caller = fixture.start(Fixture::request("POST", "/slots"));
    fixture.process.time.runFor(milliseconds(1));
    const ServiceCallAnswer& answer = caller->answer();
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(answer.error.retry_after >= seconds(4) - milliseconds(1));
    CPPUNIT_ASSERT(answer.error.retry_after <= seconds(7));
    CPPUNIT_ASSERT(fixture.client.calls.empty());
    fixture.process.time.runFor(seconds(6));
    CPPUNIT_ASSERT(fixture.callAndWait(Fixture::request("POST", "/slots")).outcome ==
                   Outcome::kDone);
  }

  void backendThatPausesDuringPermitRequestIsNotCalled() {
    Fixture fixture;
    fixture.rate_limiter.answers_late = true;
    const auto caller = fixture.start(Fixture::request("POST", "/slots"));
    fixture.process.time.runFor(milliseconds(1));
    for (const char* server : {"machine-1@127.0.0.1:11", "machine-2@127.0.0.1:12"}) {
      fixture.announced.answered(server, {false, seconds(9)});
    }
    fixture.rate_limiter.answerAll();
    CPPUNIT_ASSERT(fixture.client.calls.empty());
    fixture.rate_limiter.answers_late = false;
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(caller->answer().outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:13"), fixture.client.calls[0].first.address);
  }

  void nextLifeOfABackendIsCalled() {
    Fixture fixture;
    auto& backends = fixture.configuration.fleet.http_services["booking"].backends;
    backends.resize(1);
    fixture.announced.answered("machine-1@127.0.0.1:11", {true, seconds(60)});
    backends[0].machine = "machine-1-restarted";
    CPPUNIT_ASSERT(fixture.callAndWait(Fixture::request("POST", "/slots")).outcome ==
                   Outcome::kDone);
  }

  /// Guards against calls that name, or are kept from, another back end which is declared at the
  /// same address.
  void callNamesTheChosenOfTwoBackendsAtOneAddress() {
    Fixture fixture;
    fixture.configuration.fleet.http_services["booking"].backends = {
        {"quay", "machine-1", "127.0.0.1:11"}, {"quay", "machine-2", "127.0.0.1:11"}};
    fixture.announced.answered("machine-1@127.0.0.1:11", {true});
    CPPUNIT_ASSERT(fixture.callAndWait(Fixture::request("POST", "/slots")).outcome ==
                   Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("machine-2@127.0.0.1:11"),
                         fixture.client.calls.at(0).first.toString());
  }

  /// Guards against refusing a call that may be sent to one back end only, since the first one had
  /// ended and another server had its address.
  void misdirectedCallGoesElsewhereAtOnce() {
    ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    settings.maximum_runs = 1;
    Fixture fixture(settings);
    fixture.client.scripts = {CallScript::kMisdirected};
    const auto caller = fixture.start(Fixture::request("POST", "/slots"));
    fixture.process.time.runFor(2 * fixture.client.answer_time + milliseconds(1));
    CPPUNIT_ASSERT(caller->answer().outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
    CPPUNIT_ASSERT(fixture.client.calls[0].first != fixture.client.calls[1].first);
    CPPUNIT_ASSERT_EQUAL(1, fixture.runsOf(caller->request_id));
  }

  /// Guards against retries at a back end that was taken out of the configuration after the request
  /// had begun.
  void retryChoosesAmongBackendsDeclaredNow() {
    for (int run = 0; run < 20; ++run) {
      Fixture fixture;
      fixture.client.scripts = {CallScript::kRefused};
      const auto caller = fixture.start(Fixture::request("POST", "/slots"));
      fixture.process.time.runFor(milliseconds(1));
      fixture.configuration.fleet.http_services["booking"].backends = {
          {"yard", "machine-3", "127.0.0.1:13"}};
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT(caller->answer().outcome == Outcome::kDone);
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:13"), fixture.client.calls.back().first.address);
    }
  }

  void permitIsNotUsedAfterAbandon() {
    for (const char* method : {"GET", "POST"}) {
      Fixture fixture;
      fixture.rate_limiter.answers_late = true;
      const auto caller = fixture.start(Fixture::request(method, "/slots"));
      fixture.process.time.runFor(milliseconds(1));
      caller->handle.reset();
      fixture.rate_limiter.answerAll();
      fixture.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT(fixture.client.calls.empty());
      CPPUNIT_ASSERT(fixture.idle());
    }
  }

  void rateLimitOfAnswerIsReported() {
    Fixture fixture;
    fixture.client.rate_limit = common::namedRateLimit(1.5);
    fixture.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.rate_limiter.notices.size());
    CPPUNIT_ASSERT_EQUAL(fixture.client.calls[0].first.address,
                         fixture.rate_limiter.notices[0].first);
    CPPUNIT_ASSERT(common::namedRateLimit(1.5) == fixture.rate_limiter.notices[0].second);
  }

  void quarantinedRequestIsRefusedImmediately() {
    Fixture fixture;
    fixture.quarantine.quarantined = {17};
    auto request = Fixture::request("GET", "/slots");
    request.fingerprint = 17;
    const auto answer = fixture.callAndWait(std::move(request));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kQuarantined);
    CPPUNIT_ASSERT(answer.error.retry_after == std::chrono::minutes(1));
    CPPUNIT_ASSERT(fixture.client.calls.empty());
    CPPUNIT_ASSERT(fixture.idle());
  }

  void brokenCallsAndAnswersAreReportedToQuarantine() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kBrokenAfterRun};
    auto request = Fixture::request("GET", "/slots");
    request.fingerprint = 17;
    const auto answer = fixture.callAndWait(std::move(request));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.quarantine.broken.size());
    CPPUNIT_ASSERT_EQUAL(fixture.client.calls[0].first.address,
                         fixture.quarantine.broken[0].second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.quarantine.answers.size());
  }

  void relaysTheAnswer() {
    Fixture fixture;
    const auto answer = fixture.callAndWait(Fixture::request("GET", "/slots?day=1"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer to request-1"), answer.body);
    CPPUNIT_ASSERT(fixture.idle());
  }

  void retriesRepeatableOperations() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kBrokenAfterRun, CallScript::kUnavailable};
    const auto answer = fixture.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.client.calls.size());
    CPPUNIT_ASSERT(fixture.client.calls[0].first.address != fixture.client.calls[1].first.address);
  }

  void internalErrorIsRetriedOnAnotherBackend() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kServerError};
    const auto answer = fixture.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
    CPPUNIT_ASSERT(fixture.client.calls[0].first.address != fixture.client.calls[1].first.address);
    Fixture spent;
    spent.client.scripts.assign(10, CallScript::kServerError);
    const auto given_up = spent.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT(given_up.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(500, given_up.status);
  }

  void longestPathPrefixWins() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kBrokenAfterRun};
    CPPUNIT_ASSERT(fixture.callAndWait(Fixture::request("POST", "/slots/search?x=1")).outcome ==
                   Outcome::kDone);
  }

  void unknownOutcomeIsNotRetried() {
    for (const auto script : {CallScript::kBrokenAfterRun, CallScript::kBrokenBeforeRun}) {
      Fixture fixture;
      fixture.client.scripts = {script};
      const auto answer = fixture.callAndWait(Fixture::request("POST", "/slots"));
      CPPUNIT_ASSERT(answer.outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT(answer.error.outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.calls.size());
    }
  }

  void provenNotRunIsRetriedElsewhere() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kNotSent, CallScript::kRefused};
    const auto answer = fixture.callAndWait(Fixture::request("POST", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1, fixture.runsOf("request-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:13"), fixture.client.calls[2].first.address);
  }

  void refusalKeepsRetryAfterOfTheBackend() {
    Fixture fixture;
    fixture.client.scripts.assign(3, CallScript::kRefused);
    const auto answer = fixture.callAndWait(Fixture::request("POST", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.retry_after >= seconds(1));
    CPPUNIT_ASSERT(fixture.client.runs_by_request.empty());
  }

  void prefersOwnZoneAndSkipsLeavingMachines() {
    Fixture fixture;
    fixture.membership.leaving = {"machine-1"};
    for (int number = 0; number < 20; ++number) {
      fixture.callAndWait(Fixture::request("GET", "/slots"));
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:12"), fixture.client.calls.back().first.address);
    }
    fixture.configuration.fleet.drained_nodes["machine-2"] = true;
    fixture.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:13"), fixture.client.calls.back().first.address);
    fixture.membership.leaving = {"machine-1", "machine-3"};
    const auto answer = fixture.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kNoBackend);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
  }

  void sameKeyGetsTheRecordedAnswer() {
    Fixture fixture;
    const auto answer = fixture.callAndWait(Fixture::request("POST", "/slots", "key"));
    const auto again = fixture.callAndWait(Fixture::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT_EQUAL(answer.body, again.body);
    CPPUNIT_ASSERT_EQUAL(answer.status, again.status);
    CPPUNIT_ASSERT(again.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1, fixture.runsOfKey("key"));
  }

  void oversizedAnswerIsNeitherRecordedNorRunAgain() {
    ExecutionSettings settings;
    settings.maximum_recorded_bytes = 8;
    Fixture fixture(settings);
    fixture.callAndWait(Fixture::request("POST", "/slots", "key"));
    const auto again = fixture.callAndWait(Fixture::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(again.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(0, again.status);
    CPPUNIT_ASSERT_EQUAL(1, fixture.runsOfKey("key"));
  }

  void otherVerdictsRunNothing() {
    Fixture fixture;
    const auto running = fixture.start(Fixture::request("POST", "/slots", "key"));
    const auto meanwhile = fixture.start(Fixture::request("POST", "/slots", "key"), true);
    const auto other = fixture.start(Fixture::request("POST", "/slots?other", "key"), true);
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(meanwhile->answer().error.kind == ErrorKind::kInProgress);
    CPPUNIT_ASSERT(meanwhile->answer().error.retry_after >= seconds(1));
    CPPUNIT_ASSERT(other->answer().error.kind == ErrorKind::kKeyReused);
    fixture.claims.forget();
    const auto uncertain = fixture.callAndWait(Fixture::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(uncertain.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(uncertain.error.retry_after >= seconds(1));
    fixture.claims.unavailable = true;
    const auto unavailable = fixture.callAndWait(Fixture::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(unavailable.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.calls.size());
  }

  void abandonedOperationStillRecordsAnswer() {
    Fixture fixture;
    const auto caller = fixture.start(Fixture::request("POST", "/slots", "key"));
    fixture.process.time.runFor(milliseconds(10));
    caller->handle.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.first.running());
    fixture.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(caller->answers.empty());
    CPPUNIT_ASSERT(fixture.idle());
    CPPUNIT_ASSERT(fixture.callAndWait(Fixture::request("POST", "/slots", "key")).outcome ==
                   Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1, fixture.runsOfKey("key"));
  }

  void lateGrantIsNotUsed() {
    Fixture fixture;
    fixture.claims.answer_time = seconds(60);
    const auto answer = fixture.callAndWait(Fixture::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(fixture.client.calls.empty());
  }

  void unknownServiceIsNotRun() {
    Fixture fixture;
    auto request = Fixture::request("GET", "/");
    request.service = "nothing";
    const auto caller = fixture.start(request);
    CPPUNIT_ASSERT(caller->answers.empty());
    fixture.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(caller->answer().error.kind == ErrorKind::kUnknownService);
    CPPUNIT_ASSERT(caller->answer().outcome == Outcome::kNotRun);
  }

  void callersTimeLimitBoundsEveryAttempt() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kRefused, CallScript::kSlow};
    auto request = Fixture::request("POST", "/slots");
    request.time_limit = milliseconds(500);
    CPPUNIT_ASSERT(fixture.callAndWait(request).outcome == Outcome::kDone);
    CPPUNIT_ASSERT(fixture.client.calls.at(0).second.time_limit == milliseconds(500));
    CPPUNIT_ASSERT(fixture.client.calls.at(1).second.time_limit == milliseconds(470));
    request.time_limit = seconds(60);
    fixture.callAndWait(request);
    CPPUNIT_ASSERT(fixture.client.calls.at(2).second.time_limit == seconds(2));
  }

  void claimDoesNotExtendCallersTimeLimit() {
    Fixture fixture;
    fixture.claims.answer_time = milliseconds(300);
    auto request = Fixture::request("POST", "/slots", "key");
    request.time_limit = milliseconds(500);
    fixture.callAndWait(request);
    CPPUNIT_ASSERT(fixture.client.calls.at(0).second.time_limit == milliseconds(200));
    request.idempotency_key = "other key";
    request.time_limit = milliseconds(300);
    const auto answer = fixture.callAndWait(request);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kDeadlineExceeded);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.calls.size());
  }

  void declaredRunLimitOverridesDefault() {
    for (const std::uint32_t runs : {1U, 2U, 6U}) {
      Fixture fixture;
      fixture.configuration.fleet.http_services["booking"].operations.at(0).maximum_runs = runs;
      fixture.client.scripts.assign(9, CallScript::kBrokenAfterRun);
      const auto answer = fixture.callAndWait(Fixture::request("POST", "/slots/search"));
      CPPUNIT_ASSERT(answer.outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{runs}, fixture.client.calls.size());
    }
  }

  void refusedAttemptsAreChargedToRetryBudget() {
    ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    fleet_limits::RetryLimitSettings limits;
    limits.fleet_burst = 1;
    limits.fleet_share = 0;
    Fixture fixture(settings, limits);
    fixture.client.scripts = {CallScript::kRefused, CallScript::kNotSent, CallScript::kRefused};
    const auto answer = fixture.callAndWait(Fixture::request("POST", "/slots"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.client.calls.size());
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.retry_after > common::Duration{0});
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.process.counters.total(
                                  "cypresswall_execution_service_retry_budget_spent_total"));
  }

  void onlyRepeatableCallsReuseConnections() {
    Fixture fixture;
    fixture.callAndWait(Fixture::request("POST", "/slots"));
    fixture.callAndWait(Fixture::request("POST", "/slots", "key-1"));
    fixture.callAndWait(Fixture::request("GET", "/slots"));
    fixture.client.scripts.resize(fixture.client.calls.size());
    fixture.client.scripts.push_back(CallScript::kBrokenAfterRun);
    fixture.callAndWait(Fixture::request("GET", "/slots"));
    const auto& calls = fixture.client.calls;
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, calls.size());
    CPPUNIT_ASSERT(!calls[0].second.may_reuse_connection);
    CPPUNIT_ASSERT(!calls[1].second.may_reuse_connection);
    CPPUNIT_ASSERT(calls[2].second.may_reuse_connection);
    CPPUNIT_ASSERT(calls[3].second.may_reuse_connection);
    CPPUNIT_ASSERT(!calls[4].second.may_reuse_connection);

    Fixture poor;
    while (poor.retries.of("booking").withdraw()) {
    }
    poor.callAndWait(Fixture::request("GET", "/slots"));
    CPPUNIT_ASSERT(!poor.client.calls.front().second.may_reuse_connection);
  }

  void staleConnectionIsNoFailureOfTheBackend() {
    Fixture fixture;
    fixture.client.scripts = {CallScript::kStale, CallScript::kStale};
    auto request = Fixture::request("GET", "/slots");
    request.fingerprint = 17;
    const auto answer = fixture.callAndWait(std::move(request));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
    CPPUNIT_ASSERT(fixture.quarantine.broken.empty());
    CPPUNIT_ASSERT_EQUAL(
        1.0, fixture.process.counters.total("cypresswall_execution_service_retries_total"));
  }

  void runsAtMostOnceUnderFaults() {
    std::map<CallScript, int> faults;
    std::map<ClaimVerdict, int> verdicts;
    int abandoned = 0;
    testing::requireProperty("at most one run per request and key, outcomes true", 2000, [&] {
      Fixture fixture;
      fixture.client.scripts = *rc::gen::container<std::vector<CallScript>>(
          rc::gen::map(rc::gen::inRange(0, testing::kCallScripts),
                       [](int script) { return static_cast<CallScript>(script); }));
      std::vector<std::shared_ptr<Fixture::Caller>> callers;
      const auto steps = *rc::gen::inRange(1, 20);
      for (int step = 0; step < steps; ++step) {
        abandoned += takeStep(fixture, callers);
      }
      fixture.process.time.runFor(kLongRun);
      checkRunsAndOutcomes(fixture, callers);
      for (const auto& [script, count] : fixture.client.faults) {
        faults[script] += count;
      }
      for (const auto& [verdict, count] : fixture.claims.verdicts) {
        verdicts[verdict] += count;
      }
    });
    // The property is only meaningful if every kind of fault and verdict occurred.
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(testing::kCallScripts), faults.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, verdicts.size());
    CPPUNIT_ASSERT(abandoned > 0);
  }

 private:
  /// Applies one random event to `fixture`.
  /// \return 1 if a caller disconnected before its answer, otherwise 0
  static int takeStep(Fixture& fixture, std::vector<std::shared_ptr<Fixture::Caller>>& callers) {
    const auto kind = *rc::gen::inRange(0, 10);
    const auto number = *rc::gen::inRange(0, 100);
    if (kind < 4) {
      const auto key = number % 4 == 0 ? "" : "key-" + std::to_string(number % 3);
      auto request = Fixture::request("POST", number == 1 ? "/slots?other" : "/slots", key);
      callers.push_back(fixture.start(std::move(request), number % 2 == 0));
    } else if (kind < 7) {
      fixture.process.time.runFor(milliseconds(number));
    } else if (kind == 7) {
      fixture.claims.unavailable = number % 4 == 0;
    } else if (kind == 8 && number < 20) {
      fixture.claims.forget();
    } else if (kind == 9 && !callers.empty()) {
      auto& caller = *callers[static_cast<std::size_t>(number) % callers.size()];
      caller.abandoned = caller.abandoned || caller.answers.empty();
      caller.handle.reset();
      return caller.abandoned ? 1 : 0;
    }
    return 0;
  }

  static void checkRunsAndOutcomes(const Fixture& fixture,
                                   const std::vector<std::shared_ptr<Fixture::Caller>>& callers) {
    for (const auto& [backend, call] : fixture.client.calls) {
      RC_ASSERT(!call.may_reuse_connection);
    }
    for (const auto& [key, runs] : fixture.client.runs_by_key) {
      RC_ASSERT(runs <= 1);
    }
    for (const auto& caller : callers) {
      const int runs = fixture.runsOf(caller->request_id);
      RC_ASSERT(runs <= 1);
      RC_ASSERT(caller->answers.size() == (caller->abandoned ? 0U : 1U));
      if (!caller->abandoned && caller->answer().outcome == Outcome::kNotRun) {
        RC_ASSERT(runs == 0);
      }
    }
    RC_ASSERT(fixture.idle());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServiceExecutorTest);

}  // namespace
}  // namespace cypresswall::execution
