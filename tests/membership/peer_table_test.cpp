#include "cypresswall/membership/peer_table.h"

#include <map>

#include "tests/support/property.h"

namespace cypresswall::membership {
namespace {

using DetailsResult = PeerTable::DetailsResult;
using std::chrono::milliseconds;

NodeDetails detailsOf(std::uint32_t version, std::uint32_t digests_version = 1) {
  NodeDetails details;
  details.zone = "z";
  details.version = version;
  details.digests_version = digests_version;
  return details;
}

class PeerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTableTest);
  CPPUNIT_TEST(reportsResultOfDetails);
  CPPUNIT_TEST(onlyWatchedPeersExpire);
  CPPUNIT_TEST(departedNodeIsBlockedUntilNewerDetails);
  CPPUNIT_TEST(newerDetailsOverrideDeparture);
  CPPUNIT_TEST(departureOfUnknownNodeIsNewOnce);
  CPPUNIT_TEST(silentNodesMayStillRun);
  CPPUNIT_TEST(hashMatchesMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reportsResultOfDetails() {
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(1), at(0)) == DetailsResult::kAdded);
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(1), at(0)) == DetailsResult::kUnchanged);
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(1, 2), at(0)) ==
                   DetailsResult::kDigestsChanged);
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(2, 2), at(0)) ==
                   DetailsResult::kDetailsChanged);
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(1, 9), at(0)) == DetailsResult::kUnchanged);
    const common::NodeId earlier{node_.address, node_.incarnation - 1};
    CPPUNIT_ASSERT(table_.applyDetails(earlier, detailsOf(9), at(0)) == DetailsResult::kOutdated);
  }

  void onlyWatchedPeersExpire() {
    const common::NodeId other{"10.0.0.2:1", 1};
    table_.applyDetails(node_, detailsOf(1), at(0));
    table_.applyDetails(other, detailsOf(1), at(0));
    table_.watch({node_}, at(1000));
    bool changed = false;
    CPPUNIT_ASSERT(table_.expire(at(2000), changed).empty());
    CPPUNIT_ASSERT(!changed);
    CPPUNIT_ASSERT(table_.expire(at(2400), changed).empty());
    CPPUNIT_ASSERT(changed);
    CPPUNIT_ASSERT(table_.find(node_)->state == MemberState::kSuspect);
    CPPUNIT_ASSERT(table_.find(other)->state == MemberState::kAlive);
    const auto dead = table_.expire(at(3500), changed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dead.size());
    CPPUNIT_ASSERT(dead.front().node == node_);
    CPPUNIT_ASSERT(table_.find(other) != nullptr);
  }

  void departedNodeIsBlockedUntilNewerDetails() {
    table_.applyDetails(node_, detailsOf(3), at(0));
    CPPUNIT_ASSERT(table_.remove({node_, 3}, at(100)));
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(3), at(200)) == DetailsResult::kDeparted);
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(4), at(200)) == DetailsResult::kAdded);
    CPPUNIT_ASSERT(table_.remove({node_, 4}, at(300)));
    // Once the readmission delay is over, the same details are accepted again, since the departure
    // may have been wrong.
    CPPUNIT_ASSERT(table_.applyDetails(node_, detailsOf(4), at(5400)) == DetailsResult::kAdded);
  }

  void newerDetailsOverrideDeparture() {
    table_.applyDetails(node_, detailsOf(3), at(0));
    CPPUNIT_ASSERT(!table_.remove({node_, 2}, at(100)));
    CPPUNIT_ASSERT(table_.find(node_) != nullptr);
  }

  void departureOfUnknownNodeIsNewOnce() {
    CPPUNIT_ASSERT(table_.remove({node_, 1}, at(0)));
    CPPUNIT_ASSERT(!table_.remove({node_, 1}, at(100)));
    CPPUNIT_ASSERT(table_.remove({node_, 2}, at(100)));
    const common::NodeId later{node_.address, node_.incarnation + 1};
    CPPUNIT_ASSERT(table_.applyDetails(later, detailsOf(1), at(200)) == DetailsResult::kAdded);
    CPPUNIT_ASSERT(!table_.remove({node_, 7}, at(300)));
    CPPUNIT_ASSERT(table_.find(later) != nullptr);
  }

  /// Nodes that may still run, cut off from this one.
  void silentNodesMayStillRun() {
    const common::NodeId stopped{"10.0.0.2:1", 1};
    const common::NodeId alive{"10.0.0.3:1", 1};
    for (const common::NodeId& node : {node_, stopped, alive}) {
      table_.applyDetails(node, detailsOf(1), at(0));
    }
    CPPUNIT_ASSERT(table_.remove({stopped, 1}, at(0), PeerTable::DepartureCause::kStopped));
    table_.watch({node_}, at(0));
    CPPUNIT_ASSERT(table_.silent().empty());
    bool changed = false;
    table_.expire(at(1400), changed);
    CPPUNIT_ASSERT(table_.silent() == std::vector<common::NodeId>{node_});
    table_.expire(at(2600), changed);
    CPPUNIT_ASSERT(table_.silent() == std::vector<common::NodeId>{node_});
    CPPUNIT_ASSERT(table_.remove({stopped, 1}, at(7000)));
    CPPUNIT_ASSERT(table_.silent() == std::vector<common::NodeId>{node_});
    table_.applyDetails(node_, detailsOf(2), at(7100));
    CPPUNIT_ASSERT(table_.silent().empty());
  }

  void hashMatchesMembers() {
    testing::requireProperty("the hash matches the members", 100, [this] {
      PeerTable table(settings_);
      std::int64_t now = 0;
      for (int step = 0; step < 60; ++step) {
        now += 700;
        const common::NodeId node{"10.0.0." + std::to_string(*rc::gen::inRange(1, 6)) + ":1",
                                  *rc::gen::inRange<std::uint64_t>(1, 4)};
        const auto version = *rc::gen::inRange<std::uint32_t>(1, 5);
        bool changed = false;
        switch (*rc::gen::inRange(0, 4)) {
          case 0:
            table.remove({node, version}, at(now));
            break;
          case 1:
            table.expire(at(now), changed);
            break;
          case 2:
            table.watch({node}, at(now));
            break;
          default:
            table.applyDetails(node, detailsOf(version), at(now));
        }
        std::uint64_t hash = 0;
        for (const auto& [address, peer] : table.peers()) {
          hash += PeerTable::memberHash(peer.node, peer.details.version);
        }
        RC_ASSERT(table.hash() == hash);
      }
    });
  }

 private:
  static common::MonotonicTime at(std::int64_t count) {
    return common::MonotonicTime(milliseconds(count));
  }

  MembershipSettings settings_;
  PeerTable table_{settings_};
  common::NodeId node_{"10.0.0.1:1", 5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);

}  // namespace
}  // namespace cypresswall::membership
