#include "cypresswall/lease/voter.h"
#include "tests/support/property.h"

namespace cypresswall::lease {
namespace {

class FixedClock final : public common::Clock {
 public:
  common::MonotonicTime now() const override {
    return common::MonotonicTime(std::chrono::hours(1));
  }
};

/// A node that joins the voters receives the holder's records before the request for its grant. The
/// records make it promise the holder's epoch, which must not make it refuse the holder's request.
class VoterPromiseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VoterPromiseTest);
  CPPUNIT_TEST(grantsToHolderWhoseRecordsItStores);
  CPPUNIT_TEST(refusesOtherCandidateForSameEpoch);
  CPPUNIT_TEST(refusesHolderAfterItsRelease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { voter_.handle(holder_, ReplicateRequest{1, epoch_, {}}); }

  void grantsToHolderWhoseRecordsItStores() {
    CPPUNIT_ASSERT(voter_.handle(holder_, request()).verdict == GrantVerdict::kGranted);
  }

  void refusesOtherCandidateForSameEpoch() {
    CPPUNIT_ASSERT(voter_.handle(other_, request()).verdict == GrantVerdict::kPromised);
  }

  void refusesHolderAfterItsRelease() {
    voter_.handle(holder_, request());
    voter_.handle(holder_, ReleaseNotice{epoch_, false});
    CPPUNIT_ASSERT(voter_.handle(holder_, request()).verdict == GrantVerdict::kPromised);
  }

 private:
  LeaseRequest request() const {
    const VoterSet set{{epoch_.generation, epoch_.term, 1}, {self_, holder_}, {}};
    LeaseRequest message;
    message.request = 2;
    message.epoch = epoch_;
    message.set_version = set.version;
    message.set.push_back(set);
    message.duration_us = 1000000;
    return message;
  }

  const common::NodeId self_{"127.0.0.1:1", 1};
  const common::NodeId holder_{"127.0.0.2:1", 2};
  const common::NodeId other_{"127.0.0.3:1", 3};
  const common::Epoch epoch_{1, 3};
  FixedClock clock_;
  Voter voter_{LeaseSettings{}, self_, clock_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(VoterPromiseTest);

}  // namespace
}  // namespace cypresswall::lease
