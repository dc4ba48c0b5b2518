#include "cypresswall/lease/voter.h"

#include <string>

#include "tests/support/property.h"

namespace cypresswall::lease {
namespace {

using namespace std::chrono_literals;

const common::NodeId kVoter{"10.0.0.1:7000", 1};
const common::NodeId kFirst{"10.0.0.2:7000", 2};
const common::NodeId kSecond{"10.0.0.3:7000", 3};

class SettableClock final : public common::Clock {
 public:
  common::MonotonicTime now() const override { return time; }
  common::MonotonicTime time{1h};
};

VoterSet setOf(VoterSetVersion version) {
  const NodeList members = {kVoter, kFirst, kSecond};
  return VoterSet{version, members, {members}};
}

class VoterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VoterTest);
  CPPUNIT_TEST(grantsToOneCandidateUntilExpiry);
  CPPUNIT_TEST(keepsPromiseAfterGrantExpires);
  CPPUNIT_TEST(releasedUnusedEpochMayBeGrantedAgain);
  CPPUNIT_TEST(probePromisesNothing);
  CPPUNIT_TEST(refusesOlderSetsAndSetsWithoutIt);
  CPPUNIT_TEST(waitsOneLeaseBeforeGrantingInNewGeneration);
  CPPUNIT_TEST(sealedVoterRefusesOldGeneration);
  CPPUNIT_TEST(refusesRecordsOfAnOlderEpoch);
  CPPUNIT_TEST(removedVoterDropsItsRecords);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    clock_ = SettableClock{};
    voter_.emplace(LeaseSettings{}, kVoter, clock_);
    voter_->learn(setOf({1, 0, 0}));
  }

  void grantsToOneCandidateUntilExpiry() {
    CPPUNIT_ASSERT(ask(kFirst, {1, 1}) == GrantVerdict::kGranted);
    CPPUNIT_ASSERT(ask(kSecond, {1, 2}) == GrantVerdict::kHeld);
    clock_.time += 900ms;
    CPPUNIT_ASSERT(ask(kFirst, {1, 1}) == GrantVerdict::kGranted);
    clock_.time += 900ms;
    CPPUNIT_ASSERT(ask(kSecond, {1, 2}) == GrantVerdict::kHeld);
    clock_.time += 100ms;
    CPPUNIT_ASSERT(ask(kSecond, {1, 2}) == GrantVerdict::kGranted);
  }

  void keepsPromiseAfterGrantExpires() {
    ask(kFirst, {1, 5});
    clock_.time += 2s;
    CPPUNIT_ASSERT(ask(kSecond, {1, 5}) == GrantVerdict::kPromised);
    CPPUNIT_ASSERT(ask(kSecond, {1, 4}) == GrantVerdict::kPromised);
    CPPUNIT_ASSERT(ask(kSecond, {1, 6}) == GrantVerdict::kGranted);
    clock_.time += 2s;
    CPPUNIT_ASSERT(ask(kFirst, {1, 5}) == GrantVerdict::kPromised);
  }

  void releasedUnusedEpochMayBeGrantedAgain() {
    ask(kFirst, {1, 5});
    voter_->handle(kSecond, ReleaseNotice{{1, 5}, true});
    CPPUNIT_ASSERT(ask(kSecond, {1, 5}) == GrantVerdict::kPromised);
    voter_->handle(kFirst, ReleaseNotice{{1, 5}, true});
    CPPUNIT_ASSERT(ask(kSecond, {1, 5}) == GrantVerdict::kGranted);
    voter_->handle(kSecond, ReleaseNotice{{1, 5}, false});
    CPPUNIT_ASSERT(ask(kFirst, {1, 5}) == GrantVerdict::kPromised);
  }

  void probePromisesNothing() {
    LeaseRequest probe = request({1, 7});
    probe.probe = true;
    CPPUNIT_ASSERT(voter_->handle(kFirst, probe).verdict == GrantVerdict::kGranted);
    CPPUNIT_ASSERT(!voter_->grantedTo());
    CPPUNIT_ASSERT(voter_->promised() == common::Epoch{});
  }

  void refusesOlderSetsAndSetsWithoutIt() {
    voter_->learn(setOf({1, 3, 0}));
    CPPUNIT_ASSERT(ask(kFirst, {1, 4}) == GrantVerdict::kOlderSet);
    LeaseRequest unknown = request({1, 4});
    unknown.set_version = {1, 3, 1};
    CPPUNIT_ASSERT(voter_->handle(kFirst, unknown).verdict == GrantVerdict::kUnknownSet);
    unknown.set = {VoterSet{{1, 3, 1}, {kFirst}, {}}};
    CPPUNIT_ASSERT(voter_->handle(kFirst, unknown).verdict == GrantVerdict::kNotMember);
    unknown.previous_members = {kVoter};
    CPPUNIT_ASSERT(voter_->handle(kFirst, unknown).verdict == GrantVerdict::kGranted);
  }

  void waitsOneLeaseBeforeGrantingInNewGeneration() {
    LeaseRequest next = request({2, 1});
    next.set_version = {2, 0, 0};
    next.set = {setOf({2, 0, 0})};
    CPPUNIT_ASSERT(voter_->handle(kFirst, next).verdict == GrantVerdict::kHeld);
    clock_.time += 1s;
    CPPUNIT_ASSERT(voter_->handle(kFirst, next).verdict == GrantVerdict::kHeld);
    clock_.time += 50ms;
    CPPUNIT_ASSERT(voter_->handle(kFirst, next).verdict == GrantVerdict::kGranted);
  }

  void sealedVoterRefusesOldGeneration() {
    voter_->learn(setOf({1, 3, 0}));
    CPPUNIT_ASSERT(!voter_->handle(SealRequest{2, {1, 2, 0}}).sealed);
    CPPUNIT_ASSERT(voter_->handle(SealRequest{2, {1, 3, 0}}).sealed);
    LeaseRequest same = request({1, 4});
    same.set_version = {1, 3, 0};
    CPPUNIT_ASSERT(voter_->handle(kFirst, same).verdict == GrantVerdict::kSealed);
    CPPUNIT_ASSERT(!voter_->handle(kFirst, ReplicateRequest{1, {1, 4}, {}}).accepted);
  }

  void refusesRecordsOfAnOlderEpoch() {
    ask(kFirst, {1, 5});
    CPPUNIT_ASSERT(voter_->handle(kFirst, recordUnder({1, 5}, 1)).accepted);
    clock_.time += 2s;
    ask(kSecond, {1, 6});
    CPPUNIT_ASSERT(!voter_->handle(kFirst, recordUnder({1, 5}, 2)).accepted);
    CPPUNIT_ASSERT(!voter_->handle(kFirst, FetchRequest{1, {1, 5}, {}}).accepted);
    const auto& record = voter_->records().records().begin()->second;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, record.version.sequence);
  }

  void removedVoterDropsItsRecords() {
    ask(kFirst, {1, 1});
    voter_->handle(kFirst, recordUnder({1, 1}, 1));
    const VoterSet without{{1, 1, 1}, {kFirst}, {}};
    voter_->learn(without);
    CPPUNIT_ASSERT(!voter_->records().records().empty());
    voter_->learnCommitted(without);
    CPPUNIT_ASSERT(voter_->records().records().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                         voter_->handle(kFirst, FetchRequest{1, {1, 1}, {}}).records_incarnation);
  }

 private:
  static LeaseRequest request(const common::Epoch& epoch) {
    LeaseRequest request;
    request.epoch = epoch;
    request.set_version = {1, 0, 0};
    request.duration_us = 1000000;
    return request;
  }
  GrantVerdict ask(const common::NodeId& sender, const common::Epoch& epoch) {
    return voter_->handle(sender, request(epoch)).verdict;
  }
  static ReplicateRequest recordUnder(const common::Epoch& epoch, std::uint64_t sequence) {
    return {1, epoch, {Record{{RecordModule::kOrders, "key"}, {epoch, sequence}, false, "value"}}};
  }

  SettableClock clock_;
  std::optional<Voter> voter_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(VoterTest);

}  // namespace
}  // namespace cypresswall::lease
