/// Guards against responses that end early, or declare two lengths, and reach callers framed as
/// whole: real daemons before back ends and engines whose responses are damaged on their way.
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "tests/process/order_check.h"
#include "tests/process/tcp_proxy.h"
#include "tests/process/test_fleet.h"
#include "tests/process/workload.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using emulation::DamageKind;

constexpr std::size_t kNodes = 2;
constexpr std::size_t kEngines = 2;
constexpr std::size_t kBackEnds = 2;
constexpr std::size_t kThreads = 4;
constexpr std::uint64_t kSeed = 1;
/// Responses with a status above are invalid.
constexpr int kLastStatus = 599;
/// For each kind of damage and each operation; each stops at another position.
constexpr std::uint64_t kDamagedResponses = 4;
/// Most responses of an engine are load reports; this many include streams.
constexpr std::uint64_t kManyDamagedResponses = 40;

struct Damage {
  const char* name;
  DamageKind kind;
  bool reset;
};

const std::vector<Damage>& damages() {
  static const std::vector<Damage> all = {
      {"stop in the status line", DamageKind::kStopInStatusLine, false},
      {"stop in the head", DamageKind::kStopInHead, false},
      {"stop in the length", DamageKind::kStopInLength, false},
      {"stop in the body", DamageKind::kStopInBody, false},
      {"two lengths", DamageKind::kDifferentLengths, false},
      {"head without end", DamageKind::kEndlessHead, false},
      {"reset in the head", DamageKind::kStopInHead, true},
      {"reset in the body", DamageKind::kStopInBody, true},
      {"reset in a body without a length", DamageKind::kWithoutLength, true},
  };
  return all;
}

class DamagedResponsesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DamagedResponsesTest);
  CPPUNIT_TEST(damagedResponsesOfAServiceNeverReachCallersAsWhole);
  CPPUNIT_TEST(invalidStatusesOfAServiceNeverReachCallers);
  CPPUNIT_TEST(lateSecondResponsesOfAServiceNeverReachAnotherCaller);
  CPPUNIT_TEST(lateSecondResponsesOfAnEngineNeverReachAnotherCaller);
  CPPUNIT_TEST(damagedResponsesOfAnEngineNeverReachCallersAsWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    fleet_ = std::make_unique<TestFleet>(
        kNodes, kEngines, [this](const std::string& target) { return throughProxy(target); },
        std::vector<std::string>{""}, kBackEnds);
  }
  void tearDown() override {
    fleet_.reset();
    proxies_.clear();
  }

  void damagedResponsesOfAServiceNeverReachCallersAsWhole() {
    std::string wrong;
    for (const Damage& damage : damages()) {
      TcpProxy& proxy = *proxies_.at(1 + kEngines);
      proxy.damageResponses({{damage.kind}, 1.0, damage.reset}, kSeed);
      for (std::uint64_t i = 0; i < kDamagedResponses; ++i) {
        wrong += callUntilDamaged(proxy, damage, {"GET", "/slots/", "", ""});
        wrong += callUntilDamaged(proxy, damage, {"POST", "/bookings/", "key-", "{}"});
      }
      proxy.damageResponses({}, 0);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  /// Guards against a status that no response can have, passed on to a caller.
  void invalidStatusesOfAServiceNeverReachCallers() {
    const Damage invalid = {"invalid status", DamageKind::kInvalidStatus, false};
    TcpProxy& proxy = *proxies_.at(1 + kEngines);
    proxy.damageResponses({{invalid.kind}, 1.0, false}, kSeed);
    std::string wrong;
    for (std::uint64_t i = 0; i < 5 * kDamagedResponses; ++i) {
      wrong += callUntilDamaged(proxy, invalid, {"GET", "/slots/", "", ""});
      wrong += callUntilDamaged(proxy, invalid, {"POST", "/bookings/", "key-", "{}"});
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  /// Guards against a second response that takes the place of the next one on a kept connection.
  void lateSecondResponsesOfAServiceNeverReachAnotherCaller() {
    const Damage twice = {"sent twice", DamageKind::kSentTwice, false};
    TcpProxy& proxy = *proxies_.at(1 + kEngines);
    proxy.damageResponses({{twice.kind}, 1.0, false}, kSeed);
    std::string wrong;
    for (std::uint64_t i = 0; i < 5 * kDamagedResponses; ++i) {
      wrong += callUntilDamaged(proxy, twice, {"GET", "/slots/", "", ""});
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  void damagedResponsesOfAnEngineNeverReachCallersAsWhole() {
    runLoadBeside(damages(), kDamagedResponses);
  }

  /// Guards against a second stream that takes the place of the next one on a kept connection.
  void lateSecondResponsesOfAnEngineNeverReachAnotherCaller() {
    runLoadBeside({{"sent twice", DamageKind::kSentTwice, false}}, kManyDamagedResponses);
  }

 private:
  /// Requires that no caller gets a wrong answer while an engine's responses are damaged.
  void runLoadBeside(const std::vector<Damage>& series, std::uint64_t count) {
    constexpr double kShare = 0.5;
    Workload load(*fleet_, kThreads);
    load.waitForMore(5, 1);
    for (const Damage& damage : series) {
      TcpProxy& proxy = *proxies_.at(1);
      const auto before = proxy.damagedResponses();
      proxy.damageResponses({{damage.kind}, kShare, damage.reset}, kSeed);
      waitUntil(damage.name, [&] {
        return proxy.damagedResponses() >= before + count || !load.report().violations.empty();
      });
      proxy.damageResponses({}, 0);
      load.waitForMore(5, 1);
    }
    const WorkloadReport report = load.finish();
    const std::string first = report.violations.empty() ? "" : report.violations.front();
    CPPUNIT_ASSERT_EQUAL(std::string(), first);
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      checkOrders(fleet_->engineLedger(engine));
    }
  }

  std::string throughProxy(const std::string& target) {
    proxies_.push_back(std::make_unique<TcpProxy>(proxyAddressFor(target), target));
    return proxies_.back()->address();
  }

  /// Calls until a response was damaged.
  /// \return what was wrong with the answers, one a line
  std::string callUntilDamaged(TcpProxy& proxy, const Damage& damage, const ServiceCall& pattern) {
    std::string wrong;
    const auto before = proxy.damagedResponses();
    waitUntil(std::string("a response is damaged: ") + damage.name, [&] {
      ServiceCall call = pattern;
      const std::string number = std::to_string(calls_++);
      call.path += number;
      call.key += call.key.empty() ? "" : number;
      HttpClient client;
      const HttpAnswer answer = callService(client, fleet_->gateway(calls_ % kNodes), call);
      const bool damaged = proxy.damagedResponses() != before;
      const std::string fault = faultOf(answer, call, damaged);
      if (!fault.empty()) {
        wrong += std::string(damage.name) + ": " + call.method + " " + fault + "\n";
      }
      return damaged;
    });
    return wrong;
  }

  /// \return what is wrong with an answer; empty if nothing is
  static std::string faultOf(const HttpAnswer& answer, const ServiceCall& call, bool damaged) {
    const std::string seen = "status " + std::to_string(answer.status) + ", outcome " +
                             answer.header("x-cypresswall-outcome") + ", " +
                             std::to_string(answer.body.size()) + " bytes " + answer.error;
    if (answer.status == 200) {
      return answer.complete && requestOfWholeBody(answer.body, call) ? "" : seen;
    }
    const bool repeatable = call.key.empty();
    const bool unknown = answer.complete && answer.status <= kLastStatus &&
                         !invitesRepeat(answer.status) &&
                         answer.header("x-cypresswall-outcome") == "unknown";
    return !repeatable && damaged && unknown ? "" : seen;
  }

  std::vector<std::unique_ptr<TcpProxy>> proxies_;
  std::unique_ptr<TestFleet> fleet_;
  std::size_t calls_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DamagedResponsesTest);

}  // namespace
}  // namespace cypresswall::testing
