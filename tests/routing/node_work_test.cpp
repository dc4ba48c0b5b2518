/// Bounds on the work of one node, counted rather than timed, in zones with as many nodes as
/// engines. Guards against work per request, report or notice that grows with the size of the zone.
/// Only in small zones, where every node routes to every engine, may it grow with the number of
/// peers.
#include "tests/support/property.h"
#include "tests/support/routing_node.h"

namespace cypresswall::routing {
namespace {

using testing::RoutingNode;

constexpr std::array<int, 5> kSizes = {10, 24, 65, 300, 1000};
/// In larger zones few nodes are notified: an engine's owners and the node that plans roles.
constexpr int kLargestSharedZone = 24;
constexpr std::uint64_t kOwners = 2;
/// Estimate updates per request with a prefill and a decode engine: both at start, first token and
/// end, plus backlog and speed updates of the prefill engine.
constexpr std::uint64_t kEstimatesPerRequest = 12;
/// Estimate updates per load report: the engine's own, its speed and its backlog.
constexpr std::uint64_t kEstimatesPerReport = 3;
/// Estimate updates per start notice of a peer (backlog) and per end notice (backlog and speed).
constexpr std::uint64_t kEstimatesPerStartNotice = 1;
constexpr std::uint64_t kEstimatesPerEndNotice = 2;

/// Counts the work of a node since construction.
class WorkCount {
 public:
  explicit WorkCount(RoutingNode& node)
      : node_(node),
        messages_(node.transport().messages),
        lists_(node.membership().lists),
        estimates_(node.router().estimatesRefreshed()) {}

  std::uint64_t messages() const { return node_.transport().messages - messages_; }
  std::uint64_t memberLists() const { return node_.membership().lists - lists_; }
  std::uint64_t estimates() const { return node_.router().estimatesRefreshed() - estimates_; }

 private:
  RoutingNode& node_;
  std::uint64_t messages_;
  std::uint64_t lists_;
  std::uint64_t estimates_;
};

class NodeWorkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeWorkTest);
  CPPUNIT_TEST(longRequestNotifiesEachRoutingNodeAtMostTwice);
  CPPUNIT_TEST(shortRequestSendsNoNotices);
  CPPUNIT_TEST(reportUpdatesOnlyItsEngine);
  CPPUNIT_TEST(peerReportUpdatesOnlyItsEngine);
  CPPUNIT_TEST(peerNoticeUpdatesOnlyItsEngine);
  CPPUNIT_TEST(controlTrafficIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void longRequestNotifiesEachRoutingNodeAtMostTwice() {
    for (const int size : kSizes) {
      RoutingNode node(size);
      for (int i = 0; i < 20; ++i) {
        const WorkCount work(node);
        CPPUNIT_ASSERT(node.route(node.longRequest()));
        CPPUNIT_ASSERT_LESSEQUAL(2 * otherRoutingNodesOf(node), work.messages());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, work.memberLists());
        CPPUNIT_ASSERT_LESSEQUAL(kEstimatesPerRequest, work.estimates());
      }
    }
  }

  void shortRequestSendsNoNotices() {
    for (const int size : kSizes) {
      RoutingNode node(size);
      const WorkCount work(node);
      CPPUNIT_ASSERT(node.route(node.shortRequest()));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, work.messages());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, work.memberLists());
      CPPUNIT_ASSERT_LESSEQUAL(kEstimatesPerRequest, work.estimates());
    }
  }

  void reportUpdatesOnlyItsEngine() {
    for (const int size : kSizes) {
      RoutingNode node(size);
      const WorkCount work(node);
      node.takeReport(0);
      assertOnlyOneEngineUpdated(work, kEstimatesPerReport);
    }
  }

  void peerReportUpdatesOnlyItsEngine() {
    for (const int size : kSizes) {
      RoutingNode node(size);
      const api::Envelope publication = node.publicationOf(0);
      const WorkCount work(node);
      node.receive(publication);
      assertOnlyOneEngineUpdated(work, kEstimatesPerReport);
      CPPUNIT_ASSERT(work.estimates() > 0);
    }
  }

  void peerNoticeUpdatesOnlyItsEngine() {
    constexpr std::uint32_t kNumber = 1000000;
    for (const int size : kSizes) {
      RoutingNode node(size);
      const WorkCount start(node);
      node.receive(node.startedNotice(0, kNumber));
      assertOnlyOneEngineUpdated(start, kEstimatesPerStartNotice);
      CPPUNIT_ASSERT(start.estimates() > 0);
      const WorkCount end(node);
      node.receive(node.endedNotice(0, kNumber));
      assertOnlyOneEngineUpdated(end, kEstimatesPerEndNotice);
      CPPUNIT_ASSERT(end.estimates() > 0);
    }
  }

  void controlTrafficIsBounded() {
    // Two heartbeats to each neighbour, plus load publications: the byte budget in the settings
    // allows a few receivers to be notified of each poll.
    constexpr std::uint64_t kSeconds = 5;
    constexpr std::uint64_t kMessagesPerReceiverSecond = 6;
    constexpr std::uint64_t kNeighbours = 4;
    for (const int size : kSizes) {
      RoutingNode node(size);
      node.changeEngineLoads();
      const WorkCount work(node);
      node.run(std::chrono::seconds(kSeconds));
      const std::uint64_t receivers = isShared(node) ? peersOf(node) : kNeighbours + kOwners;
      CPPUNIT_ASSERT(work.messages() > 0);
      CPPUNIT_ASSERT_LESSEQUAL(kSeconds * kMessagesPerReceiverSecond * receivers, work.messages());
    }
  }

 private:
  static std::uint64_t peersOf(const RoutingNode& node) {
    return static_cast<std::uint64_t>(node.size()) - 1;
  }
  static bool isShared(const RoutingNode& node) { return node.size() <= kLargestSharedZone; }
  static std::uint64_t otherRoutingNodesOf(const RoutingNode& node) {
    return isShared(node) ? peersOf(node) : kOwners;
  }
  static void assertOnlyOneEngineUpdated(const WorkCount& work, std::uint64_t estimates) {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, work.messages());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, work.memberLists());
    CPPUNIT_ASSERT_LESSEQUAL(estimates, work.estimates());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeWorkTest);

}  // namespace
}  // namespace cypresswall::routing
