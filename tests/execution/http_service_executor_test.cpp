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

/// A zone whose claims and back ends several nodes share.
struct World {
  explicit World(const ExecutionSettings& settings = {},
                 const fleet_limits::RetryLimitSettings& retry_limits = {})
      : retries(retry_limits, process.context, [] { return 1.0; }),
        interfaces{configuration, membership,   admission,  client, claims,
                   retries,       rate_limiter, quarantine, usage},
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
    bool gone = false;
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
  ServiceCallAnswer ask(ServiceCallRequest request) {
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
  ServiceInterfaces interfaces;
  HttpServiceExecutor first;
  HttpServiceExecutor second;
  int next_request = 1;
};

class HttpServiceExecutorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServiceExecutorTest);
  CPPUNIT_TEST(relaysTheAnswer);
  CPPUNIT_TEST(repeatsWhatMayBeRepeated);
  CPPUNIT_TEST(anInternalErrorIsRepeatedElsewhere);
  CPPUNIT_TEST(longestPrefixDecides);
  CPPUNIT_TEST(unknownOutcomeIsNotRepeated);
  CPPUNIT_TEST(provedNotRunGoesElsewhere);
  CPPUNIT_TEST(refusalKeepsRetryAfterOfTheBackend);
  CPPUNIT_TEST(ownZoneFirstAndNoLeavingMachine);
  CPPUNIT_TEST(sameKeyGetsTheRecordedAnswer);
  CPPUNIT_TEST(largeAnswerIsNotRecordedButNotRunAgain);
  CPPUNIT_TEST(otherVerdictsRunNothing);
  CPPUNIT_TEST(callerGoneStillRecordsTheAnswer);
  CPPUNIT_TEST(lateGrantIsNotUsed);
  CPPUNIT_TEST(unknownServiceIsNotRun);
  CPPUNIT_TEST(callersTimeLimitBoundsEveryAttempt);
  CPPUNIT_TEST(claimDoesNotLengthenTheCallersTime);
  CPPUNIT_TEST(declaredRunsReplaceTheNodesOwn);
  CPPUNIT_TEST(refusedAttemptsDrawOnTheBudget);
  CPPUNIT_TEST(runsAtMostOnceUnderFaults);
  CPPUNIT_TEST(quarantinedRequestIsRefusedAtOnce);
  CPPUNIT_TEST(brokenCallsAndAnswersAreToldToTheQuarantine);
  CPPUNIT_TEST(aRequestIsCountedOnceForItsTenant);
  CPPUNIT_TEST(aKeyTakenAwayStopsTheNextAttempt);
  CPPUNIT_TEST(eachCallNeedsAPermitOfItsBackend);
  CPPUNIT_TEST(exhaustedBackendsGetNothing);
  CPPUNIT_TEST(permitForACallerThatLeftIsNotUsed);
  CPPUNIT_TEST(limitOfAnAnswerIsTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aRequestIsCountedOnceForItsTenant() {
    World world;
    world.client.scripts = {CallScript::kBrokenAfterRun};
    auto request = World::request("GET", "/slots");
    request.tenant = "porter";
    CPPUNIT_ASSERT(world.ask(request).outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.client.calls.size());
    CPPUNIT_ASSERT_EQUAL(1, world.usage.began["porter"]);
    world.quarantine.kept = {17};
    request.fingerprint = 17;
    world.ask(request);
    CPPUNIT_ASSERT_EQUAL(1, world.usage.began["porter"]);
  }

  void aKeyTakenAwayStopsTheNextAttempt() {
    World world;
    world.client.scripts = {CallScript::kBrokenAfterRun};
    auto request = World::request("GET", "/slots");
    int asked = 0;
    request.still_allowed = [&asked] { return ++asked < 3; };
    const auto answer = world.ask(std::move(request));
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kKeyRevoked);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.client.calls.size());
    CPPUNIT_ASSERT(world.idle());
  }

  void eachCallNeedsAPermitOfItsBackend() {
    World world;
    world.client.scripts = {CallScript::kBrokenAfterRun};
    CPPUNIT_ASSERT(world.ask(World::request("GET", "/slots")).outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.rate_limiter.granted_to.size());
    world.rate_limiter.refusing = {world.rate_limiter.granted_to.begin(),
                                   world.rate_limiter.granted_to.end()};
    world.client.scripts.clear();
    world.client.calls.clear();
    const auto answer = world.ask(World::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.client.calls.size());
    CPPUNIT_ASSERT(!world.rate_limiter.refusing.contains(world.client.calls[0].first));
  }

  void exhaustedBackendsGetNothing() {
    World world;
    for (const auto& backend : world.configuration.fleet.http_services["booking"].backends) {
      world.rate_limiter.known.insert(backend.address);
    }
    const auto answer = world.ask(World::request("POST", "/book"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(answer.error.retry_after == world.rate_limiter.retry_after);
    CPPUNIT_ASSERT(world.client.calls.empty());
    CPPUNIT_ASSERT(world.idle());
  }

  void permitForACallerThatLeftIsNotUsed() {
    for (const char* method : {"GET", "POST"}) {
      World world;
      world.rate_limiter.answers_late = true;
      const auto caller = world.start(World::request(method, "/slots"));
      world.process.time.runFor(milliseconds(1));
      caller->handle.reset();
      world.rate_limiter.answerAll();
      world.process.time.runFor(kLongRun);
      CPPUNIT_ASSERT(world.client.calls.empty());
      CPPUNIT_ASSERT(world.idle());
    }
  }

  void limitOfAnAnswerIsTold() {
    World world;
    world.client.rate_limit = common::namedRateLimit(1.5);
    world.ask(World::request("GET", "/slots"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.rate_limiter.notices.size());
    CPPUNIT_ASSERT_EQUAL(world.client.calls[0].first, world.rate_limiter.notices[0].first);
    CPPUNIT_ASSERT(common::namedRateLimit(1.5) == world.rate_limiter.notices[0].second);
  }

  void quarantinedRequestIsRefusedAtOnce() {
    World world;
    world.quarantine.kept = {17};
    auto request = World::request("GET", "/slots");
    request.fingerprint = 17;
    const auto answer = world.ask(std::move(request));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kQuarantined);
    CPPUNIT_ASSERT(answer.error.retry_after == std::chrono::minutes(1));
    CPPUNIT_ASSERT(world.client.calls.empty());
    CPPUNIT_ASSERT(world.idle());
  }

  void brokenCallsAndAnswersAreToldToTheQuarantine() {
    World world;
    world.client.scripts = {CallScript::kBrokenAfterRun};
    auto request = World::request("GET", "/slots");
    request.fingerprint = 17;
    const auto answer = world.ask(std::move(request));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.quarantine.broken.size());
    CPPUNIT_ASSERT_EQUAL(world.client.calls[0].first, world.quarantine.broken[0].second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.quarantine.answers.size());
  }

  void relaysTheAnswer() {
    World world;
    const auto answer = world.ask(World::request("GET", "/slots?day=1"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer to request-1"), answer.body);
    CPPUNIT_ASSERT(world.idle());
  }

  void repeatsWhatMayBeRepeated() {
    World world;
    world.client.scripts = {CallScript::kBrokenAfterRun, CallScript::kUnavailable};
    const auto answer = world.ask(World::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.client.calls.size());
    CPPUNIT_ASSERT(world.client.calls[0].first != world.client.calls[1].first);
  }

  void anInternalErrorIsRepeatedElsewhere() {
    World world;
    world.client.scripts = {CallScript::kServerError};
    const auto answer = world.ask(World::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.client.calls.size());
    CPPUNIT_ASSERT(world.client.calls[0].first != world.client.calls[1].first);
    World spent;
    spent.client.scripts.assign(10, CallScript::kServerError);
    const auto given_up = spent.ask(World::request("GET", "/slots"));
    CPPUNIT_ASSERT(given_up.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(500, given_up.status);
  }

  void longestPrefixDecides() {
    World world;
    world.client.scripts = {CallScript::kBrokenAfterRun};
    CPPUNIT_ASSERT(world.ask(World::request("POST", "/slots/search?x=1")).outcome ==
                   Outcome::kDone);
  }

  void unknownOutcomeIsNotRepeated() {
    for (const auto script : {CallScript::kBrokenAfterRun, CallScript::kBrokenBeforeRun}) {
      World world;
      world.client.scripts = {script};
      const auto answer = world.ask(World::request("POST", "/slots"));
      CPPUNIT_ASSERT(answer.outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT(answer.error.outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.client.calls.size());
    }
  }

  void provedNotRunGoesElsewhere() {
    World world;
    world.client.scripts = {CallScript::kNotSent, CallScript::kRefused};
    const auto answer = world.ask(World::request("POST", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1, world.runsOf("request-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:13"), world.client.calls[2].first);
  }

  void refusalKeepsRetryAfterOfTheBackend() {
    World world;
    world.client.scripts.assign(3, CallScript::kRefused);
    const auto answer = world.ask(World::request("POST", "/slots"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.retry_after >= seconds(1));
    CPPUNIT_ASSERT(world.client.runs_by_request.empty());
  }

  void ownZoneFirstAndNoLeavingMachine() {
    World world;
    world.membership.leaving = {"machine-1"};
    for (int number = 0; number < 20; ++number) {
      world.ask(World::request("GET", "/slots"));
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:12"), world.client.calls.back().first);
    }
    world.configuration.fleet.drained_nodes["machine-2"] = true;
    world.ask(World::request("GET", "/slots"));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:13"), world.client.calls.back().first);
    world.membership.leaving = {"machine-1", "machine-3"};
    const auto answer = world.ask(World::request("GET", "/slots"));
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kNoBackend);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
  }

  void sameKeyGetsTheRecordedAnswer() {
    World world;
    const auto answer = world.ask(World::request("POST", "/slots", "key"));
    const auto again = world.ask(World::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT_EQUAL(answer.body, again.body);
    CPPUNIT_ASSERT_EQUAL(answer.status, again.status);
    CPPUNIT_ASSERT(again.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1, world.runsOfKey("key"));
  }

  void largeAnswerIsNotRecordedButNotRunAgain() {
    ExecutionSettings settings;
    settings.maximum_recorded_bytes = 8;
    World world(settings);
    world.ask(World::request("POST", "/slots", "key"));
    const auto again = world.ask(World::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(again.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(0, again.status);
    CPPUNIT_ASSERT_EQUAL(1, world.runsOfKey("key"));
  }

  void otherVerdictsRunNothing() {
    World world;
    const auto running = world.start(World::request("POST", "/slots", "key"));
    const auto meanwhile = world.start(World::request("POST", "/slots", "key"), true);
    const auto other = world.start(World::request("POST", "/slots?other", "key"), true);
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(meanwhile->answer().error.kind == ErrorKind::kInProgress);
    CPPUNIT_ASSERT(meanwhile->answer().error.retry_after >= seconds(1));
    CPPUNIT_ASSERT(other->answer().error.kind == ErrorKind::kKeyReused);
    world.claims.forget();
    const auto uncertain = world.ask(World::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(uncertain.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(uncertain.error.retry_after >= seconds(1));
    world.claims.unavailable = true;
    const auto unavailable = world.ask(World::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(unavailable.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.client.calls.size());
  }

  void callerGoneStillRecordsTheAnswer() {
    World world;
    const auto caller = world.start(World::request("POST", "/slots", "key"));
    world.process.time.runFor(milliseconds(10));
    caller->handle.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.first.running());
    world.process.time.runFor(kLongRun);
    CPPUNIT_ASSERT(caller->answers.empty());
    CPPUNIT_ASSERT(world.idle());
    CPPUNIT_ASSERT(world.ask(World::request("POST", "/slots", "key")).outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1, world.runsOfKey("key"));
  }

  void lateGrantIsNotUsed() {
    World world;
    world.claims.answer_time = seconds(60);
    const auto answer = world.ask(World::request("POST", "/slots", "key"));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(world.client.calls.empty());
  }

  void unknownServiceIsNotRun() {
    World world;
    auto request = World::request("GET", "/");
    request.service = "nothing";
    const auto caller = world.start(request);
    CPPUNIT_ASSERT(caller->answers.empty());
    world.process.time.runFor(common::Duration{0});
    CPPUNIT_ASSERT(caller->answer().error.kind == ErrorKind::kUnknownService);
    CPPUNIT_ASSERT(caller->answer().outcome == Outcome::kNotRun);
  }

  void callersTimeLimitBoundsEveryAttempt() {
    World world;
    world.client.scripts = {CallScript::kRefused, CallScript::kSlow};
    auto request = World::request("POST", "/slots");
    request.time_limit = milliseconds(500);
    CPPUNIT_ASSERT(world.ask(request).outcome == Outcome::kDone);
    CPPUNIT_ASSERT(world.client.calls.at(0).second.time_limit == milliseconds(500));
    CPPUNIT_ASSERT(world.client.calls.at(1).second.time_limit == milliseconds(470));
    request.time_limit = seconds(60);
    world.ask(request);
    CPPUNIT_ASSERT(world.client.calls.at(2).second.time_limit == seconds(2));
  }

  void claimDoesNotLengthenTheCallersTime() {
    World world;
    world.claims.answer_time = milliseconds(300);
    auto request = World::request("POST", "/slots", "key");
    request.time_limit = milliseconds(500);
    world.ask(request);
    CPPUNIT_ASSERT(world.client.calls.at(0).second.time_limit == milliseconds(200));
    request.idempotency_key = "other key";
    request.time_limit = milliseconds(300);
    const auto answer = world.ask(request);
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kDeadlineExceeded);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.client.calls.size());
  }

  void declaredRunsReplaceTheNodesOwn() {
    for (const std::uint32_t runs : {1U, 2U, 6U}) {
      World world;
      world.configuration.fleet.http_services["booking"].operations.at(0).maximum_runs = runs;
      world.client.scripts.assign(9, CallScript::kBrokenAfterRun);
      const auto answer = world.ask(World::request("POST", "/slots/search"));
      CPPUNIT_ASSERT(answer.outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{runs}, world.client.calls.size());
    }
  }

  void refusedAttemptsDrawOnTheBudget() {
    ExecutionSettings settings;
    settings.charge_refused_attempts = true;
    fleet_limits::RetryLimitSettings limits;
    limits.fleet_burst = 1;
    limits.fleet_share = 0;
    World world(settings, limits);
    world.client.scripts = {CallScript::kRefused, CallScript::kNotSent, CallScript::kRefused};
    const auto answer = world.ask(World::request("POST", "/slots"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.client.calls.size());
    CPPUNIT_ASSERT(answer.error.kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.error.retry_after > common::Duration{0});
    CPPUNIT_ASSERT_EQUAL(1.0, world.process.counters.total(
                                  "cypresswall_execution_service_retry_budget_spent_total"));
  }

  void runsAtMostOnceUnderFaults() {
    std::map<CallScript, int> faults;
    std::map<ClaimVerdict, int> verdicts;
    int gone = 0;
    testing::requireProperty("at most one run per request and key, outcomes true", 2000, [&] {
      World world;
      world.client.scripts = *rc::gen::container<std::vector<CallScript>>(
          rc::gen::map(rc::gen::inRange(0, testing::kCallScripts),
                       [](int script) { return static_cast<CallScript>(script); }));
      std::vector<std::shared_ptr<World::Caller>> callers;
      const auto steps = *rc::gen::inRange(1, 20);
      for (int step = 0; step < steps; ++step) {
        gone += takeStep(world, callers);
      }
      world.process.time.runFor(kLongRun);
      checkLedger(world, callers);
      for (const auto& [script, count] : world.client.faults) {
        faults[script] += count;
      }
      for (const auto& [verdict, count] : world.claims.verdicts) {
        verdicts[verdict] += count;
      }
    });
    // Every fault and verdict took place, or the property would have proved little.
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(testing::kCallScripts), faults.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, verdicts.size());
    CPPUNIT_ASSERT(gone > 0);
  }

 private:
  /// Lets one thing happen to `world`. \return 1 if a caller left before its answer, else 0
  static int takeStep(World& world, std::vector<std::shared_ptr<World::Caller>>& callers) {
    const auto kind = *rc::gen::inRange(0, 10);
    const auto number = *rc::gen::inRange(0, 100);
    if (kind < 4) {
      const auto key = number % 4 == 0 ? "" : "key-" + std::to_string(number % 3);
      auto request = World::request("POST", number == 1 ? "/slots?other" : "/slots", key);
      callers.push_back(world.start(std::move(request), number % 2 == 0));
    } else if (kind < 7) {
      world.process.time.runFor(milliseconds(number));
    } else if (kind == 7) {
      world.claims.unavailable = number % 4 == 0;
    } else if (kind == 8 && number < 20) {
      world.claims.forget();
    } else if (kind == 9 && !callers.empty()) {
      auto& caller = *callers[static_cast<std::size_t>(number) % callers.size()];
      caller.gone = caller.gone || caller.answers.empty();
      caller.handle.reset();
      return caller.gone ? 1 : 0;
    }
    return 0;
  }

  static void checkLedger(const World& world,
                          const std::vector<std::shared_ptr<World::Caller>>& callers) {
    for (const auto& [key, runs] : world.client.runs_by_key) {
      RC_ASSERT(runs <= 1);
    }
    for (const auto& caller : callers) {
      const int runs = world.runsOf(caller->request_id);
      RC_ASSERT(runs <= 1);
      RC_ASSERT(caller->answers.size() == (caller->gone ? 0U : 1U));
      if (!caller->gone && caller->answer().outcome == Outcome::kNotRun) {
        RC_ASSERT(runs == 0);
      }
    }
    RC_ASSERT(world.idle());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServiceExecutorTest);

}  // namespace
}  // namespace cypresswall::execution
