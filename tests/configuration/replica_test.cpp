/// An accepted change must not be lost or reverted by a store outage, a lost answer, a restored
/// store, a partition or a replaced node, and must reach every zone in time.
#include <stdexcept>
#include <utility>

#include "cypresswall/configuration/messages.h"
#include "tests/configuration/replica_fleet.h"
#include "tests/support/property.h"

namespace cypresswall::configuration {
namespace {

using namespace std::chrono_literals;
using testing::ReplicaFleet;

/// Required time for a change to be in force everywhere.
constexpr common::Duration kInForceLimit = 7s;

class ReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaTest);
  CPPUNIT_TEST(emptyStoreMakesAllReadyAtVersionZero);
  CPPUNIT_TEST(notReadyWhileTheStoreIsDown);
  CPPUNIT_TEST(changeSpreadsWhileTheStoreIsDown);
  CPPUNIT_TEST(lostStoreAnswerIsResolved);
  CPPUNIT_TEST(sameChangeIdIsAcceptedOnce);
  CPPUNIT_TEST(oneOfConcurrentChangesWins);
  CPPUNIT_TEST(unreachableZoneRefusesUnlessLateDelivery);
  CPPUNIT_TEST(zoneWithoutStoreReceivesChangesFromOtherZones);
  CPPUNIT_TEST(restoredStoreIsRejectedThenWrittenBack);
  CPPUNIT_TEST(replacedNodeIgnoresARestoredStore);
  CPPUNIT_TEST(replacedNodeIsNotMadeReadyByALaggingZone);
  CPPUNIT_TEST(watchGapIsRepaired);
  CPPUNIT_TEST(invalidChangeNamesTheField);
  CPPUNIT_TEST(newNodeFarBehindInstallsASnapshot);
  CPPUNIT_TEST(storedChangeIsReadAgainAfterAFailure);
  CPPUNIT_TEST(storedSnapshotIsReadAgainAfterAFailure);
  CPPUNIT_TEST(changeIsAnsweredAlthoughItsApprovalCouldNotBeAskedFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void emptyStoreMakesAllReadyAtVersionZero() {
    ReplicaFleet fleet(1, 2, 3);
    fleet.runFor(10s);
    CPPUNIT_ASSERT(fleet.allAt(0));
  }

  void notReadyWhileTheStoreIsDown() {
    ReplicaFleet fleet(2, 2, 2);
    fleet.store.objects.setFaults({.down = true});
    fleet.runFor(10s);
    CPPUNIT_ASSERT(!fleet.nodes[0].replica->ready());
    CPPUNIT_ASSERT(fleet.commit(0, "early").status == CommitStatus::kNotReady);
    fleet.store.objects.setFaults({});
    CPPUNIT_ASSERT(fleet.convergesTo(0, 10s));
  }

  void changeSpreadsWhileTheStoreIsDown() {
    ReplicaFleet fleet(3, 4, 3);
    start(fleet);
    fleet.after_answer = [&](const auto&) { fleet.store.objects.setFaults({.down = true}); };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.commit(5, "a").version);
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
    fleet.runFor(3s);
    for (const auto& [zone, versions] : fleet.nodes[0].replica->zoneVersions()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(zone, std::uint64_t{2}, versions.in_force);
    }
  }

  void lostStoreAnswerIsResolved() {
    ReplicaFleet fleet(4, 2, 2);
    start(fleet);
    fleet.store.objects.setFaults({.lose_next_answers = 2});
    const CommitResult result = fleet.commit(1, "a");
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), std::string(toString(result.status)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, result.version);
    CPPUNIT_ASSERT(fleet.store.objects.ledger().answers_lost > 0);
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
  }

  void sameChangeIdIsAcceptedOnce() {
    ReplicaFleet fleet(5, 2, 2);
    start(fleet);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.commit(0, "a").version);
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
    fleet.start(3);
    fleet.runFor(5s);
    const CommitResult again = fleet.commit(3, "a");
    CPPUNIT_ASSERT(again.status == CommitStatus::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.version);
    CPPUNIT_ASSERT(fleet.allAt(2));
  }

  void oneOfConcurrentChangesWins() {
    ReplicaFleet fleet(6, 3, 2);
    start(fleet);
    const std::size_t first = fleet.submit(0, "a");
    fleet.submit(3, "b");
    fleet.submit(5, "c");
    fleet.runFor(5s);
    std::vector<std::string> winners;
    for (std::size_t number = first; number < fleet.submissions.size(); ++number) {
      if (fleet.submissions[number].result.status == CommitStatus::kAccepted) {
        winners.push_back(fleet.submissions[number].request.author);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, winners.size());
    for (const auto& submission : fleet.submissions) {
      if (submission.result.status != CommitStatus::kAccepted) {
        CPPUNIT_ASSERT(submission.result.status == CommitStatus::kConflict);
        CPPUNIT_ASSERT_EQUAL(winners.front(), submission.result.winner);
      }
    }
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
  }

  void unreachableZoneRefusesUnlessLateDelivery() {
    ReplicaFleet fleet(7, 3, 2);
    start(fleet);
    fleet.simulation.network().cutZones("zone-0", "zone-2");
    fleet.simulation.network().cutZones("zone-1", "zone-2");
    fleet.store.unreachable_from.insert("zone-2");
    const CommitResult refused = fleet.commit(0, "a");
    CPPUNIT_ASSERT(refused.status == CommitStatus::kZoneRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("zone-2"), refused.zones.at(0).zone);
    const auto number = fleet.submit(0, "b", {}, true);
    fleet.runFor(5s);
    CPPUNIT_ASSERT(fleet.submissions[number].result.status == CommitStatus::kAccepted);
    CPPUNIT_ASSERT(!fleet.allAt(2));
    fleet.simulation.network().healAll();
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
  }

  void zoneWithoutStoreReceivesChangesFromOtherZones() {
    ReplicaFleet fleet(8, 3, 2);
    start(fleet);
    fleet.store.unreachable_from.insert("zone-2");
    CPPUNIT_ASSERT(fleet.commit(0, "a").status == CommitStatus::kAccepted);
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
    CPPUNIT_ASSERT(fleet.commit(4, "b").status == CommitStatus::kStoreUnavailable);
  }

  void restoredStoreIsRejectedThenWrittenBack() {
    ReplicaFleet fleet(9, 2, 2);
    start(fleet);
    const auto revision = fleet.store.objects.revision();
    for (const char* change : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(fleet.commit(1, change).status == CommitStatus::kAccepted);
      fleet.convergesTo(fleet.newest_seen, kInForceLimit);
    }
    // The zones' readers are paused, so that nothing is written back before the change is checked.
    fleet.simulation.pauseFor(*fleet.nodes[0].process, 2s);
    fleet.simulation.pauseFor(*fleet.nodes[2].process, 2s);
    fleet.store.objects.restoreToRevision(revision);
    CPPUNIT_ASSERT_EQUAL(std::string("store_behind"),
                         std::string(toString(fleet.commit(1, "d").status)));
    fleet.runFor(10s);
    CPPUNIT_ASSERT(fleet.allAt(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.store.objects.peek(changeKey(4)).version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, fleet.commit(1, "e").version);
    CPPUNIT_ASSERT(!fleet.version_regressed);
  }

  void replacedNodeIgnoresARestoredStore() {
    ReplicaFleet fleet(10, 2, 3);
    start(fleet);
    const auto revision = fleet.store.objects.revision();
    CPPUNIT_ASSERT(fleet.commit(1, "a").status == CommitStatus::kAccepted);
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
    fleet.store.objects.restoreToRevision(revision);
    fleet.start(0);
    fleet.simulation.time().runUntilTrue([&] { return fleet.nodes[0].replica->ready(); }, 10s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.nodes[0].replica->log().version());
  }

  void replacedNodeIsNotMadeReadyByALaggingZone() {
    ReplicaFleet fleet(14, 2, 3);
    start(fleet);
    fleet.simulation.network().cutZones("zone-0", "zone-1");
    fleet.store.unreachable_from.insert("zone-0");
    const auto number = fleet.submit(3, "a", {}, true);
    fleet.runFor(4s);
    CPPUNIT_ASSERT(fleet.submissions[number].result.status == CommitStatus::kAccepted);
    fleet.simulation.network().healAll();
    fleet.start(4);
    fleet.simulation.time().runUntilTrue([&] { return fleet.nodes[4].replica->ready(); }, 10s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.nodes[4].replica->log().version());
  }

  void watchGapIsRepaired() {
    ReplicaFleet fleet(11, 2, 2);
    start(fleet);
    fleet.simulation.network().cutZones("zone-0", "zone-1");
    fleet.store.objects.setFaults({.watch_gap = true});
    const auto number = fleet.submit(0, "a", {}, true);
    fleet.runFor(2s);
    CPPUNIT_ASSERT(fleet.submissions[number].result.status == CommitStatus::kAccepted);
    CPPUNIT_ASSERT(fleet.convergesTo(2, kInForceLimit));
  }

  void invalidChangeNamesTheField() {
    ReplicaFleet fleet(12, 1, 2);
    start(fleet);
    const TenantDeclaration tenant{"t", "", 1, 1};
    const CommitResult result = fleet.commit(0, "a", {setObject(ObjectKind::kTenant, "t", tenant)});
    CPPUNIT_ASSERT(result.status == CommitStatus::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::string("api_key"), result.errors.at(0).field);
    CPPUNIT_ASSERT(fleet.allAt(1));
  }

  void newNodeFarBehindInstallsASnapshot() {
    ReplicaFleet fleet(13, 1, 2);
    start(fleet);
    commitUntilASnapshotIsStored(fleet);
    fleet.start(0);
    fleet.start(1);  // no peer is left, so the snapshot and later changes come from the store
    CPPUNIT_ASSERT(fleet.convergesTo(71, 10s));
  }

  // A node whose listener failed once never read the store again, and never became ready.
  void storedChangeIsReadAgainAfterAFailure() {
    ReplicaFleet fleet(14, 1, 1);
    start(fleet);
    restartWithFailingListeners(fleet);
    CPPUNIT_ASSERT(fleet.convergesTo(1, 10s));
  }

  // The same, while the snapshot is installed.
  void storedSnapshotIsReadAgainAfterAFailure() {
    ReplicaFleet fleet(15, 1, 2);
    start(fleet);
    commitUntilASnapshotIsStored(fleet);
    restartWithFailingListeners(fleet);
    CPPUNIT_ASSERT(fleet.convergesTo(71, 10s));
  }

  // A change was never answered if asking another zone for its approval failed once.
  void changeIsAnsweredAlthoughItsApprovalCouldNotBeAskedFor() {
    ReplicaFleet fleet(16, 2, 2);
    start(fleet);
    fleet.simulation.network().onSend([failed = false](const api::Envelope& envelope) mutable {
      if (envelope.type == ApprovalRequest::kType && !std::exchange(failed, true)) {
        throw std::runtime_error("send");
      }
    });
    const std::size_t number = fleet.submit(0, "a");
    CPPUNIT_ASSERT_THROW(fleet.runFor(1s), std::runtime_error);
    fleet.runFor(10s);
    CPPUNIT_ASSERT(fleet.submissions[number].answered);
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                         std::string(toString(fleet.submissions[number].result.status)));
  }

 private:
  /// Waits until the fleet is ready and declares its zones, which creates version 1.
  static void start(ReplicaFleet& fleet) {
    CPPUNIT_ASSERT(fleet.convergesTo(0, 10s));
    fleet.runFor(2s);
    const CommitResult result = fleet.declareZones();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.message, std::string("accepted"),
                                 std::string(toString(result.status)));
    CPPUNIT_ASSERT(fleet.convergesTo(1, kInForceLimit));
    fleet.runFor(2s);
  }

  /// Commits changes up to version 71. \pre version 1 is in force at both nodes
  static void commitUntilASnapshotIsStored(ReplicaFleet& fleet) {
    for (std::size_t change = 0; change < 70; ++change) {
      CPPUNIT_ASSERT(
          fleet.commit(change % 2, std::string("c").append(std::to_string(change))).status ==
          CommitStatus::kAccepted);
      fleet.convergesTo(fleet.newest_seen, kInForceLimit);
    }
    fleet.runFor(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         fleet.store.objects.peek(std::string(kSnapshotKey)).version);
  }

  /// Replaces all nodes by ones that fail when they first learn of a configuration, and runs until
  /// each has.
  static void restartWithFailingListeners(ReplicaFleet& fleet) {
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
      fleet.start(node);
    }
    for (const auto& node : fleet.nodes) {
      node.replica->onChange([failed = false](const FleetConfiguration&) mutable {
        if (!std::exchange(failed, true)) {
          throw std::runtime_error("listener");
        }
      });
    }
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
      CPPUNIT_ASSERT_THROW(fleet.runFor(5s), std::runtime_error);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

}  // namespace
}  // namespace cypresswall::configuration
