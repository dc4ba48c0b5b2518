#include "cypresswall/idempotency/quorum_key_claims.h"

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/configuration/static_view.h"
#include "tests/lease/fault_schedule.h"
#include "tests/lease/lease_zone.h"
#include "tests/support/property.h"

namespace cypresswall::idempotency {
namespace {

using namespace std::chrono_literals;
using testing::LeaseZone;

constexpr std::uint64_t kDigest = 77;
constexpr int kRuns = 120;

/// A zone whose nodes claim keys; counts how often each key was run.
class ClaimZone {
 public:
  explicit ClaimZone(std::uint64_t seed, double drift = 0) : zone(seed, drift) {
    zone.before_stop = [this](int index) {
      claims.erase(index);
      gossips.erase(index);
    };
    zone.on_start = [this](int index, testing::VirtualProcess& process) {
      auto& node = zone.nodes.at(index);
      gossips[index] = std::make_unique<membership::ZoneGossip>(
          membership::MembershipSettings{}, process.context(), *node.membership);
      claims[index] = std::make_unique<QuorumKeyClaims>(
          settings, process.context(),
          ClaimInterfaces{*node.authority, *node.authority, *node.membership, *gossips[index],
                          configuration});
      claims[index]->start();
    };
  }
  /// Claims a key and waits for the answer.
  ClaimVerdict claim(int index, const std::string& key, std::uint64_t digest = kDigest) {
    std::optional<ClaimAnswer> answer;
    claims.at(index)->claim(key, digest, [&](ClaimAnswer given) { answer = std::move(given); });
    for (int turn = 0; turn < 400 && !answer; ++turn) {
      zone.world.runFor(10ms);
    }
    CPPUNIT_ASSERT(answer.has_value());
    last_answer = answer->recorded_answer;
    return answer->verdict;
  }
  /// Claims a key and, if granted, completes it, releases it or leaves it open, depending on
  /// `choice`.
  void use(int index, const std::string& key, std::uint64_t choice) {
    if (!claims.contains(index)) {
      return;
    }
    ++claim_count;
    claims.at(index)->claim(key, kDigest, [this, index, key, choice](const ClaimAnswer& answer) {
      ++verdicts[answer.verdict];
      if (answer.verdict != ClaimVerdict::kGranted) {
        return;
      }
      if (choice % 4 == 0) {
        claims.at(index)->release(key);
        return;
      }
      ++runs[key];
      if (choice % 4 != 1) {
        claims.at(index)->complete(key, "answer");
      }
    });
  }

  ClaimSettings settings;
  LeaseZone zone;
  /// Shared by all nodes; no zone is declared, so that each zone stores its own claims.
  configuration::StaticConfigurationView configuration;
  std::map<int, std::unique_ptr<membership::ZoneGossip>> gossips;
  std::map<int, std::unique_ptr<QuorumKeyClaims>> claims;
  std::map<std::string, int> runs;
  std::map<ClaimVerdict, int> verdicts;
  int claim_count = 0;
  std::string last_answer;
};

class QuorumKeyClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuorumKeyClaimsTest);
  CPPUNIT_TEST(grantsOnceAndReplaysTheAnswer);
  CPPUNIT_TEST(releasedKeyIsGrantedAgain);
  CPPUNIT_TEST(claimSurvivesLossOfHolder);
  CPPUNIT_TEST(claimOfDeadNodeIsUncertain);
  CPPUNIT_TEST(claimIsSentAgainAfterAFailure);
  CPPUNIT_TEST(reportIsSentAgainAfterAFailure);
  CPPUNIT_TEST(claimWithoutHolderIsUnavailable);
  CPPUNIT_TEST(claimInNewGenerationIsUncertain);
  CPPUNIT_TEST(unreadableClaimIsUncertainAlone);
  CPPUNIT_TEST(claimTableIsBounded);
  CPPUNIT_TEST(keyRunsAtMostOnceUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void grantsOnceAndReplaysTheAnswer() {
    ClaimZone zone(1);
    zone.zone.startAll(5);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(1s);
    CPPUNIT_ASSERT(zone.claim(1, "k") == ClaimVerdict::kGranted);
    CPPUNIT_ASSERT(zone.claim(2, "k") == ClaimVerdict::kInProgress);
    CPPUNIT_ASSERT(zone.claim(1, "k") == ClaimVerdict::kInProgress);
    CPPUNIT_ASSERT(zone.claim(2, "k", kDigest + 1) == ClaimVerdict::kDifferentBody);
    zone.claims.at(1)->complete("k", "booked");
    zone.zone.world.runFor(100ms);
    CPPUNIT_ASSERT(!zone.claims.at(1)->reportsPending());
    CPPUNIT_ASSERT(zone.claim(3, "k") == ClaimVerdict::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string("booked"), zone.last_answer);
  }

  void releasedKeyIsGrantedAgain() {
    ClaimZone zone(2);
    zone.zone.startAll(3);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(1s);
    CPPUNIT_ASSERT(zone.claim(1, "k") == ClaimVerdict::kGranted);
    zone.claims.at(1)->release("k");
    zone.zone.world.runFor(100ms);
    CPPUNIT_ASSERT(zone.claim(2, "k") == ClaimVerdict::kGranted);
  }

  void claimSurvivesLossOfHolder() {
    ClaimZone zone(3);
    zone.zone.startAll(5);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(3s);
    const int holder = zone.zone.holder().value();
    const int claimer = holder == 1 ? 2 : 1;
    CPPUNIT_ASSERT(zone.claim(claimer, "k") == ClaimVerdict::kGranted);
    zone.zone.stop(holder);
    const int other = holder == 3 ? 4 : 3;
    CPPUNIT_ASSERT(zone.claim(other, "k") == ClaimVerdict::kInProgress);
    zone.claims.at(claimer)->complete("k", "done");
    zone.zone.world.runFor(1s);
    CPPUNIT_ASSERT(zone.claim(other, "k") == ClaimVerdict::kCompleted);
  }

  void claimOfDeadNodeIsUncertain() {
    ClaimZone zone(4);
    zone.zone.startAll(5);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(3s);
    const int claimer = zone.zone.holder().value() == 1 ? 2 : 1;
    CPPUNIT_ASSERT(zone.claim(claimer, "k") == ClaimVerdict::kGranted);
    zone.zone.stop(claimer);
    zone.zone.world.runFor(4s);
    CPPUNIT_ASSERT(zone.claim(3, "k") == ClaimVerdict::kUncertain);
  }

  // A claim that couldn't be sent once was never answered.
  void claimIsSentAgainAfterAFailure() {
    ClaimZone zone(14);
    const int claimer = startThreeAndChooseAClaimer(zone);
    std::optional<ClaimVerdict> verdict;
    whileSendingFails(zone, [&] {
      zone.claims.at(claimer)->claim("k", kDigest,
                                     [&](const ClaimAnswer& answer) { verdict = answer.verdict; });
    });
    zone.zone.world.runFor(zone.settings.claim_timeout);
    CPPUNIT_ASSERT(verdict == ClaimVerdict::kGranted);
  }

  // A report that couldn't be sent once was never sent, and counted as pending for good.
  void reportIsSentAgainAfterAFailure() {
    ClaimZone zone(15);
    const int claimer = startThreeAndChooseAClaimer(zone);
    CPPUNIT_ASSERT(zone.claim(claimer, "k") == ClaimVerdict::kGranted);
    whileSendingFails(zone, [&] { zone.claims.at(claimer)->complete("k", "booked"); });
    zone.zone.world.runFor(2 * zone.settings.report_interval);
    CPPUNIT_ASSERT(!zone.claims.at(claimer)->reportsPending());
    CPPUNIT_ASSERT(zone.claim(claimer, "k") == ClaimVerdict::kCompleted);
  }

  void claimWithoutHolderIsUnavailable() {
    ClaimZone zone(5);
    zone.zone.world.store.down = true;
    zone.zone.startAll(3);
    CPPUNIT_ASSERT(zone.claim(1, "k") == ClaimVerdict::kUnavailable);
  }

  void claimInNewGenerationIsUncertain() {
    ClaimZone zone(6);
    zone.zone.startAll(3);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(2s);
    CPPUNIT_ASSERT(zone.claim(1, "k") == ClaimVerdict::kGranted);
    zone.zone.startAll(3);
    zone.zone.awaitHolder(10s);
    zone.zone.world.runFor(1s);
    CPPUNIT_ASSERT(zone.claim(2, "k") == ClaimVerdict::kUncertain);
    zone.zone.world.runFor(11min);
    CPPUNIT_ASSERT(zone.claim(2, "k") == ClaimVerdict::kGranted);
    zone.zone.stop(zone.zone.holder().value());
    zone.zone.awaitHolder(5s);
    CPPUNIT_ASSERT(zone.claim(zone.zone.holder().value(), "l") == ClaimVerdict::kGranted);
  }

  // Guards against: one replicated claim that the next holder can't read keeps it from reading the
  // others, or lets a key run again.
  void unreadableClaimIsUncertainAlone() {
    ClaimZone zone(8);
    zone.zone.startAll(3);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(2s);
    CPPUNIT_ASSERT(zone.claim(1, "k") == ClaimVerdict::kGranted);
    zone.claims.at(1)->complete("k", "answer");
    const int holder = zone.zone.holder().value();
    zone.zone.nodes.at(holder).authority->replicate(lease::RecordModule::kIdempotency, "claim/a",
                                                    "\xc1", [](bool) {});
    zone.zone.world.runFor(2s);
    zone.zone.stop(holder);
    zone.zone.awaitHolder(10s);
    zone.zone.world.runFor(1s);
    const int next = zone.zone.holder().value();
    CPPUNIT_ASSERT(zone.claim(next, "k") == ClaimVerdict::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), zone.last_answer);
    CPPUNIT_ASSERT(zone.claim(next, "a") == ClaimVerdict::kUncertain);
    CPPUNIT_ASSERT(zone.claim(next, "new") == ClaimVerdict::kGranted);
    zone.zone.world.runFor(11min);
    CPPUNIT_ASSERT(zone.claim(next, "a") == ClaimVerdict::kGranted);
  }

  void claimTableIsBounded() {
    ClaimZone zone(7);
    zone.settings.maximum_claims = 2;
    zone.settings.maximum_answer_bytes = 4;
    zone.zone.startAll(3);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(1s);
    CPPUNIT_ASSERT(zone.claim(1, "a") == ClaimVerdict::kGranted);
    CPPUNIT_ASSERT(zone.claim(1, "b") == ClaimVerdict::kGranted);
    CPPUNIT_ASSERT(zone.claim(1, "c") == ClaimVerdict::kUnavailable);
    zone.claims.at(1)->complete("a", "too long");
    zone.zone.world.runFor(100ms);
    CPPUNIT_ASSERT(zone.claim(2, "a") == ClaimVerdict::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), zone.last_answer);
    zone.zone.world.runFor(11min);
    CPPUNIT_ASSERT(zone.claim(1, "c") == ClaimVerdict::kGranted);
  }

  /// Keys are claimed repeatedly at random nodes under random faults. The test runs for less than
  /// the retention, so that no key may run twice.
  void keyRunsAtMostOnceUnderRandomFaults() {
    std::map<ClaimVerdict, int> verdicts;
    int claim_count = 0;
    testing::requireProperty("a key runs at most once", kRuns, [&] {
      const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 40U);
      const int nodes = *rc::gen::inRange(3, 8);
      const auto faults = *testing::faultSchedule(*rc::gen::arbitrary<bool>());
      ClaimZone zone(seed, testing::kClockDrift);
      testing::runFaults(zone.zone, nodes, faults, [&] {
        for (int attempt = 0; attempt < 3; ++attempt) {
          const auto choice = zone.zone.world.random.next();
          const int node = 1 + static_cast<int>(choice % static_cast<std::uint64_t>(nodes));
          zone.use(node, "key-" + std::to_string((choice >> 8U) % 60), choice >> 16U);
        }
      });
      for (const auto& [key, count] : zone.runs) {
        RC_LOG() << key << " ran " << count << " times\n";
        RC_ASSERT(count <= 1);
      }
      for (const auto& [verdict, count] : zone.verdicts) {
        verdicts[verdict] += count;
      }
      claim_count += zone.claim_count;
    });
    std::cout << "\n  claims " << claim_count << ": granted " << verdicts[ClaimVerdict::kGranted]
              << ", completed " << verdicts[ClaimVerdict::kCompleted] << ", in progress "
              << verdicts[ClaimVerdict::kInProgress] << ", uncertain "
              << verdicts[ClaimVerdict::kUncertain] << ", unavailable "
              << verdicts[ClaimVerdict::kUnavailable] << "\n";
    CPPUNIT_ASSERT(verdicts[ClaimVerdict::kGranted] > 10 * kRuns);
    CPPUNIT_ASSERT(verdicts[ClaimVerdict::kCompleted] > kRuns);
    CPPUNIT_ASSERT(verdicts[ClaimVerdict::kUncertain] > kRuns);
  }

 private:
  /// \return a node that doesn't hold the lease
  static int startThreeAndChooseAClaimer(ClaimZone& zone) {
    zone.zone.startAll(3);
    zone.zone.awaitHolder(6s);
    zone.zone.world.runFor(2s);
    return zone.zone.holder().value() == 1 ? 2 : 1;
  }

  /// Calls `work`, which fails since no message can be sent.
  static void whileSendingFails(ClaimZone& zone, const std::function<void()>& work) {
    auto& on_send = zone.zone.world.on_send;
    const auto before =
        std::exchange(on_send, [](const api::Envelope&) { throw std::runtime_error("send"); });
    CPPUNIT_ASSERT_THROW(work(), std::runtime_error);
    on_send = before;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuorumKeyClaimsTest);

}  // namespace
}  // namespace cypresswall::idempotency
